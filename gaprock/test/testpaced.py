"""Services whose endpoints all accept fewer requests per second than arrive."""

import threading

import hypothesis
import hypothesis.strategies as st

from gaprock import clock, errorcodes, paced_queue, rate_pacing
from gaprock.test import callcase, gatewaysite, limitcase

# -- The queue --


def test_requests_are_queued_by_urgency_and_then_by_arrival() -> None:
    queue = paced_queue.PacedQueue()
    turn = rate_pacing.Turn(100.0, 2.0)
    calls = [callcase.call(5), callcase.call(1), callcase.call(5), callcase.call(1)]
    positions = [queue.enter(one) for one in calls]
    expected_send_at = [
        queue.expected_send_at(*pair, turn) for pair in zip(calls, positions)
    ]
    assert expected_send_at == [101.0, 100.0, 101.5, 100.5]
    assert [queue.is_first(*pair) for pair in zip(calls, positions)].index(True) == 1
    queue.leave(calls[1], positions[1])
    assert queue.is_first(calls[3], positions[3])


def test_services_have_separate_queues() -> None:
    queue = paced_queue.PacedQueue()
    one, other = callcase.call(1, "a"), callcase.call(5, "b")
    queue.enter(one)
    position = queue.enter(other)
    assert queue.is_first(other, position)
    queue.leave(other, position)
    assert queue.is_empty("b") and not queue.is_empty("a")


@hypothesis.given(st.lists(st.integers(0, 9), max_size=20))
def test_the_queue_is_in_order_and_ends_empty(urgencies: list[int]) -> None:
    queue = paced_queue.PacedQueue()
    waiting = [(one, queue.enter(one)) for one in map(callcase.call, urgencies)]
    served = []
    while waiting:
        first = [pair for pair in waiting if queue.is_first(*pair)]
        assert len(first) == 1
        waiting.remove(first[0])
        queue.leave(*first[0])
        served.append(first[0][0].urgency)
    assert served == sorted(urgencies)
    assert queue.is_empty(callcase.SERVICE)


def test_retries_are_spaced_at_the_rate_of_sends() -> None:
    queue = paced_queue.PacedQueue()
    turn = rate_pacing.Turn(100.5, 4.0)
    waits = [queue.retry_after_s(callcase.call(1), turn, 100.0, 20.0) for _ in range(4)]
    steps = [round(after - before, 6) for before, after in zip(waits, waits[1:])]
    assert steps == [0.25, 0.25, 0.25]


def test_no_send_is_expected_at_a_rate_of_zero() -> None:
    queue = paced_queue.PacedQueue()
    one = callcase.call(1)
    position = queue.enter(one)
    assert (
        queue.expected_send_at(one, position, rate_pacing.Turn(clock.NEVER, 0.0))
        == clock.NEVER
    )


# -- The whole gateway --


def test_requests_above_the_rate_limits_are_refused_as_not_run() -> None:
    """Three endpoints accept 2 requests a second each, and callers send constantly."""
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


def test_nothing_is_refused_while_one_endpoint_has_no_rate_limit() -> None:
    """Two of three endpoints accept almost nothing; the third one accepts all."""
    with limitcase.Fleet(1, "safe") as fleet:
        for one in fleet.endpoints[:2]:
            one.limit = "0"
        assert set(fleet.send_continuously([0] * 4, 1.0)) == {200}
