"""Simulation of the gossip of many gateways, in one thread and on a manual clock.

Each gateway has the real mesh, directory, rollouts and evidence.  The sockets put their
messages into a queue, which may drop or hold them, and the traffic in halls and between
them is counted.
"""

import typing

from gaprock import (
    clock,
    directory,
    evidence,
    gateway_api,
    mesh,
    mesh_members,
    quarantine,
    rollout_state,
)
from gaprock.test import rolloutcase

STEP_S: typing.Final = 0.02
# Delay of a message between two gateways; rounded up to a step.
DELAY_S: typing.Final = 0.01
SERVICE: typing.Final = "llm"


class FakeSocket:
    """The sending side of a connection from one gateway to another."""

    def __init__(self, fleet: "Fleet", sender: "Member", address: str) -> None:
        self._fleet = fleet
        self._sender = sender
        self._address = address

    def send(self, data: bytes, flags: int) -> None:
        self._fleet.send(self._sender, self._address, data)

    def close(self, linger: int = 0) -> None:
        pass


class FakeRowSource:
    """A source of rows that has none; its store answers or does not."""

    def __init__(self) -> None:
        self.answers = True

    def news(self) -> list[typing.Any]:
        return []

    def epoch_age_s(self) -> int:
        return 0

    def config_number(self) -> int:
        return 0

    def lacks_config(self, number: int, orders: object) -> bool:
        return False

    def own_verified_at(self) -> list[float]:
        return []

    def has_store(self) -> bool:
        return self.answers

    def reads_store(self) -> bool:
        return self.answers

    def record_news(
        self, table: int, news: object, is_far: bool, epoch_age_s: float
    ) -> bool:
        """Whether a peer's copy would help."""
        return False

    def delta_base(self, table: int) -> tuple[int, int]:
        return 0, -1


class Member:
    """A simulated gateway."""

    def __init__(self, fleet: "Fleet", hall: str, number: int) -> None:
        self.name = f"gw-{hall}-{number:03}"
        self.hall = hall
        self.address = f"tcp://{self.name}"
        time = fleet.time
        self.book = rolloutcase.make_rollouts(time)
        self.evidence = evidence.EvidenceBook(f"{self.name}/x")
        self.directory = directory.Directory(time, 2.0)
        self.quarantine = quarantine.Quarantine(time)
        self.mesh = mesh.Mesh(
            self.name,
            hall,
            self.address,
            time,
            self.directory,
            self.book,
            self.evidence,
            self.quarantine,
        )
        self.table = FakeRowSource()
        self.mesh.source = self.table  # type: ignore[assignment]
        self.mesh._connect = (  # type: ignore[method-assign]
            lambda context, address: FakeSocket(fleet, self, address)
        )
        self.look_at = 0.0
        # A dead process drops what it receives; a frozen one keeps it until it runs on.
        self.is_dead = False
        self.is_frozen = False
        self.kept: list[bytes] = []

    @property
    def rollout(self) -> rollout_state.Rollout:
        """The one rollout."""
        return self.book.all()[0]

    def step(self, now: float) -> None:
        """Run what the mesh's thread would run now."""
        self.mesh._connect_new(None)
        if now >= self.look_at or self.mesh._urgent_news() != self.mesh._urgent:
            self.look_at = now + 0.2
            self.mesh._run_due_tasks(None, now)

    def take(self, data: bytes) -> None:
        if self.is_frozen:
            self.kept.append(data)
        elif not self.is_dead:
            self.mesh._handle(data)


class Fleet:
    """The gateways and the network between them."""

    def __init__(self, halls: int, each: int) -> None:
        self.time = clock.ManualClock(100.0)
        self.members = [
            Member(self, f"h{hall}", number)
            for hall in range(halls)
            for number in range(each)
        ]
        self._by_address = {m.address: m for m in self.members}
        # Messages in transit: the time of arrival, the receiver and the bytes.
        self._in_transit: list[tuple[float, Member, bytes]] = []
        # Names of gateways whose messages are lost, though they receive all others'.
        self.mute: set[str] = set()
        self.far_messages = self.far_bytes = self.near_bytes = 0
        found = [
            mesh_members.PeerAddress(m.address, m.hall, m.name) for m in self.members
        ]
        order = gateway_api.RolloutOrder(SERVICE, "v2", 60.0)
        for number, member in enumerate(self.members):
            member.mesh.add_addresses(found)
            # Their heartbeats start at different times.
            member.look_at = self.time.now() + 0.2 * number / len(self.members)
            member.book.add_order(order, 1, self.time.now())

    def join(self, member: Member) -> None:
        """Add a gateway that starts late."""
        self.members.append(member)
        self._by_address[member.address] = member

    def hall(self, hall: str) -> list[Member]:
        """Return a hall's gateways."""
        return [m for m in self.members if m.hall == hall]

    def living(self) -> list[Member]:
        """Return the gateways that run."""
        return [m for m in self.members if not m.is_dead and not m.is_frozen]

    def hall_relays(self) -> list[Member]:
        """Return the running gateways that act as relays."""
        return [m for m in self.living() if m.mesh._is_relay]

    def send(self, sender: Member, address: str, data: bytes) -> None:
        """Count a message, and put it in transit."""
        if sender.name in self.mute:
            return
        receiver = self._by_address[address]
        if receiver.hall == sender.hall:
            self.near_bytes += len(data)
        else:
            self.far_messages += 1
            self.far_bytes += len(data)
        self._in_transit.append((self.time.now() + DELAY_S, receiver, data))

    def run(
        self, seconds: float, until: typing.Callable[[], bool] = lambda: False
    ) -> float:
        """Advance the time, until a condition holds if there is one.

        :returns: the seconds that passed before ``until`` held, or all of them.
        """
        began = self.time.now()
        while self.time.now() < began + seconds and not until():
            self.time.advance(STEP_S)
            now = self.time.now()
            due = [one for one in self._in_transit if one[0] <= now]
            self._in_transit = [one for one in self._in_transit if one[0] > now]
            for _, receiver, data in due:
                receiver.take(data)
            for member in self.living():
                member.step(now)
        return self.time.now() - began

    def wake(self, member: Member) -> None:
        """Let a frozen gateway run on; it reads all that it received meanwhile."""
        member.is_frozen = False
        kept, member.kept = member.kept, []
        for data in kept:
            member.take(data)
