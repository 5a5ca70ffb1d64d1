"""Callers for the benches: threads that send requests from a shared schedule."""

import heapq
import json
import queue
import threading
import time
import typing

import urllib3

from gaprock.test import processes


class Outcome(typing.NamedTuple):
    """The result of one request of a caller."""

    caller: int
    workspace: str
    sent_at: float
    first_at: float
    ended_at: float
    status: int
    is_complete: bool
    # When a refused caller may retry, by the refusal; 0 if it names no time.
    retry_at: float
    # The message of a refusal.
    detail: str = ""


class Schedule:
    """A queue of requests by due time; one thread passes them to the workers."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int]] = []
        self._cond = threading.Condition()
        self._closed = False
        self.due: queue.SimpleQueue[int | None] = queue.SimpleQueue()

    def add(self, due_at: float, caller: int) -> None:
        """Schedule the next request of a caller."""
        with self._cond:
            heapq.heappush(self._heap, (due_at, caller))
            self._cond.notify()

    def run(self) -> None:
        """Pass on requests as they become due, until closed."""
        with self._cond:
            while not self._closed:
                wait_s = self._heap[0][0] - time.time() if self._heap else None
                if wait_s is not None and wait_s <= 0:
                    self.due.put(heapq.heappop(self._heap)[1])
                else:
                    self._cond.wait(wait_s)

    def close(self, workers: int) -> None:
        """Stop passing requests on, and end all workers."""
        with self._cond:
            self._closed = True
            self._cond.notify()
        for _ in range(workers):
            self.due.put(None)


# Returns the address, the key, and the body of a caller's request.
MakeRequest = typing.Callable[[int], tuple[str, str, typing.Any]]


class CallerPool:
    """Callers that retry at the time that a refusal names.

    :param make: returns what a caller sends, and where.
    :param retry_until: no retry begins at or after this time.
    """

    def __init__(
        self, make: MakeRequest, threads: int, retry_until: float, time_limit_s: float
    ) -> None:
        self._make = make
        self._retry_until = retry_until
        self._time_limit_s = time_limit_s
        self.schedule = Schedule()
        self.outcomes: list[Outcome] = []
        self._pool = urllib3.PoolManager(maxsize=threads, retries=False)
        self._threads = [
            threading.Thread(target=self._work, daemon=True) for _ in range(threads)
        ]

    def start(self) -> None:
        """Start the threads."""
        threading.Thread(target=self.schedule.run, daemon=True).start()
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """End the threads, after their current requests."""
        self.schedule.close(len(self._threads))
        for thread in self._threads:
            thread.join(self._time_limit_s + 5)

    def _work(self) -> None:
        while (caller := self.schedule.due.get()) is not None:
            outcome = self._send(caller)
            self.outcomes.append(outcome)
            again = outcome.retry_at
            if not outcome.is_complete and 0 < again < self._retry_until:
                self.schedule.add(again, outcome.caller)

    def _send(self, caller: int) -> Outcome:
        url, key, body = self._make(caller)
        sent_at = time.time()
        headers = {
            "Authorization": f"Bearer {key}",
            "X-Gaprock-Deadline": str(sent_at + self._time_limit_s),
        }
        try:
            resp = self._pool.request(
                "POST",
                url + processes.CHAT,
                json=body,
                headers=headers,
                timeout=self._time_limit_s + 2,
                preload_content=False,
            )
            first_at, data = 0.0, b""
            while chunk := resp.read1(65536):
                first_at = first_at or time.time()
                data += chunk
            resp.release_conn()
        except urllib3.exceptions.HTTPError:
            return self._outcome(caller, key, sent_at, 0.0, 599, False, 0.0)
        is_complete = resp.status == 200 and data.endswith(b"data: [DONE]\n\n")
        outcome = self._outcome(
            caller, key, sent_at, first_at, resp.status, is_complete, 0.0
        )
        if resp.status != 200:
            error = json.loads(data)["error"]
            return outcome._replace(
                retry_at=error["retry_at"] or 0.0, detail=error["message"]
            )
        return outcome

    def _outcome(
        self,
        caller: int,
        workspace: str,
        sent_at: float,
        first_at: float,
        status: int,
        is_complete: bool,
        retry_at: float,
    ) -> Outcome:
        return Outcome(
            caller,
            workspace,
            sent_at,
            first_at,
            time.time(),
            status,
            is_complete,
            retry_at,
        )


def percentile(values: list[float], share: float) -> float:
    """Return a percentile; NaN if there are no values."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
