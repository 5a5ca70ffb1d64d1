"""The gateway's proofs: notices in endpoints' answers, such as leaving or backoffs."""

import typing

from misc import proofs

PROOFS: typing.Final = (
    proofs.gateway(
        "an endpoint that announces its departure in answers soon gets nothing",
        "testdepartures.py::test_no_request_reaches_an_endpoint_that_said_it_leaves"
        "_while_its_row_does_not",
        "directory_rows.py",
        "endpoint.leave_by_answer(since + LEAVING_SHARE * self._drain_s)",
        "endpoint.leave_by_answer(clock.NEVER)",
    ),
    proofs.gateway(
        "a send chosen before the endpoint left is stopped at its last check",
        "testdepartures.py::test_a_send_chosen_in_time_is_stopped_at_its_last_check",
        "directory_rows.py",
        "if self._clock.now() >= endpoint.leave_at:",
        "if False:",
    ),
    proofs.gateway(
        "a row without the departure does not cancel one announced in answers",
        "testdepartures.py::test_a_row_that_lapsed_and_is_back_takes_no_departure"
        "_back",
        "directory_rows.py",
        "            if was_draining:\n",
        "            if True:\n",
    ),
    proofs.gateway(
        "an answer to an earlier request does not cancel a departure",
        "testdepartures.py::test_nothing_sent_before_the_last_word_takes_it_back",
        "departures.py",
        "elif known is not None and sent_at > known.as_of:",
        "elif known is not None:",
    ),
    proofs.gateway(
        "a departure reported by a peer keeps its age",
        "testdepartures.py::test_one_that_starts_while_the_store_is_silent_hears_of"
        "_a_departure",
        "departures.py",
        "now - max(0.0, one.since_s) if one.is_leaving",
        "now if one.is_leaving",
    ),
    proofs.gateway(
        "nothing is sent during a backoff",
        "testbackoffs.py::test_no_send_goes_out_within_any_time_that_was_asked_for",
        "directory_rows.py",
        "if not self.notices.backoffs.take(endpoint):",
        "if False:",
    ),
    proofs.gateway(
        "a later, shorter backoff does not shorten the one in force",
        "testbackoffs.py::test_a_shorter_word_that_comes_later_does_not_end_a_backoff"
        "_sooner",
        "backoffs.py",
        "if until > known.until:",
        "if True:",
    ),
    proofs.gateway(
        "load returns gradually after a backoff",
        "testbackoffs.py::test_sends_resume_with_one_and_each_answer_allows_two_more",
        "backoffs.py",
        "known.sends_left = max(0, known.sends_left - 1)",
        "pass",
    ),
    proofs.gateway(
        "gateways resume at random times after a backoff",
        "testbackoffs.py::test_gateways_asked_in_the_same_moment_begin_at_different"
        "_ones",
        "backoffs.py",
        "until + self._rng.random() * spread_s",
        "until",
    ),
    proofs.gateway(
        "an answer is not discarded for a larger model that no endpoint can run",
        "testbackoffs.py::test_a_ready_answer_is_not_dropped_for_a_model_that_nobody"
        "_can_run_now",
        "gateway_models.py",
        " or call.sends and not usable:",
        ":",
    ),
    proofs.gateway(
        "an endpoint is not filled again to the load at which it shed",
        "testbackoffs.py::test_an_endpoint_is_not_filled_again_to_where_it_shed",
        "backoffs.py",
        "if load >= self.cap else next_at",
        "if False else next_at",
    ),
    proofs.gateway(
        "when a full endpoint sheds, the others are not filled up either",
        "testbackoffs.py::test_where_a_full_endpoint_shed_the_others_are_not_filled"
        "_up",
        "backoffs.py",
        "if is_service_capped and load >= CAP_SHARE * endpoint.row.slots:",
        "if False:",
    ),
)
