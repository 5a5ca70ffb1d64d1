"""The talk of many gateways in one thread, on a clock that is moved by hand.

Each has the real mesh, directory, rollouts and evidence; the sockets hand messages to a
queue, which may lose or keep them, and count what goes between halls.
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
# One way between two gateways, seconds; rounded up to a step.
DELAY_S: typing.Final = 0.01
SERVICE: typing.Final = "llm"


class Sock:
    """Where one gateway sends messages for another."""

    def __init__(self, fleet: "Fleet", sender: "Member", address: str) -> None:
        self._fleet = fleet
        self._sender = sender
        self._address = address

    def send(self, data: bytes, flags: int) -> None:
        self._fleet.send(self._sender, self._address, data)

    def close(self, linger: int = 0) -> None:
        pass


class Table:
    """The store as a gateway sees it: it answers, or it does not."""

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
    """One gateway."""

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
        self.table = Table()
        self.mesh.source = self.table  # type: ignore[assignment]
        self.mesh._connect = (  # type: ignore[method-assign]
            lambda context, address: Sock(fleet, self, address)
        )
        self.look_at = 0.0
        # A process that is gone, or stands still and keeps what comes.
        self.is_dead = False
        self.is_frozen = False
        self.kept: list[bytes] = []

    @property
    def rollout(self) -> rollout_state.Rollout:
        """The one rollout."""
        return self.book.all()[0]

    def step(self, now: float) -> None:
        """Do what the mesh's thread would do now."""
        self.mesh._connect_found(None)
        if now >= self.look_at or self.mesh._urgent_news() != self.mesh._urgent:
            self.look_at = now + 0.2
            self.mesh._look(None, now)

    def take(self, data: bytes) -> None:
        if self.is_frozen:
            self.kept.append(data)
        elif not self.is_dead:
            self.mesh._take(data)


class Fleet:
    """The gateways and the way between them."""

    def __init__(self, halls: int, each: int) -> None:
        self.time = clock.ManualClock(100.0)
        self.members = [
            Member(self, f"h{hall}", number)
            for hall in range(halls)
            for number in range(each)
        ]
        self._by_address = {m.address: m for m in self.members}
        # Messages under way: when they come, for whom.
        self._under_way: list[tuple[float, Member, bytes]] = []
        # Gateways from which nothing comes, though they hear all.
        self.mute: set[str] = set()
        self.far_messages = self.far_bytes = self.near_bytes = 0
        found = [
            mesh_members.PeerAddress(m.address, m.hall, m.name) for m in self.members
        ]
        order = gateway_api.RolloutOrder(SERVICE, "v2", 60.0)
        for number, member in enumerate(self.members):
            member.mesh.found(found)
            # They begin at unlike moments.
            member.look_at = self.time.now() + 0.2 * number / len(self.members)
            member.book.add_order(order, 1, self.time.now())

    def join(self, member: Member) -> None:
        """Take a gateway in that starts late."""
        self.members.append(member)
        self._by_address[member.address] = member

    def hall(self, hall: str) -> list[Member]:
        """Give a hall's gateways."""
        return [m for m in self.members if m.hall == hall]

    def living(self) -> list[Member]:
        """Give the gateways that run."""
        return [m for m in self.members if not m.is_dead and not m.is_frozen]

    def hall_relays(self) -> list[Member]:
        """Give those that hold themselves for carriers."""
        return [m for m in self.living() if m.mesh._carried]

    def send(self, sender: Member, address: str, data: bytes) -> None:
        """Take a message on its way."""
        if sender.name in self.mute:
            return
        receiver = self._by_address[address]
        if receiver.hall == sender.hall:
            self.near_bytes += len(data)
        else:
            self.far_messages += 1
            self.far_bytes += len(data)
        self._under_way.append((self.time.now() + DELAY_S, receiver, data))

    def run(
        self, seconds: float, until: typing.Callable[[], bool] = lambda: False
    ) -> float:
        """Let time pass.

        :returns: the seconds that passed before ``until`` held, or all of them.
        """
        began = self.time.now()
        while self.time.now() < began + seconds and not until():
            self.time.advance(STEP_S)
            now = self.time.now()
            due = [one for one in self._under_way if one[0] <= now]
            self._under_way = [one for one in self._under_way if one[0] > now]
            for _, receiver, data in due:
                receiver.take(data)
            for member in self.living():
                member.step(now)
        return self.time.now() - began

    def wake(self, member: Member) -> None:
        """Have a frozen gateway go on; what came meanwhile it reads at once."""
        member.is_frozen = False
        kept, member.kept = member.kept, []
        for data in kept:
            member.take(data)
