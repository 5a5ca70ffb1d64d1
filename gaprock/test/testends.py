"""Which ends of endpoints count against the requests that began to run there."""

import typing

import pytest

from gaprock.test import endcase

KINDS: typing.Final = {
    endcase.Fate.WAITS: ("safe", "unsafe", "gen"),
    endcase.Fate.CALLER_LEFT: ("safe", "gen"),
    endcase.Fate.TIMED_OUT: ("safe", "gen"),
    endcase.Fate.BEGUN: ("gen",),
    endcase.Fate.BEGUN_LONG_AGO: ("gen",),
}
CELLS: typing.Final = [
    pytest.param(end, fate, kind, id=f"{end.value}-{fate.value}-{kind}")
    for end in endcase.End
    for fate, kinds in KINDS.items()
    for kind in kinds
]


@pytest.mark.parametrize("end, fate, kind", CELLS)
def test_a_request_that_ended_three_endpoints_is_held_whatever_their_ends_look_like(
    end: endcase.End, fate: endcase.Fate, kind: str
) -> None:
    with endcase.Fleet(kind, end, fate) as fleet:
        assert fleet.arrivals_too_late() == 0


@pytest.mark.parametrize("kind", ["safe", "gen"])
@pytest.mark.parametrize("trouble", endcase.Trouble)
def test_nobody_is_held_or_suspected_for_endpoints_that_live(
    trouble: endcase.Trouble, kind: str
) -> None:
    with endcase.LivingFleet(kind, trouble) as fleet:
        fleet.send_again_and_again()
        for gateway in fleet.gateways:
            assert not gateway.quarantine.held_count + gateway.quarantine.held_families
            assert not any(
                s.incarnations for s in gateway.quarantine._suspects.values()
            )
