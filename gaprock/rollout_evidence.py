"""What answers tell of the versions in a rollout, for each route and in all."""

import threading

from gaprock import evidence, messages, policy_api, rollout_latency


class RolloutEvidence:
    """The evidence on all rollouts, by their labels; safe for all threads."""

    __slots__ = ("_guard", "_book", "_lock", "_paces", "_routes")

    def __init__(self, guard: policy_api.Guard, book: evidence.EvidenceBook) -> None:
        self._guard = guard
        self._book = book
        # The guard's records belong to whoever holds it.
        self._lock = threading.Lock()
        # How long the stable version's answers take, by service and kind of answer.
        self._paces: dict[tuple[str, str], rollout_latency.Pace] = {}
        # Routes with evidence of their own.
        self._routes: dict[str, set[str]] = {}

    def weigh(
        self,
        service: str,
        kind: str,
        answer: rollout_latency.VersionSample,
        is_new: bool,
    ) -> str | None:
        """Say what an answer holds against its version; empty for nothing.

        :param kind: the answers whose times are alike.
        :param is_new: whether it is the new version's, by which nothing is learned.
        :returns: ``None`` for a send without an answer that is not late yet.
        """
        # Times and multiples of what was expected are not to be compared.
        unit = "seconds" if answer.expected_s is None else "multiple"
        pace = self._paces.setdefault(
            (service, f"{kind}/{unit}"), rollout_latency.Pace()
        )
        slow = answer.slow(pace)
        if answer.is_open and not slow:
            return None
        if answer.took is not None and not is_new and not answer.failed:
            pace.add(answer.took)
        if answer.failed:
            return "failed"
        return "slow" if slow else ""

    def count(self, label: str, route: str, is_new: bool, bad: bool) -> None:
        """Count an answer."""
        side = "new" if is_new else "old"
        self._book.count(f"{label}/{side}", bad, False)
        self._book.count(f"{label}/{side}/{route}", bad, False)
        self._routes.setdefault(label, set()).add(route)

    def rename(self, label: str, new_label: str) -> None:
        """Go on with the evidence of an attempt under another label."""
        self._book.copy(f"{label}/", f"{new_label}/")
        routes = self._routes.get(label, set())
        self._routes.setdefault(new_label, set()).update(routes)

    def learn_routes(self, counters: list[messages.Evidence]) -> None:
        """Learn from others' evidence which routes a rollout has."""
        for counts in counters:
            label, _, rest = counts.version.partition("/")
            route = rest.partition("/")[2]
            if route:
                self._routes.setdefault(label, set()).add(route)

    def reason_to_stop(self, label: str) -> str:
        """Say why the new version must stop; empty while it need not."""
        for tail in self._tails(label):
            new = self._book.totals(f"{label}/new{tail}")
            old = self._book.totals(f"{label}/old{tail}")
            with self._lock:
                bad = self._guard.is_bad(
                    f"{label}{tail}",
                    policy_api.Counts(new.answers, new.bad),
                    policy_api.Counts(old.answers, old.bad),
                )
            if bad:
                reason = f"{new.bad} of {new.answers} answers bad{tail}"
                return f"{reason}, stable {old.bad} of {old.answers}"
        return ""

    def is_suspected(self, label: str) -> bool:
        """Whether the latest evidence speaks against the new version."""
        with self._lock:
            return any(
                self._guard.is_suspected(f"{label}{tail}")
                for tail in self._tails(label)
            )

    def _tails(self, label: str) -> list[str]:
        """Give what evidence is kept under: the whole, and each route."""
        return ["", *(f"/{route}" for route in sorted(self._routes.get(label, ())))]
