"""Proofs: scarce capacity is divided among workspaces."""

import typing

from misc import proofs

PROOFS: typing.Final = (
    proofs.gateway(
        "an endpoint that is slower than usual counts as less than its slots",
        "testcapacity.py::test_an_endpoint_slower_than_usual_is_not_taken_for_a_whole"
        "_one",
        "service_capacity.py",
        "one.slots / min(MAX_PACE, max(MIN_PACE, one.pace))",
        "one.slots",
    ),
    proofs.gateway(
        "late answers of filled endpoints lower the fill limit",
        "testcapacity.py::test_late_answers_of_filled_endpoints_lower_the_limit_to_half"
        "_at_least",
        "service_capacity.py",
        "            step = -STEP_DOWN\n",
        "            step = 0.0\n",
    ),
    proofs.gateway(
        "late answers of endpoints that are not filled lower nothing",
        "testcapacity.py::test_late_answers_of_endpoints_that_are_not_filled_lower"
        "_nothing",
        "service_capacity.py",
        "if fill < MIN_FILL:",
        "if False:",
    ),
    proofs.gateway(
        "a workspace within its share is admitted beyond the capacity",
        "testshares.py::test_a_workspace_within_its_share_is_admitted_beside_a_large"
        "_one",
        "service_admission.py",
        "if shares.is_within(workspace):",
        "if False:",
    ),
    proofs.gateway(
        "a workspace beyond its share is refused",
        "testshares.py::test_lent_capacity_returns_as_requests_end",
        "service_admission.py",
        "return sum(demand) + 1 > self._present_bound(situation, now)",
        "return False",
    ),
    proofs.gateway(
        "each gateway takes its part of free capacity",
        "testshares.py::test_gateways_that_see_the_same_free_slots_do_not_all_take"
        "_them",
        "workspace_shares.py",
        "if shares.free < 1.0 or self._tokens < 1.0:",
        "if shares.free < 1.0:",
    ),
    proofs.gateway(
        "a gateway takes the others to grow as it does",
        "testshares.py::test_a_burst_at_all_gateways_is_noticed_before_their_reports",
        "service_admission.py",
        "situation.bound - grown",
        "situation.bound",
    ),
    proofs.gateway(
        "reports of demand expire",
        "testshares.py::test_a_peer_that_went_silent_holds_its_share_no_longer",
        "workspace_shares.py",
        "if report[0] >= now - REPORT_TIMEOUT_S",
        "",
    ),
    proofs.gateway(
        "a gateway that hears no peer uses its part",
        "testadmission.py::test_a_gateway_that_hears_nobody_admits_its_part",
        "service_admission.py",
        "return self.gateways <= 1 < self.peak_gateways",
        "return False",
    ),
    proofs.gateway(
        "a request waits only if its turn comes in time",
        "testshares.py::test_a_request_waits_only_if_its_turn_comes_in_time",
        "service_admission.py",
        "return ahead + 1 <= TURN_SHARE * ends_per_s * wait_s or wait_s <= AT_ONCE_S",
        "return True",
    ),
    proofs.gateway(
        "the least urgent request that waits keeps a part",
        "testshares.py::test_the_least_urgent_request_keeps_a_part",
        "admission_queue.py",
        "choose = max if is_last_turn else min",
        "choose = min",
    ),
    proofs.gateway(
        "a caller that returns early gains nothing",
        "testshares.py::test_a_caller_keeps_its_place_only_at_its_time",
        "admission_queue.py",
        "if due_at is None or now < due_at - EARLY_S:",
        "if due_at is None:",
    ),
    proofs.gateway(
        "gateways report demand in their hall",
        "testadmission.py::test_gateways_of_all_halls_count_each_request_once",
        "mesh.py",
        "            self.demand.record(beat.sender, beat.demand, now)\n",
    ),
    proofs.gateway(
        "relays report the demand of their hall",
        "testadmission.py::test_gateways_of_all_halls_count_each_request_once",
        "mesh_halls.py",
        "        self._demand.record(name, news.demand, as_of)\n",
    ),
    proofs.gateway(
        "every end of a request releases what it took",
        "testadmission.py::test_every_end_of_a_request_releases_what_it_took",
        "gateway_admission.py",
        "            self._leave(call, ticket)\n",
        "            pass\n",
    ),
    proofs.gateway(
        "a caller that leaves while it waits leaves nothing behind",
        "testadmission.py::test_a_caller_that_leaves_while_it_waits_leaves_nothing"
        "_behind",
        "gateway_admission.py",
        "                    admission.give_up(waiter)\n",
        "                    pass\n",
    ),
    proofs.gateway(
        "a larger model is asked only for very doubtful answers when scarce",
        "testadmission.py::test_a_larger_model_is_asked_only_for_very_doubtful_answers"
        "_when_scarce",
        "gateway_models.py",
        "larger = None if is_scarce else larger",
        "pass",
    ),
    proofs.gateway(
        "services whose endpoints report no pace are not controlled",
        "testadmission.py::test_a_service_that_is_not_controlled_refuses_nothing",
        "gateway_admission.py",
        "self._mode == ALL or any(e.pace.is_reported for e in endpoints)",
        "True",
    ),
)
