"""The gateway's proofs: what endpoints say of themselves in their answers is heeded."""

import typing

from misc import proofs

PROOFS: typing.Final = (
    proofs.gateway(
        "an endpoint whose answers say that it leaves gets nothing in time",
        "testdepartures.py::test_no_request_reaches_an_endpoint_that_said_it_leaves"
        "_while_its_row_does_not",
        "directory_rows.py",
        "endpoint.leave_by_answer(since + LEAVING_SHARE * self._drain_s)",
        "endpoint.leave_by_answer(clock.NEVER)",
    ),
    proofs.gateway(
        "a send that was chosen in time is stopped as it leaves",
        "testdepartures.py::test_a_send_chosen_in_time_is_stopped_at_its_last_check",
        "directory_rows.py",
        "if self._clock.now() >= endpoint.leave_at:",
        "if False:",
    ),
    proofs.gateway(
        "a row that does not say so takes no departure back",
        "testdepartures.py::test_a_row_that_lapsed_and_is_back_takes_no_departure"
        "_back",
        "directory_rows.py",
        "            if was_draining:\n",
        "            if True:\n",
    ),
    proofs.gateway(
        "an answer that was begun before the last word takes no departure back",
        "testdepartures.py::test_nothing_sent_before_the_last_word_takes_it_back",
        "departures.py",
        "elif known is not None and sent_at > known.as_of:",
        "elif known is not None:",
    ),
    proofs.gateway(
        "a departure that is told is as old as it is",
        "testdepartures.py::test_one_that_starts_while_the_store_is_silent_hears_of"
        "_a_departure",
        "departures.py",
        "now - max(0.0, one.since_s) if one.is_leaving",
        "now if one.is_leaving",
    ),
    proofs.gateway(
        "nothing goes out within a backoff",
        "testbackoffs.py::test_no_send_goes_out_within_any_time_that_was_asked_for",
        "directory_rows.py",
        "if not self.notices.backoffs.take(endpoint):",
        "if False:",
    ),
    proofs.gateway(
        "a shorter word does not end a backoff sooner",
        "testbackoffs.py::test_a_shorter_word_that_comes_later_does_not_end_a_backoff"
        "_sooner",
        "backoffs.py",
        "if until > known.until:",
        "if True:",
    ),
    proofs.gateway(
        "the end of a backoff brings the load back slowly",
        "testbackoffs.py::test_sends_resume_with_one_and_each_answer_allows_two_more",
        "backoffs.py",
        "known.sends_left = max(0, known.sends_left - 1)",
        "pass",
    ),
    proofs.gateway(
        "gateways begin again at different moments",
        "testbackoffs.py::test_gateways_asked_in_the_same_moment_begin_at_different"
        "_ones",
        "backoffs.py",
        "until + self._rng.random() * spread_s",
        "until",
    ),
    proofs.gateway(
        "a ready answer is not dropped for a model that nobody can run",
        "testbackoffs.py::test_a_ready_answer_is_not_dropped_for_a_model_that_nobody"
        "_can_run_now",
        "gateway_models.py",
        " or call.sends and not usable:",
        ":",
    ),
    proofs.gateway(
        "an endpoint that shed is not filled again to where it did",
        "testbackoffs.py::test_an_endpoint_is_not_filled_again_to_where_it_shed",
        "backoffs.py",
        "if load >= self.cap else next_at",
        "if False else next_at",
    ),
    proofs.gateway(
        "where a full endpoint shed the others are not filled up",
        "testbackoffs.py::test_where_a_full_endpoint_shed_the_others_are_not_filled"
        "_up",
        "backoffs.py",
        "if is_service_capped and load >= CAP_SHARE * endpoint.row.slots:",
        "if False:",
    ),
)
