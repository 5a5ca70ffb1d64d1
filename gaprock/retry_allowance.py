"""Holds parts of the retry budget's fixed allowance, by rows in the shared store.

The allowance belongs to the whole fleet.  A row for each service has the parts that
gateways hold.  A part that is held until a deadline counts for a window longer, so that
the parts that count at one time are all that the fleet may send of the allowance in a
window.  The row changes only on condition that it is unchanged since it was read.

A gateway takes a small part when few repeats are left to it, further ones while none is
left, and keeps them as long as it needs them.  It also keeps those that the process
before it held under its name.  Without the store no part is taken.  A restored store
may have lost parts, so none is given out in its first window.
"""

import random
import threading
import typing

import msgspec

from gaprock import (
    clock,
    eventlog,
    gateway_api,
    ids,
    invalid_rows,
    retry_budget,
    store_epochs,
)

# Share of the allowance that is given out.  The rest covers repeats in transit, as does
# the time for which a part counts after its window.
USED_SHARE: typing.Final = 0.95
TRANSIT_S: typing.Final = 0.5
# How long a part is held, and after which time it is renewed if it is still needed.
HOLD_S: typing.Final = 20.0
RENEW_S: typing.Final = 10.0
# Repeats of the first part, and of all parts of a gateway if the fleet is large.
PART: typing.Final = 4
MIN_SHARE: typing.Final = 2
# Pause between two changes of a service's parts, and the longest one while nothing is
# free, so that what is held is renewed in time.
PAUSE_S: typing.Final = 0.05
MAX_PAUSE_S: typing.Final = 5.0
# Tries against concurrent changes of the row, and the longest pause between them.
TRIES: typing.Final = 4
CONFLICT_PAUSE_S: typing.Final = 0.03
# Pause after a call that the store did not answer.
ERROR_PAUSE_S: typing.Final = 0.5
# Gateways that ask at the same time spread over this time for each of them, and those
# that wait until something is free over ``FREE_SPREAD_S``.
SPREAD_S: typing.Final = 0.005
FREE_SPREAD_S: typing.Final = 0.5


class Part(msgspec.Struct, array_like=True, frozen=True):
    """A part of the allowance.

    :param key: identifies it among the parts of its holder.
    :param holder: the name of the gateway that holds it.
    :param number: its repeats.
    :param until: until when it counts, by the store's clock, in seconds.
    """

    key: str
    holder: str
    number: typing.Annotated[int, msgspec.Meta(ge=0)]
    until: float


class AllowanceRow(msgspec.Struct, frozen=True):
    """The parts of a service's allowance.

    :param epoch: the store's epoch in which the row was written.
    """

    epoch: int
    parts: list[Part]


class _Known(typing.NamedTuple):
    """A service's row as it was read.

    :param parts: the parts that count; ``None`` if some may have been lost.
    :param version: the row's version; 0 if there is none.
    :param store_now: the store's time in the answer.
    :param asked_at: our time when the row was requested.
    """

    parts: list[Part] | None
    version: int
    epoch: int
    store_now: float
    asked_at: float

    def store_time(self, at: float) -> float:
        """Convert a time of ours to the store's clock, as the latest it can be."""
        return self.store_now + at - self.asked_at


class AllowanceTask:
    """Holds parts of the allowances; works on a thread of its own.

    :param name: this gateway's name.
    :param table: the table of the rows, one for each service.
    :param allowance: repeats that the whole fleet may send in a window.
    :param count_gateways: returns how many gateways share the allowance, for fair
        shares; the bound does not depend on it.
    :param hold: gets the service and the parts that are held, or were lately.
    """

    def __init__(
        self,
        name: str,
        clock_: clock.Clock,
        store: gateway_api.SharedStore,
        table: str,
        epochs: store_epochs.EpochTracker,
        allowance: float,
        window_s: float,
        count_gateways: typing.Callable[[], int],
        hold: typing.Callable[[str, list[retry_budget.HeldPart]], None],
    ) -> None:
        self._name = name
        self._clock = clock_
        self._started_at = clock_.now()
        self._store = store
        self._table = table
        self._epochs = epochs
        self._allowance = allowance
        self._window_s = window_s
        self._count_gateways = count_gateways
        self._hold = hold
        # Services that asked, and whether nothing was left to them; and the services
        # whose row is being changed.
        self._wanted: dict[str, bool] = {}
        self._active: set[str] = set()
        # When to ask again, and when to renew what we hold, by service.
        self._not_before: dict[str, float] = {}
        self._renew_at: dict[str, float] = {}
        # What we hold, or held lately, by service and key.
        self._held: dict[str, dict[str, retry_budget.HeldPart]] = {}
        self._changed = threading.Condition()
        self._stopped = False
        self._rng = random.Random()
        self._invalid = invalid_rows.InvalidRows(table, clock_)
        self._thread = threading.Thread(target=self._run, name="allowance", daemon=True)

    def set_bounds(self, allowance: float, window_s: float) -> None:
        """Apply changed settings."""
        self._allowance, self._window_s = allowance, window_s

    def request(self, service: str, is_short: bool) -> None:
        """Ask for a part for a service, unless that is of no use yet.

        :param is_short: whether no repeat was left.
        """
        due_at = self._not_before.get(service, -clock.NEVER)
        if not is_short:
            due_at = max(due_at, self._renew_at.get(service, -clock.NEVER))
        if self._clock.now() < due_at:
            return
        with self._changed:
            self._wanted[service] = self._wanted.get(service, False) or is_short
            self._changed.notify_all()

    def await_part(self, service: str, deadline: float) -> bool:
        """Wait until a part that was asked for is held or refused.

        :returns: whether that was so before the deadline; not if none was asked for.
        """
        with self._changed:
            if not self._is_pending(service):
                return False
            return clock.wait_for(
                self._changed,
                lambda: not self._is_pending(service),
                deadline,
                self._clock,
            )

    def _is_pending(self, service: str) -> bool:
        return service in self._wanted or service in self._active

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread after its current call."""
        with self._changed:
            self._stopped = True
            self._changed.notify_all()

    def _run(self) -> None:
        while True:
            with self._changed:
                clock.wait_for(
                    self._changed,
                    lambda: self._stopped or bool(self._wanted),
                    clock.NEVER,
                    self._clock,
                )
            if self._stopped:
                return
            spread_s = SPREAD_S * self._count_gateways()
            threading.Event().wait(self._rng.uniform(0.0, spread_s))
            self.step()

    def step(self) -> None:
        """Take or renew parts for each service that asked."""
        with self._changed:
            wanted, self._wanted = self._wanted, {}
            self._active = set(wanted)
        for service, is_short in wanted.items():
            if self._clock.now() >= self._not_before.get(service, -clock.NEVER):
                pause_s = self._take_if_answered(service, is_short)
                self._not_before[service] = self._clock.now() + pause_s
            with self._changed:
                self._active.discard(service)
                self._changed.notify_all()

    def _take_if_answered(self, service: str, is_short: bool) -> float:
        """Take or renew a part; return the pause until this is of use again."""
        try:
            return self._take(service, is_short)
        except gateway_api.StoreError as exc:
            eventlog.warning("allowance-unknown", service=service, error=exc)
            return max(ERROR_PAUSE_S, exc.retry_after_s)
        except Exception as exc:
            # A fault in one call must not end the thread.
            eventlog.warning("task-failed", task="allowance", error=repr(exc))
            return ERROR_PAUSE_S

    def _take(self, service: str, is_short: bool) -> float:
        """Take a part, or renew those that we hold.

        :returns: the pause until this is of use again, in seconds.
        :raises gateway_api.StoreError: when the store did not answer; a part that it
            may have given is found later.
        """
        for _ in range(TRIES):
            known = self._read(service)
            if known.parts is None:
                self._held.pop(service, None)
                self._block(service, known)
                return self._window_s
            own = [part for part in known.parts if part.holder == self._name]
            number = self._free_for_us(known, own) if is_short or not own else 0
            is_renewed = self._clock.now() < self._renew_at.get(service, -clock.NEVER)
            if number < 1 and (is_renewed or not own):
                return self._log_refused(service, known)
            deadline = self._clock.now() + HOLD_S
            until = known.store_time(deadline) + self._window_s + TRANSIT_S
            new = Part(ids.new_token(), self._name, number, until)
            others = [part for part in known.parts if part.holder != self._name]
            kept = [Part(part.key, part.holder, part.number, until) for part in own]
            written = others + kept + ([new] if number >= 1 else [])
            if self._commit(service, known, written):
                self._record(service, known, own, deadline, new)
                return PAUSE_S
            threading.Event().wait(self._rng.uniform(0.0, CONFLICT_PAUSE_S))
        eventlog.info("allowance-contended", service=service)
        return PAUSE_S

    def _free_for_us(self, known: _Known, own: list[Part]) -> int:
        """Return how many repeats a further part of ours may have."""
        free = self._cap - sum(part.number for part in known.parts or ())
        share = max(MIN_SHARE, self._cap // max(1, self._count_gateways()))
        held = sum(part.number for part in own)
        return max(0, min(free, max(PART, held), share - held))

    @property
    def _cap(self) -> int:
        return int(USED_SHARE * self._allowance)

    def _record(
        self,
        service: str,
        known: _Known,
        own: list[Part],
        deadline: float,
        new: Part,
    ) -> None:
        """Record the parts that we hold now.

        :param own: those that the store had for us before.
        :param new: the further one; it has no repeats if there is none.
        """
        before = self._held.get(service, {})
        held = {}
        for part in own:
            # The process before us may have used a part up until our start.
            since = before[part.key].since if part.key in before else self._started_at
            held[part.key] = retry_budget.HeldPart(part.number, since, deadline)
        if new.number:
            held[new.key] = retry_budget.HeldPart(new.number, 0.0, deadline)
        self._held[service] = held
        self._renew_at[service] = self._clock.now() + RENEW_S
        self._hold(service, list(held.values()))
        eventlog.info(
            "allowance-held",
            service=service,
            number=sum(part.number for part in held.values()),
            new=new.number,
            found=sum(part.key not in before for part in own),
            cap=self._cap,
            parts=len(known.parts or ()),
            took_s=self._clock.now() - known.asked_at,
        )

    def _read(self, service: str) -> _Known:
        """Read a service's row."""
        asked_at = self._clock.now()
        page = self._store.read(self._table)
        row = next((r for r in page.rows if r.key == service), None)
        version = row.version if row is not None else 0
        parts = self._parts(row, page)
        return _Known(parts, version, page.epoch, page.store_now, asked_at)

    def _parts(
        self, row: gateway_api.Row | None, page: gateway_api.Page
    ) -> list[Part] | None:
        """Return the parts of a row that count; ``None`` if some may be lost."""
        if row is None or row.value is None:
            return None if page.epoch > 0 else []
        try:
            found = invalid_rows.decode(AllowanceRow, row.value)
        except gateway_api.InvalidDocument as exc:
            self._invalid.record(row, exc)
            return None
        if found.epoch != page.epoch:
            return None
        return [part for part in found.parts if part.until > page.store_now]

    def _block(self, service: str, known: _Known) -> None:
        """Let the whole allowance count for a window, as parts may have been lost."""
        until = known.store_time(self._clock.now() + HOLD_S)
        until += self._window_s + TRANSIT_S
        self._commit(service, known, [Part("", "", self._cap, until)])
        eventlog.warning("allowance-lost", service=service, epoch=known.epoch)

    def _commit(self, service: str, known: _Known, parts: list[Part]) -> bool:
        value = msgspec.json.encode(AllowanceRow(known.epoch, parts))
        write = gateway_api.Write(self._table, service, value, known.version)
        done = self._store.commit([write])
        # In another epoch, an equal version may be that of another row.
        return bool(done) and self._epochs.newest <= known.epoch

    def _log_refused(self, service: str, known: _Known) -> float:
        """Log that nothing is free, and return the seconds until something may be."""
        parts = known.parts or []
        free_s = min((part.until for part in parts), default=0.0) - known.store_now
        free_s = min(max(0.0, free_s), MAX_PAUSE_S)
        free_s += self._rng.uniform(0.0, FREE_SPREAD_S)
        eventlog.info(
            "allowance-refused",
            service=service,
            cap=self._cap,
            parts=len(parts),
            free_s=free_s,
        )
        return free_s
