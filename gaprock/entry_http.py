"""The entry's HTTP port, for calls and the operators' API; served by CherryPy.

CherryPy provides the server, its threads and its bus.  ``Root`` is grafted onto its
tree as a WSGI application.  This bypasses CherryPy's request handling (hooks, tools,
encodings), which a router does not need and which takes a quarter of a request's
processor time.

Callers use the common chat-completions format, so ordinary client libraries work once
their base URL points to this port.
"""

import contextlib
import http
import logging as std_logging
import time
import typing

import cheroot.wsgi
import cherrypy
import cherrypy._cpwsgi_server

from gaprock import (
    answers,
    config,
    digits,
    early_listen,
    entry_bodies,
    entry_call,
    entry_operator,
    entry_serve,
    entry_sessions,
    errorcodes,
    errors,
    eventlog,
    metrics,
    options,
)

# A caller whose connection accepts no data for this long is disconnected.
CALLER_TIMEOUT_S: typing.Final = 60
MAX_HEADER_BYTES: typing.Final = 64 * 1024
LISTEN_BACKLOG: typing.Final = 2048
CALLS_PREFIX: typing.Final = "/v1/calls/"
OPERATOR_PREFIX: typing.Final = "/operator/"
WSGI_HEADER_PREFIX: typing.Final = "HTTP_"
REASONS: typing.Final = {int(s): s.phrase for s in http.HTTPStatus}
# Closes the connection after the answer, in the WSGI environment.
CLOSE_KEY: typing.Final = "gaprock.close"

Environ = dict[str, typing.Any]
StartResponse = typing.Callable[[str, list[tuple[str, str]]], object]


class Health:
    """Whether the load balancer should send callers to this entry."""

    __slots__ = ("leaving", "is_ready")

    def __init__(self, is_ready: typing.Callable[[], bool]) -> None:
        self.leaving = False
        self.is_ready = is_ready


class Inbound:
    """A request as received from the WSGI server.

    :param environ: the WSGI environment.
    """

    __slots__ = ("method", "path", "headers", "is_unread", "_input", "_close")

    def __init__(self, environ: Environ) -> None:
        self.method: str = environ["REQUEST_METHOD"]
        # WSGI servers decode paths as Latin-1.
        raw_path = environ["PATH_INFO"].encode("latin-1", "replace")
        self.path = raw_path.decode("utf-8", "replace")
        self.headers = {
            key[len(WSGI_HEADER_PREFIX) :].replace("_", "-").lower(): str(value)
            for key, value in environ.items()
            if key.startswith(WSGI_HEADER_PREFIX)
        }
        self.headers["content-length"] = str(environ.get("CONTENT_LENGTH") or "")
        # Whether there may be a body that was not read.
        self.is_unread = self.headers["content-length"] not in ("", "0") or bool(
            environ.get("HTTP_TRANSFER_ENCODING")
        )
        self._input = environ["wsgi.input"]
        self._close = environ.get(CLOSE_KEY)

    def body_length(self, limit: int) -> int:
        """Return the length of the body.

        :param limit: the largest allowed length in bytes.
        :raises errors.GaprockError: ``TOO_LARGE`` or ``BAD_REQUEST``.
        """
        if self.method in ("GET", "DELETE"):
            return 0
        length = digits.parse(self.headers["content-length"])
        if length is None:
            raise errors.GaprockError(
                errorcodes.BAD_REQUEST, "Content-Length is required"
            )
        if length > limit:
            raise errors.GaprockError(
                errorcodes.TOO_LARGE, f"takes up to {limit} bytes"
            )
        return length

    def read_body(self, length: int) -> bytes:
        """Read the body."""
        if not length:
            return b""
        body = bytes(self._input.read(length))
        self.is_unread = False
        return body

    def skip_body(self) -> None:
        """Leave the body unread: the connection closes after the answer."""
        if self._close is not None:
            self._close()


class Root:
    """The WSGI application; the server calls it on one thread for each request."""

    def __init__(
        self,
        cfg: options.Options,
        config_: config.Config,
        parser: entry_call.Parser,
        server: entry_serve.Server,
        session_api: entry_sessions.SessionApi,
        operator: entry_operator.OperatorApi,
        health: Health,
        metrics_: metrics.Metrics,
        bodies: entry_bodies.BodyBudget,
    ) -> None:
        self._cfg = cfg
        self._bodies = bodies
        self._config = config_
        self._parser = parser
        self._server = server
        self._sessions = session_api
        self._operator = operator
        self._health = health
        self._metrics = metrics_

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> typing.Iterable[bytes]:
        """Answer one request."""
        started_at = time.time()
        req = Inbound(environ)
        try:
            answer = self._answer(req)
        except errors.GaprockError as exc:
            answer = answers.error_answer(exc, time.time())
            self._log_refusal(req, exc)
        except Exception as exc:
            # On an internal error, the caller must not assume "not run".
            eventlog.warning("handler-failed", path=req.path, error=repr(exc))
            fault = errors.GaprockError(errorcodes.OUTCOME_UNKNOWN, "an entry's fault")
            answer = answers.error_answer(fault, time.time())
        if req.is_unread:
            # An unread body would be parsed as the next request.
            req.skip_body()
            answer.headers["Connection"] = "close"
        took_ms = (time.time() - started_at) * 1000
        self._metrics.timing("entry.first", took_ms)
        self._metrics.incr(f"entry.status.{answer.status}")
        return self._write(answer, start_response)

    def _answer(self, req: Inbound) -> answers.Answer:
        path, method = req.path, req.method
        if path == "/healthz":
            return answers.json_answer({"ok": True})
        if path == "/readyz":
            return self._ready()
        if path.startswith(OPERATOR_PREFIX):
            self._operator.check_key(req.headers)
            name = path[len(OPERATOR_PREFIX) :]
            with self._hold_body(req) as raw:
                return self._operator.answer(method, name, req.headers, raw)
        if method == "GET" and path == "/v1/models":
            return self._models(req.headers)
        if method != "POST":
            raise errors.GaprockError(errorcodes.NOT_FOUND, f"{method} {path}")
        self._parser.workspace(req.headers)
        with self._hold_body(req) as raw:
            return self._post(path, req.headers, raw)

    @contextlib.contextmanager
    def _hold_body(self, req: Inbound) -> typing.Iterator[bytes]:
        length = req.body_length(self._cfg.max_body)
        with self._bodies.hold(length):
            yield req.read_body(length)

    def _post(
        self, path: str, headers: entry_call.Headers, raw: bytes
    ) -> answers.Answer:
        if path == entry_call.CHAT_PATH:
            return self._server.serve(self._parser.chat(headers, raw))
        if path.startswith(CALLS_PREFIX):
            name = path[len(CALLS_PREFIX) :]
            return self._server.serve(self._parser.service_call(headers, name, raw))
        if path == "/v1/sessions":
            return self._sessions.open(headers, raw)
        raise errors.GaprockError(errorcodes.NOT_FOUND, f"POST {path}")

    def _ready(self) -> answers.Answer:
        ready = self._health.is_ready() and not self._health.leaving
        return answers.json_answer({"ready": ready}, 200 if ready else 503)

    def _models(self, headers: entry_call.Headers) -> answers.Answer:
        workspace = self._parser.workspace(headers)
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": workspace}
            for name in self._config.template_names(workspace)
        ]
        return answers.json_answer({"object": "list", "data": data})

    def _log_refusal(self, req: Inbound, exc: errors.GaprockError) -> None:
        self._metrics.incr(f"entry.code.{exc.code.number}")
        eventlog.info(
            "refused" if exc.not_run else "failed",
            path=req.path,
            code=exc.code.number,
            name=exc.code.name,
            detail=exc.detail,
            retry_at=exc.retry_at,
        )

    def _write(
        self, answer: answers.Answer, start_response: StartResponse
    ) -> typing.Iterable[bytes]:
        headers = [("Content-Type", answer.content_type), *answer.headers.items()]
        if self._health.leaving:
            headers.append(("Connection", "close"))
        status = f"{answer.status} {REASONS.get(answer.status, 'Other')}"
        if answer.parts is None:
            headers.append(("Content-Length", str(len(answer.body))))
            start_response(status, headers)
            return [answer.body]
        start_response(status, headers)
        return answer.parts


class WsgiGateway(cheroot.wsgi.Gateway_10):
    """Lets the application close a connection whose request it did not read."""

    def get_environ(self) -> typing.Any:
        """Return the WSGI environment."""
        environ: Environ = super().get_environ()  # type: ignore[no-untyped-call]
        environ[CLOSE_KEY] = self._close
        return environ

    def _close(self) -> None:
        req: typing.Any = self.req
        req.close_connection = True
        # The server would read what is left of a body.
        req.rfile.remaining = 0


class WsgiServer(cherrypy._cpwsgi_server.CPWSGIServer):  # type: ignore[misc]
    """CherryPy's server with connections that hold little unread."""

    def bind(self, family: int, type: int, proto: int = 0) -> typing.Any:
        """Open the port."""
        sock = super().bind(family, type, proto)
        early_listen.limit_receive_buffers(self.socket)
        return sock


def serve(cfg: options.Options, root: Root) -> None:
    """Open the port; CherryPy serves it on its own threads."""
    cherrypy.config.update(
        {
            "engine.autoreload.on": False,
            "checker.on": False,
            "log.screen": False,
            "server.socket_host": cfg.host,
            "server.socket_port": cfg.http_port,
            "server.thread_pool": cfg.max_open + cfg.spare_threads,
            "server.thread_pool_max": cfg.max_open + cfg.spare_threads,
            "server.socket_queue_size": LISTEN_BACKLOG,
            "server.socket_timeout": CALLER_TIMEOUT_S,
            "server.max_request_body_size": 0,
            "server.max_request_header_size": MAX_HEADER_BYTES,
            "server.shutdown_timeout": 1,
        }
    )
    if cfg.tls_cert:
        cherrypy.config.update(
            {
                "server.ssl_module": "builtin",
                "server.ssl_certificate": cfg.tls_cert,
                "server.ssl_private_key": cfg.tls_key,
            }
        )
    cherrypy.log.error_log.setLevel(std_logging.WARNING)
    cherrypy.tree.graft(root, "")
    server = WsgiServer(cherrypy.server)
    server.gateway = WsgiGateway
    cherrypy.server.instance = server
    cherrypy.engine.start()


def stop() -> None:
    """Close the port."""
    cherrypy.engine.exit()
