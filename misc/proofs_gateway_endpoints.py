"""The gateway's proofs: the choice of an endpoint and the pacing of sends."""

import typing

from misc import proofs

PROOFS: typing.Final = (
    proofs.gateway(
        "a time-out while this process is late ejects no endpoint",
        "testowndelays.py::test_an_endpoint_is_not_ejected_for_a_time_out_in_a_delay"
        "_of_ours",
        "own_delays.py",
        "if is_overdue or self._delayed_at >= since:",
        "if False:",
    ),
    proofs.gateway(
        "a time-out behind large bodies on a slow link ejects no endpoint",
        "testowndelays.py::test_an_endpoint_is_not_ejected_for_a_time_out_behind"
        "_large_bodies",
        "own_delays.py",
        "if self.link_busy_s(now) >= LINK_FULL_S:",
        "if False:",
    ),
    proofs.gateway(
        "endpoints that all time out at once are used again",
        "testowndelays.py::test_endpoints_that_all_time_out_at_once_are_used_again",
        "gateway_sender.py",
        "self._directory.take_back_ejections(doubtful - {endpoint.name})",
        "0",
    ),
    proofs.gateway(
        "a late thread looks at its connection before it times out",
        "testowndelays.py::test_a_connection_that_was_accepted_in_time_counts_though"
        "_we_run_late",
        "http_exchange.py",
        "            if got:\n                return got\n",
        "            if got and left > 0:\n                return got\n",
    ),
    proofs.gateway(
        "bytes are accepted once after a deadline",
        "testendless.py::"
        "test_bytes_without_end_do_not_hold_a_request_beyond_its_deadline",
        "http_exchange.py",
        "                if self._overdue == deadline:\n",
        "                if False:\n",
    ),
    proofs.gateway(
        "a small machine opens its port before the program is imported",
        "testearlylisten.py::test_callers_can_connect_before_the_program_is_imported",
        "gateway_main.py",
        "        early_listen.open_port(found.address, found.cpu_cores)\n",
        "        pass\n",
    ),
    proofs.gateway(
        "the wait in the backlog counts against the caller's deadline",
        "testearlylisten.py::test_the_time_in_the_backlog_counts_against_the_callers"
        "_deadline",
        "gateway_http.py",
        "return float(self._server.unserved_s) / 2",
        "return 0.0",
    ),
    proofs.gateway(
        "an endpoint that restarts counts as a new incarnation",
        "testreborn.py::test_a_new_incarnation_has_no_state_of_the_earlier_one",
        "directory_rows.py",
        "endpoint is not None and endpoint.row.born != row.born",
        "False and endpoint is not None",
    ),
    proofs.gateway(
        "a leaving endpoint gets no new requests",
        "testrouting.py::test_a_draining_endpoint_is_used_only_if_alone_and_for_a"
        "_short_time",
        "directory_rows.py",
        "return staying if any(test(e) for e in staying) else live",
        "return live",
    ),
    proofs.gateway(
        "a peer that reports most endpoints unreachable is ignored",
        "testrouting.py::test_an_endpoint_that_peers_find_unreachable_is_suspected"
        "_until_heard",
        "directory_peers.py",
        "if found[endpoint.row.service] > max(1, MAX_UNREACHABLE_SHARE * size):",
        "if False:",
    ),
    proofs.gateway(
        "a prompt counts as cached only after its prefill",
        "testprompts.py::test_prompts_are_reported_to_other_gateways_once",
        "directory.py",
        "            endpoint.backlog.add(prompt.prefill_tokens, now)\n",
        "            endpoint.backlog.add(prompt.prefill_tokens, now)\n"
        "            self._use(endpoint, prompt.hashes)\n",
    ),
    proofs.gateway(
        "routing by prefix caches saves prefill",
        "testprompts.py::test_engines_prefill_less_when_routing_knows_their_caches",
        "prefix_cache.py",
        "            cached += hash_.tokens\n",
        "            cached += 0\n",
    ),
    proofs.gateway(
        "refused callers get retry times one after another",
        "testreturns.py::test_more_callers_are_served_than_with_random_retry_times",
        "retry_schedule.py",
        "self._last_retry_at + pace_s",
        "self._last_retry_at",
    ),
    proofs.gateway(
        "crashes that a request does not explain raise its quarantine threshold",
        "testquarantine.py::test_no_bystander_is_held_where_endpoints_end_by"
        "_themselves",
        "crash_causes.py",
        "return suspicion.HELD_WEIGHT + suspicion.BEGUN_WEIGHT * extra",
        "return suspicion.HELD_WEIGHT",
    ),
    proofs.gateway(
        "what is held outlives all gateways",
        "testheldrows.py::test_a_gateway_that_starts_alone_holds_what_was_held",
        "held_rows.py",
        "self._quarantine.merge(found, is_far=False)",
        "pass",
    ),
    proofs.gateway(
        "crashes count against the shared segments of prompts",
        "testpoison.py::test_unlike_requests_with_a_poison_segment_do_not_crash"
        "_endpoint_after_endpoint",
        "gateway_quarantine.py",
        "marks.segments if send.counts_shared else ()",
        "()",
    ),
    proofs.gateway(
        "a request with another query is another request",
        "testpoison.py::test_answers_to_sound_requests_with_other_queries_do_not"
        "_clear_a_poison_request",
        "request_fingerprint.py",
        "(content.query, *",
        '(b"", *',
    ),
    proofs.gateway(
        "crashes count against what the tries of a request have in common",
        "testpoison.py::test_a_poison_request_that_counts_its_tries_in_its_query_is"
        "_held",
        "gateway_quarantine.py",
        "marks.families if send.counts_shared else ()",
        "()",
    ),
    proofs.gateway(
        "segments with which requests run well are not suspected",
        "testsegments.py::test_a_segment_that_begins_to_crash_endpoints_is_held",
        "suspect_evidence.py",
        "return now < self.health.last(shared) + HEALTHY_S",
        "return False",
    ),
    proofs.gateway(
        "crashes that a held segment explains count against nothing else",
        "testsegments.py::test_crashes_that_a_held_segment_explains_hold_no_bystander",
        "quarantine.py",
        "self._causes.explain(incarnation, suspect.fingerprint)",
        "pass",
    ),
    proofs.gateway(
        "the segments of one request that is sent again are not held",
        "testsegments.py::test_the_segments_of_one_request_that_is_sent_again_are_not"
        "_held",
        "suspicion.py",
        "return not self.is_shared or len(self.requests) >= MIN_REQUESTS",
        "return True",
    ),
    proofs.gateway(
        "gateways do not all release a held segment at once",
        "testsegments.py::test_gateways_do_not_release_a_segment_at_the_same_time",
        "quarantine.py",
        "delay_s = self._release_delay_s if suspect.is_shared else 0.0",
        "delay_s = 0.0",
    ),
    proofs.gateway(
        "attempts of a suspected request run one at a time",
        "testpoison.py::test_a_try_of_a_suspected_request_waits_for_the_one_before_it",
        "gateway_find.py",
        "if not self._must_wait(call):",
        "if True:",
    ),
    proofs.gateway(
        "a crash of a leaving endpoint counts against no request",
        "testpoison.py::test_endpoints_that_leave_and_end_speak_against_nobody",
        "gateway_quarantine.py",
        "if endpoint.announced_end or not was_running:",
        "if not was_running:",
    ),
    proofs.gateway(
        "sends to an endpoint that warms up are paced",
        "testwarmup.py::test_an_endpoint_that_turns_cold_again_is_limited",
        "warm_up.py",
        "            endpoint.next_send_at = now + pause\n",
    ),
    proofs.gateway(
        "all gateways together keep to an endpoint's rate limit",
        "testlimits.py::test_an_endpoint_in_need_gets_what_it_names_from_all_gateways",
        "directory_rows.py",
        'return "" if self.pacer.take(endpoint) else "rate limited"',
        'return ""',
    ),
    proofs.gateway(
        "an answer to an earlier request does not relax a newer rate limit",
        "testlimits.py::test_a_limit_holds_until_an_answer_to_a_later_request_names"
        "_none",
        "rate_limits.py",
        "if _relaxes(known, per_s) and known and sent_at <= known.as_of:",
        "if False:",
    ),
    proofs.gateway(
        "gateways lend their unused part of a rate limit to others",
        "testlimits.py::test_a_limit_is_used",
        "rate_pacing.py",
        "    return equal + spare * lack / lacks",
        "    return equal",
    ),
    proofs.gateway(
        "gateways are due at random times after a rate limit became known",
        "testlimits.py::test_callers_with_a_regular_pace_do_not_exceed_a_limit"
        "[21-2.4-in-step]",
        "rate_pacing.py",
        "pace = Pace(share, self._rng.random(), since)",
        "pace = Pace(share, 1.0, since)",
    ),
    proofs.gateway(
        "a gateway does not make up for shares that were used",
        "testlimits.py::test_no_more_is_sent_than_the_shares_add_up_to",
        "send_credit.py",
        "        self._credit -= 1.0\n",
        "        self._credit -= 0.5\n",
    ),
    proofs.gateway(
        "a gateway keeps no more credit than the endpoint tolerates",
        "testlimits.py::test_callers_with_a_regular_pace_do_not_exceed_a_limit"
        "[21-2.4-in-step]",
        "send_credit.py",
        "        if excess > 0:\n            self",
        "        if False:\n            self",
    ),
    proofs.gateway(
        "a relayed report of a rate limit does not become newer",
        "testlimits.py::test_a_limit_report_does_not_become_newer_when_relayed",
        "rate_limits.py",
        "is_newer = as_of > known.as_of + SIMULTANEOUS_S",
        "is_newer = as_of > known.as_of",
    ),
    proofs.gateway(
        "a request that cannot be sent in time is refused at once",
        "testpaced.py::test_requests_above_the_rate_limits_are_refused_as_not_run",
        "gateway_find.py",
        "if self._queue.expected_send_at(call, position, turn) > latest_at:",
        "if False:",
    ),
    proofs.gateway(
        "a request is refused at once when all endpoints of its service are gone",
        "testgone.py::test_a_service_that_is_wholly_gone_is_refused_as_not_run",
        "gateway_find.py",
        "        if not living:\n",
        "        if False:\n",
    ),
    proofs.gateway(
        "the last endpoint is not given to a request that saw other endpoints crash",
        "testgone.py::test_a_suspected_request_does_not_get_the_last_endpoint",
        "suspicion.py",
        "return crash_count >= RESERVE_CRASHES and living <= 1 < all_of",
        "return False",
    ),
    proofs.gateway(
        "queued requests are sent by urgency",
        "testpaced.py::test_requests_are_queued_by_urgency_and_then_by_arrival",
        "paced_queue.py",
        "position = Position(call.urgency, next(self._numbers))",
        "position = Position(0, next(self._numbers))",
    ),
    proofs.gateway(
        "an endpoint that was missing for a while starts slowly",
        "testwarmup.py::test_an_endpoint_that_was_away_is_limited_before_its_row_says"
        "_so",
        "warm_up.py",
        "if rule is not None and rule.lasts_s > 0:",
        "if False:",
    ),
    proofs.gateway(
        "a cordoned hall gets no requests",
        "testemptied.py::test_an_order_stands_until_its_row_goes",
        "directory_rows.py",
        "        return endpoint.row.hall not in self._cordoned\n",
        "        return True\n",
    ),
    proofs.gateway(
        "a send chosen before its hall was cordoned is stopped",
        "testemptied.py::test_a_send_that_was_chosen_before_the_order_does_not_go_out",
        "directory_rows.py",
        "if endpoint.row.hall in self._cordoned:",
        "if False:",
    ),
    proofs.gateway(
        "requests stay in the regions that route and workspace allow",
        "testemptied.py::test_regions_of_the_route_and_of_the_workspace_both_bind",
        "gateway_choose.py",
        "        return all(not regions or region in regions for regions in"
        " allowed_regions)",
        "        return True",
    ),
    proofs.gateway(
        "transient slowdowns leave the lasting pace",
        "testpace.py::test_transient_slowdowns_leave_the_lasting_pace",
        "endpoint_pace.py",
        "self._lasting = paces[int((len(paces) - 1) * QUANTILE)]",
        "self._lasting = pace",
    ),
    proofs.gateway(
        "a report of another endpoint at the address is not used",
        "testpace.py::test_a_report_of_another_endpoint_says_nothing_about_this_one",
        "directory_paces.py",
        "report is None or head.wrong_endpoint or",
        "report is None or",
    ),
    proofs.gateway(
        "a fast endpoint gets more than a slow one",
        "testpace.py::test_a_fast_endpoint_gets_more_but_not_everything",
        "policy_routing.py",
        "fill = expected_fill(candidate) * candidate.pace",
        "fill = expected_fill(candidate)",
    ),
    proofs.gateway(
        "without the others' loads, endpoints are drawn in proportion to speed",
        "testpace.py::test_without_the_loads_of_others_the_best_pace_does_not_attract"
        "_all",
        "policy_routing.py",
        "return -math.log(1.0 - rng.random()) * candidate.pace",
        "return candidate.pace",
    ),
    proofs.gateway(
        "reports of a gateway reach the others of its hall",
        "testpace.py::test_a_report_reaches_the_hall_at_once_and_other_halls_as_a"
        "_lasting_pace",
        "mesh.py",
        "            self._directory.apply_peer_paces(beat.sender, beat.paces)\n",
        "",
    ),
    proofs.gateway(
        "a gateway that starts learns all paces",
        "testpace.py::test_a_gateway_that_starts_knows_all_paces_after_two_heartbeats",
        "mesh_beats.py",
        "            peer.paces_due = self._directory.known_paces()\n",
        "            peer.paces_due = []\n",
    ),
    proofs.gateway(
        "false figures are bounded in decisions",
        "testpace.py::test_false_figures_are_bounded_in_decisions",
        "endpoint_pace.py",
        "return min(MAX_PACE, max(MIN_PACE, pace))",
        "return pace",
    ),
)
