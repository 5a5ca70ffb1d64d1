"""The gateway's proofs: what gateways tell each other, and bounds they share."""

import typing

from misc import proofs

PROOFS: typing.Final = (
    proofs.gateway(
        "a peer that was heard is not forgotten by a cut",
        "testfleet.py::test_a_peer_that_was_heard_is_tried_for_an_hour_and_another_is"
        "_not",
        "mesh.py",
        "(FORGET_HEARD_S if is_kept else FORGET_S)",
        "FORGET_S",
    ),
    proofs.gateway(
        "the allowance is shared by the members",
        "testrouting.py::test_the_allowance_of_the_fleet_is_shared",
        "retry_window.py",
        "self._allowance / members if members else 0.0",
        "self._allowance",
    ),
    proofs.gateway(
        "a gateway that is cut off has no more than its part of the allowance",
        "testhalls.py::test_a_gateways_budget_goes_by_the_most_gateways_that_were"
        "_known",
        "gateway_node.py",
        "window_s,\n            lambda: self.mesh.peak_gateways(),",
        "window_s,\n            lambda: self.mesh.members(),",
    ),
    proofs.gateway(
        "a process that stops refuses in the end",
        "testgatewaystops.py::test_a_process_refuses_requests_after_its_planned_stop",
        "gateway_node.py",
        "        self.server.stop_deadline = "
        "self.server.accept_all_until = self.clock.now()\n",
    ),
    proofs.gateway(
        "halts and newer rows go to far peers at once",
        "testfleet.py::test_far_peers_get_fewer_heartbeats_but_halts_at_once",
        "mesh_peers.py",
        "    if news.urgent != peer.last_sent.urgent:\n",
        "    if False:\n",
    ),
    proofs.gateway(
        "a silent connection between gateways is opened anew",
        "testfleet.py::test_a_connection_between_gateways_that_went_silent_is_opened"
        "_anew",
        "mesh.py",
        "    sock.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)\n",
    ),
    proofs.gateway(
        "a gateway that takes no connection is not ready",
        "testgatewaystops.py::test_a_gateway_that_accepts_no_connections_is_not_ready",
        "gateway_node.py",
        "self.is_ready and self.port.is_accepting and not self.leaving",
        "self.is_ready and not self.leaving",
    ),
    proofs.gateway(
        "carriers that fell silent are passed by",
        "testhalls.py::test_failed_relays_are_bypassed",
        "mesh_plan.py",
        "if peer.last_seen_at >= now - RELAY_TIMEOUT_S\n        and peer.beat\n",
        "if peer.beat\n",
    ),
    proofs.gateway(
        "one who is spoken to and does not carry names those who do",
        "testhalls.py::test_a_gateway_that_is_spoken_to_and_does_not_carry_names_those"
        "_who_do",
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
        "a summary of a hall is not used past its time",
        "testhalls.py::test_a_halls_load_is_known_in_other_halls_and_not_past_its_time",
        "mesh_halls.py",
        "if k.as_of < now - SUMMARY_TIMEOUT_S]",
        "if False]",
    ),
    proofs.gateway(
        "a summary is taken by its age, whoever tells it",
        "testhalls.py::test_summaries_are_ordered_by_age_whoever_sends_them",
        "mesh_halls.py",
        "(known and known.as_of >= as_of)",
        "False",
    ),
    proofs.gateway(
        "what all must know is passed on at once",
        "testhalls.py::test_a_summary_goes_around_once_unless_it_changes_what_all_must"
        "_know",
        "mesh_halls.py",
        "return is_newer and known.news.urgent != before.news.urgent",
        "return False",
    ),
    proofs.gateway(
        "evidence of a hall goes to others as a sum",
        "testhalls.py::test_evidence_costs_as_much_between_halls_whatever_gateways"
        "_they_have",
        "mesh_beats.py",
        "return self._evidence.sums_since(peer.evidence_tick, name, is_near)",
        "return [c for c in counters if is_near(c.source)]",
    ),
    proofs.gateway(
        "a request that ends endpoints is held on every gateway",
        "testpoison.py::test_a_poison_request_ends_three_endpoints_whichever_gateways"
        "_it_comes_through",
        "mesh.py",
        "        self._quarantine.merge(beat.suspects, self._is_far(peer))\n",
    ),
    proofs.gateway(
        "carriers pass on what is held",
        "testquarantine.py::test_ends_that_three_gateways_saw_hold_a_request"
        "_everywhere",
        "mesh_beats.py",
        "        if not self._is_relay:\n"
        "            return (quarantine.Origin.OWN,)\n",
        "        if True:\n            return (quarantine.Origin.OWN,)\n",
    ),
    proofs.gateway(
        "what is held is told again to one that missed it",
        "testquarantine.py::test_a_gateway_that_was_cut_off_hears_what_is_held_when"
        "_it_is_back",
        "mesh.py",
        "include_held = now >= peer.held_sent_at + quarantine.HELD_RESEND_S",
        "include_held = False",
    ),
    proofs.gateway(
        "agents pass on what entries hold",
        "testownpoison.py::test_an_entry_that_starts_later_hears_what_is_held",
        "agent_hub.py",
        "        self._quarantine.merge(msg.suspects, is_far=False)\n",
    ),
    proofs.gateway(
        "all gateways hear of a limit",
        "testlimits.py::test_all_gateways_hear_of_a_limit_and_of_its_end",
        "mesh_beats.py",
        "            limits=self._directory.pacer.news(),\n",
    ),
    proofs.gateway(
        "a gateway that is cut off goes by the fleet as it was",
        "testwarmup.py::test_a_fleet_that_falls_apart_goes_by_what_it_was",
        "mesh_members.py",
        "return max(self._counted_peak.value, self._reported_peak.value)",
        "return self.members()",
    ),
    proofs.gateway(
        "the store came back when it answered somebody again",
        "testhalls.py::test_a_gateway_that_left_the_store_to_others_knows_when_it_came"
        "_back",
        "mesh_members.py",
        "return min(self._clock.now(), self._store_answers_since)",
        "return self._clock.now()",
    ),
)
