"""Leaving endpoints get no new requests, and planned stops cut no streams."""

import itertools
import threading
import typing

import pytest

from gaprock import answers, documents, errorcodes, errors, messages
from gaprock.test import site


def ran_at(s: site.Site, name: str) -> int:
    return s.engines[name].ran.total()


def test_an_agent_that_says_it_leaves_gets_nothing_new() -> None:
    with site.Site() as s:
        s.start(agents=2, entries=2)
        s.wait_in_force()
        leaving = s.agents["a"]
        leaving.gate.leaving = True
        leaving.hub.report_now()
        for entry in s.entries:
            site.wait_until(
                lambda: sum(x.usable for x in entry.links.all()) == 1, "one left"
            )
        before = ran_at(s, "a")
        for number in range(10):
            s.chat(number % 2)
        assert ran_at(s, "a") == before
        assert ran_at(s, "b") >= 10


def test_an_agent_that_the_vm_list_names_as_leaving_gets_nothing_new() -> None:
    with site.Site() as s:
        s.start(agents=2)
        s.list_vm("a", "leaving")
        links = s.entries[0].links
        site.wait_until(lambda: sum(x.usable for x in links.all()) == 1, "one left")
        for _ in range(10):
            s.chat()
        assert ran_at(s, "a") == 0


def test_an_agent_that_is_gone_from_the_vm_list_gets_nothing_new() -> None:
    with site.Site() as s:
        s.start(agents=2)
        s.platform.vms = [vm for vm in s.platform.vms if vm["vm"] != "agent-a"]
        links = s.entries[0].links
        site.wait_until(lambda: sum(x.usable for x in links.all()) == 1, "one left")
        s.chat()
        assert ran_at(s, "a") == 0


def test_a_silent_agent_gets_nothing_new() -> None:
    with site.Site() as s:
        s.start(agents=2)
        hub = s.agents["a"].hub
        hub._stopped = True
        hub.post(b"", messages.ConfigWanted(0))
        links = s.entries[0].links
        site.wait_until(lambda: sum(x.usable for x in links.all()) == 1, "one left")
        for _ in range(5):
            s.chat()
        assert ran_at(s, "a") == 0


def test_an_endpoint_that_an_operator_drains_gets_nothing_new() -> None:
    with site.Site() as s:
        s.start(agents=2)
        s.publish(documents.Drain("a"))
        s.wait_in_force()
        for _ in range(6):
            s.chat()
        assert ran_at(s, "a") == 0
        s.entries[0].publisher.delete("drain/a", s.entries[0].config.revision)
        # Each request has its own prompt: with the same prompt it would go to the
        # endpoint that has it in its prefix cache, which is preferred to an idle one
        # while it is about as fast.
        prompts = (
            [{"role": "user", "content": f"why {number}?"}]
            for number in itertools.count()
        )
        site.wait_until(
            lambda: s.chat(messages=next(prompts)) and ran_at(s, "a"),
            "back in service",
        )


def test_an_endpoint_that_died_gets_nothing_new() -> None:
    with site.Site() as s:
        s.start(agents=2)
        s.engines.pop("a").stop()
        links = s.entries[0].links
        site.wait_until(
            lambda: {e.endpoint for e in links.endpoints() if e.versions} == {"b"},
            "noticed",
        )
        for _ in range(5):
            s.chat()


class Reader(threading.Thread):
    """Reads streamed answers to their end."""

    def __init__(self, opened: list[answers.Answer]) -> None:
        super().__init__()
        self._opened = opened
        self.read: list[bytes] = []

    def run(self) -> None:
        for answer in self._opened:
            self.read.append(site.collect(answer))


@pytest.mark.parametrize("what", ["entry", "agent"])
def test_a_planned_stop_cuts_no_stream_in_flight(what: str) -> None:
    with site.Site(parts=50, part_s=0.01) as s:
        s.start(agents=2, entries=2)
        s.wait_in_force()
        opened = [s.chat(stream=True) for _ in range(4)]
        reader = Reader(opened)
        reader.start()
        stopped: typing.Any
        if what == "entry":
            stopped = s.entries.pop(0)
        else:
            stopped = s.agents.pop("a")
        stopped.stop()
        reader.join()
        assert reader.read == [site.whole("small@1", 50)] * 4
        site.wait_until(lambda: len(s.platform.keys("bill/")) == 4, "all billed")


def test_work_goes_on_elsewhere_while_an_agent_leaves() -> None:
    with site.Site() as s:
        s.start(agents=2)
        failed: list[str] = []
        stop = threading.Event()

        def keep_calling() -> None:
            while not stop.is_set():
                try:
                    s.chat()
                except errors.GaprockError as exc:
                    failed.append(str(exc))

        caller = threading.Thread(target=keep_calling)
        caller.start()
        s.agents.pop("a").stop()
        stop.set()
        caller.join()
        assert failed == []


def test_a_leaving_entry_refuses_new_requests_as_not_run() -> None:
    with site.Site() as s:
        s.start()
        s.entries[0].server.leaving = True
        with pytest.raises(errors.GaprockError) as caught:
            s.chat()
        assert caught.value.code is errorcodes.LEAVING
        assert caught.value.retry_at > 0
        assert s.ran() == 0


def test_a_lost_acknowledgement_does_not_hold_up_a_planned_stop() -> None:
    with site.Site() as s:
        s.start()
        link = s.entries[0].links.all()[0]
        send = link._send
        lost: list[messages.Message] = []

        def lose_first_ack(sock: typing.Any, msg: messages.Message) -> None:
            if isinstance(msg, messages.Ack) and not lost:
                lost.append(msg)
            else:
                send(sock, msg)

        setattr(link, "_send", lose_first_ack)
        s.chat()
        hub = s.agents["a"].hub
        site.wait_until(lambda: lost and not hub.open_runs, "acknowledged after all")
