"""The operators' HTTP API, which the ``gaprock`` command uses.

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
    digits,
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
    """One live process and the revision it has in force."""

    process: str
    role: str
    hall: str
    revision: int
    lags: bool
    leaving: bool


class VersionStatus(msgspec.Struct):
    """A version's evidence, summed over all processes."""

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


class DocumentRevision(msgspec.Struct):
    """A document, ``None`` if deleted, with the revision that changed it."""

    key: str
    revision: int
    document: dict[str, typing.Any] | None


class PublishedAnswer(msgspec.Struct):
    """The answer to a change."""

    key: str
    revision: int
    accepted: bool


class OperatorApi:
    """Answers operators' requests, which need the operators' own key."""

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

        :raises errors.GaprockError: with the code to be sent to the operator.
        """
        self.check_key(headers)
        name, _, rest = path.partition("/")
        if method == "GET":
            return self._get(name, rest)
        if method == "POST" and name == "withdraw":
            withdrawal = documents.parse(documents.Withdrawal, raw)
            return _publish_answer(self._publisher.publish_urgent(withdrawal))
        if method == "PUT":
            return self._put(name, headers, raw)
        if method == "DELETE" and name == "documents":
            return _publish_answer(
                self._publisher.delete(rest, expected_revision(headers))
            )
        raise errors.GaprockError(errorcodes.NOT_FOUND, f"{method} {path}")

    def status(self) -> Status:
        """Return the state of the deployment as known to this entry."""
        return Status(
            revision=self._config.revision,
            urgent=self._config.urgent,
            epoch=self._links.shared.epoch,
            holds_lease=self._lease.held,
            open_requests=self._server.open_requests,
            unwritten_bills=self._count_bills(),
            first_tries=self._budget.first_tries,
            second_tries=self._budget.retries,
            processes=self._processes(),
            endpoints=self._links.endpoints(),
            rollouts=self._config.rollouts(),
            versions=self._versions(),
        )

    def check_key(self, headers: entry_call.Headers) -> None:
        """Check the operator's key.

        :raises errors.GaprockError: ``FORBIDDEN``.
        """
        given = config.key_hash(entry_call.bearer_key(headers))
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
        return _publish_answer(
            self._publisher.publish(document, expected_revision(headers))
        )

    def _documents(self, prefix: str) -> list[DocumentRevision]:
        delta = self._config.delta_since(0)
        return [
            DocumentRevision(entry.key, entry.revision, entry.value)
            for entry in sorted(delta.entries, key=lambda e: e.key)
            if entry.key.startswith(prefix) and entry.value is not None
        ]

    def _history(self, key: str) -> list[DocumentRevision]:
        """Read the changes of a key that are still in the log."""
        found: list[DocumentRevision] = []
        after = ""
        try:
            while rows := self._table.scan(config_store.LOG, after, HISTORY_PAGE):
                for row in rows:
                    if row.value is not None and row.value["key"] == key:
                        revision = int(row.value["revision"])
                        found.append(
                            DocumentRevision(key, revision, row.value["document"])
                        )
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


def expected_revision(headers: entry_call.Headers) -> int:
    """Return the revision on which a change is conditional.

    :raises errors.GaprockError: ``BAD_REQUEST`` when ``If-Match`` holds none.
    """
    revision = digits.parse(headers.get("if-match", "").strip('"'))
    if revision is None:
        raise errors.GaprockError(
            errorcodes.BAD_REQUEST, "If-Match takes the revision the change builds on"
        )
    return revision


def _publish_answer(result: entry_publish.PublishResult) -> answers.Answer:
    body = PublishedAnswer(result.key, result.revision, result.accepted)
    return answers.json_answer(body, 200 if result.accepted else 202)
