"""What a gateway knows of other halls: one summary a hall, from that hall's carriers.

A summary comes from a carrier directly, or is passed on inside the own hall.  It keeps
its age on the way, a newer one replaces an older one whoever told it, and one that is
too old is forgotten with all that it told.
"""

import collections
import threading
import typing

import msgspec

from gaprock import (
    directory,
    endpoint_state,
    eventlog,
    mesh_messages,
    rate_limits,
    rollouts,
)

# A summary counts no more after this time, seconds.
SUMMARY_TIMEOUT_S: typing.Final = 2.5
# A summary is passed on inside the own hall this often at most, seconds, by whichever
# carrier is first; what changed in what everybody must know goes at once.
PASS_S: typing.Final = 0.8
# Endpoints of a hall whose loads other halls hear of: those that they had better not
# send to.  Guards against summaries that grow with the endpoints.
LOADS_TOLD: typing.Final = 40


class _Known:
    """The newest summary of a hall.

    :param as_of: when it was put together, by our clock.
    """

    __slots__ = ("news", "as_of")

    def __init__(self, news: mesh_messages.HallNews, as_of: float) -> None:
        self.news = news
        self.as_of = as_of


class HallBook:
    """The summaries of the other halls; safe for all threads."""

    __slots__ = ("_own", "_directory", "_rollouts", "_lock", "_known", "_passed")

    def __init__(
        self,
        own_hall: str,
        directory_: directory.Directory,
        rollouts_: rollouts.Rollouts,
    ) -> None:
        self._own = own_hall
        self._directory = directory_
        self._rollouts = rollouts_
        self._lock = threading.Lock()
        self._known: dict[str, _Known] = {}
        # The newest summary of each hall that went around in the own hall.
        self._passed: dict[str, _Known] = {}

    def take(
        self, news: mesh_messages.HallNews, now: float, is_passed_on: bool
    ) -> None:
        """Take a summary.

        :param is_passed_on: whether it came by a gateway of the own hall.
        """
        if news.hall == self._own:
            return
        as_of = now - max(0.0, news.age_s)
        with self._lock:
            known = self._known.get(news.hall)
            if as_of < now - SUMMARY_TIMEOUT_S or (known and known.as_of >= as_of):
                return
            self._known[news.hall] = _Known(news, as_of)
            if is_passed_on:
                self._passed[news.hall] = self._known[news.hall]
        if known is None:
            eventlog.info("hall-heard", hall=news.hall, age_s=news.age_s)
        name = source_name(news.hall)
        self._directory.apply_peer_loads(name, news.loads)
        self._directory.apply_peer_unreachable(name, news.unreachable_endpoints)
        pacer = self._directory.pacer
        pacer.record_news(name, news.members, news.limits, news.age_s)
        self._directory.apply_peer_departures(name, news.departing, news.age_s)
        for told in news.rollouts:
            self._rollouts.merge_reported(told, now, name)

    def forget_silent(self, now: float) -> None:
        """Drop what is too old."""
        with self._lock:
            old = [k for k in self._known.values() if k.as_of < now - SUMMARY_TIMEOUT_S]
            for known in old:
                del self._known[known.news.hall]
        for known in old:
            hall = known.news.hall
            eventlog.warning("hall-silent", hall=hall, silent_s=now - known.as_of)
            self._directory.apply_peer_loads(source_name(hall), {})
            self._directory.apply_peer_unreachable(source_name(hall), ())
            self._directory.pacer.record_news(source_name(hall), 0, [])

    def summaries_to_forward(self, now: float) -> list[mesh_messages.HallNews]:
        """Give the summaries that the own hall has not heard lately, with their age."""
        with self._lock:
            due = [k for k in self._known.values() if self._is_due(k)]
            for known in due:
                self._passed[known.news.hall] = known
        return [known.news.aged(now - known.as_of) for known in due]

    def _is_due(self, known: _Known) -> bool:
        before = self._passed.get(known.news.hall)
        if before is None or known.as_of >= before.as_of + PASS_S:
            return True
        is_newer = known.as_of > before.as_of
        return is_newer and known.news.urgent != before.news.urgent

    # -- What the summaries tell --

    def _all(self) -> list[mesh_messages.HallNews]:
        with self._lock:
            return [known.news for known in self._known.values()]

    def members(self) -> int:
        """Give the living gateways of all other halls."""
        return sum(news.members for news in self._all())

    def hall_relays(self) -> dict[str, list[mesh_messages.Carrier]]:
        """Give the carriers of the other halls, by hall."""
        return {news.hall: news.hall_relays for news in self._all()}

    def on_old(self, service: str) -> int:
        """Give the other halls' requests on the old version of a service."""
        told = [roll for news in self._all() for roll in news.rollouts]
        return sum(roll.on_old for roll in told if roll.service == service)

    def has_store(self) -> bool:
        """Whether the store answers somebody in another hall."""
        return any(news.has_store for news in self._all())

    def has_reader_before(self) -> bool:
        """Whether a hall before ours by name has the store's answers."""
        return any(news.has_store and news.hall < self._own for news in self._all())


def source_name(hall: str) -> str:
    """Give the name under which a whole hall's loads and dark endpoints are kept."""
    return f"hall {hall}"


def sum_loads(
    told: typing.Iterable[dict[str, endpoint_state.Load]],
) -> dict[str, endpoint_state.Load]:
    """Add up what several gateways have at each endpoint."""
    total: dict[str, endpoint_state.Load] = {}
    for loads in told:
        for name, load in loads.items():
            running, reading = total.get(name, endpoint_state.Load(0, 0))
            total[name] = endpoint_state.Load(
                running + load.running, reading + load.reading
            )
    return total


def heaviest(
    loads: dict[str, endpoint_state.Load],
) -> dict[str, endpoint_state.Load]:
    """Give the endpoints with the most load, as many as are told."""
    if len(loads) <= LOADS_TOLD:
        return loads
    names = sorted(loads, key=lambda name: loads[name], reverse=True)
    return {name: loads[name] for name in names[:LOADS_TOLD]}


def sum_wanted_rates(
    own: list[rate_limits.LimitNews],
    told: typing.Iterable[list[rate_limits.LimitNews]],
) -> list[rate_limits.LimitNews]:
    """Give the limits that the carrier knows, with what its whole hall wants."""
    wanted: dict[str, float] = collections.defaultdict(float)
    for news in [own, *told]:
        for one in news:
            wanted[one.endpoint] += one.wanted_per_s
    return [
        msgspec.structs.replace(one, wanted_per_s=wanted[one.endpoint]) for one in own
    ]


def sum_rollouts(
    told: typing.Iterable[list[mesh_messages.RolloutNews]],
) -> list[mesh_messages.RolloutNews]:
    """Give each rollout once: the newest order, halted if anybody halted it.

    A session is kept that one of them keeps.
    """
    total: dict[str, mesh_messages.RolloutNews] = {}
    for news in told:
        for roll in news:
            old = total.get(roll.service)
            if old is None or roll.point > old.point:
                total[roll.service] = roll
            elif roll.point == old.point:
                total[roll.service] = mesh_messages.RolloutNews(
                    roll.service,
                    roll.revision,
                    max(old.age_s, roll.age_s),
                    old.halted or roll.halted,
                    old.on_old + roll.on_old,
                    sorted({*old.kept, *roll.kept}),
                    roll.epoch,
                )
    return list(total.values())
