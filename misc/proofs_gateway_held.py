"""The gateway's proofs: bytes held for callers and endpoints."""

import typing

from misc import proofs

PROOFS: typing.Final = (
    proofs.gateway(
        "the largest answer makes room for other bodies",
        "testbodymemory.py::test_the_largest_answer_is_given_up_and_the_others_go_on",
        "body_memory.py",
        "largest.is_given_up = True",
        "pass",
    ),
    proofs.gateway(
        "a stream is read on while its caller reads slowly",
        "testslowreaders.py::test_an_endpoint_does_not_wait_for_a_caller_that_stops_and"
        "_returns",
        "caller_output.py",
        "if self._kind is held_bytes.Kind.STREAM:",
        "if False:",
    ),
    proofs.gateway(
        "held bytes are sent during the wait for an endpoint",
        "testslowreaders.py::test_a_caller_that_returns_gets_what_is_held_while_the"
        "_endpoint_pauses",
        "http_exchange.py",
        "            mask |= select.POLLOUT\n",
    ),
    proofs.gateway(
        "a stream holds no more than its part of the budget",
        "testslowreaders.py::test_a_stream_above_its_part_is_read_no_further",
        "caller_output.py",
        "self._wait_until(lambda: self.size <= self._account.part())",
        "pass",
    ),
    proofs.gateway(
        "slow readers are cut when a reload makes the budget smaller",
        "testslowreaders.py::test_smaller_limits_by_a_reload_cut_the_slowest_reader"
        "_only",
        "gateway_node.py",
        "            self.account.set_memory(cfg.memory_mb, self.clock.now())\n",
        "            pass\n",
    ),
    proofs.gateway(
        "the slowest reader is cut first",
        "testheldbytes.py::test_the_slowest_reader_goes_first_when_the_budget_is_used"
        "_up",
        "held_bytes.py",
        "return min(behind, ",
        "return max(behind, ",
    ),
    proofs.gateway(
        "a stream that was given up for its caller gets no last chunk",
        "testslowreaders.py::test_a_caller_that_half_closes_gets_no_stream_that_looks"
        "_complete",
        "gateway_http.py",
        "not reply.begun or not reply.is_whole",
        "False",
    ),
    proofs.gateway(
        "what is held is released with its call",
        "testslowreaders.py::test_bytes_held_for_a_caller_that_leaves_are_released",
        "gateway_connection.py",
        "                self._account.close(self.holding)\n",
    ),
    proofs.gateway(
        "requests that arrive slowly keep no thread",
        "testslowreaders.py::test_requests_that_arrive_slowly_keep_no_thread",
        "gateway_connection.py",
        "if not self.gather() and not self._await_admission():",
        "while not self.gather():\n            pass\n        if False:",
    ),
    proofs.gateway(
        "slow readers make room when calls are scarce",
        "testheldbytes.py::test_slow_readers_make_room_when_calls_are_scarce",
        "held_bytes.py",
        "self._slowest(now) if is_crowded else None",
        "None",
    ),
    proofs.gateway(
        "a body that does not fit is refused",
        "testslowreaders.py::test_a_body_that_does_not_fit_is_refused_as_not_run",
        "held_bytes.py",
        "if after > self.budget:",
        "if False:",
    ),
    proofs.gateway(
        "an endpoint that reads slowly gets no second large body",
        "testslowreaders.py::test_an_endpoint_that_reads_slowly_gets_no_second_large"
        "_body",
        "directory_peers.py",
        "[e for e in fitting if not e.held.reads_slowly(now)] or fitting",
        "fitting",
    ),
    proofs.gateway(
        "an endpoint that reads a large body slowly is not silent",
        "testslowreaders.py::test_an_endpoint_that_reads_a_large_body_slowly_is_not"
        "_given_up",
        "gateway_sender.py",
        "since = max(attempt.sent_at, attempt.exchange.progress_at)",
        "since = attempt.sent_at",
    ),
    proofs.gateway(
        "a large request outlasts a full receive buffer",
        "testslowreaders.py::test_a_large_request_does_not_break_while_its_endpoint"
        "_reads_nothing",
        "http_exchange.py",
        "socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)",
        "socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)",
    ),
    proofs.gateway(
        "large requests avoid endpoints near what crashed one",
        "testslowreaders.py::test_large_requests_avoid_endpoints_near_what_crashed_one",
        "directory.py",
        "                self._record_crash(endpoint, now)\n",
        "                pass\n",
    ),
    proofs.gateway(
        "a gateway learns what its peers gave an endpoint",
        "testslowreaders.py::test_bytes_that_a_killed_gateway_gave_an_endpoint_are"
        "_forgotten[1]",
        "mesh.py",
        "            self._directory.apply_peer_held(beat.sender, beat.held)\n",
    ),
    proofs.gateway(
        "what a silent hall gave endpoints is forgotten",
        "testslowreaders.py::test_bytes_that_a_killed_gateway_gave_an_endpoint_are"
        "_forgotten[2]",
        "mesh_halls.py",
        "            self._directory.apply_peer_held(source_name(hall), {})\n",
    ),
    proofs.gateway(
        "a body that is arriving counts as a whole",
        "testarrivals.py::test_bodies_of_known_length_are_counted_before_they_arrive",
        "arrivals.py",
        "            arrival.reserved = length\n",
    ),
    proofs.gateway(
        "a body that stopped makes room for another one",
        "testarrivals.py::test_a_body_that_stopped_is_given_up_for_another_one",
        "arrivals.py",
        "if one.is_slow(now)]",
        "if False]",
    ),
    proofs.gateway(
        "a body that makes headway is not given up for another one",
        "testarrivals.py::test_a_body_that_makes_headway_is_not_given_up_for_another"
        "_one",
        "arrivals.py",
        "if one.is_slow(now)]",
        "]",
    ),
    proofs.gateway(
        "the earliest small requests make room for later ones",
        "testarrivals.py::test_the_earliest_small_requests_make_room_for_later_ones",
        "arrivals.py",
        "            self._fit_small()\n",
    ),
    proofs.gateway(
        "arriving requests make room for answers",
        "testarrivals.py::test_answers_are_made_room_for_by_bodies_that_stopped_first",
        "arrivals.py",
        '                self._give_up(one, "answers")\n',
    ),
    proofs.gateway(
        "a caller whose body was refused is read until it has the answer",
        "testbodymemory.py::test_the_refusal_of_a_body_is_not_lost_to_a_reset",
        "gateway_connection.py",
        "if self._has_unread and not self.linger_until:",
        "if False:",
    ),
    proofs.gateway(
        "the number of callers' connections is bounded",
        "testcrowds.py::test_a_gateway_outlives_more_silent_connections_than"
        "_descriptors",
        "caller_connections.py",
        "if len(self._open) >= self.server.max_connections and not self._make_room():",
        "if False:",
    ),
    proofs.gateway(
        "the number of connections to the readiness port is bounded",
        "testcrowds.py::test_a_gateway_stays_ready_beside_a_crowd_before_its_readiness"
        "_port[silence-1400]",
        "caller_connections.py",
        "if len(self._open) >= self.server.max_connections and not self._make_room():",
        "if False:",
    ),
)
