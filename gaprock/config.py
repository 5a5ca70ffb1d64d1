"""The configuration in force in one process.

The configuration is a set of keyed documents.  Each key carries the revision
that last changed it, so "what changed after revision N" is one small delta.
Two rules keep it from going back:

* a delta is taken only when it starts at or below our revision and ends above it;
* *urgent* keys (withdrawals and halts) that are in force before the table has
  accepted them only ever grow, and are merged from every process that speaks.
"""

import functools
import hashlib
import hmac
import re
import threading
import typing

from gaprock import documents, errorcodes, errors, messages

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

# What a process may put in force before the table has accepted it.
URGENT_KEY: typing.Final = re.compile(
    rf"(?:{WITHDRAWN}[^/\s]{{1,64}}|{HALTED}[^/\s]{{1,64}}/[0-9]{{1,6}})\Z"
)


def template_key(workspace: str, name: str) -> str:
    """Give the key of a template."""
    return f"{TEMPLATE}{workspace}/{name}"


def halt_key(version: str, attempt: int) -> str:
    """Give the key of a halt; it holds until a rollout with a higher attempt."""
    return f"{HALTED}{version}/{attempt}"


def key_hash(key: str) -> str:
    """Give the stored form of a bearer key."""
    return hashlib.sha256(key.encode()).hexdigest()


@functools.singledispatch
def key_of(document: documents.Document) -> str:
    """Give the key that a document is stored under."""
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
    """Give the document type of a key."""
    return KINDS.get(key.split("/", 1)[0] + "/")


def document_of_urgent(key: str) -> documents.Document:
    """Make the document that an urgent key stands for."""
    if key.startswith(WITHDRAWN):
        return documents.Withdrawal(key[len(WITHDRAWN) :], "urgent")
    version, _, attempt = key[len(HALTED) :].rpartition("/")
    return documents.Halt(version, int(attempt), "evidence")


class Config:
    """The newest configuration that this process knows; safe for all threads."""

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
        # False until a first configuration was taken, even an empty one.
        self.ready = False
        self._entries: dict[str, messages.ConfigEntry] = {}
        self._documents: dict[str, documents.Document] = {}
        self._urgent: frozenset[str] = frozenset()
        # Highest halted attempt of each version.
        self._halts: dict[str, int] = {}
        self._workspace_of_hash: dict[str, str] = {}

    def apply(self, delta: messages.ConfigDelta) -> bool:
        """Take a delta if it leads forward from where we are.

        :returns: whether the revision moved.
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
            self._settle_urgent()
            return True

    def delta_since(self, revision: int) -> messages.ConfigDelta:
        """Give all keys that changed after ``revision``."""
        with self._lock:
            changed = [e for e in self._entries.values() if e.revision > revision]
            return messages.ConfigDelta(
                revision, self.revision, changed, sorted(self._urgent)
            )

    def add_urgent(self, keys: typing.Iterable[str]) -> bool:
        """Put withdrawals and halts in force before the table has them.

        :returns: whether any of them was new.
        """
        with self._lock:
            new = [key for key in keys if self._is_new_urgent(key)]
            if not new:
                return False
            self._urgent = self._urgent.union(new)
            self._collect_halts()
            return True

    @property
    def urgent(self) -> list[str]:
        """The keys in force that the table has not accepted yet."""
        return sorted(self._urgent)

    def entry(self, key: str) -> messages.ConfigEntry | None:
        """Give a key's entry, deleted ones included."""
        return self._entries.get(key)

    def template(self, workspace: str, name: str) -> documents.Template | None:
        """Find a template."""
        found = self._documents.get(template_key(workspace, name))
        return found if isinstance(found, documents.Template) else None

    def templates(self) -> list[documents.Template]:
        """List all templates."""
        return self._all(documents.Template)

    def template_names(self, workspace: str) -> list[str]:
        """List the names of a workspace's templates."""
        return sorted(t.name for t in self.templates() if t.workspace == workspace)

    def rollouts(self) -> list[documents.Rollout]:
        """List all rollouts, ended ones included."""
        return self._all(documents.Rollout)

    def rollout(self, version: str) -> documents.Rollout | None:
        """Find the rollout of a version."""
        found = self._documents.get(ROLLOUT + version)
        return found if isinstance(found, documents.Rollout) else None

    def workspace(self, name: str) -> documents.Workspace | None:
        """Find a workspace."""
        found = self._documents.get(WORKSPACE + name)
        return found if isinstance(found, documents.Workspace) else None

    def workspace_of(self, key: str) -> str | None:
        """Find the workspace that a bearer key belongs to.

        The lookup is by the key's hash; the last comparison takes constant time.
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
        """Whether a version is withdrawn, accepted or not."""
        key = WITHDRAWN + version
        return key in self._documents or key in self._urgent

    def halted(self, version: str) -> bool:
        """Whether a version takes no new session."""
        halt = self._halts.get(version)
        if halt is None:
            return False
        rollout = self.rollout(version)
        return halt >= (rollout.attempt if rollout else 0)

    def evidence_label(self, version: str) -> str:
        """Give the name under which a version's answers are counted now.

        A rollout that starts again is judged by new answers only.
        """
        rollout = self.rollout(version)
        return f"{version}/{rollout.attempt}" if rollout else version

    def draining(self, endpoint: str) -> bool:
        """Whether an operator takes the endpoint out of service."""
        return DRAIN + endpoint in self._documents

    def check(
        self, workspace: str, template: str, version: str, in_session: bool
    ) -> None:
        """Check that a request may run on a version, by what is known here.

        Entry and agent both call this; it is the one statement of the rule.

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
        """Whether a template's list allows a version."""
        return any(choice.version == version for choice in template.versions)

    def _put(self, entry: messages.ConfigEntry) -> None:
        known = self._entries.get(entry.key)
        if known is not None and known.revision >= entry.revision:
            return
        self._entries[entry.key] = entry
        self._documents.pop(entry.key, None)
        if entry.value is not None:
            kind = kind_of(entry.key)
            if kind is not None:
                self._documents[entry.key] = documents.convert(kind, entry.value)
        if entry.key.startswith(WORKSPACE):
            self._index_workspaces()
        if entry.key.startswith(HALTED):
            self._collect_halts()

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

    def _settle_urgent(self) -> None:
        """Forget urgent keys that the table has accepted by now."""
        self._urgent = frozenset(k for k in self._urgent if k not in self._documents)

    def _collect_halts(self) -> None:
        halts: dict[str, int] = {}
        for key in [*self._documents, *self._urgent]:
            if key.startswith(HALTED):
                version, _, attempt = key[len(HALTED) :].rpartition("/")
                halts[version] = max(halts.get(version, 0), int(attempt))
        self._halts = halts

    def _all(self, kind: type[documents.D]) -> list[documents.D]:
        with self._lock:
            return [d for d in self._documents.values() if isinstance(d, kind)]
