"""The endpoints by service and hall, on rings, of which a request looks at a few.

Each hall's endpoints of a service stand on a ring by a hash of their names.  A request
looks at those that follow its own place: requests about the same subject look at the
same ones, at whichever gateway they come in, and all are looked at alike often.  An
endpoint that comes or goes changes the choice beside it alone.
"""

import bisect
import typing
import zlib

from gaprock import endpoint_state

Ring = list[tuple[int, str, endpoint_state.Endpoint]]
Test = typing.Callable[[endpoint_state.Endpoint], bool]


class EndpointIndex:
    """The endpoints of all services; not safe for threads by itself."""

    __slots__ = ("_by_service", "_rings")

    def __init__(self) -> None:
        # Each service's endpoints by their names, and its rings by hall.
        self._by_service: dict[str, dict[str, endpoint_state.Endpoint]] = {}
        self._rings: dict[str, dict[str, Ring]] = {}

    def add(self, endpoint: endpoint_state.Endpoint) -> None:
        """Take an endpoint in."""
        row = endpoint.row
        self._by_service.setdefault(row.service, {})[endpoint.name] = endpoint
        ring = self._rings.setdefault(row.service, {}).setdefault(row.hall, [])
        bisect.insort(ring, _place(endpoint))

    def remove(self, endpoint: endpoint_state.Endpoint) -> None:
        """Drop an endpoint that was taken in with the row that it has."""
        row = endpoint.row
        self._by_service[row.service].pop(endpoint.name, None)
        ring = self._rings[row.service][row.hall]
        at = bisect.bisect_left(ring, _place(endpoint)[:2])
        if at < len(ring) and ring[at][1] == endpoint.name:
            del ring[at]

    def of_service(self, service: str) -> typing.Collection[endpoint_state.Endpoint]:
        """Give all endpoints of a service."""
        return self._by_service.get(service, {}).values()

    def halls(self, service: str) -> list[str]:
        """Give the halls that have, or had, endpoints of a service."""
        return list(self._rings.get(service, ()))

    def following(
        self, service: str, hall: str, key: int, count: int, test: Test
    ) -> list[endpoint_state.Endpoint]:
        """Give the next endpoints of a hall that pass a test, from a place on.

        :param key: the place, as by ``zlib.crc32``.
        :param count: how many to give at most.
        """
        ring = self._rings.get(service, {}).get(hall, [])
        first = bisect.bisect_left(ring, (key, ""))
        found: list[endpoint_state.Endpoint] = []
        for step in range(len(ring)):
            endpoint = ring[(first + step) % len(ring)][2]
            if test(endpoint):
                found.append(endpoint)
                if len(found) == count:
                    break
        return found


def _place(
    endpoint: endpoint_state.Endpoint,
) -> tuple[int, str, endpoint_state.Endpoint]:
    """Give where an endpoint stands; no two with the same name are on a ring."""
    return zlib.crc32(endpoint.name.encode()), endpoint.name, endpoint
