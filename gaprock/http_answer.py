"""Parses the answer to one HTTP request, by the same strict rules for all clients.

The rules of the protocol are those of ``h11``.  In addition, a status has to be one
that the protocol defines a class for, and the version has to be HTTP/1.
"""

import typing

import h11

# More interim answers than this are no answer.
MAX_INTERIM: typing.Final = 32
VERSION_PREFIX: typing.Final = b"1."
MAX_STATUS: typing.Final = 599
# Statuses of answers that have no body, whatever their headers say.
BODILESS: typing.Final = frozenset((204, 304))
# Headers that tell where an answer ends.
FRAMING: typing.Final = frozenset((b"content-length", b"transfer-encoding"))


class Malformed(Exception):
    """The bytes are no answer, or end before it is whole."""


class Parser:
    """Parses one answer.

    :param conn: the client's side, on which the request has been sent.
    :param method: the method of the request.
    """

    __slots__ = ("_conn", "_method", "_interim_count", "ends_with_connection")

    def __init__(self, conn: h11.Connection, method: bytes) -> None:
        # ``None`` after a failure, so that nothing keeps the bytes that were received.
        self._conn: h11.Connection | None = conn
        self._method = method
        self._interim_count = 0
        # Whether only the end of the connection marks the end of the answer.
        self.ends_with_connection = False

    @property
    def has_excess(self) -> bool:
        """Whether more bytes came than belong to the answer."""
        return self._conn is not None and bool(self._conn.trailing_data[0])

    def receive(self, data: bytes) -> None:
        """Add bytes; none are the end of the connection."""
        if self._conn is not None:
            self._conn.receive_data(data)

    def next_event(self) -> typing.Any:
        """Return the next ``h11`` event of the answer, or ``h11.NEED_DATA``.

        These are ``Response``, ``Data`` and ``EndOfMessage``.

        :raises Malformed: when the bytes are no answer.
        """
        try:
            return self._parse()
        except Malformed:
            self._conn = None
            raise

    def _parse(self) -> typing.Any:
        while isinstance(event := self._parse_one(), h11.InformationalResponse):
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM:
                raise Malformed("too many interim answers")
        if isinstance(event, h11.Response):
            self._check_head(event)
        elif event is not h11.NEED_DATA and not isinstance(
            event, h11.Data | h11.EndOfMessage
        ):
            raise Malformed("no answer")
        return event

    def _parse_one(self) -> typing.Any:
        if self._conn is None:
            raise Malformed("no answer")
        try:
            return self._conn.next_event()
        except h11.RemoteProtocolError as exc:
            detail = str(exc)
            # The parser's frames hold its buffer, and refer to this exception.
            exc.__traceback__ = None
        raise Malformed(detail)

    def _check_head(self, head: h11.Response) -> None:
        if not head.http_version.startswith(VERSION_PREFIX):
            raise Malformed("unknown version of HTTP")
        if head.status_code > MAX_STATUS:
            raise Malformed(f"unknown status {head.status_code}")
        has_body = self._method != b"HEAD" and head.status_code not in BODILESS
        self.ends_with_connection = has_body and not FRAMING.intersection(
            name for name, _ in head.headers
        )
