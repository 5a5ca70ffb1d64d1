"""A follower does not call the shared store before the time that it asked for."""

import time
import typing

import pytest
import urllib3

from gaprock import clock, followers, freshness, gateway_api
from gaprock.platform import store
from gaprock.test import gatewaysite

RETRY_S: typing.Final = 0.6


class BusyStore(gateway_api.SharedStore):
    """Rejects each call with the time after which to retry."""

    def __init__(self) -> None:
        self.calls: list[float] = []

    def read(self, table: str) -> gateway_api.Page:
        self.calls.append(time.monotonic())
        raise gateway_api.StoreError("status 429", RETRY_S)


class Sink:
    """Expects no page."""

    def apply_page(self, page: gateway_api.Page, whole: bool) -> None:
        raise AssertionError("no page was read")


def test_a_store_that_turns_calls_away_is_not_called_before_its_time() -> None:
    busy, time_ = BusyStore(), clock.SteadyClock()
    fresh = freshness.Freshness(time_, freshness.StoreClock(), lambda: 7.0)
    follower = followers.Follower("op", busy, time_, Sink(), fresh, 0.0)
    follower.start()
    try:
        gatewaysite.wait_until(lambda: len(busy.calls) >= 3, "three calls")
    finally:
        follower.stop()
    pauses = [after - before for before, after in zip(busy.calls, busy.calls[1:])]
    assert all(pause_s >= RETRY_S for pause_s in pauses)


@pytest.mark.parametrize(
    "text, seconds",
    [("0.5", 0.5), ("", 0.0), ("soon", 0.0), ("nan", 0.0), ("-3", 0.0)]
    + [("3600", store.MAX_RETRY_AFTER_S), ("1e400", 0.0)],
)
def test_any_time_to_come_back_is_read_and_bounded(text: str, seconds: float) -> None:
    answer = urllib3.HTTPResponse(b"", headers={"Retry-After": text}, status=429)
    with pytest.raises(gateway_api.StoreError) as caught:
        store._decode_answer(answer)
    assert caught.value.retry_after_s == seconds
