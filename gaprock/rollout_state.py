"""The state of one rollout: its order, its progress, and its sessions' versions."""

import enum
import typing

from gaprock import gateway_api, rollout_growth, rollout_sessions

# All traffic must have been on the new version this long before a rollout completes.
SETTLE_S: typing.Final = 2.0
# The outcome is written at least this long before the time that the operator set.
WRITE_BEFORE_S: typing.Final = 2.0
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


class Rollout:
    """One order and its progress.

    :param revision: the store's version of the order's row; it identifies the rollout.
    :param started_at: time of the order, by the clock of this process.
    :param epoch: the store's epoch in which the revision is valid.
    """

    __slots__ = (
        "order",
        "revision",
        "epoch",
        "_order_versions",
        "started_at",
        "growth",
        "pinned",
        "state",
        "halted",
        "written",
    )

    def __init__(
        self,
        order: gateway_api.RolloutOrder,
        revision: int,
        started_at: float,
        session_s: float,
        epoch: int = 0,
    ) -> None:
        self.order = order
        self._order_versions: set[tuple[int, int]] = set()
        self.rename(epoch, revision)
        self.started_at = started_at
        self.growth = rollout_growth.Growth(order.service, order.to_version)
        self.pinned = rollout_sessions.PinnedSessions(session_s)
        self.state = State.RUNNING
        # Halted by evidence, here or at a peer, even if the rows do not show it yet.
        self.halted = False
        # The state in the outcome row; ``None`` while there is no row.
        self.written: State | None = None

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

    def is_over(self, now: float) -> bool:
        """Whether the time that the operator set has passed."""
        return now >= self.started_at + self.order.finish_s

    def pins_sessions(self, now: float) -> bool:
        """Whether active sessions stay on their version."""
        return (
            self.state is State.RUNNING
            and self.elapsed_share(now) < rollout_growth.STEPS[0][0]
        )

    def awaits_peers(self, now: float) -> bool:
        """Whether some gateways may not have reported their active sessions yet."""
        return now < self.started_at + min(HOLD_S, HOLD_SHARE * self.order.finish_s)


class Assignment(typing.NamedTuple):
    """The side of a rollout that a session is assigned to.

    :param on_new: whether the session gets the new version.
    """

    rollout: Rollout
    on_new: bool

    def takes(self, version: str) -> bool:
        """Whether the session's requests may run on a version."""
        return (version == self.rollout.order.to_version) == self.on_new
