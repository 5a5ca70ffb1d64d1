"""One rollout: its order, its time, and where a session stands in it."""

import enum
import typing

from gaprock import gateway_api, rollout_sessions

# Shares of sessions on the new version, each from this share of the time on.  In the
# first half no session changes its version.
STEPS: typing.Final = ((0.5, 0.25), (0.56, 0.5), (0.62, 1.0))
# All traffic must have moved for this long before a rollout completes, seconds.
SETTLE_S: typing.Final = 2.0
# The outcome is written at the latest this long before the operator's time, seconds.
WRITE_BEFORE_S: typing.Final = 2.0
# So long after the order every session stays on the old version, as a share of the
# rollout's time and at most, seconds: beats between halls take up to two seconds to
# tell everybody which sessions go on.
HOLD_SHARE: typing.Final = 0.1
HOLD_S: typing.Final = 2.0


class State(enum.Enum):
    """What became of a rollout; the names are those of the outcome rows."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


STATES: typing.Final = {state.value: state for state in State}


class Outcome(typing.NamedTuple):
    """What a row says became of a rollout.

    :param row_version: the store's version of the row; one older than the order's
        tells of an earlier order for the same version.
    :param epoch: of that version.
    """

    version: str
    state: State
    row_version: int
    epoch: int = 0


class Rollout:
    """One order and what we know of it.

    :param revision: the store's version of the order's row; names the attempt.
    :param started_at: when the order was given, by this process's clock.
    :param epoch: the store's epoch in which the revision holds.
    """

    __slots__ = (
        "order",
        "revision",
        "epoch",
        "_names",
        "started_at",
        "kept",
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
        self._names: set[tuple[int, int]] = set()
        self.rename(epoch, revision)
        self.started_at = started_at
        self.kept = rollout_sessions.KeptSessions(session_s)
        self.state = State.RUNNING
        # Stopped by evidence, here or elsewhere, whatever the rows say yet.
        self.halted = False
        # The state that the outcome's row shows; ``None`` while there is no row.
        self.written: State | None = None

    def rename(self, epoch: int, revision: int) -> None:
        """Take the version that the order's row has after a restore of the store."""
        self.epoch, self.revision = epoch, revision
        # Gateways that know no epochs tell of it without one.
        self._names |= {(epoch, revision), (0, revision)}

    @property
    def point(self) -> tuple[int, int]:
        """The epoch and version of the order's row; a greater one is later."""
        return self.epoch, self.revision

    def is_named(self, epoch: int, revision: int) -> bool:
        """Whether this is or was the name of the attempt."""
        return (epoch, revision) in self._names

    @property
    def label(self) -> str:
        """The name of this attempt in the evidence."""
        return f"{self.order.service}@{self.order.to_version}#{self.revision}"

    def passed(self, now: float) -> float:
        """Give the share of the rollout's time that has passed."""
        return (now - self.started_at) / max(0.001, self.order.finish_s)

    def keeps_sessions(self, now: float) -> bool:
        """Whether sessions that go on stay where they are."""
        return self.state is State.RUNNING and self.passed(now) < STEPS[0][0]

    def is_held(self, now: float) -> bool:
        """Whether not everybody has told yet which sessions go on."""
        return now < self.started_at + min(HOLD_S, HOLD_SHARE * self.order.finish_s)


class Assignment(typing.NamedTuple):
    """Where a session stands in a rollout.

    :param on_new: whether it gets the new version.
    """

    rollout: Rollout
    on_new: bool

    def takes(self, version: str) -> bool:
        """Whether the session's requests may run on a version."""
        return (version == self.rollout.order.to_version) == self.on_new
