"""What a gateway knows of the store is proved anew again and again.

The story.  Callers with new keys were refused for seconds, and requests ran at services
that their routes had left: all gateways kept an old configuration for half a minute
after an outage of the store that lasted six seconds.

The order of events.  A change of the configuration answered every gateway's poll, and
all polled again 0.1 s later.  In between the store had gone silent.  It came back and
answered new calls, but never those polls, and each was waited for 30 s.  No gateway was
ahead of the others, so none had a copy to give.

The cause.  A poll that is not answered was taken for "nothing new", for as long as a
poll may last.

The evidence.  Logged polls: asked at 5.13 s, no answer, a read time-out at 35.13 s and
the newest configuration 0.1 s after it, on all gateways.  The store's own figures: one
call without an answer for each gateway in that second, and no other before the end of
the outage.  The endpoints' table went the same way when an endpoint's change came just
before the outage: requests reached endpoints that had left.
"""

import typing

import pytest

from gaprock.test import gatewaysite


def swallow_next_poll(
    one: gatewaysite.GatewaySite, table: str, change: typing.Callable[[], object]
) -> None:
    """Have a table's poll answered by a change, and the next one swallowed."""
    store = one.store
    store.faults["swallow"] = True
    change()
    gatewaysite.wait_until(lambda: table in store.swallowed, "the poll is swallowed")
    del store.faults["swallow"]


def test_a_configuration_is_in_force_after_an_outage_swallowed_the_poll() -> None:
    with gatewaysite.GatewaySite() as one:
        gatewaysite.wait_until(lambda: one.gateway.is_ready, "ready")

        def in_force() -> int:
            table = one.gateway.orders.table
            return table.number if table else 0

        def put(number: int) -> None:
            one.store.put("op", "config", gatewaysite.config(number))

        swallow_next_poll(one, "op", lambda: put(2))
        assert in_force() == 2
        put(3)
        gatewaysite.wait_until(lambda: in_force() == 3, "the change is in force")


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_an_endpoint_that_leaves_after_such_an_outage_gets_nothing_new(
    state: str,
) -> None:
    with gatewaysite.GatewaySite() as one:
        one.add("e1", "app")
        one.add("e2", "app")
        swallow_next_poll(one, "servers", lambda: one.write_row("e1", "app", Slots=9))
        if state == "gone":
            one.store.remove("servers", "e2")
        else:
            one.write_row("e2", "app", State="draining")
        gatewaysite.wait_until(lambda: one.known("app") == {"e1"}, "it has left")
