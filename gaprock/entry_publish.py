"""Publication of configuration changes by an entry.

A change is accepted when it is written to the table, on condition that the newest
revision is the one its author saw.  Withdrawals and halts are only added, never
removed, so they cannot conflict: they are in force at once, spread from process to
process, and are written to the table as soon as it answers.
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

# Tries to write an urgent change when other changes are accepted in between.
URGENT_TRIES: typing.Final = 10


class PublishResult(typing.NamedTuple):
    """The result of publishing a change."""

    key: str
    # The revision that contains it; 0 while it is in force but not accepted.
    revision: int
    accepted: bool


class Publisher:
    """Publishes changes and sends them to the agents; thread-safe."""

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
    ) -> PublishResult:
        """Publish a document.

        :param expected: the revision that must be the newest one.
        :param conditions: further conditions on rows of the table.
        :raises errors.GaprockError: ``INVALID_CHANGE``, ``CONFLICT``, ``FENCED``,
            ``TABLE_DOWN`` or ``CHANGE_UNKNOWN``.
        """
        check_against(document, self._config)
        key = config.key_of(document)
        value = documents.to_value(document)
        revision = self._store.publish(key, value, expected, conditions)
        self._distribute(key, revision)
        return PublishResult(key, revision, True)

    def delete(self, key: str, expected: int) -> PublishResult:
        """Delete a key.

        :param expected: the revision that must be the newest one.
        :raises errors.GaprockError: as ``publish``, or ``NOT_FOUND``.
        """
        if key.startswith((config.WITHDRAWN, config.HALTED)):
            raise errors.GaprockError(
                errorcodes.INVALID_CHANGE, "a withdrawal or halt is for good"
            )
        entry = self._config.entry(key)
        if entry is None or entry.value is None:
            raise errors.GaprockError(errorcodes.NOT_FOUND, key)
        revision = self._store.publish(key, None, expected)
        self._distribute(key, revision)
        return PublishResult(key, revision, True)

    def publish_urgent(self, document: documents.Document) -> PublishResult:
        """Put a withdrawal or halt in force at once, then write it to the table.

        Raises no ``CHANGE_UNKNOWN``: a change not known to be accepted is written
        again later.

        :returns: ``accepted`` is false while the change is not in the table.
        """
        key = config.key_of(document)
        if self._config.add_urgent([key]):
            eventlog.warning("urgent-in-force", key=key)
        self._links.broadcast()
        revision = self._write_one(document)
        return PublishResult(key, revision, revision > 0)

    def write_pending_urgent(self) -> None:
        """Write the urgent changes that are not accepted yet; a periodic task."""
        for key in self._config.urgent:
            self._write_one(config.urgent_document(key))

    def refresh(self) -> bool:
        """Apply new changes from the table and send them to the agents.

        :returns: whether there were any.
        :raises services_api.PlatformError: when the table did not answer.
        """
        own_config = self._config
        delta = self._store.read_since(own_config.revision, own_config.ready)
        if delta is None or not own_config.apply(delta):
            return False
        eventlog.info("config-in-force", revision=own_config.revision)
        self._links.broadcast()
        return True

    def _write_one(self, document: documents.Document) -> int:
        """Write an urgent document; return its revision, or 0 if it failed."""
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
            self._distribute(key, revision)
            return revision
        return 0

    def _distribute(self, key: str, revision: int) -> None:
        """Put an accepted change in force here and send it to the agents."""
        eventlog.info("config-accepted", key=key, revision=revision)
        try:
            self.refresh()
        except services_api.PlatformError as exc:
            # The change is accepted; the next refresh puts it in force.
            eventlog.warning("platform-down", task="refresh", error=exc)


@functools.singledispatch
def check_against(document: documents.Document, config_: config.Config) -> None:
    """Check a document against the configuration it is to be added to.

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
