"""A follower of one table before a stand-in of the store, and the rows it hands on."""

import typing

from gaprock import clock, followers, freshness, gateway_api
from gaprock.platform import store as platform_store
from gaprock.test.fakes import metastore

TABLE: typing.Final = "t"
# Within which a change has to be in force, seconds.
BOUND_S: typing.Final = 2.0


class RecordingSink:
    """A sink that keeps what it was given."""

    def __init__(self) -> None:
        self.rows: dict[str, gateway_api.Row] = {}
        # The keys of all rows, in the order in which they came.
        self.order: list[str] = []

    @property
    def keys(self) -> set[str]:
        """The keys of the table as it is told."""
        return set(self.rows)

    @property
    def values(self) -> dict[str, bytes | None]:
        """The values of the table as it is told."""
        return {key: row.value for key, row in self.rows.items()}

    @property
    def versions(self) -> dict[str, int]:
        """The versions of the rows of the table as it is told."""
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
    """Make the freshness of a table whose follower proves for itself."""
    return freshness.Freshness(clock_, freshness.StoreClock(), lambda: BOUND_S)


class FollowedStore:
    """A store with one row, ``a``, and a follower of it; use it as a context.

    :param port: where the store is reached, if not at its own port.
    """

    def __init__(
        self,
        store: metastore.MetaStoreFake | None = None,
        rests: typing.Callable[[], bool] = lambda: False,
        kind: type[freshness.Freshness] = freshness.Freshness,
        sink: RecordingSink | None = None,
        port: int = 0,
        is_left: typing.Callable[[], bool] = lambda: False,
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
            may_rest=rests,
            is_left=is_left,
        )

    def __enter__(self) -> "FollowedStore":
        self.store.start()
        self.store.put(TABLE, "a", 1)
        self.follower.start()
        return self

    def __exit__(self, *exc: object) -> None:
        self.follower.stop()
        self.store.stop()
