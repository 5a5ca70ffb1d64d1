"""Calls for tests of what is decided about them."""

import typing

from gaprock import gateway_api, gateway_call, routes

SERVICE: typing.Final = "app"


def call(
    urgency: int,
    service: str = SERVICE,
    kind: routes.RouteKind = routes.RouteKind.SAFE,
) -> gateway_call.Call:
    """Make a call of an urgency."""
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
