"""Command ``gaprock``: the operators' command line.

Exit codes: 0 done; 1 not run or refused; 2 usage or settings error; 3 outcome
unknown; 4 pending: done but not yet in force in every process, or not yet accepted by
the table.
"""

import json
import pathlib
import sys
import time
import typing

import msgspec

from gaprock import (
    config,
    ctl_client,
    ctl_report,
    documents,
    errorcodes,
    errors,
    options,
    options_flags,
)

DESCRIPTION: typing.Final = (
    "Publishes templates, rollouts and withdrawals, and shows the state of the site."
)

EXIT_DONE: typing.Final = 0
EXIT_REFUSED: typing.Final = 1
EXIT_USAGE: typing.Final = 2
EXIT_UNKNOWN: typing.Final = 3
EXIT_PENDING: typing.Final = 4

# Longest wait for a publication to be in force in every process.
IN_FORCE_TIMEOUT_S: typing.Final = 10.0
IN_FORCE_POLL_S: typing.Final = 0.25
# Attempts of a rollout command that conflicts with concurrent changes.
MAX_EDIT_ATTEMPTS: typing.Final = 5

Args = typing.Any


class Commands:
    """Implementations of the commands."""

    __slots__ = ("_cfg", "_client")

    def __init__(self, cfg: options.Options) -> None:
        self._cfg = cfg
        self._client = ctl_client.Client(cfg)

    # -- Documents --

    def validate(self, args: Args) -> int:
        """Check a template file without contacting an entry."""
        document = documents.parse(documents.Template, _read(args.file))
        self._show({"valid": True, "key": config.key_of(document)})
        return EXIT_DONE

    def publish(self, args: Args) -> int:
        """Publish a document and wait until it is in force."""
        kind = args.kind
        document = documents.parse(config.KINDS[kind + "/"], _read(args.file))
        revision = args.if_revision
        if revision is None:
            revision = self._revision()
        return self._publish(kind, document, revision)

    def show(self, args: Args) -> int:
        """Show documents."""
        found = self._client.call("GET", f"documents/{args.key}")
        self._show(found)
        return EXIT_DONE if found else EXIT_REFUSED

    def history(self, args: Args) -> int:
        """Show the changes of a key."""
        self._show(self._client.call("GET", f"history/{args.key}"))
        return EXIT_DONE

    def diff(self, args: Args) -> int:
        """Show how a template file differs from the published template."""
        document = documents.parse(documents.Template, _read(args.file))
        key = config.key_of(document)
        found = self._client.call("GET", f"documents/{key}")
        old: dict[str, typing.Any] = next(
            (d["document"] for d in found if d["key"] == key), {}
        )
        new = documents.to_value(document)
        changes = {
            field: {"published": old.get(field), "file": new.get(field)}
            for field in sorted({*old, *new})
            if old.get(field) != new.get(field)
        }
        self._show(changes)
        return EXIT_DONE

    def delete(self, args: Args) -> int:
        """Delete a document."""
        done = self._client.call(
            "DELETE", f"documents/{args.key}", revision=self._revision()
        )
        return self._wait_in_force(done)

    # -- Rollouts and withdrawals --

    def rollout_start(self, args: Args) -> int:
        """Start a rollout, or restart it after it stopped."""
        old = self._rollout(args.version)
        document = documents.convert(
            documents.Rollout,
            {
                "version": args.version,
                "stable": args.stable,
                "steps": [float(s) for s in args.steps.split(",")],
                "answers_per_step": args.answers_per_step,
                "attempt": old.attempt + 1 if old else 1,
            },
        )
        return self._publish("rollout", document, self._revision())

    def rollout_edit(self, args: Args) -> int:
        """Pause, resume, abort or advance a rollout."""
        for _ in range(MAX_EDIT_ATTEMPTS):
            revision = self._revision()
            rollout = self._rollout(args.version)
            if rollout is None:
                raise errors.GaprockError(errorcodes.NOT_FOUND, args.version)
            try:
                return self._publish("rollout", _edited(rollout, args.edit), revision)
            except errors.GaprockError as exc:
                if exc.code is not errorcodes.CONFLICT:
                    raise
        raise errors.GaprockError(errorcodes.CONFLICT, "others keep changing it")

    def withdraw(self, args: Args) -> int:
        """Withdraw a version; this also works while the table is down."""
        document = documents.Withdrawal(args.version, args.reason)
        documents.convert(documents.Withdrawal, documents.to_value(document))
        done = self._client.call("POST", "withdraw", msgspec.json.encode(document))
        if not done["accepted"]:
            self._show({**done, "note": "in force, not yet accepted by the table"})
            return EXIT_PENDING
        return self._wait_in_force(done)

    def drain(self, args: Args) -> int:
        """Take an endpoint out of service, or return it to service."""
        if args.undo:
            done = self._client.call(
                "DELETE",
                f"documents/{config.DRAIN}{args.endpoint}",
                revision=self._revision(),
            )
            return self._wait_in_force(done)
        document = documents.Drain(args.endpoint)
        return self._publish("drain", document, self._revision())

    # -- Status and diagnosis --

    def status(self, args: Args) -> int:
        """Show the state of the site."""
        self._show(self._client.call("GET", "status"))
        return EXIT_DONE

    def explain(self, args: Args) -> int:
        """Show the decisions about a request, from log files or an entry's memory."""
        if args.log:
            lines = [
                line.rstrip("\n")
                for name in args.log
                for line in _read(name).decode(errors="replace").splitlines()
                if f"request={args.request} " in line + " "
            ]
        else:
            lines = self._client.call("GET", f"explain/{args.request}")
        self._show(lines)
        return EXIT_DONE if lines else EXIT_REFUSED

    def report(self, args: Args) -> int:
        """Show which requests failed or were late and why, from log files."""
        return ctl_report.run(args.log, args.html)

    # -- Helpers --

    def _publish(self, kind: str, document: documents.Document, revision: int) -> int:
        body = msgspec.json.encode(document)
        return self._wait_in_force(self._client.call("PUT", kind, body, revision))

    def _wait_in_force(self, done: typing.Any) -> int:
        """Wait until every live process has a change in force, reporting progress."""
        revision = done["revision"]
        deadline = time.time() + IN_FORCE_TIMEOUT_S
        lagging: list[str] = []
        while time.time() < deadline:
            status = self._client.call("GET", "status")
            lagging = [
                p["process"] for p in status["processes"] if p["revision"] < revision
            ]
            if not lagging:
                self._show({**done, "in_force": True, "lagging": []})
                return EXIT_DONE
            self._progress(f"accepted; waiting for {len(lagging)} processes")
            time.sleep(IN_FORCE_POLL_S)
        self._show({**done, "in_force": False, "lagging": lagging})
        return EXIT_PENDING

    def _revision(self) -> int:
        return int(self._client.call("GET", "status")["revision"])

    def _rollout(self, version: str) -> documents.Rollout | None:
        key = config.ROLLOUT + version
        for found in self._client.call("GET", f"documents/{key}"):
            if found["key"] == key:
                return documents.convert(documents.Rollout, found["document"])
        return None

    def _progress(self, text: str) -> None:
        if self._cfg.output == "text":
            print(text, file=sys.stderr)

    def _show(self, value: typing.Any) -> None:
        if self._cfg.output == "json":
            print(json.dumps(value))
            return
        for line in _lines(value, ""):
            print(line)


def _edited(rollout: documents.Rollout, edit: str) -> documents.Rollout:
    """Return a rollout as changed by an operator's command."""
    if edit == "advance":
        last = rollout.step + 1 >= len(rollout.steps)
        if last:
            return msgspec.structs.replace(rollout, state=documents.DONE)
        return msgspec.structs.replace(rollout, step=rollout.step + 1)
    states = {
        "pause": documents.PAUSED,
        "resume": documents.RUNNING,
        "abort": documents.ABORTED,
    }
    return msgspec.structs.replace(rollout, state=states[edit])


def _lines(value: typing.Any, indent: str) -> typing.Iterator[str]:
    """Format a value as indented text."""
    if isinstance(value, dict):
        for key, inner in value.items():
            if isinstance(inner, (dict, list)) and inner:
                yield f"{indent}{key}:"
                yield from _lines(inner, indent + "  ")
            else:
                yield f"{indent}{key}: {_scalar(inner)}"
    elif isinstance(value, list):
        for inner in value:
            if isinstance(inner, dict):
                pairs = (f"{k}={_scalar(v)}" for k, v in inner.items())
                yield f"{indent}- " + " ".join(pairs)
            else:
                yield f"{indent}- {_scalar(inner)}"
    else:
        yield f"{indent}{_scalar(value)}"


def _scalar(value: typing.Any) -> str:
    if isinstance(value, str):
        return value
    return json.dumps(value)


def _read(name: str) -> bytes:
    """Read a file, or standard input if the name is ``-``.

    :raises errors.GaprockError: ``BAD_REQUEST`` if it cannot be read.
    """
    try:
        if name == "-":
            return sys.stdin.buffer.read()
        return pathlib.Path(name).read_bytes()
    except OSError as exc:
        raise errors.GaprockError(errorcodes.BAD_REQUEST, str(exc)) from exc


def make_parser() -> typing.Any:
    """Build the argument parser with all commands."""
    parser = options_flags.make_parser(options_flags.CTL, DESCRIPTION)
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_template(commands)
    _add_documents(commands)
    _add_rollout(commands)
    withdraw = _command(commands, "withdraw", "withdraw a version immediately")
    withdraw.add_argument("version")
    withdraw.add_argument("--reason", default="")
    withdraw.set_defaults(run=Commands.withdraw)
    drain = _command(commands, "drain", "take an endpoint out of service")
    drain.add_argument("endpoint")
    drain.add_argument("--undo", action="store_true", help="return it to service")
    drain.set_defaults(run=Commands.drain)
    status = _command(commands, "status", "show the state of the site")
    status.set_defaults(run=Commands.status)
    explain = _command(commands, "explain", "show the decisions about a request")
    explain.add_argument("request")
    explain.add_argument(
        "--log",
        action="append",
        help="log file to search instead, or - for standard input",
    )
    explain.set_defaults(run=Commands.explain)
    report = _command(
        commands, "report", "show which requests failed or were late, from logs"
    )
    report.add_argument(
        "log", nargs="*", help="log files; none or - for standard input"
    )
    report.add_argument(
        "--html", metavar="FILE", help="also write an HTML page with plots"
    )
    report.set_defaults(run=Commands.report)
    return parser


def _add_template(commands: typing.Any) -> None:
    template = _command(commands, "template", "event templates")
    actions = template.add_subparsers(required=True, metavar="ACTION")
    validate = _command(actions, "validate", "check a file without contacting an entry")
    validate.add_argument("file", help="JSON file, or - for standard input")
    validate.set_defaults(run=Commands.validate)
    publish = _command(actions, "publish", "publish a file")
    publish.add_argument("file", help="JSON file, or - for standard input")
    publish.add_argument(
        "--if-revision", type=int, help="revision that the change is based on"
    )
    publish.set_defaults(run=Commands.publish, kind="template")
    diff = _command(actions, "diff", "compare a file with the published template")
    diff.add_argument("file")
    diff.set_defaults(run=Commands.diff)
    for name, run, text in (
        ("show", Commands.show, "show templates"),
        ("history", Commands.history, "show the changes of a template"),
    ):
        action = _command(actions, name, text)
        action.add_argument("key", type=_template_key, help="WORKSPACE/NAME")
        action.set_defaults(run=run)


def _add_documents(commands: typing.Any) -> None:
    workspace = _command(commands, "workspace", "workspaces and their keys")
    actions = workspace.add_subparsers(required=True, metavar="ACTION")
    publish = _command(actions, "publish", "publish a file")
    publish.add_argument("file", help="JSON file, or - for standard input")
    publish.add_argument(
        "--if-revision", type=int, help="revision that the change is based on"
    )
    publish.set_defaults(run=Commands.publish, kind="workspace")
    show = _command(commands, "show", "show all documents with a key prefix")
    show.add_argument("key", nargs="?", default="")
    show.set_defaults(run=Commands.show)
    delete = _command(commands, "delete", "delete a document")
    delete.add_argument("key")
    delete.set_defaults(run=Commands.delete)


def _add_rollout(commands: typing.Any) -> None:
    rollout = _command(
        commands, "rollout", "gradual moves of new work to a new version"
    )
    actions = rollout.add_subparsers(required=True, metavar="ACTION")
    start = _command(actions, "start", "start or restart a rollout")
    start.add_argument("version")
    start.add_argument("--stable", required=True, help="version that it replaces")
    start.add_argument("--steps", default="0.01,0.05,0.25,1", help="shares")
    start.add_argument("--answers-per-step", type=int, default=50)
    start.set_defaults(run=Commands.rollout_start)
    for edit in ("advance", "pause", "resume", "abort"):
        action = _command(actions, edit, f"{edit} a rollout")
        action.add_argument("version")
        action.set_defaults(run=Commands.rollout_edit, edit=edit)


def _command(parent: typing.Any, name: str, text: str) -> typing.Any:
    return parent.add_parser(
        name, help=text, description=text, add_config_file_help=False
    )


def _template_key(text: str) -> str:
    return config.TEMPLATE + text


def main(argv: list[str] | None = None) -> int:
    """Run one command.

    :returns: the exit code, as listed at the head of this module.
    """
    args = make_parser().parse_args(argv)
    try:
        cfg = options_flags.fill(options_flags.CTL, args)
        return int(args.run(Commands(cfg), args))
    except errors.GaprockError as exc:
        print(f"gaprock: {exc}", file=sys.stderr)
        if exc.code is errorcodes.SETTINGS:
            return EXIT_USAGE
        return EXIT_REFUSED if exc.not_run else EXIT_UNKNOWN


if __name__ == "__main__":
    sys.exit(main())
