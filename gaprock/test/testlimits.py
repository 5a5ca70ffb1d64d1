"""Rate limits that endpoints name: who knows of them, and what gateways send.

The story.  A model endpoint in need named the requests a second that it takes from all
gateways together, and for as long as it did so it got two to three times as many, in
spans of four seconds, while others of its service had room.

The order of events.  Two of nine endpoints name limits of 3.2 and 2.4 a second in their
answers; three seconds later their halls' gateways still send what they did before, and
when callers come in a burst more than ever, since an endpoint with little to do is the
emptiest one.
"""

import time
import typing

import hypothesis
import hypothesis.strategies as st
import pytest

from gaprock import clock, endpoint_state, gateway_api, rate_limits
from gaprock.platform import wire
from gaprock.test import limitcase

NO_LIMIT: typing.Final = gateway_api.NO_LIMIT


def limited_to(per_s: float) -> gateway_api.LimitNotice:
    return gateway_api.LimitNotice(per_s)


def endpoint(name: str = "e", born: int = 1) -> endpoint_state.Endpoint:
    row = gateway_api.EndpointRow("s", "10.0.0.1", 1, "h1", "v1", 8, False, born)
    return endpoint_state.Endpoint(name, row)


# -- What the header says --


def read(*values: bytes) -> gateway_api.LimitNotice:
    headers = [(b"Server-Limit", value) for value in values]
    return wire.PlatformDialect().read_answer(200, headers).limit


@pytest.mark.parametrize(
    "text, per_s", [(b"2.4", 2.4), (b"0", 0.0), (b" 12 ", 12.0), (b"0.30", 0.3)]
)
def test_the_adapter_reads_a_limit(text: bytes, per_s: float) -> None:
    assert read(text) == limited_to(per_s)


@pytest.mark.parametrize(
    "text",
    [b"", b"-1", b"nan", b"inf", b"1e400", b"2,4", b"2.", b"+3", b"0x2", b"9" * 10_000],
)
def test_what_is_no_number_is_no_limit(text: bytes) -> None:
    notice = read(text)
    assert notice.per_s is None
    assert 0 < len(notice.odd) <= wire.MAX_ODD


def test_two_limits_are_none() -> None:
    assert read(b"2.4", b"2.4").per_s is None
    assert read(b"2.4", b"2.4").odd


@hypothesis.given(st.lists(st.binary(max_size=40), max_size=3))
def test_any_header_is_read_as_a_limit_or_as_none(values: list[bytes]) -> None:
    notice = read(*values)
    assert notice.per_s is None or 0.0 <= notice.per_s < 1e12
    assert not (notice.odd and notice.per_s is not None)
    assert bool(values) == (bool(notice.odd) or notice.per_s is not None)


# -- Which answer counts --


def test_a_limit_holds_until_an_answer_to_a_later_request_names_none() -> None:
    time = clock.ManualClock(100.0)
    limits = rate_limits.RateLimits(time)
    one = endpoint()
    limits.note_answer(one, limited_to(2.4), 99.5)
    time.advance(1.0)
    limits.note_answer(one, NO_LIMIT, 99.9)
    assert limits.limit(one.life) == 2.4
    limits.note_answer(one, NO_LIMIT, 100.5)
    assert limits.limit(one.life) is None


def test_a_lower_limit_counts_at_once_and_a_higher_one_in_its_order() -> None:
    time = clock.ManualClock(100.0)
    limits = rate_limits.RateLimits(time)
    one = endpoint()
    limits.note_answer(one, limited_to(5.0), 99.0)
    limits.note_answer(one, limited_to(2.0), 99.0)
    assert limits.limit(one.life) == 2.0
    time.advance(1.0)
    limits.note_answer(one, limited_to(5.0), 99.9)
    assert limits.limit(one.life) == 2.0
    limits.note_answer(one, limited_to(5.0), 100.1)
    assert limits.limit(one.life) == 5.0


def test_a_limit_is_that_of_one_life() -> None:
    limits = rate_limits.RateLimits(clock.ManualClock(100.0))
    limits.note_answer(endpoint(born=1), limited_to(2.0), 99.0)
    assert limits.limit(endpoint(born=2).life) is None


@hypothesis.given(
    st.lists(
        st.tuples(
            st.floats(0.0, 1.0),
            st.floats(0.0, 2.0),
            st.sampled_from([None, 1.0, 2.0, 3.0]),
        ),
        max_size=20,
    )
)
def test_nothing_that_was_begun_before_a_naming_relaxes_it(
    answers: list[tuple[float, float, float | None]],
) -> None:
    time = clock.ManualClock(100.0)
    limits = rate_limits.RateLimits(time)
    one = endpoint()
    # The newest naming, and when it came.
    named: tuple[float | None, float] = (None, 0.0)
    for pause, took, per_s in answers:
        time.advance(pause)
        before = limits.limit(one.life)
        notice = NO_LIMIT if per_s is None else limited_to(per_s)
        limits.note_answer(one, notice, time.now() - took)
        after = limits.limit(one.life)
        is_relaxed = before is not None and (after is None or after > before)
        assert not (is_relaxed and time.now() - took <= named[1])
        if per_s is not None and after == per_s:
            named = (per_s, time.now())


def test_what_is_over_and_who_is_gone_is_forgotten() -> None:
    time = clock.ManualClock(100.0)
    limits = rate_limits.RateLimits(time)
    over, gone, there = endpoint("over"), endpoint("gone"), endpoint("there")
    for one in (over, gone, there):
        limits.note_answer(one, limited_to(2.0), 99.0)
    time.advance(1.0)
    limits.note_answer(over, NO_LIMIT, 100.5)
    time.advance(rate_limits.KEEP_S + 1.0)
    limits.forget_old({over.life, there.life})
    assert list(limits._known) == [there.life]


# -- The whole path --


@pytest.mark.parametrize("kind", ["safe", "gen"])
def test_an_endpoint_in_need_gets_what_it_names_from_all_gateways(kind: str) -> None:
    """Each hall's callers press; where models climb, each request is two sends."""
    with limitcase.Fleet(3, kind) as fleet:
        for one in fleet.endpoints:
            one.confidence = "5"
        fleet.press([0, 1, 2], 0.3)
        in_need = fleet.endpoints[0]
        in_need.limit = "2.5"
        fleet.press([0, 1, 2], 0.3)
        fleet.let_tell()
        told_at = time.monotonic()
        statuses = fleet.press([0, 0, 1, 2], limitcase.WINDOW_S + 1.0)
        assert 1 <= in_need.most_since(told_at) <= 2.5 * limitcase.WINDOW_S + 3
        assert set(statuses) == {200}
