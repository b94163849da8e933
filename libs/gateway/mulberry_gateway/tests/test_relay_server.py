"""Tests of connections to upstreams through another instance."""

import contextlib
import hashlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator

import pytest

import mulberry_gateway as gateway
from mulberry_gateway import (
    _byte_relay,
    _connection,
    _relay_protocol,
    _relay_server,
)
from mulberry_gateway.tests import relay_harness

Resources = relay_harness.Resources
_CLOSED = gateway.ConnectionFailure.CLOSED
_RESET = gateway.ConnectionFailure.RESET
_TIMEOUT = gateway.ConnectionFailure.TIMEOUT
_Reason = _relay_protocol.Reason
#: Larger than what the system buffers for the connections of a relay.
_BODY = os.urandom(1 << 20) * 10


def _read_to_end(connection: socket.socket) -> bytes:
    data = b""
    while part := connection.recv(65_536):
        data += part
    return data


@pytest.mark.parametrize("ending", ["close", "reset"])
def test_the_end_of_the_upstream_is_passed_on(
    resources: Resources, ending: str
) -> None:
    """Guards against a broken answer without a length that looks complete."""

    def answer(connection: socket.socket) -> None:
        connection.sendall(b"got " + connection.recv(100))
        # The reset would overtake the answer otherwise.
        connection.recv(1)
        if ending == "reset":
            relay_harness.reset(connection)

    server = resources.server(answer)
    upstream = relay_harness.upstream("i-1", server.address)
    relay = resources.relay("r1", upstream)
    connection = relay_harness.open_relayed(relay.candidate, upstream)
    assert connection.receive(0.0) is _TIMEOUT
    assert connection.send_all(b"hello")
    assert connection.receive(relay_harness.LIMIT_S) == b"got hello"
    assert connection.send_all(b".")
    end = _CLOSED if ending == "close" else _RESET
    assert connection.receive(relay_harness.LIMIT_S) is end
    assert connection.receive(relay_harness.LIMIT_S) is end
    assert relay_harness.wait_for(connection.is_closed)
    connection.close()
    assert relay.counters.count("gateway.relay.served") == 1
    assert relay_harness.wait_for(lambda: not relay.server.open_connections)


def test_a_reset_that_a_send_met_first_is_no_end_in_order() -> None:
    """Guards against a broken answer without a length that looks complete.

    The system reports a reset once. After a send had got it, reading showed
    the end of the connection.
    """
    connection, remote = relay_harness.connected_pair()
    relay_harness.reset(remote)
    assert relay_harness.wait_for(connection.is_closed)
    assert connection.send(b"a") is _RESET
    assert connection.receive(1.0) is _RESET
    connection.close()
    connection, remote = relay_harness.connected_pair()
    remote.sendall(b"answer")
    remote.close()
    assert connection.receive(1.0) == b"answer"
    assert connection.receive(1.0) is _CLOSED
    connection.close()


@pytest.mark.parametrize(
    "line",
    [
        b"\n",
        b"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
        b"x" * 2_000,
        b"x" * 5_000 + b"\n",
        b'{"upstream": "i-1"}\n',
        b'{"upstream": "i-1", "address": "x", "timeout_ms": 1}\nearly bytes',
    ],
)
def test_malformed_lines_are_refused(resources: Resources, line: bytes) -> None:
    """Guards against bytes of unknown origin that reach an upstream."""
    relay = resources.relay("r1")
    connection, answer = relay_harness.ask(relay.server.address, line)
    assert _relay_protocol.decode_answer(answer) is _Reason.UNKNOWN
    _, end = relay_harness.receive_all(connection)
    assert end in (_CLOSED, _RESET)
    connection.close()
    assert not relay.links.started


def test_slow_lines_keep_no_other_sender_waiting(
    resources: Resources, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against senders that open connections and send nothing."""
    monkeypatch.setattr(_relay_server, "_LINE_TIMEOUT_S", 0.2)
    server = resources.server(lambda connection: connection.sendall(b"ok"))
    upstream = relay_harness.upstream("i-1", server.address)
    relay = resources.relay("r1", upstream)
    host, _, port = relay.server.address.rpartition(":")
    slow = [
        socket.create_connection((host, int(port)), relay_harness.LIMIT_S)
        for _ in range(32)
    ]
    for connection in slow:
        connection.sendall(b"{")
    relayed = relay_harness.open_relayed(relay.candidate, upstream)
    assert relay_harness.receive_all(relayed) == (b"ok", _CLOSED)
    relayed.close()
    for connection in slow:
        answer = _read_to_end(connection)
        assert _relay_protocol.decode_answer(answer) is _Reason.UNKNOWN
        connection.close()


def test_connections_beyond_the_limit_are_closed(
    resources: Resources, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against memory and threads that grow with waiting senders."""
    monkeypatch.setattr(_relay_server, "MAX_OPEN", 1)
    monkeypatch.setattr(_relay_server, "_MAX_OPENING", 1)
    relay = resources.relay("r1")
    host, _, port = relay.server.address.rpartition(":")
    first = [
        socket.create_connection((host, int(port)), relay_harness.LIMIT_S)
        for _ in range(3)
    ]
    assert first[2].recv(100) == b""
    for connection in first:
        connection.close()


@pytest.mark.parametrize(
    ("case", "reason"),
    [
        ("unknown name", _Reason.UNKNOWN),
        ("other address", _Reason.UNKNOWN),
        ("leaving", _Reason.LEAVING),
        ("full", _Reason.BUSY),
        ("upstream refuses", _Reason.REFUSED),
        ("upstream hangs", _Reason.TIMEOUT),
        ("link cut", _Reason.CUT_OFF),
        ("all links refuse", _Reason.CUT_OFF),
        ("all links hang", _Reason.CUT_OFF),
    ],
)
def test_refusals_name_their_reason(
    resources: Resources,
    monkeypatch: pytest.MonkeyPatch,
    case: str,
    reason: _relay_protocol.Reason,
) -> None:
    """Guards against a relay that blames an upstream for its own links."""
    server = resources.server(lambda connection: None)
    upstream = relay_harness.upstream("i-1", server.address)
    relay = resources.relay("r1", upstream)
    asked = upstream
    match case:
        case "unknown name":
            asked = relay_harness.upstream("i-2", server.address)
        case "other address":
            asked = relay_harness.upstream("i-1", "127.0.0.1:1")
        case "leaving":
            relay.server.leave()
        case "full":
            monkeypatch.setattr(_relay_server, "MAX_OPEN", 0)
        case "upstream refuses" | "all links refuse":
            relay.links.cut = relay_harness.Cut.REFUSE
        case "upstream hangs" | "all links hang":
            relay.links.cut = relay_harness.Cut.HANG
        case "link cut":
            relay.recorder.direct_failed("i-1", _TIMEOUT)
            relay.recorder.relay_opened("i-1", "r2")
    if case.startswith("all links"):
        relay.recorder.direct_failed(relay_harness.OTHER, _TIMEOUT)
    connection, answer = relay_harness.ask(
        relay.server.address, relay_harness.request_line(asked, 50)
    )
    assert _relay_protocol.decode_answer(answer) is reason
    connection.close()
    assert relay_harness.wait_for(lambda: not relay.server.open_connections)
    assert server.accepted == 0


def test_a_leaving_relay_keeps_its_open_connections(
    resources: Resources,
) -> None:
    """Guards against runs that a planned stop of a relay cuts off."""
    server = resources.server(
        lambda connection: connection.sendall(connection.recv(100))
    )
    upstream = relay_harness.upstream("i-1", server.address)
    relay = resources.relay("r1", upstream)
    connection = relay_harness.open_relayed(relay.candidate, upstream)
    relay.server.stop()
    assert relay.server.open_connections == 1
    assert connection.send_all(b"late")
    assert relay_harness.receive_all(connection) == (b"late", _CLOSED)
    connection.close()
    assert relay_harness.wait_for(lambda: not relay.server.open_connections)


def test_an_idle_connection_lives_as_long_as_both_ends(
    resources: Resources,
) -> None:
    """Guards against long runs that a relay ends because nothing arrives."""
    proceed = threading.Event()

    def answer(connection: socket.socket) -> None:
        proceed.wait(relay_harness.LIMIT_S)
        connection.sendall(b"late")

    server = resources.server(answer)
    upstream = relay_harness.upstream("i-1", server.address)
    relay = resources.relay("r1", upstream)
    connection = relay_harness.open_relayed(relay.candidate, upstream)
    # Longer than each timeout of the opening.
    time.sleep(1.2)
    assert not connection.is_closed()
    proceed.set()
    assert relay_harness.receive_all(connection) == (b"late", _CLOSED)
    connection.close()


def test_large_bodies_pass_both_ways_at_once(resources: Resources) -> None:
    """Guards against directions that wait for each other, and lost bytes.

    The upstream reads nothing until it has sent everything, and the sender
    reads slowly.
    """
    digests: list[str] = []

    def answer(connection: socket.socket) -> None:
        connection.sendall(_BODY)
        data = bytearray()
        while len(data) < len(_BODY):
            data += connection.recv(65_536)
        digests.append(hashlib.sha256(data).hexdigest())
        connection.sendall(b"end")

    server = resources.server(answer)
    upstream = relay_harness.upstream("i-1", server.address)
    relay = resources.relay("r1", upstream)
    connection = relay_harness.open_relayed(relay.candidate, upstream)
    sent = threading.Thread(target=connection.send_all, args=(_BODY,))
    sent.start()
    received: list[bytes] = []
    while isinstance(part := connection.receive(relay_harness.LIMIT_S), bytes):
        received.append(part)
        time.sleep(0.002)
    sent.join()
    assert part is _CLOSED
    assert b"".join(received) == _BODY + b"end"
    assert digests == [hashlib.sha256(_BODY).hexdigest()]
    connection.close()


def test_a_sender_that_reads_nothing_stops_the_upstream(
    resources: Resources,
) -> None:
    """Guards against a relay that keeps what its sender does not read."""
    sent_bytes = 0

    def answer(connection: socket.socket) -> None:
        nonlocal sent_bytes
        connection.settimeout(0.5)
        while sent_bytes < 1 << 28:
            sent_bytes += connection.send(b"x" * 65_536)

    server = resources.server(answer)
    upstream = relay_harness.upstream("i-1", server.address)
    relay = resources.relay("r1", upstream)
    connection = relay_harness.open_relayed(relay.candidate, upstream)
    assert server.ended.wait(relay_harness.LIMIT_S)
    # What the system buffers for four sockets; the relay keeps 64 KiB.
    assert sent_bytes < 1 << 26
    connection.close()


def test_an_early_answer_arrives_although_the_body_is_not_read(
    resources: Resources,
) -> None:
    """Guards against an answer that is lost with the rest of the request."""
    answer = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
    read = threading.Event()

    def respond(connection: socket.socket) -> None:
        connection.recv(100)
        connection.sendall(answer)
        # Closing resets the connection, because the body is not read.
        read.wait(relay_harness.LIMIT_S)

    server = resources.server(respond)
    upstream = relay_harness.upstream("i-1", server.address)
    relay = resources.relay("r1", upstream)
    connection = relay_harness.open_relayed(relay.candidate, upstream)
    unsent = _BODY
    received: bytes | gateway.ConnectionFailure = _TIMEOUT
    while received is _TIMEOUT:
        sent = connection.send(unsent)
        assert isinstance(sent, int)
        unsent = unsent[sent:]
        received = connection.receive(0.0)
    assert received == answer
    read.set()
    assert connection.receive(relay_harness.LIMIT_S) is _RESET
    connection.close()
    assert relay_harness.wait_for(lambda: not relay.server.open_connections)


@pytest.mark.parametrize("ending", ["close", "half close", "reset"])
def test_the_end_of_the_sender_cancels_the_run(
    resources: Resources, ending: str
) -> None:
    """Guards against runs that go on for nobody.

    A relayed connection has no half-closed sender: its end is always that of
    the request.
    """
    received: list[bytes] = []

    def wait_for_end(connection: socket.socket) -> None:
        received.append(connection.recv(100))
        received.append(connection.recv(100))

    server = resources.server(wait_for_end)
    upstream = relay_harness.upstream("i-1", server.address)
    relay = resources.relay("r1", upstream)
    connection = relay_harness.open_relayed(relay.candidate, upstream)
    assert connection.send_all(b"request")
    assert relay_harness.wait_for(lambda: bool(received))
    match ending:
        case "close":
            connection.close()
        case "half close":
            connection._connection.finish_sending()
        case "reset":
            relay_harness.reset(connection._connection._sock)
    assert server.ended.wait(relay_harness.LIMIT_S)
    assert received == [b"request", b""]
    assert relay_harness.wait_for(lambda: not relay.server.open_connections)
    connection.close()


@pytest.mark.parametrize("when", ["before reading", "after reading"])
def test_nothing_is_forwarded_once_the_sender_has_closed(when: str) -> None:
    """Guards against a suspended relay that delivers a request given up."""
    sender, remote_sender = relay_harness.connected_pair()
    upstream, remote_upstream = relay_harness.connected_pair()
    remote_sender.sendall(b"POST /deposits")

    class Suspended(_byte_relay.ByteRelay):
        def _read_sender(self) -> None:
            super()._read_sender()
            remote_sender.close()

    if when == "before reading":
        remote_sender.close()
        _byte_relay.ByteRelay(sender, upstream).run()
    else:
        Suspended(sender, upstream).run()
    upstream.close()
    assert remote_upstream.recv(100) == b""
    sender.close()
    remote_upstream.close()


def test_a_relay_reports_a_sender_that_has_gone_while_it_connects(
    resources: Resources,
) -> None:
    """Guards against losing paths that keep a relay busy."""
    server = resources.server(lambda connection: None)
    upstream = relay_harness.upstream("i-1", server.address)
    relay = resources.relay("r1", upstream)
    relay.links.cut = relay_harness.Cut.HANG
    connection = gateway.Connection.connect(relay.server.address, 1.0)
    assert isinstance(connection, gateway.Connection)
    connection.send_all(relay_harness.request_line(upstream, 60_000))
    assert relay_harness.wait_for(lambda: relay.server.open_connections == 1)
    connection.close()
    assert relay_harness.wait_for(lambda: not relay.server.open_connections)
    assert not relay.recorder.health.is_relayed("i-1")


_PROCESS = """
import sys, time
import mulberry_core as core
import mulberry_gateway as gateway
from mulberry_gateway.tests import relay_harness
relay = relay_harness.Relay("r1", relay_harness.upstream("i-1", sys.argv[1]))
print(relay.server.address, flush=True)
time.sleep(60)
"""


@contextlib.contextmanager
def _relay_process(
    upstream_address: str,
) -> Iterator[tuple[subprocess.Popen[str], gateway.Relay]]:
    process = subprocess.Popen(
        [sys.executable, "-c", _PROCESS, upstream_address],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    with process:
        try:
            address = process.stdout.readline().strip()
            yield process, gateway.Relay("r1", address)
        finally:
            process.kill()


def _is_stopped(pid: int) -> bool:
    """Whether all threads of a process have stopped; a signal takes a while."""
    states = [
        stat.read_text().rpartition(")")[2].split()[0]
        for stat in pathlib.Path(f"/proc/{pid}/task").glob("*/stat")
    ]
    return set(states) == {"T"}


def test_a_killed_relay_resets_both_ends(resources: Resources) -> None:
    """Guards against an answer that ends early and looks complete."""
    received: list[bytes] = []

    def answer(connection: socket.socket) -> None:
        connection.sendall(b"HTTP/1.1 200 OK\r\n\r\nhalf of")
        received.append(connection.recv(100))

    server = resources.server(answer)
    upstream = relay_harness.upstream("i-1", server.address)
    with _relay_process(server.address) as (process, relay):
        connection = relay_harness.open_relayed(relay, upstream)
        assert isinstance(connection.receive(relay_harness.LIMIT_S), bytes)
        process.kill()
        assert connection.receive(relay_harness.LIMIT_S) is _RESET
    assert server.ended.wait(relay_harness.LIMIT_S)
    assert received in ([b""], [])
    connection.close()


def test_a_suspended_relay_delivers_no_request_that_was_given_up(
    resources: Resources,
) -> None:
    """Guards against a call that runs after its caller was told of a failure."""
    received: list[bytes] = []
    server = resources.server(
        lambda connection: received.append(_read_to_end(connection))
    )
    upstream = relay_harness.upstream("i-1", server.address)
    with _relay_process(server.address) as (process, relay):
        connection = relay_harness.open_relayed(relay, upstream)
        process.send_signal(signal.SIGSTOP)
        assert relay_harness.wait_for(lambda: _is_stopped(process.pid))
        assert connection.send_all(b"POST /deposits")
        assert connection.receive(0.1) is _TIMEOUT
        connection.close()
        process.send_signal(signal.SIGCONT)
        assert server.ended.wait(relay_harness.LIMIT_S)
    assert received == [b""]


def test_the_wait_for_a_relay_ends_with_the_caller(
    resources: Resources,
) -> None:
    """Guards against runs over a relay that outlive their caller."""
    ended = threading.Event()

    def stay_silent(connection: socket.socket) -> None:
        ended.wait(relay_harness.LIMIT_S)

    server = resources.server(stay_silent)
    upstream = relay_harness.upstream("i-1", server.address)
    relay = resources.relay("r1", upstream)
    connection = relay_harness.open_relayed(relay.candidate, upstream)
    caller, remote = relay_harness.connected_pair()
    remote.close()
    gone = _connection.ConnectionFailure.PARTNER_GONE
    assert connection.receive(relay_harness.LIMIT_S, caller) is gone
    ended.set()
    connection.close()
    caller.close()
