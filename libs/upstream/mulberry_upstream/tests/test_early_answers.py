"""Tests of upstreams that answer early, and of statuses that are none."""

import contextlib
import json
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

import mulberry_core as core

#: Longer than what the socket buffers of the connection hold.
_UPLOAD_BYTES = 16 << 20
_LIMIT_S = 10.0


class _Script:
    """Answers each connection, then ends it with a reset or in order."""

    def __init__(self, answer: Callable[[str], bytes]) -> None:
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
            self.requests += 1
            head, _, _ = data.partition(b"\r\n\r\n")
            request_id = head.lower().partition(b"x-request-id: ")[2].split()
            connection.sendall(self._answer(request_id[0].decode()))
            if self.reset_after_s < 0:
                return
            time.sleep(self.reset_after_s)
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )


@pytest.fixture(name="start")
def _start() -> Iterator[Callable[[Callable[[str], bytes]], _Script]]:
    with contextlib.ExitStack() as stack:

        def start(answer: Callable[[str], bytes]) -> _Script:
            script = _Script(answer)
            stack.callback(script.close)
            return script

        yield start


def _whole(request_id: str) -> bytes:
    """A whole answer that passes every check of its content."""
    choice = {"index": 0, "message": {"content": "a"}, "finish_reason": "stop"}
    usage = {"prompt_tokens": 1, "completion_tokens": 1}
    return json.dumps(
        {"id": request_id, "choices": [choice], "usage": usage}
    ).encode()


def _events(request_id: str) -> bytes:
    choice = {"index": 0, "delta": {"content": "a"}, "finish_reason": None}
    chunk = json.dumps({"id": request_id, "choices": [choice]})
    return f"id: 1\ndata: {chunk}\n\n".encode()


def _send_whole(harness: Any, address: str, upload: int) -> Any:
    return harness.chat.chat(
        harness.chat_request(address, streamed=False, content="u" * upload)
    )


def _send_streamed(harness: Any, address: str, upload: int) -> Any:
    stream = harness.chat.open_chat(
        harness.chat_request(address, content="u" * upload)
    )
    if isinstance(stream, core.Refusal):
        return stream
    list(stream)
    return stream.outcome.refusal


def _call_service(harness: Any, address: str, upload: int) -> Any:
    return harness.service.call(
        harness.service_request(address, body=b"u" * upload)
    )


_Send = Callable[[Any, str, int], Any]
_KINDS = pytest.mark.parametrize(
    ("send", "body"),
    [(_send_whole, _whole), (_send_streamed, _events), (_call_service, _whole)],
    ids=["whole", "streamed", "service"],
)


@_KINDS
@pytest.mark.parametrize("framing", ["", "Content-Length: 9999\r\n"])
@pytest.mark.parametrize(
    ("read_bytes", "reset_after_s"), [(1, 0.0), (1, 0.1), (1 << 20, 0.0)]
)
def test_a_part_before_a_reset_is_no_complete_answer(
    harness: Any,
    start: Callable[[Callable[[str], bytes]], _Script],
    send: _Send,
    body: Callable[[str], bytes],
    framing: str,
    read_bytes: int,
    reset_after_s: float,
) -> None:
    """Guards against a part of an answer that callers take for all of it.

    The upstream resets the connection while the request is being written.
    """
    head = f"HTTP/1.1 200 OK\r\n{framing}\r\n".encode()
    script = start(lambda request_id: head + body(request_id))
    script.read_bytes = read_bytes
    script.reset_after_s = reset_after_s
    refusal = send(harness, script.address, _UPLOAD_BYTES)
    assert isinstance(refusal, core.Refusal)
    assert refusal.run is not core.RunState.NOT_RUN
    assert script.requests == 1


@_KINDS
@pytest.mark.parametrize(
    "status",
    [
        *("000", "001", "099", "100", "101", "102", "199"),
        *("600", "601", "999", "0", "20", "2000", "0200", "-20", "2\xb20"),
    ],
)
def test_a_status_that_is_not_final_is_no_answer(
    harness: Any,
    start: Callable[[Callable[[str], bytes]], _Script],
    send: _Send,
    body: Callable[[str], bytes],
    status: str,
) -> None:
    """Guards against answers whose status means nothing to callers."""

    def answer(request_id: str) -> bytes:
        content = body(request_id)
        head = (
            f"HTTP/1.1 {status} X\r\nX-Request-Id: {request_id}\r\n"
            f"Content-Length: {len(content)}\r\n\r\n"
        )
        return head.encode("latin-1") + content

    script = start(answer)
    script.reset_after_s = -1.0
    refusal = send(harness, script.address, 1)
    assert isinstance(refusal, core.Refusal)
    assert refusal.run is core.RunState.UNKNOWN
    assert refusal.kind in (
        core.ErrorKind.UPSTREAM_FAILED,
        core.ErrorKind.ANSWER_INCOMPLETE,
    )
    assert script.requests == 1


@_KINDS
def test_the_body_of_no_answer_is_not_added_to_the_next_one(
    harness: Any,
    start: Callable[[Callable[[str], bytes]], _Script],
    send: _Send,
    body: Callable[[str], bytes],
) -> None:
    """Guards against an answer that begins with the body of another one."""

    def answer(request_id: str) -> bytes:
        content = body(request_id)
        return (
            b"HTTP/1.1 000 X\r\nContent-Length: 5\r\n\r\nfalse"
            + f"HTTP/1.1 200 X\r\nX-Request-Id: {request_id}\r\n"
            f"Content-Length: {len(content)}\r\n\r\n".encode()
            + content
        )

    script = start(answer)
    script.reset_after_s = -1.0
    result = send(harness, script.address, 1)
    assert isinstance(result, core.Refusal)
    assert result.run is core.RunState.UNKNOWN
