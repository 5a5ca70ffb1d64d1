"""Followers of the shared store's tables: one thread per table, rows go to a sink.

A follower reads its whole table once and then follows the change feed by long polls.
While a poll waits, the follower regularly asks the store for the same changes with a
call that does not wait, because a poll may stay unanswered although the store answers
other calls (``freshness``).  If the store no longer has the requested history, the
table is read again.  If the store does not answer, the known rows stay in effect,
copies from peers are applied, and the call is retried after a jittered pause.

Each poll is a billed call, so one gateway of a hall polls and the others are on
standby: they apply the reader's copies.  The next one starts to poll as soon as the
reader goes silent or loses the store (``mesh.Mesh.has_readers`` decides who polls).

Versions are comparable only within one epoch of the store (``store_epochs``).  A table
is read again in each new epoch, and data of an earlier epoch is dropped.  What is
applied of rows that arrive late is decided in ``followed_table``.
"""

import random
import threading
import typing

from gaprock import (
    clock,
    eventlog,
    followed_table,
    freshness,
    gateway_api,
    mesh_messages,
    store_epochs,
)

# Longest poll; each poll is a billed call.
POLL_S: typing.Final = 28.0
# Backoff after a failure: the first and the longest pause.
FIRST_PAUSE_S: typing.Final = 0.1
LONGEST_PAUSE_S: typing.Final = 1.0
# Pause after a failure while peers of the hall retry the store for us, or get its
# answers and send us copies.  When each gateway retried by itself, about 270 of 696
# calls of a day of 17 gateways fell around the 8 s in which the store was silent.
PEERS_RETRY_PAUSE_S: typing.Final = 5.0
# A poll is abandoned this long after the store should have answered it.
POLL_SLACK_S: typing.Final = 2.0
# Interval at which a follower checks what is due during a poll, pause or standby.
CHECK_INTERVAL_S: typing.Final = 0.2
# Interval at which the first start checks whether a peer's copy has arrived.
COPY_CHECK_INTERVAL_S: typing.Final = 0.05
# A peer that stays ahead for this long has a change that the store did not report.
MAX_LAG_S: typing.Final = 0.4


class Sink(typing.Protocol):
    """Receives the rows of a table."""

    def apply_page(self, page: gateway_api.Page, whole: bool) -> None:
        """Apply changed rows, or replace the whole table.

        :param whole: whether the page holds all rows of the table.
        """


class Follower:
    """Follows one table; thread-safe."""

    def __init__(
        self,
        table: str,
        store: gateway_api.SharedStore,
        clock_: clock.Clock,
        sink: Sink,
        fresh: freshness.Freshness,
        gather_s: float = 0.0,
        may_stand_by: typing.Callable[[], bool] = lambda: False,
        on_reconnect: typing.Callable[[], None] = lambda: None,
        awaits_copy: typing.Callable[[], bool] = lambda: False,
        peers_retry: typing.Callable[[], bool] = lambda: False,
        epochs: store_epochs.EpochTracker | None = None,
        await_own_rows: typing.Callable[[], None] = lambda: None,
    ) -> None:
        self.table = table
        self._store = store
        self._clock = clock_
        self._sink = sink
        self.fresh = fresh
        # Changes that arrive within this time of each other are read in one call.
        self._gather_s = gather_s
        # Whether peers read the store for us.
        self._may_stand_by = may_stand_by
        self.on_standby = False
        # Called when the store answers again, before its rows are applied.
        self._on_reconnect = on_reconnect
        # Whether the first read is to wait briefly for a peer's copy.
        self._awaits_copy = awaits_copy
        # Whether peers retry a store that does not answer us.
        self._peers_retry = peers_retry
        self._epochs = epochs or store_epochs.EpochTracker(clock_)
        # Called before the first rows from the store are applied.
        self._await_own_rows = await_own_rows
        self._lock = threading.RLock()
        self._rows = followed_table.FollowedTable(table)
        # Whether the whole table was read, so that its changes can be requested.
        self._is_read = False
        # Whether a long poll is pending at the store.
        self._is_polling = False
        # Since when the store has not answered; ``NEVER`` while it answers.
        self.disconnected_at = 0.0
        # How often the history was gone since the store last returned changes.
        self._history_gone_count = 0
        self._rng = random.Random()
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start the thread that follows the table."""
        name = f"follow-{self.table}"
        threading.Thread(target=self._run, name=name, daemon=True).start()

    def stop(self) -> None:
        """Stop the thread after its current call."""
        self._stopped.set()

    @property
    def connected(self) -> bool:
        """Whether the store answered the last call."""
        return self.disconnected_at == clock.NEVER

    def rows(self) -> list[gateway_api.Row]:
        """Return the known rows of the table."""
        with self._lock:
            return list(self._rows.rows.values())

    @property
    def epoch(self) -> int:
        """The store's epoch in which the rows were read."""
        return self._rows.epoch

    @property
    def version(self) -> int:
        """The store's version that the rows reflect; -1 before the first read."""
        return self._rows.version

    @property
    def as_of(self) -> int:
        """The store's version as of which the rows are known."""
        return self._rows.as_of

    @property
    def store_position(self) -> tuple[int, int]:
        """The epoch and version as of which the rows are known; a greater is later."""
        with self._lock:
            return self.epoch, self.as_of

    @property
    def changed(self) -> int:
        """The version of the table's newest change; -1 before the first read."""
        return self._rows.changed

    def copy(self, epoch: int, since: int) -> tuple[gateway_api.Page, int]:
        """Return the changes after a version, or the whole table if some are unknown.

        :param since: the version, of the epoch; -1 for the whole table.
        :returns: the rows as of the newest change, without a time of the store, and the
            version after which they changed; -1 for the whole table.
        """
        with self._lock:
            rows = self._rows.changes_after(epoch, since) if since >= 0 else None
            if rows is None:
                rows, since = self.rows(), -1
            return gateway_api.Page(rows, self.changed, 0.0, self.epoch), since

    # -- Exchange with other gateways --

    def news(self) -> mesh_messages.TableUpdate:
        """Return the newest change, the digest, and when they were last verified."""
        with self._lock:
            return mesh_messages.TableUpdate(
                self.changed,
                self._rows.digest,
                self.fresh.verified_store_time,
                self.epoch,
                self.as_of,
            )

    def record_verification(self, news: mesh_messages.TableUpdate) -> None:
        """Record a peer's verification, if the peer has the same rows as we do.

        Rows in transit to us may be older than the verified moment.  Without the
        version of that moment they could not be told from newer ones.
        """
        if news.version < 0:
            return
        with self._lock:
            if news.digest == self._rows.digest and news.epoch == self.epoch:
                self._rows.record_verification(news.version)
                self.fresh.record_verification(news.verified_store_time)

    def expect_change(self) -> None:
        """Have the store asked shortly, unless the pending poll reports a change."""
        with self._lock:
            if self._is_polling:
                self.fresh.check_by(self._clock.now() + MAX_LAG_S)

    def apply_copy(self, page: gateway_api.Page) -> None:
        """Apply a peer's copy of the whole table if it has a newer change.

        A copy that is not newer than what the store returned to us may lack a removal,
        so a removed row would come back.
        """
        with self._lock:
            if (page.epoch, page.version) <= self.store_position:
                return
            # The sinks date a restore by this, and the other tables are read again.
            self._epochs.record(page.epoch, "copy")
            eventlog.info(
                "rows-copied",
                table=self.table,
                old=self.changed,
                new=page.version,
                epoch=page.epoch,
            )
            self._apply_table(page, page.version)
            if not self._is_read and self.disconnected_at == 0.0:
                # Before our first call, the copy takes the place of the first read.
                self._is_read, self.disconnected_at = True, clock.NEVER
            # A poll that does not report the same change soon never will.
            self.expect_change()

    def apply_delta(self, page: gateway_api.Page, since: int) -> None:
        """Apply the changes after a version that a peer sent.

        :param since: the version; the changes are dropped if it is newer than ours.
        """
        with self._lock:
            known = self._is_read and since <= self.version
            known = known and page.epoch == self.epoch
            if not known or page.version <= self.as_of:
                return
            old = self.changed
            fresh = self._apply_changes(page)
            eventlog.info(
                "rows-copied",
                table=self.table,
                old=old,
                new=page.version,
                rows=fresh,
            )
            self.expect_change()

    @property
    def delta_base(self) -> tuple[int, int]:
        """The epoch and version that a delta can build on.

        The version is -1 while the whole table is needed.
        """
        with self._lock:
            return self.epoch, self.version if self._is_read else -1

    # -- The thread --

    def _run(self) -> None:
        pause_s = FIRST_PAUSE_S
        while not self._stopped.is_set():
            try:
                self._step()
            except gateway_api.HistoryGone:
                eventlog.warning("history-gone", table=self.table, version=self.version)
                self._is_read = False
                self._history_gone_count += 1
                if self._history_gone_count > 1:
                    # Reading the whole table did not help.
                    self._wait_before_retry(pause_s)
                    pause_s = min(LONGEST_PAUSE_S, pause_s * 2)
                    continue
            except gateway_api.StoreError as exc:
                self._record_disconnect(exc)
                self._wait_before_retry(pause_s, exc.retry_after_s)
                pause_s = min(LONGEST_PAUSE_S, pause_s * 2)
                continue
            except Exception as exc:
                # The thread must survive its own faults, or no later change would take
                # effect.  The table is read again, as a page may be half applied.
                eventlog.warning("follow-failed", table=self.table, error=repr(exc))
                self._is_read = False
                self._stopped.wait(LONGEST_PAUSE_S)
            if not self._history_gone_count:
                pause_s = FIRST_PAUSE_S

    def _wait_before_retry(self, pause_s: float, retry_after_s: float = 0.0) -> None:
        """Wait before the next attempt, longer while peers retry for us.

        :param retry_after_s: for how long the store asked for no calls.
        """
        began = self._clock.now() + retry_after_s
        share = self._rng.uniform(0.5, 1.0)
        try_at, late_try_at = (
            began + share * pause_s,
            began + share * PEERS_RETRY_PAUSE_S,
        )
        while not self._stopped.is_set():
            now = self._clock.now()
            until = late_try_at if self._is_read and self._peers_retry() else try_at
            if now >= until:
                return
            self._stopped.wait(min(CHECK_INTERVAL_S, until - now))

    def _step(self) -> None:
        """Make the next call to the store, or wait on standby."""
        self._set_standby(self._is_read and self.connected and self._may_stand_by())
        if not self._is_read and self._awaits_copy():
            self._stopped.wait(COPY_CHECK_INTERVAL_S)
        elif not self._is_read or (self._is_outdated and not self.on_standby):
            self._read_table()
        elif not self.connected or self.fresh.is_check_due:
            # After a failure, a call that does not wait shows if the store answers.
            self._request_changes(*self._position())
        elif self.on_standby:
            self._stopped.wait(CHECK_INTERVAL_S)
        elif self._poll():
            self._stopped.wait(self._gather_s)

    @property
    def _is_outdated(self) -> bool:
        """Whether the rows belong to an earlier epoch of the store."""
        return self._epochs.newest > self.epoch

    def _check_epoch(self, page: gateway_api.Page) -> None:
        """Check that an answer belongs to the epoch of our rows.

        :raises gateway_api.HistoryGone: when the store was restored meanwhile.
        :raises gateway_api.StoreError: when the answer belongs to an earlier epoch.
        """
        if page.epoch > self.epoch:
            raise gateway_api.HistoryGone
        if page.epoch < self.epoch:
            raise gateway_api.StoreError("an answer of an earlier epoch")

    def _read_table(self) -> None:
        """Read the whole table."""
        asked_at = self._clock.now()
        page = self._store.read(self.table)
        read_s = self._clock.now() - asked_at
        if self.version < 0:
            self._await_own_rows()
        if page.epoch < max(self.epoch, self._epochs.newest):
            raise gateway_api.StoreError("an answer of an earlier epoch")
        self._record_connected()
        apply_at = self._clock.now()
        with self._lock:
            if (page.epoch, page.version) >= self.store_position:
                newest = max((row.version for row in page.rows), default=0)
                # Rows from later pages may be newer than the version of the read.
                newest = min(newest, page.version)
                if page.epoch == self.epoch:
                    newest = max(self.changed, newest)
                self._apply_table(page, newest)
                self.fresh.record_answer(page.store_now, asked_at)
            else:
                eventlog.warning(
                    "reading-dropped",
                    table=self.table,
                    version=page.version,
                    known=self.as_of,
                    epoch=page.epoch,
                )
        self._is_read = True
        eventlog.info(
            "table-read",
            table=self.table,
            rows=len(page.rows),
            bytes=sum(len(row.value or b"") for row in page.rows),
            read_s=read_s,
            apply_s=self._clock.now() - apply_at,
        )

    def _position(self) -> tuple[int, int]:
        """Return the version after which to request changes, and its epoch."""
        with self._lock:
            return self.version, self.epoch

    def _request_changes(self, since: int, epoch: int | None = None) -> bool:
        """Request the changes after a version with a call that does not wait.

        :param epoch: the epoch of the version; the present one if ``None``.
        :returns: whether there were any.
        """
        epoch = self.epoch if epoch is None else epoch
        asked_at = self._clock.now()
        page = self._store.changes(self.table, since)
        self._apply_answer(page, asked_at, epoch)
        return bool(page.rows)

    def _poll(self) -> bool:
        """Wait for changes with a long poll.

        The poll is abandoned when the store, asked separately, returns changes that the
        poll did not report: the poll was lost in an outage, or its connection went
        silent for good.  Waiting for the poll alone kept an old configuration in effect
        for 30 s.

        :returns: whether the poll reported changes.
        """
        since, epoch = self._position()
        give_up_at = self._clock.now() + POLL_S + POLL_SLACK_S
        poll = self._store.poll(self.table, since, POLL_S)
        eventlog.info("store-asked", table=self.table, since=since, wait_s=POLL_S)
        self._is_polling = True
        try:
            while not poll.wait(CHECK_INTERVAL_S):
                if self._stopped.is_set() or self._is_outdated:
                    return False
                if self.epoch != epoch:
                    # A peer's copy has brought a new epoch, in which the poll's
                    # version may already have passed.
                    return False
                if self._clock.now() > give_up_at:
                    raise gateway_api.StoreError("no answer to the poll")
                if self.fresh.is_check_due and self._request_changes(since, epoch):
                    eventlog.warning("store-poll-deaf", table=self.table, since=since)
                    return False
            page = poll.page()
        finally:
            self._is_polling = False
            poll.close()
        self._apply_answer(page, None, epoch)
        return bool(page.rows)

    def _apply_answer(
        self,
        page: gateway_api.Page,
        asked_at: float | None,
        asked_in: int | None = None,
    ) -> None:
        """Apply the changes in an answer of the store.

        :param asked_at: when they were requested; ``None`` for a long poll.
        :param asked_in: the epoch of the version after which they were requested; the
            answer's own if ``None``.
        :raises gateway_api.HistoryGone: when the store was restored meanwhile.
        :raises gateway_api.StoreError: when the answer belongs to an earlier epoch.
        """
        self._record_connected()
        with self._lock:
            self._check_epoch(page)
            if asked_in is not None and asked_in != self.epoch:
                # The version belongs to another epoch, so changes may be missing.
                eventlog.warning(
                    "answer-dropped",
                    table=self.table,
                    version=page.version,
                    epoch=page.epoch,
                    asked_in=asked_in,
                )
                return
            self._history_gone_count = 0
            fresh = self._apply_changes(page)
            if page.version >= self.version:
                self.fresh.record_answer(page.store_now, asked_at)
        if fresh or asked_at is None:
            eventlog.info(
                "store-told", table=self.table, version=page.version, rows=fresh
            )

    def _apply_table(self, page: gateway_api.Page, changed: int) -> None:
        self._rows.replace(page, changed)
        self._sink.apply_page(page, whole=True)

    def _apply_changes(self, page: gateway_api.Page) -> int:
        """Apply changed rows, except those that are known already.

        :returns: how many rows were new.
        """
        fresh = self._rows.apply_changes(page)
        if fresh:
            self._sink.apply_page(page._replace(rows=fresh), whole=False)
        return len(fresh)

    def _set_standby(self, on_standby: bool) -> None:
        if on_standby is self.on_standby:
            return
        self.on_standby = on_standby
        event = "store-left-to-readers" if on_standby else "store-read-again"
        eventlog.info(event, table=self.table, version=self.version)

    def _record_connected(self) -> None:
        if self.connected:
            return
        self._on_reconnect()
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
