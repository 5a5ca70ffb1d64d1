"""Collects evidence on versions from their answers.

An answer is bad when the endpoint failed or cut it off, when its first part took
longer than the template allows, or when its rating is below the template's quality.
A share of the answers is sent to the rating service in the background; an answer that
may lead to escalation is rated at once.  Without a rating, as when the service is
limited, late or down, an answer counts as unrated.
"""

import random
import threading
import typing
from concurrent import futures

from gaprock import (
    config,
    documents,
    errorcodes,
    evidence,
    messages,
    options,
    policy_api,
    services_api,
)

WORKERS: typing.Final = 4
# Answers that may wait for a rating; further ones are not rated.
MAX_PENDING: typing.Final = 500
# Bytes of an answer that are kept for a rating in the background.
MAX_RATED_BYTES: typing.Final = 64 * 1024

BAD_CODES: typing.Final = (
    errorcodes.ENDPOINT_ERROR.number,
    errorcodes.STREAM_CUT.number,
)


class Judge:
    """Counts answers as evidence and requests ratings; thread-safe."""

    __slots__ = (
        "_cfg",
        "_rater",
        "_cascade",
        "_config",
        "_evidence",
        "_executor",
        "_pending",
        "_lock",
        "_rng",
    )

    def __init__(
        self,
        cfg: options.Options,
        rater: services_api.Rater,
        cascade: policy_api.Cascade,
        config_: config.Config,
        evidence_: evidence.EvidenceBook,
    ) -> None:
        self._cfg = cfg
        self._rater = rater
        self._cascade = cascade
        self._config = config_
        self._evidence = evidence_
        self._executor = futures.ThreadPoolExecutor(WORKERS, "rating")
        self._pending = 0
        self._lock = threading.Lock()
        self._rng = random.Random()

    def should_rate(self) -> bool:
        """Whether to rate an answer; true for a random ``rating_share`` of calls."""
        return self._rng.random() < self._cfg.rating_share

    def rate_now(
        self, template: documents.Template, version: str, body: bytes, answer: bytes
    ) -> float | None:
        """Rate an answer and count it as evidence.

        :param body: the request's body.
        :returns: ``None`` when the rating service returned no rating.
        """
        rating = self._rater.rate(template.workspace, body, answer)
        if rating is None:
            self._count(version, False, False)
            return None
        self._cascade.learn(template, version, rating)
        self._count(version, rating < template.quality, True)
        return rating

    def record_outcome(
        self,
        template: documents.Template,
        version: str,
        end: messages.End,
        body: bytes,
        answer: bytes | None,
    ) -> None:
        """Count an answer as evidence, after a rating in the background if wanted.

        :param body: the request's body.
        :param answer: the answer to rate; ``None`` when it is not to be rated.
        """
        if self.is_bad(template, end):
            self._count(version, True, False)
        elif answer is None or not self._reserve_rating():
            self._count(version, False, False)
        else:
            to_rate = answer[:MAX_RATED_BYTES]
            self._executor.submit(self._rate_pending, template, version, body, to_rate)

    def is_bad(self, template: documents.Template, end: messages.End) -> bool:
        """Whether an answer with this end counts as bad."""
        return end.code in BAD_CODES or end.first_s > template.first_part_s

    def stop(self) -> None:
        """Cancel the pending ratings."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _count(self, version: str, bad: bool, rated: bool) -> None:
        self._evidence.count(self._config.evidence_label(version), bad, rated)

    def _rate_pending(
        self, template: documents.Template, version: str, body: bytes, answer: bytes
    ) -> None:
        try:
            self.rate_now(template, version, body, answer)
        finally:
            with self._lock:
                self._pending -= 1

    def _reserve_rating(self) -> bool:
        with self._lock:
            if self._pending >= MAX_PENDING:
                return False
            self._pending += 1
            return True
