"""The entry's HTTP port: CherryPy before the server of calls and the operators' API.

Callers speak the usual chat-completions shape, so a common client library works
once its base address points here.
"""

import logging as std_logging
import time
import typing

import cherrypy

from gaprock import (
    answers,
    config,
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

# A caller that takes nothing for this long is disconnected, seconds.
CALLER_SILENT_S: typing.Final = 60
MAX_HEADER_BYTES: typing.Final = 64 * 1024
LISTEN_BACKLOG: typing.Final = 2048
CALLS: typing.Final = "/v1/calls/"
OPERATOR: typing.Final = "/operator/"


class Health:
    """Whether the balancer should send callers here."""

    __slots__ = ("leaving", "is_ready")

    def __init__(self, is_ready: typing.Callable[[], bool]) -> None:
        self.leaving = False
        self.is_ready = is_ready


class Root:
    """All paths of the port; CherryPy calls ``default`` on a thread each."""

    def __init__(
        self,
        cfg: options.Options,
        config_: config.Config,
        parser: entry_call.Parser,
        server: entry_serve.Server,
        session_desk: entry_sessions.SessionDesk,
        operator: entry_operator.OperatorApi,
        health: Health,
        metrics_: metrics.Metrics,
    ) -> None:
        self._cfg = cfg
        self._config = config_
        self._parser = parser
        self._server = server
        self._sessions = session_desk
        self._operator = operator
        self._health = health
        self._metrics = metrics_

    def default(self, *path: str, **params: str) -> object:
        """Answer one request."""
        began_at = time.time()
        req = cherrypy.serving.request
        try:
            answer = self._answer(req)
        except errors.GaprockError as exc:
            answer = answers.error_answer(exc, time.time())
            self._log_refusal(req, exc)
        took_ms = (time.time() - began_at) * 1000
        self._metrics.timing("entry.first", took_ms)
        self._metrics.incr(f"entry.status.{answer.status}")
        return self._write(answer)

    def _answer(self, req: typing.Any) -> answers.Answer:
        path, method = req.path_info, req.method
        if path == "/healthz":
            return answers.json_answer({"ok": True})
        if path == "/readyz":
            return self._ready()
        headers = {str(k).lower(): str(v) for k, v in req.headers.items()}
        if path.startswith(OPERATOR):
            raw = self._read_body(req)
            return self._operator.answer(method, path[len(OPERATOR) :], headers, raw)
        if method == "GET" and path == "/v1/models":
            return self._models(headers)
        if method != "POST":
            raise errors.GaprockError(errorcodes.NOT_FOUND, f"{method} {path}")
        return self._post(path, headers, self._read_body(req))

    def _post(
        self, path: str, headers: entry_call.Headers, raw: bytes
    ) -> answers.Answer:
        if path == entry_call.CHAT_PATH:
            return self._server.serve(self._parser.chat(headers, raw))
        if path.startswith(CALLS):
            name = path[len(CALLS) :]
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

    def _read_body(self, req: typing.Any) -> bytes:
        """Read the body up to the limit.

        :raises errors.GaprockError: ``TOO_LARGE`` or ``BAD_REQUEST``.
        """
        if req.method in ("GET", "DELETE"):
            return b""
        length = req.headers.get("Content-Length", "")
        if not length.isdigit():
            # The rest of an unread body would be taken for the next request.
            cherrypy.serving.response.headers["Connection"] = "close"
            raise errors.GaprockError(
                errorcodes.BAD_REQUEST, "Content-Length is required"
            )
        if int(length) > self._cfg.max_body:
            cherrypy.serving.response.headers["Connection"] = "close"
            raise errors.GaprockError(
                errorcodes.TOO_LARGE, f"takes up to {self._cfg.max_body} bytes"
            )
        return bytes(req.rfile.read(int(length)))

    def _log_refusal(self, req: typing.Any, exc: errors.GaprockError) -> None:
        self._metrics.incr(f"entry.code.{exc.code.number}")
        eventlog.info(
            "refused" if exc.not_run else "failed",
            path=req.path_info,
            code=exc.code.number,
            name=exc.code.name,
            detail=exc.detail,
            retry_at=exc.retry_at,
        )

    def _write(self, answer: answers.Answer) -> object:
        resp = cherrypy.serving.response
        resp.status = answer.status
        resp.headers["Content-Type"] = answer.content_type
        for key, value in answer.headers.items():
            resp.headers[key] = value
        if self._health.leaving:
            resp.headers["Connection"] = "close"
        if answer.parts is None:
            return answer.body
        resp.stream = True
        return answer.parts


cherrypy.expose(Root.default)


def serve(cfg: options.Options, root: Root) -> None:
    """Open the port; CherryPy serves on threads of its own."""
    cherrypy.config.update(
        {
            "engine.autoreload.on": False,
            "checker.on": False,
            "log.screen": False,
            "request.show_tracebacks": False,
            "tools.log_headers.on": False,
            "tools.log_tracebacks.on": False,
            "server.socket_host": cfg.host,
            "server.socket_port": cfg.http_port,
            "server.thread_pool": cfg.max_open + cfg.spare_threads,
            "server.thread_pool_max": cfg.max_open + cfg.spare_threads,
            "server.socket_queue_size": LISTEN_BACKLOG,
            "server.socket_timeout": CALLER_SILENT_S,
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
    app_config = {"/": {"request.process_request_body": False}}
    app = cherrypy.tree.mount(root, "/", app_config)
    # Our own event lines say more than the access log's.
    app.log.access = _no_access_log
    cherrypy.engine.start()


def _no_access_log() -> None:
    """Stand in for CherryPy's access log."""


def stop() -> None:
    """Close the port."""
    cherrypy.engine.exit()
