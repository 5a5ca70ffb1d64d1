"""The proofs: each names a mechanism, edits that switch it off, and a test of it.

``misc.prove`` switches off one mechanism at a time in a copy of the tree and expects
the test to fail there.  ``docs/PROOFS.md`` is generated from this list.
"""

import typing


class Edit(typing.NamedTuple):
    """A replacement of text in a file of the package."""

    file: str
    old: str
    new: str


class Proof(typing.NamedTuple):
    """A mechanism and its test.

    :param row: the number under which ``docs/PROOFS.md`` groups mechanisms.
    """

    row: int
    mechanism: str
    test: str
    edits: tuple[Edit, ...]


# The row that all proofs of the gateway have.
GATEWAY_ROW: typing.Final = 11


def gateway(mechanism: str, test: str, file: str, old: str, new: str = "") -> Proof:
    """Make a proof of the gateway with a single replacement."""
    return Proof(GATEWAY_ROW, mechanism, test, (Edit(file, old, new),))


PROOFS: typing.Final = (
    Proof(
        1,
        "the agent checks template and version",
        "testconfig.py::test_a_request_runs_only_if_the_newest_revision_either_knows"
        "_allows_it",
        (
            Edit(
                "agent_gate.py",
                "        self._config.check(\n"
                "            start.workspace, start.template, start.version,"
                " start.in_session\n        )\n",
                "",
            ),
        ),
    ),
    Proof(
        1,
        "an agent whose configuration is older than the entry's refuses the request",
        "testconfig.py::test_a_request_runs_only_if_the_newest_revision_either_knows"
        "_allows_it",
        (Edit("agent_gate.py", "start.revision > self._config.revision", "False"),),
    ),
    Proof(
        2,
        "heartbeats carry withdrawals that the table has not accepted",
        "testconfig.py::test_a_withdrawal_is_in_force_everywhere_while_the_table_is"
        "_down",
        (
            Edit(
                "agent_hub.py",
                "            self._config.urgent,\n            self.gate.leaving,",
                "            [],\n            self.gate.leaving,",
            ),
        ),
    ),
    Proof(
        2,
        "a new entry takes its configuration from the agents",
        "testconfig.py::test_a_withdrawal_is_in_force_everywhere_while_the_table_is"
        "_down",
        (
            Edit("entry_link.py", "if revision > my_revision:", "if False:"),
            Edit("agent_hub.py", "elif revision < my_revision:", "elif False:"),
        ),
    ),
    Proof(
        2,
        "an entry cut off from the table gets newer revisions from agents",
        "testconfig.py::test_an_entry_cut_off_from_the_table_learns_of_a_withdrawal",
        (
            Edit("entry_link.py", "if revision > my_revision:", "if False:"),
            Edit("agent_hub.py", "elif revision < my_revision:", "elif False:"),
        ),
    ),
    Proof(
        3,
        "a session request may run only on the version in its token",
        "testsessions.py::test_a_session_keeps_its_version_over_rollouts_and_replaced"
        "_entries",
        (Edit("entry_serve.py", "if call.session is not None:", "if False:"),),
    ),
    Proof(
        3,
        "the first session written under a name is the one that is used",
        "testsessions.py::test_two_first_requests_with_one_name_open_one_session",
        (Edit("entry_sessions.py", "session = self._claim_name(session)", "pass"),),
    ),
    Proof(
        3,
        "a session token is valid only in its own workspace",
        "testsessions.py::test_a_token_of_another_workspace_is_refused_and_not_run",
        (
            Edit(
                "sessions.py",
                "if (found.workspace, found.template) != (workspace, template):",
                "if False:",
            ),
        ),
    ),
    Proof(
        4,
        "the agent keeps a copy of each bill until it is written",
        "testbills.py::test_the_agent_writes_the_bill_of_an_entry_that_died",
        (
            Edit(
                "agent_gate.py",
                "self._bills.hold(end.bill, [run.peer_name], clock.NEVER)",
                "pass",
            ),
        ),
    ),
    Proof(
        4,
        "a bill row is inserted only if it is absent",
        "testbills.py::test_lost_answers_of_the_table_neither_lose_nor_double_a_bill",
        (
            Edit(
                "bills.py",
                "dict.fromkeys(wanted, services_api.ABSENT)",
                "dict.fromkeys(wanted, services_api.ANY_VERSION)",
            ),
        ),
    ),
    Proof(
        4,
        "a stopping process hands unwritten bills over",
        "testbills.py::test_a_fleet_replaced_during_an_outage_loses_no_bill",
        (
            Edit(
                "agent_main.py",
                "if held and self.hub.hand_over(held):",
                "if False:",
            ),
            Edit("entry_main.py", "usable[: bills.HANDOVER_COPIES]", "[]"),
        ),
    ),
    Proof(
        4,
        "the entry's bill replaces an agent's bill of the same request",
        "testbills.py::test_an_entrys_bill_replaces_that_of_an_abandoned_attempt",
        (
            Edit(
                "bills.py",
                "return self._by == ENTRY or len(bill.lines) > len(attempts)",
                "return False",
            ),
        ),
    ),
    Proof(
        5,
        "parts are put in order and duplicates dropped by sequence number",
        "teststreams.py::test_late_swapped_doubled_and_missing_parts_never_make_a_wrong"
        "_answer",
        (Edit("entry_attempt.py", "part.seq < self._next", "False"),),
    ),
    Proof(
        5,
        "an answer is complete only with as many parts as its end names",
        "teststreams.py::test_late_swapped_doubled_and_missing_parts_never_make_a_wrong"
        "_answer",
        (
            Edit(
                "entry_attempt.py",
                "return self._end is not None and self._next >= self._end.count",
                "return self._end is not None",
            ),
        ),
    ),
    Proof(
        5,
        "a window bounds the unacknowledged parts of a stream",
        "teststreams.py::test_a_slow_reader_limits_what_is_in_flight_and_holds_up"
        "_nobody",
        (
            Edit(
                "agent_run.py",
                "return self.cancelled or self._next - self._acked < self.start.window",
                "return True",
            ),
        ),
    ),
    Proof(
        5,
        "a stream that its engine cut is resumed",
        "teststreams.py::test_a_stream_that_its_engine_cuts_is_resumed",
        (Edit("agent_run.py", "resumes > self._max_resumes", "True"),),
    ),
    Proof(
        5,
        "an entry asks again for parts that a cut connection lost",
        "teststreams.py::test_a_stream_survives_a_cut_between_entry_and_agent",
        (
            Edit(
                "entry_link.py",
                "self._send(sock, self._resume(attempt))",
                "pass",
            ),
            Edit(
                "entry_link.py",
                "            if not attempt.deliver(part):\n"
                "                self._mailbox.put(self._resume(attempt))",
                "            attempt.deliver(part)",
            ),
            Edit(
                "entry_link.py",
                "        if not attempt.finish(msg):\n"
                "            self._mailbox.put(self._resume(attempt))",
                "        attempt.finish(msg)",
            ),
        ),
    ),
    Proof(
        5,
        "a stream whose agent went silent ends with an error",
        "teststreams.py::test_a_stream_over_a_silent_connection_ends_in_an_error_event",
        (
            Edit(
                "entry_link.py",
                'self._fail_lost(attempt, "its agent fell silent")',
                "pass",
            ),
        ),
    ),
    Proof(
        5,
        "a stream without its end marker counts as incomplete",
        "teststreams.py::test_a_stream_that_cannot_be_resumed_ends_in_an_error_event",
        (Edit("agent_run.py", "return stream.is_complete", "return True"),),
    ),
    Proof(
        6,
        "a call whose answer was lost is not reported as not run",
        "testclaims.py::test_a_call_whose_answer_is_lost_stays_unknown_and_is_not_run"
        "_again",
        (
            Edit(
                "agent_endpoint.py",
                "            errorcodes.OUTCOME_UNKNOWN, f",
                "            errorcodes.ENDPOINT_UNREACHABLE, f",
            ),
        ),
    ),
    Proof(
        6,
        "an attempt reported as lost in transit is not run when it arrives late",
        "testrefusals.py::test_a_refused_request_never_runs_in_any_order_of_messages",
        (
            Edit(
                "agent_hub.py",
                "never_came = peer.record_attempt(msg.attempt)",
                "never_came = msg.attempt not in peer.seen",
            ),
        ),
    ),
    Proof(
        6,
        "a call whose agent died after the call started has an unknown outcome",
        "testrefusals.py::test_an_agent_that_dies_just_after_its_call_leaves_the"
        "_outcome_unknown",
        (
            Edit(
                "entry_link.py",
                "code = errorcodes.STREAM_CUT if started else"
                " errorcodes.OUTCOME_UNKNOWN",
                "code = errorcodes.ENDPOINT_UNREACHABLE",
            ),
        ),
    ),
    Proof(
        7,
        "a claim row is inserted only if it is absent",
        "testclaims.py::test_the_same_id_through_two_entries_at_once_runs_once",
        (
            Edit(
                "claims.py",
                "services_api.TableOp(key, expect, value)",
                "services_api.TableOp(key, services_api.ANY_VERSION, value)",
            ),
        ),
    ),
    Proof(
        7,
        "entry and agent drop a call past its deadline",
        "testclaims.py::test_a_holder_that_wakes_up_after_its_deadline_does_not_run_the"
        "_call",
        (
            Edit(
                "entry_dispatch.py",
                "if call.deadline <= self._clock.now():",
                "if False:",
            ),
            Edit(
                "agent_gate.py",
                "        if start.deadline <= now:\n"
                "            raise errors.GaprockError(errorcodes.DEADLINE_PAST)\n",
                "",
            ),
            Edit(
                "agent_run.py",
                "        if start.deadline <= self._clock.now():\n"
                "            return self._refused("
                "errors.GaprockError(errorcodes.DEADLINE_PAST))\n",
                "",
            ),
            Edit(
                "agent_gate.py",
                "min(start.first_part_by, start.deadline),",
                "clock.NEVER,",
            ),
        ),
    ),
    Proof(
        7,
        "a write whose answer was lost is recognized by its transaction id",
        "testclaims.py::test_the_tables_lost_answer_to_a_claim_does_not_double_the_run",
        (
            Edit(
                "table_batch.py",
                'return txid is not None and row.value.get("txid") == txid',
                "return False",
            ),
        ),
    ),
    Proof(
        7,
        "an abandoned claim is marked only if its row still holds that claim",
        "testclaims.py::test_no_order_of_faults_lets_a_call_run_twice",
        (
            Edit(
                "claims.py",
                'row.value is not None and row.value["claim"] == claim.value["claim"]',
                "row.value is not None",
            ),
        ),
    ),
    Proof(
        7,
        "an outcome that could not be written is queued and written later",
        "testclaims.py::test_an_outcome_is_written_once_the_table_is_back",
        (
            Edit(
                "claims.py",
                "            self._queue_outcome(outcome)",
                "            pass",
            ),
        ),
    ),
    Proof(
        8,
        "an agent that reports that it is leaving gets no new requests",
        "testleaving.py::test_an_agent_that_says_it_leaves_gets_nothing_new",
        (
            Edit(
                "entry_link.py",
                "return not (report.leaving or self.vm_leaving)",
                "return not self.vm_leaving",
            ),
        ),
    ),
    Proof(
        8,
        "an agent that only the VM list names as leaving gets no new requests",
        "testleaving.py::test_an_agent_that_the_vm_list_names_as_leaving_gets_nothing"
        "_new",
        (
            Edit(
                "entry_link.py",
                "return not (report.leaving or self.vm_leaving)",
                "return not report.leaving",
            ),
        ),
    ),
    Proof(
        8,
        "a silent agent gets no new requests",
        "testleaving.py::test_a_silent_agent_gets_nothing_new",
        (
            Edit(
                "entry_link.py",
                "return self.shared.clock.now() < silent_since",
                "return True",
            ),
        ),
    ),
    Proof(
        8,
        "an endpoint whose load reports fail gets no new requests",
        "testleaving.py::test_an_endpoint_that_died_gets_nothing_new",
        (Edit("agent_gate.py", "if self.failures >= MAX_LOAD_FAILURES:", "if False:"),),
    ),
    Proof(
        9,
        "an entry's planned stop waits for open requests",
        "testprocesses.py::test_a_planned_stop_cuts_no_stream_and_exits_cleanly"
        "[entry-0]",
        (
            Edit(
                "entry_main.py",
                "self.server.drain(self.clock.now() + self.cfg.drain_s)",
                "True",
            ),
        ),
    ),
    Proof(
        9,
        "an agent's planned stop waits until its answers are acknowledged",
        "testprocesses.py::test_a_planned_stop_cuts_no_stream_and_exits_cleanly[a]",
        (
            Edit(
                "agent_main.py",
                "self.gate.drain(deadline) and self._wait_acknowledged(deadline)",
                "True",
            ),
        ),
    ),
    Proof(
        9,
        "an end that was not acknowledged is sent again",
        "testleaving.py::test_a_lost_acknowledgement_does_not_hold_up_a_planned_stop",
        (Edit("agent_hub.py", "            self._resend_ends(peer, now)\n", ""),),
    ),
    Proof(
        10,
        "a publication is conditional on the head row's version",
        "testconfig.py::test_a_publication_says_accepted_only_if_it_is_in_the_table"
        "_once",
        (
            Edit(
                "config_store.py",
                "HEAD, head.version, {",
                "HEAD, services_api.ANY_VERSION, {",
            ),
            Edit(
                "config_store.py",
                "                services_api.ABSENT,\n"
                '                {"revision": revision, "key": key',
                "                services_api.ANY_VERSION,\n"
                '                {"revision": revision, "key": key',
            ),
        ),
    ),
    Proof(
        10,
        "of two concurrent publications, the later one is told of the conflict",
        "testconfig.py::test_of_two_operators_exactly_one_wins",
        (
            Edit(
                "config_store.py",
                "HEAD, head.version, {",
                "HEAD, services_api.ANY_VERSION, {",
            ),
            Edit(
                "config_store.py",
                "                services_api.ABSENT,\n"
                '                {"revision": revision, "key": key',
                "                services_api.ANY_VERSION,\n"
                '                {"revision": revision, "key": key',
            ),
            Edit("config_store.py", "if revision_of(head) != expected:", "if False:"),
        ),
    ),
    Proof(
        10,
        "a process never returns to an older revision",
        "testconfig.py::test_revisions_never_go_back_and_all_processes_converge",
        (
            Edit(
                "config.py",
                "            if not (fits and newer):\n                return False\n",
                "",
            ),
            Edit(
                "config.py",
                "self.revision = max(self.revision, delta.revision)",
                "self.revision = delta.revision",
            ),
        ),
    ),
    Proof(
        10,
        "a control write is conditional on the lease",
        "testconfig.py::test_a_paused_lease_holder_cannot_write",
        (Edit("config_store.py", "            *conditions,\n", ""),),
    ),
    Proof(
        10,
        "an agent refuses an order with an old epoch",
        "testconfig.py::test_an_agent_refuses_orders_of_a_lapsed_holder",
        (Edit("agent_orders.py", "if order.epoch < self.epoch:", "if False:"),),
    ),
    Proof(
        10,
        "a new agent carries out no order before it knows the epoch",
        "testconfig.py::test_a_new_agent_carries_out_no_order_while_the_epoch_is"
        "_unknown",
        (Edit("agent_orders.py", "if not self._has_read_lease:", "if False:"),),
    ),
    Proof(
        10,
        "the lease is taken only after it has expired",
        "testconfig.py::test_two_processes_never_hold_the_lease_at_one_time",
        (
            Edit(
                "lease.py",
                'if not ours and float(value["until"]) > asked_at:',
                "if False:",
            ),
        ),
    ),
)
