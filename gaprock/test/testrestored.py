"""A store that is restored from a backup: versions go back and are assigned again."""

import contextlib
import typing

import pytest

from gaprock import gateway_node
from gaprock.test import gatewayfleet, gatewaysite

# Whether the store's version has passed the known one by the gateway's next call.
PASSED = pytest.mark.parametrize("passed", [True, False])


class RestoredSite(gatewaysite.GatewaySite):
    """A gateway whose store loses its latest writes during an outage."""

    def lose_writes(
        self, lost: typing.Callable[[], object], since: typing.Callable[[], object]
    ) -> None:
        """Have the store lose writes in a restore.

        :param lost: makes the writes that are lost.
        :param since: makes the writes after the restore, before the store answers.
        """
        version = self.store.version
        lost()
        gatewaysite.wait_until(
            lambda: all(
                follower.version >= self.store.version
                or follower.changed >= self.newest(follower.table)
                for follower in self.gateway.followers
            ),
            "what is lost is known",
        )
        self.store.faults["refuse"] = 503
        self.store.restore(version)
        since()
        del self.store.faults["refuse"]

    def newest(self, table: str) -> int:
        """Return the version of a table's newest change."""
        return max((h[2] for h in self.store._history if h[0][0] == table), default=0)

    def put_config(self, number: int) -> None:
        self.store.put("op", "config", gatewaysite.config(number))

    def advance_past_known(self, passed: bool) -> None:
        """Write other rows until the store has passed all versions that were known."""
        while passed and self.store.version < 60:
            self.store.put("status", "other", 1)


@PASSED
def test_a_configuration_under_a_reused_version_is_in_force(passed: bool) -> None:
    with RestoredSite() as one:
        gatewaysite.wait_until(lambda: one.gateway.is_ready, "ready")

        def lost() -> None:
            for number in range(2, 30):
                one.put_config(number)

        def since() -> None:
            one.put_config(31)
            one.advance_past_known(passed)

        one.lose_writes(lost, since)
        gatewaysite.wait_until(lambda: one.in_force == 31, "the change is in effect")


@PASSED
@pytest.mark.parametrize("state", ["draining", "gone"])
def test_an_endpoint_that_leaves_under_a_reused_version_gets_nothing_new(
    state: str, passed: bool
) -> None:
    with RestoredSite() as one:
        one.add("e1", "app")
        one.add("e2", "app")

        def lost() -> None:
            for slots in range(9, 30):
                one.write_row("e1", "app", Slots=slots)

        def since() -> None:
            if state == "gone":
                one.store.remove("servers", "e2")
            else:
                one.write_row("e2", "app", State="draining")
            one.advance_past_known(passed)

        one.lose_writes(lost, since)
        gatewaysite.wait_until(lambda: one.known("app") == {"e1"}, "it has left")


def test_a_gateways_own_row_is_written_again_after_a_restore_lost_it() -> None:
    with RestoredSite(gatewayfleet.with_mesh) as one:
        key = "peer/gateway-1"

        def row() -> object:
            return one.store.value("gaprock", key)

        gatewaysite.wait_until(lambda: row() is not None, "the row is written")
        gatewaysite.wait_until(lambda: one.gateway.is_ready, "ready")
        written = row()
        one.store.restore(1)
        assert row() is None
        gatewaysite.wait_until(lambda: row() == written, "it is written again")


class Pair(gatewayfleet.Fleet):
    """Two gateways without endpoints; the second is started after a restore."""

    def start_endpoints(self, stack: contextlib.ExitStack) -> int:
        return 0

    def _start(self, stack: contextlib.ExitStack) -> None:
        stack.enter_context(self.site)
        gatewaysite.wait_until(lambda: self.site.gateway.is_ready, "ready")

    def start_second(self) -> None:
        """Start the second gateway."""
        second = self.gateways[1]
        self._stack.callback(second.close)
        second.start()


def in_force(gateway: gateway_node.Gateway) -> int:
    """Return the number of the configuration in effect at a gateway."""
    return gateway.orders.config_number


def test_a_gateway_that_starts_after_a_restore_has_its_peers_configuration() -> None:
    with Pair(2, "safe") as pair:
        store = pair.site.store
        first, second = pair.gateways
        gatewaysite.wait_until(
            lambda: store.value("gaprock", "peer/gateway-1") is not None, "a row"
        )
        version = store.version
        store.put("op", "config", gatewaysite.config(2))
        gatewaysite.wait_until(lambda: in_force(first) == 2, "it is in effect")
        store.restore(version)
        pair.start_second()
        gatewaysite.wait_until(lambda: in_force(second) == 2, "a peer has sent it")
        store.put("op", "config", gatewaysite.config(3))
        for one in (first, second):
            gatewaysite.wait_until(lambda: in_force(one) == 3, "the next one")
