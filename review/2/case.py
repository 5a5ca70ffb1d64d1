"""Case 2: a request that crashes servers, beside sound ones with another query."""

import os
import pathlib
import random
import socket
import sys
import tempfile
import threading
import time
import typing

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent))

from gaprock.test.fakes import backend  # noqa: E402
from review import site  # noqa: E402

FOLDER: typing.Final = pathlib.Path(__file__).resolve().parent
# Without and with the request that crashes servers.
CALM_S: typing.Final = 10.0
RUN_S: typing.Final = 60.0
SERVICE: typing.Final = "issue-api"
GATEWAYS: typing.Final = 2
MEMORY_MB: typing.Final = 300
# The sheet of Halloway Signal Group: requests a second, servers, work, ContactMs.
FETCHES_PER_S: typing.Final = 13.1
HOOKS_PER_S: typing.Final = 5.21
SERVERS: typing.Final = 3
SLOTS: typing.Final = 6
WORK_S: typing.Final = 0.09
CONTACT_S: typing.Final = 3.0
PATH: typing.Final = "/hook/2f"
# The request that crashes servers comes again after this pause, at either gateway.
AGAIN_S: typing.Final = 3.5
CRASHES_AFTER_S: typing.Final = 0.05
BACK_AFTER_S: typing.Final = 2.0
# The bounds of the rules.
RETRIES: typing.Final = 3
MIN_REQUESTS: typing.Final = 20
MIN_SHARE: typing.Final = 0.5


class Case:
    """The site, its traffic, and what was seen."""

    def __init__(self, is_disturbed: bool, folder: pathlib.Path) -> None:
        self.is_disturbed = is_disturbed
        self.record = site.Record(FOLDER / "record.txt")
        self.store = site.store()
        self.lock = threading.Lock()
        self.crashes: list[float] = []
        self.poison_arrivals: list[float] = []
        # Sound requests of the same route and key: when they were sent, and whether
        # they began to run.
        self.hooks: dict[str, float] = {}
        self.begun: set[str] = set()
        self.disturbed_at = 0.0
        self.counts: dict[str, int] = {}
        self.stopped = threading.Event()
        self.servers: dict[str, backend.Backend] = {}
        for number in range(SERVERS):
            self.start_server(f"api-{number}", 0)
        common: dict[str, object] = {
            "Service": SERVICE,
            "TimeoutMs": 2000,
            "GoalMs": 300,
        }
        routes: list[dict[str, object]] = [
            {"Name": "a", "Prefix": "/hook/", "Kind": "safe", "Attempts": 2, **common},
            {
                **{"Name": "b", "Prefix": "/fetch/", "Kind": "unsafe", "Attempts": 1},
                **common,
            },
        ]
        self.store.put("op", "config", site.config(routes, [SERVICE]))
        self.gateways = [
            site.Gateway(f"front-{n}", ip, self.store.port, folder, MEMORY_MB)
            for n, ip in enumerate(site.addresses(GATEWAYS), 1)
        ]

    # -- Servers --

    def start_server(self, name: str, port: int) -> None:
        """Start a server, and write its row with the time of its start."""
        server = backend.Backend(name, port=port)
        server.default_script = self.answer
        self.servers[name] = server
        row = site.server_row(SERVICE, server.port, SLOTS)
        row["born"] = int(time.time() * 1000)
        self.store.put("servers", name, row)
        self.record.add(name, "starts")

    def answer(
        self,
        server: backend.Backend,
        seen: backend.ReceivedRequest,
        conn: socket.socket,
    ) -> None:
        """Answer a request, or crash."""
        request = seen.headers.get("x-request-id", "")
        self.record.add(server.name, f"runs {request}: {seen.method} {seen.target}")
        if seen.target.endswith("poison"):
            with self.lock:
                self.poison_arrivals.append(self.record.now())
            time.sleep(CRASHES_AFTER_S)
            self.crash(server)
            return
        with self.lock:
            self.begun.add(request)
        time.sleep(WORK_S)
        conn.sendall(site.whole_answer(seen, request.encode() * 50))

    def crash(self, server: backend.Backend) -> None:
        """End a server as its process ends, and start it again after some seconds."""
        with self.lock:
            if self.servers.get(server.name) is not server or self.stopped.is_set():
                return
            del self.servers[server.name]
            self.crashes.append(self.record.now())
        self.record.add(server.name, "crashes")
        server.stop()

        def restart() -> None:
            if not self.stopped.is_set():
                self.start_server(server.name, server.port)

        timer = threading.Timer(BACK_AFTER_S, restart)
        timer.daemon = True
        timer.start()

    # -- Requesters --

    def request_for_ever(
        self, gateway: site.Gateway, name: str, path: str, pause_s: float
    ) -> None:
        """Send one request after the other on a kept channel."""
        rng = random.Random(name)
        self.stopped.wait(rng.uniform(0.0, pause_s))
        channel, number = site.Channel(gateway), 0
        while not self.stopped.is_set():
            began_at = time.monotonic()
            number += 1
            request = f"{name}-{number:04d}"
            target = f"{path}?since={name}{number}"
            method = "GET" if path == PATH else "POST"
            body = b"" if method == "GET" else request.encode()
            self.record.add(name, f"sends {request}: {method} {target}")
            if method == "GET":
                with self.lock:
                    self.hooks[request] = self.record.now()
            try:
                channel.send(method, target, request, body, 4000)
                text = str(channel.answer(5.0)[0])
            except OSError as exc:
                text = f"no answer: {exc!r}"
                channel.close()
                if self.stopped.is_set():
                    return
                channel = site.Channel(gateway)
            self.record.add(name, f"{request} gets {text}")
            self.count(f"sound {method} {text.split(':')[0]}")
            until = began_at + rng.uniform(0.5, 1.5) * pause_s
            self.stopped.wait(max(0.0, until - time.monotonic()))

    def repeat_poison(self) -> None:
        """Send the request that crashes servers again and again, at any gateway."""
        number = 0
        while not self.stopped.wait(AGAIN_S):
            number += 1
            gateway = self.gateways[number % GATEWAYS]
            request = f"poison-{number:04d}"
            self.record.add("poison", f"sends {request} to {gateway.name}")
            try:
                channel = site.Channel(gateway)
                target = f"{PATH}?since=poison"
                channel.send("GET", target, request, b"", 4000)
                text = str(channel.answer(5.0)[0])
                channel.close()
            except OSError as exc:
                text = f"no answer: {exc!r}"
            self.record.add("poison", f"{request} gets {text}")
            self.count(f"poison {text.split(':')[0]}")

    def count(self, what: str) -> None:
        """Count an answer."""
        with self.lock:
            self.counts[what] = self.counts.get(what, 0) + 1

    # -- The run --

    def run(self) -> int:
        """Run the case, and return the exit code."""
        for gateway in self.gateways:
            gateway.start()
        try:
            if not site.wait_ready(self.gateways):
                print("the gateways did not become ready")
                return 2
            time.sleep(CONTACT_S)
            self.start_traffic()
            self.stopped.wait(CALM_S)
            self.disturbed_at = self.record.now()
            if self.is_disturbed:
                threading.Thread(target=self.repeat_poison, daemon=True).start()
            self.stopped.wait(RUN_S)
        finally:
            self.stopped.set()
            time.sleep(0.5)
            for gateway in self.gateways:
                gateway.end()
            for server in list(self.servers.values()):
                server.stop()
            self.store.stop()
        return self.judge()

    def start_traffic(self) -> None:
        """Start the requesters."""
        for gateway in self.gateways:
            kinds = (("hook", PATH, HOOKS_PER_S), ("fetch", "/fetch/2f", FETCHES_PER_S))
            for kind, path, per_s in kinds:
                for number in range(3):
                    name = f"{kind}-{gateway.name[-1]}{number}"
                    args = (gateway, name, path, 3 * GATEWAYS / per_s)
                    threading.Thread(
                        target=self.request_for_ever, args=args, daemon=True
                    ).start()

    def share_begun(self, since: float, until: float) -> tuple[int, float]:
        """Return the number of sound requests sent then, and the share that began."""
        sent = [name for name, at in self.hooks.items() if since <= at < until]
        return len(sent), sum(name in self.begun for name in sent) / max(1, len(sent))

    def judge(self) -> int:
        """Apply the rules BUDGET and LOST to what servers and requesters saw."""
        end = self.record.now() - 1.0
        crashes = sorted(self.crashes)
        late: list[float] = []
        if len(crashes) >= 3:
            late = [at for at in self.poison_arrivals if at > crashes[2] + CONTACT_S]
        calm, calm_share = self.share_begun(0.0, self.disturbed_at)
        after, after_share = calm, calm_share
        if crashes:
            fifth = crashes[min(4, len(crashes) - 1)]
            after, after_share = self.share_begun(fifth + 2 * CONTACT_S, end)
        is_lost = after >= MIN_REQUESTS and after_share < MIN_SHARE * calm_share
        text = (
            f"answers {site.dumps(self.counts)}; crashes {len(crashes)}; the request "
            f"reached servers {len(self.poison_arrivals)} times, {len(late)} of them "
            f"more than {CONTACT_S:.0f} s after the third crash (BUDGET: more than "
            f"{RETRIES} break the rule); of the sound requests {calm_share:.2f} of "
            f"{calm} began before, {after_share:.2f} of {after} after (LOST: {is_lost})"
        )
        self.record.add("judge", text)
        print(text)
        if calm < MIN_REQUESTS or calm_share < 0.9:
            return 2
        return 1 if len(late) > RETRIES or is_lost else 0


def main() -> int:
    """Run the case."""
    site.end_on_sigterm()
    with tempfile.TemporaryDirectory() as folder:
        is_disturbed = os.environ.get("TROUBLE", "1") != "0"
        return Case(is_disturbed, pathlib.Path(folder)).run()


if __name__ == "__main__":
    sys.exit(main())
