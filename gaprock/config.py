"""The configuration in force in one process.

The configuration is a set of keyed documents.  Each key carries the revision
that last changed it, so the changes after revision N form one small delta.
Two rules keep the configuration from going back to an earlier state:

* a delta is applied only if it starts at or below the process's revision and ends
  above it;
* *urgent* keys (withdrawals and halts) are in force before the table has accepted
  them; their set is merged from all peers, and a key leaves it only once the table
  has accepted the key.
"""

import functools
import hashlib
import hmac
import re
import threading
import typing

from gaprock import documents, errorcodes, errors, eventlog, messages

WORKSPACE: typing.Final = "workspace/"
TEMPLATE: typing.Final = "template/"
ROLLOUT: typing.Final = "rollout/"
WITHDRAWN: typing.Final = "withdrawn/"
HALTED: typing.Final = "halted/"
DRAIN: typing.Final = "drain/"

# The document type of each key prefix.
KINDS: typing.Final[dict[str, type[documents.Document]]] = {
    WORKSPACE: documents.Workspace,
    TEMPLATE: documents.Template,
    ROLLOUT: documents.Rollout,
    WITHDRAWN: documents.Withdrawal,
    HALTED: documents.Halt,
    DRAIN: documents.Drain,
}

# Keys that a process may put in force before the table has accepted them.
URGENT_KEY: typing.Final = re.compile(
    rf"(?:{WITHDRAWN}[^/\s]{{1,64}}|{HALTED}[^/\s]{{1,64}}/[0-9]{{1,6}})\Z"
)


def template_key(workspace: str, name: str) -> str:
    """Return the key of a template."""
    return f"{TEMPLATE}{workspace}/{name}"


def halt_key(version: str, attempt: int) -> str:
    """Return the key of a halt; a rollout with a higher attempt ends the halt."""
    return f"{HALTED}{version}/{attempt}"


def key_hash(key: str) -> str:
    """Return the hash under which a bearer key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


@functools.singledispatch
def key_of(document: documents.Document) -> str:
    """Return the key that a document is stored under."""
    raise TypeError(type(document).__name__)


@key_of.register
def _(document: documents.Workspace) -> str:
    return WORKSPACE + document.name


@key_of.register
def _(document: documents.Template) -> str:
    return template_key(document.workspace, document.name)


@key_of.register
def _(document: documents.Rollout) -> str:
    return ROLLOUT + document.version


@key_of.register
def _(document: documents.Withdrawal) -> str:
    return WITHDRAWN + document.version


@key_of.register
def _(document: documents.Halt) -> str:
    return halt_key(document.version, document.attempt)


@key_of.register
def _(document: documents.Drain) -> str:
    return DRAIN + document.endpoint


def kind_of(key: str) -> type[documents.Document] | None:
    """Return the document type of a key, by the key's prefix."""
    return KINDS.get(key.split("/", 1)[0] + "/")


def urgent_document(key: str) -> documents.Document:
    """Build the document that an urgent key stands for."""
    if key.startswith(WITHDRAWN):
        return documents.Withdrawal(key[len(WITHDRAWN) :], "urgent")
    version, _, attempt = key[len(HALTED) :].rpartition("/")
    return documents.Halt(version, int(attempt), "evidence")


class Config:
    """The newest configuration that this process knows.  Thread-safe."""

    __slots__ = (
        "_lock",
        "revision",
        "ready",
        "_entries",
        "_documents",
        "_urgent",
        "_halts",
        "_workspace_of_hash",
    )

    def __init__(self) -> None:
        self._lock = threading.RLock()
        self.revision = 0
        # Whether a configuration, possibly an empty one, has been applied yet.
        self.ready = False
        self._entries: dict[str, messages.ConfigEntry] = {}
        self._documents: dict[str, documents.Document] = {}
        self._urgent: frozenset[str] = frozenset()
        # Highest halted attempt of each version.
        self._halts: dict[str, int] = {}
        self._workspace_of_hash: dict[str, str] = {}

    def apply(self, delta: messages.ConfigDelta) -> bool:
        """Apply a delta if it continues from the revision in force.

        :returns: whether it was applied.
        """
        with self._lock:
            self.add_urgent(delta.urgent)
            fits = delta.base <= self.revision
            newer = delta.revision > self.revision or not self.ready
            if not (fits and newer):
                return False
            for entry in delta.entries:
                self._put(entry)
            self.revision = max(self.revision, delta.revision)
            self.ready = True
            self._drop_accepted_urgent()
            return True

    def delta_since(self, revision: int) -> messages.ConfigDelta:
        """Return all keys that changed after ``revision``."""
        with self._lock:
            changed = [e for e in self._entries.values() if e.revision > revision]
            return messages.ConfigDelta(
                revision, self.revision, changed, sorted(self._urgent)
            )

    def add_urgent(self, keys: typing.Iterable[str]) -> bool:
        """Put withdrawals and halts in force before the table has accepted them.

        :returns: whether any of them was new.
        """
        with self._lock:
            new = [key for key in keys if self._is_new_urgent(key)]
            if not new:
                return False
            self._urgent = self._urgent.union(new)
            self._update_halts()
            return True

    @property
    def urgent(self) -> list[str]:
        """Keys in force that the table has not accepted yet."""
        return sorted(self._urgent)

    def entry(self, key: str) -> messages.ConfigEntry | None:
        """Return a key's entry; the entry of a deleted key has no value."""
        return self._entries.get(key)

    def template(self, workspace: str, name: str) -> documents.Template | None:
        """Return a template, or ``None`` if there is none."""
        found = self._documents.get(template_key(workspace, name))
        return found if isinstance(found, documents.Template) else None

    def templates(self) -> list[documents.Template]:
        """Return all templates."""
        return self._all(documents.Template)

    def template_names(self, workspace: str) -> list[str]:
        """Return the names of a workspace's templates."""
        return sorted(t.name for t in self.templates() if t.workspace == workspace)

    def rollouts(self) -> list[documents.Rollout]:
        """Return all rollouts, including ended ones."""
        return self._all(documents.Rollout)

    def rollout(self, version: str) -> documents.Rollout | None:
        """Return the rollout of a version, or ``None`` if there is none."""
        found = self._documents.get(ROLLOUT + version)
        return found if isinstance(found, documents.Rollout) else None

    def workspace(self, name: str) -> documents.Workspace | None:
        """Return a workspace, or ``None`` if there is none."""
        found = self._documents.get(WORKSPACE + name)
        return found if isinstance(found, documents.Workspace) else None

    def workspace_of(self, key: str) -> str | None:
        """Return the name of the workspace that a bearer key belongs to.

        The lookup is by the key's hash; the final comparison takes constant time.
        """
        digest = key_hash(key)
        name = self._workspace_of_hash.get(digest, "")
        workspace = self.workspace(name)
        if workspace is None:
            return None
        for known in workspace.key_hashes:
            if hmac.compare_digest(known, digest):
                return name
        return None

    def withdrawn(self, version: str) -> bool:
        """Return whether a version is withdrawn, accepted by the table or not."""
        key = WITHDRAWN + version
        return key in self._documents or key in self._urgent

    def halted(self, version: str) -> bool:
        """Return whether a version is halted, so that it receives no new session."""
        halt = self._halts.get(version)
        if halt is None:
            return False
        rollout = self.rollout(version)
        return halt >= (rollout.attempt if rollout else 0)

    def evidence_label(self, version: str) -> str:
        """Return the label under which a version's answers are counted now.

        It includes the rollout's attempt, as a restarted rollout is judged by new
        answers only.
        """
        rollout = self.rollout(version)
        return f"{version}/{rollout.attempt}" if rollout else version

    def draining(self, endpoint: str) -> bool:
        """Return whether an operator has taken the endpoint out of service."""
        return DRAIN + endpoint in self._documents

    def check(
        self, workspace: str, template: str, version: str, in_session: bool
    ) -> None:
        """Check that the configuration in force here lets a request run on a version.

        Entry and agent both call this, so that the rule is defined only once.

        :raises errors.GaprockError: a code of category *not run*.
        """
        if not self.ready:
            raise errors.GaprockError(errorcodes.NOT_READY)
        found = self.template(workspace, template)
        if found is None:
            raise errors.GaprockError(
                errorcodes.UNKNOWN_TEMPLATE, f"{workspace}/{template}"
            )
        if self.withdrawn(version):
            raise errors.GaprockError(errorcodes.VERSION_WITHDRAWN, version)
        if not self.allows(found, version):
            raise errors.GaprockError(errorcodes.VERSION_NOT_ALLOWED, version)
        if not in_session and self.halted(version):
            raise errors.GaprockError(errorcodes.VERSION_HALTED, version)

    def allows(self, template: documents.Template, version: str) -> bool:
        """Return whether a template's list allows a version."""
        return any(choice.version == version for choice in template.versions)

    def _put(self, entry: messages.ConfigEntry) -> None:
        known = self._entries.get(entry.key)
        if known is not None and known.revision >= entry.revision:
            return
        self._entries[entry.key] = entry
        try:
            self._put_document(entry)
        except errors.GaprockError as exc:
            # The document before it stays in force.
            eventlog.warning(
                "invalid-document", key=entry.key, revision=entry.revision, error=exc
            )
            return
        if entry.key.startswith(WORKSPACE):
            self._index_workspaces()
        if entry.key.startswith(HALTED):
            self._update_halts()

    def _put_document(self, entry: messages.ConfigEntry) -> None:
        kind = kind_of(entry.key)
        if entry.value is None or kind is None:
            self._documents.pop(entry.key, None)
        else:
            self._documents[entry.key] = documents.convert(kind, entry.value)

    def _index_workspaces(self) -> None:
        self._workspace_of_hash = {
            digest: workspace.name
            for workspace in self._all(documents.Workspace)
            for digest in workspace.key_hashes
        }

    def _is_new_urgent(self, key: str) -> bool:
        if key in self._urgent or key in self._documents:
            return False
        return URGENT_KEY.match(key) is not None

    def _drop_accepted_urgent(self) -> None:
        """Drop the urgent keys that the table has accepted."""
        self._urgent = frozenset(k for k in self._urgent if k not in self._documents)

    def _update_halts(self) -> None:
        halts: dict[str, int] = {}
        for key in [*self._documents, *self._urgent]:
            if key.startswith(HALTED):
                version, _, attempt = key[len(HALTED) :].rpartition("/")
                halts[version] = max(halts.get(version, 0), int(attempt))
        self._halts = halts

    def _all(self, kind: type[documents.D]) -> list[documents.D]:
        with self._lock:
            return [d for d in self._documents.values() if isinstance(d, kind)]
