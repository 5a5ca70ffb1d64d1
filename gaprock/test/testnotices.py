"""What answers say of their endpoints, as the adapter reads it."""

import time

import hypothesis
import hypothesis.strategies as st
import pytest

from gaprock import gateway_api
from gaprock.platform import notices, wire


def read(status: int, *headers: tuple[bytes, bytes]) -> gateway_api.EndpointNotice:
    return wire.PlatformDialect().read_answer(status, list(headers)).notice


def backoff(status: int, *values: bytes) -> gateway_api.EndpointNotice:
    return read(status, *((b"Retry-After", value) for value in values))


# -- Leaving --


@pytest.mark.parametrize("status", [200, 421, 429, 500, 503])
def test_every_answer_may_say_that_its_endpoint_leaves(status: int) -> None:
    assert read(status, (b"server-leaving", b" 1 ")).is_leaving
    assert not read(status).is_leaving
    assert not read(status, (b"Server-Leaving", b"0")).is_leaving


def test_a_departure_that_is_said_twice_is_one() -> None:
    assert read(200, (b"Server-Leaving", b"1"), (b"Server-Leaving", b"1")).is_leaving


@pytest.mark.parametrize("text", [b"", b"yes", b"2", b"1, 1", b"1" * 10_000])
def test_what_is_no_departure_is_reported(text: bytes) -> None:
    notice = read(200, (b"Server-Leaving", text))
    assert not notice.is_leaving
    assert len(notice.invalid) == 1


# -- Backoff --


@pytest.mark.parametrize(
    "text, seconds",
    [(b"3", 3.0), (b"0.25", 0.25), (b"0", 0.0), (b" 12 ", 12.0), (b"3600", 3600.0)],
)
@pytest.mark.parametrize("status", [429, 503])
def test_a_refusal_may_ask_for_a_backoff(
    status: int, text: bytes, seconds: float
) -> None:
    notice = backoff(status, text)
    assert notice.backoff_s == seconds
    assert not notice.invalid


@pytest.mark.parametrize("status", [200, 301, 421, 500, 502])
def test_other_answers_ask_for_none(status: int) -> None:
    assert backoff(status, b"3") == gateway_api.NO_NOTICE


def test_a_backoff_may_be_a_date() -> None:
    until = (b"Retry-After", b"Wed, 21 Oct 2026 07:28:05 GMT")
    date = (b"Date", b"Wed, 21 Oct 2026 07:28:00 GMT")
    assert read(503, until, date).backoff_s == 5.0
    assert read(503, date, (b"Retry-After", date[1])).backoff_s == 0.0
    past = read(503, (b"Retry-After", b"Wed, 21 Oct 2015 07:28:00 GMT"))
    assert past.backoff_s == 0.0 and not past.invalid


def test_a_date_without_that_of_the_answer_counts_from_now() -> None:
    at = time.time() + 100.0
    text = time.strftime("%a, %d %b %Y %H:%M:%S GMT", time.gmtime(at)).encode()
    assert 50.0 < backoff(503, text).backoff_s <= 100.0


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"-1",
        b"nan",
        b"inf",
        b"1e400",
        b"3,",
        b"+3",
        b"0x2",
        b"9" * 10_000,
        b"soon",
        b"Wed, 99 Oct 2026 07:28:05 GMT",
    ],
)
def test_what_is_no_time_is_no_backoff(text: bytes) -> None:
    notice = backoff(503, text)
    assert notice.backoff_s == 0.0
    assert len(notice.invalid) == 1
    assert len(notice.invalid[0]) <= notices.MAX_INVALID_CHARS + len("retry-after: ")


def test_two_backoffs_are_none() -> None:
    assert backoff(503, b"3", b"3").backoff_s == 0.0
    assert backoff(503, b"3", b"3").invalid


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from([b"Server-Leaving", b"Retry-After", b"Server-Limit"]),
            st.binary(max_size=40),
        ),
        max_size=6,
    )
)
def test_any_headers_are_read(headers: list[tuple[bytes, bytes]]) -> None:
    notice = read(503, *headers)
    assert 0.0 <= notice.backoff_s < 1e12
    assert len(notice.invalid) <= len(headers)
