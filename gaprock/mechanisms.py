"""Mechanisms of the gateway that can be switched off to measure the effect of each.

``gaprock-gateway --without NAME,...`` is for measurements only (``misc/ablate.py``); a
fleet runs with all of them.  The switches are set once, before requests are served.
"""

import typing

from gaprock import errorcodes, errors


class Mechanism:
    """A mechanism that can be switched off.

    :param text: a description of what it does.
    """

    __slots__ = ("name", "text", "on")

    def __init__(self, name: str, text: str) -> None:
        self.name = name
        self.text = text
        self.on = True
        by_name[name] = self


by_name: typing.Final[dict[str, Mechanism]] = {}

KEPT_PROMPTS: typing.Final = Mechanism(
    "kept-prompts", "endpoints are chosen by the parts of the prompt that they keep"
)
TOLD_PROMPTS: typing.Final = Mechanism(
    "told-prompts", "gateways tell each other which prompts were read where"
)
BACKLOG_FALLS: typing.Final = Mechanism(
    "backlog-falls", "what waits at an engine is taken as read bit by bit"
)
MODEL_WEIGHTS: typing.Final = Mechanism(
    "model-weights", "what a model's token weighs is learned, not taken from its price"
)
MIDDLE_MODELS: typing.Final = Mechanism(
    "middle-models", "a model in the middle is asked where it will likely be sure"
)
STRAIN: typing.Final = Mechanism(
    "strain", "climbing shrinks with the time that the larger model would take"
)
UNREAD: typing.Final = Mechanism(
    "unread", "prompts that wait count as load, not requests alone"
)
TOLD_LOADS: typing.Final = Mechanism(
    "told-loads", "the other gateways' requests and prompts count as load"
)
HALL: typing.Final = Mechanism("hall", "the own hall's endpoints go first")
SET_ASIDE: typing.Final = Mechanism(
    "set-aside", "endpoints that fail, or took no connection, are set aside"
)
DOUBTED: typing.Final = Mechanism(
    "doubted", "endpoints that another gateway finds dark are set aside"
)
LOOKS: typing.Final = Mechanism(
    "looks", "a silent endpoint is looked at with a new connection"
)
ESCALATION_RESERVE: typing.Final = Mechanism(
    "climb-reserve", "some of the retry budget is left to failures"
)
SLOW_START: typing.Final = Mechanism(
    "slow-start", "an endpoint that is not warm gets what it bears, over all gateways"
)
READERS: typing.Final = Mechanism(
    "readers", "a hall's first gateways read the store for the others"
)
TOLD_PROOFS: typing.Final = Mechanism(
    "told-proofs", "an answer of the store to one gateway proves its table for all"
)
CANARY_PLACE: typing.Final = Mechanism(
    "canary-place", "an unproved version's share goes to that share of its endpoints"
)

PACE: typing.Final = Mechanism(
    "pace", "the pace that endpoints report is used in all estimates"
)
SHARES: typing.Final = Mechanism(
    "shares", "scarce capacity is divided among workspaces"
)
HELD_BYTES: typing.Final = Mechanism(
    "held-bytes", "bytes held for callers and endpoints are bounded"
)
START_WAIT: typing.Final = Mechanism(
    "start-wait", "requests are held as long as a start is expected to take"
)
MACHINE_SIZE: typing.Final = Mechanism(
    "machine-size", "relays and readers are chosen by the size of their machines"
)
OWN_DELAYS: typing.Final = Mechanism(
    "own-delays", "time-outs due to a delay of this process eject no endpoint"
)


def switch_off(names: typing.Iterable[str]) -> None:
    """Switch mechanisms off.

    :raises errors.GaprockError: ``SETTINGS`` for an unknown name.
    """
    names = list(names)
    unknown = [name for name in names if name not in by_name]
    if unknown:
        known = ", ".join(by_name)
        detail = f"--without: no mechanism {', '.join(unknown)}; there are {known}"
        raise errors.GaprockError(errorcodes.SETTINGS, detail)
    for name in names:
        by_name[name].on = False
