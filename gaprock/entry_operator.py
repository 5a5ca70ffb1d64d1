"""The operators' HTTP API, which the ``gaprock`` command speaks.

=======  ==============================  ==========================================
method   path below ``/operator/``       meaning
=======  ==============================  ==========================================
GET      ``status``                      revisions, processes, rollouts, endpoints
GET      ``documents[/PREFIX]``          documents with their revisions
GET      ``history/KEY``                 the changes of a key
PUT      ``KIND``                        publish a document; ``If-Match: REVISION``
DELETE   ``documents/KEY``               delete a key; ``If-Match: REVISION``
POST     ``withdraw``                    withdraw a version, at once
GET      ``explain/REQUEST``             the decisions of a request
=======  ==============================  ==========================================
"""

import hmac
import typing

import msgspec

from gaprock import (
    answers,
    clock,
    config,
    config_store,
    decisions,
    documents,
    entry_budget,
    entry_call,
    entry_links,
    entry_publish,
    entry_serve,
    errorcodes,
    errors,
    evidence,
    lease,
    messages,
    options,
    services_api,
)

HISTORY_PAGE: typing.Final = 500


class ProcessStatus(msgspec.Struct):
    """One live process and what it has in force."""

    process: str
    role: str
    hall: str
    revision: int
    lags: bool
    leaving: bool


class VersionStatus(msgspec.Struct):
    """A version's evidence, summed over the fleet."""

    version: str
    answers: int
    bad: int
    rated: int
    withdrawn: bool
    halted: bool


class Status(msgspec.Struct):
    """The answer to ``status``."""

    revision: int
    # Withdrawals and halts in force that the table has not accepted.
    urgent: list[str]
    epoch: int
    holds_lease: bool
    open_requests: int
    unwritten_bills: int
    first_tries: int
    second_tries: int
    processes: list[ProcessStatus]
    endpoints: list[messages.EndpointLoad]
    rollouts: list[documents.Rollout]
    versions: list[VersionStatus]


class Stored(msgspec.Struct):
    """A document with the revision that changed it."""

    key: str
    revision: int
    document: dict[str, typing.Any] | None


class PublishedAnswer(msgspec.Struct):
    """The answer to a change."""

    key: str
    revision: int
    accepted: bool


class OperatorApi:
    """Answers operators; their key is not a caller's key."""

    def __init__(
        self,
        cfg: options.Options,
        clock_: clock.Clock,
        config_: config.Config,
        table: services_api.Table,
        publisher: entry_publish.Publisher,
        links: entry_links.Links,
        server: entry_serve.Server,
        budget: entry_budget.RetryBudget,
        decisions_: decisions.Decisions,
        evidence_: evidence.EvidenceBook,
        lease_: lease.Lease,
        count_bills: typing.Callable[[], int],
    ) -> None:
        self._cfg = cfg
        self._clock = clock_
        self._config = config_
        self._table = table
        self._publisher = publisher
        self._links = links
        self._server = server
        self._budget = budget
        self._decisions = decisions_
        self._evidence = evidence_
        self._lease = lease_
        self._count_bills = count_bills

    def answer(
        self, method: str, path: str, headers: entry_call.Headers, raw: bytes
    ) -> answers.Answer:
        """Answer one request.

        :raises errors.GaprockError: with the code that the operator gets.
        """
        self._check_key(headers)
        name, _, rest = path.partition("/")
        if method == "GET":
            return self._get(name, rest)
        if method == "POST" and name == "withdraw":
            withdrawal = documents.parse(documents.Withdrawal, raw)
            return _published(self._publisher.publish_urgent(withdrawal))
        if method == "PUT":
            return self._put(name, headers, raw)
        if method == "DELETE" and name == "documents":
            return _published(self._publisher.delete(rest, expected(headers)))
        raise errors.GaprockError(errorcodes.NOT_FOUND, f"{method} {path}")

    def status(self) -> Status:
        """Give what the fleet looks like from here."""
        return Status(
            revision=self._config.revision,
            urgent=self._config.urgent,
            epoch=self._links.shared.epoch,
            holds_lease=self._lease.held,
            open_requests=self._server.open_requests,
            unwritten_bills=self._count_bills(),
            first_tries=self._budget.first,
            second_tries=self._budget.second,
            processes=self._processes(),
            endpoints=self._links.endpoints(),
            rollouts=self._config.rollouts(),
            versions=self._versions(),
        )

    def _check_key(self, headers: entry_call.Headers) -> None:
        given = config.key_hash(entry_call.bearer(headers))
        if not hmac.compare_digest(given, self._cfg.operator_key_hash):
            raise errors.GaprockError(
                errorcodes.FORBIDDEN, "an operator's key is needed"
            )

    def _get(self, name: str, rest: str) -> answers.Answer:
        if name == "status":
            return answers.json_answer(self.status())
        if name == "documents":
            return answers.json_answer(self._documents(rest))
        if name == "history":
            return answers.json_answer(self._history(rest))
        if name == "explain":
            return answers.json_answer(self._decisions.explain(rest))
        raise errors.GaprockError(errorcodes.NOT_FOUND, name)

    def _put(
        self, name: str, headers: entry_call.Headers, raw: bytes
    ) -> answers.Answer:
        kind = config.kind_of(name)
        if kind is None or kind in (documents.Withdrawal, documents.Halt):
            raise errors.GaprockError(errorcodes.NOT_FOUND, name)
        document = documents.parse(kind, raw)
        return _published(self._publisher.publish(document, expected(headers)))

    def _documents(self, prefix: str) -> list[Stored]:
        delta = self._config.delta_since(0)
        return [
            Stored(entry.key, entry.revision, entry.value)
            for entry in sorted(delta.entries, key=lambda e: e.key)
            if entry.key.startswith(prefix) and entry.value is not None
        ]

    def _history(self, key: str) -> list[Stored]:
        """Read the changes of a key as far as the log reaches back."""
        found: list[Stored] = []
        after = ""
        try:
            while rows := self._table.scan(config_store.LOG, after, HISTORY_PAGE):
                for row in rows:
                    if row.value is not None and row.value["key"] == key:
                        revision = int(row.value["revision"])
                        found.append(Stored(key, revision, row.value["document"]))
                after = rows[-1].key
        except services_api.PlatformError as exc:
            raise errors.GaprockError(
                errorcodes.TABLE_DOWN, str(exc), exc.retry_at
            ) from exc
        return found

    def _processes(self) -> list[ProcessStatus]:
        newest = self._config.revision
        found = {
            self._links.shared.identity: ProcessStatus(
                self._links.shared.identity,
                "entry",
                self._cfg.hall,
                newest,
                False,
                self._server.leaving,
            )
        }
        for link in self._links.all():
            report = link.report
            if report is None or not link.live:
                continue
            found[report.agent] = ProcessStatus(
                report.agent,
                "agent",
                report.hall,
                report.revision,
                report.revision < newest,
                report.leaving,
            )
            for known in link.known_entries:
                if known.process not in found:
                    found[known.process] = ProcessStatus(
                        known.process,
                        "entry",
                        "",
                        known.revision,
                        known.revision < newest,
                        False,
                    )
        return list(found.values())

    def _versions(self) -> list[VersionStatus]:
        names = {c.version for t in self._config.templates() for c in t.versions}
        return [self._version(name) for name in sorted(names)]

    def _version(self, name: str) -> VersionStatus:
        totals = self._evidence.totals(self._config.evidence_label(name))
        return VersionStatus(
            name,
            totals.answers,
            totals.bad,
            totals.rated,
            self._config.withdrawn(name),
            self._config.halted(name),
        )


def expected(headers: entry_call.Headers) -> int:
    """Give the revision that a change is conditional on.

    :raises errors.GaprockError: ``BAD_REQUEST`` when there is none.
    """
    text = headers.get("if-match", "").strip('"')
    if not text.isdigit():
        raise errors.GaprockError(
            errorcodes.BAD_REQUEST, "If-Match takes the revision the change builds on"
        )
    return int(text)


def _published(done: entry_publish.Published) -> answers.Answer:
    body = PublishedAnswer(done.key, done.revision, done.accepted)
    return answers.json_answer(body, 200 if done.accepted else 202)
