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
