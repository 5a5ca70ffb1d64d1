"""A follower of one table of a fake store, and a sink that records its rows."""

import typing

from gaprock import clock, followers, freshness, gateway_api
from gaprock.platform import store as platform_store
from gaprock.test.fakes import metastore

TABLE: typing.Final = "t"
# Time by which a change must take effect.
BOUND_S: typing.Final = 2.0


class RecordingSink:
    """A sink that records the rows it is given."""

    def __init__(self) -> None:
        self.rows: dict[str, gateway_api.Row] = {}
        # The keys of all rows, in the order in which they arrived.
        self.order: list[str] = []

    @property
    def keys(self) -> set[str]:
        """The keys of the table."""
        return set(self.rows)

    @property
    def values(self) -> dict[str, bytes | None]:
        """The values of the table, by key."""
        return {key: row.value for key, row in self.rows.items()}

    @property
    def versions(self) -> dict[str, int]:
        """The versions of the rows of the table, by key."""
        return {key: row.version for key, row in self.rows.items()}

    def apply_page(self, page: gateway_api.Page, whole: bool) -> None:
        if whole:
            self.rows.clear()
        for row in page.rows:
            self.order.append(row.key)
            if row.value is None:
                self.rows.pop(row.key, None)
            else:
                self.rows[row.key] = row


def fresh(clock_: clock.Clock) -> freshness.Freshness:
    """Build the freshness of a table whose follower checks the store itself."""
    return freshness.Freshness(clock_, freshness.StoreClock(), lambda: BOUND_S)


class FollowedStore:
    """A store with one row, ``a``, and a follower of it, as a context manager.

    :param port: the port at which to reach the store, if it is not the store's own.
    """

    def __init__(
        self,
        store: metastore.MetaStoreFake | None = None,
        may_stand_by: typing.Callable[[], bool] = lambda: False,
        kind: type[freshness.Freshness] = freshness.Freshness,
        sink: RecordingSink | None = None,
        port: int = 0,
        peers_retry: typing.Callable[[], bool] = lambda: False,
    ) -> None:
        self.store = store or metastore.MetaStoreFake()
        self.kept = sink or RecordingSink()
        steady = clock.SteadyClock()
        self.fresh = kind(steady, freshness.StoreClock(), lambda: BOUND_S)
        self.follower = followers.Follower(
            TABLE,
            platform_store.PlatformStore(f"127.0.0.1:{port or self.store.port}"),
            steady,
            self.kept,
            self.fresh,
            may_stand_by=may_stand_by,
            peers_retry=peers_retry,
        )

    def __enter__(self) -> "FollowedStore":
        self.store.start()
        self.store.put(TABLE, "a", 1)
        self.follower.start()
        return self

    def __exit__(self, *exc: object) -> None:
        self.follower.stop()
        self.store.stop()
