"""Strict framing of callers' requests.

Guards against request smuggling, where two parties see different ends of one
message, and against truncated requests that are taken as complete.
"""

import socket
from collections.abc import Iterator

import pytest

import mulberry_core as core
import mulberry_gateway as gateway
import mulberry_routing as routing

_LIMITS = routing.Limits(
    max_header_bytes=2_000,
    max_body_bytes=1_000,
    header_timeout_s=0.2,
    idle_timeout_s=0.2,
)
_HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\n"


@pytest.fixture
def pair() -> Iterator[tuple[socket.socket, gateway.RequestReader]]:
    server = socket.create_server(("127.0.0.1", 0))
    caller = socket.create_connection(server.getsockname())
    accepted, _ = server.accept()
    server.close()
    connection = gateway.Connection(accepted)
    yield (
        caller,
        gateway.RequestReader(connection, lambda: _LIMITS, core.SystemClock()),
    )
    caller.close()
    connection.close()


Pair = tuple[socket.socket, gateway.RequestReader]


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(
            _HEAD + b"Content-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            id="length beside chunked",
        ),
        pytest.param(
            _HEAD + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            id="two lengths",
        ),
        pytest.param(
            _HEAD + b"Content-Length : 3\r\n\r\nabc", id="space before colon"
        ),
        pytest.param(_HEAD + b"Content-Length: +3\r\n\r\nabc", id="sign"),
        pytest.param(
            _HEAD + b"Content-Length: 1_0\r\n\r\nabcdefghij", id="underscore"
        ),
        pytest.param(_HEAD + b"X-A: b\r\n c\r\n\r\n", id="folded header"),
        pytest.param(b"GET /a HTTP/1.1\r\n\r\n", id="no host"),
        pytest.param(
            b"GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", id="two hosts"
        ),
        pytest.param(
            _HEAD
            + b"Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n",
            id="chunk size in C notation",
        ),
        pytest.param(
            _HEAD + b"Transfer-Encoding: chunked\r\n\r\n-1\r\nabc\r\n0\r\n\r\n",
            id="negative chunk size",
        ),
        pytest.param(
            b"GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n", id="absolute target"
        ),
        pytest.param(b"\x16\x03\x01\x02\x00\x01\x00", id="not HTTP"),
    ],
)
def test_malformed_requests_are_rejected(pair: Pair, data: bytes) -> None:
    caller, reader = pair
    caller.sendall(data)
    fault = reader.read()
    assert isinstance(fault, gateway.InvalidRequest)
    assert fault.kind is core.ErrorKind.BAD_REQUEST


@pytest.mark.parametrize(
    ("data", "kind"),
    [
        (
            b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 3_000 + b"\r\n\r\n",
            core.ErrorKind.HEADERS_TOO_LARGE,
        ),
        (
            _HEAD + b"Content-Length: 5000\r\n\r\n",
            core.ErrorKind.REQUEST_TOO_LARGE,
        ),
        (_HEAD + b"Content-Length: 5\r\n", core.ErrorKind.REQUEST_TIMEOUT),
    ],
)
def test_limits_are_enforced(
    pair: Pair, data: bytes, kind: core.ErrorKind
) -> None:
    caller, reader = pair
    caller.sendall(data)
    fault = reader.read()
    assert isinstance(fault, gateway.InvalidRequest)
    assert fault.kind is kind


def test_truncated_request_is_never_returned(pair: Pair) -> None:
    caller, reader = pair
    caller.sendall(_HEAD + b"Content-Length: 10\r\n\r\nabc")
    caller.shutdown(socket.SHUT_WR)
    assert reader.read() is gateway.ConnectionFailure.CLOSED


def test_pipelined_requests_are_returned_one_by_one(pair: Pair) -> None:
    caller, reader = pair
    caller.sendall(
        _HEAD + b"Content-Length: 2\r\n\r\nab"
        b"GET /b?x=%2F HTTP/1.1\r\nHost: h\r\n\r\n"
    )
    first, second = reader.read(), reader.read()
    assert isinstance(first, gateway.Request)
    assert isinstance(second, gateway.Request)
    assert (first.target, first.body) == ("/a", b"ab")
    assert (second.target, second.path) == ("/b?x=%2F", "/b")


@pytest.mark.parametrize(
    "target", ["/a%2Fb/../c;d=e?q=%20x", "//double", "/%zz"]
)
def test_targets_are_kept_undecoded(pair: Pair, target: str) -> None:
    """Guards against decoding and re-encoding, which can change the path."""
    caller, reader = pair
    caller.sendall(f"GET {target} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
    request = reader.read()
    assert isinstance(request, gateway.Request)
    assert request.target == target


def test_chunked_bodies_are_joined(pair: Pair) -> None:
    caller, reader = pair
    caller.sendall(
        _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        b"2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n"
    )
    request = reader.read()
    assert isinstance(request, gateway.Request)
    assert request.body == b"abcde"
    assert request.has_body
