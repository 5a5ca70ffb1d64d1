"""Requests through an entry, an agent and an engine inside one process."""

import io
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


def test_an_endpoint_error_is_raised_for_whole_answers_and_streams() -> None:
    with site.Site() as s:
        s.start()
        s.engines["a"].faults["fail"] = True
        for stream in (False, True):
            with pytest.raises(errors.GaprockError) as caught:
                s.chat(stream=stream)
            assert caught.value.code is errorcodes.ENDPOINT_ERROR


def test_a_message_is_unchanged_by_encoding_and_decoding() -> None:
    part = messages.Part(1, 2, 3, b"data")
    sent = messages.Parts([part])
    assert messages.decode(messages.encode(sent)) == sent


def test_an_internal_error_of_the_entry_is_reported_as_outcome_unknown() -> None:
    with site.Site() as s:
        s.start()
        entry = s.entries[0]
        # An exception that no code expects.
        setattr(entry.dispatcher, "_routing", None)
        raw = json.dumps({"model": "explain", "messages": [{}]}).encode()
        environ = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": "/v1/chat/completions",
            "HTTP_AUTHORIZATION": f"Bearer {site.CALLER_KEY}",
            "CONTENT_LENGTH": str(len(raw)),
            "wsgi.input": io.BytesIO(raw),
        }
        began: list[str] = []
        body = entry.root()(environ, lambda status, headers: began.append(status))
        assert began == ["502 Bad Gateway"]
        assert json.loads(b"".join(body))["error"]["ran"] == "outcome unknown"
        assert entry.server.open_requests == 0
