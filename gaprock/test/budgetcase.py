"""Test case: the rule of the retry budget, for the requests and repeats of a fleet.

The rule counts, for each window, the repeats of all processes together.  It allows a
share of the requests of that window, of the one before it or of the one half a window
before it, whichever holds most, and a fixed allowance.
"""

import bisect
import typing

from gaprock import clock, gateway_api, retry_allowance, retry_budget, store_epochs

# How far the store's clock is ahead of the gateways', in seconds.
AHEAD_S: typing.Final = 7000.0


class Rule(typing.NamedTuple):
    """A retry budget, as the users state it.

    :param ratio: repeats for each request.
    :param allowance: repeats beyond that in each window.
    """

    ratio: float
    allowance: float
    window_s: float

    def allowed(self, requests: list[float], start: float) -> float:
        """Return how many repeats the window that begins at a time may hold."""
        most = max(
            _count(requests, start - shift, start - shift + self.window_s)
            for shift in (0.0, self.window_s / 2, self.window_s)
        )
        return self.ratio * most + self.allowance

    def excess(self, requests: list[float], repeats: list[float]) -> float:
        """Return by how much the worst window exceeds what it may hold.

        :param requests: times of the requests, in any order.
        :param repeats: times at which repeats arrived, in any order.
        :returns: 0 or less if all windows keep to the rule.
        """
        requests, repeats = sorted(requests), sorted(repeats)
        starts = set(repeats)
        # The count of requests falls just after one of them leaves a window.
        for at in requests:
            starts |= {_after(at + i * self.window_s / 2) for i in range(3)}
            starts |= {_after(at - i * self.window_s / 2) for i in range(3)}
        worst = -self.allowance
        for start in starts:
            count = _count(repeats, start, start + self.window_s)
            worst = max(worst, count - self.allowed(requests, start))
        return worst


def _count(times: list[float], since: float, until: float) -> int:
    """Count the sorted times in a span, without its end."""
    return bisect.bisect_left(times, until) - bisect.bisect_left(times, since)


def _after(at: float) -> float:
    return at + 1e-9


class Store(gateway_api.SharedStore):
    """The rows of one table, on a manual clock.

    :param clock_: also the store's own clock, which is ``AHEAD_S`` ahead of it.
    """

    __slots__ = (
        "_clock",
        "_rows",
        "_version",
        "epoch",
        "fails",
        "listeners",
        "calls",
    )

    def __init__(self, clock_: clock.Clock) -> None:
        self._clock = clock_
        self._rows: dict[str, gateway_api.Row] = {}
        self._version = 0
        self.epoch = 0
        # ``away``: nothing is done.  ``lost``: writes are done and not answered.
        self.fails = ""
        self.listeners: list[typing.Callable[[int], None]] = []
        self.calls = 0

    def watch_epoch(self, listener: typing.Callable[[int], None]) -> None:
        self.listeners.append(listener)

    def read(self, table: str) -> gateway_api.Page:
        self._answer()
        now = self._clock.now() + AHEAD_S
        rows = list(self._rows.values())
        return gateway_api.Page(rows, self._version, now, self.epoch)

    def commit(self, writes: list[gateway_api.Write]) -> int:
        self._answer()
        (write,) = writes
        row = self._rows.get(write.key)
        if write.expect != (row.version if row is not None else 0):
            return 0
        self._version += 1
        self._rows[write.key] = gateway_api.Row(write.key, write.value, self._version)
        if self.fails == "lost":
            raise gateway_api.StoreError("no answer")
        return self._version

    def restore(self, rows: dict[str, gateway_api.Row]) -> None:
        """Restore an older copy of the rows."""
        self._rows = dict(rows)
        self.epoch += 1

    def copy(self) -> dict[str, gateway_api.Row]:
        """Return a copy of the rows."""
        return dict(self._rows)

    def _answer(self) -> None:
        self.calls += 1
        if self.fails == "away":
            raise gateway_api.StoreError("away")
        for listener in self.listeners:
            listener(self.epoch)


class Member:
    """The retry budget of a process, with its parts of the allowance.

    :param count_gateways: how many gateways it believes in.
    """

    def __init__(
        self,
        name: str,
        rule: Rule,
        clock_: clock.Clock,
        store: Store,
        count_gateways: typing.Callable[[], int],
    ) -> None:
        epochs = store_epochs.EpochTracker(clock_)
        store.watch_epoch(lambda epoch: epochs.record(epoch, "store"))
        self.task = retry_allowance.AllowanceTask(
            name,
            clock_,
            store,
            "allowances",
            epochs,
            rule.allowance,
            rule.window_s,
            count_gateways,
            lambda service, parts: self.budget.hold(service, parts),
        )
        self.budget = retry_budget.RetryBudget(
            rule.ratio, rule.window_s, clock_, self.task
        )

    def charge(self, service: str) -> retry_budget.Charge | None:
        """Charge a repeat if the budget allows it at once."""
        return self.budget.charge(service, -clock.NEVER)

    def repeat(self, service: str) -> bool:
        """Charge a repeat and send it; return whether it was sent."""
        charge = self.charge(service)
        return charge is not None and self.budget.send(charge)
