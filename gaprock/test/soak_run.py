"""One seed of the soak: its steps are chosen here, and registered by ``soak_steps``."""

import pathlib
import random
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
# A change is in force on a gateway that nothing disturbs within this long, seconds.
IN_FORCE_S: typing.Final = soak_fleet.CONFIG_S + soak_ledger.SLACK_S

# One seed in so many plays planned work alone, so that all promises hold throughout.
PLANNED_EVERY: typing.Final = 3
# A step is followed by one more this often; those have chances of their own, so that
# the steps of a seed that is kept stay what they were.
BESIDE_SHARE: typing.Final = 0.3

# Share of the seeds in which a request ends the endpoints that run it.
POISON_SHARE: typing.Final = 0.4

Step = typing.Callable[["Soak"], None]
FAULTS: typing.Final[list[Step]] = []
PLANNED: typing.Final[list[Step]] = []
FAULTS_BESIDE: typing.Final[list[Step]] = []
PLANNED_BESIDE: typing.Final[list[Step]] = []
# What is done to rows, with chances of its own as well; the second list harms nobody.
ROW_SHARE: typing.Final = 0.3
ROW_FAULTS: typing.Final[list[Step]] = []
ODD_ROWS: typing.Final[list[Step]] = []
# Work on halls, with chances of its own too.
HALL_SHARE: typing.Final = 0.15
HALL_WORK: typing.Final[list[Step]] = []
# Endpoints that name a rate limit, with chances of their own.
LIMIT_SHARE: typing.Final = 0.15
LIMIT_WORK: typing.Final[list[Step]] = []
# Endpoints that say something else of themselves, with chances of their own.
WORD_SHARE: typing.Final = 0.15
WORD_WORK: typing.Final[list[Step]] = []
# Restores of the store from a backup, with chances of their own.
RESTORE_SHARE: typing.Final = 0.12
RESTORES: typing.Final[list[Step]] = []
# What an endpoint that is not warm may get in a second, by the settings' defaults.
BEARS: typing.Final = int(1.5 * soak_fleet.BEARS_PER_S + 5)


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


def hall_work(function: Step) -> Step:
    """Register planned work on halls."""
    HALL_WORK.append(function)
    return function


def limit_work(function: Step) -> Step:
    """Register what makes endpoints name a rate limit."""
    LIMIT_WORK.append(function)
    return function


def word_work(function: Step) -> Step:
    """Register what makes endpoints shed load, or say that they leave."""
    WORD_WORK.append(function)
    return function


def restore(function: Step) -> Step:
    """Register a restore of the store."""
    RESTORES.append(function)
    return function


class Soak:
    """One seed's run."""

    def __init__(self, seed: int, seconds: float, gateways: int, logs: pathlib.Path):
        self.rng = random.Random(seed)
        # Chances of what comes beside.
        self.rng_beside = random.Random(-1 - seed)
        self.rng_rows = random.Random(f"rows {seed}")
        self.rng_halls = random.Random(f"halls {seed}")
        self.rng_limits = random.Random(f"limits {seed}")
        self.rng_words = random.Random(f"words {seed}")
        self.rng_restores = random.Random(f"restores {seed}")
        self.ledger = soak_ledger.Ledger()
        self.fleet = soak_fleet.Fleet(self.ledger, logs, gateways)
        # Held while a hall is emptied, and while the store is restored.
        self.halls_lock = threading.Lock()
        self.restore_lock = threading.Lock()
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
            poison = self._start_poison()
            self._disturb()
            broken = self._recover()
            if poison is not None:
                poison.stop()
            for caller in callers:
                caller.stop()
            if not all([caller.join() for caller in callers]):
                broken.append("a caller's request never ended")
        judge = soak_ledger.Judge(
            self.ledger,
            soak_fleet.DRAIN_S,
            soak_fleet.CONFIG_S,
            soak_fleet.EMPTIED_S,
            BEARS,
        )
        return broken + judge.broken()

    def _start_poison(self) -> soak_callers.PoisonCaller | None:
        rng = random.Random(f"with poison {self._seed}")
        if self._seed % PLANNED_EVERY == 0 or rng.random() >= POISON_SHARE:
            return None
        return soak_callers.PoisonCaller(self.fleet, self._seed)

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
            if self.rng_halls.random() < HALL_SHARE:
                self.rng_halls.choice(HALL_WORK)(self)
            if self.rng_limits.random() < LIMIT_SHARE:
                self.rng_limits.choice(LIMIT_WORK)(self)
            if self.rng_words.random() < WORD_SHARE:
                self.rng_words.choice(WORD_WORK)(self)
            if rows is ROW_FAULTS and self.rng_restores.random() < RESTORE_SHARE:
                self.rng_restores.choice(RESTORES)(self)
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
