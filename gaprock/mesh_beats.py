"""What beats say: to the own hall of this gateway alone, to other halls a summary."""

import typing

from gaprock import (
    clock,
    directory,
    endpoint_state,
    evidence,
    ids,
    mesh_halls,
    mesh_members,
    mesh_messages,
    mesh_peers,
    messages,
    quarantine,
    rollouts,
)


class RowSource(typing.Protocol):
    """The followers' side: rows to copy, and where copies go."""

    def news(self) -> list[mesh_messages.TableNews]:
        """Give what is known of each table."""

    def epoch_age_s(self) -> int:
        """Give the seconds since we first heard of the store's epoch."""

    def own_verified_at(self) -> list[float]:
        """Give the newest proofs of our own calls, by table."""

    def has_store(self) -> bool:
        """Whether the store answers us; one that rests reads when it has to."""

    def reads_store(self) -> bool:
        """Whether we read the store ourselves, and it answers."""

    def config_number(self) -> int:
        """Give the number of the configuration in force."""

    def lacks_config(self, number: int, orders: mesh_messages.TableNews) -> bool:
        """Whether a peer has a newer configuration that its rows do not bring us."""

    def config_copy(self) -> mesh_messages.ConfigCopy | None:
        """Give the configuration in force."""

    def apply_config(self, copy: mesh_messages.ConfigCopy) -> None:
        """Take a peer's configuration."""

    def delta_base(self, table: int) -> tuple[int, int]:
        """Give the epoch and version after which a table's changes help us."""

    def record_news(
        self,
        table: int,
        news: mesh_messages.TableNews,
        is_far: bool,
        epoch_age_s: float,
    ) -> bool:
        """Take what a peer knows; give whether its copy would help."""

    def copy(self, table: int, since: int, epoch: int) -> mesh_messages.Rows:
        """Give a table, or what has changed in it after a version."""

    def apply_copy(self, rows: mesh_messages.Rows) -> None:
        """Take a table from a peer."""


class BeatWriter(mesh_members.Members):
    """Writes beats, and says which of them are worth sending."""

    def __init__(
        self,
        name: str,
        hall: str,
        address: str,
        clock_: clock.Clock,
        directory_: directory.Directory,
        rollouts_: rollouts.Rollouts,
        evidence_: evidence.EvidenceBook,
        quarantine_: quarantine.Quarantine,
    ) -> None:
        halls = mesh_halls.HallBook(hall, directory_, rollouts_)
        super().__init__(name, hall, address, clock_, halls)
        self._directory = directory_
        self._rollouts = rollouts_
        self._evidence = evidence_
        self._quarantine = quarantine_
        # Given once the rows are followed.
        self.source: RowSource | None = None
        self._incarnation = ids.new_token()

    def _urgent_news(self) -> object:
        """Give what everybody must know at once."""
        rolls = self._rollouts.all()
        halts = [(r.order.service, r.revision, r.halted) for r in rolls]
        reachability = (
            self._directory.unreachable_endpoints(),
            self._directory.doubted(),
        )
        held = list(self._quarantine.held_changes.values())
        limits = sorted(one.urgent for one in self._directory.pacer.news())
        departures = self._urgent_departures()
        return (
            halts,
            self._has_store(),
            self.leaving,
            reachability,
            held,
            limits,
            departures,
        )

    def _urgent_departures(self) -> list[tuple[str, bool]]:
        return sorted(one.urgent for one in self._directory.departure_news())

    def _near_news(self) -> mesh_peers.News:
        """Give what is worth a beat to the own hall before the idle one is due."""
        rolls = self._rollout_news()
        moving = [(n.on_old, n.kept) for n in rolls]
        tick, _ = self._evidence.since(1 << 60)
        versions = [table.point for table in self._tables()]
        # Who has a change from the store tells it at once; who has it from a peer need
        # not, or each change would set all gateways of a hall talking.
        told = versions if self.source is not None and self.source.reads_store() else []
        halts = mesh_messages.halts(rolls)
        proofs = self._proofs()
        unreachable_endpoints = self._directory.unreachable_endpoints()
        state = (self._has_store(), self.leaving)
        held, suspected = self._suspect_ticks(is_far=False)
        limits = self._directory.pacer.news()
        named = sorted(one.urgent for one in limits)
        wanted = sorted((one.endpoint, one.wanted_per_s) for one in limits)
        # In a large hall each finds for itself what is dark, and all tell all of it.
        is_urgent = not self._is_crowded()
        return mesh_peers.News(
            (
                (
                    halts,
                    told,
                    state,
                    held,
                    named,
                    unreachable_endpoints if is_urgent else (),
                ),
                self._urgent_departures(),
            ),
            (
                self._near_loads(),
                moving,
                tick,
                proofs,
                suspected,
                versions,
                unreachable_endpoints,
                wanted,
            ),
        )

    def _near_loads(self) -> dict[str, endpoint_state.Load]:
        """Give what we have at endpoints, where a hall is small enough to tell it."""
        return {} if self._is_crowded() else self._directory.own_loads()

    def _is_among_first(self) -> bool:
        """Whether we are among the first of our hall by name, who are watched."""
        before = sum(peer.name < self.name for peer in self._living_near())
        return before < mesh_peers.FIRST_FEW

    def _far_news(self, now: float) -> mesh_peers.News:
        """Give what is worth a beat to other halls before the idle one is due.

        Changes of the endpoints' rows can wait for it: each hall reads them itself.
        """
        if not self._carried:
            return mesh_peers.News((), ())
        hall = self._hall_news(now)
        tables = self._tables()
        orders = tables[0].point if tables else (0, 0)
        moving = [(roll.on_old, roll.kept) for roll in hall.rollouts]
        tick, _ = self._evidence.since(1 << 60)
        proofs = self._proofs()
        held, suspected = self._suspect_ticks(is_far=True)
        wanted = [(one.endpoint, one.wanted_per_s) for one in hall.limits]
        return mesh_peers.News(
            (hall.urgent, orders, self.leaving, held),
            (hall.loads, moving, tick, proofs, suspected, wanted),
        )

    def _hall_news(self, now: float) -> mesh_messages.HallNews:
        """Sum our hall up."""
        near = self._living_near()
        beats = [peer.beat for peer in near if peer.beat is not None]
        names = self._carriers(now)
        hall_relays = [
            mesh_messages.Carrier(peer.name, peer.address)
            for peer in near
            if peer.name in names
        ]
        if self.name in names and not self.leaving:
            hall_relays.append(mesh_messages.Carrier(self.name, self.address))
        hall_relays.sort(key=lambda hall_relay: hall_relay.name)
        loads = [self._near_loads(), *(beat.loads for beat in beats)]
        rolls = [self._rollout_news(), *(beat.rollouts for beat in beats)]
        return mesh_messages.HallNews(
            self.hall,
            0.0,
            hall_relays,
            len(near) + (not self.leaving),
            self._has_store() or any(beat.has_store for beat in beats),
            mesh_halls.heaviest(mesh_halls.sum_loads(loads)),
            self._directory.found_unreachable([peer.name for peer in near]),
            mesh_halls.sum_rollouts(rolls),
            mesh_halls.sum_wanted_rates(
                self._directory.pacer.news(), [beat.limits for beat in beats]
            ),
            self._directory.departure_news(),
        )

    def _proofs(self) -> list[float]:
        """Give the proofs of our own calls; a carrier's are also those it was told."""
        if self.source is None:
            return []
        if self._carried:
            return [table.verified_store_time for table in self._tables()]
        return self.source.own_verified_at()

    def _tables(self) -> list[mesh_messages.TableNews]:
        return self.source.news() if self.source else []

    def _epoch_age_s(self) -> int:
        return self.source.epoch_age_s() if self.source is not None else 0

    def _config_number(self) -> int:
        return self.source.config_number() if self.source is not None else 0

    def _has_store(self) -> bool:
        return self.source is not None and self.source.has_store()

    def _rollout_news(self) -> list[mesh_messages.RolloutNews]:
        now = self._clock.now()
        return [
            mesh_messages.RolloutNews(
                r.order.service,
                r.revision,
                now - r.started_at,
                r.halted,
                self.own_on_old_version(r.order.service),
                self._rollouts.pinned_sessions(r),
                r.epoch,
            )
            for r in self._rollouts.all()
        ]

    def _near_beat(self, passing: list[mesh_messages.HallNews]) -> mesh_messages.Beat:
        return mesh_messages.Beat(
            self.name,
            self.hall,
            self.address,
            self._incarnation,
            self._tables(),
            self._has_store(),
            self._near_loads(),
            [],
            self._directory.unreachable_endpoints(),
            self._rollout_news(),
            [],
            self.leaving,
            passing,
            limits=self._directory.pacer.news(),
            departing=self._directory.departure_news(),
            epoch_age_s=self._epoch_age_s(),
            config=self._config_number(),
        )

    def _far_beat(self, now: float) -> mesh_messages.Beat:
        return mesh_messages.Beat(
            self.name,
            self.hall,
            self.address,
            self._incarnation,
            self._tables(),
            self._has_store(),
            {},
            [],
            [],
            [],
            [],
            self.leaving,
            [self._hall_news(now)],
            epoch_age_s=self._epoch_age_s(),
            config=self._config_number(),
        )

    def _suspects_for(
        self, peer: mesh_peers.Peer, include_held: bool
    ) -> list[quarantine.SuspectUpdate]:
        """Give the suspected requests that a peer does not hear of from others.

        :param include_held: whether to tell all that is held, as everybody does now and
            then for one that starts, or to which the way was cut.
        """
        return self._quarantine.news(self._origins(self._is_far(peer)), include_held)

    def _suspect_ticks(self, is_far: bool) -> tuple[list[int], list[int]]:
        """Count what a peer hears from us first: what is held, what is suspected."""
        origins, book = self._origins(is_far), self._quarantine
        held = [book.held_changes[origin] for origin in origins]
        return held, [book.changes[origin] for origin in origins]

    def _origins(self, is_far: bool) -> tuple[quarantine.Origin, ...]:
        """Say where the changes come from that a peer is to hear from us."""
        if not self._carried:
            return (quarantine.Origin.OWN,)
        other = quarantine.Origin.NEAR if is_far else quarantine.Origin.FAR
        return (quarantine.Origin.OWN, other)

    def _evidence_for(
        self, peer: mesh_peers.Peer, counters: list[messages.Evidence]
    ) -> list[messages.Evidence]:
        """Give the counters that a peer does not hear from others.

        Another hall hears the sums of our hall from its carriers, since a rollout has
        some 14 counters a gateway; the own hall hears each gateway's from itself and,
        if we carry, other halls' sums from us.
        """
        near = {self.name, *(one.name for one in self._near())}

        def is_near(source: str) -> bool:
            return source.partition("/")[0] in near

        if self._is_far(peer):
            name = mesh_halls.source_name(self.hall)
            return self._evidence.sums_since(peer.tick, name, is_near)
        return [
            c
            for c in counters
            if c.source == self._evidence.source
            or (self._carried and not is_near(c.source))
        ]
