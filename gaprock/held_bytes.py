"""The account of the bytes that a gateway holds for callers, and its decisions.

Load condition: callers that read their answers or send their requests slowly, on
machines with little memory.  Each call has a holding with its bytes by kind.  The sum
counts against a budget.  Within it, a stream whose caller reads slowly goes on being
read from its endpoint, because an endpoint aborts an answer that stays unread.  Nothing
here uses the network: a holding gets a function that disconnects its caller.
"""

import enum
import threading
import typing

from gaprock import eventlog

# Share of the process's memory that may hold callers' bytes.  An idle gateway takes
# half of the smallest machine's 128 MB, and the threads of its open calls a quarter
# (see ``gateway_node.CALLS_PER_MB``).
BUDGET_SHARE: typing.Final = 0.2
MB: typing.Final = 1024 * 1024
# Share of the budget that streams may fill.  The rest is kept for requests, so that
# slow readers do not make a gateway refuse new work.
STREAM_SHARE: typing.Final = 0.75
# A stream may hold this share of what all streams together leave free, so that a single
# slow reader gets a lot and many get equal parts, with room left for the next one.
PART_SHARE: typing.Final = 0.25
# Each stream may hold what one read from its endpoint returns.
MIN_PART: typing.Final = 64 * 1024
# Bodies up to this size are read at once while the budget lasts: all open calls of the
# smallest machine with such bodies take a tenth of its budget.
SMALL_BODY: typing.Final = 16 * 1024
# Above this share of the budget, larger bodies are read later.
READ_LATER_SHARE: typing.Final = 0.8
# Longest delay of a body, seconds: the shortest goal of a route is 0.16 s, and a caller
# that is refused can still try another gateway within the usual goals.
READ_LATER_S: typing.Final = 0.25
# Each delayed body keeps a thread.  More are refused.
MAX_DELAYED: typing.Final = 8
# Shortest and longest retry time of a refused body, seconds.
RETRY_S: typing.Final = (0.2, 1.0)
# A reader whose oldest unread byte is older than this is slow, seconds.  It exceeds the
# longest pause between events that any route allows (1.2 s), so a caller that still
# takes its events in time is never slow.
SLOW_S: typing.Final = 2.0
# When this share of the calls that a gateway may serve is open, slow readers make room
# for others.
CROWDED_SHARE: typing.Final = 0.9


class Kind(enum.StrEnum):
    """What bytes are held for."""

    # Of requests, read from callers.
    BODY = "body"
    # Of streams, not yet read by callers.
    STREAM = "stream"
    # Of whole answers, read from endpoints or not yet read by callers.
    ANSWER = "answer"


class Verdict(enum.Enum):
    """What to do with the body of a new request."""

    READ = enum.auto()
    LATER = enum.auto()
    REFUSE = enum.auto()


class Holding:
    """The bytes held for one call; guarded by its account's lock.

    :param disconnect: cuts the caller's connection; may be called from any thread.
    """

    __slots__ = (
        "account",
        "request",
        "workspace",
        "disconnect",
        "held",
        "promised",
        "promised_until",
        "behind_since",
        "is_cut",
    )

    def __init__(
        self, account: "Account", disconnect: typing.Callable[[], None]
    ) -> None:
        self.account = account
        self.request = "unchecked"
        self.workspace = "none"
        self.disconnect = disconnect
        self.held: dict[Kind, int] = {}
        # Size of a body that is being read, and until when all of it is expected.
        self.promised = 0
        self.promised_until = 0.0
        # Since when the caller has been behind: when the oldest byte was queued that it
        # has not taken, or when its request began to arrive; 0 if it is not behind.
        self.behind_since = 0.0
        self.is_cut = False

    @property
    def total(self) -> int:
        """Bytes of all kinds."""
        return sum(self.held.values())

    @property
    def is_reading(self) -> bool:
        """Whether it holds bytes of an answer."""
        return any(self.held.get(kind) for kind in (Kind.STREAM, Kind.ANSWER))

    def name(self, request: str, workspace: str) -> None:
        """Record whose call it is, once that is known."""
        self.request, self.workspace = request, workspace


class Account:
    """All holdings of a gateway, against its budget; thread-safe.

    :param max_calls: number of calls that the gateway serves at a time.
    """

    def __init__(self, memory_mb: float, max_calls: int) -> None:
        self._lock = threading.Lock()
        self._holdings: set[Holding] = set()
        self._used = dict.fromkeys(Kind, 0)
        # Holdings that were cut and their bytes, until their threads release them.
        self._cut: set[Holding] = set()
        self._cut_bytes = 0
        # Holdings of bodies that are being read.
        self._promised: set[Holding] = set()
        self._max_calls = max_calls
        self._delayed = 0
        self.budget = 0
        # Callers disconnected and bodies refused since the start.
        self.cut_count = 0
        self.refused_count = 0
        self.set_memory(memory_mb, 0.0)

    def set_memory(self, memory_mb: float, now: float) -> None:
        """Apply a memory limit; slow readers above a smaller budget are cut."""
        self.budget = int(BUDGET_SHARE * memory_mb * MB)
        self._relieve(now)

    # -- Holdings --

    def open(self, disconnect: typing.Callable[[], None], now: float) -> Holding:
        """Add the holding of a call; a slow reader makes room if calls are scarce."""
        holding = Holding(self, disconnect)
        with self._lock:
            self._holdings.add(holding)
            alive = len(self._holdings) - len(self._cut)
            is_crowded = alive > CROWDED_SHARE * self._max_calls
            slow = self._slowest(now) if is_crowded else None
            if slow is not None:
                self._mark_cut(slow)
        if slow is not None:
            self._disconnect(slow, now, "calls")
        return holding

    def close(self, holding: Holding) -> None:
        """Release all bytes of a call."""
        with self._lock:
            for kind, count in holding.held.items():
                self._used[kind] -= count
            if holding.is_cut:
                self._cut_bytes -= holding.total
            holding.held.clear()
            holding.behind_since = 0.0
            for known in (self._holdings, self._cut, self._promised):
                known.discard(holding)

    def set(
        self,
        holding: Holding,
        kind: Kind,
        count: int,
        now: float,
        behind_since: float = 0.0,
    ) -> None:
        """Set the bytes that a call holds of one kind.

        :param behind_since: when the oldest of them was queued for a reader.
        """
        with self._lock:
            if holding not in self._holdings:
                return
            change = count - holding.held.get(kind, 0)
            holding.held[kind] = count
            holding.behind_since = behind_since
            self._used[kind] += change
            if holding.is_cut:
                self._cut_bytes += change
        if change > 0:
            self._relieve(now, is_request=kind is Kind.BODY)

    # -- Decisions --

    def part(self) -> int:
        """Return how many bytes a stream may hold now."""
        free = STREAM_SHARE * self.budget - self._used[Kind.STREAM]
        return max(MIN_PART, int(PART_SHARE * free))

    def promise(self, holding: Holding, length: int, now: float) -> None:
        """Count a body that is about to be read as held.

        The part of it that does not arrive within ``SLOW_S`` counts only as it arrives.
        Otherwise, callers that send slowly would take up the budget with bytes that the
        gateway does not hold.
        """
        with self._lock:
            holding.promised, holding.promised_until = length, now + SLOW_S
            if length:
                self._promised.add(holding)
            else:
                self._promised.discard(holding)

    def judge_body(self, length: int, now: float) -> Verdict:
        """Decide whether to read a body of a length now."""
        with self._lock:
            missing = sum(
                max(0, one.promised - one.held.get(Kind.BODY, 0))
                for one in self._promised
                if now < one.promised_until and not one.is_cut
            )
            after = self._in_use() + missing + length
            if after > self.budget:
                return Verdict.REFUSE
            if length <= SMALL_BODY or after <= READ_LATER_SHARE * self.budget:
                return Verdict.READ
            return Verdict.LATER if self._delayed < MAX_DELAYED else Verdict.REFUSE

    def record_delay(self, change: int) -> None:
        """Record that a body's delay began (1) or ended (-1)."""
        with self._lock:
            self._delayed += change

    def record_refused(self, length: int) -> float:
        """Record that a body was refused, and return its retry time, seconds.

        The retry time grows with the part of the budget that is in use.
        """
        with self._lock:
            self.refused_count += 1
            used = self._in_use()
        shortest, longest = RETRY_S
        share = min(1.0, used / self.budget) if self.budget else 1.0
        retry_s = shortest + share * (longest - shortest)
        eventlog.info(
            "body-refused", bytes=length, held=used, budget=self.budget, retry_s=retry_s
        )
        return retry_s

    # -- Figures --

    @property
    def used(self) -> dict[Kind, int]:
        """Bytes held now, by kind."""
        with self._lock:
            return dict(self._used)

    def by_workspace(self) -> dict[str, int]:
        """Return the bytes held now by workspace."""
        totals: dict[str, int] = {}
        with self._lock:
            for one in self._holdings:
                totals[one.workspace] = totals.get(one.workspace, 0) + one.total
        return totals

    def slow_count(self, now: float) -> int:
        """Return the number of callers that read slowly now."""
        with self._lock:
            return sum(_is_slow(one, now) for one in self._holdings)

    # -- Cuts --

    def _in_use(self) -> int:
        return sum(self._used.values()) - self._cut_bytes

    def _relieve(self, now: float, is_request: bool = False) -> None:
        """Cut the slowest callers while the budget is exceeded.

        :param is_request: whether a request exceeded it.  Then only a slow sender is
            cut: a request can be refused, but a cut answer has run.
        """
        while True:
            with self._lock:
                cut = sum(one.held.get(Kind.STREAM, 0) for one in self._cut)
                streams = self._used[Kind.STREAM] - cut
                is_over = self._in_use() > self.budget
                is_full = streams > STREAM_SHARE * self.budget
                if not is_over and (is_request or not is_full):
                    return
                slow = self._slowest(now, 0.0, is_request, only_streams=not is_over)
                if slow is None:
                    return
                self._mark_cut(slow)
            self._disconnect(slow, now, "budget")

    def _slowest(
        self,
        now: float,
        min_age_s: float = SLOW_S,
        only_senders: bool = False,
        only_streams: bool = False,
    ) -> Holding | None:
        """Return the caller that has been behind for longest.

        Callers that hold little come last, since a cut would free little.
        """
        behind = [
            one
            for one in self._holdings
            if one.behind_since
            and not one.is_cut
            and now - one.behind_since >= min_age_s
            and not (only_senders and one.is_reading)
            and not (only_streams and not one.held.get(Kind.STREAM))
        ]
        behind = [one for one in behind if one.total >= SMALL_BODY] or behind
        return min(behind, key=lambda one: one.behind_since, default=None)

    def _mark_cut(self, holding: Holding) -> None:
        holding.is_cut = True
        self._cut.add(holding)
        self._cut_bytes += holding.total
        self.cut_count += 1

    def _disconnect(self, holding: Holding, now: float, scarce: str) -> None:
        eventlog.warning(
            "caller-cut",
            request=holding.request,
            workspace=holding.workspace,
            held=holding.total,
            behind_s=now - holding.behind_since if holding.behind_since else 0.0,
            scarce=scarce,
            used=sum(self._used.values()),
            budget=self.budget,
        )
        holding.disconnect()


def _is_slow(holding: Holding, now: float) -> bool:
    return bool(holding.behind_since) and now - holding.behind_since >= SLOW_S
