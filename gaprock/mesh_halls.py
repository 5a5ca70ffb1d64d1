"""Summaries of the other halls, one for each, sent by that hall's relays.

A summary comes from a relay directly, or is forwarded inside the own hall.  It keeps
its age on the way.  A newer summary replaces an older one, whoever sent it, and one
that is too old is dropped with everything that it reported.
"""

import collections
import threading
import typing

import msgspec

from gaprock import (
    directory,
    endpoint_held,
    endpoint_state,
    eventlog,
    mesh_messages,
    rate_limits,
    rollouts,
    workspace_shares,
)

# Age at which a summary is dropped.
SUMMARY_TIMEOUT_S: typing.Final = 2.5
# Minimum interval between two forwardings of a hall's summary inside the own hall, by
# whichever relay is first.  A change of its urgent part is forwarded at once.
FORWARD_INTERVAL_S: typing.Final = 0.8
# Number of endpoints whose loads are reported to other halls: the most loaded ones,
# which those had better avoid.  Bounds summaries that would grow with the endpoints.
MAX_REPORTED_LOADS: typing.Final = 40


class _Summary:
    """The newest summary of a hall.

    :param as_of: when it was built, by our clock.
    """

    __slots__ = ("news", "as_of")

    def __init__(self, news: mesh_messages.HallNews, as_of: float) -> None:
        self.news = news
        self.as_of = as_of


class HallSummaries:
    """The summaries of the other halls; thread-safe."""

    __slots__ = (
        "_own",
        "_directory",
        "_rollouts",
        "_demand",
        "_lock",
        "_known",
        "_forwarded",
    )

    def __init__(
        self,
        own_hall: str,
        directory_: directory.Directory,
        rollouts_: rollouts.Rollouts,
        demand: workspace_shares.DemandBook,
    ) -> None:
        self._own = own_hall
        self._directory = directory_
        self._rollouts = rollouts_
        self._demand = demand
        self._lock = threading.Lock()
        self._known: dict[str, _Summary] = {}
        # The newest summary of each hall that was forwarded inside the own hall.
        self._forwarded: dict[str, _Summary] = {}

    def record(
        self, news: mesh_messages.HallNews, now: float, is_forwarded: bool
    ) -> None:
        """Record a summary, and apply what it reports.

        :param is_forwarded: whether a gateway of the own hall forwarded it.
        """
        if news.hall == self._own:
            return
        name = source_name(news.hall)
        as_of = now - max(0.0, news.age_s)
        if as_of < now - SUMMARY_TIMEOUT_S:
            return
        # A newer summary, of another relay, does not repeat these.
        self._directory.apply_peer_paces(name, news.paces, news.age_s, is_far=True)
        with self._lock:
            known = self._known.get(news.hall)
            if known and known.as_of >= as_of:
                return
            self._known[news.hall] = _Summary(news, as_of)
            if is_forwarded:
                self._forwarded[news.hall] = self._known[news.hall]
        if known is None:
            eventlog.info("hall-heard", hall=news.hall, age_s=news.age_s)
        self._directory.apply_peer_loads(name, news.loads)
        self._directory.apply_peer_held(name, news.held)
        self._directory.apply_peer_unreachable(name, news.unreachable_endpoints)
        pacer = self._directory.pacer
        pacer.record_news(name, news.members, news.limits, news.age_s)
        self._directory.apply_peer_departures(name, news.departing, news.age_s)
        self._demand.record(name, news.demand, as_of)
        for reported in news.rollouts:
            self._rollouts.merge_reported(reported, now, name)

    def forget_silent(self, now: float) -> None:
        """Drop the summaries that are too old."""
        with self._lock:
            old = [k for k in self._known.values() if k.as_of < now - SUMMARY_TIMEOUT_S]
            for known in old:
                del self._known[known.news.hall]
        for known in old:
            hall = known.news.hall
            eventlog.warning("hall-silent", hall=hall, silent_s=now - known.as_of)
            self._directory.apply_peer_loads(source_name(hall), {})
            self._directory.apply_peer_held(source_name(hall), {})
            self._directory.apply_peer_unreachable(source_name(hall), ())
            self._directory.pacer.record_news(source_name(hall), 0, [])

    def summaries_to_forward(self, now: float) -> list[mesh_messages.HallNews]:
        """Return the summaries not lately forwarded in the own hall, with their age."""
        with self._lock:
            due = [k for k in self._known.values() if self._is_due(k)]
            for known in due:
                self._forwarded[known.news.hall] = known
        return [known.news.with_age(now - known.as_of) for known in due]

    def _is_due(self, known: _Summary) -> bool:
        before = self._forwarded.get(known.news.hall)
        if before is None or known.as_of >= before.as_of + FORWARD_INTERVAL_S:
            return True
        is_newer = known.as_of > before.as_of
        return is_newer and known.news.urgent != before.news.urgent

    # -- Contents of the summaries --

    def _all(self) -> list[mesh_messages.HallNews]:
        with self._lock:
            return [known.news for known in self._known.values()]

    def members(self) -> int:
        """Return the number of live gateways in all other halls."""
        return sum(news.members for news in self._all())

    def hall_relays(self) -> dict[str, list[mesh_messages.HallRelay]]:
        """Return the relays of the other halls, by hall."""
        return {news.hall: news.hall_relays for news in self._all()}

    def on_old(self, service: str) -> int:
        """Return the number of other halls' requests on a service's old version."""
        reported = [roll for news in self._all() for roll in news.rollouts]
        return sum(roll.on_old for roll in reported if roll.service == service)

    def has_store(self) -> bool:
        """Whether the store answers any gateway of another hall."""
        return any(news.has_store for news in self._all())

    def has_reader_before(self) -> bool:
        """Whether the store answers in a hall that comes before ours by name."""
        return any(news.has_store and news.hall < self._own for news in self._all())


def source_name(hall: str) -> str:
    """Return the name of a whole hall as the source of loads and other reports."""
    return f"hall {hall}"


def sum_loads(
    reported: typing.Iterable[dict[str, endpoint_state.Load]],
) -> dict[str, endpoint_state.Load]:
    """Sum the loads of several gateways at each endpoint."""
    total: dict[str, endpoint_state.Load] = {}
    for loads in reported:
        for name, load in loads.items():
            running, reading = total.get(name, endpoint_state.Load(0, 0))
            total[name] = endpoint_state.Load(
                running + load.running, reading + load.reading
            )
    return total


def sum_held(reported: typing.Iterable[dict[str, int]]) -> dict[str, int]:
    """Sum the bytes that several gateways gave each endpoint; the largest sums."""
    total: collections.Counter[str] = collections.Counter()
    for held in reported:
        total.update(held)
    return endpoint_held.largest(dict(total))


def most_loaded(
    loads: dict[str, endpoint_state.Load],
) -> dict[str, endpoint_state.Load]:
    """Return the loads of the most loaded endpoints, as many as are reported."""
    if len(loads) <= MAX_REPORTED_LOADS:
        return loads
    names = sorted(loads, key=lambda name: loads[name], reverse=True)
    return {name: loads[name] for name in names[:MAX_REPORTED_LOADS]}


def sum_wanted_rates(
    own: list[rate_limits.LimitUpdate],
    reported: typing.Iterable[list[rate_limits.LimitUpdate]],
) -> list[rate_limits.LimitUpdate]:
    """Return the limits that a relay knows, with the rates its whole hall wants."""
    wanted: dict[str, float] = collections.defaultdict(float)
    for news in [own, *reported]:
        for one in news:
            wanted[one.endpoint] += one.wanted_per_s
    return [
        msgspec.structs.replace(one, wanted_per_s=wanted[one.endpoint]) for one in own
    ]


def sum_rollouts(
    reported: typing.Iterable[list[mesh_messages.RolloutUpdate]],
) -> list[mesh_messages.RolloutUpdate]:
    """Merge reports on rollouts: the newest order of each, halted if any report is.

    Sessions that any of the reports keeps on the old version are kept.
    """
    total: dict[str, mesh_messages.RolloutUpdate] = {}
    for news in reported:
        for roll in news:
            old = total.get(roll.service)
            if old is None or roll.store_position > old.store_position:
                total[roll.service] = roll
            elif roll.store_position == old.store_position:
                total[roll.service] = mesh_messages.RolloutUpdate(
                    roll.service,
                    roll.revision,
                    max(old.age_s, roll.age_s),
                    old.halted or roll.halted,
                    old.on_old + roll.on_old,
                    sorted({*old.pinned, *roll.pinned}),
                    roll.epoch,
                    max(old.share, roll.share),
                )
    return list(total.values())
