"""Follows the shared store's tables, one thread each, and hands the rows on.

Each poll is a priced call, so one gateway of a hall polls and the others rest: they
take the reader's copies, and the next one polls as soon as the reader falls silent or
loses the store (``mesh.Mesh.has_readers`` decides who rests).

Versions hold within one epoch of the store (``store_epochs``): a table is read whole in
each new epoch, and what tells of an earlier one is dropped.

A follower reads its table whole, then waits for changes with a long poll.  While it
waits it asks the store now and then what the poll should have told: a poll may never
be answered though the store answers other calls (``freshness``).  When the store forgot
the changes it reads anew; when the store does not answer, what is known stays in force,
peers' copies are taken, and the next try comes after a jittered pause.
"""

import collections
import hashlib
import random
import threading
import typing

from gaprock import clock, eventlog, freshness, gateway_api, mesh_messages, store_epochs

# Longest poll, seconds; each poll is a priced call.
POLL_S: typing.Final = 28.0
# Pauses after a failure, first and longest, seconds.
FIRST_PAUSE_S: typing.Final = 0.1
LONGEST_PAUSE_S: typing.Final = 1.0
# The same while others of the hall try the store for us, or have its answers and give
# us copies, seconds.  With each gateway trying by itself, about 270 of 696 calls of a
# day of 17 gateways were made around the 8 s in which the store was silent.
LEFT_PAUSE_S: typing.Final = 5.0
# A poll is given up this long after the store should have answered, seconds.
POLL_SLACK_S: typing.Final = 2.0
# Pause between two looks at what is due beside a poll or a rest, seconds.
LOOK_S: typing.Final = 0.2
# Pause between two looks for a peer's copy at the first start, seconds.
COPY_LOOK_S: typing.Final = 0.05
# A peer that is ahead for this long has news that the store did not tell, seconds.
BEHIND_S: typing.Final = 0.4
# Removed rows that are remembered, so that a peer can be told the changes alone.
MAX_TOMBSTONES: typing.Final = 2000
DIGEST_RANGE: typing.Final = 1 << 64


class Sink(typing.Protocol):
    """Takes the rows of a table."""

    def apply_page(self, page: gateway_api.Page, whole: bool) -> None:
        """Take changed rows, or a whole table."""


class Follower:
    """One table; safe for all threads."""

    def __init__(
        self,
        table: str,
        store: gateway_api.SharedStore,
        clock_: clock.Clock,
        sink: Sink,
        fresh: freshness.Freshness,
        gather_s: float = 0.0,
        may_rest: typing.Callable[[], bool] = lambda: False,
        on_back: typing.Callable[[], None] = lambda: None,
        awaits_copy: typing.Callable[[], bool] = lambda: False,
        is_left: typing.Callable[[], bool] = lambda: False,
        epochs: store_epochs.EpochTracker | None = None,
    ) -> None:
        self.table = table
        self._store = store
        self._clock = clock_
        self._sink = sink
        self.fresh = fresh
        # Changes that come so close together are read in one call.
        self._gather_s = gather_s
        # Whether others read the store for us.
        self._may_rest = may_rest
        self.on_standby = False
        # Told when the store answers again, before its rows are taken.
        self._on_back = on_back
        # Whether the first reading is left to a peer for a moment.
        self._awaits_copy = awaits_copy
        # Whether a store that does not answer us is left to others for a while.
        self._is_left = is_left
        self._epochs = epochs or store_epochs.EpochTracker(clock_)
        self._lock = threading.RLock()
        self._rows: dict[str, gateway_api.Row] = {}
        # Whether the table was read whole, so that its changes can be asked for.
        self._is_read = False
        # Whether a poll waits at the store.
        self._is_polling = False
        # The store's epoch in which the rows were read; all versions are of it.
        self.epoch = 0
        # What the rows are up to date with; -1 before the first reading.
        self.version = -1
        # The version of the newest change in the table itself; -1 before any reading.
        self.changed = -1
        # Of the rows, to compare them with a peer's.
        self._digest = digest({})
        # The latest removed rows by their versions, and the version after which all
        # changes are known, removals too.
        self._removed: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._changes_from = 0
        # Since when the store has not answered; ``NEVER`` while it does.
        self.disconnected_at = 0.0
        # How often the history was gone since the last changes that the store told.
        self._times_gone = 0
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
        return self.disconnected_at == clock.NEVER

    def rows(self) -> list[gateway_api.Row]:
        """Give the table as it is known."""
        with self._lock:
            return list(self._rows.values())

    def changes_after(self, epoch: int, since: int) -> list[gateway_api.Row] | None:
        """Give the changes after a version; ``None`` if some may not be known.

        The rows of 3,000 endpoints, some 180 bytes each, would be handed on whole at
        each change of one of them.
        """
        with self._lock:
            if epoch != self.epoch or since < self._changes_from:
                return None
            found = [row for row in self._rows.values() if row.version > since]
            gone = [(k, v) for k, v in self._removed.items() if v > since]
        return found + [gateway_api.Row(key, None, version) for key, version in gone]

    # -- What other gateways know --

    def news(self) -> mesh_messages.TableNews:
        """Give the newest change and the newest proof."""
        with self._lock:
            return mesh_messages.TableNews(
                self.changed, self._digest, self.fresh.stamp, self.epoch
            )

    def prove(self, news: mesh_messages.TableNews) -> None:
        """Take a peer's proof, if it is of the table as we know it."""
        with self._lock:
            if news.digest == self._digest and news.epoch == self.epoch:
                self.fresh.prove(news.verified_store_time)

    def expect_change(self) -> None:
        """Give a poll that waits a moment to tell of a change, before we ask."""
        with self._lock:
            if self._is_polling:
                self.fresh.hurry(self._clock.now() + BEHIND_S)

    def apply_copy(self, page: gateway_api.Page) -> None:
        """Take a whole table from a peer if it has a newer change.

        One that is not newer than what the store told us lacks what it told: a row that
        is gone would come back.
        """
        with self._lock:
            if (page.epoch, page.version) <= (self.epoch, self.version):
                return
            eventlog.info(
                "rows-copied",
                table=self.table,
                old=self.changed,
                new=page.version,
                epoch=page.epoch,
            )
            self._take_whole(page, page.version)
            if not self._is_read and self.disconnected_at == 0.0:
                # Before any call of ours it stands for the first reading.
                self._is_read, self.disconnected_at = True, clock.NEVER
            # A poll that does not tell the same soon is not going to.
            self.expect_change()

    def take_difference(self, page: gateway_api.Page, since: int) -> None:
        """Take what a peer says has changed after a version.

        :param since: the version, which must not be beyond what we know.
        """
        with self._lock:
            known = self._is_read and since <= self.version
            known = known and page.epoch == self.epoch
            if not known or page.version <= self.version:
                return
            old = self.changed
            fresh = self._take_changes(page)
            eventlog.info(
                "rows-copied",
                table=self.table,
                old=old,
                new=page.version,
                rows=fresh,
            )
            self.expect_change()

    @property
    def delta_base(self) -> int:
        """The version after which changes help us; -1 while we need the whole table."""
        return self.version if self._is_read else -1

    # -- The thread --

    def _run(self) -> None:
        pause_s = FIRST_PAUSE_S
        while not self._stopped.is_set():
            try:
                self._step()
            except gateway_api.HistoryGone:
                eventlog.warning("history-gone", table=self.table, version=self.version)
                self._is_read = False
                self._times_gone += 1
                if self._times_gone > 1:
                    # The whole reading did not help.
                    self._rest_from_store(pause_s)
                    pause_s = min(LONGEST_PAUSE_S, pause_s * 2)
                    continue
            except gateway_api.StoreError as exc:
                self._record_disconnect(exc)
                self._rest_from_store(pause_s, exc.retry_after_s)
                pause_s = min(LONGEST_PAUSE_S, pause_s * 2)
                continue
            except Exception as exc:
                # A follower outlives its own faults, or nothing would be in force any
                # more; what was taken halfway is read anew.
                eventlog.warning("follow-failed", table=self.table, error=repr(exc))
                self._is_read = False
                self._stopped.wait(LONGEST_PAUSE_S)
            if not self._times_gone:
                pause_s = FIRST_PAUSE_S

    def _rest_from_store(self, pause_s: float, retry_after_s: float = 0.0) -> None:
        """Wait before the next try, longer for as long as others try for us.

        :param retry_after_s: for which the store wants no calls.
        """
        began = self._clock.now() + retry_after_s
        share = self._rng.uniform(0.5, 1.0)
        try_at, left_at = began + share * pause_s, began + share * LEFT_PAUSE_S
        while not self._stopped.is_set():
            now = self._clock.now()
            until = left_at if self._is_read and self._is_left() else try_at
            if now >= until:
                return
            self._stopped.wait(min(LOOK_S, until - now))

    def _step(self) -> None:
        """Make the next call, or rest."""
        self._set_standby(self._is_read and self.connected and self._may_rest())
        if not self._is_read and self._awaits_copy():
            self._stopped.wait(COPY_LOOK_S)
        elif not self._is_read or (self._is_outdated and not self.on_standby):
            self._read()
        elif not self.connected or self.fresh.is_check_due:
            # After a failure, a call without a wait shows whether the store answers.
            self._ask(self.version)
        elif self.on_standby:
            self._stopped.wait(LOOK_S)
        elif self._poll():
            self._stopped.wait(self._gather_s)

    @property
    def _is_outdated(self) -> bool:
        """Whether the rows are of an earlier epoch of the store."""
        return self._epochs.newest > self.epoch

    def _check_epoch(self, page: gateway_api.Page) -> None:
        """See that an answer is of the epoch of our rows.

        :raises gateway_api.HistoryGone: when the store was restored since.
        :raises gateway_api.StoreError: when the answer is of an earlier epoch.
        """
        if page.epoch > self.epoch:
            raise gateway_api.HistoryGone
        if page.epoch < self.epoch:
            raise gateway_api.StoreError("an answer of an earlier epoch")

    def _read(self) -> None:
        """Read the table whole."""
        asked_at = self._clock.now()
        page = self._store.read(self.table)
        if page.epoch < max(self.epoch, self._epochs.newest):
            raise gateway_api.StoreError("an answer of an earlier epoch")
        self._note_answer()
        with self._lock:
            if (page.epoch, page.version) >= (self.epoch, self.version):
                newest = max((row.version for row in page.rows), default=0)
                # Rows of a later page may be newer than the page's version.
                newest = min(newest, page.version)
                if page.epoch == self.epoch:
                    newest = max(self.changed, newest)
                self._take_whole(page, newest)
                self.fresh.prove_by_answer(page.store_now, asked_at)
            else:
                eventlog.warning(
                    "reading-dropped",
                    table=self.table,
                    version=page.version,
                    known=self.version,
                    epoch=page.epoch,
                )
        self._is_read = True

    def _ask(self, since: int) -> bool:
        """Ask for the changes after a version that there are now.

        :returns: whether there are any.
        """
        asked_at = self._clock.now()
        page = self._store.changes(self.table, since)
        self._take_answer(page, asked_at)
        return bool(page.rows)

    def _poll(self) -> bool:
        """Wait for changes at the store.

        A poll is left when the store, asked beside it, tells changes that the poll has
        not: it was swallowed by an outage, or its connection went silent for good.
        Waiting for it alone kept an old configuration in force for 30 s.

        :returns: whether the poll told changes.
        """
        since = self.version
        give_up_at = self._clock.now() + POLL_S + POLL_SLACK_S
        poll = self._store.poll(self.table, since, POLL_S)
        eventlog.info("store-asked", table=self.table, since=since, wait_s=POLL_S)
        self._is_polling = True
        try:
            while not poll.wait(LOOK_S):
                if self._stopped.is_set() or self._is_outdated:
                    return False
                if self._clock.now() > give_up_at:
                    raise gateway_api.StoreError("a poll without an answer")
                if self.fresh.is_check_due and self._ask(since):
                    eventlog.warning("store-poll-deaf", table=self.table, since=since)
                    return False
            page = poll.page()
        finally:
            self._is_polling = False
            poll.close()
        self._take_answer(page, None)
        return bool(page.rows)

    def _take_answer(self, page: gateway_api.Page, asked_at: float | None) -> None:
        """Take changes.

        :param asked_at: when they were asked for; ``None`` if the store held the call.
        :raises gateway_api.HistoryGone: when the store was restored since.
        :raises gateway_api.StoreError: when the answer is of an earlier epoch.
        """
        self._note_answer()
        with self._lock:
            self._check_epoch(page)
            self._times_gone = 0
            fresh = self._take_changes(page)
            if page.version >= self.version:
                self.fresh.prove_by_answer(page.store_now, asked_at)
        if fresh or asked_at is None:
            eventlog.info(
                "store-told", table=self.table, version=page.version, rows=fresh
            )

    def _take_whole(self, page: gateway_api.Page, changed: int) -> None:
        if page.epoch > self.epoch and self.version >= 0:
            eventlog.info(
                "rows-restored",
                table=self.table,
                epoch=page.epoch,
                old=self.epoch,
                version=page.version,
                known=self.version,
            )
        self._rows = {row.key: row for row in page.rows}
        self.epoch, self.version = page.epoch, page.version
        self.changed = changed
        self._removed.clear()
        self._changes_from = page.version
        self._digest = digest(self._rows)
        self._sink.apply_page(page, whole=True)

    def _take_changes(self, page: gateway_api.Page) -> int:
        """Take changed rows, less those that were brought already.

        :returns: how many were new.
        """
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
            self._put(row, old)
            self.changed = max(self.changed, row.version)
        self.version = max(self.version, page.version)
        if fresh:
            changed = page._replace(rows=fresh)
            self._sink.apply_page(changed, whole=False)
        return len(fresh)

    def _put(self, row: gateway_api.Row, old: gateway_api.Row | None) -> None:
        """Take one changed row, which was another or none before."""
        if old is not None:
            self._digest = (self._digest - row_digest(old)) % DIGEST_RANGE
        if row.value is not None:
            self._rows[row.key] = row
            self._removed.pop(row.key, None)
            self._digest = (self._digest + row_digest(row)) % DIGEST_RANGE
            return
        self._rows.pop(row.key, None)
        self._removed[row.key] = row.version
        self._removed.move_to_end(row.key)
        if len(self._removed) > MAX_TOMBSTONES:
            _, version = self._removed.popitem(last=False)
            self._changes_from = max(self._changes_from, version)

    def _set_standby(self, on_standby: bool) -> None:
        if on_standby is self.on_standby:
            return
        self.on_standby = on_standby
        event = "store-left-to-readers" if on_standby else "store-read-again"
        eventlog.info(event, table=self.table, version=self.version)

    def _note_answer(self) -> None:
        if self.connected:
            return
        self._on_back()
        away_s = (
            self._clock.now() - self.disconnected_at if self.disconnected_at else 0.0
        )
        self.disconnected_at = clock.NEVER
        eventlog.info(
            "store-back", table=self.table, version=self.version, away_s=away_s
        )

    def _record_disconnect(self, exc: gateway_api.StoreError) -> None:
        if self.connected:
            self.disconnected_at = self._clock.now()
            eventlog.warning(
                "store-lost", table=self.table, version=self.version, error=exc
            )


def digest(rows: dict[str, gateway_api.Row]) -> int:
    """Give a number that two tables share if their rows do.

    It is a sum over the rows, so that a change of one costs no look at the others.
    """
    return sum(row_digest(row) for row in rows.values()) % DIGEST_RANGE


def row_digest(row: gateway_api.Row) -> int:
    """Give a row's part of its table's number."""
    text = f"{row.key} {row.version}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")
