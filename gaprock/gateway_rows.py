"""Applies the rows of the shared store: configuration, endpoints, rollouts, peers.

A row that cannot be decoded is ignored (``invalid_rows``).
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
    version_roles,
)


class OrderRows:
    """Applies the operator's rows: configuration, rollout orders, cordoned halls."""

    def __init__(
        self,
        clock_: clock.Clock,
        dialect: gateway_api.Dialect,
        rollouts_: rollouts.Rollouts,
        on_cordon_change: typing.Callable[[frozenset[str]], None] = lambda halls: None,
    ) -> None:
        self._clock = clock_
        self._dialect = dialect
        self._rollouts = rollouts_
        # Called with all cordoned halls whenever they change.
        self._on_cordon_change = on_cordon_change
        self._cordoned: frozenset[str] = frozenset()
        # Halls that stay cordoned although a restored store lost their orders, and the
        # time until which the operator may write these again.
        self._tentative: set[str] = set()
        self._tentative_until = -clock.NEVER
        # The store's epoch of the rows that were applied last.
        self._epoch = 0
        self.invalid = invalid_rows.InvalidRows("orders", clock_)
        # The configuration in effect, and its row; ``None`` before the first one.
        self.table: routes.RouteTable | None = None
        self.config_row: gateway_api.Row | None = None
        # Rows come from the store's thread, configurations from peers as well.
        self._lock = threading.Lock()
        # Start times of rollouts that the store had, by (service, revision).
        self.starts: dict[tuple[str, int], rollout_state.StoredStart] = {}

    def apply_page(self, page: gateway_api.Page, whole: bool) -> None:
        """Apply changed rows, or replace the whole table."""
        is_restored = page.epoch > self._epoch
        self._epoch = page.epoch
        self._apply_cordons(page.rows, whole, is_restored)
        for row in page.rows:
            if row.value is None:
                continue
            try:
                self._apply_row(row, row.value, is_change=not whole)
            except gateway_api.InvalidDocument as exc:
                self.invalid.record(row, exc)

    def _apply_cordons(
        self, rows: list[gateway_api.Row], whole: bool, is_restored: bool
    ) -> None:
        """Apply the orders to cordon halls; each is valid as long as its row exists.

        An order that a restored store lacks stays valid until the operator has had time
        to write it again.
        """
        named = [(self._dialect.cordoned_hall(row.key), row.value) for row in rows]
        ordered = {hall for hall, value in named if hall and value is not None}
        ended = {hall for hall, value in named if hall and value is None}
        if is_restored:
            self._tentative = set(self._cordoned)
            self._tentative_until = self._clock.now() + store_epochs.RESTORE_GRACE_S
        self._tentative -= ordered | ended
        before = self._tentative if whole else self._cordoned - ended
        self._set_cordoned(before | ordered)

    def end_restore_grace(self) -> None:
        """Drop orders that a restored store lost and that were not written again."""
        if self._tentative and self._clock.now() > self._tentative_until:
            dropped, self._tentative = self._tentative, set()
            eventlog.warning("hall-orders-lost", halls=",".join(sorted(dropped)))
            self._set_cordoned(self._cordoned - dropped)

    def _set_cordoned(self, halls: typing.Collection[str]) -> None:
        halls = frozenset(halls)
        if halls != self._cordoned:
            self._cordoned = halls
            self._on_cordon_change(halls)

    @property
    def config_number(self) -> int:
        """The number of the configuration in effect; 0 before the first one."""
        return self.table.number if self.table is not None else 0

    def apply_config(self, row: gateway_api.Row) -> None:
        """Apply the configuration row of a peer, unless it is older than ours."""
        try:
            table = self._dialect.route_table(row.key, row.value or b"")
        except gateway_api.InvalidDocument as exc:
            self.invalid.record(row, exc)
            return
        if table is not None:
            self._set_config(table, row)

    def _apply_row(self, row: gateway_api.Row, value: bytes, is_change: bool) -> None:
        table = self._dialect.route_table(row.key, value)
        if table is not None:
            self._set_config(table, row)
            return
        order = self._dialect.order(row.key, value)
        if order is not None:
            found = self.starts.get((order.service, row.version))
            now = self._clock.now()
            started_at = now if found is None else min(found.started_at, now)
            self._rollouts.add_order(
                order, row.version, started_at, self._epoch, is_change
            )
            if found is not None:
                self._rollouts.record_stored_start(order.service, row.version, found)

    def _set_config(self, table: routes.RouteTable, row: gateway_api.Row) -> None:
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
    """Applies the endpoints' rows."""

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
        # The store's epoch of the rows that were applied last; ``None`` before any.
        self._epoch: int | None = None
        self.invalid = invalid_rows.InvalidRows("endpoints", clock_)

    def apply_page(self, page: gateway_api.Page, whole: bool) -> None:
        """Apply changed rows, or replace the whole table."""
        found = {}
        for row in page.rows:
            if row.value is None:
                self._directory.update(row.key, None)
                continue
            try:
                found[row.key] = self._dialect.endpoint(row.key, row.value)
            except gateway_api.InvalidDocument as exc:
                self.invalid.record(row, exc)
                # The row has replaced a valid one, so the endpoint is gone.
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
    """Applies the rows that hold the outcomes of rollouts."""

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
        """Apply changed rows, or replace the whole table."""
        if page.epoch > self._writer.epoch:
            self._begin_epoch(page)
        for row in page.rows:
            if row.value is None:
                continue
            try:
                self._apply_row(row, row.value)
            except gateway_api.InvalidDocument as exc:
                self.invalid.record(row, exc)

    def _begin_epoch(self, page: gateway_api.Page) -> None:
        """Start a new epoch of the store, which may have lost outcomes."""
        keys = {row.key for row in page.rows if row.value is not None}
        for service in self._writer.row_versions:
            if self._dialect.outcome_key(service) not in keys:
                self._rollouts.forget_outcome(service)
        self._writer.row_versions.clear()
        self._writer.epoch = page.epoch

    def _apply_row(self, row: gateway_api.Row, value: bytes) -> None:
        found = self._dialect.outcome(row.key, value)
        if found is None:
            return
        service, version, name = found
        state = rollout_state.STATES.get(name)
        if state is None:
            raise gateway_api.InvalidDocument(f"unknown rollout state: {name!r}")
        known = self._writer.row_versions.get(service, 0)
        self._writer.row_versions[service] = max(known, row.version)
        outcome = rollout_state.Outcome(version, state, row.version, self._writer.epoch)
        self._rollouts.apply_outcome(service, outcome)


PEER_PREFIX: typing.Final = "peer/"
PEER_ADDRESS_PATTERN: typing.Final = r"^tcp://[^/\s:]+:[0-9]{1,5}$"


class PeerRow(msgspec.Struct):
    """The address at which a gateway receives messages, and its hall."""

    address: typing.Annotated[str, msgspec.Meta(pattern=PEER_ADDRESS_PATTERN)]
    hall: str = ""


class OwnRows:
    """The table of gateways' own rows, decoded: peers and start times of rollouts."""

    __slots__ = ("peers", "starts", "withdrawn", "roles")

    def __init__(
        self,
        clock_: clock.Clock,
        page: gateway_api.Page,
        store_clock: freshness.StoreClock,
    ) -> None:
        invalid = invalid_rows.InvalidRows("own", clock_)
        # Peers by the names of their gateways.
        self.peers: dict[str, PeerRow] = {}
        self.starts: dict[tuple[str, int], rollout_state.StoredStart] = {}
        # The withdrawn versions by service.
        self.withdrawn: dict[str, list[str]] = {}
        # The roles of versions by service.
        self.roles: dict[str, list[version_roles.VersionRole]] = {}
        for row in page.rows:
            if row.value is None:
                continue
            try:
                self._apply_row(row.key, row.value, store_clock)
            except gateway_api.InvalidDocument as exc:
                invalid.record(row, exc)

    def _apply_row(
        self, key: str, value: bytes, store_clock: freshness.StoreClock
    ) -> None:
        if key.startswith(PEER_PREFIX):
            name = key[len(PEER_PREFIX) :]
            self.peers[name] = invalid_rows.decode(PeerRow, value)
        elif key.startswith(rollout_writer.ROLES_PREFIX):
            stored = invalid_rows.decode(rollout_writer.RolesRow, value)
            self.roles[key[len(rollout_writer.ROLES_PREFIX) :]] = [
                version_roles.VersionRole(r.version, r.role, (r.epoch, r.revision))
                for r in stored.roles
            ]
        elif key.startswith(rollout_writer.START_PREFIX):
            start = invalid_rows.decode(rollout_writer.StartRow, value)
            service = key[len(rollout_writer.START_PREFIX) :]
            self.withdrawn[service] = start.withdrawn
            # The next heartbeat corrects a start that is too late, but none corrects
            # one that is too early.
            started_at = store_clock.latest_local(start.started)
            if started_at is not None:
                found = rollout_state.StoredStart(started_at, start.moved)
                self.starts[(service, start.revision)] = found
