"""Which ends of endpoints count against the requests that began to run there."""

import typing
from concurrent import futures

import pytest

from gaprock.test import endcase

# Cells that are played side by side; each one waits most of its time.
PLAYED_AT_ONCE: typing.Final = 6
KINDS: typing.Final = {
    endcase.Fate.WAITS: ("safe", "unsafe", "gen"),
    endcase.Fate.CALLER_LEFT: ("safe", "gen"),
    endcase.Fate.TIMED_OUT: ("safe", "gen"),
    endcase.Fate.BEGUN: ("gen",),
    endcase.Fate.BEGUN_LONG_AGO: ("gen",),
}
SHARED_FATES: typing.Final = (endcase.Fate.WAITS, endcase.Fate.CALLER_LEFT)


class Cell(typing.NamedTuple):
    """A case of the table: what requests have in common, end, fate and kind."""

    cause: endcase.Cause
    end: endcase.End
    fate: endcase.Fate
    kind: str

    def __str__(self) -> str:
        return f"{self.end.value}-{self.fate.value}-{self.kind}"


class LivingCell(typing.NamedTuple):
    """A case with endpoints that live: their trouble and the kind of the route."""

    trouble: endcase.Trouble
    kind: str

    def __str__(self) -> str:
        return f"{self.trouble.value}-{self.kind}"


CELLS: typing.Final = [
    Cell(endcase.Cause.REQUEST, end, fate, kind)
    for end in endcase.End
    for fate, kinds in KINDS.items()
    for kind in kinds
]
SHARED_CELLS: typing.Final = [
    Cell(cause, end, fate, "gen")
    for cause in (endcase.Cause.FAMILY, endcase.Cause.SEGMENT)
    for end in endcase.End
    for fate in SHARED_FATES
]
LIVING_CELLS: typing.Final = [
    LivingCell(trouble, kind) for trouble in endcase.Trouble for kind in ("safe", "gen")
]


def play(cell: Cell | LivingCell) -> list[int]:
    """Play a case.

    :returns: the arrivals that are too late; where endpoints live, how many requests
        and families are held or suspected, at each gateway.
    """
    if isinstance(cell, Cell):
        with endcase.Fleet(cell.kind, cell.end, cell.fate, cell.cause) as fleet:
            return [fleet.arrivals_too_late()]
    with endcase.LivingFleet(cell.kind, cell.trouble) as living:
        living.send_again_and_again()
        books = [gateway.quarantine for gateway in living.gateways]
        return [
            book.held_count
            + book.held_families
            + sum(bool(one.incarnations) for one in book._suspects.values())
            for book in books
        ]


Plays = dict[Cell | LivingCell, futures.Future[list[int]]]


@pytest.fixture(scope="module")
def plays(request: pytest.FixtureRequest) -> typing.Iterator[Plays]:
    """Play the selected cases side by side."""
    selected: list[Cell | LivingCell] = [
        typing.cast("Cell | LivingCell", item.callspec.params["cell"])
        for item in request.session.items
        if isinstance(item, pytest.Function)
        and item.path == request.path
        and "cell" in item.callspec.params
    ]
    with futures.ThreadPoolExecutor(PLAYED_AT_ONCE) as pool:
        yield {cell: pool.submit(play, cell) for cell in selected}


@pytest.mark.parametrize("cell", CELLS, ids=str)
def test_a_request_that_ended_three_endpoints_is_held_whatever_their_ends_look_like(
    cell: Cell, plays: Plays
) -> None:
    assert plays[cell].result() == [0]


@pytest.mark.parametrize(
    "cell", SHARED_CELLS, ids=lambda cell: f"{cell.cause.value}-{cell}"
)
def test_what_requests_that_end_endpoints_share_is_held_whatever_the_ends_look_like(
    cell: Cell, plays: Plays
) -> None:
    assert plays[cell].result() == [0]


@pytest.mark.parametrize("cell", LIVING_CELLS, ids=str)
def test_nobody_is_held_or_suspected_for_endpoints_that_live(
    cell: LivingCell, plays: Plays
) -> None:
    assert plays[cell].result() == [0, 0]
