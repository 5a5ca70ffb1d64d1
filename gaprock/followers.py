"""Follows the shared store's tables, one thread each, and hands the rows on.

A follower reads its table whole, then waits for changes with a long poll.  When the
store forgot the changes it reads anew; when the store does not answer, what is known
stays in force, peers' copies are taken, and the next try comes after a jittered pause.
"""

import random
import threading
import typing

from gaprock import clock, eventlog, gateway_api, mesh_messages

# Longest poll, seconds; each poll is a priced call.
POLL_S: typing.Final = 28.0
# Pauses after a failure, first and longest, seconds.
FIRST_PAUSE_S: typing.Final = 0.1
LONGEST_PAUSE_S: typing.Final = 1.0
# Changes that come close together are read in one call, seconds.
GATHER_S: typing.Final = 0.05


class Sink(typing.Protocol):
    """Takes the rows of a table."""

    def take_page(self, page: gateway_api.Page, whole: bool) -> None:
        """Take changed rows, or a whole table."""


class Follower:
    """One table; safe for all threads."""

    def __init__(
        self,
        table: str,
        store: gateway_api.SharedStore,
        clock_: clock.Clock,
        sink: Sink,
    ) -> None:
        self.table = table
        self._store = store
        self._clock = clock_
        self._sink = sink
        self._lock = threading.RLock()
        self._rows: dict[str, gateway_api.Row] = {}
        # What the rows are up to date with; -1 before the first reading.
        self.version = -1
        # Since when the store has not answered; ``NEVER`` while it does.
        self.lost_at = 0.0
        self._rng = random.Random()
        self._stopped = threading.Event()

    def start(self) -> None:
        """Begin to follow."""
        name = f"follow-{self.table}"
        threading.Thread(target=self._run, name=name, daemon=True).start()

    def stop(self) -> None:
        """End after the call under way."""
        self._stopped.set()

    @property
    def connected(self) -> bool:
        """Whether the store answered last time."""
        return self.lost_at == clock.NEVER

    def rows(self) -> list[gateway_api.Row]:
        """Give the table as it is known."""
        with self._lock:
            return list(self._rows.values())

    def take_copy(self, page: gateway_api.Page) -> None:
        """Take a whole table from a peer if it is newer."""
        with self._lock:
            if page.version <= self.version:
                return
            eventlog.info(
                "rows-copied", table=self.table, old=self.version, new=page.version
            )
            self._take_whole(page)

    def _run(self) -> None:
        pause_s = FIRST_PAUSE_S
        is_read = False
        while not self._stopped.is_set():
            try:
                is_read = self._step(is_read)
            except gateway_api.HistoryGone:
                eventlog.warning("history-gone", table=self.table, version=self.version)
                is_read = False
            except gateway_api.StoreError as exc:
                self._note_lost(exc)
                wait_s = max(exc.retry_s, pause_s) * self._rng.uniform(0.5, 1.0)
                pause_s = min(LONGEST_PAUSE_S, pause_s * 2)
                self._stopped.wait(wait_s)
                continue
            self._note_back()
            pause_s = FIRST_PAUSE_S

    def _step(self, is_read: bool) -> bool:
        """Make one call.

        :returns: whether changes can be asked for next.
        """
        if not is_read:
            page = self._store.read(self.table)
            with self._lock:
                if page.version >= self.version:
                    self._take_whole(page)
            return True
        page = self._store.follow(self.table, self.version, POLL_S)
        with self._lock:
            self._take_changes(page)
        if page.rows:
            self._stopped.wait(GATHER_S)
        return True

    def _take_whole(self, page: gateway_api.Page) -> None:
        self._rows = {row.key: row for row in page.rows}
        self.version = page.version
        self._sink.take_page(page, whole=True)

    def _take_changes(self, page: gateway_api.Page) -> None:
        """Take changed rows, less those that a peer's copy brought already."""
        fresh = []
        for row in page.rows:
            old = self._rows.get(row.key)
            if old is not None and old.version >= row.version:
                continue
            fresh.append(row)
            if row.value is None:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row
        self.version = max(self.version, page.version)
        if fresh:
            changed = gateway_api.Page(fresh, page.version, page.store_now)
            self._sink.take_page(changed, whole=False)

    def _note_lost(self, exc: gateway_api.StoreError) -> None:
        if self.connected:
            self.lost_at = self._clock.now()
            eventlog.warning(
                "store-lost", table=self.table, version=self.version, error=exc
            )

    def _note_back(self) -> None:
        if not self.connected:
            away_s = self._clock.now() - self.lost_at if self.lost_at else 0.0
            self.lost_at = clock.NEVER
            eventlog.info(
                "store-back", table=self.table, version=self.version, away_s=away_s
            )


class RowExchange:
    """Copies of followed tables, given to and taken from peers.

    :param followers: in the order of ``mesh_messages.TABLES``.
    """

    __slots__ = ("_followers", "_clock")

    def __init__(self, followers: list[Follower], clock_: clock.Clock) -> None:
        self._followers = followers
        self._clock = clock_

    def versions(self) -> list[int]:
        """Give what each table is up to date with."""
        return [follower.version for follower in self._followers]

    def behind(self, table: int, version: int) -> bool:
        """Whether a peer's copy would help: only while the store does not answer."""
        if not 0 <= table < len(self._followers):
            return False
        follower = self._followers[table]
        return not follower.connected and version > follower.version

    def copy(self, table: int) -> mesh_messages.Rows:
        """Give a table."""
        follower = self._followers[table]
        rows = [
            mesh_messages.RowCopy(row.key, row.value, row.version)
            for row in follower.rows()
            if row.value is not None
        ]
        return mesh_messages.Rows(table, follower.version, rows)

    def take_copy(self, rows: mesh_messages.Rows) -> None:
        """Take a table from a peer."""
        found = [gateway_api.Row(r.key, r.value, r.version) for r in rows.rows]
        # A copy tells nothing of the store's clock.
        page = gateway_api.Page(found, rows.version, 0.0)
        self._followers[rows.table].take_copy(page)
