"""The steps of a soak test: faults, planned work, and the operator's changes."""

import random
import signal
import time
import typing

from gaprock.test import soak_fleet, soak_gateway, soak_ledger, soak_run

SIGNAL_GAP_S: typing.Final = 0.2
# How long a hall is cordoned; some longer than the order takes to be in force.
CORDONED_FOR_S: typing.Final = (0.5, 7.0)


# How long an endpoint names a rate limit, and the limits, requests a second.
LIMITED_FOR_S: typing.Final = (4.0, 8.0)
LIMITS: typing.Final = (0.0, 1.0, 2.5, 4.0)


# How long an endpoint sheds load, and the backoffs that it asks for.
SHEDS_FOR_S: typing.Final = (0.5, 4.0)
BACKOFFS_S: typing.Final = (0.25, 1.0, 3.0)


# A restore: how long the store is unreachable before it, the most transactions that it
# loses, the tables whose rows are written again, and the longest time until they are.
AWAY_S: typing.Final = (0.0, 2.0)
MAX_LOST: typing.Final = 8
REWRITTEN_TABLES: typing.Final = ("op", "servers")
REWRITE_WITHIN_S: typing.Final = 2.0


# -- Faults of processes --


def _restart(soak: soak_run.Soak, number: int, is_planned: bool) -> None:
    gateway = soak.rng.choice(soak.fleet.gateways)
    pause_s = soak.rng.uniform(0.0, 0.5)

    def work() -> None:
        if not gateway.lock.acquire(blocking=False):
            return
        try:
            start = soak.ledger.now()
            what = signal.Signals(number).name
            disruption = soak_ledger.Disruption(
                what, gateway.name, is_planned, start, start + 3600
            )
            soak.ledger.add(disruption)
            gateway.end(number)
            time.sleep(pause_s)
            gateway.start()
            soak.ledger.replace(disruption, disruption._replace(end=soak.ledger.now()))
        finally:
            gateway.lock.release()

    soak.run_in_thread(work)


@soak_run.fault
def kill(soak: soak_run.Soak) -> None:
    """A gateway is killed and started again."""
    _restart(soak, signal.SIGKILL, is_planned=False)


@soak_run.planned
def planned_stop(soak: soak_run.Soak) -> None:
    """A gateway gets SIGTERM, and is started again after its exit."""
    _restart(soak, signal.SIGTERM, is_planned=True)


@soak_run.fault
def pause(soak: soak_run.Soak) -> None:
    """A gateway process is suspended for a while."""
    gateway = soak.rng.choice(soak.fleet.gateways)
    soak.disrupt(
        "pause",
        gateway.name,
        lambda: gateway.signal(signal.SIGSTOP),
        lambda: gateway.signal(signal.SIGCONT),
    )


@soak_run.planned
def settings_change(soak: soak_run.Soak) -> None:
    """The settings file changes and the process gets SIGHUP, sometimes twice."""
    gateway = soak.rng.choice(soak.fleet.gateways)
    gateway.write_settings(soak_gateway.GRACE_S + soak.rng.choice([0, 1]))
    gateway.signal(signal.SIGHUP)
    if soak.rng.random() < 0.3:
        time.sleep(SIGNAL_GAP_S)
        gateway.signal(signal.SIGHUP)


# -- Faults of the store --


@soak_run.fault
def store_fault(soak: soak_run.Soak) -> None:
    """The store refuses requests, is slow, or loses its answers."""
    name, value = soak.rng.choice(
        [("refuse", 503), ("refuse", 429), ("delay", 0.6), ("lose", True)]
    )
    faults = soak.fleet.store.faults
    soak.disrupt(
        f"store {name}",
        soak_ledger.ALL,
        lambda: faults.update({name: value}),
        lambda: faults.pop(name, None),
    )


@soak_run.planned
def store_discards_history(soak: soak_run.Soak) -> None:
    """The store discards its history of changes."""
    soak.fleet.store.compact()


@soak_run.fault
def store_clock(soak: soak_run.Soak) -> None:
    """The store's clock jumps ahead permanently."""
    jump_ms = soak.rng.randrange(5000)
    old = soak.fleet.store.now_ms
    soak.fleet.store.now_ms = lambda: old() + jump_ms


@soak_run.fault
def store_cut(soak: soak_run.Soak) -> None:
    """One gateway's connections to the store are silent, one-way, slow, or reset."""
    gateway = soak.rng.choice(soak.fleet.gateways)
    _disrupt_proxy(soak, gateway.store_proxy, gateway.name)


def _disrupt_proxy(soak: soak_run.Soak, proxy: typing.Any, target: str) -> None:
    how = soak.rng.choice(["silent", "to-target", "to-caller", "slow", "reset"])
    begin: typing.Callable[[], object] = proxy.reset
    if how == "silent":
        begin = proxy.data_flows.clear
    elif how == "slow":
        delay_s = soak.rng.uniform(0.05, 0.3)

        def begin() -> None:
            proxy.delay_s = delay_s

    elif how != "reset":

        def begin() -> None:
            proxy.held.add(how)

    soak.disrupt(f"relay {how}", target, begin, proxy.heal)


@soak_run.extra_fault
def store_stops_answering(soak: soak_run.Soak) -> None:
    """Just after a change, the store stops answering requests that it receives."""
    faults = soak.fleet.store.faults
    soak.fleet.publish()
    soak.disrupt(
        "store swallow",
        soak_ledger.ALL,
        lambda: faults.update(swallow=True),
        lambda: faults.pop("swallow", None),
        soak.rng_extra,
    )


@soak_run.extra_fault
def connections_go_silent(soak: soak_run.Soak) -> None:
    """Open connections to the store or endpoints become silent permanently."""
    proxies = [gateway.store_proxy for gateway in soak.fleet.gateways]
    proxies += [endpoint.proxy for endpoint in list(soak.fleet.endpoints.values())]
    for proxy in soak.rng_extra.sample(proxies, soak.rng_extra.randint(1, 3)):
        soak.disrupt(
            "relay mute",
            soak_ledger.ALL,
            proxy.silence_connections,
            lambda: None,
            soak.rng_extra,
        )


@soak_run.restore
def store_restored(soak: soak_run.Soak) -> None:
    """The store is unreachable for a moment and is back without its latest writes.

    The lost rows of the operator and of endpoints are written again after a while,
    those of gateways are not.
    """
    rng, store = soak.rng_restores, soak.fleet.store
    away_s = rng.uniform(*AWAY_S)
    count = rng.randint(0, MAX_LOST)
    rewrite_delays_s = [rng.uniform(0.0, REWRITE_WITHIN_S) for _ in range(MAX_LOST)]

    def work() -> None:
        with soak.restore_lock:
            start = soak.ledger.now()
            disruption = soak_ledger.Disruption(
                "store restored", soak_ledger.ALL, False, start, start + 3600
            )
            soak.ledger.add(disruption)
            store.faults["away"] = True
            time.sleep(away_s)
            lost = store.restore(max(1, store.version - count))
            epoch = store.epoch
            store.faults.pop("away", None)
            rewritten = [
                item for item in lost.items() if item[0][0] in REWRITTEN_TABLES
            ]
            for pause_s, (name, value) in sorted(zip(rewrite_delays_s, rewritten)):
                time.sleep(max(0.0, start + away_s + pause_s - soak.ledger.now()))
                store.rewrite_after_restore(name, value, epoch)
            soak.ledger.replace(disruption, disruption._replace(end=soak.ledger.now()))

    soak.run_in_thread(work)


# -- Faults and planned work of endpoints --


@soak_run.fault
def endpoint_cut(soak: soak_run.Soak) -> None:
    """An endpoint's connections are silent, one-way, slow, or reset."""
    endpoint = soak.rng.choice(list(soak.fleet.endpoints.values()))
    _disrupt_proxy(soak, endpoint.proxy, soak_ledger.ALL)


@soak_run.fault
def endpoint_fails(soak: soak_run.Soak) -> None:
    """An endpoint fails or refuses a share of its requests, or is slow."""
    endpoint = soak.rng.choice(list(soak.fleet.endpoints.values()))
    name, value = soak.rng.choice(
        [("failing", 0.5), ("failing", 1.0), ("refusing", 0.6), ("slow_s", 0.4)]
    )
    soak.disrupt(
        f"endpoint {name}",
        soak_ledger.ALL,
        lambda: setattr(endpoint, name, value),
        lambda: setattr(endpoint, name, 0.0),
    )


@soak_run.fault
def endpoint_crash(soak: soak_run.Soak) -> None:
    """An endpoint crashes and is replaced at once; its row is removed later."""
    endpoint = soak.rng.choice(list(soak.fleet.endpoints.values()))
    if soak.fleet.endpoints.pop(endpoint.name, None) is None:
        return
    soak.disrupt(
        "endpoint crash",
        soak_ledger.ALL,
        endpoint.stop,
        lambda: soak.fleet.store.remove("servers", endpoint.name),
    )
    soak.fleet.add_endpoint(endpoint.service)


@soak_run.planned
def endpoint_leaves(soak: soak_run.Soak) -> None:
    """An endpoint is replaced: the new one starts, then the old one drains."""

    def leave(endpoint: soak_fleet.Endpoint) -> None:
        endpoint.row_state = "draining"
        soak.fleet.write_row(endpoint)
        soak.ledger.leaving[endpoint.name] = soak.ledger.now()

    _replace(soak, soak.rng, leave)


def _replace(
    soak: soak_run.Soak,
    rng: random.Random,
    leave: typing.Callable[[soak_fleet.Endpoint], None],
) -> None:
    """Replace an endpoint.

    :param leave: makes the endpoint announce that it leaves.
    """
    endpoint = rng.choice(list(soak.fleet.endpoints.values()))
    if soak.fleet.endpoints.pop(endpoint.name, None) is None:
        return
    soak.fleet.add_endpoint(endpoint.service)

    def work() -> None:
        leave(endpoint)
        # Some endpoints serve for longer than they announce, so this one does too.
        time.sleep(soak_gateway.DRAIN_S + 2 * soak_ledger.SLACK_S)
        soak.fleet.store.remove("servers", endpoint.name)
        endpoint.stop()

    soak.run_in_thread(work)


@soak_run.row_fault
def endpoint_restarts(soak: soak_run.Soak) -> None:
    """An endpoint crashes and restarts at once with the same id; its row stays."""
    endpoint = soak.rng_rows.choice(list(soak.fleet.endpoints.values()))
    cut = soak.rng_rows.choice(
        [endpoint.proxy.reset, endpoint.proxy.silence_connections]
    )

    def begin() -> None:
        cut()
        endpoint.born += 1
        soak.fleet.heartbeat_row(endpoint)

    soak.disrupt("endpoint again", soak_ledger.ALL, begin, lambda: None, soak.rng_rows)


@soak_run.row_fault
def row_overwritten(soak: soak_run.Soak) -> None:
    """Another writer overwrites an endpoint's row until its next heartbeat."""
    endpoint = soak.rng_rows.choice(list(soak.fleet.endpoints.values()))
    soak.disrupt(
        "row written over",
        soak_ledger.ALL,
        lambda: soak.fleet.write_invalid_row(endpoint.name, soak.rng_rows),
        lambda: soak.fleet.heartbeat_row(endpoint),
        soak.rng_rows,
    )


@soak_run.harmless_row
def row_of_another_writer(soak: soak_run.Soak) -> None:
    """Another writer adds an invalid row, which stays."""
    soak.fleet.write_invalid_row(f"odd{soak.rng_rows.randrange(9)}", soak.rng_rows)


# -- The operator --


@soak_run.planned
def config_change(soak: soak_run.Soak) -> None:
    """The operator publishes a configuration, sometimes several in quick succession."""
    for _ in range(soak.rng.choice([1, 1, 4])):
        soak.fleet.publish()


@soak_run.planned
def key_revoked(soak: soak_run.Soak) -> None:
    """The operator revokes a key permanently."""
    if len(soak.fleet.keys) > 1:
        key = soak.fleet.keys.pop()
        soak.fleet.publish()
        soak.ledger.revoked[key] = soak.ledger.now()


@soak_run.extra_planned
def key_added(soak: soak_run.Soak) -> None:
    """The operator adds a key."""
    soak.fleet.add_key()


@soak_run.hall_work
def hall_cordoned(soak: soak_run.Soak) -> None:
    """The second hall is cordoned for a while; the first one still has endpoints."""
    hall = soak_fleet.HALLS[1]
    duration_s = soak.rng_halls.uniform(*CORDONED_FOR_S)

    def work() -> None:
        with soak.halls_lock:
            soak.fleet.store.put("op", f"evacuate/{hall}", {})
            at = soak.ledger.now()
            time.sleep(duration_s)
            # A gateway may send again as soon as it learns of the removal.
            withdrawn_at = soak.ledger.now()
            soak.fleet.store.remove("op", f"evacuate/{hall}")
            soak.ledger.cordons.append(soak_ledger.Cordon(hall, at, withdrawn_at))

    soak.run_in_thread(work)


# -- Endpoints that name a rate limit --


@soak_run.limit_work
def endpoint_names_limit(soak: soak_run.Soak) -> None:
    """An endpoint names a rate limit in all of its answers for a while."""
    endpoint = soak.rng_limits.choice(list(soak.fleet.endpoints.values()))
    duration_s = soak.rng_limits.uniform(*LIMITED_FOR_S)
    per_s = soak.rng_limits.choice(LIMITS)

    def work() -> None:
        # One limit at a time: the end of one would also end the other, unrecorded.
        with endpoint.limit_lock:
            at = soak.ledger.now()
            endpoint.limit = f"{per_s}"
            time.sleep(duration_s)
            until = soak.ledger.now()
            endpoint.limit = ""
        soak.ledger.limit_periods.append(
            soak_ledger.LimitPeriod(endpoint.name, per_s, at, until)
        )

    soak.run_in_thread(work)


# -- Endpoints that announce a departure only in answers, or shed load --


@soak_run.announcement_work
def endpoint_announces_departure(soak: soak_run.Soak) -> None:
    """An endpoint is replaced and announces it in answers, but not in its row."""

    def leave(endpoint: soak_fleet.Endpoint) -> None:
        endpoint.announces_leaving = True

    _replace(soak, soak.rng_announcements, leave)


@soak_run.announcement_work
def endpoint_sheds(soak: soak_run.Soak) -> None:
    """An endpoint refuses all requests for a while and asks for a backoff."""
    endpoint = soak.rng_announcements.choice(list(soak.fleet.endpoints.values()))
    duration_s = soak.rng_announcements.uniform(*SHEDS_FOR_S)
    backoff_s = soak.rng_announcements.choice(BACKOFFS_S)

    def work() -> None:
        endpoint.backoff_s = backoff_s
        time.sleep(duration_s)
        endpoint.backoff_s = 0.0

    soak.run_in_thread(work)
