"""A call that may not be repeated runs at most once."""

import threading
import typing

import hypothesis
import pytest
from hypothesis import strategies

from gaprock import claims, clock, documents, errorcodes, errors, table_batch
from gaprock.test import site
from gaprock.test.fakes import tables


class ClaimsCase:
    """Two claim holders that use one faulty table."""

    def __init__(self, faults: typing.Sequence[str] = ()) -> None:
        self.table = tables.TableFake(faults)
        self.clock = clock.Clock()
        self.batchers = [table_batch.Batcher(self.table, self.clock) for _ in "ab"]
        for batcher in self.batchers:
            batcher.start()
        self.holders = [
            claims.Claims(self.table, typing.cast(typing.Any, None), b, self.clock, n)
            for b, n in zip(self.batchers, "ab")
        ]

    def stop(self) -> None:
        for batcher in self.batchers:
            batcher.stop()


steps = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 1),
        strategies.sampled_from(("run", "crash", "not-run", "settle", "land")),
    ),
    min_size=1,
    max_size=8,
)
faults = strategies.lists(
    strategies.sampled_from((tables.OK, tables.LOST, tables.LATE, tables.DOWN)),
    max_size=8,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=120)
@hypothesis.given(steps=steps, faults=faults)
# The write of a claim takes effect late: the claim is given up, the same holder claims
# the id again, and only then the outcome of the first claim is written.
@hypothesis.example(
    steps=[(0, "run"), (0, "crash"), (0, "settle"), (0, "run")], faults=[tables.LATE]
)
def test_no_order_of_faults_lets_a_call_run_twice(
    steps: list[tuple[int, str]], faults: list[str]
) -> None:
    case = ClaimsCase(faults)
    ran = 0
    for who, step in steps:
        holder = case.holders[who]
        if step == "land":
            case.table.apply_late()
            continue
        if step == "settle":
            holder.write_open_outcomes()
            continue
        try:
            # Short enough that a claim is given up after one failed write.
            deadline = case.clock.now() + 0.005
            claim = holder.claim("demo", "id", "digest", deadline)
        except errors.GaprockError:
            continue
        if isinstance(claim, claims.StoredAnswer):
            assert ran == 1
            continue
        if step == "not-run":
            holder.write_state(claim, claims.NOT_RUN)
            continue
        ran += 1
        if step == "run":
            holder.finish(claim, 200, "application/json", b"{}")
    case.stop()
    assert ran <= 1


def start_service(s: site.Site, entries: int = 1, **flags: typing.Any) -> None:
    s.start_agent("svc", kind="service", **flags)
    for _ in range(entries):
        s.start_entry()
    s.wait_linked()
    s.publish(site.workspace(), site.score_template())
    s.wait_in_force()


def test_the_same_id_through_two_entries_at_once_runs_once() -> None:
    with site.Site() as s:
        start_service(s, entries=2, first_s=0.05)
        request = site.once_id()
        outcomes: list[str] = []

        def send(entry: int) -> None:
            try:
                outcomes.append(str(s.score(request, entry).status))
            except errors.GaprockError as exc:
                outcomes.append(exc.code.name)

        threads = [threading.Thread(target=send, args=(n % 2,)) for n in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert s.engines["svc"].ran[request] == 1
        assert "200" in outcomes
        assert set(outcomes) <= {"200", "in-progress"}


def test_the_same_id_after_every_process_was_replaced_gives_the_stored_answer() -> None:
    with site.Site() as s:
        start_service(s)
        request = site.once_id()
        first = s.score(request)
        s.entries.pop(0).stop()
        s.agents.pop("svc").stop()
        s.restart_agent("svc", kind="service")
        s.start_entry()
        s.wait_linked()
        again = s.score(request)
        assert again.body == first.body
        assert again.headers["X-Gaprock-Replayed"] == "true"
        assert s.engines["svc"].ran[request] == 1


def test_an_id_that_ran_gives_its_answer_also_when_no_endpoint_is_left() -> None:
    with site.Site() as s:
        start_service(s)
        request = site.once_id()
        first = s.score(request)
        s.entries[0].publisher.publish_urgent(documents.Withdrawal("scores@1"))
        assert s.score(request).body == first.body
        fresh = site.once_id()
        with pytest.raises(errors.GaprockError) as caught:
            s.score(fresh)
        assert caught.value.not_run
        row = s.platform.value(f"claim/demo/{fresh}")
        assert row["state"] == claims.NOT_RUN


def test_the_tables_lost_answer_to_a_claim_does_not_double_the_run() -> None:
    with site.Site() as s:
        start_service(s)
        request = site.once_id()
        s.platform.faults["lose_answers"] = 1
        assert s.score(request).status == 200
        assert s.score(request).status == 200
        assert s.engines["svc"].ran[request] == 1


def test_while_the_table_is_down_a_call_is_refused_as_not_run() -> None:
    with site.Site() as s:
        start_service(s)
        s.platform.faults["down"] = True
        request = site.once_id()
        with pytest.raises(errors.GaprockError) as caught:
            s.score(request)
        assert caught.value.code is errorcodes.TABLE_DOWN
        assert caught.value.retry_at > clock.Clock().now()
        s.platform.faults["down"] = False
        site.wait_until(lambda: _answers(s, request), "the table is back")
        assert s.engines["svc"].ran[request] == 1


def _answers(s: site.Site, request: str) -> bool:
    try:
        return s.score(request).status == 200
    except errors.GaprockError as exc:
        assert exc.not_run
        return False


class PausingClaims:
    """Claims whose process is paused just after it inserted a claim."""

    def __init__(self, inner: claims.Claims) -> None:
        self._inner = inner
        self.paused, self.woken = threading.Event(), threading.Event()

    def claim(self, *args: typing.Any) -> claims.Claim | claims.StoredAnswer:
        claim = self._inner.claim(*args)
        self.paused.set()
        self.woken.wait(site.WAIT_S)
        return claim

    def write_state(self, claim: claims.Claim, state: str) -> None:
        self._inner.write_state(claim, state)


def test_a_holder_that_wakes_up_after_its_deadline_does_not_run_the_call() -> None:
    with site.Site() as s:
        start_service(s, entries=2)
        entry = s.entries[0]
        pausing = PausingClaims(entry.claims)
        setattr(entry.server, "_claims", pausing)
        request = site.once_id()
        deadline = clock.Clock().now() + 0.3
        codes: list[str] = []

        def send() -> None:
            try:
                s.score(request, x_gaprock_deadline=str(deadline))
            except errors.GaprockError as exc:
                codes.append(exc.code.name)

        thread = threading.Thread(target=send)
        thread.start()
        assert pausing.paused.wait(site.WAIT_S)
        with pytest.raises(errors.GaprockError) as caught:
            s.score(request, 1)
        assert caught.value.code is errorcodes.IN_PROGRESS
        site.wait_until(lambda: clock.Clock().now() > deadline, "deadline")
        with pytest.raises(errors.GaprockError) as caught:
            s.score(request, 1)
        assert caught.value.code is errorcodes.OUTCOME_UNKNOWN
        pausing.woken.set()
        thread.join()
        assert codes == ["deadline-past"]
        assert s.engines["svc"].ran[request] == 0
        # The call is now known not to have run, so the id may be claimed again.
        assert s.score(request, 1).status == 200
        assert s.engines["svc"].ran[request] == 1


def test_an_agent_drops_a_call_whose_deadline_passed_on_the_way() -> None:
    with site.Site() as s:
        start_service(s)
        entry = s.entries[0]
        # The entry's clock is slow, so only the agent can detect the passed deadline.
        behind = clock.ManualClock(clock.Clock().now() - 100)
        setattr(entry.server, "_clock", behind)
        setattr(entry.dispatcher, "_clock", behind)
        entry.parser._clock = behind
        with pytest.raises(errors.GaprockError) as caught:
            s.score(site.once_id(), x_gaprock_deadline=str(behind.now() + 50))
        assert caught.value.code is errorcodes.DEADLINE_PAST
        assert s.ran() == 0


def test_a_call_whose_answer_is_lost_stays_unknown_and_is_not_run_again() -> None:
    with site.Site() as s:
        start_service(s)
        s.engines["svc"].faults["die_after_run"] = True
        request = site.once_id()
        for _ in range(3):
            with pytest.raises(errors.GaprockError) as caught:
                s.score(request)
            assert caught.value.code is errorcodes.OUTCOME_UNKNOWN
        assert s.engines["svc"].ran[request] == 1


def test_an_outcome_is_written_once_the_table_is_back() -> None:
    with site.Site() as s:
        start_service(s, entries=2, first_s=0.3)
        request = site.once_id()
        thread = threading.Thread(target=s.score, args=(request,))
        thread.start()
        fake = s.engines["svc"]
        site.wait_until(lambda: fake.running, "running")
        s.platform.faults["down"] = True
        thread.join()
        s.platform.faults["down"] = False
        key = f"claim/demo/{request}"
        site.wait_until(
            lambda: s.platform.value(key)["state"] == claims.DONE, "outcome"
        )
        assert s.score(request, 1).headers["X-Gaprock-Replayed"] == "true"
        assert fake.ran[request] == 1


@pytest.mark.parametrize(
    "request_id, code",
    [
        ("", errorcodes.BAD_REQUEST),
        ("not-a-uuid", errorcodes.BAD_REQUEST),
        ("6f0f5d2a-9b1e-4f6d-8a53-0c7c1f1a2b3c", errorcodes.BAD_REQUEST),
        ("01800000-0000-7000-8000-000000000000", errorcodes.ID_TOO_OLD),
        ("7fffffff-ffff-7fff-8fff-ffffffffffff", errorcodes.ID_TOO_OLD),
    ],
)
def test_an_id_that_cannot_be_claimed_safely_is_refused(
    request_id: str, code: errorcodes.ErrorCode
) -> None:
    with site.Site() as s:
        start_service(s)
        with pytest.raises(errors.GaprockError) as caught:
            s.score(request_id)
        assert caught.value.code is code
        assert s.ran() == 0


def test_an_id_used_again_with_another_body_is_refused() -> None:
    with site.Site() as s:
        start_service(s)
        request = site.once_id()
        s.score(request)
        with pytest.raises(errors.GaprockError) as caught:
            s.score(request, body=b'{"points": 2}')
        assert caught.value.code is errorcodes.ID_REUSED
        assert s.engines["svc"].ran[request] == 1


def test_a_large_answer_is_stored_beside_the_row() -> None:
    case = ClaimsCase()

    class Objects:
        def __init__(self) -> None:
            self.held: dict[str, bytes] = {}

        def put(self, name: str, data: bytes) -> None:
            self.held[name] = data

        def get(self, name: str) -> bytes | None:
            return self.held.get(name)

    case.holders[0]._objects = typing.cast(typing.Any, Objects())
    deadline = case.clock.now() + 5
    claim = case.holders[0].claim("demo", "id", "d", deadline)
    assert isinstance(claim, claims.Claim)
    body = b"x" * (claims.MAX_ROW_ANSWER + 1)
    case.holders[0].finish(claim, 200, "text/plain", body)
    stored = case.holders[0].claim("demo", "id", "d", deadline)
    case.stop()
    assert stored == claims.StoredAnswer(200, "text/plain", body)


def test_many_claims_share_a_transaction() -> None:
    with site.Site() as s:
        start_service(s, slots=64)
        s.platform.faults["slow_s"] = 0.05
        before = len(s.platform.history)
        threads = [
            threading.Thread(target=s.score, args=(site.once_id(),)) for _ in range(30)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        s.platform.faults.clear()
        claimed = [
            ops
            for ops in s.platform.history[before:]
            if ops[0]["key"].startswith("claim/")
        ]
        assert sum(len(ops) for ops in claimed) == 60
        assert len(claimed) < 30
