"""The gateway's proofs: gossip between gateways, and bounds that they share."""

import typing

from misc import proofs

PROOFS: typing.Final = (
    proofs.gateway(
        "a peer that has been heard is kept through an outage",
        "testfleet.py::test_a_peer_that_was_heard_is_tried_for_an_hour_and_another_is"
        "_not",
        "mesh.py",
        "(FORGET_HEARD_S if is_kept else FORGET_S)",
        "FORGET_S",
    ),
    proofs.gateway(
        "a part of the retry allowance counts for a window after its end",
        "testretrybudget.py::test_a_fleet_whose_processes_start_anew_keeps_to_the"
        "_budget_in_every_window",
        "retry_allowance.py",
        "known.store_time(deadline) + self._window_s + TRANSIT_S",
        "known.store_time(deadline)",
    ),
    proofs.gateway(
        "parts of the retry allowance that a restored store lost are not given out",
        "testretrybudget.py::test_a_fleet_whose_processes_start_anew_keeps_to_the"
        "_budget_in_every_window",
        "retry_allowance.py",
        "        if found.epoch != page.epoch:\n            return None\n",
        "",
    ),
    proofs.gateway(
        "a gateway that starts does not use what the process before it may have used",
        "testretrybudget.py::test_a_gateway_that_starts_again_repeats_no_more_than_the"
        "_budget_allows",
        "retry_allowance.py",
        "else self._started_at",
        "else 0.0",
    ),
    proofs.gateway(
        "a gateway holds no more than its share of the retry allowance",
        "testhalls.py::test_a_gateways_budget_goes_by_the_most_gateways_that_were"
        "_known",
        "gateway_node.py",
        "lambda: self.mesh.peak_gateways(),\n            lambda service, parts",
        "lambda: self.mesh.members(),\n            lambda service, parts",
    ),
    proofs.gateway(
        "a stopping gateway refuses new requests at the end",
        "testgatewaystops.py::test_a_process_refuses_requests_after_its_planned_stop",
        "gateway_node.py",
        "        self.server.stop_deadline = "
        "self.server.accept_all_until = self.clock.now()\n",
    ),
    proofs.gateway(
        "halts and newer rows go to distant peers at once",
        "testfleet.py::test_far_peers_get_fewer_heartbeats_but_halts_at_once",
        "mesh_peers.py",
        "    if news.urgent != peer.last_sent.urgent:\n",
        "    if False:\n",
    ),
    proofs.gateway(
        "a silent connection between gateways is reopened",
        "testfleet.py::test_a_connection_between_gateways_that_went_silent_is_opened"
        "_anew",
        "mesh.py",
        "    sock.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)\n",
    ),
    proofs.gateway(
        "a gateway that accepts no connections is not ready",
        "testgatewaystops.py::test_a_gateway_that_accepts_no_connections_is_not_ready",
        "gateway_node.py",
        "self.is_ready and self.port.is_accepting and not self.leaving",
        "self.is_ready and not self.leaving",
    ),
    proofs.gateway(
        "relays that went silent are bypassed",
        "testhalls.py::test_failed_relays_are_bypassed",
        "mesh_plan.py",
        "if peer.last_seen_at >= now - RELAY_TIMEOUT_S\n        and peer.beat\n",
        "if peer.beat\n",
    ),
    proofs.gateway(
        "a gateway addressed as a relay by mistake names the relays",
        "testhalls.py::test_a_gateway_that_is_no_relay_names_the_relays",
        "mesh.py",
        "chosen = mesh_plan.misdirected_senders(self._far(), now)",
        "chosen = []",
    ),
    proofs.gateway(
        "halls that were cut off find each other again",
        "testhalls.py::test_halls_that_were_cut_off_for_minutes_find_each_other_again",
        "mesh.py",
        "is_kept = peer.name or self._is_far(peer)",
        "is_kept = peer.name",
    ),
    proofs.gateway(
        "a hall summary is ignored once it has expired",
        "testhalls.py::test_a_halls_load_is_known_in_other_halls_and_not_past_its_time",
        "mesh_halls.py",
        "if k.as_of < now - SUMMARY_TIMEOUT_S]",
        "if False]",
    ),
    proofs.gateway(
        "hall summaries are ordered by age, whoever sends them",
        "testhalls.py::test_summaries_are_ordered_by_age_whoever_sends_them",
        "mesh_halls.py",
        "if known and known.as_of >= as_of:",
        "if False:",
    ),
    proofs.gateway(
        "paces are applied from a summary that is not the newest",
        "testhalls.py::test_a_summary_that_is_not_the_newest_still_reports_its_paces",
        "mesh_halls.py",
        "self._directory.apply_peer_paces(name, news.paces",
        "if news.hall not in self._known: "
        "self._directory.apply_peer_paces(name, news.paces",
    ),
    proofs.gateway(
        "an urgent change in a hall summary is forwarded at once",
        "testhalls.py::test_a_summary_goes_around_once_unless_it_changes_what_all_must"
        "_know",
        "mesh_halls.py",
        "return is_newer and known.news.urgent != before.news.urgent",
        "return False",
    ),
    proofs.gateway(
        "a hall's evidence is sent to other halls as one sum",
        "testhalls.py::test_evidence_costs_as_much_between_halls_whatever_gateways"
        "_they_have",
        "mesh_beats.py",
        "return self._evidence.sums_since(peer.evidence_tick, name, is_near)",
        "return [c for c in counters if is_near(c.source)]",
    ),
    proofs.gateway(
        "a poison request is quarantined on every gateway",
        "testpoison.py::test_a_poison_request_ends_three_endpoints_whichever_gateways"
        "_it_comes_through",
        "mesh.py",
        "        self._quarantine.merge(beat.suspects, self._is_far(peer))\n",
    ),
    proofs.gateway(
        "relays forward quarantined requests",
        "testquarantine.py::test_ends_that_three_gateways_saw_hold_a_request"
        "_everywhere",
        "mesh_beats.py",
        "        if not self._is_relay:\n"
        "            return (suspicion.Origin.OWN,)\n",
        "        if True:\n            return (suspicion.Origin.OWN,)\n",
    ),
    proofs.gateway(
        "quarantined requests are sent again to a gateway that missed them",
        "testquarantine.py::test_a_gateway_that_was_cut_off_hears_what_is_held_when"
        "_it_is_back",
        "mesh.py",
        "include_held = now >= peer.held_sent_at + quarantine.HELD_RESEND_S",
        "include_held = False",
    ),
    proofs.gateway(
        "agents forward entries' quarantined requests",
        "testownpoison.py::test_an_entry_that_starts_later_hears_what_is_held",
        "agent_hub.py",
        "        self._quarantine.merge(msg.suspects, is_far=False)\n",
    ),
    proofs.gateway(
        "a rate limit is reported to all gateways",
        "testlimits.py::test_all_gateways_hear_of_a_limit_and_of_its_end",
        "mesh_beats.py",
        "            limits=self._directory.pacer.news(),\n",
    ),
    proofs.gateway(
        "a gateway that is cut off uses the fleet's size from before",
        "testwarmup.py::test_a_fleet_that_falls_apart_goes_by_what_it_was",
        "mesh_members.py",
        "return max(self._counted_peak.value, self._reported_peak.value)",
        "return self.members()",
    ),
    proofs.gateway(
        "the store counts as back when it answers any gateway again",
        "testhalls.py::test_a_gateway_that_left_the_store_to_others_knows_when_it_came"
        "_back",
        "mesh_members.py",
        "return min(self._clock.now(), self._store_answers_since)",
        "return self._clock.now()",
    ),
    proofs.gateway(
        "a small machine holds requests for as long as its start takes",
        "teststartup.py::test_a_small_machine_serves_a_request_that_came_long_before"
        "_its_tables",
        "gateway_startup.py",
        "if not self._takes_long:\n                self._wait",
        "if True:\n                self._wait",
    ),
    proofs.gateway(
        "held requests leave threads for refusals",
        "teststartup.py::test_held_requests_leave_threads_for_refusals_and_readiness",
        "gateway_startup.py",
        "if self._held >= self._max_held:",
        "if False:",
    ),
    proofs.gateway(
        "a refusal at the start names the time that the start still takes",
        "teststartup.py::test_a_caller_that_cannot_wait_gets_the_time_that_the_start"
        "_still_takes",
        "gateway_serve.py",
        "left_s = self.start_hold.left_s()",
        "left_s = 0.0",
    ),
    proofs.gateway(
        "a held request ends when its caller has left",
        "teststartup.py::test_a_caller_that_leaves_is_held_no_longer",
        "gateway_startup.py",
        "                reply.caller.check()\n",
        "                pass\n",
    ),
    proofs.gateway(
        "the tables are read while the own rows are",
        "teststartup.py::test_the_tables_are_read_while_the_own_rows_are_and_applied"
        "_after_them",
        "gateway_own_rows.py",
        "            self._start_followers()\n"
        "            is_read = self._first_read()\n",
        "            is_read = self._first_read()\n"
        "            self._start_followers()\n",
    ),
    proofs.gateway(
        "tables are applied after the own rows, which date rollouts",
        "teststartup.py::test_the_tables_are_read_while_the_own_rows_are_and_applied"
        "_after_them",
        "followers.py",
        "            self._await_own_rows()\n",
        "            pass\n",
    ),
    proofs.gateway(
        "the write of the own row does not delay the start",
        "teststartup.py::test_the_write_of_the_own_row_does_not_delay_the_start",
        "gateway_own_rows.py",
        "        else:\n            self._start_followers()\n",
        "        else:\n"
        "            self._announce()\n"
        "            self._start_followers()\n",
    ),
    proofs.gateway(
        "own rows that cannot be read do not hold up the start",
        "teststartup.py::test_own_rows_that_cannot_be_read_do_not_hold_up_the_start",
        "gateway_own_rows.py",
        "            return self._read()\n        finally:\n",
        "            is_read = self._read()\n            if not is_read:\n"
        "                return False\n"
        "            self._is_first_read_over.set()\n            return is_read\n"
        "        finally:\n            return False\n",
    ),
    proofs.gateway(
        "relays are chosen by the size of their machines",
        "testmachinesize.py::test_the_smallest_machine_has_no_role_while_larger_ones"
        "_are_present",
        "mesh_plan.py",
        "ordered = sorted({machine_size.role_key(size, name), *keys})",
        "ordered = sorted({(0, name), *((0, key[1]) for key in keys)})",
    ),
    proofs.gateway(
        "readers of the store are chosen by the size of their machines",
        "testmachinesize.py::test_the_smallest_machine_has_no_role_while_larger_ones"
        "_are_present",
        "mesh_members.py",
        "return mesh_plan.role_key(peer) < own",
        "return peer.name < self.name",
    ),
    proofs.gateway(
        "heartbeats carry the size of the machine",
        "testmachinesize.py::test_a_role_moves_to_the_next_in_size_when_its_holder_is"
        "_killed",
        "mesh_beats.py",
        "            machine_size=self.machine_size,\n",
    ),
    proofs.gateway(
        "a small machine that is first by name waits for a larger reader",
        "testmachinesize.py::test_a_small_machine_that_is_first_by_name_leaves_the"
        "_store_to_a_larger_one",
        "mesh_members.py",
        "return mechanisms.MACHINE_SIZE.on and is_small",
        "return False",
    ),
    proofs.gateway(
        "the size of the machine follows the settings",
        "testmachinesize.py::test_settings_that_change_by_sighup_change_the_size",
        "gateway_node.py",
        "        self.cfg.memory_mb = cfg.memory_mb\n"
        "        self._set_machine_size()\n",
    ),
    proofs.gateway(
        "unknown fields of the configuration are logged",
        "testunknownfields.py::test_an_unknown_field_is_logged_once_wherever_it_is",
        "platform/documents.py",
        "    _unknown.record(ConfigDoc, value)\n",
    ),
    proofs.gateway(
        "the unknown names that are logged are bounded",
        "testunknownfields.py::test_many_unknown_names_fill_neither_memory_nor_log",
        "platform/unknown_fields.py",
        " or len(self._logged) >= MAX_NAMES:",
        ":",
    ),
    proofs.gateway(
        "a gateway that gets most new connections is not ready while it is full",
        "testfullness.py::test_a_full_gateway_is_not_ready_and_closes_new_connections"
        "_unread",
        "gateway_node.py",
        "is_ready = is_ready and not self.fullness.is_full",
        "is_ready = bool(is_ready)",
    ),
    proofs.gateway(
        "a third of the gateways at most count as full",
        "testfullness.py::test_most_gateways_stay_ready_however_many_calls_there_are",
        "gateway_fullness.py",
        "is_full = lasts and self._may_be_full(peers)",
        "is_full = is_high",
    ),
)
