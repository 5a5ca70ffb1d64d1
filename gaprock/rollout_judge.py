"""The evidence on the versions of rollouts, and what it decides.

Each send counts for the exposure of its version, and each answer for or against it.
The new version is halted by what speaks against it.  The stable one is withdrawn if
the version before it is ordered again and fails less.
"""

import typing

from gaprock import (
    clock,
    evidence,
    relative_times,
    rollout_evidence,
    rollout_exposure,
    rollout_latency,
    rollout_orders,
    rollout_state,
    version_roles,
    version_sends,
)

# Evidence is judged at most this often, but each answer while there are only a few.
JUDGE_S: typing.Final = 0.1
FEW_ANSWERS: typing.Final = 40


class JudgedOrders(rollout_orders.OrderBook):
    """The rollouts, and the evidence on their versions; thread-safe.

    :param idle_s: the longest pause between requests of one session.
    :param allowance: how many sends a new version may get.
    :param versions_of: returns the versions that a service's endpoints run; ``None`` if
        that cannot be known.
    """

    def __init__(
        self,
        clock_: clock.Clock,
        idle_s: float,
        evidence_: evidence.EvidenceBook,
        allowance: rollout_exposure.Allowance,
        versions_of: typing.Callable[[str], set[str]] | None = None,
    ) -> None:
        super().__init__(clock_, idle_s, versions_of)
        self._evidence = rollout_evidence.RolloutEvidence(evidence_)
        self._sends = rollout_exposure.SendCounter(evidence_)
        self._allowance = allowance
        self.version_sends = version_sends.VersionSends()

    def judge_answer(
        self,
        service: str,
        version: str,
        route: str,
        kind: str,
        answer: rollout_latency.VersionSample,
    ) -> str:
        """Count an answer for or against its version.

        :param kind: groups the answers of a route with comparable latencies, such as
            by model.
        :returns: what the answer holds against its version; empty for nothing.
        """
        rollout = self._by_service.get(service)
        is_new = self._is_on_trial(rollout, version)
        if not is_new and version in self.roles.withdrawn(service):
            # The ordered version is compared with sound ones.
            return ""
        verdict = self._evidence.weigh(service, f"{route}/{kind}", answer, is_new)
        if verdict is None:
            return ""
        if rollout is not None and rollout.state is rollout_state.State.RUNNING:
            group = rollout_evidence.NO_GROUP
            if is_new:
                group = rollout_evidence.group_of(answer.endpoint)
            period = rollout.period(self._clock.now() - answer.age_s)
            cell = rollout_evidence.Cell(is_new, period, group, route)
            self._evidence.count(rollout.label, cell, verdict)
            if is_new and (verdict.against or self._is_judgement_due(rollout)):
                self._judge(rollout)
        return verdict.against

    def record_send(self, service: str, version: str) -> None:
        """Count a send to a version of a service."""
        self.version_sends.record(service, version, self.role(service, version))
        rollout = self._by_service.get(service)
        if rollout is not None and not rollout.is_over(self._clock.now()):
            self._sends.record(rollout.label, self._is_on_trial(rollout, version))

    def _is_on_trial(self, rollout: rollout_state.Rollout | None, version: str) -> bool:
        """Whether a version is the ordered one, and not a return to the stable one."""
        if rollout is None or version != rollout.order.to_version:
            return False
        return not self.is_return(rollout)

    def exposure(self, rollout: rollout_state.Rollout) -> rollout_exposure.Sends:
        """Return the sends of all gateways since the order, as far as known here."""
        return self._sends.fleet(rollout.label)

    def allowed_exposure(self, rollout: rollout_state.Rollout) -> float:
        """Return how many sends to the new version these sends allow."""
        return self._allowance.limit(self.exposure(rollout).total)

    def answers(
        self, rollout: rollout_state.Rollout
    ) -> dict[str, relative_times.Counts]:
        """Return the answers of each version by bin, as far as known here."""
        return self._evidence.by_side(rollout.label)

    def _on_renamed(self, label: str, new_label: str) -> None:
        """Keep the evidence on a rollout under its new label."""
        self._evidence.rename(label, new_label)

    def is_judged(self, service: str) -> bool:
        """Whether answers of a service count as evidence now."""
        rollout = self._by_service.get(service)
        return rollout is not None and rollout.state is rollout_state.State.RUNNING

    def is_canary(self, service: str, version: str) -> bool:
        """Whether a version is the new one of a running rollout."""
        rollout = self._by_service.get(service)
        if rollout is None or rollout.state is not rollout_state.State.RUNNING:
            return False
        return self._is_on_trial(rollout, version)

    def judge_all(self) -> None:
        """Judge all rollouts again, after evidence from peers."""
        for rollout in self.all():
            if self._is_judgement_due(rollout):
                self._judge_stable(rollout)
                self._judge(rollout)

    def _judge_stable(self, rollout: rollout_state.Rollout) -> None:
        """Withdraw the stable version if it fails more than the one before it.

        Operators go back to the version before when one turns out to be bad after it
        was completed.
        """
        order = rollout.order
        if not self.roles.is_former_stable(order.service, order.to_version):
            return
        if rollout.state is not rollout_state.State.RUNNING or rollout.halted:
            return
        if self._evidence.is_old_worse(rollout.label):
            self.roles.record(
                order.service,
                self.roles.stable(order.service),
                version_roles.Role.WITHDRAWN,
                rollout.order_version,
                "fails more than the version before it",
                is_replaced=True,
            )

    def is_doubted(self, rollout: rollout_state.Rollout) -> bool:
        """Whether the evidence was against the new version at all, even weakly."""
        return self._evidence.is_doubted(rollout.label)

    def is_suspected(self, rollout: rollout_state.Rollout) -> bool:
        """Whether the evidence was against the new version when last judged."""
        return self._evidence.is_suspected(rollout.label)

    def _is_judgement_due(self, rollout: rollout_state.Rollout) -> bool:
        """Whether new evidence is to be judged now, which takes processor time."""
        if self._clock.now() >= rollout.judged_at + JUDGE_S:
            return True
        return self._evidence.counts(rollout.label)["new_answers"] <= FEW_ANSWERS

    def _judge(self, rollout: rollout_state.Rollout) -> None:
        if rollout.state is not rollout_state.State.RUNNING or rollout.halted:
            return
        rollout.judged_at = self._clock.now()
        is_alone = rollout.endpoints == 1
        reason = self._evidence.judge(rollout.label, is_alone)
        if reason:
            self.halt(rollout.order.service, rollout.revision, reason)
