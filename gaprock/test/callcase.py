"""Builds calls and answers for tests of the gateway's decisions."""

import typing

from gaprock import gateway_api, gateway_call, routes

SERVICE: typing.Final = "app"
WRONG_ENDPOINT: typing.Final = 421


def call(
    urgency: int,
    service: str = SERVICE,
    kind: routes.RouteKind = routes.RouteKind.SAFE,
) -> gateway_call.Call:
    """Build a call of an urgency."""
    route = routes.Route(
        "r",
        "h",
        "/",
        kind,
        [routes.Pool(service, 1)],
        20.0,
        2.0,
        1.0,
        urgency,
        [],
        3,
        True,
        True,
    )
    info = gateway_api.RequestInfo("id", "h", "", 20.0, False, 0, 0, [], "", None)
    inbound = gateway_call.Inbound(b"POST", b"/", [], b"", 100.0)
    return gateway_call.Call(inbound, info, route, None, 1, service)


def head(
    status: int = 200,
    not_run: bool = False,
    notice: gateway_api.EndpointNotice = gateway_api.NO_NOTICE,
) -> gateway_api.AnswerHead:
    """Build the head of an endpoint's answer."""
    is_wrong = status == WRONG_ENDPOINT
    return gateway_api.AnswerHead(
        status,
        [],
        not not_run,
        not_run or is_wrong,
        is_wrong,
        "id",
        None,
        False,
        notice=notice,
    )
