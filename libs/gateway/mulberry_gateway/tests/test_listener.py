"""Accepting connections, during shutdown and with scarce resources."""

import contextlib
import dataclasses
import socket
import threading
import time
from collections.abc import Iterator
from typing import Any

import pytest

import mulberry_core as core
import mulberry_gateway as gateway
import mulberry_routing as routing
from mulberry_gateway import _listener as gateway_listener

_REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class _FixedHandler(gateway.Handler):
    def handle(
        self,
        request: gateway.Request,
        caller: gateway.Connection,
        keep_alive: bool,
    ) -> bool:
        caller.send_all(_ANSWER)
        return False

    def reject(
        self, fault: gateway.InvalidRequest, caller: gateway.Connection
    ) -> None:
        caller.send_all(b"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n")


@pytest.fixture
def listener() -> Iterator[gateway.Listener]:
    new_listener = gateway.Listener(
        "test", "127.0.0.1:0", _FixedHandler(), core.SystemClock()
    )
    yield new_listener
    new_listener.stop_accepting()


def _connect(
    listener: gateway.Listener, request: bytes = _REQUEST
) -> socket.socket:
    caller = socket.create_connection(("127.0.0.1", listener.port))
    caller.settimeout(5.0)
    caller.sendall(request)
    return caller


def test_connections_in_the_backlog_are_answered_on_stop(
    listener: gateway.Listener,
) -> None:
    """Guards against requests that a planned stop leaves unanswered.

    The accepting thread has not run yet, so all connections are in the
    backlog when the listener stops.
    """
    listener._sock.listen(16)
    callers = [_connect(listener) for _ in range(8)]
    time.sleep(0.05)
    listener.stop_accepting()
    for caller in callers:
        assert caller.recv(1_000) == _ANSWER
        caller.close()


def test_connections_are_refused_once_the_listener_has_stopped(
    listener: gateway.Listener,
) -> None:
    """Guards against callers that wait for a stopped listener.

    The accepting thread kept the socket open while it polled: a caller
    connected, sent its request, and was reset 0.9 s later.
    """
    listener.start()
    address = ("127.0.0.1", listener.port)
    # Until then the accepting thread polls the socket.
    time.sleep(0.1)
    listener.stop_accepting()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address)


class _BlockingHandler(_FixedHandler):
    """Answers only once it is told to."""

    def __init__(self) -> None:
        self.running = threading.Event()
        self.may_answer = threading.Event()

    def handle(
        self,
        request: gateway.Request,
        caller: gateway.Connection,
        keep_alive: bool,
    ) -> bool:
        if request.path == "/slow":
            self.running.set()
            self.may_answer.wait(5.0)
            assert not caller.is_closed()
        caller.send_all(_ANSWER)
        return keep_alive


@pytest.fixture
def blocking() -> Iterator[tuple[gateway.Listener, _BlockingHandler]]:
    handler = _BlockingHandler()
    new_listener = gateway.Listener(
        "test", "127.0.0.1:0", handler, core.SystemClock()
    )
    new_listener.start()
    yield new_listener, handler
    handler.may_answer.set()
    new_listener.stop_accepting()


def _receive_all(caller: socket.socket) -> bytes:
    data = b""
    while part := caller.recv(1_000):
        data += part
    return data


def test_all_connections_are_closed_in_order_on_close(
    blocking: tuple[gateway.Listener, _BlockingHandler],
) -> None:
    """Guards against resets at the exit of the process.

    Requests that were read while the last steps of a stop ran were left
    without a response when the process ended.
    """
    listener, _ = blocking
    idle = _connect(listener, b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    assert idle.recv(1_000) == _ANSWER
    partial = _connect(
        listener,
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc",
    )
    unread = [_connect(listener) for _ in range(8)]
    assert listener.close(2.0)
    assert listener.open_connections == 0
    assert idle.recv(1_000) == b""
    # The handler of this test gives every invalid request the same answer.
    assert _receive_all(partial).startswith(b"HTTP/1.1 400")
    for caller in unread:
        assert caller.recv(1_000) == _ANSWER
    for caller in (idle, partial, *unread):
        caller.close()


def test_a_running_request_is_answered_on_close(
    blocking: tuple[gateway.Listener, _BlockingHandler],
) -> None:
    """Guards against a close that looks as if the caller had disconnected.

    The forwarder cancels a run whose caller stops sending.
    """
    listener, handler = blocking
    caller = _connect(
        listener, b"GET /slow HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    )
    assert handler.running.wait(2.0)
    assert listener.busy == 1
    assert not listener.close(0.05)
    handler.may_answer.set()
    assert caller.recv(1_000) == _ANSWER
    caller.close()
    assert listener.close(2.0)


def test_a_connection_that_waits_for_a_thread_is_answered_on_close(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against resets of connections that no thread has served yet.

    An idle connection keeps the only thread until the listener closes.
    """
    monkeypatch.setattr(gateway_listener, "_MAX_CONNECTIONS", 1)
    listener = gateway.Listener(
        "test", "127.0.0.1:0", _BlockingHandler(), core.SystemClock()
    )
    listener.start()
    idle = _connect(listener, b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    assert idle.recv(1_000) == _ANSWER
    waiting = _connect(listener)
    while listener.open_connections < 2:
        time.sleep(0.01)
    assert listener.close(2.0)
    assert waiting.recv(1_000) == _ANSWER
    idle.close()
    waiting.close()


def test_thread_start_failure_does_not_end_the_listener(
    listener: gateway.Listener, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a failure to start a thread that stops accepting."""
    submit = listener._pool.submit
    failed: list[Any] = []

    def fail_once(*args: Any) -> Any:
        if not failed:
            failed.append(args)
            raise RuntimeError("can't start new thread")
        return submit(*args)

    monkeypatch.setattr(listener._pool, "submit", fail_once)
    listener.start()
    first = _connect(listener)
    with contextlib.suppress(ConnectionResetError):
        assert first.recv(1_000) == b""
    second = _connect(listener)
    assert second.recv(1_000) == _ANSWER
    first.close()
    second.close()


@pytest.mark.parametrize(
    "sent",
    [
        b"\x00" * 100,
        b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
        b"GET / HTTP/1.1\r\n" + b"A: \xff\xfe\r\n" * 3 + b"\r\n",
        b"",
    ],
)
def test_malformed_bytes_do_not_end_the_listener(
    listener: gateway.Listener, sent: bytes
) -> None:
    """Guards against a malformed request that ends the listener."""
    listener.start()
    broken = socket.create_connection(("127.0.0.1", listener.port))
    broken.sendall(sent)
    broken.close()
    caller = _connect(listener)
    assert caller.recv(1_000) == _ANSWER
    caller.close()


class _LimitedHandler(_FixedHandler):
    """Answers every request; the limits may be replaced at any time."""

    def __init__(self, limits: routing.Limits) -> None:
        self.current = limits

    def limits(self) -> routing.Limits:
        return self.current

    def handle(
        self,
        request: gateway.Request,
        caller: gateway.Connection,
        keep_alive: bool,
    ) -> bool:
        return caller.send_all(_ANSWER) and keep_alive


@pytest.fixture
def limited() -> Iterator[tuple[_LimitedHandler, gateway.Listener]]:
    handler = _LimitedHandler(
        routing.Limits(
            max_header_bytes=200, max_body_bytes=100, idle_timeout_s=0.3
        )
    )
    limited_listener = gateway.Listener(
        "test", "127.0.0.1:0", handler, core.SystemClock()
    )
    limited_listener.start()
    yield handler, limited_listener
    limited_listener.stop_accepting()


_KEPT_REQUEST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%b\r\n"


@pytest.mark.parametrize(
    ("changes", "request_bytes", "pause_s"),
    [
        pytest.param(
            {"max_body_bytes": 1_000},
            _KEPT_REQUEST % (500, b"") + b"x" * 500,
            0.0,
            id="body",
        ),
        pytest.param(
            {"max_header_bytes": 2_000},
            _KEPT_REQUEST % (0, b"X-A: " + b"a" * 1_000 + b"\r\n"),
            0.0,
            id="head",
        ),
        pytest.param(
            {"idle_timeout_s": 5.0},
            _KEPT_REQUEST % (0, b""),
            0.6,
            id="idle time",
        ),
    ],
)
def test_limits_that_are_raised_hold_for_idle_connections(
    limited: tuple[_LimitedHandler, gateway.Listener],
    changes: dict[str, Any],
    request_bytes: bytes,
    pause_s: float,
) -> None:
    """Guards against connections that keep the limits of an older document.

    The limits were read before the wait for the next request.
    """
    handler, limited_listener = limited
    with _connect(limited_listener, _KEPT_REQUEST % (0, b"")) as caller:
        assert caller.recv(65_536) == _ANSWER
        # The connection is idle by then.
        time.sleep(0.1)
        handler.current = dataclasses.replace(handler.current, **changes)
        time.sleep(pause_s)
        caller.sendall(request_bytes)
        assert caller.recv(65_536) == _ANSWER


def test_limits_do_not_change_within_a_request(
    limited: tuple[_LimitedHandler, gateway.Listener],
) -> None:
    """Guards against a body that was allowed when it began to arrive."""
    handler, limited_listener = limited
    request_bytes = _KEPT_REQUEST % (90, b"")
    with _connect(limited_listener, request_bytes) as caller:
        time.sleep(0.1)
        handler.current = dataclasses.replace(handler.current, max_body_bytes=9)
        caller.sendall(b"x" * 90)
        assert caller.recv(65_536) == _ANSWER


def test_request_bodies_share_one_budget() -> None:
    """Guards against bodies that only together exceed the memory.

    Sixty-four callers that each stopped just before the end of a 4 MiB body
    took 256 MB; an instance has 200 MB.
    """
    clock = core.SystemClock()
    # Leaves 32 MB to connections.
    pool = gateway.ConnectionPool(gateway.ProcessLimits(107.0), clock)
    listener = gateway.Listener(
        "test", "127.0.0.1:0", _FixedHandler(), clock, pool
    )
    listener.start()
    size = 4 << 20
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
    callers = []
    for _ in range(12):
        caller = socket.create_connection(("127.0.0.1", listener.port))
        caller.settimeout(5.0)
        with contextlib.suppress(OSError):
            caller.sendall(head % size + b"x" * (size - 1))
        callers.append(caller)
    time.sleep(0.2)
    assert pool.budget.usage().peak_bytes <= 32 << 20
    small = _connect(listener)
    assert small.recv(1_000) == _ANSWER
    small.close()
    for caller in callers:
        caller.close()
    deadline_s = time.monotonic() + 5.0
    while pool.budget.usage().charged_bytes and time.monotonic() < deadline_s:
        time.sleep(0.02)
    assert pool.budget.usage().charged_bytes == 0
    assert pool.budget.usage().peak_bytes <= 32 << 20
    listener.stop_accepting()
