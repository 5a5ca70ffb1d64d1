"""Index of endpoints by service and hall, as consistent-hash rings.

Each hall's endpoints of a service are placed on a ring by a hash of their names.  A
request considers those that follow its own position.  Requests about the same subject
thus consider the same endpoints at every gateway, and all endpoints are considered
about equally often.  Adding or removing an endpoint changes only the choices next to
it on the ring.
"""

import bisect
import typing
import zlib

from gaprock import endpoint_state

Ring = list[tuple[int, str, endpoint_state.Endpoint]]
Test = typing.Callable[[endpoint_state.Endpoint], bool]


class EndpointIndex:
    """The endpoints of all services; not thread-safe."""

    __slots__ = ("_by_service", "_rings")

    def __init__(self) -> None:
        # Each service's endpoints by their names, and its rings by hall.
        self._by_service: dict[str, dict[str, endpoint_state.Endpoint]] = {}
        self._rings: dict[str, dict[str, Ring]] = {}

    def add(self, endpoint: endpoint_state.Endpoint) -> None:
        """Add an endpoint."""
        row = endpoint.row
        self._by_service.setdefault(row.service, {})[endpoint.name] = endpoint
        ring = self._rings.setdefault(row.service, {}).setdefault(row.hall, [])
        bisect.insort(ring, _place(endpoint))

    def remove(self, endpoint: endpoint_state.Endpoint) -> None:
        """Remove an endpoint; its row must be the one with which it was added."""
        row = endpoint.row
        self._by_service[row.service].pop(endpoint.name, None)
        ring = self._rings[row.service][row.hall]
        at = bisect.bisect_left(ring, _place(endpoint)[:2])
        if at < len(ring) and ring[at][1] == endpoint.name:
            del ring[at]

    def of_service(self, service: str) -> typing.Collection[endpoint_state.Endpoint]:
        """Return all endpoints of a service."""
        return self._by_service.get(service, {}).values()

    def halls(self, service: str) -> list[str]:
        """Return the halls that have, or had, endpoints of a service."""
        return list(self._rings.get(service, ()))

    def following(
        self, service: str, hall: str, key: int, count: int, test: Test
    ) -> list[endpoint_state.Endpoint]:
        """Return the endpoints of a hall that follow a position and pass a test.

        :param key: the position on the ring, as from ``zlib.crc32``.
        :param count: maximum number of endpoints to return.
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
    """Return an endpoint's ring entry; names are unique on a ring."""
    return zlib.crc32(endpoint.name.encode()), endpoint.name, endpoint
