"""Client of the operators' API, used by the command line."""

import typing
import urllib.parse

import msgspec
import urllib3

from gaprock import answers, clock, errorcodes, errors, http_client, options

TIMEOUT_S: typing.Final = 10.0
# The largest answer of an entry, bytes.
MAX_ANSWER_BYTES: typing.Final = 64 * 1024 * 1024


class Client:
    """Sends operators' requests to one entry; all entries serve the same API."""

    __slots__ = ("_base", "_pool", "_headers")

    def __init__(self, cfg: options.Options) -> None:
        self._base = cfg.entry.rstrip("/") + "/operator/"
        self._pool = http_client.PoolManager(retries=False, timeout=TIMEOUT_S)
        self._headers = {
            "Authorization": f"Bearer {cfg.operator_key}",
            "Content-Type": "application/json",
        }

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        revision: int | None = None,
    ) -> typing.Any:
        """Send one request and decode the response.

        :param revision: the revision that a change is based on.
        :raises errors.GaprockError: the error that the entry returned,
            ``ENTRY_UNREACHABLE``, or ``CHANGE_UNKNOWN`` if a change got no response.
        """
        headers = dict(self._headers)
        if revision is not None:
            headers["If-Match"] = str(revision)
        url = self._base + urllib.parse.quote(path, safe="/@")
        clock_ = clock.SteadyClock()
        deadline = clock_.now() + TIMEOUT_S
        try:
            resp = self._pool.request(
                method, url, body=body, headers=headers, preload_content=False
            )
            data = http_client.read_body(resp, MAX_ANSWER_BYTES, deadline, clock_)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            raise errors.GaprockError(errorcodes.ENTRY_UNREACHABLE, self._base) from exc
        except urllib3.exceptions.HTTPError as exc:
            code = errorcodes.CHANGE_UNKNOWN
            if method == "GET":
                code = errorcodes.ENTRY_UNREACHABLE
            raise errors.GaprockError(code, str(exc)) from exc
        if resp.status >= 400:
            raise _error(resp.status, data)
        return msgspec.json.decode(data)


def _error(status: int, data: bytes) -> errors.GaprockError:
    """Build the exception for an error response."""
    try:
        info = msgspec.json.decode(data, type=answers.ErrorBody).error
    except msgspec.DecodeError:
        return errors.GaprockError(errorcodes.ENTRY_UNREACHABLE, f"status {status}")
    code = errorcodes.get(info.number)
    # The message is the code's description, the detail and the code's number.
    detail = info.message.removeprefix(code.description).removeprefix(": ")
    detail = detail.rpartition(" (code ")[0]
    return errors.GaprockError(code, detail, info.retry_at or 0.0)
