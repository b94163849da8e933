"""Tests of entries that answer early, and of statuses that are none."""

import contextlib
import json
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

import mulberry_caller as caller

#: Longer than what the socket buffers of the connection hold.
_UPLOAD_BYTES = 16 << 20
_LIMIT_S = 10.0
_CHOICE = {"message": {"content": "a"}, "finish_reason": "stop"}
#: A whole answer that passes every check of its content.
_WHOLE = json.dumps({"choices": [_CHOICE]}).encode()
_EVENTS = b'data: {"choices": [{"delta": {"content": "a"}}]}\n\n'


class _Entry:
    """Answers each connection, then ends it with a reset or in order."""

    def __init__(self, answer: bytes) -> None:
        self.requests = 0
        #: Bytes of the request to read before the answer.
        self.read_bytes = 1
        #: Time between the answer and the reset; below 0 for none, seconds.
        self.reset_after_s = 0.0
        self._answer = answer
        self._server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self._server.shutdown(socket.SHUT_RDWR)
        self._server.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._server.accept()
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection: socket.socket) -> None:
        data = b""
        with connection, contextlib.suppress(OSError):
            connection.settimeout(_LIMIT_S)
            while len(data) < self.read_bytes or b"\r\n\r\n" not in data:
                part = connection.recv(65_536)
                if not part:
                    return
                data += part
            if b" /v1/entries" in data[:100]:
                # The caller keeps to the entries that it knows.
                connection.sendall(b"HTTP/1.1 404 X\r\n\r\n")
                return
            self.requests += 1
            connection.sendall(self._answer)
            if self.reset_after_s < 0:
                return
            time.sleep(self.reset_after_s)
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )


@pytest.fixture(name="start")
def _start() -> Iterator[Callable[[bytes], _Entry]]:
    with contextlib.ExitStack() as stack:

        def start(answer: bytes) -> _Entry:
            entry = _Entry(answer)
            stack.callback(entry.close)
            return entry

        yield start


def _client(entry: _Entry) -> caller.Caller:
    return caller.Caller(
        [entry.address], "k", options=caller.Options(_LIMIT_S, max_attempts=1)
    )


def _chat(entry: _Entry, upload: int) -> Any:
    return _client(entry).chat("m", [{"role": "user", "content": "u" * upload}])


def _stream(entry: _Entry, upload: int) -> Any:
    stream = _client(entry).stream_chat(
        "m", [{"role": "user", "content": "u" * upload}]
    )
    if isinstance(stream, caller.Failure):
        return stream
    list(stream)
    return stream.result


def _call(entry: _Entry, upload: int) -> Any:
    return _client(entry).call("taller", "POST", "/deposits", b"u" * upload)


_Send = Callable[[_Entry, int], Any]
_KINDS = pytest.mark.parametrize(
    ("send", "body"),
    [(_chat, _WHOLE), (_stream, _EVENTS), (_call, _WHOLE)],
    ids=["chat", "stream", "call"],
)


@_KINDS
@pytest.mark.parametrize("framing", ["", "Content-Length: 9999\r\n"])
@pytest.mark.parametrize(
    ("read_bytes", "reset_after_s"), [(1, 0.0), (1, 0.1), (1 << 20, 0.0)]
)
def test_a_part_before_a_reset_is_a_failure(
    start: Callable[[bytes], _Entry],
    send: _Send,
    body: bytes,
    framing: str,
    read_bytes: int,
    reset_after_s: float,
) -> None:
    """Guards against a part of an answer that is returned as all of it.

    The entry resets the connection while the request is being written.
    """
    entry = start(f"HTTP/1.1 200 OK\r\n{framing}\r\n".encode() + body)
    entry.read_bytes = read_bytes
    entry.reset_after_s = reset_after_s
    failure = send(entry, _UPLOAD_BYTES)
    assert isinstance(failure, caller.Failure)
    assert failure.run == "unknown"
    assert entry.requests == 1


@_KINDS
@pytest.mark.parametrize(
    "status",
    [
        *("000", "001", "099", "100", "101", "102", "199"),
        *("600", "601", "999", "0", "20", "2000", "0200", "-20", "2\xb20"),
    ],
)
def test_a_status_that_is_not_final_is_a_failure(
    start: Callable[[bytes], _Entry], send: _Send, body: bytes, status: str
) -> None:
    """Guards against answers whose status means nothing to callers."""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
    entry = start(head.encode("latin-1") + body)
    entry.reset_after_s = -1.0
    failure = send(entry, 1)
    assert isinstance(failure, caller.Failure)
    assert failure.status == 0
    assert failure.run == "unknown"
    assert entry.requests == 1


@_KINDS
def test_the_body_of_no_answer_is_not_added_to_the_next_one(
    start: Callable[[bytes], _Entry], send: _Send, body: bytes
) -> None:
    """Guards against an answer that begins with the body of another one."""
    entry = start(
        b"HTTP/1.1 000 X\r\nContent-Length: 5\r\n\r\nfalse"
        + f"HTTP/1.1 200 X\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        + body
    )
    entry.reset_after_s = -1.0
    assert isinstance(send(entry, 1), caller.Failure)
