"""What endpoints say of themselves in their answers, in one book by their lives.

Each answer of an endpoint comes through ``note_answer``, whatever it is: a refusal, a
failure, the head of a stream.  What it asks for is a rate limit (``rate_pacing``), a
backoff (``backoffs``) or that it leaves (``departures``).  Each send is held against
all of it twice: when the endpoint is chosen, and at the last look before the request
leaves, since it may have said so in between.
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

# A header that cannot be used is logged so often for an endpoint, seconds.
LOG_ODD_S: typing.Final = 10.0


class EndpointNotices:
    """What all endpoints say of themselves; safe for all threads.

    :param pacer: keeps to the rate limits.
    """

    __slots__ = ("pacer", "departures", "backoffs", "_clock", "_lock", "_odd_at")

    def __init__(
        self, clock_: clock.Clock, pacer: rate_pacing.Pacer | None = None
    ) -> None:
        self.pacer = pacer or rate_pacing.Pacer(clock_)
        self.departures = departures.Departures(clock_)
        self.backoffs = backoffs.Backoffs(clock_)
        self._clock = clock_
        self._lock = threading.Lock()
        # When a header that cannot be used was last logged, by life and header.
        self._odd_at: dict[tuple[str, str], float] = {}

    def note_answer(
        self,
        endpoint: endpoint_state.Endpoint,
        head: gateway_api.AnswerHead,
        sent_at: float,
    ) -> None:
        """Take what an answer says of its endpoint, or that it says nothing.

        :param sent_at: when the request was sent that it answers.
        """
        notice, incarnation = head.notice, endpoint.incarnation
        for text in notice.invalid:
            self._note_odd(endpoint, text)
        # What another endpoint does not say is no word of this one.
        if not head.wrong_endpoint or notice.limit.per_s is not None:
            self.pacer.limits.note_answer(endpoint, notice.limit, sent_at)
        if not head.wrong_endpoint or notice.is_leaving:
            self.departures.note_answer(incarnation, notice.is_leaving, sent_at)
        if head.not_run or notice.backoff_s:
            self.backoffs.note_refusal(endpoint, notice.backoff_s, sent_at)
        else:
            self.backoffs.note_answer(endpoint, sent_at)

    def _note_odd(self, endpoint: endpoint_state.Endpoint, text: str) -> None:
        key, now = (endpoint.incarnation, text.partition(":")[0]), self._clock.now()
        with self._lock:
            if now < self._odd_at.get(key, -clock.NEVER) + LOG_ODD_S:
                return
            self._odd_at[key] = now
        eventlog.warning("endpoint-notice-odd", endpoint=endpoint.name, text=text)

    def forget_old(self, lives: typing.Container[str]) -> None:
        """Drop what is over.

        :param lives: the endpoints that are there.
        """
        self.pacer.forget_old(lives)
        self.departures.forget_old(lives)
        self.backoffs.forget_old(lives)
        before = self._clock.now() - LOG_ODD_S
        with self._lock:
            for key, at in list(self._odd_at.items()):
                if at < before:
                    del self._odd_at[key]
