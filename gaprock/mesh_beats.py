"""Contents of heartbeats: own state for the own hall, a summary for other halls."""

import typing

import msgspec

from gaprock import (
    clock,
    directory,
    directory_paces,
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
    suspicion,
    workspace_shares,
)


class RowSource(typing.Protocol):
    """The followers' side of anti-entropy: rows to copy, and where copies go."""

    def news(self) -> list[mesh_messages.TableUpdate]:
        """Return what is known of each table."""

    def epoch_age_s(self) -> int:
        """Return the seconds since we first learned of the store's epoch."""

    def own_verified_at(self) -> list[float]:
        """Return the store times of our own calls' latest verifications, by table."""

    def has_store(self) -> bool:
        """Whether the store answers us; true on standby too, as we can read again."""

    def reads_store(self) -> bool:
        """Whether we read the store ourselves, and it answers."""

    def config_number(self) -> int:
        """Return the number of the configuration in force."""

    def lacks_config(self, number: int, orders: mesh_messages.TableUpdate) -> bool:
        """Whether a peer has a newer configuration that a copy of its rows lacks."""

    def config_copy(self) -> mesh_messages.ConfigCopy | None:
        """Return the configuration in force."""

    def apply_config(self, copy: mesh_messages.ConfigCopy) -> None:
        """Apply a peer's configuration."""

    def delta_base(self, table: int) -> tuple[int, int]:
        """Return the epoch and version after which we need a table's changes."""

    def record_news(
        self,
        table: int,
        news: mesh_messages.TableUpdate,
        is_far: bool,
        epoch_age_s: float,
    ) -> bool:
        """Record what a peer knows of a table; return whether its copy would help."""

    def copy(self, table: int, since: int, epoch: int) -> mesh_messages.Rows:
        """Return a table, or its changes after a version."""

    def apply_copy(self, rows: mesh_messages.Rows) -> None:
        """Apply a peer's copy of a table, or of its changes."""


class BeatWriter(mesh_members.Members):
    """Builds heartbeats, and decides which of them are worth sending."""

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
        # Demand that peers and other halls report.
        self.demand = workspace_shares.DemandBook()
        halls = mesh_halls.HallSummaries(hall, directory_, rollouts_, self.demand)
        super().__init__(name, hall, address, clock_, halls)
        self._directory = directory_
        self._rollouts = rollouts_
        self._evidence = evidence_
        self._quarantine = quarantine_
        # Set once the tables are followed.
        self.source: RowSource | None = None
        self._incarnation = ids.new_token()
        # Returns our demand, with at most so many workspaces named; set by the server.
        self.own_demand: typing.Callable[[int], list[mesh_messages.DemandUpdate]] = (
            lambda max_named: []
        )

    def _urgent_news(self) -> object:
        """Return the part of our state that every gateway must learn at once."""
        rolls = self._rollouts.all()
        rollout_states = [
            (r.order.service, r.revision, r.halted, r.growth.reached >= 1.0)
            for r in rolls
        ]
        reachability = (
            self._directory.unreachable_endpoints(),
            self._directory.suspected_endpoints(),
        )
        held = list(self._quarantine.held_changes.values())
        limits = sorted(one.urgent for one in self._directory.pacer.news())
        departures = self._urgent_departures()
        return (
            rollout_states,
            self._has_store(),
            self.leaving,
            reachability,
            held,
            limits,
            departures,
        )

    def _urgent_departures(self) -> list[tuple[str, bool]]:
        return sorted(one.urgent for one in self._directory.departure_news())

    def _near_news(self) -> mesh_peers.BeatContent:
        """Return what justifies a heartbeat to the own hall before the idle one."""
        rolls = self._rollout_news()
        moving = [(n.on_old, n.pinned) for n in rolls]
        evidence_tick, _ = self._evidence.since(1 << 60)
        versions = [table.store_position for table in self._tables()]
        # A gateway that read a change from the store reports it at once.  One that has
        # it from a peer does not, or each change would make all gateways of a hall
        # send.
        told = versions if self.source is not None and self.source.reads_store() else []
        rollout_states = mesh_messages.urgent_states(rolls)
        verified_times = self._verified_times()
        unreachable_endpoints = self._directory.unreachable_endpoints()
        state = (self._has_store(), self.leaving)
        held, suspected = self._quarantine_changes(is_far=False)
        limits = self._directory.pacer.news()
        named = sorted(one.urgent for one in limits)
        wanted = sorted((one.endpoint, one.wanted_per_s) for one in limits)
        # Not urgent in a large hall: each gateway there finds the unreachable endpoints
        # by itself, and all would report them to all others at once.
        is_urgent = not self._is_large_hall()
        return mesh_peers.BeatContent(
            (
                (
                    rollout_states,
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
                evidence_tick,
                verified_times,
                suspected,
                versions,
                unreachable_endpoints,
                wanted,
                self._near_held(),
            ),
        )

    def _near_loads(self) -> dict[str, endpoint_state.Load]:
        """Return our loads at endpoints; none in a hall too large to report them."""
        return {} if self._is_large_hall() else self._directory.own_loads()

    def _near_held(self) -> dict[str, int]:
        """Return our bytes at endpoints; none in a hall too large to report them."""
        return {} if self._is_large_hall() else self._directory.own_held()

    def _is_among_first(self) -> bool:
        """Whether we are among our hall's first: possible relays or readers."""
        before = sum(self._is_before_us(peer) for peer in self._living_near())
        return before < mesh_peers.FREQUENT_SENDERS

    def _far_news(self, now: float) -> mesh_peers.BeatContent:
        """Return what justifies a heartbeat to other halls before the idle one.

        Changes of the endpoints' rows can wait for that: each hall reads them itself.
        """
        if not self._is_relay:
            return mesh_peers.BeatContent((), ())
        hall = self._hall_news(now)
        tables = self._tables()
        orders = tables[0].store_position if tables else (0, 0)
        moving = [(roll.on_old, roll.pinned) for roll in hall.rollouts]
        evidence_tick, _ = self._evidence.since(1 << 60)
        verified_times = self._verified_times()
        held, suspected = self._quarantine_changes(is_far=True)
        wanted = [(one.endpoint, one.wanted_per_s) for one in hall.limits]
        return mesh_peers.BeatContent(
            (hall.urgent, orders, self.leaving, held),
            (
                hall.loads,
                moving,
                evidence_tick,
                verified_times,
                suspected,
                wanted,
                hall.held,
            ),
        )

    def _hall_news(self, now: float) -> mesh_messages.HallNews:
        """Return the summary of our hall."""
        near = self._living_near()
        beats = [peer.beat for peer in near if peer.beat is not None]
        names = self._own_hall_relays(now)
        hall_relays = [
            mesh_messages.HallRelay(peer.name, peer.address)
            for peer in near
            if peer.name in names
        ]
        if self.name in names and not self.leaving:
            hall_relays.append(mesh_messages.HallRelay(self.name, self.address))
        hall_relays.sort(key=lambda hall_relay: hall_relay.name)
        loads = [self._near_loads(), *(beat.loads for beat in beats)]
        rolls = [self._rollout_news(), *(beat.rollouts for beat in beats)]
        return mesh_messages.HallNews(
            self.hall,
            0.0,
            hall_relays,
            len(near) + (not self.leaving),
            self._has_store() or any(beat.has_store for beat in beats),
            mesh_halls.most_loaded(mesh_halls.sum_loads(loads)),
            self._directory.found_unreachable([peer.name for peer in near]),
            mesh_halls.sum_rollouts(rolls),
            mesh_halls.sum_wanted_rates(
                self._directory.pacer.news(), [beat.limits for beat in beats]
            ),
            self._directory.departure_news(),
            held=mesh_halls.sum_held(
                [self._near_held(), *(beat.held for beat in beats)]
            ),
            demand=workspace_shares.sum_updates(
                [self._near_demand(), *(beat.demand for beat in beats)],
                self._max_named_workspaces(),
            ),
        )

    def _near_demand(self) -> list[mesh_messages.DemandUpdate]:
        return self.own_demand(self._max_named_workspaces())

    def _max_named_workspaces(self) -> int:
        if self._is_large_hall():
            return workspace_shares.MAX_NAMED_LARGE_HALL
        return workspace_shares.MAX_NAMED

    def _verified_times(self) -> list[float]:
        """Return when our calls verified the tables; a relay's, also peers' calls."""
        if self.source is None:
            return []
        if self._is_relay:
            return [table.verified_store_time for table in self._tables()]
        return self.source.own_verified_at()

    def _tables(self) -> list[mesh_messages.TableUpdate]:
        return self.source.news() if self.source else []

    def _epoch_age_s(self) -> int:
        return self.source.epoch_age_s() if self.source is not None else 0

    def _config_number(self) -> int:
        return self.source.config_number() if self.source is not None else 0

    def _has_store(self) -> bool:
        return self.source is not None and self.source.has_store()

    def _rollout_news(self) -> list[mesh_messages.RolloutUpdate]:
        now = self._clock.now()
        return [
            mesh_messages.RolloutUpdate(
                r.order.service,
                r.revision,
                now - r.started_at,
                r.halted,
                self.own_on_old_version(r.order.service),
                self._rollouts.pinned_sessions(r),
                r.epoch,
                r.growth.reached,
            )
            for r in self._rollouts.all()
        ]

    def _near_beat(self, forwarded: list[mesh_messages.HallNews]) -> mesh_messages.Beat:
        own_calls = self.own_calls()
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
            forwarded,
            limits=self._directory.pacer.news(),
            departing=self._directory.departure_news(),
            epoch_age_s=self._epoch_age_s(),
            config=self._config_number(),
            machine_size=self.machine_size,
            open_calls=own_calls.open_calls,
            is_full=own_calls.is_full,
            held=self._near_held(),
            demand=self._near_demand(),
        )

    def _far_beat(self, now: float) -> mesh_messages.Beat:
        own_calls = self.own_calls()
        paces = self._directory.changed_paces()
        news = msgspec.structs.replace(self._hall_news(now), paces=paces)
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
            [news],
            epoch_age_s=self._epoch_age_s(),
            config=self._config_number(),
            open_calls=own_calls.open_calls,
            is_full=own_calls.is_full,
        )

    def _start_telling_paces(self, peer: mesh_peers.Peer) -> None:
        """Plan which paces a peer is told that is new or was silent for long.

        It gets all known ones from the hall's first gateways, and from the others only
        what they receive from now on.
        """
        peer.paces_sent = self._directory.pace_tick
        peer.paces_due = []
        if not self._is_far(peer) and self._is_among_first():
            peer.paces_due = self._directory.known_paces()

    def _paces_for(
        self, peer: mesh_peers.Peer
    ) -> tuple[int, list[mesh_messages.PaceUpdate]]:
        """Return the paces for a heartbeat, and the tick that its peer then has."""
        if self._is_far(peer):
            return peer.paces_sent, []
        due = self._directory.pace_updates(
            peer.paces_due[: directory_paces.MAX_UPDATES]
        )
        room = directory_paces.MAX_UPDATES - len(due)
        tick, updates = self._directory.paces_since(
            peer.paces_sent, self._is_large_hall(), room
        )
        return tick, due + updates

    def _suspects_for(
        self, peer: mesh_peers.Peer, include_held: bool
    ) -> list[suspicion.SuspectUpdate]:
        """Return the suspected requests that a peer does not learn of from others.

        :param include_held: whether to include all requests in quarantine, as every
            gateway does now and then for peers that start, or that were cut off.
        """
        return self._quarantine.updates(self._origins(self._is_far(peer)), include_held)

    def _quarantine_changes(self, is_far: bool) -> tuple[list[int], list[int]]:
        """Return counters of the changes in quarantine that a peer gets from us.

        :returns: of the held requests, and of the suspected ones.
        """
        origins, book = self._origins(is_far), self._quarantine
        held = [book.held_changes[origin] for origin in origins]
        return held, [book.changes[origin] for origin in origins]

    def _origins(self, is_far: bool) -> tuple[suspicion.Origin, ...]:
        """Return the origins of the changes that a peer gets from us."""
        if not self._is_relay:
            return (suspicion.Origin.OWN,)
        other = suspicion.Origin.NEAR if is_far else suspicion.Origin.FAR
        return (suspicion.Origin.OWN, other)

    def _evidence_for(
        self, peer: mesh_peers.Peer, counters: list[messages.Evidence]
    ) -> list[messages.Evidence]:
        """Return the counters that a peer does not get from others.

        Another hall gets only the sums of our hall, from our relays, since a rollout
        has some 14 counters for each gateway.  The own hall gets each gateway's
        counters from that gateway and, if we are a relay, other halls' sums from us.
        """
        near = {self.name, *(one.name for one in self._near())}

        def is_near(source: str) -> bool:
            return source.partition("/")[0] in near

        if self._is_far(peer):
            name = mesh_halls.source_name(self.hall)
            return self._evidence.sums_since(peer.evidence_tick, name, is_near)
        return [
            c
            for c in counters
            if c.source == self._evidence.source
            or (self._is_relay and not is_near(c.source))
        ]
