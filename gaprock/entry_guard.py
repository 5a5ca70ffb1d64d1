"""Halts versions that the evidence shows to be bad; each entry does so on its own.

A halt is an urgent change, which needs neither the lease nor the table.  It stops new
sessions of the version at once on this entry, and on others as heartbeats spread it.
"""

from gaprock import config, documents, entry_publish, eventlog, evidence, policy_api


class GuardTask:
    """The periodic check of all rollouts, ended ones included."""

    __slots__ = ("_config", "_evidence", "_guard", "_publisher")

    def __init__(
        self,
        config_: config.Config,
        evidence_: evidence.EvidenceBook,
        guard: policy_api.Guard,
        publisher: entry_publish.Publisher,
    ) -> None:
        self._config = config_
        self._evidence = evidence_
        self._guard = guard
        self._publisher = publisher

    def check(self) -> None:
        """Check the version of each rollout unless it is halted or withdrawn."""
        for rollout in self._config.rollouts():
            stopped = self._config.halted(rollout.version)
            if stopped or self._config.withdrawn(rollout.version):
                continue
            self._judge(rollout)

    def _judge(self, rollout: documents.Rollout) -> None:
        label = self._config.evidence_label(rollout.version)
        stable_label = self._config.evidence_label(rollout.stable)
        tested = self._evidence.totals(label)
        stable = self._evidence.totals(stable_label)
        bad = self._guard.is_bad(
            label,
            policy_api.Counts(tested.answers, tested.bad),
            policy_api.Counts(stable.answers, stable.bad),
        )
        if not bad:
            return
        eventlog.warning(
            "version-halted",
            version=rollout.version,
            answers=tested.answers,
            bad=tested.bad,
            stable_answers=stable.answers,
            stable_bad=stable.bad,
        )
        self._publisher.publish_urgent(
            documents.Halt(
                rollout.version,
                rollout.attempt,
                f"{tested.bad} of {tested.answers} answers were bad",
            )
        )
