"""Sessions keep their version, and their tokens cannot be forged."""

import json
import threading

import hypothesis
import pytest
from hypothesis import strategies

from gaprock import documents, errorcodes, errors, sessions
from gaprock.test import site

KEYS = ("first-key-of-the-site", "second-key-of-the-site")


def open_session(s: site.Site, entry: int = 0, **headers: str) -> tuple[str, str]:
    given = {"authorization": f"Bearer {site.CALLER_KEY}"}
    given |= {key.replace("_", "-"): value for key, value in headers.items()}
    body = json.dumps({"template": "explain"}).encode()
    found = json.loads(s.entries[entry].sessions.open(given, body).body)
    return found["session"], found["version"]


def test_a_session_keeps_its_version_over_rollouts_and_replaced_entries() -> None:
    with site.Site(versions="small@1+small@2") as s:
        s.start(agents=2)
        s.publish(site.template("small@1", "small@2"))
        s.publish(documents.Rollout("small@2", "small@1", [0.0, 1.0]))
        s.wait_in_force()
        token, version = open_session(s)
        assert version == "small@1"
        moved = documents.Rollout("small@2", "small@1", [1.0])
        s.publish(moved)
        s.wait_in_force()
        assert open_session(s)[1] == "small@2"
        s.start_entry()
        s.wait_linked()
        s.entries.pop(0).stop()
        for _ in range(5):
            answer = s.chat(headers={"x-gaprock-session": token})
            assert answer.headers["X-Gaprock-Version"] == "small@1"
        assert s.chat().headers["X-Gaprock-Version"] == "small@2"


def test_a_session_goes_on_while_new_ones_of_its_version_are_halted() -> None:
    with site.Site(versions="small@1+small@2") as s:
        s.start()
        s.publish(site.template("small@2"))
        token, version = open_session(s)
        s.entries[0].publisher.publish_urgent(documents.Halt("small@2", 0))
        s.wait_in_force()
        with pytest.raises(errors.GaprockError) as caught:
            s.chat()
        assert caught.value.code is errorcodes.VERSION_HALTED
        answer = s.chat(headers={"x-gaprock-session": token})
        assert answer.headers["X-Gaprock-Version"] == version == "small@2"


def test_two_first_requests_with_one_name_open_one_session() -> None:
    with site.Site(versions="small@1+small@2") as s:
        s.start(entries=2)
        s.publish(site.template("small@1", "small@2"))
        s.wait_in_force()
        # Make each entry choose a different version.
        for number in (0, 1):
            choose = f"small@{number + 1}"
            server = s.entries[number].server
            setattr(
                server,
                "open_session",
                lambda t, name, v=choose: sessions.Session(
                    name, t.workspace, t.name, v
                ),
            )
        opened: list[str] = []

        def open_one(entry: int) -> None:
            opened.append(open_session(s, entry, idempotency_key="sitting-1")[1])

        threads = [threading.Thread(target=open_one, args=(n % 2,)) for n in range(6)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert len(opened) == 6 and len(set(opened)) == 1


def test_a_token_of_another_workspace_is_refused_and_not_run() -> None:
    with site.Site() as s:
        s.start()
        s.publish(site.workspace("other", "other-key"))
        s.publish(site.template(workspace="other"))
        token, _ = open_session(s)
        headers = {"x-gaprock-session": token, "authorization": "Bearer other-key"}
        with pytest.raises(errors.GaprockError) as caught:
            s.chat(headers=headers)
        assert caught.value.code is errorcodes.BAD_SESSION
        assert s.ran() == 0


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(strategies.data())
def test_a_forged_token_is_refused(data: strategies.DataObject) -> None:
    signer = sessions.Signer([KEYS[0]])
    session = sessions.Session("s", "w", "t", "small@1")
    token = signer.sign(session)
    where = data.draw(strategies.integers(0, len(token) - 1))
    letter = data.draw(strategies.sampled_from("aZ0_-."))
    forged = token[:where] + letter + token[where + 1 :]
    try:
        assert signer.read(forged, "w", "t") == session
    except errors.GaprockError as exc:
        assert exc.code is errorcodes.BAD_SESSION


def test_both_keys_are_accepted_during_a_rotation() -> None:
    session = sessions.Session("s", "w", "t", "small@1")
    old, rotated = sessions.Signer([KEYS[0]]), sessions.Signer([KEYS[1], KEYS[0]])
    new = sessions.Signer([KEYS[1]])
    assert rotated.read(old.sign(session), "w", "t") == session
    assert new.read(rotated.sign(session), "w", "t") == session
    with pytest.raises(errors.GaprockError):
        new.read(old.sign(session), "w", "t")
