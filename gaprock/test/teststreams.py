"""A caller gets the complete answer to its own request, or an explicit error."""

import threading
import typing

import hypothesis
import pytest
from hypothesis import strategies

from gaprock import (
    agent_run,
    clock,
    entry_attempt,
    errorcodes,
    errors,
    messages,
    options,
)
from gaprock.test import site, testconfig
from gaprock.test.fakes import cutproxy

PARTS: typing.Final = 8


def end_of(count: int) -> messages.End:
    return messages.End(1, count, 0, "", 200, "", 0.0, None)


def attempt_of() -> entry_attempt.Attempt:
    start = testconfig.start_message("small@1", 1, stream=True)
    return entry_attempt.Attempt(1, start, "", 0.0)


# What may arrive: parts in any order and number, single or joined, and the end message.
arrivals = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.integers(0, PARTS - 1), strategies.integers(1, 3)),
        strategies.just("end"),
    ),
    max_size=40,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(arrivals)
def test_late_swapped_doubled_and_missing_parts_never_make_a_wrong_answer(
    arrivals: list[typing.Any],
) -> None:
    attempt = attempt_of()
    for arrival in arrivals:
        if arrival == "end":
            attempt.finish(end_of(PARTS))
        else:
            seq, count = arrival
            count = min(count, PARTS - seq)
            data = bytes(range(seq, seq + count))
            attempt.deliver(messages.Part(1, seq, count, data))
    taken = b""
    complete = False
    try:
        while data := attempt.read(0.0, clock.Clock()):
            taken += data
        complete = True
    except errors.GaprockError as exc:
        assert not exc.not_run
    assert taken == bytes(range(len(taken)))
    if complete:
        assert len(taken) == PARTS


class LossyLink:
    """A run and its attempt, with a connection between them that loses messages.

    :param losses: whether each message is lost, beginning from the list's end.
    """

    def __init__(self, window: int, losses: list[bool]) -> None:
        self.attempt = attempt_of()
        self.losses = losses
        start = testconfig.start_message("small@1", 1, stream=True, window=window)
        self.run = agent_run.Run(b"e", start, self._post, clock.Clock())

    def _post(self, peer: bytes, msg: messages.Message | messages.Part) -> None:
        if self.losses and self.losses.pop():
            return
        if isinstance(msg, messages.Part):
            self.attempt.deliver(msg)
        elif isinstance(msg, messages.End):
            self.attempt.finish(msg)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(strategies.lists(strategies.booleans(), max_size=60))
def test_messages_that_a_connection_lost_are_sent_again_on_resume(
    losses: list[bool],
) -> None:
    lossy_link = LossyLink(PARTS, losses)
    for number in range(PARTS):
        lossy_link.run.post_parts(bytes([number]), 1)
    lossy_link.run.finish(end_of(PARTS))
    while lossy_link.losses:
        lossy_link.run.resend(lossy_link.attempt.next_part)
    lossy_link.run.resend(lossy_link.attempt.next_part)
    assert lossy_link.attempt.read(0.0, clock.Clock()) == bytes(range(PARTS))
    assert lossy_link.attempt.read(0.0, clock.Clock()) == b""


def test_a_slow_reader_limits_what_is_in_flight_and_holds_up_nobody() -> None:
    window, parts = 16, 3000
    with site.Site(parts=parts) as s:
        s.start_agent("a")
        s.start_entry(lambda cfg: setattr(cfg, "window", window))
        s.wait_linked()
        s.publish(site.workspace(), site.template())
        s.wait_in_force()
        slow = s.chat(stream=True)
        assert slow.parts is not None
        first = next(slow.parts)
        # The slow caller reads nothing more; another caller's answer overtakes it.
        assert site.collect(s.chat(stream=True)) == site.whole("small@1", parts)
        (peer,) = s.agents["a"].hub._peers.values()
        site.wait_until(lambda: len(peer.runs) == 1, "the other one is done with")
        (run,) = peer.runs.values()
        assert run.count <= 2 * window
        assert first + site.collect(slow) == site.whole("small@1", parts)


def test_a_stream_that_its_engine_cuts_is_resumed() -> None:
    with site.Site(parts=30) as s:
        s.start()
        s.engines["a"].faults["cut_after"] = 11
        assert site.collect(s.chat(stream=True)) == site.whole("small@1", 30)


def test_a_stream_that_cannot_be_resumed_ends_in_an_error_event() -> None:
    with site.Site(parts=30) as s:
        s.start(change=lambda cfg: setattr(cfg, "max_resumes", 0))
        s.engines["a"].faults["cut_after"] = 11
        data = site.collect(s.chat(stream=True))
        assert b"[DONE]" not in data
        assert data.count(b"data: ") == 11 + 1
        assert b'"number":3002' in data


def start_behind_proxy(s: site.Site) -> cutproxy.CutProxy:
    agent = s.start_agent("a")
    proxy = cutproxy.CutProxy(agent.hub.port)
    s.platform.vms = []

    def through_proxy(cfg: options.Options) -> None:
        cfg.agents = [proxy.address]

    s.start_entry(through_proxy)
    s.wait_linked()
    s.publish(site.workspace(), site.template())
    s.wait_in_force()
    return proxy


def test_a_stream_survives_a_cut_between_entry_and_agent() -> None:
    with site.Site(parts=60, part_s=0.02) as s:
        proxy = start_behind_proxy(s)
        answer = s.chat(stream=True)
        assert answer.parts is not None
        data = next(answer.parts)
        proxy.cut()
        data += site.collect(answer)
        proxy.stop()
        assert data == site.whole("small@1", 60)
        assert s.engines["a"].ran.total() == 1


def test_a_stream_over_a_silent_connection_ends_in_an_error_event() -> None:
    with site.Site(parts=400, part_s=0.02) as s:
        proxy = start_behind_proxy(s)
        answer = s.chat(stream=True)
        assert answer.parts is not None
        next(answer.parts)
        proxy.data_flows.clear()
        data = site.collect(answer)
        proxy.stop()
        assert b"[DONE]" not in data and b"event: error" in data


def test_an_answer_for_an_attempt_that_was_given_up_reaches_nobody() -> None:
    with site.Site(first_s=0.3) as s:
        s.start()
        link = s.entries[0].links.all()[0]
        with pytest.raises(errors.GaprockError):
            deadline = clock.Clock().now() + 0.05
            s.chat(headers={"x-gaprock-deadline": str(deadline)})
        site.wait_until(lambda: not link._attempts, "given up")
        answer = s.chat(max_tokens=2)
        assert answer.body.count(b"answer of") == 1


def test_a_caller_that_goes_away_stops_its_stream() -> None:
    with site.Site(parts=500, part_s=0.01) as s:
        s.start()
        answer = s.chat(stream=True)
        assert answer.parts is not None
        next(answer.parts)
        answer.parts.close()
        assert s.entries[0].server.open_requests == 0
        (stream,) = s.engines["a"].streams.values()
        site.wait_until(lambda: stream.cancelled, "cancelled at the engine")


def test_a_stream_that_was_never_read_ends_its_request() -> None:
    with site.Site(parts=5) as s:
        s.start()
        answer = s.chat(stream=True)
        assert answer.parts is not None
        answer.parts.close()
        assert s.entries[0].server.open_requests == 0


def test_concurrent_streams_are_not_mixed_up() -> None:
    with site.Site(versions="small@1+large@1", slots=40, parts=50) as s:
        s.start(agents=2)
        wrong: list[int] = []

        def run(number: int) -> None:
            parts = 20 + number
            data = site.collect(s.chat(stream=True, max_tokens=parts))
            if data != site.whole("small@1", parts):
                wrong.append(number)

        threads = [threading.Thread(target=run, args=(n,)) for n in range(16)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert wrong == []


def test_a_failure_after_the_end_changes_nothing() -> None:
    attempt = attempt_of()
    attempt.deliver(messages.Part(1, 0, 1, b"x"))
    attempt.finish(end_of(1))
    attempt.fail(errors.GaprockError(errorcodes.STREAM_CUT))
    assert attempt.read(0.0, clock.Clock()) == b"x"
    assert attempt.read(0.0, clock.Clock()) == b""
