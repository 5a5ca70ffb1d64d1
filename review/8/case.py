"""A server that names its limit gets far more from callers with a regular pace."""

import os
import pathlib
import socket
import sys
import threading
import time

from review import bed

# Whether the disruption is played: not with TROUBLE=0.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT = 20.0
# The callers' rate at each gateway, requests a second, and their number there.
RATE = 10.8
CALLERS = 6
GATEWAYS = 3
SECONDS = 24.0
CONTACT_S = bed.BOUNDS["ContactMs"] / 1000
WINDOW_S = 4.0
ALLOWED = 1.5 * LIMIT * WINDOW_S + 5


# When the server named its limit.
named_at: list[float] = []


def answer(server: bed.Server, req: bed.Request, conn: socket.socket) -> None:
    """Answer at once, and name the limit."""
    more = {}
    if TROUBLE:
        more["Server_Limit"] = f"{LIMIT:g}"
        named_at.append(server.record.now())
    conn.sendall(bed.answer_head(req, 200, 2, **more) + b"ok")


def poll(gateway: bed.Gateway, record: bed.Record, begin: float, until: float) -> None:
    """Send a request at each tick on one channel, opened anew if it ends.

    A tick that passes while an answer is awaited is left out.
    """
    sock: socket.socket | None = None
    due = begin
    while due < until:
        while (left := due - time.monotonic()) > 0:
            time.sleep(left if left > 0.002 else 0.0)
        try:
            if sock is None:
                sock = socket.create_connection((gateway.ip, gateway.port), 5.0)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.sendall(bed.request("GET", "/safe/poll"))
            status, _, is_kept = bed.read_answer(sock)
        except OSError as exc:
            record.add(gateway.name, f"no answer: {exc!r}")
            status, is_kept = 0, False
        if status != 200:
            record.add(gateway.name, f"answers {status}")
        if not is_kept and sock is not None:
            sock.close()
            sock = None
        while due <= time.monotonic():
            due += CALLERS / RATE


def main() -> int:
    """Run the case."""
    folder = pathlib.Path(__file__).resolve().parent
    with bed.Bed(folder, GATEWAYS) as site:
        site.store.put("op", "config", bed.config(1))
        server = site.add("server-1", "app", answer=answer)
        site.start_gateways()
        time.sleep(2.0)
        begin = time.monotonic() + 0.5
        threads = [
            threading.Thread(
                target=poll,
                args=(gateway, site.record, begin + tick / RATE, begin + SECONDS),
            )
            for tick in range(CALLERS)
            for gateway in site.gateways
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        times = [at for at, _ in server.arrived]
        if len(times) < SECONDS * LIMIT / 2:
            site.record.add("case", f"only {len(times)} requests arrived")
            return bed.EXIT_FAILED
        if not named_at:
            site.record.add("case", f"held: {len(times)} requests, no limit was named")
            print(f"{len(times)} requests, no limit was named")
            return bed.EXIT_HELD
        # From ``ContactMs`` after the limit was first named.
        late = [at for at in times if at >= named_at[0] + CONTACT_S]
        most, begin = max(
            (sum(at <= one < at + WINDOW_S for one in late), at) for at in late
        )
        site.record.add(
            "case",
            f"{most} requests in the {WINDOW_S:g} s from {begin:.3f}; "
            f"{ALLOWED:g} allowed by a limit of {LIMIT:g}",
        )
        is_broken = most > ALLOWED
        site.record.add("case", "BROKEN: LIMIT" if is_broken else "held")
        print(f"{most} in {WINDOW_S:g} s, allowed {ALLOWED:g}")
        return bed.EXIT_BROKEN if is_broken else bed.EXIT_HELD


if __name__ == "__main__":
    sys.exit(bed.guarded(main))
