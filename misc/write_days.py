"""Writes the project's own days for the users' bench: faults and planned work.

    python -m misc.write_days

The days are written to ``deploy/days``.  The bench's ``run`` plays a day on any site,
and its ``hunt`` plays it with varied times and figures.  The days define no traffic, so
the site's own traffic is used.  ``@s0``, ``@c0`` and ``@z0`` stand for the site's first
service, kind of request and hall.
"""

import pathlib
import typing

FOLDER: typing.Final = pathlib.Path(__file__).resolve().parent.parent / "deploy/days"
SEED: typing.Final = 7
AT_S: typing.Final = 6.0
DayEvent = dict[str, object]


def fault(kind: str, how: str = "", at: float = AT_S, **more: object) -> DayEvent:
    """Return a fault.

    :param how: variants of the kind, separated by spaces.
    """
    return {"kind": kind, "how": how, "at": at, **more}


def rollout(kind: str, how: str = "", **more: object) -> DayEvent:
    """Return a rollout, which is planned work."""
    return {"plan": True, "at": 2.0, "kind": kind, "how": how, "for_s": 24.0, **more}


def plan(kind: str, how: str = "", at: float = AT_S, **more: object) -> DayEvent:
    """Return planned work."""
    return {"plan": True, "kind": kind, "how": how, "at": at, **more}


# One change of the configuration a second, alternately of a tenant and of a route.
CONFIG_CHANGES: typing.Final = [
    plan("config_change", how, at=2.0 + number)
    for number, how in enumerate(("tenant", "route") * 12)
]
# Just after a change of ``CONFIG_CHANGES``, when long polls have been sent again.
OUTAGES_AT_S: typing.Final = (5.06, 8.06, 11.06, 14.06, 17.06)
# Successive crashes of endpoints: the time, the share of endpoints, and the variant.
SUCCESSIVE_CRASHES: typing.Final = (
    (5.0, 0.3, ""),
    (7.5, 0.3, ""),
    (10.0, 0.5, ""),
    (12.5, 0.5, "all"),
    (15.0, 0.3, "dark"),
    (17.5, 0.3, ""),
    (20.0, 0.5, ""),
)


DAYS: typing.Final[dict[str, list[DayEvent]]] = {
    "deadly-twice-beside-crashes": [
        fault("poison", "deadly", at=4.0, **{"class": "@c0"}, share=0.1, for_s=8.0),
        fault("srv_crash", at=9.0, share=0.2, for_s=3.0, service="@s0"),
        fault("poison", "deadly", at=15.0, **{"class": "@c1"}, share=0.03, for_s=8.0),
    ],
    "deadly-for-a-plain-service-beside-kills": [
        fault("poison", "deadly", at=4.0, **{"class": "@c4"}, share=0.05, for_s=20.0),
        fault("herd_kill", at=9.0, share=0.5),
    ],
    "deadly-while-all-are-killed": [
        fault("poison", "deadly", at=5.0, **{"class": "@c0"}, share=0.05, for_s=20.0),
        fault("herd_kill", at=12.0, share=1.0),
    ],
    "cold-return-in-a-burst": [
        fault("cold_return", at=5.0, zone="@z0", for_s=4.5),
        fault("burst", at=9.0, x=1.7, for_s=4.0),
        fault("cold_return", "dark", at=18.0, zone="@z0", for_s=4.5),
    ],
    "cold-return-beside-cuts": [
        fault("cold_return", at=5.0, zone="@z0", for_s=4.5),
        fault("node_cut", at=8.0, share=0.3, for_s=5.0),
        fault("node_freeze", at=8.5, share=0.2, for_s=2.0),
        fault("node_kill", at=9.4, share=0.2),
    ],
    "hall-emptied": [
        plan("evacuate", at=4.0, zone="@z0", for_s=8.0),
        plan("evacuate", at=18.0, zone="@z0", for_s=6.0),
        fault("burst", at=12.0, x=1.7, for_s=3.0),
    ],
    "hall-emptied-while-store-is-away": [
        plan("evacuate", at=4.0, zone="@z0", for_s=9.0),
        fault("platform_compact", at=6.0, for_s=4.0),
        fault("platform_down", "nodes many", at=11.0, share=0.4, for_s=6.0),
        plan("evacuate", at=18.0, zone="@z0", for_s=60.0),
        fault("node_kill", at=20.0, share=0.3),
    ],
    "hall-lost": [
        fault("zone_loss", at=6.0, zone="@z0"),
        fault("zone_loss", at=16.0, zone="@z0"),
    ],
    "burst": [fault("burst", x=3.0, for_s=6.0)],
    "hot-key": [fault("hot_key", share=0.5, for_s=6.0)],
    "hot-tenant": [fault("hot_tenant", x=8.0, for_s=6.0)],
    "retry-abuse": [fault("retry_abuse", x=4.0, share=0.5, for_s=8.0)],
    "give-up": [fault("give_up", share=0.4, for_s=8.0, x=400.0)],
    "crash": [fault("srv_crash", share=0.4, for_s=4.0)],
    "crash-dark": [fault("srv_crash", "dark", share=0.4, for_s=6.0)],
    "crash-gone": [fault("srv_crash", "gone", share=0.4)],
    "grey-errors": [fault("srv_grey", "errors", share=0.4, for_s=8.0, x=0.6)],
    "grey-hang": [fault("srv_grey", "hang", share=0.4, for_s=8.0, x=0.6)],
    "grey-mute": [fault("srv_grey", "mute", share=0.4, for_s=8.0, x=0.6)],
    "grey-shed": [fault("srv_grey", "shed", share=0.4, for_s=8.0, x=0.6)],
    "grey-slow": [fault("srv_grey", "slow", share=0.4, for_s=8.0, x=8.0)],
    "slow-servers": [fault("srv_slow", share=0.4, for_s=8.0, x=4.0)],
    "cut-servers": [fault("srv_cut", "some", share=0.4, for_s=6.0)],
    # No request causes these crashes, so none may be quarantined for them.
    "endpoints-crash-by-turns-in-a-burst": [
        fault("burst", at=4.0, x=2.0, for_s=20.0),
        *(
            fault("srv_crash", how, at=at, share=share, for_s=2.0, service="@s0")
            for at, share, how in SUCCESSIVE_CRASHES
        ),
    ],
    "reused-address": [fault("replace_with_reuse", share=0.3)],
    "release": [plan("release", share=1.0, gap_s=1.0)],
    "scale-in": [plan("scale_in", share=0.3)],
    "scale-in-spot": [plan("scale_in", "spot", share=0.3)],
    "lost-answers": [fault("answer_lost", share=1.0, x=0.2, for_s=8.0)],
    "garble-extra": [fault("garble", "extra late", share=1.0, x=0.2, for_s=8.0)],
    "garble-unframed": [fault("garble", "unframed", share=1.0, x=0.2, for_s=8.0)],
    "garble-early": [fault("garble", "early", share=1.0, x=0.2, for_s=8.0)],
    "kill": [fault("node_kill", share=0.5)],
    "kill-leader": [fault("node_kill", "leader race drain", on="core", count=1)],
    "power-off": [fault("node_kill", "power", share=0.5, for_s=4.0)],
    "freeze": [fault("node_freeze", share=0.5, for_s=4.0)],
    "slow-machines": [fault("node_slow", share=0.5, x=6.0, for_s=6.0)],
    "stop-in-turn": [plan("roll_term", share=1.0, gap_s=1.0)],
    "stop-busy": [plan("roll_term", "busy", share=1.0, gap_s=1.0)],
    "herd-kill": [fault("herd_kill", share=1.0)],
    "herd-power": [fault("herd_kill", "power", share=1.0, for_s=2.0)],
    "added-machines": [plan("add_nodes")],
    "kill-after-ack": [fault("after_ack_kill", "timed", for_s=2.0)],
    "clock-back": [fault("clock_step", "back", share=1.0, x=60_000.0, for_s=6.0)],
    "clock-ahead": [fault("clock_step", "ahead", share=1.0, x=60_000.0, for_s=6.0)],
    "reset-channels": [fault("reset_conns", share=1.0, x=1.0)],
    "settings": [plan("hup", share=1.0, gap_s=0.5)],
    "core-cut": [
        fault("core_cut", "all", count=1, for_s=8.0),
        plan("revoke", count=2, at=8.0),
        plan("config_change", "route", at=9.0),
    ],
    "node-cut": [fault("node_cut", "all", share=0.5, for_s=6.0)],
    "lossy": [fault("lossy", x=0.08, for_s=8.0)],
    "store-silent": [fault("platform_down", "silent lapse", for_s=8.0)],
    "store-busy": [fault("platform_down", "busy", for_s=8.0)],
    "store-nodes": [fault("platform_down", "nodes many revoke meet", for_s=9.0)],
    "store-slow": [fault("platform_slow", x=100.0, for_s=8.0)],
    "store-lost": [fault("platform_lost", "late", x=0.6, for_s=10.0)],
    "store-compact": [fault("platform_compact", "drain", x=6.0, for_s=10.0)],
    "config-storm": [plan("config_storm", for_s=6.0, gap_s=0.1)],
    "config-routes": [plan("config_change", "route"), plan("config_change", "weights")],
    "changes-while-store-is-silent": [
        *CONFIG_CHANGES,
        fault("platform_down", "silent", at=5.06, for_s=6.0),
    ],
    "changes-while-store-refuses-some": [
        *CONFIG_CHANGES,
        fault("platform_down", "nodes revoke meet", at=5.06, share=0.6, for_s=8.0),
        fault("platform_down", "silent", at=17.06, for_s=3.0),
    ],
    "changes-while-store-comes-and-goes": [
        *CONFIG_CHANGES,
        *(fault("platform_down", "silent", at=at, for_s=1.2) for at in OUTAGES_AT_S),
    ],
    "changes-while-cut-and-killed": [
        *CONFIG_CHANGES,
        fault("core_cut", "all", at=5.06, count=1, for_s=6.0),
        fault("platform_down", "silent", at=9.06, for_s=4.0),
        fault("node_kill", "leader", at=10.0, on="core", count=1),
        fault("node_slow", at=15.0, share=0.5, x=5.0, for_s=6.0),
    ],
    "changes-while-channels-are-reset": [
        *CONFIG_CHANGES,
        *(fault("reset_conns", at=at, share=1.0, x=0.7) for at in OUTAGES_AT_S),
        fault("lossy", at=12.0, x=0.1, for_s=8.0),
    ],
    "changes-while-store-is-slow": [
        *CONFIG_CHANGES,
        fault("platform_slow", at=5.06, x=100.0, for_s=6.0),
        fault("platform_lost", "late", at=13.06, x=0.6, for_s=6.0),
        fault("platform_compact", "drain", at=21.06, x=6.0, for_s=4.0),
    ],
    "endpoints-leave-while-store-is-silent": [
        plan("scale_in", at=4.9, share=0.15),
        fault("platform_down", "silent", at=5.2, for_s=5.0),
        *(plan("scale_in", at=at, share=0.15) for at in (11.0, 15.0, 19.0)),
    ],
    "big-config": [plan("big_config", count=400)],
    "revoke-last": [plan("revoke", "last", count=3, gap_s=0.5)],
    "good-version": [rollout("rollout_good")],
    "bad-errors": [rollout("rollout_bad", "errors", share=0.35)],
    "bad-slow": [rollout("rollout_bad", "slow")],
    "bad-under-load": [rollout("rollout_bad", "under_load")],
    # The first service is busy, the second one gets few requests.
    "short-slow-busy": [
        rollout("rollout_bad", "slow", x=4.0, for_s=15.0, service="@s0")
    ],
    "short-slow-small": [
        rollout("rollout_bad", "slow", x=4.0, for_s=15.0, service="@s1")
    ],
    "short-good-busy": [rollout("rollout_good", for_s=15.0, service="@s0")],
    "short-good-small": [rollout("rollout_good", for_s=15.0, service="@s1")],
    "short-good-beside-a-slow-endpoint": [
        rollout("rollout_good", for_s=15.0, service="@s0"),
        fault("srv_slow", at=6.0, share=0.1, x=6.0, for_s=10.0),
    ],
    "slow-small-beside-kills": [
        rollout("rollout_bad", "slow", x=4.0, for_s=15.0, service="@s1"),
        fault("node_kill", at=9.0, share=0.5),
    ],
    "bad-one-class": [rollout("rollout_bad", "one_class")],
    "bad-late": [rollout("rollout_bad", "late", gap_s=12.0)],
    "bad-while-store-is-down": [
        rollout("rollout_bad", "late", gap_s=6.0),
        fault("platform_down", "silent", at=6.0, for_s=8.0),
        fault("node_kill", "leader race", at=9.0, on="core", count=1),
    ],
    "good-while-killed": [
        rollout("rollout_good"),
        fault("node_kill", "leader race", at=13.0, on="core", count=1),
        fault("herd_kill", at=18.0, share=1.0),
    ],
    "bad-without-answers": [
        rollout("rollout_bad", "slow", x=8.0, service="@s0"),
        fault("give_up", at=1.0, share=0.6, x=500.0, for_s=28.0),
    ],
    "bad-beside-slow-endpoints": [
        rollout("rollout_bad", "slow", x=6.0),
        fault("srv_slow", at=0.5, share=0.5, x=6.0, for_s=28.0),
    ],
    "bad-at-the-end": [rollout("rollout_bad", "late", gap_s=15.0)],
    "bad-at-the-very-end": [
        rollout("rollout_bad", "late", gap_s=18.0, service="@s0"),
        fault("node_slow", at=0.5, share=1.0, x=6.0, for_s=28.0),
    ],
    "bad-of-one-class-beside-hangs": [
        rollout("rollout_bad", "one_class", service="@s0"),
        fault("srv_grey", "hang", at=1.0, share=0.4, x=0.6, for_s=25.0),
    ],
    "good-beside-hangs": [
        rollout("rollout_good", service="@s0"),
        fault("srv_grey", "hang", at=1.0, share=0.4, x=0.6, for_s=25.0),
        fault("platform_compact", at=3.0, x=5.0, for_s=12.0),
    ],
    "good-beside-slow-machines": [
        rollout("rollout_good"),
        fault("node_slow", at=0.5, share=1.0, x=6.0, for_s=28.0),
    ],
    "good-while-starts-read-late": [
        rollout("rollout_good", service="@s0"),
        fault("platform_slow", at=4.0, x=500.0, for_s=25.0),
        fault("node_kill", at=6.0, share=0.3),
        plan("add_nodes", at=8.0),
    ],
    "good-while-callers-change-gateways": [
        rollout("rollout_good", service="@s0"),
        fault("burst", at=1.0, x=2.0, for_s=12.0),
        plan("roll_term", at=3.0, share=1.0, gap_s=2.0),
    ],
    "endpoints-crash-beside-a-cut": [
        fault("srv_cut", "all reborn", at=5.0, share=0.3, for_s=4.0),
        fault("srv_crash", at=12.0, share=0.4, for_s=1.0),
        fault("node_cut", at=12.0, share=0.3, for_s=3.0),
    ],
    "silent-store-in-a-release": [
        plan("release", at=4.0, share=0.5, gap_s=1.0),
        fault("platform_down", "silent lapse", at=6.0, for_s=5.0),
        fault("srv_crash", "dark", at=8.0, share=0.2, for_s=4.0),
    ],
    "drain-in-gap": [
        fault("platform_compact", "drain", x=6.0, for_s=10.0),
        plan("scale_in", at=7.0, share=0.2),
    ],
    "keys-while-cut": [
        fault("node_cut", "reset revoke", share=0.5, for_s=8.0),
        plan("revoke", count=3, at=8.0, gap_s=0.5),
    ],
    "herd-in-burst": [
        fault("burst", x=2.0, for_s=8.0),
        fault("herd_kill", at=8.0, share=1.0),
    ],
    "slow-machine-lost-answers": [
        fault("node_slow", share=0.5, x=6.0, for_s=6.0),
        fault("answer_lost", share=1.0, x=0.1, for_s=6.0),
    ],
}


def write_event(event: DayEvent) -> str:
    """Return a fault or planned work as an inline table."""
    pairs = [
        f"{name} = {_value(value)}"
        for name, value in event.items()
        if name != "plan" and value != ""
    ]
    return "  { " + ", ".join(pairs) + " },\n"


def _value(value: object) -> str:
    return f'"{value}"' if isinstance(value, str) else str(value)


def write_day(name: str, events: list[DayEvent]) -> str:
    """Return a day as TOML."""
    planned = "".join(write_event(t) for t in events if t.get("plan"))
    faults = "".join(write_event(t) for t in events if not t.get("plan"))
    head = f'[[day]]\nname = "{name}"\nslot = "trouble"\nseed = {SEED}\n'
    return head + f"plan = [\n{planned}]\nfaults = [\n{faults}]\n"


def main() -> None:
    """Write all days."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    for name, events in DAYS.items():
        (FOLDER / f"{name}.toml").write_text(write_day(name, events))


if __name__ == "__main__":
    main()
