"""A rollout of a bad version is halted, also when its answers are missing or slow."""

import threading
import time as steady
import typing

import pytest

from gaprock import clock, rollout_growth, rollout_latency, rollouts
from gaprock.test import gatewaysite, rolloutcase
from gaprock.test.fakes import backend

# Requests to the new version, and how many of them run at the same time.
REQUESTS: typing.Final = 30
CONCURRENT: typing.Final = 10
# How long a caller waits, seconds.
WAIT_S: typing.Final = 0.5


def send_unanswered(site: gatewaysite.GatewaySite, request: str, leaves: bool) -> None:
    """Send a request that gets no answer until its deadline, or its caller leaves."""
    if leaves:
        with site.connect() as sock:
            sock.sendall(site.request("/unsafe/x", X_Request_Id=request))
            steady.sleep(WAIT_S)
    else:
        site.call("/unsafe/x", X_Request_Id=request, X_Deadline_Ms="500")


def order_new_version(
    site: gatewaysite.GatewaySite, old_takes_s: float
) -> tuple[backend.Backend, list[str]]:
    """Order the rollout of a new version when the old one has given some answers.

    :param old_takes_s: time that the old version takes for an answer, seconds.
    :returns: the new version's endpoint, and the ids of requests that go to it.
    """
    old = site.add("old", "app", Version="v1")

    def answer_late(*args: typing.Any) -> None:
        steady.sleep(old_takes_s)
        backend.answer(*args)

    old.default_script = answer_late
    for _ in range(2 * rollout_latency.MIN_SAMPLES):
        assert site.call("/unsafe/x").status == 200
    fake = site.add("new", "app", Version="v2")
    document = {"Service": "app", "ToVersion": "v2", "FinishByS": 600}
    site.store.put("op", "rollout/app", document)
    book = site.gateway.rollouts
    gatewaysite.wait_until(lambda: book.all() != [], "ordered")
    names = [f"s{number}" for number in range(5000)]
    return fake, [name for name in names if book.fits("app", "v2", name)]


@pytest.mark.parametrize("leaves", [False, True])
def test_a_version_that_gives_no_answers_is_halted(leaves: bool) -> None:
    with gatewaysite.GatewaySite() as site:
        fake, requests = order_new_version(site, 0.0)
        fake.default_script = backend.hang
        for first in range(0, REQUESTS, CONCURRENT):
            threads = [
                threading.Thread(target=send_unanswered, args=(site, one, leaves))
                for one in requests[first : first + CONCURRENT]
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        assert site.gateway.rollouts.all()[0].halted


def add_latencies(
    book: rollouts.Rollouts, version: str, took_s: typing.Iterable[float]
) -> None:
    for one in took_s:
        answer = rollout_latency.VersionSample(False, one)
        book.judge_answer("llm", version, "r1", "m", answer)


# Latencies where half of the endpoints are as fast as usual and half take six times as
# long, seconds.
HALF_SLOW: typing.Final = [0.06, 0.36] * 50


def is_halted_beside_slow_ones(took_s: list[float]) -> bool:
    """Return whether a version is halted if half of the old one's answers are slow."""
    time = clock.ManualClock(100.0)
    book = rolloutcase.make_rollouts(time)
    rollout = book.add_order(rolloutcase.order(), 7, time.now())
    add_latencies(book, "v1", HALF_SLOW)
    add_latencies(book, "v2", took_s)
    return rollout.halted


def test_slow_answers_of_the_old_version_do_not_hide_a_slow_new_one() -> None:
    assert is_halted_beside_slow_ones([0.36] * 40)


def test_a_version_that_is_as_slow_as_the_old_one_goes_on() -> None:
    assert not is_halted_beside_slow_ones(HALF_SLOW)


def test_slow_answers_of_the_old_version_do_not_hide_a_failing_new_one() -> None:
    time = clock.ManualClock(100.0)
    book = rolloutcase.make_rollouts(time)
    rollout = book.add_order(rolloutcase.order(), 7, time.now())
    add_latencies(book, "v1", [0.06] * 20 + [0.06, 0.06, 0.06, 0.36] * 40)
    add_answers(book, "v1", 10, 0)
    for _ in range(14):
        add_answers(book, "v2", 0, 2)
        add_answers(book, "v2", 1, 0)
    assert rollout.halted


def test_answers_of_a_good_version_as_slow_and_failing_as_the_old_ones() -> None:
    time = clock.ManualClock(100.0)
    book = rolloutcase.make_rollouts(time)
    rollout = book.add_order(rolloutcase.order(), 7, time.now())
    for version, count in (("v1", 40), ("v2", 6)):
        add_latencies(book, version, [0.06, 0.06, 0.06, 0.36] * count)
        add_answers(book, version, count // 4, 0)
    assert not rollout.halted


def add_answers(book: rollouts.Rollouts, version: str, bad: int, good: int) -> None:
    for number in range(bad + good):
        answer = rollout_latency.VersionSample(number < bad, 0.1)
        book.judge_answer("llm", version, "r1", "m", answer)


def make_suspected_rollout(time: clock.ManualClock) -> rolloutcase.WriterCase:
    """Bring a rollout near its end, with some bad answers shortly before it."""
    case = rolloutcase.WriterCase(time)
    case.store.answers = [8, 9, 10]
    case.book.add_order(rolloutcase.order(24.0), 7, time.now())
    case.writer.step()
    add_answers(case.book, "v1", 0, 100)
    add_answers(case.book, "v2", 0, 100)
    case.on_old = 1
    case.step_for(17.4)
    case.on_old = 0
    add_answers(case.book, "v2", 5, 2)
    assert not case.book.all()[0].halted
    time.advance(2.5)
    case.writer.step()
    return case


def test_a_suspected_version_is_not_completed() -> None:
    time = clock.ManualClock(100.0)
    case = make_suspected_rollout(time)
    assert case.written() == ["running"]
    add_answers(case.book, "v2", 8, 2)
    time.advance(0.2)
    case.writer.step()
    assert case.written() == ["running", "rolled_back"]


def test_a_version_that_is_no_longer_suspected_is_completed() -> None:
    time = clock.ManualClock(100.0)
    case = make_suspected_rollout(time)
    add_answers(case.book, "v2", 0, 30)
    time.advance(0.2)
    case.writer.step()
    assert case.written() == ["running", "completed"]


def test_a_version_that_is_suspected_until_the_end_is_rolled_back() -> None:
    time = clock.ManualClock(100.0)
    case = make_suspected_rollout(time)
    time.advance(24.0 - rollout_growth.LAST_WRITE_S - 19.8 + 0.1)
    case.writer.step()
    assert case.written() == ["running", "rolled_back"]


def test_answers_that_break_off_count_against_their_version() -> None:
    with gatewaysite.GatewaySite() as site:
        fake, requests = order_new_version(site, 0.0)
        fake.default_script = backend.reset

        def is_halted() -> bool:
            site.call("/unsafe/x", X_Request_Id=requests.pop())
            return site.gateway.rollouts.all()[0].halted

        gatewaysite.wait_until(is_halted, "halted")


def test_an_endpoint_that_crashes_does_not_count_against_its_version() -> None:
    with gatewaysite.GatewaySite() as site:
        # As the old version takes 0.3 s, no request is late before the crash.
        fake, requests = order_new_version(site, 0.3)
        crashed = threading.Event()
        fake.default_script = lambda *args: typing.cast(None, crashed.wait(10.0))
        pending = [
            site.start_call("/unsafe/x", X_Request_Id=name)
            for name in requests[:CONCURRENT]
        ]
        gatewaysite.wait_until(lambda: len(fake.seen) == CONCURRENT, "they run")
        fake.stop()
        crashed.set()
        assert {one.get().status for one in pending} == {502}
        assert not site.gateway.rollouts.all()[0].halted


def test_a_request_that_fails_on_all_endpoints_counts_once() -> None:
    with gatewaysite.GatewaySite() as site:
        fake, requests = order_new_version(site, 0.0)
        other = site.add("other", "app", Version="v2")
        fake.default_script = other.default_script = backend.fail()
        # A canary's requests go to a share of its endpoints; with the full share these
        # are both.
        book = site.gateway.rollouts
        book.all()[0].growth.record_peer(1.0)
        answers = [
            site.call("/safe/x", X_Request_Id=name).status for name in requests[:2]
        ]
        assert answers == [500] * 2
        assert len(fake.seen) + len(other.seen) == 4
        label = book.all()[0].label
        evidence = site.gateway.mesh._evidence
        assert evidence.totals(f"{label}/new").bad == 2


@pytest.mark.parametrize("gap_s", [0.25, 0.08])
def test_a_slow_stream_counts_against_its_version_before_its_end(
    gap_s: float,
) -> None:
    with gatewaysite.GatewaySite() as site:
        site.add("old", "llm", Version="v1").default_script = backend.stream_to(8)
        for _ in range(2 * rollout_latency.MIN_SAMPLES):
            assert site.generate().status == 200
        fake = site.add("new", "llm", Version="v2")
        # A stream takes longer than its caller waits, so none comes to its end.
        fake.default_script = backend.stream_to(80, gap_s=gap_s)
        document = {"Service": "llm", "ToVersion": "v2", "FinishByS": 600}
        site.store.put("op", "rollout/llm", document)
        book = site.gateway.rollouts
        gatewaysite.wait_until(lambda: book.all() != [], "ordered")
        names = [f"s{number}" for number in range(5000)]
        chosen = [name for name in names if book.fits("llm", "v2", name)][:REQUESTS]
        pending = [
            site.start_call("/gen/x", X_Request_Id=name, X_Model="*") for name in chosen
        ]
        gatewaysite.wait_until(lambda: book.all()[0].halted, "halted")
        # Halted before the last ones were sent; none was sent twice.
        seen = [str(one) for one in fake.seen]
        assert len(set(seen)) == len(seen) <= len(pending)
        assert len(seen) > REQUESTS // 2
