"""A poison request in the own mode: engines that end behind agents, through entries.

The class of the fault is ``testpoison``'s: nothing was kept of a request when a call
was over.  A call that may be repeated went to one agent after the other as far as the
retry budget went, and the caller's next try began anew at any entry.
"""

import threading
import time

import pytest

from gaprock import entry_budget, errorcodes, errors, quarantine
from gaprock.test import site
from gaprock.test.fakes import engine, httpfake

POISON = "the text that ends whatever runs it"
AGENTS = 6


class Mortal(engine.EngineFake):
    """An engine that ends as it begins to run the poison request."""

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


@pytest.fixture
def mortals(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(engine, "EngineFake", Mortal)


def ask(s: site.Site, entry: int, stream: bool) -> errors.GaprockError:
    """Send the poison request and give what became of it."""
    with pytest.raises(errors.GaprockError) as caught:
        s.chat(entry, stream, messages=[{"role": "user", "content": POISON}])
    return caught.value


def count_ended(s: site.Site) -> int:
    return sum(isinstance(e, Mortal) and e.ended for e in s.engines.values())


@pytest.mark.parametrize("stream", [False, True])
def test_a_poison_request_ends_three_engines_whichever_entries_it_comes_through(
    mortals: None, stream: bool
) -> None:
    with site.Site() as s:
        s.start(agents=AGENTS, entries=2)
        for entry in s.entries:
            # The budget of second tries is not what keeps it back.
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
        # Others are served, and an agent refuses it as the last gate.
        assert s.chat(0).status == 200
        for agent in s.agents.values():
            site.wait_until(lambda: bool(agent.quarantine.held_count), "agents, too")


def test_an_entry_that_starts_later_hears_what_is_held(mortals: None) -> None:
    with site.Site() as s:
        s.start(agents=2, entries=1)
        mark = 7
        lives = {life: quarantine.BEGUN_WEIGHT for life in "abc"}
        for life, weight in lives.items():
            s.entries[0].quarantine.note(mark, life, weight)
        threading.Event().wait(0.3)
        late = s.start_entry()
        site.wait_until(lambda: late.quarantine.held_for_s(mark) > 0, "it hears of it")


def test_a_whole_answer_clears(mortals: None) -> None:
    with site.Site() as s:
        s.start(agents=1, entries=1)
        assert s.chat(0).status == 200
        book = s.entries[0].quarantine
        call = s.entries[0].parser.chat(
            {"authorization": f"Bearer {site.CALLER_KEY}"},
            b'{"model": "explain", "messages": [{"role": "user", "content": "why?"}], '
            b'"stream": false}',
        )
        book.note(call.mark, "a", quarantine.BEGUN_WEIGHT)
        assert book.is_suspected(call.mark)
        assert s.chat(0).status == 200
        assert not book.is_suspected(call.mark)
