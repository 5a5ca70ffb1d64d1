"""The gateway's proofs: followers of the store's tables, and rollouts."""

import typing

from misc import proofs

VERIFIED: typing.Final = (
    "testverified.py::test_rows_from_before_a_peers_verification_are_not_verified_by_it"
)

PROOFS: typing.Final = (
    proofs.gateway(
        "an older row does not replace a newer one",
        "testfleet.py::test_a_copy_of_a_peer_is_not_undone_by_an_older_answer",
        "followed_table.py",
        "            if old is not None and old.version >= row.version:\n"
        "                continue\n",
    ),
    proofs.gateway(
        "a row that was removed meanwhile does not reappear",
        "testfleet.py::test_a_copy_of_a_peer_is_not_undone_by_an_older_answer",
        "followed_table.py",
        "            if row.version <= known_until and old is None:\n",
        "            if False:\n",
    ),
    proofs.gateway(
        "an answer from before a read of the whole table does not undo it",
        "testfollowing.py::test_a_row_that_is_gone_does_not_come_back_with_an_older"
        "_answer",
        "followed_table.py",
        "known_until = self.as_of",
        "known_until = max(self.changed, self.verified_version)",
    ),
    proofs.gateway(
        "a whole read is known as of its first page",
        "testfleet.py::test_a_change_between_the_pages_of_a_read_is_applied",
        "followed_table.py",
        "self.epoch, self.version = page.epoch, page.version",
        "self.epoch = page.epoch\n"
        "        self.version = max(page.version, *(row.version for row in page.rows))",
    ),
    proofs.gateway(
        "a peer that stays ahead is asked for its rows",
        "testfleet.py::test_a_peer_that_stays_ahead_is_asked_though_the_store_says"
        "_nothing",
        "row_exchange.py",
        "return not follower.connected or now >= since + followers.MAX_LAG_S",
        "return not follower.connected",
    ),
    proofs.gateway(
        "a follower reads the whole table when the store's history is gone",
        "testfleet.py::test_the_store_is_followed_through_lost_history_and_outages",
        "followers.py",
        "                self._is_read = False\n"
        "                self._history_gone_count += 1\n",
        "                self._history_gone_count += 1\n",
    ),
    proofs.gateway(
        "a long poll that reports nothing is checked",
        "testfreshness.py::test_a_configuration_is_in_force_after_an_outage_swallowed"
        "_the_poll",
        "followers.py",
        "if self.fresh.is_check_due and self._request_changes(since, epoch):",
        "if False:",
    ),
    proofs.gateway(
        "a long poll that missed a change in a peer's copy is abandoned",
        "testfreshness.py::test_a_poll_that_misses_a_change_in_a_peers_copy_is"
        "_abandoned",
        "followers.py",
        "            # A poll that does not report the same change soon never will.\n"
        "            self.expect_change()\n",
    ),
    proofs.gateway(
        "a follower on standby asks the store when no verification arrives",
        "testfreshness.py::test_a_follower_on_standby_asks_when_no_verification_"
        "reaches_it",
        "followers.py",
        "elif not self.connected or self.fresh.is_check_due:",
        "elif not self.connected:",
    ),
    proofs.gateway(
        "a peer's verification counts only for the same rows",
        "testfreshness.py::test_a_peers_verification_counts_only_for_the_same_rows",
        "followers.py",
        "if news.digest == self._rows.digest and news.epoch == self.epoch:",
        "if news.changed == self.changed:",
    ),
    proofs.gateway(
        "a verification keeps its age in transit",
        "testfreshness.py::test_a_verification_keeps_its_age_however_long_it_is_in"
        "_transit",
        "freshness.py",
        "at = self._store_clock.earliest_local(store_time)",
        "at = self._clock.now()",
    ),
    proofs.gateway(
        "a copy older than the rows already read is ignored",
        "testfollowing.py::test_a_row_that_is_gone_does_not_come_back_with_an_older"
        "_copy",
        "followers.py",
        "if (page.epoch, page.version) <= self.store_position:",
        "if (page.epoch, page.version) <= (self.epoch, self.changed):",
    ),
    proofs.gateway(
        "changes from before a peer's verification are not applied",
        VERIFIED + "[poll]",
        "followed_table.py",
        "known_until = self.as_of",
        "known_until = self.version",
    ),
    proofs.gateway(
        "a table read before a peer's verification is dropped",
        VERIFIED + "[read]",
        "followers.py",
        "if (page.epoch, page.version) >= self.store_position:",
        "if (page.epoch, page.version) >= (self.epoch, self.version):",
    ),
    proofs.gateway(
        "a copy from before a peer's verification is ignored",
        VERIFIED + "[copy]",
        "followers.py",
        "if (page.epoch, page.version) <= self.store_position:",
        "if (page.epoch, page.version) <= (self.epoch, self.version):",
    ),
    proofs.gateway(
        "a removal that a verification overtook is sent to peers",
        "testverified.py::test_a_removal_that_a_verification_overtook_is_sent_to"
        "_peers",
        "followed_table.py",
        "                    self._record_removal(row)\n                else:",
        "                    pass\n                else:",
    ),
    proofs.gateway(
        "a copy is of the version of its rows",
        "testfleet.py::test_a_copy_is_of_the_version_of_its_rows",
        "row_exchange.py",
        "return mesh_messages.Rows(table, page.version,",
        "return mesh_messages.Rows(table, self._followers[table].changed,",
    ),
    proofs.gateway(
        "a peer that never verified its rows verifies none",
        "testfreshness.py::test_a_peer_that_never_verified_its_rows_verifies_none",
        "freshness.py",
        "        if not store_time:\n            return\n",
    ),
    proofs.gateway(
        "a verification without a version is ignored",
        "testverified.py::test_gateways_of_the_release_before_are_read_but_verify"
        "_nothing",
        "followers.py",
        "if news.version < 0:",
        "if False:",
    ),
    proofs.gateway(
        "peers' reports on an order apply once the order arrives",
        "testrollouts.py::test_what_peers_told_of_an_order_holds_as_soon_as_it_comes",
        "rollout_orders.py",
        "if report is not None:",
        "if False:",
    ),
    proofs.gateway(
        "an outcome is written only if its row is unchanged",
        "testtakeover.py",
        "rollout_writer.py",
        "gateway_api.Write(table, key, value, expect)",
        "gateway_api.Write(table, key, value)",
    ),
    proofs.gateway(
        "a write with an unknown outcome is repeated",
        "testrollouts.py::test_a_halt_is_written_again_until_the_store_takes_it",
        "rollout_writer.py",
        "self._paused_until = self._clock.now() + pause_s\n            eventlog",
        "self._paused_until = clock.NEVER\n            eventlog",
    ),
    proofs.gateway(
        "late answers never take a follower back to older rows",
        "testfollowing.py::TestFollowing",
        "followed_table.py",
        "            if old is not None and old.version >= row.version:\n"
        "                continue\n",
    ),
    proofs.gateway(
        "a follower survives an exception in its sink",
        "testfreshness.py::test_a_follower_outlives_a_fault_of_its_sink",
        "followers.py",
        "            except Exception as exc:",
        "            except NotImplementedError as exc:",
    ),
    proofs.gateway(
        "a table read in pages has the version of its first page",
        "testfreshness.py::test_a_change_of_an_earlier_page_while_a_later_one_is_read"
        "_is_not_lost",
        "platform/store.py",
        '_number(first, "Ver")',
        '_number(body, "Ver")',
    ),
    proofs.gateway(
        "an announcement is repeated until it is acknowledged",
        "testfreshness.py::test_a_gateway_whose_announcement_was_not_answered_makes_it"
        "_again",
        "gateway_own_rows.py",
        "self._retry_until_done(self._announce)",
        "self._announce()",
    ),
    proofs.gateway(
        "no session changes its version in the first half of a rollout",
        "testrollouts.py::test_no_session_changes_its_version_in_the_first_half",
        "rollout_growth.py",
        "PINNED_SHARE: typing.Final = 0.5",
        "PINNED_SHARE: typing.Final = 0.25",
    ),
    proofs.gateway(
        "a version in doubt does not get all requests",
        "testrollouts.py::test_a_version_in_doubt_does_not_get_all_requests",
        "rollout_growth.py",
        "self.is_due = not is_doubted",
        "self.is_due = True",
    ),
    proofs.gateway(
        "no gateway exposes more than its part of the allowance",
        "testexposure.py::"
        "test_no_bad_version_gets_more_sends_than_its_rollout_allows",
        "rollouts.py",
        "if allowance.admits(own, self._reserve(rollout, now)):",
        "if not session:",
    ),
    proofs.gateway(
        "a version gets all requests only if the allowance suffices to the end",
        "testexposure.py::"
        "test_a_version_that_fails_only_under_load_stays_within_its_allowance",
        "rollout_growth.py",
        "if left_s < MIN_LEFT_S or not all(one.fits for one in forecasts):",
        "if left_s < MIN_LEFT_S:",
    ),
    proofs.gateway(
        "a process that starts after the order does not use slack that may be used",
        "testexposure.py::"
        "test_a_process_that_starts_after_the_order_does_not_use_slack_again",
        "rollout_state.py",
        "return self._is_new and self.started_at >= self._process_since",
        "return True",
    ),
    proofs.gateway(
        "a version that is held until the end is rolled back",
        "testrollouts.py::"
        "test_a_version_that_is_held_by_doubt_until_the_end_is_rolled_back",
        "rollout_writer.py",
        "if reason and is_last and is_running:",
        "if False:",
    ),
    proofs.gateway(
        "evidence is judged separately for each route",
        "testrollouts.py::test_a_version_that_fails_on_one_route_is_stopped",
        "rollout_evidence.py",
        "for route in (FIRST_PARTS, GAPS, *sorted(routes)):",
        "for route in TOTALS:",
    ),
    proofs.gateway(
        "slow answers count as evidence against a version",
        "testrollouts.py::test_a_version_that_is_slow_is_stopped",
        "rollout_odds.py",
        "policy_guard.log_mean(sums[:SLOW_WAYS])",
        "policy_guard.log_mean(sums[SLOW_WAYS:])",
    ),
    proofs.gateway(
        "an endpoint is not taken for its version",
        "testslowversions.py::"
        "test_a_good_version_with_one_slow_endpoint_is_not_halted",
        "rollout_odds.py",
        "slow = [min(limit, one - good) for one in self.slow]",
        "slow = [one - good for one in self.slow]",
    ),
    proofs.gateway(
        "the endpoints of a canary take turns",
        "testslowversions.py::"
        "test_a_good_version_with_one_slow_endpoint_is_not_halted",
        "rollouts.py",
        "first = turn * count % len(names)",
        "first = 0",
    ),
    proofs.gateway(
        "a version is completed only if its answers speak for it",
        "testslowversions.py::"
        "test_a_version_that_is_several_times_slower_is_not_completed",
        "rollouts.py",
        "if not self._evidence.is_proved(label, odds, rollout.answered_periods(now)):",
        "if False:",
    ),
    proofs.gateway(
        "a canary gets the same share of endpoints as of requests",
        "testrollouts.py::test_an_unproved_version_is_as_loaded_as_it_will_be",
        "rollouts.py",
        "return _in_turn(sorted(names), max(1, int(share * len(names))), turn)",
        "return names",
    ),
    proofs.gateway(
        "a session keeps its version on every gateway",
        "testmovedsessions.py::test_a_session_keeps_its_version_whichever_gateway_it"
        "_comes_through",
        "rollouts.py",
        "return rollout.awaits_peers(now) or rollout.pinned.is_reported(\n"
        "            session_hash, now\n"
        "        )",
        "return rollout.awaits_peers(now)",
    ),
    proofs.gateway(
        "no session moves before all gateways have reported theirs",
        "testmovedsessions.py::test_no_session_moves_before_all_have_told",
        "rollouts.py",
        "return rollout.awaits_peers(now) or rollout.pinned.is_reported(\n"
        "            session_hash, now\n"
        "        )",
        "return rollout.pinned.is_reported(session_hash, now)",
    ),
    proofs.gateway(
        "a late store answer does not make a rollout look older",
        "testmovedsessions.py::test_a_store_that_answers_late_makes_no_rollout_older",
        "gateway_rows.py",
        "store_clock.latest_local(start.started)",
        "store_clock.earliest_local(start.started)",
    ),
    proofs.gateway(
        "no start time is written while the store's clock is unknown",
        "testmovedsessions.py::test_a_start_is_not_written_by_a_clock_that_is_not"
        "_known",
        "rollout_writer.py",
        "rollout.written is None and self._store_clock.is_known",
        "rollout.written is None",
    ),
    proofs.gateway(
        "a version that gives no answers is halted",
        "testunstopped.py::test_a_version_that_gives_no_answers_is_halted",
        "gateway_judge.py",
        "        if self._judge(call, attempt, call.route.name, sample):\n",
        "        if False:\n",
    ),
    proofs.gateway(
        "slow answers of the old version do not hide a slow new version",
        "testunstopped.py::test_slow_answers_of_the_old_version_do_not_hide_a_slow"
        "_new_one",
        "rollout_latency.py",
        "return times[int(FAST_QUANTILE * len(times))]",
        "return sum(times) / len(times)",
    ),
    proofs.gateway(
        "a crash of an endpoint does not count against its version",
        "testunstopped.py::test_an_endpoint_that_crashes_does_not_count_against_its"
        "_version",
        "gateway_judge.py",
        "if not is_reachable or not self.judges_breaks(call):",
        "if not self.judges_breaks(call):",
    ),
    proofs.gateway(
        "a rollout with a suspected version is not completed",
        "testunstopped.py::test_a_suspected_version_is_not_completed",
        "rollouts.py",
        "if self.is_suspected(rollout) or self.is_doubted(rollout):",
        "if False:",
    ),
    proofs.gateway(
        "an invalid row names no endpoint",
        "testoddrows.py::test_an_invalid_row_names_no_endpoint_and_the_others_stay",
        "gateway_rows.py",
        "self._directory.update(row.key, None)\n        is_restored",
        "pass\n        is_restored",
    ),
    proofs.gateway(
        "an outcome of an earlier order is ignored",
        "testrollouts.py::test_an_outcome_of_an_earlier_order_says_nothing_of_a_later"
        "_one",
        "rollout_orders.py",
        "if (outcome.epoch, outcome.row_version) < rollout.order_version:",
        "if False:",
    ),
    proofs.gateway(
        "a version that was rolled back gets nothing after the next order",
        "testwithdrawn.py::test_a_rolled_back_version_gets_nothing_after_the_next"
        "_order",
        "rollout_state.py",
        "return version not in self.withdrawn",
        "return True",
    ),
    proofs.gateway(
        "an order for the stable version is no canary",
        "testversionroles.py::test_an_order_back_to_the_stable_version_gives_the"
        "_withdrawn_one_nothing",
        "version_roles.py",
        "return version == roles.stable and roles.stable_since < order",
        "return False",
    ),
    proofs.gateway(
        "what a version counts as outlives all gateways",
        "testversionseries.py",
        "rollout_writer.py",
        "if self.knows_stored_roles:\n            writes",
        "if False:\n            writes",
    ),
    proofs.gateway(
        "a withdrawn version gets nothing while the others are gone for a moment",
        "testversionroles.py::test_a_rolled_back_version_gets_nothing_while_the_stable"
        "_one_is_gone_briefly",
        "version_fallback.py",
        "GONE_S: typing.Final = 15.0",
        "GONE_S: typing.Final = -1e9",
    ),
    proofs.gateway(
        "a rollout completes once nothing runs on the old version",
        "testrollouts.py::test_a_rollout_completes_when_nothing_runs_on_the_old"
        "_version",
        "rollout_writer.py",
        "return not self._mesh.count_on_old_version(rollout.order.service)",
        "return True",
    ),
    proofs.gateway(
        "a peer's report halts a version",
        "testrollouts.py::test_a_peers_word_halts_a_version",
        "rollout_orders.py",
        "        if news.halted:\n            self.halt(",
        "        if False:\n            self.halt(",
    ),
    proofs.gateway(
        "a disconnected store is left to peers while they retry",
        "testfreshness.py::test_a_store_that_is_away_is_left_to_others_for_as_long"
        "_as_they_try",
        "followers.py",
        "late_try_at if self._is_read and self._peers_retry() else try_at",
        "try_at",
    ),
    proofs.gateway(
        "a running session keeps its version when an order arrives",
        "testrollouts.py::test_a_session_that_runs_keeps_its_version_when_an_order"
        "_comes",
        "rollouts.py",
        "on_new = not self._stays_on_old(rollout, session, session_hash)",
        "pass",
    ),
    proofs.gateway(
        "suspended time counts in every age",
        "testsuspended.py::test_a_stale_configuration_gives_no_final_refusal_after_a"
        "_suspension",
        "clock.py",
        "return time.clock_gettime(time.CLOCK_BOOTTIME)",
        "return time.monotonic()",
    ),
    proofs.gateway(
        "no wait for an attempt outlasts its deadline",
        "testsuspended.py::test_no_wait_for_an_attempt_outlasts_its_deadline",
        "clock.py",
        "cond.wait(min(left, SLICE_S))",
        "cond.wait(left)",
    ),
    proofs.gateway(
        "a peer gets the whole table when the changes since its copy are incomplete",
        "testscale.py::test_a_peer_that_is_too_far_behind_gets_the_whole_table",
        "followed_table.py",
        "        if epoch != self.epoch or since < self._changes_from:\n"
        "            return None\n",
    ),
)
