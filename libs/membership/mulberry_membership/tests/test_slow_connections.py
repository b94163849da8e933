"""Tests of gRPC connections over links with long delays."""

import contextlib
import socket
import threading
import time
from collections.abc import Iterator
from concurrent import futures

import grpc
import pytest

import mulberry_core as core
import mulberry_membership as membership
from mulberry_wire import peer_pb2


class _Peer(membership.PeerHandler):
    def handle_exchange(
        self, request: peer_pb2.ExchangeRequest
    ) -> peer_pb2.ExchangeResponse:
        return peer_pb2.ExchangeResponse(session=7)


class _Link:
    """Forwards connections, each byte after a delay."""

    def __init__(self, address: str, delay_s: float = 0.0) -> None:
        #: Number of connections so far.
        self.accepted = 0
        self._stalled = threading.Event()
        host, _, port = address.rpartition(":")
        self._target = (host, int(port))
        self._delay_s = delay_s
        self._server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def stall(self) -> None:
        """Forwards no more on the connections that are open now."""
        self._stalled.set()
        self._stalled = threading.Event()

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self._server.shutdown(socket.SHUT_RDWR)
        self._server.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._server.accept()
            except OSError:
                return
            self.accepted += 1
            far = socket.create_connection(self._target)
            for source, sink in ((near, far), (far, near)):
                threading.Thread(
                    target=self._forward,
                    args=(source, sink, self._stalled),
                    daemon=True,
                ).start()

    def _forward(
        self,
        source: socket.socket,
        sink: socket.socket,
        stalled: threading.Event,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65_536):
                time.sleep(self._delay_s)
                if stalled.is_set():
                    return
                sink.sendall(data)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_RDWR)


@pytest.fixture(name="resources")
def _resources() -> Iterator[contextlib.ExitStack]:
    with contextlib.ExitStack() as stack:
        yield stack


@pytest.fixture(name="peer_address")
def _peer_address() -> Iterator[str]:
    server = grpc.server(futures.ThreadPoolExecutor(4))
    port = server.add_insecure_port("127.0.0.1:0")
    membership.add_peers_service(server, _Peer())
    server.start()
    yield f"127.0.0.1:{port}"
    server.stop(grace=None).wait()


def _exchange_until_successful(
    transport: membership.GrpcTransport, address: str, attempts: int
) -> int:
    """Returns after how many failures an exchange succeeds, or `attempts`."""
    for failed in range(attempts):
        response = transport.exchange(
            address, peer_pb2.ExchangeRequest(sender="own"), 0.5
        )
        if not isinstance(response, core.Refusal):
            return failed
        time.sleep(0.25)
    return attempts


def test_slow_connection_attempt_is_not_given_up(
    peer_address: str, resources: contextlib.ExitStack
) -> None:
    """Guards against attempts that end while the link is only full.

    Packets then wait for some 0.1 s, after which each attempt to reach a
    restarted instance was ended.
    """
    link = _Link(peer_address, delay_s=0.2)
    resources.callback(link.close)
    transport = membership.GrpcTransport()
    resources.callback(transport.close)
    assert _exchange_until_successful(transport, link.address, 8) < 8
    assert link.accepted == 1


def test_stalled_connection_is_replaced(
    peer_address: str, resources: contextlib.ExitStack
) -> None:
    """Guards against exchanges that fail for long after a partition.

    TCP sends the bytes of an open connection again only after as long again as
    the partition lasted. New connections work at once.
    """
    link = _Link(peer_address)
    resources.callback(link.close)
    transport = membership.GrpcTransport()
    resources.callback(transport.close)
    assert _exchange_until_successful(transport, link.address, 8) < 8
    link.stall()
    assert _exchange_until_successful(transport, link.address, 8) <= 2
