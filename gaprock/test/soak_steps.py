"""What a soak does to its processes, store, endpoints, rows, and as the operator."""

import random
import signal
import time
import typing

from gaprock.test import soak_fleet, soak_ledger, soak_run

SIGNAL_GAP_S: typing.Final = 0.2
# How long a hall is emptied, seconds: some longer than it takes to be in force.
EMPTIED_FOR_S: typing.Final = (0.5, 7.0)


# How long an endpoint names a rate limit, seconds, and the limits, requests a second.
LIMITED_FOR_S: typing.Final = (4.0, 8.0)
LIMITS: typing.Final = (0.0, 1.0, 2.5, 4.0)


# How long an endpoint sheds load, and the backoffs that it asks for, seconds.
SHEDS_FOR_S: typing.Final = (0.5, 4.0)
BACKOFFS_S: typing.Final = (0.25, 1.0, 3.0)


# How long the store is away before a restore, seconds, the most transactions that it
# loses, the tables whose rows are written again, and after which time at most, seconds.
AWAY_S: typing.Final = (0.0, 2.0)
MOST_LOST: typing.Final = 8
WRITTEN_AGAIN: typing.Final = ("op", "servers")
AGAIN_S: typing.Final = 2.0


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
            mark = soak_ledger.Disturbance(
                what, gateway.name, is_planned, start, start + 3600
            )
            soak.ledger.add(mark)
            gateway.end(number)
            time.sleep(pause_s)
            gateway.start()
            soak.ledger.replace(mark, mark._replace(end=soak.ledger.now()))
        finally:
            gateway.lock.release()

    soak.later(work)


@soak_run.fault
def kill(soak: soak_run.Soak) -> None:
    """A gateway is killed and started again."""
    _restart(soak, signal.SIGKILL, is_planned=False)


@soak_run.planned
def planned_stop(soak: soak_run.Soak) -> None:
    """A gateway is told to stop, and started again when it is gone."""
    _restart(soak, signal.SIGTERM, is_planned=True)


@soak_run.fault
def pause(soak: soak_run.Soak) -> None:
    """A gateway stands still for a while."""
    gateway = soak.rng.choice(soak.fleet.gateways)
    soak.during(
        "pause",
        gateway.name,
        lambda: gateway.signal(signal.SIGSTOP),
        lambda: gateway.signal(signal.SIGCONT),
    )


@soak_run.planned
def settings_change(soak: soak_run.Soak) -> None:
    """The settings file changes, and the process is told, now and then twice."""
    gateway = soak.rng.choice(soak.fleet.gateways)
    gateway.write_settings(soak_fleet.GRACE_S + soak.rng.choice([0, 1]))
    gateway.signal(signal.SIGHUP)
    if soak.rng.random() < 0.3:
        time.sleep(SIGNAL_GAP_S)
        gateway.signal(signal.SIGHUP)


# -- Faults of the store --


@soak_run.fault
def store_fault(soak: soak_run.Soak) -> None:
    """The store refuses, is slow, or loses its answers."""
    name, value = soak.rng.choice(
        [("refuse", 503), ("refuse", 429), ("delay", 0.6), ("lose", True)]
    )
    faults = soak.fleet.store.faults
    soak.during(
        f"store {name}",
        soak_ledger.ALL,
        lambda: faults.update({name: value}),
        lambda: faults.pop(name, None),
    )


@soak_run.planned
def store_forgets(soak: soak_run.Soak) -> None:
    """The store forgets its history."""
    soak.fleet.store.compact()


@soak_run.fault
def store_clock(soak: soak_run.Soak) -> None:
    """The store's clock jumps ahead for good."""
    jump_ms = soak.rng.randrange(5000)
    old = soak.fleet.store.now_ms
    soak.fleet.store.now_ms = lambda: old() + jump_ms


@soak_run.fault
def store_cut(soak: soak_run.Soak) -> None:
    """One gateway's way to the store is silent, one-way, slow, or reset."""
    gateway = soak.rng.choice(soak.fleet.gateways)
    _disturb_relay(soak, gateway.store_relay, gateway.name)


def _disturb_relay(soak: soak_run.Soak, relay: typing.Any, target: str) -> None:
    how = soak.rng.choice(["silent", "to-target", "to-caller", "slow", "reset"])
    begin: typing.Callable[[], object] = relay.reset
    if how == "silent":
        begin = relay.data_flows.clear
    elif how == "slow":
        delay_s = soak.rng.uniform(0.05, 0.3)

        def begin() -> None:
            relay.delay_s = delay_s

    elif how != "reset":

        def begin() -> None:
            relay.held.add(how)

    soak.during(f"relay {how}", target, begin, relay.heal)


@soak_run.fault_beside
def store_swallows(soak: soak_run.Soak) -> None:
    """What comes to the store is never answered, from just after a change on."""
    faults = soak.fleet.store.faults
    soak.fleet.publish()
    soak.during(
        "store swallow",
        soak_ledger.ALL,
        lambda: faults.update(swallow=True),
        lambda: faults.pop("swallow", None),
        soak.rng_beside,
    )


@soak_run.fault_beside
def connections_go_silent(soak: soak_run.Soak) -> None:
    """Open connections to the store or an endpoint are silent for good."""
    relays = [gateway.store_relay for gateway in soak.fleet.gateways]
    relays += [endpoint.relay for endpoint in list(soak.fleet.endpoints.values())]
    for relay in soak.rng_beside.sample(relays, soak.rng_beside.randint(1, 3)):
        soak.during(
            "relay mute",
            soak_ledger.ALL,
            relay.silence_connections,
            lambda: None,
            soak.rng_beside,
        )


@soak_run.restore
def store_restored(soak: soak_run.Soak) -> None:
    """The store is away for a moment and comes back without its latest writes.

    The operator and the endpoints write theirs again, the gateways' are gone.
    """
    rng, store = soak.rng_restores, soak.fleet.store
    away_s = rng.uniform(*AWAY_S)
    count = rng.randint(0, MOST_LOST)
    again_s = [rng.uniform(0.0, AGAIN_S) for _ in range(MOST_LOST)]

    def work() -> None:
        with soak.restore_lock:
            start = soak.ledger.now()
            mark = soak_ledger.Disturbance(
                "store restored", soak_ledger.ALL, False, start, start + 3600
            )
            soak.ledger.add(mark)
            store.faults["away"] = True
            time.sleep(away_s)
            lost = store.restore(max(1, store.version - count))
            epoch = store.epoch
            store.faults.pop("away", None)
            theirs = [item for item in lost.items() if item[0][0] in WRITTEN_AGAIN]
            for pause_s, (name, value) in sorted(zip(again_s, theirs)):
                time.sleep(max(0.0, start + away_s + pause_s - soak.ledger.now()))
                store.rewrite_after_restore(name, value, epoch)
            soak.ledger.replace(mark, mark._replace(end=soak.ledger.now()))

    soak.later(work)


# -- Faults and planned work of endpoints --


@soak_run.fault
def endpoint_cut(soak: soak_run.Soak) -> None:
    """An endpoint's connections are silent, one-way, slow, or reset."""
    endpoint = soak.rng.choice(list(soak.fleet.endpoints.values()))
    _disturb_relay(soak, endpoint.relay, soak_ledger.ALL)


@soak_run.fault
def endpoint_fails(soak: soak_run.Soak) -> None:
    """An endpoint fails or refuses part of its requests, or is slow."""
    endpoint = soak.rng.choice(list(soak.fleet.endpoints.values()))
    name, value = soak.rng.choice(
        [("failing", 0.5), ("failing", 1.0), ("refusing", 0.6), ("slow_s", 0.4)]
    )
    soak.during(
        f"endpoint {name}",
        soak_ledger.ALL,
        lambda: setattr(endpoint, name, value),
        lambda: setattr(endpoint, name, 0.0),
    )


@soak_run.fault
def endpoint_crash(soak: soak_run.Soak) -> None:
    """An endpoint is gone at once; its row goes later; another one comes."""
    endpoint = soak.rng.choice(list(soak.fleet.endpoints.values()))
    if soak.fleet.endpoints.pop(endpoint.name, None) is None:
        return
    soak.during(
        "endpoint crash",
        soak_ledger.ALL,
        endpoint.stop,
        lambda: soak.fleet.store.remove("servers", endpoint.name),
    )
    soak.fleet.add_endpoint(endpoint.service)


@soak_run.planned
def endpoint_leaves(soak: soak_run.Soak) -> None:
    """An endpoint is replaced: the new one first, then the old one drains."""

    def leave(endpoint: soak_fleet.Endpoint) -> None:
        endpoint.row_s = "draining"
        soak.fleet.write_row(endpoint)
        soak.ledger.leaving[endpoint.name] = soak.ledger.now()

    _replace(soak, soak.rng, leave)


def _replace(
    soak: soak_run.Soak,
    rng: random.Random,
    leave: typing.Callable[[soak_fleet.Endpoint], None],
) -> None:
    """Replace an endpoint.

    :param leave: has it say that it leaves.
    """
    endpoint = rng.choice(list(soak.fleet.endpoints.values()))
    if soak.fleet.endpoints.pop(endpoint.name, None) is None:
        return
    soak.fleet.add_endpoint(endpoint.service)

    def work() -> None:
        leave(endpoint)
        # It serves on longer than it says, as some do.
        time.sleep(soak_fleet.DRAIN_S + 2 * soak_ledger.SLACK_S)
        soak.fleet.store.remove("servers", endpoint.name)
        endpoint.stop()

    soak.later(work)


@soak_run.row_fault
def endpoint_starts_again(soak: soak_run.Soak) -> None:
    """An endpoint crashes and is back at once under its id; its row never goes."""
    endpoint = soak.rng_rows.choice(list(soak.fleet.endpoints.values()))
    cut = soak.rng_rows.choice(
        [endpoint.relay.reset, endpoint.relay.silence_connections]
    )

    def begin() -> None:
        cut()
        endpoint.born += 1
        soak.fleet.beat_row(endpoint)

    soak.during("endpoint again", soak_ledger.ALL, begin, lambda: None, soak.rng_rows)


@soak_run.row_fault
def row_written_over(soak: soak_run.Soak) -> None:
    """Another writer writes over an endpoint's row, until its next heartbeat."""
    endpoint = soak.rng_rows.choice(list(soak.fleet.endpoints.values()))
    soak.during(
        "row written over",
        soak_ledger.ALL,
        lambda: soak.fleet.write_odd_row(endpoint.name, soak.rng_rows),
        lambda: soak.fleet.beat_row(endpoint),
        soak.rng_rows,
    )


@soak_run.odd_row
def row_of_another_writer(soak: soak_run.Soak) -> None:
    """Another writer leaves a row that names nothing, for good."""
    soak.fleet.write_odd_row(f"odd{soak.rng_rows.randrange(9)}", soak.rng_rows)


# -- The operator --


@soak_run.planned
def config_change(soak: soak_run.Soak) -> None:
    """Newer configurations come, now and then in quick succession."""
    for _ in range(soak.rng.choice([1, 1, 4])):
        soak.fleet.publish()


@soak_run.planned
def key_taken_away(soak: soak_run.Soak) -> None:
    """A key is taken away for good."""
    if len(soak.fleet.keys) > 1:
        key = soak.fleet.keys.pop()
        soak.fleet.publish()
        soak.ledger.revoked[key] = soak.ledger.now()


@soak_run.planned_beside
def key_added(soak: soak_run.Soak) -> None:
    """A new key comes."""
    soak.fleet.add_key()


@soak_run.hall_work
def hall_emptied(soak: soak_run.Soak) -> None:
    """The second hall is emptied, and taken back; the first one has endpoints left."""
    hall = soak_fleet.HALLS[1]
    lasts_s = soak.rng_halls.uniform(*EMPTIED_FOR_S)

    def work() -> None:
        with soak.halls_lock:
            soak.fleet.store.put("op", f"evacuate/{hall}", {})
            at = soak.ledger.now()
            time.sleep(lasts_s)
            # Whoever hears at once that it is over may send at once.
            back_at = soak.ledger.now()
            soak.fleet.store.remove("op", f"evacuate/{hall}")
            soak.ledger.emptied.append(soak_ledger.Emptied(hall, at, back_at))

    soak.later(work)


# -- Endpoints in need --


@soak_run.limit_work
def endpoint_in_need(soak: soak_run.Soak) -> None:
    """An endpoint names a rate limit in all of its answers for a while."""
    endpoint = soak.rng_limits.choice(list(soak.fleet.endpoints.values()))
    lasts_s = soak.rng_limits.uniform(*LIMITED_FOR_S)
    per_s = soak.rng_limits.choice(LIMITS)

    def work() -> None:
        # One limit at a time: the end of one would end the other unseen.
        with endpoint.limit_lock:
            at = soak.ledger.now()
            endpoint.limit = f"{per_s}"
            time.sleep(lasts_s)
            until = soak.ledger.now()
            endpoint.limit = ""
        soak.ledger.limited.append(soak_ledger.Limited(endpoint.name, per_s, at, until))

    soak.later(work)


# -- Endpoints that leave in their answers alone, or shed load --


@soak_run.word_work
def endpoint_says_that_it_leaves(soak: soak_run.Soak) -> None:
    """An endpoint is replaced, and its row never says so."""

    def leave(endpoint: soak_fleet.Endpoint) -> None:
        endpoint.says_leaving = True

    _replace(soak, soak.rng_words, leave)


@soak_run.word_work
def endpoint_sheds(soak: soak_run.Soak) -> None:
    """An endpoint turns all requests away for a while, and asks for a backoff."""
    endpoint = soak.rng_words.choice(list(soak.fleet.endpoints.values()))
    lasts_s = soak.rng_words.uniform(*SHEDS_FOR_S)
    backoff_s = soak.rng_words.choice(BACKOFFS_S)

    def work() -> None:
        endpoint.backoff_s = backoff_s
        time.sleep(lasts_s)
        endpoint.backoff_s = 0.0

    soak.later(work)
