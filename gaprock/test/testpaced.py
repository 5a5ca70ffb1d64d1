"""Services of which all endpoints take fewer requests a second than come."""

import threading

import hypothesis
import hypothesis.strategies as st

from gaprock import clock, errorcodes, paced_queue, rate_pacing
from gaprock.test import callcase, gatewaysite, limitcase

# -- The line --


def test_the_most_urgent_goes_first_and_then_who_came_first() -> None:
    line = paced_queue.PacedQueue()
    turn = rate_pacing.Turn(100.0, 2.0)
    calls = [callcase.call(5), callcase.call(1), callcase.call(5), callcase.call(1)]
    places = [line.enter(one) for one in calls]
    sent_at = [line.sent_at(*pair, turn) for pair in zip(calls, places)]
    assert sent_at == [101.0, 100.0, 101.5, 100.5]
    assert [line.is_first(*pair) for pair in zip(calls, places)].index(True) == 1
    line.leave(calls[1], places[1])
    assert line.is_first(calls[3], places[3])


def test_services_have_lines_of_their_own() -> None:
    line = paced_queue.PacedQueue()
    one, other = callcase.call(1, "a"), callcase.call(5, "b")
    line.enter(one)
    place = line.enter(other)
    assert line.is_first(other, place)
    line.leave(other, place)
    assert line.is_empty("b") and not line.is_empty("a")


@hypothesis.given(st.lists(st.integers(0, 9), max_size=20))
def test_the_line_is_in_order_and_ends_empty(urgencies: list[int]) -> None:
    line = paced_queue.PacedQueue()
    waiting = [(one, line.enter(one)) for one in map(callcase.call, urgencies)]
    served = []
    while waiting:
        first = [pair for pair in waiting if line.is_first(*pair)]
        assert len(first) == 1
        waiting.remove(first[0])
        line.leave(*first[0])
        served.append(first[0][0].urgency)
    assert served == sorted(urgencies)
    assert line.is_empty(callcase.SERVICE)


def test_refused_callers_come_back_at_the_pace_of_sends() -> None:
    line = paced_queue.PacedQueue()
    turn = rate_pacing.Turn(100.5, 4.0)
    waits = [line.retry_after_s(callcase.call(1), turn, 100.0, 20.0) for _ in range(4)]
    steps = [round(after - before, 6) for before, after in zip(waits, waits[1:])]
    assert steps == [0.25, 0.25, 0.25]


def test_endpoints_that_take_nothing_at_all_let_nobody_wait() -> None:
    line = paced_queue.PacedQueue()
    one = callcase.call(1)
    place = line.enter(one)
    assert line.sent_at(one, place, rate_pacing.Turn(clock.NEVER, 0.0)) == clock.NEVER


# -- The whole path --


def test_what_is_more_than_all_endpoints_take_is_refused_as_not_run() -> None:
    """Three endpoints that take 2 a second each, and callers who ask all the time."""
    with limitcase.Fleet(1, "safe") as fleet:
        for one in fleet.endpoints:
            one.limit = "2"
        fleet.send_continuously([0, 0], 0.5)
        answers: list[gatewaysite.Answer] = []

        def ask() -> None:
            for _ in range(10):
                answers.append(fleet.call(0, b"x"))

        threads = [threading.Thread(target=ask) for _ in range(6)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert {answer.status for answer in answers} == {200, 503}
        refused = [answer for answer in answers if answer.status == 503]
        for answer in refused:
            assert float(answer.headers["retry-after"]) > 0
        code = f'"code": {errorcodes.PACED.number}'.encode()
        assert any(code in answer.body for answer in refused)


def test_a_service_with_room_elsewhere_refuses_nothing() -> None:
    """Two of three endpoints take next to nothing; the third one takes all."""
    with limitcase.Fleet(1, "safe") as fleet:
        for one in fleet.endpoints[:2]:
            one.limit = "0"
        assert set(fleet.send_continuously([0] * 4, 1.0)) == {200}
