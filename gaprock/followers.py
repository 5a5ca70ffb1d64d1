"""Follows the shared store's tables, one thread each, and hands the rows on.

Each poll is a priced call, so in a hall with many gateways two of them poll and the
others rest: they take the readers' copies, and poll again as soon as a reader falls
silent or loses the store (``mesh.Mesh.has_readers`` decides who rests).

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
# Pause between two looks at whether to poll again, seconds.
REST_LOOK_S: typing.Final = 0.2
# A peer that is ahead for this long has news that the store did not tell, seconds.
BEHIND_S: typing.Final = 0.4


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
        gather_s: float = 0.0,
        may_rest: typing.Callable[[], bool] = lambda: False,
        on_back: typing.Callable[[], None] = lambda: None,
    ) -> None:
        self.table = table
        self._store = store
        self._clock = clock_
        self._sink = sink
        # Changes that come so close together are read in one call.
        self._gather_s = gather_s
        # Whether others read the store for us.
        self._may_rest = may_rest
        self.resting = False
        # Told when the store answers again, before its rows are taken.
        self._on_back = on_back
        self._lock = threading.RLock()
        self._rows: dict[str, gateway_api.Row] = {}
        # What the rows are up to date with; -1 before the first reading.
        self.version = -1
        # The version of the newest change in the table itself; -1 before any reading.
        self.changed = -1
        # Since when the store has not answered; ``NEVER`` while it does.
        self.lost_at = 0.0
        # When the store last answered; 0 before the first answer.
        self.answered_at = 0.0
        self._rng = random.Random()
        self._stopped = threading.Event()

    def start(self) -> None:
        """Begin to follow."""
        name = f"follow-{self.table}"
        threading.Thread(target=self._run_logged, name=name, daemon=True).start()

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
        """Take a whole table from a peer if it has a newer change."""
        with self._lock:
            if page.version <= self.changed:
                return
            eventlog.info(
                "rows-copied", table=self.table, old=self.changed, new=page.version
            )
            self._take_whole(page, page.version)

    def _run_logged(self) -> None:
        """Follow, and say so when that ends by a fault of ours."""
        try:
            self._run()
        except Exception as exc:
            eventlog.warning("follow-ended", table=self.table, error=repr(exc))
            raise

    def _run(self) -> None:
        pause_s = FIRST_PAUSE_S
        is_read = has_rested = False
        while not self._stopped.is_set():
            self._set_resting(is_read and self.connected and self._may_rest())
            if self.resting:
                has_rested = True
                self._stopped.wait(REST_LOOK_S)
                continue
            try:
                # After a failure or a rest, a call without a wait shows whether the
                # store answers; a connection that rested may be dead.
                wait_s = POLL_S if self.connected and not has_rested else 0.0
                has_rested = False
                is_read = self._step(is_read, wait_s)
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

    def _step(self, is_read: bool, wait_s: float) -> bool:
        """Make one call.

        :param wait_s: how long the store may wait for a change.
        :returns: whether changes can be asked for next.
        """
        if not is_read:
            page = self._store.read(self.table)
            self._note_answer()
            with self._lock:
                if page.version >= self.version:
                    newest = max((row.version for row in page.rows), default=0)
                    self._take_whole(page, max(self.changed, newest))
            return True
        if wait_s:
            eventlog.info(
                "store-asked", table=self.table, since=self.version, wait_s=wait_s
            )
        page = self._store.follow(self.table, self.version, wait_s)
        self._note_answer()
        eventlog.info(
            "store-told", table=self.table, version=page.version, rows=len(page.rows)
        )
        with self._lock:
            self._take_changes(page)
        if page.rows:
            self._stopped.wait(self._gather_s)
        return True

    def _take_whole(self, page: gateway_api.Page, changed: int) -> None:
        self._rows = {row.key: row for row in page.rows}
        self.version = max(self.version, page.version)
        self.changed = changed
        self._sink.take_page(page, whole=True)

    def _take_changes(self, page: gateway_api.Page) -> None:
        """Take changed rows, less those that a peer's copy brought already."""
        fresh = []
        # Rows of one transaction share a version, so the bound is the one before.
        known_until = self.changed
        for row in page.rows:
            old = self._rows.get(row.key)
            if old is not None and old.version >= row.version:
                continue
            if row.version <= known_until and old is None:
                # Removed in the meantime, as a copy has told.
                continue
            fresh.append(row)
            if row.value is None:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row
            self.changed = max(self.changed, row.version)
        self.version = max(self.version, page.version)
        if fresh:
            changed = gateway_api.Page(fresh, page.version, page.store_now)
            self._sink.take_page(changed, whole=False)

    def _set_resting(self, resting: bool) -> None:
        if resting is self.resting:
            return
        self.resting = resting
        event = "store-left-to-readers" if resting else "store-read-again"
        eventlog.info(event, table=self.table, version=self.version)

    def _note_answer(self) -> None:
        self.answered_at = self._clock.now()
        if not self.connected:
            self._on_back()

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

    __slots__ = ("_followers", "_clock", "_missed")

    def __init__(self, followers: list[Follower], clock_: clock.Clock) -> None:
        self._followers = followers
        self._clock = clock_
        # The newest change that a peer told of and we lack, and since when, by table.
        self._missed: dict[int, tuple[int, float]] = {}

    def versions(self) -> list[int]:
        """Give the newest change of each table."""
        return [follower.changed for follower in self._followers]

    def reads(self) -> bool:
        """Whether we read the store ourselves, and it answers."""
        return all(f.connected and not f.resting for f in self._followers)

    def behind(self, table: int, version: int, is_far: bool = False) -> bool:
        """Whether a peer's copy would help.

        The store may hang without a word, so a peer that stays ahead for longer than
        the store's own news takes is enough.  One who rests asks at once, but first in
        its own hall.
        """
        if not 0 <= table < len(self._followers):
            return False
        follower = self._followers[table]
        now = self._clock.now()
        newest, since = self._missed.get(table, (0, now))
        newest = max(newest, version)
        if newest <= follower.changed:
            self._missed.pop(table, None)
            return False
        # A peer that is as far behind as we are does not end the wait.
        self._missed[table] = newest, since
        if version <= follower.changed:
            return False
        if follower.resting and not is_far:
            return True
        return not follower.connected or now >= since + BEHIND_S

    def copy(self, table: int) -> mesh_messages.Rows:
        """Give a table."""
        follower = self._followers[table]
        rows = [
            mesh_messages.RowCopy(row.key, row.value, row.version)
            for row in follower.rows()
            if row.value is not None
        ]
        return mesh_messages.Rows(table, follower.changed, rows)

    def take_copy(self, rows: mesh_messages.Rows) -> None:
        """Take a table from a peer."""
        found = [gateway_api.Row(r.key, r.value, r.version) for r in rows.rows]
        # A copy tells nothing of the store's clock.
        page = gateway_api.Page(found, rows.version, 0.0)
        self._followers[rows.table].take_copy(page)
