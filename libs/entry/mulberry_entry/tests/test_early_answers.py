"""Tests of upstreams that answer early, and of statuses that are none."""

import contextlib
import json
import socket
import struct
import threading
from collections.abc import Callable, Iterator

import pytest

import mulberry_rules as rules
from mulberry_entry.tests import harness

#: Longer than what the socket buffers of the connection hold.
_UPLOAD = "u" * (16 << 20)
_LIMIT_S = 10.0


def _reset_answer(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\n\r\n" + body


def _answer_with_status(status: str) -> Callable[[bytes], bytes]:
    def answer(body: bytes) -> bytes:
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
        return head.encode() + body

    return answer


class _Upstream:
    """Answers once it has the head of a request, then resets."""

    def __init__(self, answer: Callable[[bytes], bytes], resets: bool) -> None:
        self.requests = 0
        self._answer = answer
        self._resets = resets
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
            while b"\r\n\r\n" not in data:
                part = connection.recv(4_096)
                if not part:
                    return
                data += part
            self.requests += 1
            head = data.partition(b"\r\n\r\n")[0].lower()
            request_id = head.partition(b"x-request-id: ")[2].split()[0]
            body = _STREAM if b'"stream": true' in data else _WHOLE
            connection.sendall(self._answer(body.replace(b"ID", request_id, 1)))
            if self._resets:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )


_CHOICE = {"index": 0, "message": {"content": "a"}, "finish_reason": "stop"}
#: A whole answer that passes every check of its content.
_WHOLE = json.dumps(
    {
        "id": "ID",
        "choices": [_CHOICE],
        "usage": {"prompt_tokens": 1, "completion_tokens": 1},
    }
).encode()
_STREAM = (
    b'id: 1\ndata: {"id": "ID", "choices": [{"index": 0, "delta": '
    b'{"content": "a"}, "finish_reason": null}]}\n\n'
)


@pytest.fixture(name="start")
def _start() -> Iterator[
    Callable[
        [Callable[[bytes], bytes], bool], tuple[harness.Harness, _Upstream]
    ]
]:
    with contextlib.ExitStack() as stack:

        def start(
            answer: Callable[[bytes], bytes], resets: bool
        ) -> tuple[harness.Harness, _Upstream]:
            started = harness.Harness(rules.Limits(max_body_bytes=32 << 20))
            stack.callback(started.stop)
            upstream = _Upstream(answer, resets)
            stack.callback(upstream.close)
            started.add_engine("engine-1")
            started.add_service("taller-1")
            started.announce(
                "engine-1",
                address=upstream.address,
                incarnation=2,
                serves=[{"model": "m", "version": "v1"}],
            )
            started.announce(
                "taller-1",
                address=upstream.address,
                incarnation=2,
                service="taller",
            )
            return started, upstream

        yield start


_Start = Callable[
    [Callable[[bytes], bytes], bool], tuple[harness.Harness, _Upstream]
]
_ANSWERS = pytest.mark.parametrize(
    ("answer", "resets", "prompt"),
    [
        pytest.param(_reset_answer, True, _UPLOAD, id="reset"),
        *(
            pytest.param(_answer_with_status(status), False, "a", id=status)
            for status in ("000", "099", "199", "600", "999", "2000")
        ),
    ],
)


@_ANSWERS
@pytest.mark.parametrize("is_streamed", [False, True])
def test_no_chat_answer_is_made_of_it(
    start: _Start,
    answer: Callable[[bytes], bytes],
    resets: bool,
    prompt: str,
    is_streamed: bool,
) -> None:
    """Guards against a part that is returned and billed as an answer."""
    entry, upstream = start(answer, resets)
    status, _, body = entry.chat(stream=is_streamed, prompt=prompt)
    assert upstream.requests
    assert status >= 500 or (is_streamed and b'"error"' in body)
    assert b"[DONE]" not in body
    assert not sum(item.bills for item in entry.state.machine.ledger.sums())


@_ANSWERS
@pytest.mark.parametrize(
    ("method", "path"), [("POST", "/deposits"), ("GET", "/stock/board")]
)
def test_no_service_answer_is_made_of_it(
    start: _Start,
    answer: Callable[[bytes], bytes],
    resets: bool,
    prompt: str,
    method: str,
    path: str,
) -> None:
    """Guards against a part that is recorded as the answer of a call.

    `POST /deposits` runs once: its recorded answer is returned again.
    """
    entry, upstream = start(answer, resets)
    headers = {"Idempotency-Key": "deposit-1"}
    for _ in range(2):
        status, returned, body = entry.send(
            method, f"/services/taller{path}", {"note": prompt}, headers
        )
        assert status in (409, 502, 503, 504)
        assert b'"choices"' not in body
        assert "X-Mulberry-Replayed" not in returned
    if method == "POST":
        assert upstream.requests == 1
    assert not sum(item.bills for item in entry.state.machine.ledger.sums())
