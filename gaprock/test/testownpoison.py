"""A poison request that crashes engines behind agents, sent through several entries.

As in ``testpoison``, the fault is that nothing is remembered of a request once its call
is over: a repeatable call goes to one agent after the other until the retry budget is
used up, and the caller's next try starts over at any entry.
"""

import threading
import time
import typing

import pytest

from gaprock import entry_budget, errorcodes, errors, suspicion
from gaprock.test import site
from gaprock.test.fakes import engine, httpfake

POISON = "the text that ends whatever runs it"
AGENTS = 6


class CrashingEngine(engine.EngineFake):
    """An engine that crashes when it starts to run the poison request."""

    ended = False

    def handle(
        self, exchange: httpfake.Exchange, method: str, path: str, body: bytes
    ) -> httpfake.Reply | None:
        if POISON.encode() not in body:
            return super().handle(exchange, method, path, body)
        time.sleep(0.02)
        if not self.ended:
            self.ended = True
            self.stop()
        return httpfake.Reply(500, drop=True)


class RestartingEngine(engine.EngineFake):
    """An engine that crashes on the poison request and is back at once, at its port.

    It has been cancelled or timed out by then if its caller waits for less.
    """

    CRASHES_AFTER_S = 0.05

    crashes = 0

    def handle(
        self, exchange: httpfake.Exchange, method: str, path: str, body: bytes
    ) -> httpfake.Reply | None:
        if POISON.encode() not in body:
            return super().handle(exchange, method, path, body)
        time.sleep(self.CRASHES_AFTER_S)
        self.crashes += 1
        self.cut()
        return httpfake.Reply(500, drop=True)


class SlowEngine(engine.EngineFake):
    """An engine that answers a request late."""

    def handle(
        self, exchange: httpfake.Exchange, method: str, path: str, body: bytes
    ) -> httpfake.Reply | None:
        if POISON.encode() in body:
            time.sleep(0.2)
        return super().handle(exchange, method, path, body)


@pytest.fixture
def crashing_engines(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(engine, "EngineFake", CrashingEngine)


def ask(s: site.Site, entry: int, stream: bool) -> errors.GaprockError:
    """Send the poison request and return the error."""
    with pytest.raises(errors.GaprockError) as caught:
        s.chat(entry, stream, messages=[{"role": "user", "content": POISON}])
    return caught.value


def count_ended(s: site.Site) -> int:
    return sum(isinstance(e, CrashingEngine) and e.ended for e in s.engines.values())


@pytest.mark.parametrize("stream", [False, True])
def test_a_poison_request_ends_three_engines_whichever_entries_it_comes_through(
    crashing_engines: None, stream: bool
) -> None:
    with site.Site() as s:
        s.start(agents=AGENTS, entries=2)
        for entry in s.entries:
            # Make the retry budget large enough not to hold the request back.
            entry.dispatcher.budget = entry_budget.RetryBudget(100.0)
        codes = []
        for number in range(8):
            codes.append(ask(s, number % 2, stream).code)
            for entry in s.entries:
                site.wait_until(
                    lambda: bool(entry.quarantine.held_count) or count_ended(s) < 3,
                    "the entry holds it",
                )
        assert count_ended(s) == 3
        assert codes[-1] is codes[-2] is errorcodes.HELD
        # Other requests are served.  Agents, the last gate before the engines, hold the
        # poison request as well.
        assert s.chat(0).status == 200
        for agent in s.agents.values():
            site.wait_until(lambda: bool(agent.quarantine.held_count), "agents, too")


@pytest.mark.parametrize("wait_s", [10.0, 0.03])
@pytest.mark.parametrize("stream", [False, True])
def test_a_poison_request_is_held_though_its_engines_are_back_at_once(
    monkeypatch: pytest.MonkeyPatch, stream: bool, wait_s: float
) -> None:
    monkeypatch.setattr(engine, "EngineFake", RestartingEngine)
    with site.Site() as s:
        s.start(agents=AGENTS, entries=2)
        for entry in s.entries:
            entry.dispatcher.budget = entry_budget.RetryBudget(100.0)
        engines = typing.cast(list[RestartingEngine], list(s.engines.values()))
        for number in range(12):
            headers = {"x-gaprock-deadline": f"{time.time() + wait_s:.3f}"}
            messages = [{"role": "user", "content": POISON}]
            with pytest.raises(errors.GaprockError):
                s.chat(number % 2, stream, headers, messages=messages)
            time.sleep(0.3)
        assert all(entry.quarantine.held_count for entry in s.entries)
        assert 3 <= sum(one.crashes for one in engines) <= 4
        assert s.chat(0).status == 200


def test_callers_whose_time_is_over_at_an_engine_that_lives_hold_nobody(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(engine, "EngineFake", SlowEngine)
    with site.Site() as s:
        s.start(agents=2, entries=1)
        for _ in range(6):
            headers = {"x-gaprock-deadline": f"{time.time() + 0.05:.3f}"}
            messages = [{"role": "user", "content": POISON}]
            with pytest.raises(errors.GaprockError):
                s.chat(0, False, headers, messages=messages)
        threading.Event().wait(1.5)
        assert all(entry.quarantine.is_empty for entry in s.entries)
        assert all(agent.quarantine.is_empty for agent in s.agents.values())


def test_an_entry_that_starts_later_hears_what_is_held(crashing_engines: None) -> None:
    with site.Site() as s:
        s.start(agents=2, entries=1)
        fingerprint = 7
        incarnations = {incarnation: suspicion.BEGUN_WEIGHT for incarnation in "abc"}
        for incarnation, weight in incarnations.items():
            s.entries[0].quarantine.record_crash(fingerprint, incarnation, weight)
        threading.Event().wait(0.3)
        late = s.start_entry()
        site.wait_until(
            lambda: late.quarantine.held_for_s(fingerprint) > 0,
            "the late entry holds it",
        )


def test_a_complete_answer_clears_suspicion(crashing_engines: None) -> None:
    with site.Site() as s:
        s.start(agents=1, entries=1)
        assert s.chat(0).status == 200
        book = s.entries[0].quarantine
        call = s.entries[0].parser.chat(
            {"authorization": f"Bearer {site.CALLER_KEY}"},
            b'{"model": "explain", "messages": [{"role": "user", "content": "why?"}], '
            b'"stream": false}',
        )
        book.record_crash(call.fingerprint, "a", suspicion.BEGUN_WEIGHT)
        assert book.is_suspected(call.fingerprint)
        assert s.chat(0).status == 200
        assert not book.is_suspected(call.fingerprint)
