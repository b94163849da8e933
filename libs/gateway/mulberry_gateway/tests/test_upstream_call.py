"""Answers of upstreams are complete or reported as faults."""

import gc
import socket
import threading
import weakref
from collections.abc import Callable

import pytest

import mulberry_core as core
import mulberry_gateway as gateway
from mulberry_gateway import _upstream_call
from mulberry_gateway.tests import relay_harness

Fault = _upstream_call.Fault
_REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


def _serve(respond: Callable[[socket.socket], None]) -> str:
    """Accepts one connection, reads the request and calls `respond`."""
    server = socket.create_server(("127.0.0.1", 0))

    def run() -> None:
        connection, _ = server.accept()
        connection.recv(65_536)
        respond(connection)
        connection.close()
        server.close()

    threading.Thread(target=run, daemon=True).start()
    host, port = server.getsockname()
    return f"{host}:{port}"


def _caller() -> tuple[gateway.Connection, socket.socket]:
    host = socket.create_server(("127.0.0.1", 0))
    remote = socket.create_connection(host.getsockname())
    accepted, _ = host.accept()
    host.close()
    return gateway.Connection(accepted), remote


def _reset(connection: socket.socket) -> None:
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00"
    )
    connection.close()


def _answer(data: bytes, then_reset: bool = False) -> bytes | Fault:
    def respond(connection: socket.socket) -> None:
        connection.sendall(data)
        if then_reset:
            _reset(connection)

    caller, remote = _caller()
    call = relay_harness.call(_serve(respond), caller)
    assert call.send(_REQUEST, head_only=False) is core.Missing.UNSET
    head = call.read_head(1.0)
    result = head if isinstance(head, Fault) else call.read_body(1.0)
    call.close()
    caller.close()
    remote.close()
    return result


def test_a_closed_call_leaves_no_garbage() -> None:
    """Guards against requests and answers that outlive their call.

    The call and its parser refer to each other, and kept the rest of a request
    and of an answer until the next garbage collection.
    """
    caller, remote = _caller()
    gc.disable()
    try:
        call = relay_harness.call(
            _serve(lambda connection: connection.sendall(b"HTTP/1.1 200")),
            caller,
        )
        call.send(_REQUEST, head_only=False)
        assert isinstance(call.read_head(1.0), Fault)
        reference = weakref.ref(call)
        call.close()
        del call
        assert reference() is None
    finally:
        gc.enable()
        caller.close()
        remote.close()


@pytest.mark.parametrize(
    ("data", "then_reset", "wanted"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", False, b"ab"),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabEXTRA BYTES",
            False,
            b"ab",
        ),
        (
            b"HTTP/1.1 100 Continue\r\n\r\n"
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
            False,
            b"a",
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\na\r\n0\r\n\r\n",
            False,
            b"a",
        ),
        (b"HTTP/1.1 200 OK\r\n\r\nto the end", False, b"to the end"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", False, "truncated"),
        (b"HTTP/1.1 200 OK\r\n\r\nto the", True, "truncated"),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n",
            False,
            "truncated",
        ),
        (b"not an answer at all\r\n\r\n", False, "garbled"),
        (b"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n", False, "garbled"),
        (b"HTTP/1.1 099 X\r\n\r\nab", False, "garbled"),
        (b"HTTP/1.1 101 X\r\nContent-Length: 0\r\n\r\n", False, "garbled"),
        (b"HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n", False, "garbled"),
        (b"HTTP/1.1 999 X\r\n\r\nab", False, "garbled"),
        (
            b"HTTP/1.1 199 X\r\nContent-Length: 2\r\n\r\nab"
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
            False,
            "garbled",
        ),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
            False,
            "garbled",
        ),
        (b"", False, "no_answer"),
    ],
)
def test_answers_are_complete_or_reported_as_faults(
    data: bytes, then_reset: bool, wanted: bytes | str
) -> None:
    result = _answer(data, then_reset)
    assert (result.value if isinstance(result, Fault) else result) == wanted


def test_refused_connection_counts_as_not_sent() -> None:
    caller, remote = _caller()
    with socket.create_server(("127.0.0.1", 0)) as server:
        port = server.getsockname()[1]
    call = relay_harness.call(f"127.0.0.1:{port}", caller)
    assert call.send(_REQUEST, head_only=False) in _upstream_call.NOT_SENT
    caller.close()
    remote.close()


def test_caller_disconnect_ends_the_wait() -> None:
    """Guards against abandoned requests that keep an upstream busy."""
    caller, remote = _caller()
    release = threading.Event()

    def stay_silent(connection: socket.socket) -> None:
        del connection
        release.wait(5.0)

    address = _serve(stay_silent)
    call = relay_harness.call(address, caller)
    assert call.send(_REQUEST, head_only=False) is core.Missing.UNSET
    remote.close()
    assert call.read_head(5.0) is Fault.CALLER_GONE
    release.set()
    call.close()
    caller.close()


def test_early_answer_ends_sending_of_the_body() -> None:
    caller, remote = _caller()
    address = _serve(
        lambda connection: connection.sendall(
            b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
        )
    )
    call = relay_harness.call(address, caller)
    body = b"x" * 8_000_000
    data = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8000000\r\n\r\n"
    assert call.send(data + body, head_only=False) is core.Missing.UNSET
    head = call.read_head(2.0)
    assert isinstance(head, gateway.ResponseHead)
    assert head.status == 503
    call.close()
    caller.close()
    remote.close()


def test_a_withdrawn_call_ends_at_once_and_closes_its_connection() -> None:
    """Guards against requests that stay queued at an upstream."""
    ended = threading.Event()

    def wait_for_end(connection: socket.socket) -> None:
        if connection.recv(65_536) == b"":
            ended.set()

    caller, remote = _caller()
    call = relay_harness.call(_serve(wait_for_end), caller)
    assert call.send(_REQUEST, head_only=False) is core.Missing.UNSET
    timer = threading.Timer(0.1, call.withdraw)
    timer.start()
    assert call.read_head(60.0) is Fault.WITHDRAWN
    assert call.read_head(60.0) is Fault.WITHDRAWN
    call.close()
    assert ended.wait(10.0)
    call.withdraw()
    caller.close()
    remote.close()


def test_a_caller_that_left_is_noticed_without_waiting() -> None:
    """Guards against new attempts for a caller that left meanwhile."""
    caller, remote = _caller()
    upstream, _ = _caller()
    remote.close()
    partner_gone = gateway.ConnectionFailure.PARTNER_GONE
    assert upstream.receive(1.0, caller) is partner_gone
    assert upstream.receive(0.0, caller) is partner_gone


def test_an_answer_that_has_arrived_is_read_after_the_timeout() -> None:
    """Guards against a 504 for an answer that arrived during a freeze."""
    sent = threading.Event()
    body = b"x" * 50_000

    def respond(connection: socket.socket) -> None:
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n" + body
        )
        sent.set()

    caller, remote = _caller()
    call = relay_harness.call(_serve(respond), caller)
    assert call.send(_REQUEST, head_only=False) is core.Missing.UNSET
    assert sent.wait(5.0)
    assert isinstance(call.read_head(-1.0), gateway.ResponseHead)
    assert call.read_body(-1.0) == body
    call.close()
    caller.close()
    remote.close()
