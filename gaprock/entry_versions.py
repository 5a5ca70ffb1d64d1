"""The versions on which a new request may run: allowed, not withdrawn, not halted.

A hash of the request's id decides whether it falls into a rollout's share, so that a
retry of the same request gets the same choice on every entry.
"""

import hashlib
import typing

from gaprock import config, documents, errorcodes, errors

HASH_BYTES: typing.Final = 8


class AllowedVersions(typing.NamedTuple):
    """The allowed versions, and for each rejected one the reason."""

    versions: list[str]
    rejected: dict[str, str]


def hash_fraction(subject: str, salt: str) -> float:
    """Hash an id to a number from 0 to 1, the same in every process."""
    digest = hashlib.blake2b(
        subject.encode(), digest_size=HASH_BYTES, key=salt.encode()[:64]
    ).digest()
    return float(int.from_bytes(digest, "big") / 2 ** (8 * HASH_BYTES))


def rollout_share(rollout: documents.Rollout) -> float:
    """Return the share of new requests that a rollout's version gets now."""
    if rollout.state == documents.ABORTED:
        return 0.0
    if rollout.state == documents.DONE:
        return 1.0
    return rollout.steps[rollout.step]


def allowed_versions(
    config_: config.Config, template: documents.Template, subject: str
) -> AllowedVersions:
    """Select the versions of a template on which a new request may run.

    :param subject: the id whose hash decides between the versions of a rollout.
    :raises errors.GaprockError: when none is left; ``VERSION_HALTED`` if a version is
        halted, otherwise ``VERSION_WITHDRAWN``.
    """
    rejected: dict[str, str] = {}
    for choice in template.versions:
        if config_.withdrawn(choice.version):
            rejected[choice.version] = "withdrawn"
        elif config_.halted(choice.version):
            rejected[choice.version] = "halted"
    remaining = [c.version for c in template.versions if c.version not in rejected]
    for rollout in config_.rollouts():
        if rollout.version in remaining and rollout.stable in remaining:
            salt = f"{rollout.version}/{rollout.attempt}"
            gets_new_version = hash_fraction(subject, salt) < rollout_share(rollout)
            excluded = rollout.stable if gets_new_version else rollout.version
            remaining.remove(excluded)
            rejected[excluded] = "rollout"
    if not remaining:
        raise _no_version_left(rejected)
    return AllowedVersions(remaining, rejected)


def _no_version_left(rejected: dict[str, str]) -> errors.GaprockError:
    detail = ", ".join(f"{version} is {why}" for version, why in rejected.items())
    if "halted" in rejected.values():
        return errors.GaprockError(errorcodes.VERSION_HALTED, detail)
    return errors.GaprockError(errorcodes.VERSION_WITHDRAWN, detail)
