"""Which versions a new request may run on: allowed, not withdrawn, not halted.

A rollout takes its share of new work by a hash of the request's id, so that a
retry of the same request makes the same choice on every entry.
"""

import hashlib
import typing

from gaprock import config, documents, errorcodes, errors

HASH_BYTES: typing.Final = 8


class Ruled(typing.NamedTuple):
    """The versions that remain, and why the others do not."""

    versions: list[str]
    out: dict[str, str]


def fraction_of(subject: str, salt: str) -> float:
    """Map an id to a number from 0 to 1 that is the same everywhere."""
    digest = hashlib.blake2b(
        subject.encode(), digest_size=HASH_BYTES, key=salt.encode()[:64]
    ).digest()
    return float(int.from_bytes(digest, "big") / 2 ** (8 * HASH_BYTES))


def share_of(rollout: documents.Rollout) -> float:
    """Give the share of new work that a rollout's version gets now."""
    if rollout.state == documents.ABORTED:
        return 0.0
    if rollout.state == documents.DONE:
        return 1.0
    return rollout.steps[rollout.step]


def allowed_versions(
    config_: config.Config, template: documents.Template, subject: str
) -> Ruled:
    """Rule out the versions that a new request may not run on.

    :param subject: the id that decides on which side of a rollout it falls.
    :raises errors.GaprockError: when none remains, with the reason of the last.
    """
    out: dict[str, str] = {}
    for choice in template.versions:
        if config_.withdrawn(choice.version):
            out[choice.version] = "withdrawn"
        elif config_.halted(choice.version):
            out[choice.version] = "halted"
    remaining = [c.version for c in template.versions if c.version not in out]
    for rollout in config_.rollouts():
        if rollout.version in remaining and rollout.stable in remaining:
            salt = f"{rollout.version}/{rollout.attempt}"
            takes_new = fraction_of(subject, salt) < share_of(rollout)
            loser = rollout.stable if takes_new else rollout.version
            remaining.remove(loser)
            out[loser] = "rollout"
    if not remaining:
        raise _none_left(out)
    return Ruled(remaining, out)


def _none_left(out: dict[str, str]) -> errors.GaprockError:
    detail = ", ".join(f"{version} is {why}" for version, why in out.items())
    if "halted" in out.values():
        return errors.GaprockError(errorcodes.VERSION_HALTED, detail)
    return errors.GaprockError(errorcodes.VERSION_WITHDRAWN, detail)
