"""The components of a rollout, with a store whose answers are scripted."""

import typing

import msgspec

from gaprock import (
    clock,
    directory,
    evidence,
    freshness,
    gateway_api,
    mesh,
    quarantine,
    rollout_writer,
    rollouts,
    store_epochs,
)
from gaprock.platform import wire

SLACK: typing.Final = 30.0
OUTCOMES: typing.Final = wire.PlatformDialect.tables.outcomes


class ScriptedStore(gateway_api.SharedStore):
    """A store that returns scripted answers."""

    __slots__ = ("pages", "commits", "answers")

    def __init__(self) -> None:
        self.pages: list[gateway_api.Page | Exception] = []
        self.commits: list[list[gateway_api.Write]] = []
        self.answers: list[int | Exception] = []

    def _next(self) -> gateway_api.Page:
        page = self.pages.pop(0)
        if isinstance(page, Exception):
            raise page
        return page

    def read(self, table: str) -> gateway_api.Page:
        return self._next()

    def changes(self, table: str, since: int) -> gateway_api.Page:
        return self._next()

    def commit(self, writes: list[gateway_api.Write]) -> int:
        if writes[0].table == wire.PlatformDialect.tables.own:
            # The record of a move; these succeed.
            return 1
        self.commits.append(writes)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class ModelStore(gateway_api.SharedStore):
    """Keeps the row of the outcome; the state machine sets the result of each write."""

    __slots__ = (
        "version",
        "row",
        "history",
        "write_result",
        "late",
        "is_away",
        "has_moved",
    )

    def __init__(self) -> None:
        # The first transaction was the rollout order.
        self.version = 1
        self.row: gateway_api.Row | None = None
        self.history: list[str] = []
        # The result of the next write: answered, unanswered, late or lost.
        self.write_result = "answered"
        self.late: list[gateway_api.Write] = []
        # Whether it answers nobody.
        self.is_away = False
        # Whether it is recorded that all requests may have moved.
        self.has_moved = False

    def commit(self, writes: list[gateway_api.Write]) -> int:
        if self.is_away:
            raise gateway_api.StoreError("away")
        outcome = next((w for w in writes if w.table == OUTCOMES), None)
        if outcome is None:
            return self._write_start(writes[0])
        write_result, self.write_result = self.write_result, "answered"
        if write_result == "late":
            self.late.append(outcome)
        if write_result in ("late", "lost"):
            raise gateway_api.StoreError("no answer")
        done = self.write(outcome)
        if write_result == "unanswered":
            raise gateway_api.StoreError("no answer")
        return done

    def _write_start(self, write: gateway_api.Write) -> int:
        if self.write_result in ("late", "lost"):
            raise gateway_api.StoreError("no answer")
        self.has_moved = True
        if self.write_result == "unanswered":
            raise gateway_api.StoreError("no answer")
        return 1

    def write(self, write: gateway_api.Write) -> int:
        """Apply a write if its condition holds; return its version, otherwise 0."""
        version = self.row.version if self.row else 0
        if write.expect is not None and write.expect != version:
            return 0
        assert write.value is not None
        self.version += 1
        self.row = gateway_api.Row(write.key, write.value, self.version)
        self.history.append(msgspec.json.decode(write.value)["State"])
        return self.version


def order(finish_s: float = 20.0) -> gateway_api.RolloutOrder:
    return gateway_api.RolloutOrder("llm", "v2", finish_s)


def order_value(service: str, version: str, finish_s: float) -> bytes:
    """Return the value of an order's row."""
    doc = {"Service": service, "ToVersion": version, "FinishByS": finish_s}
    return msgspec.json.encode(doc)


def decode_outcome(value: bytes | None) -> dict[str, str]:
    """Return an outcome's row, decoded; empty without one."""
    return msgspec.json.decode(value, type=dict[str, str]) if value else {}


def make_rollouts(time: clock.Clock) -> rollouts.Rollouts:
    book = evidence.EvidenceBook("me")
    return rollouts.Rollouts(time, 0.15, book, canary_slack=SLACK)


def make_writer(
    name: str,
    time: clock.Clock,
    store: gateway_api.SharedStore,
    book: rollouts.Rollouts,
    evidence_: evidence.EvidenceBook,
    epochs: store_epochs.EpochTracker | None = None,
) -> tuple[mesh.Mesh, rollout_writer.RolloutWriter]:
    """Make a gateway's mesh, which sends nothing, and its writer of outcomes.

    The store's clock is known, and equals the local one.
    """
    mesh_ = mesh.Mesh(
        name,
        "h1",
        "",
        time,
        directory.Directory(time, 2.0),
        book,
        evidence_,
        quarantine.Quarantine(time),
    )
    store_clock = freshness.StoreClock()
    store_clock.record(0.0, 0.0, 0.0)
    dialect = wire.PlatformDialect()
    writer = rollout_writer.RolloutWriter(
        time, store_clock, store, dialect, book, mesh_, epochs
    )
    return mesh_, writer


class WriterCase:
    """A writer without peers, with a scripted store."""

    def __init__(self, time: clock.ManualClock) -> None:
        self.time = time
        self.store = ScriptedStore()
        self.book = make_rollouts(time)
        self.mesh, self.writer = make_writer(
            "me", time, self.store, self.book, evidence.EvidenceBook("me")
        )
        self.on_old = 0
        self.mesh.own_on_old_version = lambda service: self.on_old

    def step_for(self, for_s: float) -> None:
        """Let time pass, and run the writer meanwhile."""
        for _ in range(round(for_s / 0.2)):
            self.time.advance(0.2)
            self.writer.step()

    def written(self) -> list[str]:
        first = [writes[0] for writes in self.store.commits]
        return [msgspec.json.decode(w.value or b"")["State"] for w in first]
