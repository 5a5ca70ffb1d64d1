"""The proofs of the gateway: row 11, beside the ten rows of the brief."""

import typing

from misc import proofs

ROW: typing.Final = 11


def _proof(
    mechanism: str, test: str, file: str, old: str, new: str = ""
) -> proofs.Proof:
    return proofs.Proof(ROW, mechanism, test, (proofs.Edit(file, old, new),))


PROOFS: typing.Final = (
    _proof(
        "a newer copy is not undone by an older answer",
        "testfleet.py::test_a_copy_of_a_peer_is_not_undone_by_an_older_answer",
        "followers.py",
        "            if old is not None and old.version >= row.version:\n"
        "                continue\n",
    ),
    _proof(
        "a row removed meanwhile does not come back",
        "testfleet.py::test_a_copy_of_a_peer_is_not_undone_by_an_older_answer",
        "followers.py",
        "            if row.version <= known_until and old is None:\n",
        "            if False:\n",
    ),
    _proof(
        "a peer that stays ahead is asked",
        "testfleet.py::test_a_peer_that_stays_ahead_is_asked_though_the_store_says"
        "_nothing",
        "row_exchange.py",
        "return not follower.connected or now >= since + followers.BEHIND_S",
        "return not follower.connected",
    ),
    _proof(
        "history that is gone is read anew",
        "testfleet.py::test_the_store_is_followed_through_lost_history_and_outages",
        "followers.py",
        "                self._is_read = False\n"
        "            except gateway_api.StoreError",
        "            except gateway_api.StoreError",
    ),
    _proof(
        "a poll that tells nothing is checked",
        "testfreshness.py::test_a_configuration_is_in_force_after_an_outage_swallowed"
        "_the_poll",
        "followers.py",
        "if self.fresh.is_check_due and self._ask(since):",
        "if False:",
    ),
    _proof(
        "a poll that a peer's copy went before is left",
        "testfreshness.py::test_a_poll_that_a_peers_copy_went_before_is_asked_about"
        "_and_left",
        "followers.py",
        "            # A poll that does not tell the same soon is not going to.\n"
        "            self.expect_change()\n",
    ),
    _proof(
        "one who rests asks when no proof reaches it",
        "testfreshness.py::test_a_follower_that_rests_asks_when_no_proof_reaches_it",
        "followers.py",
        "elif not self.connected or self.fresh.is_check_due:",
        "elif not self.connected:",
    ),
    _proof(
        "a peer's proof counts for the same rows alone",
        "testfreshness.py::test_a_peers_proof_counts_for_the_same_rows_alone",
        "followers.py",
        "if news.digest == self._digest:",
        "if news.changed == self.changed:",
    ),
    _proof(
        "a proof keeps its age under way",
        "testfreshness.py::test_a_proof_keeps_its_age_however_long_it_was_under_way",
        "freshness.py",
        "at = self._store_clock.earliest(stamp)",
        "at = self._clock.now()",
    ),
    _proof(
        "a copy that is older than what was read is not taken",
        "testfollowing.py::test_a_row_that_is_gone_does_not_come_back_with_an_older"
        "_copy",
        "followers.py",
        "if page.version <= self.version:\n                return",
        "if page.version <= self.changed:\n                return",
    ),
    _proof(
        "what was told of an order holds when it comes",
        "testrollouts.py::test_what_peers_told_of_an_order_holds_as_soon_as_it_comes",
        "rollouts.py",
        "if told is not None and told.revision == revision:",
        "if False:",
    ),
    _proof(
        "an outcome is written on condition of its row",
        "testtakeover.py",
        "rollout_writer.py",
        "gateway_api.Write(table, key, value, expect)",
        "gateway_api.Write(table, key, value)",
    ),
    _proof(
        "a write whose outcome is not known is made again",
        "testrollouts.py::test_a_halt_is_written_again_until_the_store_takes_it",
        "rollout_writer.py",
        "self._quiet_until = self._clock.now() + AFTER_ERROR_S\n            eventlog",
        "self._quiet_until = clock.NEVER\n            eventlog",
    ),
    _proof(
        "followers take no step back, whatever comes late",
        "testfollowing.py",
        "followers.py",
        "            if old is not None and old.version >= row.version:\n"
        "                continue\n",
    ),
    _proof(
        "a follower outlives a fault of its sink",
        "testfreshness.py::test_a_follower_outlives_a_fault_of_its_sink",
        "followers.py",
        "            except Exception as exc:",
        "            except NotImplementedError as exc:",
    ),
    _proof(
        "a peer that was heard is not forgotten by a cut",
        "testfleet.py::test_a_peer_that_was_heard_is_tried_for_an_hour_and_another_is"
        "_not",
        "mesh.py",
        "(FORGET_HEARD_S if is_kept else FORGET_S)",
        "FORGET_S",
    ),
    _proof(
        "an answer that goes silent in its body is given up",
        "testsilent.py::test_a_safe_request_goes_elsewhere_when_its_connection_went"
        "_silent",
        "gateway_sender.py",
        "                if reason:\n"
        "                    if reason != gateway_attempt.HELD:",
        "                if reason == gateway_attempt.DEADLINE:\n"
        "                    if reason != gateway_attempt.HELD:",
    ),
    _proof(
        "a table of several pages is as new as its first",
        "testfreshness.py::test_a_change_of_an_earlier_page_while_a_later_one_is_read"
        "_is_not_lost",
        "platform/store.py",
        '_number(first, "Ver")',
        '_number(body, "Ver")',
    ),
    _proof(
        "an announcement is made until it is answered",
        "testfreshness.py::test_a_gateway_whose_announcement_was_not_answered_makes_it"
        "_again",
        "gateway_own.py",
        "self._until_done(self._announce)",
        "self._announce()",
    ),
    _proof(
        "a call that may have run is not sent again",
        "testgateway.py::test_a_request_that_may_have_run_is_not_sent_again",
        "gateway_serve.py",
        "return call.route.repeatable and self._may_send_again(call)",
        "return self._may_send_again(call)",
    ),
    _proof(
        "a stream goes on after the last event that the caller has",
        "testgateway.py::test_a_resumed_stream_keeps_its_model_and_names_the_last"
        "_event",
        "gateway_relay.py",
        "attempt = sends.send(call, reply, model, last)",
        "attempt = sends.send(call, reply, model, 0)",
    ),
    _proof(
        "only whole events are passed on",
        "testrouting.py::test_events_come_whole_however_the_bytes_are_cut",
        "event_stream.py",
        "        return min(ends) if ends else -1",
        "        return min(ends) if ends else len(self._rest) or -1",
    ),
    _proof(
        "the system's headers are dropped",
        "testgateway.py::test_forged_headers_and_keys_do_not_reach_an_endpoint",
        "platform/wire.py",
        "dropped = CONNECTION_HEADERS | SYSTEM_HEADERS | ",
        "dropped = CONNECTION_HEADERS | ",
    ),
    _proof(
        "a wait notices that the caller left",
        "testgateway.py::test_a_caller_that_leaves_stops_its_endpoints_work",
        "http_exchange.py",
        "            self._caller.watch(poller)\n",
    ),
    _proof(
        "framing that reads in two ways is refused",
        "testgateway.py::test_a_request_that_can_be_read_in_two_ways_is_refused",
        "gateway_http.py",
        "        _check_framing(raw)\n",
    ),
    _proof(
        "a gateway that may be behind does not refuse for good",
        "testgateway.py::test_a_gateway_that_may_be_behind_does_not_refuse_for_good",
        "gateway_serve.py",
        "        if self._is_stale():\n",
        "        if False:\n",
    ),
    _proof(
        "the allowance is shared by the members",
        "testrouting.py::test_the_allowance_of_the_fleet_is_shared",
        "retry_window.py",
        "self._allowance / members if members else 0.0",
        "self._allowance",
    ),
    _proof(
        "a gateway that is cut off has no more than its part of the allowance",
        "testhalls.py::test_a_gateways_budget_goes_by_the_most_gateways_that_were"
        "_known",
        "gateway_node.py",
        "window_s,\n            lambda: self.mesh.most_gateways(),",
        "window_s,\n            lambda: self.mesh.members(),",
    ),
    _proof(
        "no session changes sides in the first half",
        "testrollouts.py::test_no_session_changes_its_version_in_the_first_half",
        "rollouts.py",
        "            if passed >= since:\n",
        "            if passed >= since / 2:\n",
    ),
    _proof(
        "evidence is judged route by route",
        "testrollouts.py::test_a_version_that_fails_on_one_route_is_stopped",
        "rollout_evidence.py",
        'return ["", *(f"/{route}" for route in sorted(self._routes.get(label, ())))]',
        'return [""]',
    ),
    _proof(
        "slow answers are evidence",
        "testrollouts.py::test_a_version_that_is_slow_is_stopped",
        "rollout_evidence.py",
        'return "slow" if slow else ""',
        'return ""',
    ),
    _proof(
        "a canary's share goes to the same share of endpoints",
        "testrollouts.py::test_an_unproved_version_is_as_loaded_as_it_will_be",
        "rollouts.py",
        "return sorted(names)[: max(1, int(share * len(names)))]",
        "return names",
    ),
    _proof(
        "a session keeps its version whichever gateway it comes through",
        "testmovedsessions.py::test_a_session_keeps_its_version_whichever_gateway_it"
        "_comes_through",
        "rollouts.py",
        "return rollout.is_held(now) or rollout.kept.is_told(mark, now)",
        "return rollout.is_held(now)",
    ),
    _proof(
        "no session moves before all gateways have told theirs",
        "testmovedsessions.py::test_no_session_moves_before_all_have_told",
        "rollouts.py",
        "return rollout.is_held(now) or rollout.kept.is_told(mark, now)",
        "return rollout.kept.is_told(mark, now)",
    ),
    _proof(
        "a late answer of the store makes no rollout older",
        "testmovedsessions.py::test_a_store_that_answers_late_makes_no_rollout_older",
        "gateway_rows.py",
        "store_clock.latest(start.started)",
        "store_clock.earliest(start.started)",
    ),
    _proof(
        "no start is written by a clock that is not the store's",
        "testmovedsessions.py::test_a_start_is_not_written_by_a_clock_that_is_not"
        "_known",
        "rollout_writer.py",
        "rollout.written is None and self._store_clock.is_known",
        "rollout.written is None",
    ),
    _proof(
        "a version without answers is stopped",
        "testunstopped.py::test_a_version_that_gives_no_answers_is_stopped",
        "gateway_judge.py",
        "        if self._judge(call, attempt, call.route.name, judged):\n",
        "        if False:\n",
    ),
    _proof(
        "slow old answers do not hide a slow new version",
        "testunstopped.py::test_slow_answers_of_the_old_version_do_not_hide_a_slow"
        "_new_one",
        "rollout_pace.py",
        "return times[int(FAST_SHARE * len(times))]",
        "return sum(times) / len(times)",
    ),
    _proof(
        "a crash speaks against no version",
        "testunstopped.py::test_an_endpoint_that_crashes_does_not_speak_against_its"
        "_version",
        "gateway_judge.py",
        "if not lives or not self.looks_at_breaks(call):",
        "if not self.looks_at_breaks(call):",
    ),
    _proof(
        "a version in doubt is not completed",
        "testunstopped.py::test_a_version_in_doubt_is_not_completed",
        "rollout_writer.py",
        "if not self._rollouts.is_doubted(rollout):",
        "if True:",
    ),
    _proof(
        "an endpoint that starts again is a new one",
        "testreborn.py::test_a_new_life_knows_nothing_of_the_one_before",
        "directory_rows.py",
        "endpoint is not None and endpoint.row.born != row.born",
        "False and endpoint is not None",
    ),
    _proof(
        "an odd row names no endpoint",
        "testoddrows.py::test_an_odd_row_names_no_endpoint_and_the_others_hold",
        "gateway_rows.py",
        "self._directory.update(row.key, None)\n        if whole:",
        "pass\n        if whole:",
    ),
    _proof(
        "an outcome of an earlier order is ignored",
        "testrollouts.py::test_an_outcome_of_an_earlier_order_says_nothing_of_a_later"
        "_one",
        "rollouts.py",
        "if not same or outcome.row_version < rollout.revision:",
        "if not same:",
    ),
    _proof(
        "a rollout completes when nothing runs on the old version",
        "testrollouts.py::test_a_rollout_completes_when_nothing_runs_on_the_old"
        "_version",
        "rollout_writer.py",
        "now >= self._latest(rollout) or not self._mesh.on_old_version(service)",
        "True",
    ),
    _proof(
        "a peer's word halts a version",
        "testrollouts.py::test_a_peers_word_halts_a_version",
        "rollouts.py",
        "        if news.halted:\n            self.halt(",
        "        if False:\n            self.halt(",
    ),
    _proof(
        "a leaving endpoint gets nothing new",
        "testrouting.py::test_a_leaving_endpoint_is_used_only_alone_and_not_for_long",
        "directory_rows.py",
        "        return staying or live",
        "        return live",
    ),
    _proof(
        "a process that stops refuses in the end",
        "testgateway.py::test_a_process_at_its_end_takes_nothing_more",
        "gateway_node.py",
        "        self.server.end_at = self.server.take_all_until = self.clock.now()\n",
    ),
    _proof(
        "halts and newer rows go to far peers at once",
        "testfleet.py::test_far_peers_get_fewer_beats_and_halts_at_once",
        "mesh_peers.py",
        "    if news.urgent != peer.told.urgent:\n",
        "    if False:\n",
    ),
    _proof(
        "a gateway that finds most endpoints dark is not believed",
        "testrouting.py::test_an_endpoint_that_others_find_dark_is_doubted_until_it"
        "_speaks",
        "directory_told.py",
        "if found[endpoint.row.service] > max(1, DARK_SHARE * size):",
        "if False:",
    ),
    _proof(
        "a request whose time is over before its send ends at once",
        "testgateway.py::test_a_request_whose_time_is_over_before_its_send_ends_at"
        "_once",
        "gateway_serve.py",
        "if call.sends == sends and self._clock.now() < call.deadline:",
        "if call.sends == sends:",
    ),
    _proof(
        "a silent connection between gateways is opened anew",
        "testfleet.py::test_a_connection_between_gateways_that_went_silent_is_opened"
        "_anew",
        "mesh.py",
        "    sock.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)\n",
    ),
    _proof(
        "a gateway that takes no connection is not ready",
        "testgateway.py::test_a_gateway_that_takes_no_connection_is_not_ready",
        "gateway_node.py",
        "self.is_ready and self.port.is_accepting and not self.leaving",
        "self.is_ready and not self.leaving",
    ),
    _proof(
        "a prompt is kept only once it was read",
        "testprompts.py::test_prompts_are_told_to_other_gateways_once",
        "directory.py",
        "            endpoint.backlog.add(prompt.reading, now)\n",
        "            endpoint.backlog.add(prompt.reading, now)\n"
        "            self._use(endpoint, prompt.marks)\n",
    ),
    _proof(
        "engines read less when the choice knows what they keep",
        "testprompts.py::test_engines_read_less_when_the_choice_knows_what_they_keep",
        "prefix_cache.py",
        "            kept += mark.tokens\n",
        "            kept += 0\n",
    ),
    _proof(
        "the smallest model that is likely sure is asked",
        "testrouting.py::test_the_smallest_model_that_is_likely_sure_is_asked",
        "policy_models.py",
        "            if confidence + total / count >= DOUBTFUL:\n",
        "            if False:\n",
    ),
    _proof(
        "a request during the start is held for a moment",
        "testgateway.py::test_a_request_that_comes_during_the_start_is_held_for_a"
        "_moment",
        "gateway_serve.py",
        "        self._await_ready()\n",
    ),
    _proof(
        "carriers that fell silent are passed by",
        "testhalls.py::test_carriers_that_fail_are_passed_by",
        "mesh_plan.py",
        "if peer.heard_at >= now - HEARD_S and peer.beat",
        "if peer.beat",
    ),
    _proof(
        "one who is spoken to and does not carry names those who do",
        "testhalls.py::test_a_gateway_that_is_spoken_to_and_does_not_carry_names_those"
        "_who_do",
        "mesh.py",
        "chosen = mesh_plan.to_correct(self._far(), now)",
        "chosen = []",
    ),
    _proof(
        "halls that were cut off find each other again",
        "testhalls.py::test_halls_that_were_cut_off_for_minutes_find_each_other_again",
        "mesh.py",
        "is_kept = peer.name or self._is_far(peer)",
        "is_kept = peer.name",
    ),
    _proof(
        "a summary of a hall is not used past its time",
        "testhalls.py::test_a_halls_load_is_known_in_other_halls_and_not_past_its_time",
        "mesh_halls.py",
        "if k.as_of < now - SILENT_S]",
        "if False]",
    ),
    _proof(
        "a summary is taken by its age, whoever tells it",
        "testhalls.py::test_a_summary_is_taken_by_its_age_whoever_tells_it",
        "mesh_halls.py",
        "(known and known.as_of >= as_of)",
        "False",
    ),
    _proof(
        "what all must know is passed on at once",
        "testhalls.py::test_a_summary_goes_around_once_unless_it_changes_what_all_must"
        "_know",
        "mesh_halls.py",
        "return is_newer and known.news.urgent != before.news.urgent",
        "return False",
    ),
    _proof(
        "evidence of a hall goes to others as a sum",
        "testhalls.py::test_evidence_costs_as_much_between_halls_whatever_gateways"
        "_they_have",
        "mesh_beats.py",
        "return self._evidence.sums_since(peer.tick, name, is_near)",
        "return [c for c in counters if is_near(c.source)]",
    ),
    _proof(
        "a store that is away is left to others while they try",
        "testfreshness.py::test_a_store_that_is_away_is_left_to_others_for_as_long"
        "_as_they_try",
        "followers.py",
        "left_at if self._is_read and self._is_left() else try_at",
        "try_at",
    ),
    _proof(
        "a session that goes on stays where it ran",
        "testrollouts.py::test_a_session_that_runs_keeps_its_version_when_an_order"
        "_comes",
        "rollouts.py",
        "on_new = not self._stays_on_old(rollout, session, mark)",
        "pass",
    ),
    _proof(
        "refused callers come back one after another",
        "testreturns.py::test_more_callers_are_served_than_with_times_drawn_from_a"
        "_span",
        "return_times.py",
        "self._last_at + pace_s",
        "self._last_at",
    ),
    _proof(
        "a request that ends endpoints is held on every gateway",
        "testpoison.py::test_a_poison_request_ends_three_endpoints_whichever_gateways"
        "_it_comes_through",
        "mesh.py",
        "        self._quarantine.take(beat.suspects, self._is_far(peer))\n",
    ),
    _proof(
        "carriers pass on what is held",
        "testquarantine.py::test_ends_that_three_gateways_saw_hold_a_request"
        "_everywhere",
        "mesh_beats.py",
        "        if not self._carried:\n"
        "            return (quarantine.Origin.OWN,)\n",
        "        if True:\n            return (quarantine.Origin.OWN,)\n",
    ),
    _proof(
        "what is held is told again to one that missed it",
        "testquarantine.py::test_a_gateway_that_was_cut_off_hears_what_is_held_when"
        "_it_is_back",
        "mesh.py",
        "is_all_held = now >= peer.held_told_at + quarantine.TELL_HELD_S",
        "is_all_held = False",
    ),
    _proof(
        "ends that a request does not explain speak for it",
        "testquarantine.py::test_no_bystander_is_held_where_endpoints_end_by"
        "_themselves",
        "quarantine.py",
        "return HELD_WEIGHT + BEGUN_WEIGHT * (others // OTHER_ENDS)",
        "return HELD_WEIGHT",
    ),
    _proof(
        "a send that waits is taken back when its request is held",
        "testpoison.py::test_a_send_that_waits_is_taken_back_when_its_request_is_held",
        "gateway_sender.py",
        "if self._gate.is_to_be_withdrawn(call, attempt):",
        "if False:",
    ),
    _proof(
        "a whole answer clears a request",
        "testpoison.py::test_a_stream_that_runs_goes_on_and_clears_its_request",
        "gateway_relay.py",
        "                self._gate.note_whole(call)\n",
    ),
    _proof(
        "tries of a suspected request do not run side by side",
        "testpoison.py::test_a_try_of_a_suspected_request_waits_for_the_one_before_it",
        "gateway_find.py",
        "if not self._must_wait(call):",
        "if True:",
    ),
    _proof(
        "an endpoint that takes connections has not ended",
        "testpoison.py::test_answers_that_break_off_at_living_endpoints_speak_against"
        "_nobody",
        "gateway_sender.py",
        "        if lives:\n            self._gate.lives(endpoint)\n"
        "        elif weight:\n",
        "        endpoint.is_dark = True\n        if weight:\n",
    ),
    _proof(
        "an endpoint that leaves and ends speaks against nobody",
        "testpoison.py::test_endpoints_that_leave_and_end_speak_against_nobody",
        "gateway_quarantine.py",
        "if attempt.endpoint.leave_at != clock.NEVER:",
        "if False:",
    ),
    _proof(
        "the own mode's entries hold a request as well",
        "testownpoison.py::test_a_poison_request_ends_three_engines_whichever_entries"
        "_it_comes_through",
        "entry_dispatch.py",
        "            self._refuse_held(call, refusal)\n",
    ),
    _proof(
        "agents pass on what entries hold",
        "testownpoison.py::test_an_entry_that_starts_later_hears_what_is_held",
        "agent_hub.py",
        "        self._quarantine.take(msg.suspects, is_far=False)\n",
    ),
    _proof(
        "a suspension counts in every age",
        "testsuspended.py::test_what_was_allowed_before_a_suspension_is_not_allowed"
        "_by_it",
        "clock.py",
        "return time.clock_gettime(time.CLOCK_BOOTTIME)",
        "return time.monotonic()",
    ),
    _proof(
        "an attempt is not waited for past its deadline",
        "testsuspended.py::test_an_attempt_of_the_own_mode_is_not_waited_for_past"
        "_its_deadline",
        "clock.py",
        "cond.wait(min(left, SLICE_S))",
        "cond.wait(left)",
    ),
    _proof(
        "an endpoint that warms up gets what it bears",
        "testwarmup.py::test_one_that_turns_cold_again_is_spared",
        "warm_up.py",
        "            endpoint.next_send_at = now + pause\n",
    ),
    _proof(
        "an endpoint that names a rate limit gets it from all gateways together",
        "testlimits.py::test_an_endpoint_in_need_gets_what_it_names_from_all_gateways",
        "directory_rows.py",
        'return "" if self.pacer.take(endpoint) else "rate limited"',
        'return ""',
    ),
    _proof(
        "an answer that was begun before a limit was named does not end it",
        "testlimits.py::test_a_limit_holds_until_an_answer_to_a_later_request_names"
        "_none",
        "rate_limits.py",
        "if _relaxes(known, per_s) and known and sent_at <= known.as_of:",
        "if False:",
    ),
    _proof(
        "what one gateway does not want of a limit another one may send",
        "testlimits.py::test_a_limit_is_used",
        "rate_pacing.py",
        "    return equal + spare * lack / lacks",
        "    return equal",
    ),
    _proof(
        "gateways that begin at once draw the moments of their first sends",
        "testlimits.py::test_no_window_holds_more_than_is_allowed",
        "rate_pacing.py",
        "            pace.begin(now, self._rng.random())",
        "            pace.begin(now, 1.0)",
    ),
    _proof(
        "all gateways hear of a limit",
        "testlimits.py::test_all_gateways_hear_of_a_limit_and_of_its_end",
        "mesh_beats.py",
        "            limits=self._directory.pacer.news(),\n",
    ),
    _proof(
        "word of a limit does not grow newer by being told back",
        "testlimits.py::test_word_of_a_limit_does_not_grow_newer_by_being_told",
        "rate_limits.py",
        "is_newer = as_of > known.as_of + SAME_S",
        "is_newer = as_of > known.as_of",
    ),
    _proof(
        "what endpoints do not take in time is refused at once",
        "testpaced.py::test_what_is_more_than_all_endpoints_take_is_refused_as_not"
        "_run",
        "gateway_find.py",
        "if self._line.sent_at(call, place, turn) > latest_at:",
        "if False:",
    ),
    _proof(
        "a request of a service that is wholly gone is refused at once",
        "testgone.py::test_a_service_that_is_wholly_gone_is_refused_as_not_run",
        "gateway_find.py",
        "        if not living:\n",
        "        if False:\n",
    ),
    _proof(
        "one that was open as others ended does not get the last endpoint",
        "testgone.py::test_a_suspected_request_does_not_get_the_last_endpoint",
        "quarantine.py",
        "return ends >= SPARED_ENDS and living <= 1 < all_of",
        "return False",
    ),
    _proof(
        "the most urgent that waits goes first",
        "testpaced.py::test_the_most_urgent_goes_first_and_then_who_came_first",
        "paced_line.py",
        "place = Place(call.urgency, next(self._numbers))",
        "place = Place(0, next(self._numbers))",
    ),
    _proof(
        "an endpoint that was out of sight counts as not warm",
        "testwarmup.py::test_one_that_was_out_of_sight_is_spared_before_its_row_says"
        "_so",
        "warm_up.py",
        "if rule is not None and rule.lasts_s > 0:",
        "if False:",
    ),
    _proof(
        "a gateway that is cut off goes by the fleet as it was",
        "testwarmup.py::test_a_fleet_that_falls_apart_goes_by_what_it_was",
        "mesh_members.py",
        "return max(self._counted.value, self._told_most.value)",
        "return self.members()",
    ),
    _proof(
        "an emptied hall gets nothing",
        "testemptied.py::test_an_order_stands_until_its_row_goes",
        "directory_rows.py",
        "        return endpoint.row.hall not in self._emptied\n",
        "        return True\n",
    ),
    _proof(
        "a send that was chosen before its hall was emptied does not go out",
        "testemptied.py::test_a_send_that_was_chosen_before_the_order_does_not_go_out",
        "directory_rows.py",
        "if endpoint.row.hall in self._emptied:",
        "if False:",
    ),
    _proof(
        "requests stay in the regions of their route and workspace",
        "testemptied.py::test_regions_of_the_route_and_of_the_workspace_both_bind",
        "gateway_choose.py",
        "        return all(not regions or region in regions for regions in homes)",
        "        return True",
    ),
    _proof(
        "the store came back when it answered somebody again",
        "testhalls.py::test_a_gateway_that_left_the_store_to_others_knows_when_it_came"
        "_back",
        "mesh_members.py",
        "return min(self._clock.now(), self._answered_since)",
        "return self._clock.now()",
    ),
    _proof(
        "changes that are not all known are no answer to a peer",
        "testscale.py::test_a_peer_that_is_too_far_behind_gets_the_whole_table",
        "followers.py",
        "            if since < self._changes_from:\n                return None\n",
    ),
)

ALL: typing.Final = (*proofs.PROOFS, *PROOFS)
