"""The run of one seed of the soak test.

The steps, which are faults and planned work, are registered by ``soak_steps``.
"""

import pathlib
import random
import threading
import time
import typing

from gaprock.test import soak_callers, soak_fleet, soak_gateway, soak_ledger

CALLERS_PER_GATEWAY: typing.Final = 4
# Shortest and longest pause between two steps, and duration of a fault.
FAULT_PAUSE_S: typing.Final = (0.1, 1.2)
FAULT_S: typing.Final = (0.3, 3.0)
# Time without faults before the first and after the last one.
CALM_S: typing.Final = 2.0
# Time within which every kind of request must be served again.
RECOVER_S: typing.Final = 15.0
# Time within which a change is in force on a gateway without faults.
IN_FORCE_S: typing.Final = soak_fleet.CONFIG_S + soak_ledger.SLACK_S

# Every third seed has planned work alone, so that all guarantees hold throughout.
PLANNED_EVERY: typing.Final = 3
# Chance that a step is followed by an extra one.  Extra steps, and the groups of steps
# below, have their own random generators, so that adding steps to them does not change
# the other steps of a seed that tests use.
EXTRA_SHARE: typing.Final = 0.3

# Share of the seeds in which one gateway gets all new connections for a time.
SKEW_SHARE: typing.Final = 0.3
# Share of the seeds in which a poison request crashes the endpoints that run it.
POISON_SHARE: typing.Final = 0.4


Step = typing.Callable[["Soak"], None]
FAULTS: typing.Final[list[Step]] = []
PLANNED: typing.Final[list[Step]] = []
EXTRA_FAULTS: typing.Final[list[Step]] = []
EXTRA_PLANNED: typing.Final[list[Step]] = []
# Changes of rows; those of the second list affect no endpoint.
ROW_SHARE: typing.Final = 0.3
ROW_FAULTS: typing.Final[list[Step]] = []
HARMLESS_ROWS: typing.Final[list[Step]] = []
# Planned work on halls.
HALL_SHARE: typing.Final = 0.15
HALL_WORK: typing.Final[list[Step]] = []
# Endpoints that name a rate limit.
LIMIT_SHARE: typing.Final = 0.15
LIMIT_WORK: typing.Final[list[Step]] = []
# Endpoints that shed load, or announce in their answers that they leave.
ANNOUNCEMENT_SHARE: typing.Final = 0.15
ANNOUNCEMENT_WORK: typing.Final[list[Step]] = []
# Restores of the store from a backup.
RESTORE_SHARE: typing.Final = 0.12
RESTORES: typing.Final[list[Step]] = []
# Slow readers, in the seeds that have them.
SLOW_SHARE: typing.Final = 0.3
SLOW_WORK: typing.Final[list[Step]] = []
# Most requests a second to an endpoint that warms up, by the default values of the
# settings ``ColdExcess`` and ``ColdSlack``.
WARMING_PER_S: typing.Final = int(1.5 * soak_fleet.COLD_PER_S + 5)


def fault(function: Step) -> Step:
    """Register a fault."""
    FAULTS.append(function)
    return function


def planned(function: Step) -> Step:
    """Register planned work, through which all guarantees hold."""
    PLANNED.append(function)
    return function


def extra_fault(function: Step) -> Step:
    """Register a fault for extra steps."""
    EXTRA_FAULTS.append(function)
    return function


def extra_planned(function: Step) -> Step:
    """Register planned work for extra steps."""
    EXTRA_PLANNED.append(function)
    return function


def row_fault(function: Step) -> Step:
    """Register a fault of an endpoint's row."""
    ROW_FAULTS.append(function)
    return function


def harmless_row(function: Step) -> Step:
    """Register rows of other writers that affect no endpoint."""
    ROW_FAULTS.append(function)
    HARMLESS_ROWS.append(function)
    return function


def hall_work(function: Step) -> Step:
    """Register planned work on halls."""
    HALL_WORK.append(function)
    return function


def limit_work(function: Step) -> Step:
    """Register a step in which an endpoint names a rate limit."""
    LIMIT_WORK.append(function)
    return function


def announcement_work(function: Step) -> Step:
    """Register a step in which an endpoint sheds load or announces its departure."""
    ANNOUNCEMENT_WORK.append(function)
    return function


def restore(function: Step) -> Step:
    """Register a restore of the store."""
    RESTORES.append(function)
    return function


def slow_work(function: Step) -> Step:
    """Register a step of the seeds with slow readers."""
    SLOW_WORK.append(function)
    return function


class Soak:
    """The run of one seed."""

    def __init__(self, seed: int, seconds: float, gateways: int, logs: pathlib.Path):
        self.rng = random.Random(seed)
        # One generator for each group of steps.
        self.rng_extra = random.Random(-1 - seed)
        self.rng_rows = random.Random(f"rows {seed}")
        self.rng_halls = random.Random(f"halls {seed}")
        self.rng_limits = random.Random(f"limits {seed}")
        self.rng_announcements = random.Random(f"words {seed}")
        self.rng_restores = random.Random(f"restores {seed}")
        self.rng_slow = random.Random(f"slow steps {seed}")
        self.has_slow_readers = False
        # Builds the slow callers.
        self.slow_callers: list[
            typing.Callable[[soak_fleet.Fleet], soak_callers.Worker]
        ] = []
        self.ledger = soak_ledger.Ledger()
        self.fleet = soak_fleet.Fleet(self.ledger, logs, gateways)
        # Held while a hall is cordoned, and while the store is restored.
        self.halls_lock = threading.Lock()
        self.restore_lock = threading.Lock()
        self._seed = seed
        self._seconds = seconds
        self._threads: list[threading.Thread] = []

    def run(self) -> list[str]:
        """Run the seed and return the violations of guarantees."""
        with self.fleet:
            if not self.fleet.wait_ready():
                return ["start: not all gateways became ready"]
            count = CALLERS_PER_GATEWAY * len(self.fleet.gateways)
            seeds = [self._seed * 1000 + n for n in range(count)]
            callers: list[soak_callers.Worker] = [
                soak_callers.Caller(self.fleet, seed) for seed in seeds
            ]
            callers += [make(self.fleet) for make in self.slow_callers]
            time.sleep(CALM_S)
            poison = self._start_poison()
            skew = None
            if random.Random(f"with skew {self._seed}").random() < SKEW_SHARE:
                skew = soak_callers.SkewedBalancer(self.fleet, self._seed)
            self._run_steps()
            if skew is not None:
                skew.stop()
                skew.join()
            violations = self._recover()
            if poison is not None:
                poison.stop()
                poison.join()
            for caller in callers:
                caller.stop()
            if not all([caller.join() for caller in callers]):
                violations.append("a caller's request never ended")
        judge = soak_ledger.Judge(
            self.ledger,
            soak_gateway.DRAIN_S,
            soak_fleet.CONFIG_S,
            soak_gateway.CORDON_S,
            WARMING_PER_S,
            soak_gateway.BUDGET,
        )
        return violations + judge.violations()

    def _start_poison(self) -> soak_callers.PoisonCaller | None:
        rng = random.Random(f"with poison {self._seed}")
        if self._seed % PLANNED_EVERY == 0 or rng.random() >= POISON_SHARE:
            return None
        return soak_callers.PoisonCaller(self.fleet, self._seed)

    def run_in_thread(self, work: typing.Callable[[], None]) -> None:
        """Run a function on a new thread, so that faults can overlap."""
        thread = threading.Thread(target=work, daemon=True)
        self._threads.append(thread)
        thread.start()

    def disrupt(
        self,
        what: str,
        target: str,
        begin: typing.Callable[[], object],
        end: typing.Callable[[], object],
        rng: random.Random | None = None,
    ) -> None:
        """Begin a fault now, end it after a random time, and record it.

        :param what: the kind of fault, as the summary prints it.
        :param target: the name of the gateway that it affects, or ``ALL``.
        :param rng: draws the duration; by default the generator of usual steps.
        """
        duration_s = (rng or self.rng).uniform(*FAULT_S)

        def work() -> None:
            start = self.ledger.now()
            # Recorded before it begins, so that no check misses its first moments.
            disruption = soak_ledger.Disruption(
                what, target, False, start, start + 3600
            )
            self.ledger.add(disruption)
            begin()
            time.sleep(duration_s)
            end()
            ended = disruption._replace(end=self.ledger.now())
            self.ledger.replace(disruption, ended)

        self.run_in_thread(work)

    def _run_steps(self) -> None:
        steps, extra = FAULTS + PLANNED, EXTRA_FAULTS + EXTRA_PLANNED
        rows = ROW_FAULTS
        if self._seed % PLANNED_EVERY == 0:
            steps, extra, rows = PLANNED, EXTRA_PLANNED, HARMLESS_ROWS
        until = time.monotonic() + self._seconds
        while time.monotonic() < until:
            self.rng.choice(steps)(self)
            if self.rng_extra.random() < EXTRA_SHARE:
                self.rng_extra.choice(extra)(self)
            if self.rng_rows.random() < ROW_SHARE:
                self.rng_rows.choice(rows)(self)
            if self.rng_halls.random() < HALL_SHARE:
                self.rng_halls.choice(HALL_WORK)(self)
            if self.rng_limits.random() < LIMIT_SHARE:
                self.rng_limits.choice(LIMIT_WORK)(self)
            if self.rng_announcements.random() < ANNOUNCEMENT_SHARE:
                self.rng_announcements.choice(ANNOUNCEMENT_WORK)(self)
            if rows is ROW_FAULTS and self.rng_restores.random() < RESTORE_SHARE:
                self.rng_restores.choice(RESTORES)(self)
            if self.has_slow_readers and self.rng_slow.random() < SLOW_SHARE:
                self.rng_slow.choice(SLOW_WORK)(self)
            time.sleep(self.rng.uniform(*FAULT_PAUSE_S))
        for thread in self._threads:
            thread.join(soak_gateway.STOP_WAIT_S)

    def _recover(self) -> list[str]:
        """End all faults, wait until everything is served again, return violations."""
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
        lagging = self._lagging(key, key_due_at)
        time.sleep(CALM_S)
        return [
            *(f"recovery: {g.name} does not serve {kind}" for g, kind in missing),
            *(f"recovery: {g.name} does not take a new key" for g in lagging),
        ]

    def _lagging(self, key: str, due_at: float) -> list[soak_gateway.GatewayProcess]:
        """Return the gateways that still do not accept a key when it is due."""
        lagging = list(self.fleet.gateways)
        while lagging:
            is_last = time.monotonic() >= due_at
            lagging = [g for g in lagging if not self._serves(g, "safe", key)]
            if is_last:
                break
        return lagging

    def _serves(
        self, gateway: soak_gateway.GatewayProcess, kind: str, key: str = ""
    ) -> bool:
        conn = soak_callers.connect(gateway)
        rng = random.Random()
        result = soak_callers.call(self.fleet, gateway, conn, kind, rng, key)
        conn.close()
        return result.status == 200 and result.is_complete
