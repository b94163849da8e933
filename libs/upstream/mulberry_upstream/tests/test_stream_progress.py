"""Tests of the idle timeout for stalled streams and slow streams."""

import json
import socket
import time
from collections.abc import Callable
from typing import Any

import pytest

import mulberry_core as core
import mulberry_standins as standins
import mulberry_upstream as upstream

#: Idle timeout of these streams, seconds.
_IDLE_S = 1.0
#: Deadline; far above the idle timeout, so that the two are distinguishable.
_TOTAL_S = 12.0

_Send = Callable[[bytes], None]
_Script = Callable[[_Send, str], None]


def _serve(script: _Script) -> str:
    """Serves the headers of a stream and then runs a script."""

    def handle(connection: socket.socket) -> None:
        request_id = _read_request(connection)
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        script(
            lambda data: connection.sendall(
                b"%x\r\n%b\r\n" % (len(data), data)
            ),
            request_id,
        )
        connection.sendall(b"0\r\n\r\n")

    return standins.serve_once(handle)


def _read_request(connection: socket.socket) -> str:
    with connection.makefile("rb") as reader:
        request_id, length = "", 0
        while (line := reader.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode().strip().partition(": ")
            if name == "X-Request-Id":
                request_id = value
            if name.lower() == "content-length":
                length = int(value)
        reader.read(length)
    return request_id


def _chunk(request_id: str, text: str = "", finish: str | None = None) -> bytes:
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish}
    document = {"id": f"chat-{request_id}", "choices": [choice]}
    return f"data: {json.dumps(document)}\n\n".encode()


def _end(send: _Send, request_id: str) -> None:
    send(_chunk(request_id, finish="stop"))
    send(b"data: [DONE]\n\n")


def _only_comments(send: _Send, request_id: str) -> None:
    send(_chunk(request_id, "a"))
    while True:
        send(b": still here\n\n")
        time.sleep(0.05)


def _one_byte_at_a_time(send: _Send, request_id: str) -> None:
    send(_chunk(request_id, "a"))
    for byte in _chunk(request_id, "b" * 10_000):
        send(bytes((byte,)))
        time.sleep(0.05)


def _slow_events(send: _Send, request_id: str) -> None:
    for _ in range(8):
        send(_chunk(request_id, "a"))
        time.sleep(_IDLE_S / 4)
    _end(send, request_id)


def _fast_events(send: _Send, request_id: str) -> None:
    # More than the sockets and the loop buffer for a slow reader.
    for _ in range(2_000):
        send(_chunk(request_id, "a" * 4_000))
    _end(send, request_id)


@pytest.fixture
def open_stream(harness: Any) -> Callable[[_Script], Any]:
    return lambda script: harness.chat.open_chat(
        harness.chat_request(
            _serve(script),
            limits=upstream.ExchangeLimits(_TOTAL_S, idle_s=_IDLE_S),
        )
    )


@pytest.mark.parametrize("script", [_only_comments, _one_byte_at_a_time])
@pytest.mark.parametrize("forwards", [True, False])
def test_stream_without_whole_events_times_out(
    open_stream: Callable[[_Script], Any], script: _Script, forwards: bool
) -> None:
    """Guards against a stalled stream kept open by occasional bytes."""
    stream = open_stream(script)
    if forwards:
        assert stream.forward(lambda block: True)
    else:
        list(stream)
    # The deadline would give another kind.
    refusal = stream.outcome.refusal
    assert isinstance(refusal, core.Refusal)
    assert refusal.kind is core.ErrorKind.ANSWER_INCOMPLETE
    assert stream.outcome.recovery is upstream.Recovery.RESUME


@pytest.mark.parametrize("forwards", [True, False])
def test_slow_stream_is_not_aborted(
    open_stream: Callable[[_Script], Any], forwards: bool
) -> None:
    """Guards against an idle timeout that aborts a slow stream."""
    stream = open_stream(_slow_events)
    if forwards:
        assert stream.forward(lambda block: True)
    else:
        list(stream)
    assert stream.outcome.complete


def test_slow_reader_is_not_a_read_timeout(
    open_stream: Callable[[_Script], Any],
) -> None:
    """Guards against treating a slow reader as an idle upstream."""
    stream = open_stream(_fast_events)
    for number, _ in enumerate(stream):
        if number < 2:
            time.sleep(1.5 * _IDLE_S)
    assert stream.outcome.complete
