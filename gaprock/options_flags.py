"""Fills ``Options`` from flags and environment variables, and validates them.

Every setting is a flag ``--some-name`` and a variable ``GAPROCK_SOME_NAME``; the
flag takes precedence.  A single error lists all invalid settings.
"""

import re
import typing
import urllib.parse

import configargparse

import gaprock
from gaprock import errorcodes, errors, options, plugin, policy_api, services_api

ENTRY: typing.Final = "entry"
AGENT: typing.Final = "agent"
CTL: typing.Final = "ctl"

HASH: typing.Final = re.compile(r"[0-9a-f]{64}\Z")
NAME: typing.Final = re.compile(r"[a-z0-9][a-z0-9._-]{0,63}\Z")
CURVE_KEY_CHARS: typing.Final = 40
MIN_SECRET_CHARS: typing.Final = 16

# Validates one value; returns what the setting accepts, or an empty text if valid.
Check = typing.Callable[[typing.Any], str]


class Flag:
    """One setting on the command line.

    :param attr: the attribute of ``Options`` that it sets.
    :param programs: the programs that accept it, separated by spaces.
    :param text: its meaning and unit, for ``--help``.
    :param check: validates the value.
    :param secret: whether its value must never be shown.
    """

    __slots__ = ("attr", "programs", "text", "check", "secret")

    def __init__(
        self, attr: str, programs: str, text: str, check: Check, secret: bool = False
    ) -> None:
        self.attr = attr
        self.programs = programs.split()
        self.text = text
        self.check = check
        self.secret = secret

    @property
    def name(self) -> str:
        return "--" + self.attr.replace("_", "-")

    @property
    def env(self) -> str:
        return "GAPROCK_" + self.attr.upper()


def _any(value: object) -> str:
    return ""


def _name(value: str) -> str:
    return "" if NAME.match(value) else "takes lower-case letters, digits, . _ -"


def _ip(value: str) -> str:
    return "" if re.match(r"[0-9a-f.:]+\Z", value) else "takes an IP number"


def _url(value: str) -> str:
    parts = urllib.parse.urlsplit(value)
    fits = parts.scheme in ("http", "https") and parts.netloc
    return "" if fits else "takes http://IP:PORT or https://..."


def _positive(value: float) -> str:
    return "" if value > 0 else "takes a number above 0"


def _not_negative(value: float) -> str:
    return "" if value >= 0 else "takes a number from 0"


def _share(value: float) -> str:
    return "" if 0 <= value <= 1 else "takes a number from 0 to 1"


def _port(value: int) -> str:
    return "" if 0 <= value < 65536 else "takes a port from 0 to 65535"


def _hash(value: str) -> str:
    return "" if HASH.match(value) else "takes a SHA-256 in hex"


def _tcp_list(value: list[str]) -> str:
    fits = all(re.match(r"tcp://[0-9a-f.:\[\]]+:\d+\Z", one) for one in value)
    return "" if fits else "takes tcp://IP:PORT, comma-separated"


def _secrets(value: list[str]) -> str:
    fits = value and all(len(one) >= MIN_SECRET_CHARS for one in value)
    return "" if fits else f"takes keys of {MIN_SECRET_CHARS} characters or more"


def _curve(value: str) -> str:
    fits = len(value) in (0, CURVE_KEY_CHARS)
    return "" if fits else f"takes a Z85 key of {CURVE_KEY_CHARS} characters"


def _endpoints(value: list[options.EndpointOption]) -> str:
    return "" if value else "takes at least one endpoint"


def _one_of(*choices: str) -> Check:
    def check(value: str) -> str:
        return "" if value in choices else "takes one of " + ", ".join(choices)

    return check


def _plugin(kind: type[plugin.Plugin]) -> Check:
    def check(value: str) -> str:
        known = plugin.names(kind)
        return "" if value in known else "takes one of " + ", ".join(known)

    return check


DAEMONS: typing.Final = f"{ENTRY} {AGENT}"

FLAGS: typing.Final = (
    Flag("vm", DAEMONS, "name of this VM in the VM list", _name),
    Flag("hall", DAEMONS, "hall of this VM", _name),
    Flag("host", DAEMONS, "IP address to listen on", _ip),
    Flag("platform", DAEMONS, "base address of the platform's services", _url),
    Flag("connector", DAEMONS, "platform plug-in", _plugin(services_api.Connector)),
    Flag("platform_token", DAEMONS, "bearer token for the platform", _any, True),
    Flag("platform_wait_s", DAEMONS, "longest wait for the platform, s", _positive),
    Flag("beat_s", DAEMONS, "time between heartbeats, s", _positive),
    Flag(
        "silent_s",
        DAEMONS,
        "silence after which a peer gets no new requests, s",
        _positive,
    ),
    Flag("config_poll_s", DAEMONS, "time between configuration reads, s", _positive),
    Flag("max_bills", DAEMONS, "unwritten bills held before refusing", _positive),
    Flag("bill_write_s", DAEMONS, "time between writes of bills, s", _positive),
    Flag("drain_s", DAEMONS, "longest wait of a planned stop, s", _positive),
    Flag("statsd_host", DAEMONS, "host of the statsd collector; empty: none", _any),
    Flag("statsd_port", DAEMONS, "port of the statsd collector", _port),
    Flag("verbose", DAEMONS, "log debug events as well", _any),
    Flag(
        "curve_public",
        DAEMONS,
        "public CURVE key, given as --curve-public=KEY; empty: plain TCP",
        _curve,
    ),
    Flag("curve_secret", DAEMONS, "secret CURVE key", _curve, True),
    Flag("http_port", ENTRY, "port for callers and operators", _port),
    Flag("agents", ENTRY, "agents in addition to the VM list", _tcp_list),
    Flag("session_keys", ENTRY, "session keys, the signing one first", _secrets, True),
    Flag("operator_key_hash", ENTRY, "SHA-256 of the operator's key", _hash),
    Flag("max_open", ENTRY, "limit of concurrent requests", _positive),
    Flag("spare_threads", ENTRY, "HTTP threads beyond max-open", _positive),
    Flag("max_body", ENTRY, "largest body of a request, bytes", _positive),
    Flag("max_bodies", ENTRY, "memory for larger bodies, bytes", _positive),
    Flag("retry_share", ENTRY, "retries as a share of first attempts", _share),
    Flag("window", ENTRY, "unacknowledged parts of one stream", _positive),
    Flag("stream_silent_s", DAEMONS, "silence that ends a stream, s", _positive),
    Flag("linger_s", ENTRY, "time of serving on after /readyz fails, s", _not_negative),
    Flag("lease_s", ENTRY, "length of the control lease, s", _positive),
    Flag("vm_poll_s", ENTRY, "time between reads of the VM list, s", _positive),
    Flag("routing", ENTRY, "routing plug-in", _plugin(policy_api.Routing)),
    Flag("cascade", ENTRY, "cascade plug-in", _plugin(policy_api.Cascade)),
    Flag("guard", ENTRY, "guard plug-in", _plugin(policy_api.Guard)),
    Flag("placement", ENTRY, "placement plug-in", _plugin(policy_api.Placement)),
    Flag("rating_share", ENTRY, "share of answers that are rated", _share),
    Flag("tls_cert", ENTRY, "certificate file for HTTPS; empty: HTTP", _any),
    Flag("tls_key", ENTRY, "key file for HTTPS", _any),
    Flag("agent_port", AGENT, "port for entries", _port),
    Flag(
        "endpoints",
        AGENT,
        "NAME=URL;kind=engine|service;checks-orders=yes|no;versions=V+V, comma-sep.",
        _endpoints,
    ),
    Flag("admission", AGENT, "admission plug-in", _plugin(policy_api.Admission)),
    Flag("max_running", AGENT, "upper bound of the limit at one endpoint", _positive),
    Flag(
        "max_queued", AGENT, "limit of requests queued for one endpoint", _not_negative
    ),
    Flag("connect_wait_s", AGENT, "longest wait for a connection, s", _positive),
    Flag("endpoint_silent_s", AGENT, "longest silence of an endpoint, s", _positive),
    Flag("bill_patience_s", AGENT, "wait for the entry to write a bill, s", _positive),
    Flag("max_answer", AGENT, "largest whole answer, bytes", _positive),
    Flag("max_event", AGENT, "largest event of a stream, bytes", _positive),
    Flag("max_answers", AGENT, "memory for answers being read, bytes", _positive),
    Flag("max_resumes", AGENT, "times a cut stream may be resumed", _not_negative),
    Flag("entry", CTL, "address of any entry", _url),
    Flag("operator_key", CTL, "the operator's key", _any, True),
    Flag("output", CTL, "text or json", _one_of("text", "json")),
)


def add_flags(parser: typing.Any, program: str) -> None:
    """Add a program's flags to its parser."""
    defaults = options.Options()
    for flag in FLAGS:
        if program not in flag.programs:
            continue
        default = getattr(defaults, flag.attr)
        shown = "" if flag.secret or not default else f" (default: {default})"
        parser.add_argument(
            flag.name, env_var=flag.env, default=None, help=flag.text + shown
        )


def make_parser(program: str, description: str) -> typing.Any:
    """Build the parser of a program; environment variables count as flags."""
    plugin.load_all()
    parser = configargparse.ArgumentParser(
        description=description, allow_abbrev=False, add_config_file_help=False
    )
    version = f"gaprock {gaprock.VERSION}"
    parser.add_argument("--version", action="version", version=version)
    add_flags(parser, program)
    return parser


def fill(program: str, args: typing.Any) -> options.Options:
    """Convert parsed flags to validated options.

    :raises errors.GaprockError: ``SETTINGS``, listing every invalid setting.
    """
    cfg = options.Options()
    problems: list[str] = []
    for flag in FLAGS:
        if program not in flag.programs:
            continue
        given = getattr(args, flag.attr)
        problem = ""
        if given is not None:
            problem = _set(cfg, flag, given)
        problem = problem or flag.check(getattr(cfg, flag.attr))
        if problem:
            problems.append(f"{flag.name} ({flag.env}) {problem}")
    problems.extend(_check_combinations(cfg))
    if problems:
        raise errors.GaprockError(errorcodes.SETTINGS, "; ".join(problems))
    return cfg


def parse(program: str, description: str, argv: list[str] | None) -> options.Options:
    """Parse and validate the settings of a daemon."""
    return fill(program, make_parser(program, description).parse_args(argv))


def _set(cfg: options.Options, flag: Flag, text: str) -> str:
    """Set one attribute from its text; return the problem if that fails."""
    try:
        setattr(cfg, flag.attr, _convert(flag, getattr(cfg, flag.attr), text))
    except ValueError as exc:
        return f"cannot be read: {exc}" if not flag.secret else "cannot be read"
    return ""


def _convert(flag: Flag, default: object, text: str) -> object:
    """Convert a text to the type of the setting's default."""
    if flag.attr == "endpoints":
        return [parse_endpoint(one) for one in text.split(",") if one]
    if isinstance(default, bool):
        if text.lower() not in ("yes", "no", "true", "false", "1", "0"):
            raise ValueError("takes yes or no")
        return text.lower() in ("yes", "true", "1")
    if isinstance(default, int):
        return int(text)
    if isinstance(default, float):
        return float(text)
    if isinstance(default, list):
        return [one for one in text.split(",") if one]
    return text


def parse_endpoint(text: str) -> options.EndpointOption:
    """Parse ``NAME=URL;kind=...;checks-orders=...;versions=V+V``.

    :raises ValueError: if a field is invalid or unknown.
    """
    head, *rest = text.split(";")
    name, _, url = head.partition("=")
    if _name(name) or _url(url):
        raise ValueError(f"{head!r} is not NAME=http://IP:PORT")
    fields = {"kind": "engine", "checks-orders": "no", "versions": ""}
    for one in rest:
        key, _, value = one.partition("=")
        if key not in fields:
            raise ValueError(f"{key!r} is not kind, checks-orders or versions")
        fields[key] = value
    if fields["kind"] not in ("engine", "service"):
        raise ValueError("kind takes engine or service")
    return options.EndpointOption(
        name,
        url,
        fields["kind"],
        fields["checks-orders"] == "yes",
        [v for v in fields["versions"].split("+") if v],
    )


def _check_combinations(cfg: options.Options) -> list[str]:
    """Check settings that depend on each other."""
    problems = []
    if cfg.silent_s < 2 * cfg.beat_s:
        problems.append("--silent-s takes at least two of --beat-s")
    if bool(cfg.curve_public) != bool(cfg.curve_secret):
        problems.append("--curve-public and --curve-secret go together")
    if bool(cfg.tls_cert) != bool(cfg.tls_key):
        problems.append("--tls-cert and --tls-key go together")
    return problems
