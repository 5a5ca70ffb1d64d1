"""The whole path inside one process."""

import json

import pytest

from gaprock import errorcodes, errors, messages
from gaprock.test import site


def test_a_streamed_answer_is_whole_and_billed_once() -> None:
    with site.Site(parts=40) as s:
        s.start(agents=2)
        answer = s.chat(stream=True)
        assert site.collect(answer) == site.whole("small@1", 40)
        site.wait_until(lambda: len(s.platform.keys("bill/")) == 1, "bill")
        (key,) = s.platform.keys("bill/")
        assert s.platform.value(key)["cost"] == 40
        site.wait_until(lambda: not len(s.entries[0].bills), "bill settled")
        for agent in s.agents.values():
            site.wait_until(lambda: not len(agent.bills), "agent's copy dropped")


def test_a_whole_answer_names_its_version() -> None:
    with site.Site() as s:
        s.start()
        answer = s.chat()
        assert answer.status == 200
        assert json.loads(answer.body)["model"] == "small@1"
        assert answer.headers["X-Gaprock-Version"] == "small@1"


def test_an_endpoint_error_is_no_answer() -> None:
    with site.Site() as s:
        s.start()
        s.engines["a"].faults["fail"] = True
        for stream in (False, True):
            with pytest.raises(errors.GaprockError) as caught:
                s.chat(stream=stream)
            assert caught.value.code is errorcodes.ENDPOINT_ERROR


def test_a_message_survives_its_codec() -> None:
    part = messages.Part(1, 2, 3, b"data")
    sent = messages.Parts([part])
    assert messages.decode(messages.encode(sent)) == sent
