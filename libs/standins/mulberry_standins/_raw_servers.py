"""Upstreams that send bytes as they are told, whatever HTTP would have."""

import contextlib
import dataclasses
import socket
import threading
from collections.abc import Callable

_READ_BYTES = 65_536
_FILLER = b"x" * 16_384
_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
#: More than any bound on an answer, so that a test ends if there is none.
_MAX_SENT_BYTES = 192 << 20


@dataclasses.dataclass(frozen=True)
class EndlessAnswer:
    """An answer without end."""

    name: str
    start: bytes
    #: Follows the start again and again.
    part: bytes


#: Every place of an answer in which bytes may come without end.
ENDLESS_ANSWERS = (
    EndlessAnswer("header lines", _OK, b"X-A: " + _FILLER + b"\r\n"),
    EndlessAnswer("one header", _OK + b"X-A: ", _FILLER),
    EndlessAnswer("reason", b"HTTP/1.1 200 ", _FILLER),
    EndlessAnswer(
        "interim answers",
        b"",
        b"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" * 200,
    ),
    EndlessAnswer("body without length", _OK + b"\r\n", _FILLER),
    EndlessAnswer("chunked body", _CHUNKED, b"4000\r\n" + _FILLER + b"\r\n"),
    EndlessAnswer("chunk extension", _CHUNKED + b"1;a=", _FILLER),
    EndlessAnswer(
        "trailers", _CHUNKED + b"0\r\n", b"X-A: " + _FILLER + b"\r\n"
    ),
    EndlessAnswer("body of an error", b"HTTP/1.1 500 X\r\n\r\n", _FILLER),
)


def serve_once(script: Callable[[socket.socket], None]) -> str:
    """Serves one connection by a script, then closes it.

    Args:
        script: Gets the connection; it ends with the first `OSError`, as the
            caller's close causes.

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
    """Serves one request with `start`, then `part` until the caller closes.

    Returns:
        `IP:PORT` to connect to.
    """

    def script(connection: socket.socket) -> None:
        connection.recv(_READ_BYTES)
        connection.sendall(start)
        for _ in range(_MAX_SENT_BYTES // len(part)):
            connection.sendall(part)

    return serve_once(script)
