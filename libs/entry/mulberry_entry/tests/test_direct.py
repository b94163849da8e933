"""Tests of the direct writer, which bypasses the HTTP server."""

import json
import socket
import threading
import types
from collections.abc import Iterator

import pytest

import mulberry_core as core
from mulberry_entry import _direct
from mulberry_entry.tests import harness


@pytest.fixture
def socket_pair() -> Iterator[tuple[socket.socket, socket.socket]]:
    server, caller = socket.socketpair()
    server.settimeout(20)
    caller.settimeout(20)
    with server, caller:
        yield server, caller


def _request(server: socket.socket, chunked: bool) -> types.SimpleNamespace:
    connection = types.SimpleNamespace(socket=server)
    return types.SimpleNamespace(conn=connection, chunked_write=chunked)


def _read_all(caller: socket.socket) -> bytes:
    received = b""
    while block := caller.recv(65_536):
        received += block
    return received


@pytest.mark.parametrize("chunked", [False, True])
def test_slow_caller_gets_every_byte(
    socket_pair: tuple[socket.socket, socket.socket], chunked: bool
) -> None:
    """Guards against lost bytes when a caller reads slowly."""
    server, caller = socket_pair
    writer = _direct.direct_writer(_request(server, chunked))
    assert isinstance(writer, _direct.DirectWriter)
    blocks = [b"%07d" % number * 1000 for number in range(400)]
    expected = b"".join(
        b"%x\r\n%b\r\n" % (len(block), block) if chunked else block
        for block in blocks
    )
    blocked_writes = 0
    reader: threading.Thread | None = None
    received: list[bytes] = []
    for block in blocks:
        if not writer.write(block):
            blocked_writes += 1
            if reader is None:
                # Reading starts only after the first block was buffered.
                reader = threading.Thread(
                    target=lambda: received.append(_read_all(caller))
                )
                reader.start()
            writer.flush()
    writer.close()
    server.shutdown(socket.SHUT_WR)
    assert reader is not None
    reader.join()
    assert blocked_writes > 0
    assert received == [expected]


def test_write_to_disconnected_caller_raises(
    socket_pair: tuple[socket.socket, socket.socket],
) -> None:
    """Guards against a stream that continues after the caller left."""
    server, caller = socket_pair
    writer = _direct.direct_writer(_request(server, True))
    assert isinstance(writer, _direct.DirectWriter)
    caller.close()
    with pytest.raises(OSError):
        writer.write(b"x")


def test_unsupported_sockets_use_the_server_path() -> None:
    """Guards against plaintext written to a TLS connection."""

    class Encrypted(socket.socket):
        """Stand-in for the socket of a TLS connection."""

    with Encrypted() as encrypted, socket.socket() as blocking:
        encrypted.settimeout(1)
        for caller in (encrypted, blocking):
            found = _direct.direct_writer(_request(caller, True))
            assert found is core.Missing.UNSET
    assert _direct.direct_writer(None) is core.Missing.UNSET


def test_long_answer_to_slow_caller_is_complete() -> None:
    """Guards against chunks lost between event loop and caller."""
    entry = harness.Harness()
    tokens = 20_000
    try:
        entry.add_engine(
            "engine-1", tokens=tokens, tokens_per_s=1e9, first_token_ms=0.0
        )
        host, port = entry.address.split(":")
        messages = [{"role": "user", "content": "a long plan"}]
        body = json.dumps({"model": "m", "stream": True, "messages": messages})
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            "Content-Type: application/json\r\nConnection: close\r\n"
            f"Authorization: Bearer {harness.KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.settimeout(60)
            caller.connect((host, int(port)))
            caller.sendall((head + body).encode())
            received = _read_all(caller)
    finally:
        entry.stop()
    assert received.count(b'"delta":{"content":') == tokens
    assert b"data: [DONE]" in received
    assert received.endswith(b"0\r\n\r\n")
