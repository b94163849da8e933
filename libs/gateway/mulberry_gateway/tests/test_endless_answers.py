"""Endless answers and requests are aborted within the memory limits."""

import itertools
import socket
import threading
import time
import tracemalloc
from collections.abc import Iterator

import pytest

import mulberry_core as core
import mulberry_gateway as gateway
import mulberry_routing as routing
import mulberry_standins as standins
from mulberry_gateway import _body_limits, _request_reader, _upstream_call
from mulberry_gateway.tests import relay_harness

Fault = _upstream_call.Fault
_REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
#: More than any limit, so that a test without a limit still ends.
_ENDLESS_BYTES = 96 * 1024 * 1024


@pytest.fixture
def caller() -> Iterator[gateway.Connection]:
    host = socket.create_server(("127.0.0.1", 0))
    remote = socket.create_connection(host.getsockname())
    accepted, _ = host.accept()
    host.close()
    yield gateway.Connection(accepted)
    remote.close()


def _read_answer(
    call: _upstream_call.UpstreamCall,
) -> bytes | Fault:
    assert call.send(_REQUEST, head_only=False) is core.Missing.UNSET
    head = call.read_head(20.0)
    result = head if isinstance(head, Fault) else call.read_body(20.0)
    call.close()
    return result


_FILL = b"x" * 16_384


@pytest.mark.parametrize(
    "answer", standins.ENDLESS_ANSWERS, ids=lambda answer: answer.name
)
def test_endless_answer_is_aborted(
    caller: gateway.Connection, answer: standins.EndlessAnswer
) -> None:
    """Guards against an instance that is killed for its memory use.

    One call grew by 401 MB in 2.2 s on an endless head and by 799 MB in 2.6 s
    on an endless body; an instance has 200 MB.
    """
    limits = core.BodyLimits(4 * 1024 * 1024, _body_limits.TOTAL_BODY_BYTES)
    server = standins.serve_endless(answer.start, answer.part)
    call = relay_harness.call(server, caller, limits)
    tracemalloc.start()
    try:
        assert _read_answer(call) is Fault.EXCESSIVE
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < 16 * 1024 * 1024
    assert limits.held_bytes == 0


def test_many_small_chunks_are_within_limits(
    caller: gateway.Connection,
) -> None:
    """Guards against counting the framing of many chunks as excess bytes."""
    server = standins.serve_endless(
        _CHUNKED + b"1\r\na\r\n" * 50_000 + b"0\r\n\r\n", b" "
    )
    call = relay_harness.call(server, caller)
    assert _read_answer(call) == b"a" * 50_000


def test_large_answer_within_the_limits_is_whole(
    caller: gateway.Connection,
) -> None:
    """Guards against a limit that cuts off bodies of allowed size."""
    size = 3 * 1024 * 1024
    server = standins.serve_endless(
        _OK + b"Content-Length: %d\r\n\r\n" % size, b"y" * 65_536
    )
    limits = core.BodyLimits(4 * 1024 * 1024, _body_limits.TOTAL_BODY_BYTES)
    call = relay_harness.call(server, caller, limits)
    assert _read_answer(call) == b"y" * size
    assert limits.held_bytes == 0


def test_calls_share_one_budget_and_small_answers_bypass_it(
    caller: gateway.Connection,
) -> None:
    """Guards against endless answers that only together exceed the memory."""
    mib = 1024 * 1024
    limits = core.BodyLimits(max_body_bytes=4 * mib, max_total_bytes=6 * mib)
    results: list[bytes | Fault] = []
    lock = threading.Lock()

    def read_endless() -> None:
        call = relay_harness.call(
            standins.serve_endless(_OK + b"\r\n", _FILL), caller, limits
        )
        result = _read_answer(call)
        with lock:
            results.append(result)

    threads = [threading.Thread(target=read_endless) for _ in range(16)]
    for thread in threads:
        thread.start()
    small = relay_harness.call(
        standins.serve_endless(_OK + b"Content-Length: 2\r\n\r\nok", b" "),
        caller,
        limits,
    )
    assert _read_answer(small) == b"ok"
    for thread in threads:
        thread.join()
    assert results == [Fault.EXCESSIVE] * 16
    assert limits.peak_bytes <= 6 * mib
    assert limits.held_bytes == 0


@pytest.mark.parametrize(
    ("part", "kind"),
    [
        (_FILL, core.ErrorKind.HEADERS_TOO_LARGE),
        (
            b"x\r\na\r\n1;a=" + _FILL[:4_000],
            core.ErrorKind.REQUEST_TIMEOUT,
        ),
    ],
    ids=["one extension", "extension of each chunk"],
)
def test_endless_chunk_extension_of_a_request_is_rejected(
    monkeypatch: pytest.MonkeyPatch, part: bytes, kind: core.ErrorKind
) -> None:
    """Guards against callers that keep a connection and its thread busy."""
    monkeypatch.setattr(_request_reader, "_BODY_TIMEOUT_S", 0.3)
    host = socket.create_server(("127.0.0.1", 0))
    remote = socket.create_connection(host.getsockname())
    accepted, _ = host.accept()
    host.close()
    reader = _request_reader.RequestReader(
        gateway.Connection(accepted), routing.Limits, core.SystemClock()
    )

    def send() -> None:
        try:
            remote.sendall(
                b"POST / HTTP/1.1\r\nHost: h\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n1;a="
            )
            for _ in range(_ENDLESS_BYTES // len(part)):
                remote.sendall(part * 16)
        except OSError:
            return

    thread = threading.Thread(target=send, daemon=True)
    thread.start()
    fault = reader.read()
    accepted.close()
    remote.close()
    thread.join()
    assert isinstance(fault, gateway.InvalidRequest)
    assert fault.kind is kind


@pytest.mark.parametrize(
    "parts",
    [
        pytest.param(itertools.repeat(_FILL), id="one header"),
        pytest.param(
            itertools.repeat(b"x\r\nX-A: " + _FILL[:999]), id="header lines"
        ),
    ],
)
def test_endless_request_head_is_rejected(parts: Iterator[bytes]) -> None:
    """Guards against callers that send an endless request head."""
    host = socket.create_server(("127.0.0.1", 0))
    remote = socket.create_connection(host.getsockname())
    accepted, _ = host.accept()
    host.close()
    reader = _request_reader.RequestReader(
        gateway.Connection(accepted),
        routing.Limits,
        core.SystemClock(),
    )

    def send() -> None:
        try:
            remote.sendall(b"GET / HTTP/1.1\r\nHost: h\r\nX-A: ")
            for part in itertools.islice(parts, _ENDLESS_BYTES // len(_FILL)):
                remote.sendall(part)
        except OSError:
            return

    thread = threading.Thread(target=send, daemon=True)
    thread.start()
    began_s = time.monotonic()
    tracemalloc.start()
    try:
        fault = reader.read()
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert isinstance(fault, gateway.InvalidRequest)
    assert fault.kind is core.ErrorKind.HEADERS_TOO_LARGE
    assert peak < 4 * 1024 * 1024
    assert time.monotonic() - began_s < 3.0
    accepted.close()
    remote.close()
    thread.join()
