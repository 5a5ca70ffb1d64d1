"""Tests of a stream that breaks off and is to go on at another endpoint."""

import typing

from gaprock import errorcodes, gateway_attempt, gateway_call
from gaprock.test import callcase, gatewaysite


class FullEndpoints:
    """Sends of a gateway whose endpoints take no more; nothing is ever sent.

    :param left: the repeats that the retry budget allows.
    """

    def __init__(self, left: int) -> None:
        self.left = left

    def may_repeat(self, call: gateway_call.Call) -> bool:
        return self.left > 0

    def spend_repeat(self, call: gateway_call.Call, reason: str) -> None:
        self.left -= 1

    def send(self, *args: object) -> gateway_attempt.Attempt:
        raise gateway_call.CallError(errorcodes.OUTCOME_UNKNOWN, "take no more")

    def unknown(self, call: gateway_call.Call, detail: str) -> gateway_call.CallError:
        return gateway_call.CallError(errorcodes.OUTCOME_UNKNOWN, detail)


def test_a_stream_that_no_endpoint_can_resume_leaves_the_retry_budget_to_others(
    site: gatewaysite.GatewaySite,
) -> None:
    # Guards against charging repeats that are never sent, in a loop without a pause.
    sends = FullEndpoints(20)
    relay = site.gateway.server._relay
    reply = typing.cast(gateway_call.Reply, None)
    call = callcase.call(1)
    assert relay._resume(call, reply, sends, "small", 1, "silent") is None
    assert sends.left == 20
