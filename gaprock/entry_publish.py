"""Changes to the configuration, as an entry carries them out.

A change is accepted when it is in the table, on condition of the revision that
its author saw.  Withdrawals and halts only ever grow, so they cannot conflict:
they are in force at once, spread from process to process, and are written when
the table answers.
"""

import functools
import typing

from gaprock import (
    config,
    config_store,
    documents,
    entry_links,
    errorcodes,
    errors,
    eventlog,
    services_api,
)

# Tries of an urgent change against others that are accepted meanwhile.
URGENT_TRIES: typing.Final = 10


class Published(typing.NamedTuple):
    """What became of a change."""

    key: str
    # The revision that contains it; 0 while it is in force but not accepted.
    revision: int
    accepted: bool


class Publisher:
    """Publishes changes and spreads them; safe for all threads."""

    __slots__ = ("_config", "_store", "_links")

    def __init__(
        self,
        config_: config.Config,
        store: config_store.ConfigStore,
        links: entry_links.Links,
    ) -> None:
        self._config = config_
        self._store = store
        self._links = links

    def publish(
        self,
        document: documents.Document,
        expected: int,
        conditions: typing.Sequence[services_api.TableOp] = (),
    ) -> Published:
        """Publish a document on condition of the newest revision.

        :raises errors.GaprockError: ``INVALID_CHANGE``, ``CONFLICT``, ``FENCED``,
            ``TABLE_DOWN`` or ``CHANGE_UNKNOWN``.
        """
        check_against(document, self._config)
        key = config.key_of(document)
        value = documents.to_value(document)
        revision = self._store.publish(key, value, expected, conditions)
        self._spread(key, revision)
        return Published(key, revision, True)

    def delete(self, key: str, expected: int) -> Published:
        """Delete a key on condition of the newest revision.

        :raises errors.GaprockError: as ``publish``.
        """
        if key.startswith((config.WITHDRAWN, config.HALTED)):
            raise errors.GaprockError(
                errorcodes.INVALID_CHANGE, "a withdrawal or halt is for good"
            )
        entry = self._config.entry(key)
        if entry is None or entry.value is None:
            raise errors.GaprockError(errorcodes.NOT_FOUND, key)
        revision = self._store.publish(key, None, expected)
        self._spread(key, revision)
        return Published(key, revision, True)

    def publish_urgent(self, document: documents.Document) -> Published:
        """Put a withdrawal or halt in force at once, then have it accepted.

        :returns: ``accepted`` is false while the table is down.
        :raises errors.GaprockError: ``CHANGE_UNKNOWN`` is not raised: what is not
            known to be accepted is written again later.
        """
        key = config.key_of(document)
        if self._config.add_urgent([key]):
            eventlog.warning("urgent-in-force", key=key)
        self._links.broadcast()
        revision = self._accept(document)
        return Published(key, revision, revision > 0)

    def accept_urgent(self) -> None:
        """Write what is in force but not accepted; a periodic task."""
        for key in self._config.urgent:
            self._accept(config.document_of_urgent(key))

    def refresh(self) -> bool:
        """Read on in the table, and spread what is new.

        :raises services_api.PlatformError: when the table did not answer.
        """
        mine = self._config
        delta = self._store.read_since(mine.revision, mine.ready)
        if delta is None or not mine.apply(delta):
            return False
        eventlog.info("config-in-force", revision=mine.revision)
        self._links.broadcast()
        return True

    def _accept(self, document: documents.Document) -> int:
        """Have an urgent document accepted; give its revision, or 0."""
        key = config.key_of(document)
        value = documents.to_value(document)
        for _ in range(URGENT_TRIES):
            try:
                self.refresh()
                known = self._config.entry(key)
                if known is not None:
                    return known.revision
                revision = self._store.publish(key, value, self._config.revision)
            except errors.GaprockError as exc:
                if exc.code is errorcodes.CONFLICT:
                    continue
                return 0
            except services_api.PlatformError:
                return 0
            self._spread(key, revision)
            return revision
        return 0

    def _spread(self, key: str, revision: int) -> None:
        """Put an accepted change in force here and send it on."""
        eventlog.info("config-accepted", key=key, revision=revision)
        try:
            self.refresh()
        except services_api.PlatformError as exc:
            # It is accepted; the next reading brings it into force.
            eventlog.warning("platform-down", task="refresh", error=exc)


@functools.singledispatch
def check_against(document: documents.Document, config_: config.Config) -> None:
    """Check a document against the configuration it would join.

    :raises errors.GaprockError: ``INVALID_CHANGE``.
    """


@check_against.register
def _(document: documents.Template, config_: config.Config) -> None:
    if config_.workspace(document.workspace) is None:
        raise errors.GaprockError(
            errorcodes.INVALID_CHANGE,
            f"there is no workspace {document.workspace!r} - at `$.workspace`",
        )
    for choice in document.versions:
        _refuse_withdrawn(choice.version, "versions", config_)


@check_against.register
def _(document: documents.Rollout, config_: config.Config) -> None:
    _refuse_withdrawn(document.version, "version", config_)
    _refuse_withdrawn(document.stable, "stable", config_)
    old = config_.rollout(document.version)
    if old is not None and document.attempt < old.attempt:
        raise errors.GaprockError(
            errorcodes.INVALID_CHANGE, f"takes {old.attempt} or more - at `$.attempt`"
        )


def _refuse_withdrawn(version: str, field: str, config_: config.Config) -> None:
    if config_.withdrawn(version):
        raise errors.GaprockError(
            errorcodes.INVALID_CHANGE, f"{version} is withdrawn - at `$.{field}`"
        )
