"""The paces that endpoints report: recording them, and which peers are told of them.

Within a hall a gateway passes on the reports that it received itself, the newest of
each endpoint.  In a large hall, and to other halls, only changes of lasting paces are
passed on, since a momentary pace would be out of date there.
"""

import random
import typing

from gaprock import (
    clock,
    directory_rows,
    endpoint_notices,
    endpoint_pace,
    endpoint_state,
    eventlog,
    gateway_api,
    mechanisms,
    mesh_messages,
    warm_up,
)

# Number of updates in a heartbeat.
MAX_UPDATES: typing.Final = 24
# Number of updates in a hall's summary, which goes to each relay of the other halls
# several times a second.
MAX_FAR_UPDATES: typing.Final = 8
# A lasting pace that differs by more than this share has changed.
CHANGED_SHARE: typing.Final = 0.1
# An endpoint counts as slowed down if its momentary pace is above the lasting one by
# this factor; transient slowdowns have 2.5.
SLOWED_FACTOR: typing.Final = 1.5
# A change is part of the hall's summaries for this long.  Some of these are lost, or
# are not forwarded.
CHANGE_TOLD_S: typing.Final = 5.0


class Paces(typing.NamedTuple):
    """The paces of an endpoint, within the bounds for decisions."""

    lasting: float = endpoint_pace.USUAL_PACE
    current: float = endpoint_pace.USUAL_PACE


USUAL: typing.Final = Paces()


class PaceTable(directory_rows.EndpointTable):
    """The endpoints with the paces that they report."""

    def __init__(
        self,
        clock_: clock.Clock,
        drain_s: float,
        slow_starts: warm_up.SlowStarts | None = None,
        notices: endpoint_notices.EndpointNotices | None = None,
    ) -> None:
        super().__init__(clock_, drain_s, slow_starts, notices)
        self._pace_rng = random.Random()
        # The number of reports that this gateway received, and by incarnation the
        # numbers of the newest one and of the newest that changed the lasting pace, the
        # oldest first.
        self._pace_tick = 0
        self._report_ticks: dict[str, int] = {}
        self._change_ticks: dict[str, int] = {}
        # The lasting paces that the hall knows, when they changed, and the number of
        # summaries since that had them.
        self._told_paces: dict[str, float] = {}
        self._changed_at: dict[str, float] = {}
        self._summaries: dict[str, int] = {}

    # -- Reports --

    def note_answer(
        self,
        endpoint: endpoint_state.Endpoint,
        head: gateway_api.AnswerHead,
        sent_at: float,
    ) -> None:
        super().note_answer(endpoint, head, sent_at)
        report = head.notice.load
        # If another endpoint answered, the report is about that one.
        if report is None or head.wrong_endpoint or not mechanisms.PACE.on:
            return
        now = self._clock.now()
        with self._lock:
            endpoint.pace.record(report, endpoint.running, now)
            if report.pace is None or endpoint.has_ended:
                return
            incarnation = endpoint.incarnation
            self._pace_tick += 1
            self._report_ticks.pop(incarnation, None)
            self._report_ticks[incarnation] = self._pace_tick
            if self._note_change(endpoint, now):
                self._change_ticks.pop(incarnation, None)
                self._change_ticks[incarnation] = self._pace_tick

    def apply_peer_paces(
        self,
        sender: str,
        updates: list[mesh_messages.PaceUpdate],
        age_s: float = 0.0,
        is_far: bool = False,
    ) -> None:
        """Apply paces that a peer or another hall reports.

        :param age_s: time that the message was on its way.
        """
        if not updates or not mechanisms.PACE.on:
            return
        now = self._clock.now()
        with self._lock:
            for update in updates[:MAX_UPDATES]:
                endpoint = self._current.get(update.endpoint)
                if endpoint is None:
                    continue
                newest_s = endpoint.pace.age_s(now)
                endpoint.pace.record_peer(update, now - age_s)
                if endpoint.pace.age_s(now) == newest_s:
                    continue
                endpoint.pace.reporter = sender
                self._note_change(endpoint, now, is_far)

    def _note_change(
        self, endpoint: endpoint_state.Endpoint, now: float, is_far: bool = False
    ) -> bool:
        """Whether an endpoint's lasting pace has changed; log and remember it.

        :param is_far: whether another hall reported it, which is not told again.
        """
        lasting = endpoint.pace.lasting
        before = self._told_paces.get(endpoint.incarnation)
        if before is not None and abs(lasting - before) <= CHANGED_SHARE * before:
            return False
        self._told_paces[endpoint.incarnation] = lasting
        if not is_far:
            self._changed_at[endpoint.incarnation] = now
            self._summaries[endpoint.incarnation] = 0
        eventlog.info(
            "endpoint-pace",
            endpoint=endpoint.name,
            lasting=lasting,
            before="unknown" if before is None else before,
            by=endpoint.pace.reporter or "own",
        )
        return True

    def forget_gone(self) -> None:
        super().forget_gone()
        now = self._clock.now()
        with self._lock:
            for endpoint in self._current.values():
                endpoint.pace.expire(now)
            for table in (self._report_ticks, self._change_ticks, self._told_paces):
                for incarnation in list(table):
                    endpoint_ = self._current.get(incarnation)
                    if endpoint_ is None or not endpoint_.pace.is_reported:
                        del table[incarnation]
            for incarnation, at in list(self._changed_at.items()):
                if now > at + CHANGE_TOLD_S:
                    del self._changed_at[incarnation], self._summaries[incarnation]

    # -- Use --

    def paces(self, endpoints: list[endpoint_state.Endpoint]) -> list[Paces]:
        """Return the paces of endpoints."""
        if not self._told_paces:
            return [USUAL] * len(endpoints)
        now = self._clock.now()
        bounded = endpoint_pace.bounded
        with self._lock:
            return [
                (
                    Paces(bounded(e.pace.lasting), bounded(e.pace.current(now)))
                    if e.pace.is_reported
                    else USUAL
                )
                for e in endpoints
            ]

    def pace_facts(
        self, endpoint: endpoint_state.Endpoint, now: float
    ) -> dict[str, object]:
        """Return an endpoint's pace for a log line; nothing if it reports none."""
        pace = endpoint.pace
        with self._lock:
            if not pace.is_reported:
                return {}
            return {
                "pace": pace.lasting,
                "pace_now": pace.current(now),
                "report_s": pace.age_s(now),
                "report_by": pace.reporter or "own",
            }

    def count_reporting(self) -> tuple[int, int]:
        """Count the endpoints that report a pace, and those of them slowed down now."""
        now = self._clock.now()
        with self._lock:
            known = [e.pace for e in self._current.values() if e.pace.is_reported]
            slowed = [p for p in known if p.current(now) > SLOWED_FACTOR * p.lasting]
        return len(known), len(slowed)

    # -- Gossip --

    @property
    def pace_tick(self) -> int:
        """The number of reports that this gateway received."""
        return self._pace_tick

    def paces_since(
        self, tick: int, changes_only: bool, room: int = MAX_UPDATES
    ) -> tuple[int, list[mesh_messages.PaceUpdate]]:
        """Return the endpoints that reported after a tick, the oldest first.

        :param changes_only: whether only changes of the lasting pace count.
        :param room: number of updates that may be returned.
        :returns: the tick up to which they are complete, and the updates.
        """
        now = self._clock.now()
        ticks = self._change_ticks if changes_only else self._report_ticks
        with self._lock:
            due = []
            for incarnation in reversed(ticks):
                if ticks[incarnation] <= tick:
                    break
                due.append(incarnation)
            due.reverse()
            told = due[:room]
            if len(told) == len(due):
                tick = self._pace_tick
            elif told:
                tick = ticks[told[-1]]
            return tick, self._updates(told, now)

    def known_paces(self) -> list[str]:
        """Return the incarnations whose paces are known, whoever reported them."""
        with self._lock:
            return [e.incarnation for e in self._current.values() if e.pace.is_reported]

    def pace_updates(self, incarnations: list[str]) -> list[mesh_messages.PaceUpdate]:
        """Return the paces of endpoints, as far as they are known."""
        with self._lock:
            return self._updates(incarnations, self._clock.now())

    def changed_paces(self) -> list[mesh_messages.PaceUpdate]:
        """Return new lasting paces that the hall learned lately, for its next summary.

        If there are more than fit, those go first that were in the fewest summaries.
        """
        if not self._changed_at:
            return []
        now = self._clock.now()
        with self._lock:
            recent = [
                incarnation
                for incarnation, at in self._changed_at.items()
                if now <= at + CHANGE_TOLD_S
            ]
            # In random order among equals: a hall that gets every second summary must
            # not get the same endpoints each time.
            self._pace_rng.shuffle(recent)
            recent.sort(key=lambda incarnation: self._summaries[incarnation])
            del recent[MAX_FAR_UPDATES:]
            for incarnation in recent:
                self._summaries[incarnation] += 1
            return [
                mesh_messages.PaceUpdate(u.endpoint, u.lasting, u.lasting, u.age_ms)
                for u in self._updates(recent, now)
            ]

    def _updates(
        self, incarnations: list[str], now: float
    ) -> list[mesh_messages.PaceUpdate]:
        found = []
        for incarnation in incarnations:
            endpoint = self._current.get(incarnation)
            if endpoint is not None and endpoint.pace.is_reported:
                pace = endpoint.pace
                found.append(
                    mesh_messages.PaceUpdate(
                        incarnation,
                        round(100 * pace.lasting),
                        round(100 * pace.newest),
                        max(0, round(1000 * pace.age_s(now))),
                    )
                )
        return found
