"""Tests of connections that cannot be opened."""

import resource
import socket

import pytest

import mulberry_gateway as gateway

_RESET = gateway.ConnectionFailure.RESET


@pytest.mark.parametrize(
    "address", ["", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000"]
)
def test_an_invalid_address_fails(address: str) -> None:
    """Guards against an announced address that ends the task of a request."""
    assert gateway.Connection.connect(address, 1.0) is _RESET


def test_a_process_without_free_files_cannot_connect() -> None:
    """Guards against a request that ends without an answer."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        host, port = server.getsockname()
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (3, limits[1]))
        try:
            failure = gateway.Connection.connect(f"{host}:{port}", 1.0)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
    assert failure is _RESET
