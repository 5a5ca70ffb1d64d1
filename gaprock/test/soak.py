"""A randomized soak: real gateways, faults from outside, promises checked.

``python -m gaprock.test.soak --seeds 50`` plays fifty seeds and says what each broke.
One seed goes like this:

1. Gateways, store and endpoints start; callers begin to call.
2. Faults come in series and overlap, chosen by the seed; planned work comes among them.
3. All faults end; every gateway must serve every kind of request again, and take a new
   key in time.
4. The record is held against the promises (``soak_ledger``).

A seed names a series of faults; the timing is the machine's.
"""

import argparse
import pathlib
import random
import signal
import sys
import tempfile
import threading
import time
import typing

from gaprock.test import soak_callers, soak_fleet, soak_ledger

CALLERS_PER_GATEWAY: typing.Final = 4
# Pause between two faults, and how long one lasts, seconds.
FAULT_PAUSE_S: typing.Final = (0.1, 1.2)
FAULT_S: typing.Final = (0.3, 3.0)
# Without faults before the first and after the last one, seconds.
CALM_S: typing.Final = 2.0
# Every kind of request must be served again within this long, seconds.
RECOVER_S: typing.Final = 15.0
SIGNAL_GAP_S: typing.Final = 0.2
# A change is in force on a gateway that nothing disturbs within this long, seconds.
IN_FORCE_S: typing.Final = soak_fleet.CONFIG_S + soak_ledger.SLACK_S

# One seed in so many plays planned work alone, so that all promises hold throughout.
PLANNED_EVERY: typing.Final = 3
# A step is followed by one more this often; those have chances of their own, so that
# the steps of a seed that is kept stay what they were.
BESIDE_SHARE: typing.Final = 0.3

Step = typing.Callable[["Soak"], None]
FAULTS: typing.Final[list[Step]] = []
PLANNED: typing.Final[list[Step]] = []
FAULTS_BESIDE: typing.Final[list[Step]] = []
PLANNED_BESIDE: typing.Final[list[Step]] = []
# What is done to rows, with chances of its own as well; the second list harms nobody.
ROW_SHARE: typing.Final = 0.3
ROW_FAULTS: typing.Final[list[Step]] = []
ODD_ROWS: typing.Final[list[Step]] = []


def fault(function: Step) -> Step:
    """Register a fault."""
    FAULTS.append(function)
    return function


def planned(function: Step) -> Step:
    """Register planned work, which is to harm nobody."""
    PLANNED.append(function)
    return function


def fault_beside(function: Step) -> Step:
    """Register a fault that comes beside others."""
    FAULTS_BESIDE.append(function)
    return function


def planned_beside(function: Step) -> Step:
    """Register planned work that comes beside other."""
    PLANNED_BESIDE.append(function)
    return function


def row_fault(function: Step) -> Step:
    """Register a fault of an endpoint's row."""
    ROW_FAULTS.append(function)
    return function


def odd_row(function: Step) -> Step:
    """Register rows of other writers that are to harm nobody."""
    ROW_FAULTS.append(function)
    ODD_ROWS.append(function)
    return function


class Soak:
    """One seed's run."""

    def __init__(self, seed: int, seconds: float, gateways: int, logs: pathlib.Path):
        self.rng = random.Random(seed)
        # Chances of what comes beside.
        self.rng_beside = random.Random(-1 - seed)
        self.rng_rows = random.Random(f"rows {seed}")
        self.ledger = soak_ledger.Ledger()
        self.fleet = soak_fleet.Fleet(self.ledger, logs, gateways)
        self._seed = seed
        self._seconds = seconds
        self._threads: list[threading.Thread] = []

    def run(self) -> list[str]:
        """Play the seed and give what was broken."""
        with self.fleet:
            if not self.fleet.wait_ready():
                return ["start: not all gateways became ready"]
            count = CALLERS_PER_GATEWAY * len(self.fleet.gateways)
            seeds = [self._seed * 1000 + n for n in range(count)]
            callers = [soak_callers.Caller(self.fleet, seed) for seed in seeds]
            time.sleep(CALM_S)
            self._disturb()
            broken = self._recover()
            for caller in callers:
                caller.stop()
            if not all([caller.join() for caller in callers]):
                broken.append("a caller's request never ended")
        judge = soak_ledger.Judge(self.ledger, soak_fleet.DRAIN_S, soak_fleet.CONFIG_S)
        return broken + judge.broken()

    def later(self, work: typing.Callable[[], None]) -> None:
        """Do something on a thread of its own, so that faults overlap."""
        thread = threading.Thread(target=work, daemon=True)
        self._threads.append(thread)
        thread.start()

    def during(
        self,
        what: str,
        target: str,
        begin: typing.Callable[[], object],
        end: typing.Callable[[], object],
        rng: random.Random | None = None,
    ) -> None:
        """Begin a disturbance now, end it later, and write it down."""
        lasts_s = (rng or self.rng).uniform(*FAULT_S)

        def work() -> None:
            start = self.ledger.now()
            # It is written down before it begins, so that a check never misses it.
            mark = soak_ledger.Disturbance(what, target, False, start, start + 3600)
            self.ledger.add(mark)
            begin()
            time.sleep(lasts_s)
            end()
            over = mark._replace(end=self.ledger.now())
            self.ledger.replace(mark, over)

        self.later(work)

    def _disturb(self) -> None:
        steps, beside = FAULTS + PLANNED, FAULTS_BESIDE + PLANNED_BESIDE
        rows = ROW_FAULTS
        if self._seed % PLANNED_EVERY == 0:
            steps, beside, rows = PLANNED, PLANNED_BESIDE, ODD_ROWS
        until = time.monotonic() + self._seconds
        while time.monotonic() < until:
            self.rng.choice(steps)(self)
            if self.rng_beside.random() < BESIDE_SHARE:
                self.rng_beside.choice(beside)(self)
            if self.rng_rows.random() < ROW_SHARE:
                self.rng_rows.choice(rows)(self)
            time.sleep(self.rng.uniform(*FAULT_PAUSE_S))
        for thread in self._threads:
            thread.join(soak_fleet.STOP_WAIT_S)

    def _recover(self) -> list[str]:
        """End all faults and wait until everything is served again."""
        self.fleet.heal()
        key_due_at = time.monotonic() + soak_ledger.CALM_AFTER_S + IN_FORCE_S
        key = self.fleet.add_key()
        for gateway in self.fleet.gateways:
            if (code := gateway.exit_code()) is not None:
                return [f"recovery: {gateway.name} ended by itself, code {code}"]
        if not self.fleet.wait_ready():
            return ["recovery: not all gateways became ready"]
        deadline = time.monotonic() + RECOVER_S
        missing = {
            (g, k) for g in self.fleet.gateways for k in ("gen", "safe", "unsafe")
        }
        while missing and time.monotonic() < deadline:
            missing = {(g, k) for g, k in missing if not self._serves(g, k)}
        behind = self._behind(key, key_due_at)
        time.sleep(CALM_S)
        return [
            *(f"recovery: {g.name} does not serve {kind}" for g, kind in missing),
            *(f"recovery: {g.name} does not take a new key" for g in behind),
        ]

    def _behind(self, key: str, due_at: float) -> list[soak_fleet.GatewayProcess]:
        """Give the gateways that do not take a key by the time at which it is due."""
        behind = list(self.fleet.gateways)
        while behind:
            is_last = time.monotonic() >= due_at
            behind = [g for g in behind if not self._serves(g, "safe", key)]
            if is_last:
                break
        return behind

    def _serves(
        self, gateway: soak_fleet.GatewayProcess, kind: str, key: str = ""
    ) -> bool:
        conn = soak_callers.connect(gateway)
        rng = random.Random()
        made = soak_callers.call(self.fleet, gateway, conn, kind, rng, key)
        conn.close()
        return made.status == 200 and made.whole


# -- Faults of processes --


def _restart(soak: Soak, number: int, is_planned: bool) -> None:
    gateway = soak.rng.choice(soak.fleet.gateways)
    pause_s = soak.rng.uniform(0.0, 0.5)

    def work() -> None:
        if not gateway.lock.acquire(blocking=False):
            return
        try:
            start = soak.ledger.now()
            what = signal.Signals(number).name
            mark = soak_ledger.Disturbance(
                what, gateway.name, is_planned, start, start + 3600
            )
            soak.ledger.add(mark)
            gateway.end(number)
            time.sleep(pause_s)
            gateway.start()
            soak.ledger.replace(mark, mark._replace(end=soak.ledger.now()))
        finally:
            gateway.lock.release()

    soak.later(work)


@fault
def kill(soak: Soak) -> None:
    """A gateway is killed and started again."""
    _restart(soak, signal.SIGKILL, is_planned=False)


@planned
def planned_stop(soak: Soak) -> None:
    """A gateway is told to stop, and started again when it is gone."""
    _restart(soak, signal.SIGTERM, is_planned=True)


@fault
def pause(soak: Soak) -> None:
    """A gateway stands still for a while."""
    gateway = soak.rng.choice(soak.fleet.gateways)
    soak.during(
        "pause",
        gateway.name,
        lambda: gateway.signal(signal.SIGSTOP),
        lambda: gateway.signal(signal.SIGCONT),
    )


@planned
def settings_change(soak: Soak) -> None:
    """The settings file changes, and the process is told, now and then twice."""
    gateway = soak.rng.choice(soak.fleet.gateways)
    gateway.write_settings(soak_fleet.GRACE_S + soak.rng.choice([0, 1]))
    gateway.signal(signal.SIGHUP)
    if soak.rng.random() < 0.3:
        time.sleep(SIGNAL_GAP_S)
        gateway.signal(signal.SIGHUP)


# -- Faults of the store --


@fault
def store_fault(soak: Soak) -> None:
    """The store refuses, is slow, or loses its answers."""
    name, value = soak.rng.choice(
        [("refuse", 503), ("refuse", 429), ("delay", 0.6), ("lose", True)]
    )
    faults = soak.fleet.store.faults
    soak.during(
        f"store {name}",
        soak_ledger.ALL,
        lambda: faults.update({name: value}),
        lambda: faults.pop(name, None),
    )


@planned
def store_forgets(soak: Soak) -> None:
    """The store forgets its history."""
    soak.fleet.store.compact()


@fault
def store_clock(soak: Soak) -> None:
    """The store's clock jumps ahead for good."""
    jump_ms = soak.rng.randrange(5000)
    old = soak.fleet.store.now_ms
    soak.fleet.store.now_ms = lambda: old() + jump_ms


@fault
def store_cut(soak: Soak) -> None:
    """One gateway's way to the store is silent, one-way, slow, or reset."""
    gateway = soak.rng.choice(soak.fleet.gateways)
    _disturb_relay(soak, gateway.store_relay, gateway.name)


def _disturb_relay(soak: Soak, relay: typing.Any, target: str) -> None:
    how = soak.rng.choice(["silent", "to-target", "to-caller", "slow", "reset"])
    begin: typing.Callable[[], object] = relay.reset
    if how == "silent":
        begin = relay.flowing.clear
    elif how == "slow":
        delay_s = soak.rng.uniform(0.05, 0.3)

        def begin() -> None:
            relay.delay_s = delay_s

    elif how != "reset":

        def begin() -> None:
            relay.held.add(how)

    soak.during(f"relay {how}", target, begin, relay.heal)


@fault_beside
def store_swallows(soak: Soak) -> None:
    """What comes to the store is never answered, from just after a change on."""
    faults = soak.fleet.store.faults
    soak.fleet.publish()
    soak.during(
        "store swallow",
        soak_ledger.ALL,
        lambda: faults.update(swallow=True),
        lambda: faults.pop("swallow", None),
        soak.rng_beside,
    )


@fault_beside
def connections_go_silent(soak: Soak) -> None:
    """Open connections to the store or an endpoint are silent for good."""
    relays = [gateway.store_relay for gateway in soak.fleet.gateways]
    relays += [endpoint.relay for endpoint in list(soak.fleet.endpoints.values())]
    for relay in soak.rng_beside.sample(relays, soak.rng_beside.randint(1, 3)):
        soak.during(
            "relay mute", soak_ledger.ALL, relay.mute, lambda: None, soak.rng_beside
        )


# -- Faults and planned work of endpoints --


@fault
def endpoint_cut(soak: Soak) -> None:
    """An endpoint's connections are silent, one-way, slow, or reset."""
    endpoint = soak.rng.choice(list(soak.fleet.endpoints.values()))
    _disturb_relay(soak, endpoint.relay, soak_ledger.ALL)


@fault
def endpoint_fails(soak: Soak) -> None:
    """An endpoint fails or refuses part of its requests, or is slow."""
    endpoint = soak.rng.choice(list(soak.fleet.endpoints.values()))
    name, value = soak.rng.choice(
        [("failing", 0.5), ("failing", 1.0), ("refusing", 0.6), ("slow_s", 0.4)]
    )
    soak.during(
        f"endpoint {name}",
        soak_ledger.ALL,
        lambda: setattr(endpoint, name, value),
        lambda: setattr(endpoint, name, 0.0),
    )


@fault
def endpoint_crash(soak: Soak) -> None:
    """An endpoint is gone at once; its row goes later; another one comes."""
    endpoint = soak.rng.choice(list(soak.fleet.endpoints.values()))
    if soak.fleet.endpoints.pop(endpoint.name, None) is None:
        return
    soak.during(
        "endpoint crash",
        soak_ledger.ALL,
        endpoint.stop,
        lambda: soak.fleet.store.remove("servers", endpoint.name),
    )
    soak.fleet.add_endpoint(endpoint.service)


@planned
def endpoint_leaves(soak: Soak) -> None:
    """An endpoint is replaced: the new one first, then the old one drains."""
    endpoint = soak.rng.choice(list(soak.fleet.endpoints.values()))
    if soak.fleet.endpoints.pop(endpoint.name, None) is None:
        return
    soak.fleet.add_endpoint(endpoint.service)

    def work() -> None:
        endpoint.row_s = "draining"
        soak.fleet.write_row(endpoint)
        soak.ledger.leaving[endpoint.name] = soak.ledger.now()
        # It serves on longer than it says, as some do.
        time.sleep(soak_fleet.DRAIN_S + 2 * soak_ledger.SLACK_S)
        soak.fleet.store.remove("servers", endpoint.name)
        endpoint.stop()

    soak.later(work)


@row_fault
def endpoint_starts_again(soak: Soak) -> None:
    """An endpoint crashes and is back at once under its id; its row never goes."""
    endpoint = soak.rng_rows.choice(list(soak.fleet.endpoints.values()))
    cut = soak.rng_rows.choice([endpoint.relay.reset, endpoint.relay.mute])

    def begin() -> None:
        cut()
        endpoint.born += 1
        soak.fleet.beat_row(endpoint)

    soak.during("endpoint again", soak_ledger.ALL, begin, lambda: None, soak.rng_rows)


@row_fault
def row_written_over(soak: Soak) -> None:
    """Another writer writes over an endpoint's row, until its next heartbeat."""
    endpoint = soak.rng_rows.choice(list(soak.fleet.endpoints.values()))
    soak.during(
        "row written over",
        soak_ledger.ALL,
        lambda: soak.fleet.write_odd_row(endpoint.name, soak.rng_rows),
        lambda: soak.fleet.beat_row(endpoint),
        soak.rng_rows,
    )


@odd_row
def row_of_another_writer(soak: Soak) -> None:
    """Another writer leaves a row that names nothing, for good."""
    soak.fleet.write_odd_row(f"odd{soak.rng_rows.randrange(9)}", soak.rng_rows)


# -- The operator --


@planned
def config_change(soak: Soak) -> None:
    """Newer configurations come, now and then in quick succession."""
    for _ in range(soak.rng.choice([1, 1, 4])):
        soak.fleet.publish()


@planned
def key_taken_away(soak: Soak) -> None:
    """A key is taken away for good."""
    if len(soak.fleet.keys) > 1:
        key = soak.fleet.keys.pop()
        soak.fleet.publish()
        soak.ledger.revoked[key] = soak.ledger.now()


@planned_beside
def key_added(soak: Soak) -> None:
    """A new key comes."""
    soak.fleet.add_key()


def play(seed: int, seconds: float, gateways: int, logs: pathlib.Path) -> list[str]:
    """Play one seed, say how much was tried, and give what it broke."""
    soak = Soak(seed, seconds, gateways, logs)
    broken = soak.run()
    print(f"seed {seed}: {soak.ledger.summary()}", flush=True)
    return broken


def main(argv: list[str] | None = None) -> int:
    """Play seeds one after the other; the exit code says whether all kept."""
    parser = argparse.ArgumentParser("soak", description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, help="the first seed; default: a fresh one")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--seconds", type=float, default=12.0, help="faults in each")
    parser.add_argument("--gateways", type=int, default=3)
    args = parser.parse_args(argv)
    first = random.SystemRandom().randrange(1 << 30) if args.seed is None else args.seed
    failed = 0
    for seed in range(first, first + args.seeds):
        logs = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        broken = play(seed, args.seconds, args.gateways, logs)
        failed += bool(broken)
        print(
            f"seed {seed}: {len(broken)} broken"
            + (f", logs in {logs}" if broken else "")
        )
        for line in broken[:10]:
            print(f"  {line}", flush=True)
    print(f"{args.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
