"""Rows and proofs of the followed tables, given to and taken from other gateways."""

import typing

from gaprock import (
    clock,
    followers,
    gateway_api,
    mechanisms,
    mesh_messages,
    store_epochs,
)

# An epoch is told to be no older than this, seconds: beats stay short.
OLDEST_EPOCH_S: typing.Final = 120.0


class ConfigSink(typing.Protocol):
    """Has the configuration in force."""

    config_row: gateway_api.Row | None

    @property
    def config_number(self) -> int:
        """The number of the configuration in force; 0 before the first one."""

    def apply_config(self, row: gateway_api.Row) -> None:
        """Take the row of a configuration from a peer."""


class RowExchange:
    """Copies of followed tables, and how fresh they are.

    :param tables: in the order of ``mesh_messages.TABLES``.
    :param epochs: learns of a new epoch from peers.
    :param config: the configuration in force, which a restored store may lack.
    """

    __slots__ = ("_followers", "_clock", "_epochs", "_config", "_missed", "_told")

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
        # The newest change that a peer told of and we lack, and since when, by table.
        self._missed: dict[int, tuple[tuple[int, int], float]] = {}
        # The newest proof that a peer told of each table.
        self._told: dict[int, mesh_messages.TableNews] = {}

    def news(self) -> list[mesh_messages.TableNews]:
        """Give the newest change of each table, and its newest proof."""
        return [follower.news() for follower in self._followers]

    def epoch_age_s(self) -> int:
        """Give the seconds since we first heard of the store's epoch."""
        return int(min(OLDEST_EPOCH_S, self._epochs.age_s))

    def own_verified_at(self) -> list[float]:
        """Give the newest proofs of our own calls, by the store's clock."""
        return [follower.fresh.own_stamp for follower in self._followers]

    def reads_store(self) -> bool:
        """Whether we read the store ourselves, and it answers."""
        return all(f.connected and not f.on_standby for f in self._followers)

    def has_store(self) -> bool:
        """Whether the store answers us, whether we rest or not."""
        return all(follower.connected for follower in self._followers)

    def record_news(
        self,
        table: int,
        news: mesh_messages.TableNews,
        is_far: bool = False,
        epoch_age_s: float = 0.0,
    ) -> bool:
        """Take what a peer knows of a table.

        The store may hang without a word, so a peer that stays ahead for longer than
        the store's own news takes is enough.  One who rests asks at once, but first in
        its own hall.

        :returns: whether a copy of the peer's would help.
        """
        if not 0 <= table < len(self._followers):
            return False
        follower = self._followers[table]
        self._epochs.record(news.epoch, "peer", epoch_age_s)
        # Saves more than a third of what four gateways call the store for, 0.0035 of a
        # day's worth (six days).
        if mechanisms.TOLD_PROOFS.on:
            follower.prove(news)
            self._told[table] = news
        now = self._clock.now()
        known = follower.epoch, follower.version
        newest, since = self._missed.get(table, (news.point, now))
        newest = max(newest, news.point)
        if newest <= known:
            self._missed.pop(table, None)
            return False
        if table not in self._missed:
            follower.expect_change()
        # A peer that is as far behind as we are does not end the wait.
        self._missed[table] = newest, since
        if news.point <= known:
            return False
        if follower.on_standby and not is_far:
            return True
        return not follower.connected or now >= since + followers.BEHIND_S

    # -- The configuration --

    def config_number(self) -> int:
        """Give the number of the configuration in force here."""
        return self._config.config_number if self._config is not None else 0

    def lacks_config(self, number: int, orders: mesh_messages.TableNews) -> bool:
        """Whether a peer has a newer configuration that its rows do not bring us.

        :param orders: what the peer knows of the table of orders.
        """
        if self._config is None or number <= self._config.config_number:
            return False
        follower = self._followers[mesh_messages.ORDERS]
        return orders.point <= (follower.epoch, follower.version)

    def config_copy(self) -> mesh_messages.ConfigCopy | None:
        """Give the configuration in force; ``None`` before the first one."""
        row = self._config.config_row if self._config is not None else None
        if row is None:
            return None
        copy = mesh_messages.RowCopy(row.key, row.value, row.version)
        return mesh_messages.ConfigCopy(copy)

    def apply_config(self, copy: mesh_messages.ConfigCopy) -> None:
        """Take a peer's configuration."""
        if self._config is not None:
            row = gateway_api.Row(copy.row.key, copy.row.value, copy.row.version)
            self._config.apply_config(row)

    # -- Rows --

    def delta_base(self, table: int) -> tuple[int, int]:
        """Give the epoch and version after which a table's changes help us.

        :returns: a version of -1 where all of it is needed.
        """
        follower = self._followers[table]
        return follower.epoch, follower.delta_base

    def copy(self, table: int, since: int = -1, epoch: int = 0) -> mesh_messages.Rows:
        """Give a table, or what has changed in it after a version if that is known."""
        follower = self._followers[table]
        rows = follower.changes_after(epoch, since) if since >= 0 else None
        if rows is None:
            rows, since = follower.rows(), -1
        copies = [
            mesh_messages.RowCopy(row.key, row.value, row.version) for row in rows
        ]
        return mesh_messages.Rows(
            table, follower.changed, copies, since, follower.epoch
        )

    def apply_copy(self, rows: mesh_messages.Rows) -> None:
        """Take a table, or its changes, from a peer."""
        found = [gateway_api.Row(r.key, r.value, r.version) for r in rows.rows]
        # A copy tells nothing of the store's clock.
        page = gateway_api.Page(found, rows.version, 0.0, rows.epoch)
        follower = self._followers[rows.table]
        if rows.since < 0:
            follower.apply_copy(page)
        else:
            follower.take_difference(page, rows.since)
        if rows.table in self._told:
            # Saves asking the store for a proof of what was just told.
            follower.prove(self._told[rows.table])
