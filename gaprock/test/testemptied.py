"""Tests of cordoned halls, and of requests restricted to some regions."""

import socket
import threading
import typing

import hypothesis
import hypothesis.strategies as st

from gaprock import (
    clock,
    directory,
    errorcodes,
    evidence,
    gateway_api,
    gateway_call,
    gateway_choose,
    gateway_rows,
    options,
    plugin,
    policy_api,
    rollouts,
    routes,
)
from gaprock.platform import settings, wire
from gaprock.test import gatewaysite, rolloutcase
from gaprock.test.fakes import backend

SERVICE: typing.Final = "llm"


class Orders:
    """The operator's rows as one gateway receives them."""

    def __init__(self) -> None:
        self.time = clock.ManualClock(100.0)
        self.directory = directory.Directory(self.time, 2.0)
        book = rolloutcase.make_rollouts(self.time)
        dialect = wire.PlatformDialect()
        self.rows = gateway_rows.OrderRows(
            self.time, dialect, book, self.directory.set_cordoned
        )
        for name, hall in (("a", "h1"), ("b", "h2")):
            row = gateway_api.EndpointRow(SERVICE, "10.0.0.1", 1, hall, "v1", 8, False)
            self.directory.update(name, row)

    def take(
        self, *rows: tuple[str, bytes | None, int], whole: bool = False
    ) -> set[str]:
        """Apply rows; return the names of the endpoints that are usable then."""
        page = gateway_api.Page([gateway_api.Row(*row) for row in rows], 9, 0.0)
        self.rows.apply_page(page, whole)
        return {e.name for e in self.directory.usable(SERVICE, set())}


# -- Cordon order --


def test_an_order_stands_until_its_row_goes() -> None:
    orders = Orders()
    assert orders.take(("evacuate/h1", b"{}", 5)) == {"b"}
    # Other changes, and the same row again, do not end the order.
    assert orders.take(("rollout/x", None, 6)) == {"b"}
    assert orders.take(("evacuate/h1", b"{}", 7)) == {"b"}
    assert orders.take(("evacuate/h1", None, 8)) == {"a", "b"}


def test_a_whole_table_without_the_row_ends_the_order() -> None:
    """The row may be removed while the store's change history is truncated."""
    orders = Orders()
    assert orders.take(("evacuate/h1", b"{}", 5), whole=True) == {"b"}
    assert orders.take(whole=True) == {"a", "b"}


def test_an_order_holds_whatever_its_row_says() -> None:
    assert Orders().take(("evacuate/h1", b"not JSON", 5)) == {"b"}


def test_two_halls_are_cordoned_and_uncordoned_in_turn() -> None:
    orders = Orders()
    assert orders.take(("evacuate/h1", b"{}", 5), ("evacuate/h2", b"{}", 5)) == set()
    assert orders.take(("evacuate/h1", None, 6)) == {"a"}
    assert orders.take(("evacuate/h2", None, 7)) == {"a", "b"}


def test_an_endpoint_that_comes_while_its_hall_is_cordoned_gets_nothing() -> None:
    orders = Orders()
    orders.take(("evacuate/h1", b"{}", 5))
    row = gateway_api.EndpointRow(SERVICE, "10.0.0.1", 2, "h1", "v1", 8, False)
    orders.directory.update("c", row)
    assert {e.name for e in orders.directory.usable(SERVICE, set())} == {"b"}


def test_a_send_that_was_chosen_before_the_order_does_not_go_out() -> None:
    orders = Orders()
    chosen = orders.directory._endpoints["a"]
    assert not orders.directory.claim_send(chosen)
    orders.take(("evacuate/h1", b"{}", 5))
    assert orders.directory.claim_send(chosen)


# -- End to end --


def empty(site: gatewaysite.GatewaySite, *halls: str) -> None:
    """Cordon halls, and wait until that is in force."""
    for hall in halls:
        site.store.put("op", f"evacuate/{hall}", {})
    gatewaysite.wait_until(
        lambda: site.gateway.directory.cordoned == frozenset(halls), "emptied"
    )


def test_a_cordoned_hall_gets_no_sends_of_any_kind() -> None:
    """First sends, second sends and escalations, with an endpoint in another hall."""
    with gatewaysite.GatewaySite() as site:
        gone = site.add("gone", "llm", Zone="h1")
        left = site.add("left", "llm", Zone="h2")
        empty(site, "h1")
        left.scripts.append(backend.fail())
        left.scripts.append(backend.refuse())
        for _ in range(6):
            site.generate()
        assert len(left.seen) >= 6
        assert not gone.seen
        site.store.remove("op", "evacuate/h1")
        gatewaysite.wait_until(lambda: not site.gateway.directory.cordoned, "back")
        for _ in range(12):
            assert site.generate().status == 200
        assert gone.seen


def stream_when(released: threading.Event) -> backend.Script:
    """Stream one event, and the rest once ``released`` is set."""

    def script(
        fake: backend.Backend, seen: backend.ReceivedRequest, conn: socket.socket
    ) -> None:
        start = backend.head(
            seen,
            Content_Type="text/event-stream",
            Transfer_Encoding="chunked",
            X_Confidence="90",
        )
        conn.sendall(start + backend.chunk(backend.event(1)))
        released.wait(10)
        conn.sendall(backend.chunk(backend.event(2)) + b"0\r\n\r\n")

    return script


def test_a_stream_that_runs_in_a_cordoned_hall_ends_well() -> None:
    with gatewaysite.GatewaySite() as site:
        fake = site.add("e", "llm", Zone="h1")
        released = threading.Event()
        fake.scripts.append(stream_when(released))
        later = site.start_call("/gen/x")
        gatewaysite.wait_until(lambda: bool(fake.seen), "sent")
        empty(site, "h1")
        released.set()
        answer = later.get()
        assert answer.status == 200 and answer.whole


def test_a_service_with_no_endpoint_elsewhere_is_refused_at_once() -> None:
    with gatewaysite.GatewaySite() as site:
        fake = site.add("e", "app", Zone="h1")
        empty(site, "h1")
        answer = site.call("/unsafe/x")
        assert answer.status == errorcodes.NO_HALL.http_status
        assert f'"code": {errorcodes.NO_HALL.number}'.encode() in answer.body
        assert float(answer.headers["retry-after"]) >= 1.0
        assert not fake.seen


# -- Regions --

REGIONS: typing.Final = {"h1": "north", "h2": "south", "h3": "north"}
HOMES = st.frozensets(st.sampled_from(["north", "south", "east"]))


def make_call(homes: frozenset[str], own: frozenset[str]) -> gateway_call.Call:
    pools = [routes.Pool(SERVICE, 1)]
    route = routes.Route(
        "r",
        "h",
        "/",
        routes.RouteKind.SAFE,
        pools,
        9.0,
        1.0,
        1.0,
        1,
        [],
        3,
        False,
        False,
        homes,
    )
    info = gateway_api.RequestInfo("1", "h", "", 9.0, False, 0, 0, [], "", None)
    inbound = gateway_call.Inbound(b"GET", b"/", [], b"", 100.0)
    workspace = routes.Workspace("ws", None, own)
    return gateway_call.Call(inbound, info, route, workspace, 1, SERVICE)


def make_chooser(book: directory.Directory) -> gateway_choose.Chooser:
    plugin.load_all(plugin.GATEWAY_MODULES)
    time = clock.ManualClock(100.0)
    cfg = options.Options()
    return gateway_choose.Chooser(
        "h1",
        time,
        book,
        rollouts.Rollouts(time, 0.1, evidence.EvidenceBook("x")),
        plugin.find(policy_api.Routing, cfg.gateway_routing)(),
        dict,
        lambda: REGIONS,
    )


@hypothesis.given(homes=HOMES, own=HOMES, emptied=st.frozensets(st.sampled_from("123")))
def test_regions_of_the_route_and_of_the_workspace_both_bind(
    homes: frozenset[str], own: frozenset[str], emptied: frozenset[str]
) -> None:
    """The settings name no region for ``h4``."""
    time = clock.ManualClock(100.0)
    book = directory.Directory(time, 2.0)
    for hall in ("h1", "h2", "h3", "h4"):
        row = gateway_api.EndpointRow(SERVICE, "10.0.0.1", 1, hall, "v1", 8, False)
        book.update(hall, row)
    book.set_cordoned(frozenset(f"h{number}" for number in emptied))
    chooser, call = make_chooser(book), make_call(homes, own)
    allowed = {
        hall
        for hall in ("h1", "h2", "h3", "h4")
        if hall[1] not in emptied
        and (not homes or REGIONS.get(hall) in homes)
        and (not own or REGIONS.get(hall) in own)
    }
    found = chooser.endpoint(call, "")
    assert (found is None) == (not allowed)
    if found is not None:
        assert found[0].row.hall in allowed
    assert chooser.has_no_permitted_hall(call) == (not allowed)


def test_a_request_whose_regions_have_no_endpoint_is_refused_at_once() -> None:
    def change(cfg: options.Options) -> None:
        cfg.regions = {"h1": "north"}

    with gatewaysite.GatewaySite(change) as site:
        tenants = [
            {
                "Name": "ws",
                "ApiKeys": [gatewaysite.KEY],
                "AllowedRegions": ["south"],
            }
        ]
        fake = site.add("e", "app", Zone="h1")
        site.store.put("op", "config", gatewaysite.config(2, Tenants=tenants))
        table = site.gateway.orders
        gatewaysite.wait_until(
            lambda: table.table is not None and table.table.number == 2, "config"
        )
        answer = site.call("/safe/x", method="GET")
        assert f'"code": {errorcodes.NO_HALL.number}'.encode() in answer.body
        assert not fake.seen


def test_the_settings_name_the_region_of_each_hall(tmp_path: typing.Any) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(
        'Node = "n"\nIp = "10.0.0.1"\nZone = "h1"\n'
        '[Zones]\nh1 = "north"\nh2 = "south"\n'
        '[Listen]\nFront = "10.0.0.1:1"\nReady = "10.0.0.1:2"\n'
        "[TimingBounds]\nColdExcess = 2.0\nColdSlack = 7\nEvacMs = 4000\n"
        '[Provider]\nAddr = "10.0.0.2:1"\n'
    )
    cfg = options.Options()
    settings.load(str(path), cfg)
    assert cfg.regions == {"h1": "north", "h2": "south"}
    assert (cfg.bounds.warm_excess, cfg.bounds.warm_slack) == (2.0, 7)
    assert cfg.bounds.cordon_s == 4.0
