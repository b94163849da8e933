"""Tests of the framing of bodies and of the memory that they share."""

import contextlib
import json
import re
import socket
import time
from collections.abc import Iterator

import pytest

import mulberry_rules as rules
from mulberry_entry.tests import harness

_BODY_BYTES = 4 << 20
_LIMITS = rules.Limits(
    max_body_bytes=_BODY_BYTES,
    max_streams=8,
    max_queue=4,
    max_memory_mb=100,
)
_KEY = f"Host: entry\r\nAuthorization: Bearer {harness.KEY}\r\n".encode()
_CHUNKED = (
    b"GET /v1/models HTTP/1.1\r\n" + _KEY + b"Transfer-Encoding: chunked\r\n"
)
_NEXT = b"GET /v1/models HTTP/1.1\r\n" + _KEY + b"Connection: close\r\n\r\n"
_CLIENTS = 6
_TIMEOUT_S = 10.0


@pytest.fixture
def entry() -> Iterator[harness.Harness]:
    started = harness.Harness(_LIMITS)
    yield started
    started.stop()


@pytest.mark.parametrize(
    ("body", "statuses"),
    [
        (b"0\r\n\r\n", [200, 200]),
        (b"3\r\nabc\r\n0\r\n\r\n", [200, 200]),
        (b"03;a=b\r\nabc\r\n0;c\r\nTrailer: x\r\nOther: y\r\n\r\n", [200, 200]),
        (b"+3\r\nabc\r\n0\r\n\r\n", [400]),
        (b"1_0\r\nabc\r\n0\r\n\r\n", [400]),
        (b"3\r\nabcd\r\n0\r\n\r\n", [400]),
        (b"-1\r\n\r\n0\r\n\r\n", [400]),
        (b"\r\n3\r\nabc\r\n0\r\n\r\n", [400]),
        (b"500000\r\n", [413]),
        (b"0\r\n" + b"A: b\r\n" * 6_000 + b"\r\n", [413]),
        (b"8;" + b"e" * 5_000 + b"\r\n", [400]),
    ],
)
def test_framing_in_chunks(
    entry: harness.Harness, body: bytes, statuses: list[int]
) -> None:
    """Guards against a body whose end is mistaken for the next request."""
    received = entry.send_raw(_CHUNKED + b"\r\n" + body + _NEXT)
    answered = re.findall(rb"HTTP/1\.1 (\d+) ", received)
    assert [int(status) for status in answered] == statuses


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 3\r\n\r\nabc",
        b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    ],
)
def test_a_connection_with_an_unread_body_is_closed(
    entry: harness.Harness, framing: bytes
) -> None:
    """Guards against an unread body that is taken for the next request."""
    head = b"GET /v1/entries HTTP/1.1\r\n" + _KEY
    received = entry.send_raw(head + framing + _NEXT)
    assert received.startswith(b"HTTP/1.1 200 ")
    assert received.count(b"HTTP/1.1 ") == 1
    assert b"\r\nConnection: close\r\n" in received


def test_requests_that_are_given_up_have_not_run(
    entry: harness.Harness,
) -> None:
    """Guards against a refusal for a request that runs.

    A refusal may be lost in the reset of a connection that was still sending.
    """
    entry.add_engine("engine-1")
    host, port = entry.address.split(":")
    start = b"POST /v1/chat/completions HTTP/1.1\r\n" + _KEY
    request = start + b"Content-Length: %d\r\n\r\n" % _BODY_BYTES
    budget = entry._server._server.budget
    with contextlib.ExitStack() as stack:
        callers = []
        for _ in range(_CLIENTS):
            caller = stack.enter_context(
                socket.create_connection((host, int(port)), _TIMEOUT_S)
            )
            callers.append(caller)
            with contextlib.suppress(OSError):
                caller.sendall(request + b" " * (_BODY_BYTES - 1))
        while budget.usage().connections:
            # The last ones end when their time to arrive is over.
            time.sleep(0.05)
        answers = [_read(caller) for caller in callers]
    usage = budget.usage()
    assert usage.closed + usage.refused
    assert usage.charged_bytes == 0
    for answer in filter(None, answers):
        head, _, body = answer.partition(b"\r\n\r\n")
        assert head.startswith((b"HTTP/1.1 503 ", b"HTTP/1.1 408 "))
        assert b"Retry-After: " in head
        assert json.JSONDecoder().raw_decode(body.decode())[0]["run"] == (
            "not_run"
        )
    assert entry.runs() == []
    assert entry.chat()[0] == 200
    assert len(entry.runs()) == 1


def _read(caller: socket.socket) -> bytes:
    received = b""
    with contextlib.suppress(OSError):
        while part := caller.recv(65_536):
            received += part
    return received
