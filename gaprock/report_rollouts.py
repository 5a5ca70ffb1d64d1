"""The rollouts in the gateways' logs: their exposure, steps, halts and outcomes."""

import typing

from gaprock import logs

EXPOSURE_EVENT: typing.Final = "rollout-exposure"
EVENTS: typing.Final = frozenset(
    (
        EXPOSURE_EVENT,
        "rollout-ordered",
        "rollout-step",
        "rollout-move",
        "rollout-waits",
        "rollout-halted",
        "rollout-write",
        "rollout-state",
    )
)
# Exposure is shown once in this time, as the gateway saw it that knew of most sends.
INTERVAL_S: typing.Final = 2.0
BAR_WIDTH: typing.Final = 30


def describe(lines: typing.Iterable[logs.LogLine], first_at: float) -> list[str]:
    """Return a line of text for each change of a rollout, and for its exposure.

    :param first_at: the time from which the lines count their seconds.
    """
    rows: list[tuple[float, str]] = []
    newest: dict[tuple[str, float], logs.LogLine] = {}
    for line in sorted(lines, key=lambda item: item.at):
        at = line.at - first_at
        service = line.fields.get("service", "none")
        if line.event == EXPOSURE_EVENT:
            key = service, at // INTERVAL_S
            if key not in newest or _sends(line) > _sends(newest[key]):
                newest[key] = line
        else:
            rows.append((at, _describe_change(line, service)))
    for (service, _), line in newest.items():
        rows.append((line.at - first_at, _describe_exposure(line, service)))
    return [f"{at:>8.1f} s  {text}" for at, text in sorted(rows)]


def _sends(line: logs.LogLine) -> float:
    return _number(line, "sends")


def _number(line: logs.LogLine, field: str) -> float:
    try:
        return float(line.fields.get(field, "0"))
    except ValueError:
        return 0.0


def _describe_change(line: logs.LogLine, service: str) -> str:
    detail = next(
        (line.fields[f] for f in ("reason", "error", "state") if f in line.fields), ""
    )
    text = f"{service}  {line.event.removeprefix('rollout-')} at {line.process}"
    return f"{text}: {detail}" if detail else text


def _describe_exposure(line: logs.LogLine, service: str) -> str:
    """Return the exposure beside the allowance, with a bar that is full at it."""
    exposed, allowed = _number(line, "exposed"), _number(line, "allowed")
    used = exposed / allowed if allowed else 0.0
    bar = "#" * min(BAR_WIDTH, round(used * BAR_WIDTH))
    over = " ABOVE" if exposed > allowed else ""
    state = "halted" if line.fields.get("halted") == "True" else "not halted"
    return (
        f"{service}  [{bar:<{BAR_WIDTH}}] {exposed:.0f} of {allowed:.0f} allowed{over}"
        f", {_sends(line):.0f} sends, share {_number(line, 'share'):.3f}, {state}"
        f", {line.fields.get('state', 'none')}"
    )
