"""Servers that send arbitrary bytes, also ones that violate HTTP."""

import contextlib
import dataclasses
import socket
import threading
from collections.abc import Callable

_READ_BYTES = 65_536
_FILLER = b"x" * 16_384
_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
#: Exceeds every limit on answers; ends a test whose limit is missing.
_MAX_SENT_BYTES = 192 << 20


@dataclasses.dataclass(frozen=True)
class EndlessAnswer:
    """A response that never ends."""

    name: str
    start: bytes
    #: Sent repeatedly after `start`.
    part: bytes


#: One answer for every part of an HTTP response that can be endless.
ENDLESS_ANSWERS = (
    EndlessAnswer("header lines", _OK, b"X-A: " + _FILLER + b"\r\n"),
    EndlessAnswer("small header lines", _OK, b"ab:cd\r\n" * 2_000),
    EndlessAnswer("one header", _OK + b"X-A: ", _FILLER),
    EndlessAnswer("reason", b"HTTP/1.1 200 ", _FILLER),
    EndlessAnswer(
        "interim answers",
        b"",
        b"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" * 200,
    ),
    EndlessAnswer("body without length", _OK + b"\r\n", _FILLER),
    EndlessAnswer("chunked body", _CHUNKED, b"4000\r\n" + _FILLER + b"\r\n"),
    EndlessAnswer("small chunks", _CHUNKED, b"2\r\nxx\r\n" * 2_000),
    EndlessAnswer(
        "small chunks of an error",
        b"HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"2\r\nxx\r\n" * 2_000,
    ),
    EndlessAnswer(
        "small chunks with extensions",
        _CHUNKED,
        b"1;a=" + _FILLER + b"\r\nx\r\n",
    ),
    EndlessAnswer("chunk extension", _CHUNKED + b"1;a=", _FILLER),
    EndlessAnswer(
        "trailers", _CHUNKED + b"0\r\n", b"X-A: " + _FILLER + b"\r\n"
    ),
    EndlessAnswer("body of an error", b"HTTP/1.1 500 X\r\n\r\n", _FILLER),
)


def serve_once(script: Callable[[socket.socket], None]) -> str:
    """Runs a script on one accepted connection, then closes it.

    Args:
        script: Called with the connection. An `OSError`, as raised when the
            peer closes the connection, ends the script.

    Returns:
        `IP:PORT` to connect to.
    """
    server = socket.create_server(("127.0.0.1", 0))
    host, port = server.getsockname()

    def run() -> None:
        connection, _ = server.accept()
        server.close()
        with connection, contextlib.suppress(OSError):
            script(connection)

    threading.Thread(target=run, daemon=True).start()
    return f"{host}:{port}"


def serve_endless(start: bytes, part: bytes) -> str:
    """Answers one request with `start`, then repeats `part`.

    Stops when the peer closes the connection, at the latest after 192 MiB.

    Returns:
        `IP:PORT` to connect to.
    """

    def script(connection: socket.socket) -> None:
        connection.recv(_READ_BYTES)
        connection.sendall(start)
        for _ in range(_MAX_SENT_BYTES // len(part)):
            connection.sendall(part)

    return serve_once(script)
