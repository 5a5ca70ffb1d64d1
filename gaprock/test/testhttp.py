"""The ports of entries and agents, as used by callers, operators and strangers."""

import json
import pathlib
import socket
import subprocess
import sys
import typing

import openai
import pytest
import trustme
import urllib3
import zmq

from gaprock import errorcodes
from gaprock.test import processes, testprocesses


@pytest.fixture(scope="module")
def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> typing.Iterator[processes.Fleet]:
    logs = tmp_path_factory.mktemp("logs")
    with processes.Fleet(logs) as site:
        site.start_platform()
        site.start_agent("a", service=True)
        site.start_entry("entry-0", "--max-body", "20000")
        site.wait_ready()
        site.publish_demo(site.urls["entry-0"])
        yield site


def client(fleet: processes.Fleet) -> openai.OpenAI:
    base = fleet.urls["entry-0"] + "/v1"
    return openai.OpenAI(api_key=processes.CALLER_KEY, base_url=base, max_retries=0)


MESSAGES: typing.Final[typing.Any] = [{"role": "user", "content": "why?"}]


def test_a_common_client_library_works_with_a_changed_base_url(
    fleet: processes.Fleet,
) -> None:
    caller = client(fleet)
    assert [model.id for model in caller.models.list()] == ["explain", "score"]
    answer = caller.chat.completions.create(model="explain", messages=MESSAGES)
    assert answer.choices[0].message.content == "answer of small@1"
    stream = caller.chat.completions.create(
        model="explain", messages=MESSAGES, stream=True
    )
    text = "".join(chunk.choices[0].delta.content or "" for chunk in stream)
    assert text == "".join(f"small@1:{number} " for number in range(5))


def test_a_common_client_library_raises_its_own_errors(
    fleet: processes.Fleet,
) -> None:
    caller = client(fleet)
    with pytest.raises(openai.NotFoundError) as caught:
        caller.chat.completions.create(model="none", messages=MESSAGES)
    body: typing.Any = caught.value.body
    assert body["number"] == errorcodes.UNKNOWN_TEMPLATE.number
    assert body["ran"] == "not run"
    caller.api_key = "wrong"
    with pytest.raises(openai.AuthenticationError):
        caller.models.list()


def test_an_entry_answers_its_health_checks(fleet: processes.Fleet) -> None:
    for path in ("/healthz", "/readyz"):
        url = fleet.urls["entry-0"] + path
        assert processes.HTTP.request("GET", url).status == 200


def test_an_oversized_body_is_refused_and_changes_nothing(
    fleet: processes.Fleet,
) -> None:
    url = fleet.urls["entry-0"]
    before = fleet.status(url)["revision"]
    large = processes.chat(padding="x" * 30_000)
    assert processes.post(url, processes.CHAT, large).status == 413
    resp = fleet.operate(url, "PUT", "template", large, **{"If-Match": str(before)})
    assert resp.status == 413
    assert fleet.status(url)["revision"] == before


def test_bytes_that_are_not_json_or_http_do_no_harm(fleet: processes.Fleet) -> None:
    url = fleet.urls["entry-0"]
    for body in (b"\xff\xfe\x00", b"{" * 5000, b""):
        resp = processes.HTTP.request(
            "POST",
            url + processes.CHAT,
            body=body,
            headers={"Authorization": f"Bearer {processes.CALLER_KEY}"},
        )
        assert resp.status == 400
    port = int(url.rpartition(":")[2])
    with socket.create_connection(("127.0.0.1", port)) as sock:
        sock.sendall(b"\x00\x01 nonsense\r\n\r\n")
        assert b"400" in sock.recv(4096)
    assert processes.post(url, processes.CHAT, processes.chat()).status == 200


def test_undecodable_bytes_on_an_agents_port_do_no_harm(
    fleet: processes.Fleet,
) -> None:
    vms = json.loads(processes.HTTP.request("GET", fleet.platform + "/vms").data)
    address = vms[0]["address"]
    host, _, port = address.removeprefix("tcp://").rpartition(":")
    with socket.create_connection((host, int(port))) as raw:
        raw.sendall(b"GET / HTTP/1.1\r\n\r\n" * 100)
    with zmq.Context() as context, context.socket(zmq.DEALER) as sock:
        sock.setsockopt(zmq.LINGER, 500)
        sock.connect(address)
        for frames in ([b""], [b"\xc1" * 100], [b"a", b"b", b"c"], [b"\x93\x01"]):
            sock.send_multipart(frames)
    url = fleet.urls["entry-0"]
    assert processes.post(url, processes.CHAT, processes.chat()).status == 200


def test_a_callers_key_is_not_an_operators_key(fleet: processes.Fleet) -> None:
    url = fleet.urls["entry-0"]
    caller = {"Authorization": f"Bearer {processes.CALLER_KEY}"}
    for method, path in (("GET", "status"), ("PUT", "template"), ("POST", "withdraw")):
        resp = processes.HTTP.request(
            method, f"{url}/operator/{path}", json={}, headers=caller
        )
        assert resp.status == 403
    operator = processes.post(
        url,
        processes.CHAT,
        processes.chat(),
        Authorization=f"Bearer {processes.OPERATOR_KEY}",
    )
    assert operator.status == 401


def test_the_decisions_of_a_request_can_be_explained(fleet: processes.Fleet) -> None:
    url = fleet.urls["entry-0"]
    resp = processes.post(
        url, processes.CHAT, processes.chat(), Idempotency_Key="explain-me"
    )
    assert resp.headers["X-Gaprock-Request"] == "explain-me"
    lines = json.loads(fleet.operate(url, "GET", "explain/explain-me").data)
    assert any("event=versions" in line for line in lines)
    assert any("event=route" in line and "choice=engine-a" in line for line in lines)


def test_the_command_line_publishes_and_reports(
    fleet: processes.Fleet, capfd: pytest.CaptureFixture[str]
) -> None:
    url = fleet.urls["entry-0"]
    changed = {**processes.demo_documents()[1][1], "priority": 2}
    assert fleet.command(url, "template", "diff", "-", document=changed) == 0
    assert "priority" in capfd.readouterr().out
    assert fleet.command(url, "template", "publish", "-", document=changed) == 0
    assert "in_force: true" in capfd.readouterr().out
    stale = ("template", "publish", "-", "--if-revision", "1")
    assert fleet.command(url, *stale, document=changed) == 1
    assert "code 1017, not run" in capfd.readouterr().err
    bad = {**changed, "quality": 7}
    assert fleet.command(url, "template", "validate", "-", document=bad) == 1
    assert "$.quality" in capfd.readouterr().err
    assert fleet.command(url, "template", "history", "demo/explain") == 0
    start = ("rollout", "start", "small@2", "--stable", "small@1")
    assert fleet.command(url, *start) == 0
    for edit in ("pause", "resume", "advance", "abort"):
        assert fleet.command(url, "rollout", edit, "small@2") == 0
    assert fleet.command(url, "withdraw", "small@2", "--reason", "bad") == 0
    assert fleet.command(url, "drain", "engine-z") == 0
    assert fleet.command(url, "--output", "json", "status") == 0
    capfd.readouterr()
    assert fleet.command("http://127.0.0.1:9", "status") == 1


def run_program(module: str, *flags: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", module, *flags]
    return subprocess.run(command, capture_output=True, text=True, check=False)


@pytest.mark.parametrize("name", ["entry_main", "agent_main", "ctl_main"])
def test_help_tells_every_setting_and_no_secret(name: str) -> None:
    done = run_program(f"gaprock.{name}", "--help")
    assert done.returncode == 0
    assert "GAPROCK_" in done.stdout


def test_wrong_settings_are_all_named_in_one_error() -> None:
    done = run_program(
        "gaprock.entry_main",
        *("--hall", "Hall A", "--http-port", "99999", "--routing", "best"),
        *("--session-keys", "short-secret", "--silent-s", "soon"),
    )
    assert done.returncode == 2
    for flag in ("--hall", "--http-port", "--routing", "--session-keys", "--silent-s"):
        assert flag in done.stderr
    assert "--operator-key-hash" in done.stderr
    assert "short-secret" not in done.stderr


def key_pair(start: str) -> tuple[str, str]:
    """Make a key pair whose public key begins with ``start``."""
    while True:
        public, secret = (key.decode() for key in zmq.curve_keypair())
        if public.startswith(start):
            return public, secret


def test_processes_accept_only_peers_with_the_deployments_key(
    tmp_path: pathlib.Path,
) -> None:
    # One key in 85 begins with a dash.  As a separate argument, it is taken for a flag.
    public, secret = key_pair("-")
    other_public, other_secret = key_pair("-")
    with processes.Fleet(tmp_path) as site:
        site.start_platform()
        keys = (f"--curve-public={public}",)
        site.env["GAPROCK_CURVE_SECRET"] = secret
        site.start_agent("a", *keys)
        url = site.start_entry("entry-0", *keys)
        site.wait_ready()
        site.publish_demo(url)
        assert processes.post(url, processes.CHAT, processes.chat()).status == 200
        # A stranger that knows the deployment's public key, but has a key of its own.
        site.env["GAPROCK_CURVE_SECRET"] = other_secret
        stranger = site.start_entry("stranger", f"--curve-public={other_public}")
        processes.wait_until(
            lambda: processes.HTTP.request("GET", stranger + "/readyz").status == 200,
            "the stranger",
        )
        resp = processes.post(stranger, processes.CHAT, processes.chat())
        assert resp.status == 503
        for log in tmp_path.glob("*.log"):
            assert secret not in log.read_text()
        assert set(site.stop().values()) == {0}


def test_callers_can_be_served_over_tls(tmp_path: pathlib.Path) -> None:
    authority = trustme.CA()
    leaf = authority.issue_cert("127.0.0.1")
    cert, key = str(tmp_path / "cert.pem"), str(tmp_path / "key.pem")
    leaf.cert_chain_pems[0].write_to_path(cert)
    leaf.private_key_pem.write_to_path(key)
    trusted = str(tmp_path / "ca.pem")
    authority.cert_pem.write_to_path(trusted)
    with processes.Fleet(tmp_path) as site:
        site.start_platform()
        site.start_agent("a")
        flags = ("--tls-cert", cert, "--tls-key", key)
        url = site.start_entry("entry-0", *flags, scheme="https")
        pool = urllib3.PoolManager(ca_certs=trusted, retries=False)
        processes.wait_until(
            lambda: pool.request("GET", url + "/healthz").status == 200, "https"
        )


def test_a_second_stop_signal_changes_nothing(tmp_path: pathlib.Path) -> None:
    with testprocesses.start_fleet(tmp_path) as site:
        reader = testprocesses.Reader(site.urls["entry-0"])
        site.processes["entry-0"].terminate()
        assert site.end("entry-0") == 0
        reader.join()
        assert reader.data == testprocesses.whole(40)
