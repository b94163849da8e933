"""Answers without end, and many large ones at once."""

import contextlib
import resource
import socket
import threading
from collections.abc import Callable
from typing import Any

import pytest

import mulberry_core as core
import mulberry_upstream as upstream

_MIB = 1 << 20
_FILL = b"x" * 16_384
_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
#: More than any bound on an answer, so that a test ends if there is none.
_LOTS = 192 * _MIB


def _serve(start: bytes, part: bytes) -> str:
    """Sends `start`, then `part` again and again until the caller closes."""
    server = socket.create_server(("127.0.0.1", 0))

    def run() -> None:
        connection, _ = server.accept()
        server.close()
        connection.recv(65_536)
        with connection, contextlib.suppress(OSError):
            connection.sendall(start)
            for _ in range(_LOTS // len(part)):
                connection.sendall(part)

    threading.Thread(target=run, daemon=True).start()
    return f"127.0.0.1:{server.getsockname()[1]}"


def _whole(bench: Any, address: str) -> Any:
    return bench.chat.chat(bench.chat_request(address, streamed=False))


def _stream(bench: Any, address: str) -> Any:
    stream = bench.chat.open_chat(bench.chat_request(address))
    if isinstance(stream, core.Refusal):
        return stream
    list(stream)
    return stream.outcome.refusal


@pytest.mark.parametrize("send", [_whole, _stream])
@pytest.mark.parametrize(
    ("start", "part"),
    [
        pytest.param(_OK, b"X-A: " + _FILL + b"\r\n", id="header lines"),
        pytest.param(_OK + b"X-A: ", _FILL, id="one header"),
        pytest.param(b"HTTP/1.1 200 ", _FILL, id="reason"),
        pytest.param(
            b"",
            b"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" * 200,
            id="interim answers",
        ),
        pytest.param(_OK + b"\r\n", _FILL, id="body without length"),
        pytest.param(
            _CHUNKED, b"4000\r\n" + _FILL + b"\r\n", id="chunked body"
        ),
        pytest.param(_CHUNKED + b"1;a=", _FILL, id="chunk extension"),
        pytest.param(
            _CHUNKED + b"0\r\n", b"X-A: " + _FILL + b"\r\n", id="trailers"
        ),
        pytest.param(b"HTTP/1.1 500 X\r\n\r\n", _FILL, id="body of an error"),
    ],
)
def test_answer_without_end_is_given_up(
    bench: Any, send: Callable[[Any, str], Any], start: bytes, part: bytes
) -> None:
    """Guards against a process killed for its memory."""
    before = _peak_bytes()
    refusal = send(bench, _serve(start, part))
    assert isinstance(refusal, core.Refusal)
    assert refusal.run is not core.RunState.NOT_RUN
    assert _peak_bytes() - before < 64 * _MIB


def test_calls_share_one_budget_and_small_answers_need_none(
    bench: Any,
) -> None:
    """Guards against many endless answers that are each within bounds."""
    limits = core.BodyLimits(whole_bytes=16 * _MIB, all_bytes=24 * _MIB)
    bench.pool = upstream.HandlePool(body_limits=limits)
    bench.chat = upstream.ChatEngineAdapter(bench.pool)
    requests = [
        bench.chat_request(_serve(_OK + b"\r\n", _FILL), streamed=False)
        for _ in range(16)
    ]
    results: list[Any] = []
    threads = [
        threading.Thread(
            target=lambda request=request: results.append(
                bench.chat.chat(request)
            )
        )
        for request in requests
    ]
    for thread in threads:
        thread.start()
    engine = bench.start()
    bench.new_request()
    assert isinstance(_whole(bench, engine.address), upstream.ChatAnswer)
    for thread in threads:
        thread.join()
    assert [result.kind for result in results] == [
        core.ErrorKind.ANSWER_INCOMPLETE
    ] * len(requests)
    assert limits.peak_bytes <= 24 * _MIB
    assert limits.held_bytes == 0


def _peak_bytes() -> int:
    """Returns the most memory that the process has had resident."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
