"""The memory for requests that are still arriving, without a network."""

import typing

from gaprock import arrivals, clock

BUDGET: typing.Final = 8_000_000
PART: typing.Final = BUDGET // 2
SMALL: typing.Final = BUDGET // 4


class Callers:
    """Arriving requests, and which of them were given up, in that order."""

    def __init__(self) -> None:
        self.time = clock.ManualClock(100.0)
        self.kept = 0
        self.arrivals = arrivals.Arrivals(self.time, lambda: BUDGET, lambda: self.kept)
        self.given_up: list[str] = []

    def open(self, name: str, size: int = 0) -> arrivals.Arrival:
        arrival = self.arrivals.open(lambda: self.given_up.append(name))
        if size:
            assert self.arrivals.record(arrival, size)
        return arrival


def test_bodies_of_known_length_are_counted_before_they_arrive() -> None:
    callers = Callers()
    for name in "ab":
        assert callers.arrivals.admit_body(callers.open(name), PART // 2)
    assert not callers.arrivals.admit_body(callers.open("c"), PART // 2)
    assert not callers.given_up and callers.arrivals.refused_count == 1


def test_a_body_that_stopped_is_given_up_for_another_one() -> None:
    callers = Callers()
    first = callers.open("first")
    assert callers.arrivals.admit_body(first, PART)
    assert callers.arrivals.record(first, PART - 1)
    callers.time.advance(arrivals.SLOW_S)
    assert callers.arrivals.admit_body(callers.open("second"), PART // 2)
    assert callers.given_up == ["first"]
    assert not callers.arrivals.record(first, PART)


def test_a_body_that_makes_headway_is_not_given_up_for_another_one() -> None:
    callers = Callers()
    first = callers.open("first")
    assert callers.arrivals.admit_body(first, PART)
    for size in range(arrivals.SLOW_BYTES, PART, arrivals.SLOW_BYTES):
        callers.time.advance(arrivals.SLOW_S / 2)
        assert callers.arrivals.record(first, size)
    assert not callers.arrivals.admit_body(callers.open("second"), PART // 2)
    assert not callers.given_up


def test_a_body_of_unknown_length_is_refused_once_it_does_not_fit() -> None:
    callers = Callers()
    assert callers.arrivals.admit_body(callers.open("first"), PART // 2)
    second = callers.open("second")
    assert callers.arrivals.admit_body(second, 0)
    assert callers.arrivals.record(second, PART // 2)
    assert not callers.arrivals.record(second, PART // 2 + 1)


def test_a_body_that_arrives_alone_may_take_what_is_free() -> None:
    callers = Callers()
    callers.kept = BUDGET // 4
    assert callers.arrivals.admit_body(callers.open("first"), BUDGET - callers.kept)
    callers = Callers()
    callers.kept = BUDGET // 4
    assert not callers.arrivals.admit_body(callers.open("first"), BUDGET)


def test_the_earliest_small_requests_make_room_for_later_ones() -> None:
    callers = Callers()
    count = SMALL // 10_000
    for number in range(count):
        callers.time.advance(0.001)
        callers.open(str(number), 10_000)
    assert not callers.given_up
    callers.open("last", 20_000)
    assert callers.given_up == ["0", "1"]
    assert callers.arrivals.used <= SMALL


def test_large_bodies_do_not_displace_small_requests() -> None:
    callers = Callers()
    callers.open("small", 10_000)
    for name in "abcd":
        callers.arrivals.admit_body(callers.open(name), PART // 2)
    assert not callers.given_up


def test_answers_are_made_room_for_by_bodies_that_stopped_first() -> None:
    callers = Callers()
    for name, size in (("stopped", PART // 4), ("large", PART // 2)):
        arrival = callers.open(name)
        assert callers.arrivals.admit_body(arrival, size)
        assert callers.arrivals.record(arrival, size)
        callers.time.advance(arrivals.SLOW_S / 2)
    callers.time.advance(arrivals.SLOW_S / 4)
    assert callers.arrivals.record(arrival, PART // 2 + arrivals.SLOW_BYTES)
    callers.time.advance(arrivals.SLOW_S / 2)
    assert callers.arrivals.make_room(1) == PART // 4
    assert callers.given_up == ["stopped"]
    assert callers.arrivals.make_room(1) > 0
    assert callers.given_up == ["stopped", "large"]
    assert callers.arrivals.used == 0


def test_bytes_of_an_ended_request_do_not_stay_counted() -> None:
    callers = Callers()
    arrival = callers.open("first", 10_000)
    callers.arrivals.close(arrival)
    assert callers.arrivals.used == 0
