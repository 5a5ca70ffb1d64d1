"""Exchange of followed tables and of their freshness with other gateways."""

import typing

from gaprock import (
    clock,
    followers,
    gateway_api,
    mechanisms,
    mesh_messages,
    store_epochs,
)

# Longest age of an epoch that is sent; a bounded number keeps heartbeats short.
MAX_EPOCH_AGE_S: typing.Final = 120.0


class ConfigSink(typing.Protocol):
    """Holds the configuration in effect."""

    config_row: gateway_api.Row | None

    @property
    def config_number(self) -> int:
        """The number of the configuration in effect; 0 before the first one."""

    def apply_config(self, row: gateway_api.Row) -> None:
        """Apply the configuration row of a peer."""


class RowExchange:
    """Sends and applies copies of followed tables, and reports how fresh they are.

    :param tables: the followers, in the order of ``mesh_messages.TABLES``.
    :param epochs: is informed of epochs that peers report.
    :param config: holds the configuration in effect, which a restored store may lack.
    """

    __slots__ = (
        "_followers",
        "_clock",
        "_epochs",
        "_config",
        "_peer_ahead",
        "_peer_news",
    )

    def __init__(
        self,
        tables: list[followers.Follower],
        clock_: clock.Clock,
        epochs: store_epochs.EpochTracker | None = None,
        config: ConfigSink | None = None,
    ) -> None:
        self._followers = tables
        self._clock = clock_
        self._epochs = epochs or store_epochs.EpochTracker(clock_)
        self._config = config
        # The newest change that a peer has reported and we lack, and since when, by
        # table.
        self._peer_ahead: dict[int, tuple[tuple[int, int], float]] = {}
        # What a peer last reported of each table.
        self._peer_news: dict[int, mesh_messages.TableUpdate] = {}

    def news(self) -> list[mesh_messages.TableUpdate]:
        """Return the newest change of each table, and when it was last verified."""
        return [follower.news() for follower in self._followers]

    def epoch_age_s(self) -> int:
        """Return the seconds since the store's epoch was first reported."""
        return int(min(MAX_EPOCH_AGE_S, self._epochs.age_s))

    def own_verified_at(self) -> list[float]:
        """Return the store times at which our own calls last verified each table."""
        return [follower.fresh.own_verified_store_time for follower in self._followers]

    def reads_store(self) -> bool:
        """Whether this gateway reads the store itself, and the store answers."""
        return all(f.connected and not f.on_standby for f in self._followers)

    def has_store(self) -> bool:
        """Whether the store answers us, even if some followers are on standby."""
        return all(follower.connected for follower in self._followers)

    def record_news(
        self,
        table: int,
        news: mesh_messages.TableUpdate,
        is_far: bool = False,
        epoch_age_s: float = 0.0,
    ) -> bool:
        """Record what a peer reports of a table.

        The store may hang without an error.  A copy is therefore wanted as soon as a
        peer stays ahead for longer than a change takes to arrive from the store.  A
        follower on standby wants one at once from its own hall, and only after that
        time from another.

        :param is_far: whether the peer is in another hall.
        :param epoch_age_s: how long ago the epoch was first reported.
        :returns: whether a copy from the peer would help.
        """
        if not 0 <= table < len(self._followers):
            return False
        follower = self._followers[table]
        self._epochs.record(news.epoch, "peer", epoch_age_s)
        # Saves more than a third of the store calls of four gateways, 0.0035 of a day's
        # worth (six days).
        if mechanisms.TOLD_PROOFS.on:
            follower.record_verification(news)
            self._peer_news[table] = news
        now = self._clock.now()
        known = follower.store_position
        newest, since = self._peer_ahead.get(table, (news.store_position, now))
        newest = max(newest, news.store_position)
        if newest <= known:
            self._peer_ahead.pop(table, None)
            return False
        if table not in self._peer_ahead:
            follower.expect_change()
        # A peer that is as far behind as we are does not end the wait for the change.
        self._peer_ahead[table] = newest, since
        if news.store_position <= known:
            return False
        if follower.on_standby and not is_far:
            return True
        return not follower.connected or now >= since + followers.MAX_LAG_S

    # -- The configuration --

    def config_number(self) -> int:
        """Return the number of the configuration in effect here."""
        return self._config.config_number if self._config is not None else 0

    def lacks_config(self, number: int, orders: mesh_messages.TableUpdate) -> bool:
        """Whether a peer has a newer configuration that copying its rows cannot bring.

        :param orders: what the peer reports of the table of orders.
        """
        if self._config is None or number <= self._config.config_number:
            return False
        return (
            orders.store_position
            <= self._followers[mesh_messages.ORDERS].store_position
        )

    def config_copy(self) -> mesh_messages.ConfigCopy | None:
        """Return the configuration in effect; ``None`` before the first one."""
        row = self._config.config_row if self._config is not None else None
        if row is None:
            return None
        copy = mesh_messages.RowCopy(row.key, row.value, row.version)
        return mesh_messages.ConfigCopy(copy)

    def apply_config(self, copy: mesh_messages.ConfigCopy) -> None:
        """Apply a peer's configuration."""
        if self._config is not None:
            row = gateway_api.Row(copy.row.key, copy.row.value, copy.row.version)
            self._config.apply_config(row)

    # -- Rows --

    def delta_base(self, table: int) -> tuple[int, int]:
        """Return the epoch and version that a delta of a table can build on.

        :returns: a version of -1 where the whole table is needed.
        """
        return self._followers[table].delta_base

    def copy(self, table: int, since: int = -1, epoch: int = 0) -> mesh_messages.Rows:
        """Return a table, or its changes after a version if all of them are known."""
        page, since = self._followers[table].copy(epoch, since)
        copies = [
            mesh_messages.RowCopy(row.key, row.value, row.version) for row in page.rows
        ]
        return mesh_messages.Rows(table, page.version, copies, since, page.epoch)

    def apply_copy(self, rows: mesh_messages.Rows) -> None:
        """Apply a table, or its changes, from a peer."""
        found = [gateway_api.Row(r.key, r.value, r.version) for r in rows.rows]
        # A copy carries no time of the store's clock.
        page = gateway_api.Page(found, rows.version, 0.0, rows.epoch)
        follower = self._followers[rows.table]
        if rows.since < 0:
            follower.apply_copy(page)
        else:
            follower.apply_delta(page, rows.since)
        if rows.table in self._peer_news:
            # Saves a store call to verify the rows that were just copied.
            follower.record_verification(self._peer_news[rows.table])
