"""Rows of what is held in quarantine, for the case that all gateways are killed.

Gateways tell each other what they hold.  If all of them are killed at about the same
time, nobody is left who knows it, and each further time costs as many endpoints as the
first one.  The gateways whose evidence held a suspect therefore store it, in the same
row, and remove that when the hold has ended.  A gateway reads the rows when it starts.

The rows are written soon after the hold, and nothing waits for them.
"""

import typing

import msgspec

from gaprock import (
    clock,
    eventlog,
    freshness,
    gateway_api,
    invalid_rows,
    quarantine,
    suspicion,
)

HELD_PREFIX: typing.Final = "held/"
# Maximum number of rows that a gateway has at a time.
MAX_ROWS: typing.Final = 64


class HeldRow(msgspec.Struct):
    """A suspect that is held.

    :param fingerprint: as hexadecimal digits.
    :param until: end of the hold, by the store's clock.
    """

    fingerprint: typing.Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{16}$")]
    until: typing.Annotated[float, msgspec.Meta(ge=0)]
    is_shared: bool = False
    is_family: bool = False


class HeldRows:
    """Writes and reads the rows; for use by one thread.

    :param table: the table of the gateways' own rows.
    """

    __slots__ = (
        "_clock",
        "_store_clock",
        "_store",
        "_table",
        "_quarantine",
        "_stored",
        "_next_at",
    )

    def __init__(
        self,
        clock_: clock.Clock,
        store_clock: freshness.StoreClock,
        store: gateway_api.SharedStore,
        table: str,
        quarantine_: quarantine.Quarantine,
    ) -> None:
        self._clock = clock_
        self._store_clock = store_clock
        self._store = store
        self._table = table
        self._quarantine = quarantine_
        # The fingerprints of our rows.
        self._stored: set[int] = set()
        self._next_at = -clock.NEVER

    def step(self) -> None:
        """Write a row for each suspect that this gateway's evidence held since."""
        now = self._clock.now()
        if now < self._next_at or not self._store_clock.is_known:
            return
        own = {one.fingerprint: one for one in self._quarantine.held_by_own_evidence()}
        ended = self._stored - own.keys()
        new = list(own.keys() - self._stored)[: max(0, MAX_ROWS - len(self._stored))]
        if not ended and not new:
            return
        writes = [gateway_api.Write(self._table, key_of(one), None) for one in ended]
        writes += [self._write_of(own[one], now) for one in new]
        try:
            self._store.commit(writes)
        except gateway_api.StoreError as exc:
            self._next_at = now + exc.retry_after_s
            eventlog.warning("held-rows", error=exc)
            return
        self._stored = self._stored - ended | set(new)
        eventlog.info("held-rows", written=len(new), removed=len(ended))

    def _write_of(self, held: suspicion.SuspectUpdate, now: float) -> gateway_api.Write:
        row = HeldRow(
            f"{held.fingerprint:016x}",
            self._store_clock.latest_store_time(now + held.held_s),
            held.is_shared,
            held.is_family,
        )
        value = msgspec.json.encode(row)
        return gateway_api.Write(self._table, key_of(held.fingerprint), value)

    def apply(self, rows: list[gateway_api.Row]) -> None:
        """Hold what rows of this table say is held; remove those that have ended."""
        found: list[suspicion.SuspectUpdate] = []
        ended: set[int] = set()
        for row in rows:
            if row.value is None or not row.key.startswith(HELD_PREFIX):
                continue
            try:
                held = invalid_rows.decode(HeldRow, row.value)
            except gateway_api.InvalidDocument as exc:
                eventlog.warning("invalid-row", table=self._table, key=row.key, why=exc)
                continue
            mark = int(held.fingerprint, 16)
            until = self._store_clock.earliest_local(held.until)
            left_s = 0.0 if until is None else until - self._clock.now()
            if left_s <= 0.0:
                ended.add(mark)
                continue
            requests: list[int] | None = [] if held.is_shared else None
            found.append(
                suspicion.SuspectUpdate(
                    mark, {}, left_s, requests=requests, is_family=held.is_family
                )
            )
        # Ended rows are removed at the next step, as our own are.
        self._stored |= ended
        if found:
            eventlog.info("held-rows", read=len(found), ended=len(ended))
            self._quarantine.merge(found, is_far=False)


def key_of(fingerprint: int) -> str:
    """Return the key of a suspect's row."""
    return f"{HELD_PREFIX}{fingerprint:016x}"
