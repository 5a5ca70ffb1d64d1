"""The gateway's proofs: the pace of endpoints in estimates and judgements."""

import typing

from misc import proofs


def _proof(mechanism: str, test: str, file: str, old: str, new: str) -> proofs.Proof:
    return proofs.gateway(mechanism, f"testpaceestimates.py::{test}", file, old, new)


PROOFS: typing.Final = (
    _proof(
        "observed first events are normalised by the pace of their endpoint",
        "test_the_line_of_a_service_does_not_depend_on_which_endpoints_were_observed",
        "prefill_pace.py",
        "add(tokens, took_s / pace, 1.0, DECAY)",
        "add(tokens, took_s, 1.0, DECAY)",
    ),
    _proof(
        "a model's observed token time is normalised by the pace of its endpoint",
        "test_a_models_token_weighs_the_same_wherever_it_was_observed",
        "prefill_pace.py",
        "took_s / pace - OVERHEAD_S",
        "took_s - OVERHEAD_S",
    ),
    _proof(
        "an endpoint reads its backlog at its own pace",
        "test_a_backlog_is_read_at_the_pace_of_its_endpoint",
        "directory.py",
        "tokens_per_s / pace_estimates.current(e.pace, now)",
        "tokens_per_s",
    ),
    _proof(
        "a model's first event is expected at each endpoint's own pace",
        "test_a_first_event_is_expected_at_the_endpoint_that_begins_first",
        "gateway_models.py",
        "self._directory.durations_s(usable, works_s)",
        "works_s",
    ),
    _proof(
        "whether to escalate depends on the pace of the endpoint that would be chosen",
        "test_a_larger_model_is_asked_if_a_fast_endpoint_begins_in_time",
        "gateway_models.py",
        "self._directory.durations_s(usable, works_s)",
        "works_s",
    ),
    _proof(
        "an expectation takes a moment to end",
        "test_a_moment_slows_only_the_part_of_the_work_that_falls_into_it",
        "pace_estimates.py",
        "expected_s = known.duration_s(work_s, now)",
        "expected_s = work_s * known.current(now)",
    ),
    _proof(
        "a report in an answer that another endpoint sent is not used",
        "test_the_report_of_another_endpoint_normalises_nothing",
        "gateway_attempt.py",
        "load.pace if is_own and load is not None else None",
        "load.pace if load is not None else None",
    ),
    _proof(
        "a good version on slow endpoints is not halted",
        "test_a_good_version_on_slow_endpoints_is_not_halted",
        "gateway_judge.py",
        "            pace=1.0 if took_s is None else self._pace(attempt, took_s),\n",
        "",
    ),
    _proof(
        "a good version on slow endpoints is not judged late while it is awaited",
        "test_a_good_version_on_slow_endpoints_is_not_judged_late_while_it_is_awaited",
        "gateway_judge.py",
        "            pace=self._pace(attempt, elapsed_s),\n",
        "",
    ),
    _proof(
        "the time between events is judged at the pace of the endpoint",
        "test_a_good_version_whose_streams_run_on_slow_endpoints_is_not_halted",
        "gateway_judge.py",
        "            pace=self._pace(attempt, stream_s),\n",
        "",
    ),
    _proof(
        "fast endpoints do not hide a slow version",
        "test_fast_endpoints_do_not_hide_a_slow_version",
        "rollout_latency.py",
        "scaled = pace * _faster(self._at_usual_pace)",
        "scaled = _faster(self._as_taken)",
    ),
    _proof(
        "a fast or usual pace does not delay the halt of a slow version",
        "test_a_slow_version_is_halted_as_soon_as_without_paces",
        "rollout_latency.py",
        "return min(scaled, _faster(self._as_taken))",
        "return scaled",
    ),
    _proof(
        "a good version at the usual pace is not halted in slow moments",
        "test_a_good_version_at_the_usual_pace_is_not_halted_in_slow_moments",
        "rollout_latency.py",
        "        if pace > USUAL_PACE_END:\n            return scaled\n",
        "",
    ),
    _proof(
        "a momentary report does not excuse a long wait",
        "test_a_momentary_report_does_not_excuse_a_long_wait",
        "pace_estimates.py",
        "if rest_s <= 0:",
        "if True:",
    ),
    _proof(
        "a false report excuses a version by a bounded factor",
        "test_a_false_report_excuses_a_version_by_a_bounded_factor",
        "endpoint_pace.py",
        "return min(MAX_PACE, max(MIN_PACE, pace))",
        "return pace",
    ),
    _proof(
        "an endpoint that reports that it is slow gets the time that it needs",
        "test_an_endpoint_that_reports_that_it_is_slow_gets_the_time_that_it_needs",
        "gateway_sender.py",
        "if silent_s >= allowed_s and not is_full:",
        "if silent_s >= silence_limit_s and not is_full:",
    ),
    _proof(
        "an answer of an endpoint that reports that it is slow is awaited",
        "test_an_answer_of_a_slow_endpoint_reaches_its_caller",
        "gateway_sender.py",
        "if silent_s >= allowed_s and not is_full:",
        "if silent_s >= silence_limit_s and not is_full:",
    ),
    _proof(
        "a fast endpoint gets the usual time",
        "test_a_fast_endpoint_gets_the_usual_time",
        "pace_estimates.py",
        "return max(limit_s, duration_s(known, limit_s, now))",
        "return duration_s(known, limit_s, now)",
    ),
    _proof(
        "a false report extends a wait by a bounded factor",
        "test_a_false_report_extends_a_wait_by_a_bounded_factor",
        "pace_estimates.py",
        "return min(longest_s, max(shortest_s, expected_s))",
        "return expected_s",
    ),
    _proof(
        "a moment extends a wait by no more than it delays work",
        "test_a_moment_extends_a_wait_by_no_more_than_it_delays_work",
        "pace_estimates.py",
        "expected_s = known.duration_s(work_s, now)",
        "expected_s = work_s * known.current(now)",
    ),
    _proof(
        "an endpoint is not ejected for slowness that it reports",
        "test_an_endpoint_is_not_ejected_for_slowness_that_it_reports",
        "gateway_sender.py",
        "if not attempt.is_excused:",
        "if True:",
    ),
    _proof(
        "a stream that goes on until its deadline is not excused",
        "test_a_stream_that_goes_on_until_its_deadline_is_not_excused",
        "gateway_sender.py",
        "is_slow and now - attempt.sent_at < allowed_s",
        "is_slow and now - last_data_at < allowed_s",
    ),
    _proof(
        "paces change no estimate while their mechanism is off",
        "test_without_the_mechanism_paces_change_no_estimate",
        "pace_estimates.py",
        "return mechanisms.PACE.on and known.is_reported",
        "return known.is_reported",
    ),
)
