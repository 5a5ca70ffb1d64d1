"""Notices that endpoints send in their answers, by incarnation.

Each answer of an endpoint passes through ``note_answer``, whatever it is: a refusal, a
failure, the head of a stream.  It may announce a rate limit (``rate_pacing``), a
backoff (``backoffs``) or a departure (``departures``).  Each send is checked against
all of them twice: when the endpoint is chosen, and right before the request is sent,
since a notice may have arrived in between.
"""

import threading
import typing

from gaprock import (
    backoffs,
    clock,
    departures,
    endpoint_state,
    eventlog,
    gateway_api,
    rate_pacing,
)

# Least interval between log lines about an invalid header of an endpoint.
INVALID_LOG_INTERVAL_S: typing.Final = 10.0


class EndpointNotices:
    """The notices of all endpoints; thread-safe.

    :param pacer: enforces the rate limits.
    """

    __slots__ = (
        "pacer",
        "departures",
        "backoffs",
        "_clock",
        "_lock",
        "_invalid_logged_at",
    )

    def __init__(
        self, clock_: clock.Clock, pacer: rate_pacing.Pacer | None = None
    ) -> None:
        self.pacer = pacer or rate_pacing.Pacer(clock_)
        self.departures = departures.Departures(clock_)
        self.backoffs = backoffs.Backoffs(clock_)
        self._clock = clock_
        self._lock = threading.Lock()
        # When an invalid header was last logged, by incarnation and header.
        self._invalid_logged_at: dict[tuple[str, str], float] = {}

    def note_answer(
        self,
        endpoint: endpoint_state.Endpoint,
        head: gateway_api.AnswerHead,
        sent_at: float,
    ) -> None:
        """Apply the notices in an answer, or the absence of notices.

        :param sent_at: when the answered request was sent.
        """
        notice, incarnation = head.notice, endpoint.incarnation
        for text in notice.invalid:
            self._log_invalid(endpoint, text)
        # If another endpoint answered, a missing notice says nothing about this one.
        if not head.wrong_endpoint or notice.limit.per_s is not None:
            self.pacer.limits.note_answer(endpoint, notice.limit, sent_at)
        if not head.wrong_endpoint or notice.is_leaving:
            self.departures.note_answer(incarnation, notice.is_leaving, sent_at)
        if head.not_run or notice.backoff_s:
            self.backoffs.note_refusal(endpoint, notice.backoff_s, sent_at)
        else:
            self.backoffs.note_answer(endpoint, sent_at)

    def _log_invalid(self, endpoint: endpoint_state.Endpoint, text: str) -> None:
        key, now = (endpoint.incarnation, text.partition(":")[0]), self._clock.now()
        with self._lock:
            if (
                now
                < self._invalid_logged_at.get(key, -clock.NEVER)
                + INVALID_LOG_INTERVAL_S
            ):
                return
            self._invalid_logged_at[key] = now
        eventlog.warning("endpoint-notice-odd", endpoint=endpoint.name, text=text)

    def forget_old(self, lives: typing.Container[str]) -> None:
        """Remove notices that no longer apply.

        :param lives: the current endpoint incarnations.
        """
        self.pacer.forget_old(lives)
        self.departures.forget_old(lives)
        self.backoffs.forget_old(lives)
        before = self._clock.now() - INVALID_LOG_INTERVAL_S
        with self._lock:
            for key, at in list(self._invalid_logged_at.items()):
                if at < before:
                    del self._invalid_logged_at[key]
