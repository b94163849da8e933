"""Tests of stopping the HTTP server while requests arrive."""

import socket
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from cheroot import connections

import mulberry_core as core
import mulberry_entry as entry
import mulberry_rules as rules
import mulberry_standins as standins

_CALLERS = 8
_REQUEST = b"GET / HTTP/1.1\r\nHost: entry\r\n\r\n"


def _app(environ: dict[str, Any], start: Callable[..., Any]) -> Iterator[bytes]:
    start("200 OK", [("Content-Length", "2")])
    yield b"ok"


def _read_answer(caller: socket.socket) -> bytes:
    data = b""
    while not data.endswith(b"ok"):
        part = caller.recv(65_536)
        if not part:
            break
        data += part
    return data


def test_received_requests_are_answered_on_stop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against connection resets for requests received at the stop.

    The requests arrive after the server's last poll, on new connections and
    on keep-alive connections.
    """
    timers = core.TimerService(core.SystemClock())
    timers.start()
    with standins.ReservedPorts(1) as ports:
        host, _, port = ports.addresses[0].rpartition(":")
        address = (host, int(port))
        server = entry.HttpServer(
            ports.addresses[0], _app, rules.Limits(), timers
        )
        server.start()
        keep_alive = [
            socket.create_connection(address) for _ in range(_CALLERS)
        ]
        for caller in keep_alive:
            caller.sendall(_REQUEST)
            assert _read_answer(caller).endswith(b"ok")
        # A connection may be closed right after its response, but not once the
        # server has returned it to the pool of idle connections.
        manager: Any = server._server._connections
        while manager._num_connections < _CALLERS:
            time.sleep(0.01)
        new: list[socket.socket] = []
        original_stop = connections.ConnectionManager.stop

        def stop_with_late_requests(
            manager: connections.ConnectionManager,
        ) -> None:
            original_stop(manager)
            new.extend(
                socket.create_connection(address) for _ in range(_CALLERS)
            )
            for caller in (*keep_alive, *new):
                caller.sendall(_REQUEST)

        monkeypatch.setattr(
            connections.ConnectionManager, "stop", stop_with_late_requests
        )
        server.stop()
        for caller in (*keep_alive, *new):
            caller.settimeout(10.0)
            with caller:
                assert _read_answer(caller).endswith(b"ok")
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)
    timers.stop()
