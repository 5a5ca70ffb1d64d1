"""The gateway's proofs: the handling of a single request."""

import typing

from misc import proofs

PROOFS: typing.Final = (
    proofs.gateway(
        "an answer without a length that was reset beside its upload is broken",
        "testresetuploads.py::test_a_part_of_an_answer_is_not_whole_after_a_reset"
        "_beside_the_upload",
        "http_exchange.py",
        "            if self.ends_with_connection:\n"
        "                self._check_reset()\n",
        "",
    ),
    proofs.gateway(
        "an answer with an unknown status is none",
        "testoddanswers.py::test_an_answer_with_an_odd_status_reaches_no_caller",
        "http_answer.py",
        "MAX_STATUS: typing.Final = 599",
        "MAX_STATUS: typing.Final = 999",
    ),
    proofs.gateway(
        "the bytes of a refused answer are freed at once",
        "testoddanswers.py::test_the_bytes_of_a_refused_answer_are_freed_without"
        "_the_collector",
        "http_answer.py",
        "            exc.__traceback__ = None\n",
        "",
    ),
    proofs.gateway(
        "open calls get a final answer at the end of a planned stop",
        "testgatewaystops.py::test_requests_late_in_a_stop_have_an_answer_before"
        "_the_process_ends",
        "gateway_node.py",
        "        self.server.end_calls()\n",
        "",
    ),
    proofs.gateway(
        "an attempt whose answer stalls in its body is abandoned",
        "testsilent.py::test_a_safe_request_goes_elsewhere_when_its_connection_went"
        "_silent",
        "gateway_sender.py",
        "                if reason:\n"
        "                    if reason not in gateway_attempt.OWN_REASONS:",
        "                if reason == gateway_attempt.DEADLINE:\n"
        "                    if reason not in gateway_attempt.OWN_REASONS:",
    ),
    proofs.gateway(
        "a request that may have run is sent again only if it is repeatable",
        "testgateway.py::test_a_request_that_may_have_run_is_not_sent_again",
        "gateway_serve.py",
        "return call.route.repeatable and self._may_send_again(call)",
        "return self._may_send_again(call)",
    ),
    proofs.gateway(
        "a resumed stream continues after the last event that the caller got",
        "testgateway.py::test_a_resumed_stream_keeps_its_model_and_names_the_last"
        "_event",
        "gateway_relay.py",
        "attempt = sends.send(call, reply, model, last, reason)",
        "attempt = sends.send(call, reply, model, 0, reason)",
    ),
    proofs.gateway(
        "a stream that no endpoint resumes charges nothing to the retry budget",
        "testresume.py::test_a_stream_that_no_endpoint_can_resume_leaves_the_retry"
        "_budget_to_others",
        "gateway_relay.py",
        '            reason = f"resume after {last}: {detail}"\n',
        '            reason = f"resume after {last}: {detail}"\n'
        "            sends.charge_repeat(call, reason)\n",
    ),
    proofs.gateway(
        "a stream that broke off waits for an endpoint that resumes it",
        "testresume.py::test_a_stream_is_resumed_by_an_endpoint_that_is_usable_a"
        "_moment_later",
        "gateway_serve.py",
        "if is_over or not self.may_repeat(call):",
        "if True:",
    ),
    proofs.gateway(
        "a silent stream is kept until another endpoint has accepted it",
        "testresume.py::test_a_silent_stream_is_not_cut_when_another_endpoint_refuses"
        "_it",
        "gateway_relay.py",
        "        if not exc.may_go_on:\n",
        "        if True:\n",
    ),
    proofs.gateway(
        "the charge of a repeat that never left is released",
        "testresume.py::test_a_resumption_that_never_left_is_not_charged",
        "gateway_serve.py",
        "            self._budget.release(charge)\n",
        "",
    ),
    proofs.gateway(
        "a repeat is sent only if it was charged",
        "testretrybudget.py::test_requests_that_fail_at_one_moment_send_no_more"
        "_repeats_than_are_left",
        "gateway_serve.py",
        "        if call.charge is None:\n            self._record_refused",
        "        if False:\n            self._record_refused",
    ),
    proofs.gateway(
        "a repeat that waited is charged to the window in which it is sent",
        "testretrybudget.py::test_a_fleet_whose_processes_start_anew_keeps_to_the"
        "_budget_in_every_window",
        "retry_budget.py",
        "            if self._left(counts) < 1.0:\n                return False\n",
        "",
    ),
    proofs.gateway(
        "only complete events are passed on",
        "testrouting.py::test_events_come_whole_however_the_bytes_are_cut",
        "event_stream.py",
        "        return min(ends) if ends else -1",
        "        return min(ends) if ends else len(self._buffer) or -1",
    ),
    proofs.gateway(
        "headers reserved for the system are dropped from requests",
        "testgateway.py::test_forged_headers_and_keys_do_not_reach_an_endpoint",
        "platform/wire.py",
        "dropped = CONNECTION_HEADERS | SYSTEM_HEADERS | ",
        "dropped = CONNECTION_HEADERS | ",
    ),
    proofs.gateway(
        "waiting for an endpoint ends when the caller disconnects",
        "testgateway.py::test_a_caller_that_leaves_stops_its_endpoints_work",
        "http_exchange.py",
        "            self._caller.watch(poller)\n",
    ),
    proofs.gateway(
        "a request with ambiguous framing is refused",
        "testgateway.py::test_a_request_that_can_be_read_in_two_ways_is_refused",
        "gateway_connection.py",
        "        _check_framing(raw)\n",
    ),
    proofs.gateway(
        "a gateway with stale configuration gives no final refusal",
        "testgateway.py::test_a_gateway_that_may_be_behind_does_not_refuse_for_good",
        "gateway_serve.py",
        "        if self._is_stale():\n",
        "        if False:\n",
    ),
    proofs.gateway(
        "a request whose deadline passes before its send ends at once",
        "testgateway.py::test_a_request_whose_time_is_over_before_its_send_ends_at"
        "_once",
        "gateway_serve.py",
        "if call.sends == sends and self._clock.now() < call.deadline:",
        "if call.sends == sends:",
    ),
    proofs.gateway(
        "the smallest model that is likely to be confident is asked",
        "testrouting.py::test_the_smallest_model_that_is_likely_confident_is_asked",
        "policy_models.py",
        "            if confidence + total / count >= MIN_CONFIDENCE:\n",
        "            if False:\n",
    ),
    proofs.gateway(
        "a request that arrives during the start waits for the first rows",
        "testgatewaystops.py::test_a_request_during_the_start_waits_for_the_first_rows",
        "gateway_serve.py",
        "            self._await_ready(inbound, reply)\n",
    ),
    proofs.gateway(
        "a pending attempt is withdrawn when its request is quarantined",
        "testpoison.py::test_a_send_that_waits_is_taken_back_when_its_request_is_held",
        "gateway_sender.py",
        "if self._gate.should_withdraw(call, attempt):",
        "if False:",
    ),
    proofs.gateway(
        "a complete answer clears a request of suspicion",
        "testpoison.py::test_a_stream_that_runs_goes_on_and_clears_its_request",
        "gateway_relay.py",
        "                    self._gate.record_success(call, source.attempt)\n",
    ),
    proofs.gateway(
        "an endpoint that still accepts connections does not count as crashed",
        "testpoison.py::test_answers_that_break_off_at_living_endpoints_speak_against"
        "_nobody",
        "gateway_sender.py",
        "        self._gate.record_broken(attempt)\n        accepts",
        "        now = self._clock.now()\n"
        '        self._gate.record_end(attempt.endpoint, "broke off", now)\n'
        "        accepts",
    ),
    proofs.gateway(
        "a crash counts against a request whose caller has left",
        "testends.py::test_a_request_that_ended_three_endpoints_is_held_whatever_their"
        "_ends_look_like[at-once-caller-left-safe]",
        "gateway_quarantine.py",
        "attempt.on_finish = functools.partial(self._sends.end, attempt)",
        "attempt.on_finish = functools.partial(self._sends.forget, attempt)",
    ),
    proofs.gateway(
        "an endpoint that starts again has ended, whoever holds its port",
        "testends.py::test_a_request_that_ended_three_endpoints_is_held_whatever_their"
        "_ends_look_like[at-once-waits-safe]",
        "gateway_quarantine.py",
        "            if endpoint.has_ended:\n",
        "            if False:\n",
    ),
    proofs.gateway(
        "an endpoint whose row went lives if it answers",
        "testends.py::test_nobody_is_held_or_suspected_for_endpoints_that_live"
        "[leaves-unsaid-safe]",
        "gateway_quarantine.py",
        "            return answers(endpoint) if is_quiet else True\n",
        "            return False\n",
    ),
    proofs.gateway(
        "a row that comes back withdraws the crash",
        "testends.py::test_nobody_is_held_or_suspected_for_endpoints_that_live"
        "[paused-safe]",
        "gateway_quarantine.py",
        "                self._quarantine.withdraw_crash(incarnation)\n",
        "                pass\n",
    ),
    proofs.gateway(
        "entries quarantine poison requests too",
        "testownpoison.py::test_a_poison_request_ends_three_engines_whichever_entries"
        "_it_comes_through",
        "entry_dispatch.py",
        "            self._refuse_held(call, refusal)\n",
    ),
    proofs.gateway(
        "an answer without a length that ends with its endpoint is not whole",
        "testunframed.py::test_a_stream_that_ends_between_events_with_its_endpoint_is"
        "_resumed",
        "gateway_sender.py",
        "        if attempt.watch is None:\n            return False\n",
        "        return False\n",
    ),
)
