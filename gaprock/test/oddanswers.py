"""Answers that are none, or odd ones that the protocol allows, as bytes."""

import typing

BODY: typing.Final = b"body"
# The first lines of heads that are none; the rest is sound.
STATUS_LINES: typing.Final = [
    b"HTTP/1.1 000 Some",
    b"HTTP/1.1 001 Some",
    b"HTTP/1.1 099 Some",
    b"HTTP/1.1 100 Continue",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/1.1 103 Early Hints",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1 -20 OK",
    b"HTTP/1.1 +20 OK",
    b"HTTP/1.1 0200 OK",
    b"HTTP/1.1 2x0 OK",
    b"HTTP/1.1 600 Some",
    b"HTTP/1.1 999 Some",
    b"HTTP/1.1  OK",
    b"HTTP/9.9 200 OK",
    b"HTTP/2.0 200 OK",
    b"HTTP/0.9 200 OK",
    b"HTTP/1 200 OK",
    b"200 OK",
    b"",
]
FIELD_LINES: typing.Final = [
    b"a name: value",
    b"name : value",
    b" name: value",
    b"na\tme: value",
    b"name\t: value",
    b"na\x00me: value",
    b"na\x01me: value",
    b"na\x0bme: value",
    b"na\x0cme: value",
    b"na\x1fme: value",
    b"na\x7fme: value",
    b"na\rme: value",
    b": value",
    b"no colon",
    b"name: va\rlue",
    b"name: va\x00lue",
    b"name: va\x0blue",
    b"Content Length: 2",
    b"Content-Length : 2",
    b"Content-Length\x0b: 2",
    b"Transfer-Encoding : chunked",
    b"Transfer-Encoding\x0b: chunked",
]
# Field lines and body of answers that do not tell where they end.
FRAMING: typing.Final = [
    (b"Content-Length: +4", b"body"),
    (b"Content-Length: 0_4", b"body"),
    (b"Content-Length: -4", b"body"),
    (b"Content-Length: 4\r\nContent-Length: 2", b"body"),
    (b"Transfer-Encoding: gzip", b"body"),
    (b"Transfer-Encoding: x, chunked", b"4\r\nbody\r\n0\r\n\r\n"),
    (b"Transfer-Encoding: chunked", b"+4\r\nbody\r\n0\r\n\r\n"),
    (b"Transfer-Encoding: chunked", b"0x4\r\nbody\r\n0\r\n\r\n"),
    (b"Transfer-Encoding: chunked", b"4\r\nbodyXX0\r\n\r\n"),
    (b"Transfer-Encoding: chunked", b"4\r\nbody\r\n"),
    (b"Transfer-Encoding: chunked", b"4\r\nbody\r\n0\r\n"),
]


def answer(
    status_line: bytes = b"HTTP/1.1 200 OK",
    fields: bytes = b"Content-Length: 4",
    body: bytes = BODY,
) -> bytes:
    """Build an answer."""
    return b"\r\n".join([status_line, fields, b"", body])


def beside_length(line: bytes) -> tuple[bytes, bytes]:
    """Return field lines with a length, before or after another line."""
    length = b"Content-Length: 4"
    return line + b"\r\n" + length, length + b"\r\n" + line


ALLOWED: typing.Final = [
    answer(b"HTTP/1.1 200"),
    answer(b"HTTP/1.1 200 "),
    answer(b"HTTP/1.0 200 OK"),
    answer(b"HTTP/1.1 299 \xe9t\xe9"),
    answer(fields=b"content-LENGTH: 4"),
    answer(fields=b"X: y\r\nContent-Length: 4, 4"),
    answer(fields=b"X: y"),
    answer(
        fields=b"Transfer-Encoding: Chunked",
        body=b"002;x=y\r\nbo\r\n2\r\ndy\r\n0\r\nX: y\r\n\r\n",
    ),
    answer(
        b"HTTP/1.1 100 Continue\r\n\r\n"
        b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK"
    ),
    *(
        answer(fields=line + b"\r\nContent-Length: 4")
        for line in (
            b"!#$%&'*+-.^_`|~09az: value",
            b"name:",
            b"name:value",
            b"name:  va\tlue\t ",
            b"name: \x80\xff",
            b"name: value\r\n folded",
        )
    ),
]
