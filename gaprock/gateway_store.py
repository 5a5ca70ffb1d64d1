"""Counts and logs the calls to the shared store, each of which is priced.

``gaprock report`` sums them up by kind, table and moment.
"""

import typing

from gaprock import eventlog, gateway_api, gateway_metrics

T = typing.TypeVar("T")


class CountedStore(gateway_api.SharedStore):
    """The store with a log line and a counter for each call.

    :param store: makes the calls.
    """

    __slots__ = ("_store", "_metrics")

    def __init__(
        self,
        store: gateway_api.SharedStore,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._store = store
        self._metrics = metrics

    def watch_epoch(self, listener: typing.Callable[[int], None]) -> None:
        self._store.watch_epoch(listener)

    def read(self, table: str) -> gateway_api.Page:
        return self._count("read", table, lambda: self._store.read(table))

    def changes(self, table: str, since: int) -> gateway_api.Page:
        return self._count("changes", table, lambda: self._store.changes(table, since))

    def poll(self, table: str, since: int, wait_s: float) -> gateway_api.LongPoll:
        return self._count(
            "poll", table, lambda: self._store.poll(table, since, wait_s)
        )

    def commit(self, writes: list[gateway_api.Write]) -> int:
        table = writes[0].table
        return self._count("commit", table, lambda: self._store.commit(writes))

    def _count(self, kind: str, table: str, call: typing.Callable[[], T]) -> T:
        outcome = "answered"
        try:
            return call()
        except gateway_api.StoreError as exc:
            outcome = str(exc)
            raise
        except gateway_api.HistoryGone:
            outcome = "history gone"
            raise
        finally:
            self._metrics.store_calls.labels(kind, table).inc()
            eventlog.info("store-call", kind=kind, table=table, outcome=outcome)
