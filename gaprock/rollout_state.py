"""The state of one rollout: its order, its progress, and its sessions' versions."""

import enum
import typing

from gaprock import clock, gateway_api, rollout_growth, rollout_sessions

# All traffic must have been on the new version this long before a rollout completes.
SETTLE_S: typing.Final = 2.0
# From this long before the end of the operator's time, requests that still run on the
# old version do not delay the outcome.
WRITE_BEFORE_S: typing.Final = 1.0
# Share of the allowed slack planned for the canary, and for the whole time.  The rest
# is for sends chosen at the same moment, and for sessions on the new version.
CANARY_SLACK: typing.Final = 0.4
ALL_SLACK: typing.Final = 0.78
SESSION_SLACK: typing.Final = 0.15
# The rollout's time is divided into so many periods of equal length.
PERIODS: typing.Final = 8
# Sends that are older than this are answered, or late.
ANSWERED_S: typing.Final = 2.0
# The endpoints of a canary take turns of this length, at most a period.
ENDPOINT_TURN_S: typing.Final = 2.0
# After the order every session stays on the old version for this share of the
# rollout's time, and at most ``HOLD_S``: heartbeats between halls take up to two
# seconds to report the active sessions to all gateways.
HOLD_SHARE: typing.Final = 0.1
HOLD_S: typing.Final = 2.0


class State(enum.Enum):
    """The state of a rollout; the values are those in the outcome rows."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


STATES: typing.Final = {state.value: state for state in State}


class Outcome(typing.NamedTuple):
    """The state of a rollout according to its outcome row.

    :param row_version: the store's version of the row.  If it is older than the
        order's, the outcome belongs to an earlier order for the same version.
    :param epoch: the store's epoch in which ``row_version`` is valid.
    """

    version: str
    state: State
    row_version: int
    epoch: int = 0


class StoredStart(typing.NamedTuple):
    """What the store has of a rollout under way.

    :param started_at: the time of the order, by the clock of this process.
    :param moved: whether a gateway may have given the new version all requests.
    """

    started_at: float
    moved: bool


class Rollout:
    """One order and its progress.

    :param revision: the store's version of the order's row; it identifies the rollout.
    :param started_at: time of the order, by the clock of this process.
    :param epoch: the store's epoch in which the revision is valid.
    :param is_new: whether the order was not there when the rows were read before.
    :param process_since: when this process started.
    """

    __slots__ = (
        "order",
        "revision",
        "epoch",
        "_order_versions",
        "started_at",
        "_is_new",
        "_process_since",
        "stored_start",
        "gateways",
        "growth",
        "pinned",
        "state",
        "halted",
        "written",
        "judged_at",
        "endpoints",
    )

    def __init__(
        self,
        order: gateway_api.RolloutOrder,
        revision: int,
        started_at: float,
        session_s: float,
        epoch: int = 0,
        is_new: bool = True,
        process_since: float = -clock.NEVER,
    ) -> None:
        self.order = order
        self._order_versions: set[tuple[int, int]] = set()
        self.rename(epoch, revision)
        self.started_at = started_at
        self._is_new = is_new
        self._process_since = process_since
        # What the store had of it when this process read it first; ``None`` before.
        self.stored_start: StoredStart | None = None
        # The largest number of gateways since the order.
        self.gateways = 1
        self.growth = rollout_growth.Growth(order.service, order.to_version)
        self.pinned = rollout_sessions.PinnedSessions(session_s)
        self.state = State.RUNNING
        # Halted by evidence, here or at a peer, even if the rows do not show it yet.
        self.halted = False
        # The state in the outcome row; ``None`` while there is no row.
        self.written: State | None = None
        # When the evidence was judged last.
        self.judged_at = -clock.NEVER
        # The largest number of usable endpoints that the new version has had; 0 if
        # that is not known.
        self.endpoints = 0

    def rename(self, epoch: int, revision: int) -> None:
        """Set the version that the order's row has after a restore of the store."""
        self.epoch, self.revision = epoch, revision
        # Gateways without support for epochs report it with epoch 0.
        self._order_versions |= {(epoch, revision), (0, revision)}

    @property
    def order_version(self) -> tuple[int, int]:
        """The epoch and version of the order's row; the greater one is newer."""
        return self.epoch, self.revision

    def has_order_version(self, epoch: int, revision: int) -> bool:
        """Whether these are, or were, the epoch and version of the order's row."""
        return (epoch, revision) in self._order_versions

    @property
    def label(self) -> str:
        """The name of this rollout in the evidence."""
        return f"{self.order.service}@{self.order.to_version}#{self.revision}"

    def elapsed_share(self, now: float) -> float:
        """Return the share of the rollout's time that has passed."""
        return (now - self.started_at) / max(0.001, self.order.finish_s)

    def period(self, now: float) -> int:
        """Return the number of the period at a time; the last one does not end."""
        share = max(0.0, self.elapsed_share(now))
        return min(PERIODS - 1, int(PERIODS * share))

    def answered_periods(self, now: float) -> int:
        """Return the number of periods whose sends are answered by now, if ever."""
        return self.period(now - ANSWERED_S)

    def endpoint_turn(self, now: float) -> int:
        """Return the number of the turn in which a canary's endpoints are used."""
        turn_s = min(ENDPOINT_TURN_S, self.order.finish_s / PERIODS)
        return max(0, int((now - self.started_at) / max(0.1, turn_s)))

    def is_rate_known(self, now: float) -> bool:
        """Whether the rate of sends since the order can be known by all gateways."""
        return now >= self.started_at + rollout_growth.RATE_KNOWN_S

    @property
    def is_known_whole(self) -> bool:
        """Whether this process has known the rollout since its order."""
        return self._is_new and self.started_at >= self._process_since

    def planned_slack(self, is_moved: bool) -> float:
        """Return the share of the allowed slack that this gateway may use.

        A process that starts after the order has only what is planned for the time from
        which all requests go to the new version, and nothing if that had begun: the
        process that it replaces may have used the rest.

        :param is_moved: whether all requests go to the new version, or may from now on.
        """
        if self.is_known_whole:
            return ALL_SLACK if is_moved else CANARY_SLACK
        if is_moved and self.stored_start is not None and not self.stored_start.moved:
            return ALL_SLACK - CANARY_SLACK
        return 0.0

    def record_stored_start(self, start: "StoredStart") -> None:
        """Record what the store has of the rollout, as it was read first."""
        if self.stored_start is None:
            self.stored_start = start

    @property
    def ends_at(self) -> float:
        """The end of the time that the operator set."""
        return self.started_at + self.order.finish_s

    def is_over(self, now: float) -> bool:
        """Whether the time that the operator set has passed."""
        return now >= self.ends_at

    def pins_sessions(self, now: float) -> bool:
        """Whether active sessions stay on their version."""
        return (
            self.state is State.RUNNING
            and self.elapsed_share(now) < rollout_growth.PINNED_SHARE
        )

    def awaits_peers(self, now: float) -> bool:
        """Whether some gateways may not have reported their active sessions yet."""
        return now < self.started_at + min(HOLD_S, HOLD_SHARE * self.order.finish_s)


class Assignment(typing.NamedTuple):
    """The side of a rollout that a session is assigned to.

    :param on_new: whether the session gets the new version.
    :param stable: the only version for all others; empty if it is not known, or gone.
    :param withdrawn: versions that no session gets.
    :param takes_any: whether any version is better than none.
    """

    rollout: Rollout
    on_new: bool
    stable: str = ""
    withdrawn: tuple[str, ...] = ()
    takes_any: bool = False

    def takes(self, version: str) -> bool:
        """Whether the session's requests may run on a version."""
        if self.takes_any:
            return True
        if version == self.rollout.order.to_version:
            return self.on_new
        if self.on_new:
            return False
        if self.stable:
            return version == self.stable
        return version not in self.withdrawn
