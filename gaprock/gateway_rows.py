"""Takes the rows of the shared store into force: routes, endpoints, rollouts.

A row that cannot be decoded names nothing (``invalid_rows``).
"""

import threading
import typing

import msgspec

from gaprock import (
    clock,
    directory,
    eventlog,
    freshness,
    gateway_api,
    invalid_rows,
    rollout_state,
    rollout_writer,
    rollouts,
    routes,
    store_epochs,
)


class OrderRows:
    """The operator's rows: the routing configuration and rollout orders."""

    def __init__(
        self,
        clock_: clock.Clock,
        dialect: gateway_api.Dialect,
        rollouts_: rollouts.Rollouts,
        on_emptied: typing.Callable[[frozenset[str]], None] = lambda halls: None,
    ) -> None:
        self._clock = clock_
        self._dialect = dialect
        self._rollouts = rollouts_
        # Told the halls that are to be empty, as often as that changes.
        self._on_emptied = on_emptied
        self._emptied: frozenset[str] = frozenset()
        # Those whose orders a restored store lost, and until when the operator may
        # write them again.
        self._doubted: set[str] = set()
        self._doubted_until = -clock.NEVER
        # The store's epoch of the rows that were taken.
        self._epoch = 0
        self.invalid = invalid_rows.InvalidRows("orders", clock_)
        # The configuration in force, and its row; ``None`` before the first one.
        self.table: routes.RouteTable | None = None
        self.config_row: gateway_api.Row | None = None
        # Rows come from the store, and a configuration from peers too.
        self._lock = threading.Lock()
        # Starts of rollouts that were found in the store, by (service, revision).
        self.starts: dict[tuple[str, int], float] = {}

    def apply_page(self, page: gateway_api.Page, whole: bool) -> None:
        """Take changed rows, or the whole table."""
        is_restored = page.epoch > self._epoch
        self._epoch = page.epoch
        self._take_emptied(page.rows, whole, is_restored)
        for row in page.rows:
            if row.value is None:
                continue
            try:
                self._take(row, row.value)
            except gateway_api.InvalidDocument as exc:
                self.invalid.record(row, exc)

    def _take_emptied(
        self, rows: list[gateway_api.Row], whole: bool, is_restored: bool
    ) -> None:
        """Take the halls that are to be empty: an order stands as long as its row.

        One that a restored store lacks stands until the operator has had time to write
        it again.
        """
        named = [(self._dialect.cordoned_hall(row.key), row.value) for row in rows]
        ordered = {hall for hall, value in named if hall and value is not None}
        ended = {hall for hall, value in named if hall and value is None}
        if is_restored:
            self._doubted = set(self._emptied)
            self._doubted_until = self._clock.now() + store_epochs.RESTORE_GRACE_S
        self._doubted -= ordered | ended
        before = self._doubted if whole else self._emptied - ended
        self._set_emptied(before | ordered)

    def end_restore_grace(self) -> None:
        """Drop the orders that a restored store lost and nobody has written again."""
        if self._doubted and self._clock.now() > self._doubted_until:
            doubted, self._doubted = self._doubted, set()
            eventlog.warning("hall-orders-lost", halls=",".join(sorted(doubted)))
            self._set_emptied(self._emptied - doubted)

    def _set_emptied(self, halls: typing.Collection[str]) -> None:
        halls = frozenset(halls)
        if halls != self._emptied:
            self._emptied = halls
            self._on_emptied(halls)

    @property
    def config_number(self) -> int:
        """The number of the configuration in force; 0 before the first one."""
        return self.table.number if self.table is not None else 0

    def apply_config(self, row: gateway_api.Row) -> None:
        """Take the row of a configuration from a peer; an older one is not taken."""
        try:
            table = self._dialect.route_table(row.key, row.value or b"")
        except gateway_api.InvalidDocument as exc:
            self.invalid.record(row, exc)
            return
        if table is not None:
            self._take_table(table, row)

    def _take(self, row: gateway_api.Row, value: bytes) -> None:
        table = self._dialect.route_table(row.key, value)
        if table is not None:
            self._take_table(table, row)
            return
        order = self._dialect.order(row.key, value)
        if order is not None:
            found = self.starts.get((order.service, row.version))
            now = self._clock.now()
            started_at = now if found is None else min(found, now)
            self._rollouts.add_order(order, row.version, started_at, self._epoch)

    def _take_table(self, table: routes.RouteTable, row: gateway_api.Row) -> None:
        with self._lock:
            old = self.table
            if old is not None and table.number <= old.number:
                if table.number < old.number:
                    eventlog.warning(
                        "config-older", number=table.number, in_force=old.number
                    )
                return
            self.table, self.config_row = table, row
        eventlog.info(
            "config-in-force",
            number=table.number,
            revision=row.version,
            epoch=self._epoch,
            old="none" if old is None else old.number,
        )


class EndpointRows:
    """The endpoints' rows."""

    __slots__ = ("_dialect", "_directory", "_epochs", "_epoch", "invalid")

    def __init__(
        self,
        clock_: clock.Clock,
        dialect: gateway_api.Dialect,
        directory_: directory.Directory,
        epochs: store_epochs.EpochTracker | None = None,
    ) -> None:
        self._dialect = dialect
        self._directory = directory_
        self._epochs = epochs or store_epochs.EpochTracker(clock_)
        # The store's epoch of the rows that were taken; ``None`` before any.
        self._epoch: int | None = None
        self.invalid = invalid_rows.InvalidRows("endpoints", clock_)

    def apply_page(self, page: gateway_api.Page, whole: bool) -> None:
        """Take changed rows, or the whole table."""
        found = {}
        for row in page.rows:
            if row.value is None:
                self._directory.update(row.key, None)
                continue
            try:
                found[row.key] = self._dialect.endpoint(row.key, row.value)
            except gateway_api.InvalidDocument as exc:
                self.invalid.record(row, exc)
                # What stood there before is written over: it names nothing any more.
                self._directory.update(row.key, None)
        is_restored = self._epoch is not None and page.epoch > self._epoch
        self._epoch = page.epoch
        if whole:
            restored_at = self._epochs.raised_at if is_restored else None
            self._directory.replace(found, restored_at)
            return
        for name, endpoint in found.items():
            self._directory.update(name, endpoint)


class OutcomeRows:
    """The rows that tell what became of rollouts."""

    __slots__ = ("_dialect", "_rollouts", "_writer", "invalid")

    def __init__(
        self,
        clock_: clock.Clock,
        dialect: gateway_api.Dialect,
        rollouts_: rollouts.Rollouts,
        writer: rollout_writer.RolloutWriter,
    ) -> None:
        self._dialect = dialect
        self._rollouts = rollouts_
        self._writer = writer
        self.invalid = invalid_rows.InvalidRows("outcomes", clock_)

    def apply_page(self, page: gateway_api.Page, whole: bool) -> None:
        """Take changed rows, or the whole table."""
        if page.epoch > self._writer.epoch:
            self._take_epoch(page)
        for row in page.rows:
            if row.value is None:
                continue
            try:
                self._take(row, row.value)
            except gateway_api.InvalidDocument as exc:
                self.invalid.record(row, exc)

    def _take_epoch(self, page: gateway_api.Page) -> None:
        """Begin a new epoch of the store, which may have lost outcomes."""
        keys = {row.key for row in page.rows if row.value is not None}
        for service in self._writer.row_versions:
            if self._dialect.outcome_key(service) not in keys:
                self._rollouts.forget_outcome(service)
        self._writer.row_versions.clear()
        self._writer.epoch = page.epoch

    def _take(self, row: gateway_api.Row, value: bytes) -> None:
        found = self._dialect.outcome(row.key, value)
        if found is None:
            return
        service, version, name = found
        state = rollout_state.STATES.get(name)
        if state is None:
            raise gateway_api.InvalidDocument(f"no such state: {name!r}")
        known = self._writer.row_versions.get(service, 0)
        self._writer.row_versions[service] = max(known, row.version)
        outcome = rollout_state.Outcome(version, state, row.version, self._writer.epoch)
        self._rollouts.apply_outcome(service, outcome)


PEER_PREFIX: typing.Final = "peer/"
PEER_ADDRESS: typing.Final = r"^tcp://[^/\s:]+:[0-9]{1,5}$"


class PeerRow(msgspec.Struct):
    """Where a gateway takes messages, and the hall where it stands."""

    address: typing.Annotated[str, msgspec.Meta(pattern=PEER_ADDRESS)]
    hall: str = ""


class OwnRows:
    """The gateway's own rows, read once at the start: peers and starts of rollouts."""

    __slots__ = ("peers", "starts")

    def __init__(
        self,
        clock_: clock.Clock,
        page: gateway_api.Page,
        store_clock: freshness.StoreClock,
    ) -> None:
        invalid = invalid_rows.InvalidRows("own", clock_)
        # By the gateways' names.
        self.peers: dict[str, PeerRow] = {}
        self.starts: dict[tuple[str, int], float] = {}
        for row in page.rows:
            if row.value is None:
                continue
            try:
                self._take(row.key, row.value, store_clock)
            except gateway_api.InvalidDocument as exc:
                invalid.record(row, exc)

    def _take(self, key: str, value: bytes, store_clock: freshness.StoreClock) -> None:
        if key.startswith(PEER_PREFIX):
            name = key[len(PEER_PREFIX) :]
            self.peers[name] = invalid_rows.decode(PeerRow, value)
        elif key.startswith(rollout_writer.START_PREFIX):
            start = invalid_rows.decode(rollout_writer.StartRow, value)
            service = key[len(rollout_writer.START_PREFIX) :]
            # Too late a start is put right by the next beat, too early a one never is.
            started_at = store_clock.latest(start.started)
            if started_at is not None:
                self.starts[(service, start.revision)] = started_at
