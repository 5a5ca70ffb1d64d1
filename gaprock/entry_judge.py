"""What each answer says of its version: the entry's evidence.

An answer is bad when the endpoint failed or broke off, when its first part came
later after the call than the template allows, or when its rating is below the
template's quality.  The rating service is asked in the background, for a share
of the answers; it may be limited, late or down, and then no rating counts.
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
# Answers that wait for a rating; more are not rated.
MAX_WAITING: typing.Final = 500
# Bytes of an answer that are kept for its rating.
MAX_RATED_BYTES: typing.Final = 64 * 1024

BAD_CODES: typing.Final = (
    errorcodes.ENDPOINT_ERROR.number,
    errorcodes.STREAM_CUT.number,
)


class Judge:
    """Counts answers as evidence and asks for ratings; safe for all threads."""

    __slots__ = (
        "_cfg",
        "_rater",
        "_cascade",
        "_config",
        "_evidence",
        "_executor",
        "_waiting",
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
        self._waiting = 0
        self._lock = threading.Lock()
        self._rng = random.Random()

    def wants_rating(self) -> bool:
        """Whether the next answer should be kept for a rating."""
        return self._rng.random() < self._cfg.rating_share

    def rate_now(
        self, template: documents.Template, version: str, body: bytes, answer: bytes
    ) -> float | None:
        """Rate an answer and count it as evidence.

        :returns: ``None`` when the rating service gives no rating now.
        """
        rating = self._rater.rate(template.workspace, body, answer)
        if rating is None:
            self._count(version, False, False)
            return None
        self._cascade.learn(template, version, rating)
        self._count(version, rating < template.quality, True)
        return rating

    def conclude(
        self,
        template: documents.Template,
        version: str,
        end: messages.End,
        body: bytes,
        answer: bytes | None,
    ) -> None:
        """Count an answer that nobody waits to see rated.

        :param answer: kept for a rating; ``None`` when it is not to be rated.
        """
        if self.is_bad(template, end):
            self._count(version, True, False)
        elif answer is None or not self._has_room():
            self._count(version, False, False)
        else:
            kept = answer[:MAX_RATED_BYTES]
            self._executor.submit(self._rate_waiting, template, version, body, kept)

    def is_bad(self, template: documents.Template, end: messages.End) -> bool:
        """Whether the end of an answer speaks against its version."""
        return end.code in BAD_CODES or end.first_s > template.first_part_s

    def stop(self) -> None:
        """Give up the ratings that wait."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _count(self, version: str, bad: bool, rated: bool) -> None:
        self._evidence.count(self._config.evidence_label(version), bad, rated)

    def _rate_waiting(
        self, template: documents.Template, version: str, body: bytes, answer: bytes
    ) -> None:
        try:
            self.rate_now(template, version, body, answer)
        finally:
            with self._lock:
                self._waiting -= 1

    def _has_room(self) -> bool:
        with self._lock:
            if self._waiting >= MAX_WAITING:
                return False
            self._waiting += 1
            return True
