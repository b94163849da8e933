"""Channels that are closed while in use, or stall."""

from collections.abc import Iterator
from concurrent import futures
from typing import Any

import grpc
import pytest

import mulberry_standins as standins
from mulberry_state import _channels, _peers
from mulberry_wire import log_pb2, log_pb2_grpc, state_pb2, state_pb2_grpc


def test_call_after_close_is_unreachable() -> None:
    """Guards against a crash in gRPC when a voter stops during an election."""
    channels = _channels.Channels(_channels.open_insecure)
    address = "127.0.0.1:1"
    stubs: tuple[tuple[Any, str, Any], ...] = (
        (log_pb2_grpc.LogPeerStub, "Hello", log_pb2.HelloRequest()),
        (state_pb2_grpc.StateStub, "Status", state_pb2.StatusRequest()),
    )
    # The second stub would be created on a channel that is already closed.
    channels.call(address, *stubs[0], 0.2)
    channels.close()
    for stub in stubs:
        reply = channels.call(address, *stub, 0.2)
        assert isinstance(reply, _peers.Unreachable)


class _Voter(state_pb2_grpc.StateServicer):
    def Status(  # noqa: N802 (name of the gRPC method)
        self, request: state_pb2.StatusRequest, context: grpc.ServicerContext
    ) -> state_pb2.StatusReply:
        return state_pb2.StatusReply(name="a")


@pytest.fixture(name="relay")
def fixture_relay() -> Iterator[standins.Relay]:
    server = grpc.server(futures.ThreadPoolExecutor(4))
    state_pb2_grpc.add_StateServicer_to_server(_Voter(), server)  # type: ignore[no-untyped-call]
    port = server.add_insecure_port("127.0.0.1:0")
    server.start()
    relay = standins.Relay(f"127.0.0.1:{port}")
    yield relay
    relay.close()
    server.stop(0)


def test_stalled_connection_is_replaced(
    relay: standins.Relay,
) -> None:
    """Guards against a missing lease long after a partition has healed.

    A connection that was open during the partition stays stalled until TCP
    retransmits, while a new connection works immediately.
    """
    channels = _channels.Channels(_channels.open_insecure)
    request = state_pb2.StatusRequest()

    def ask() -> Any:
        return channels.call(
            relay.address, state_pb2_grpc.StateStub, "Status", request, 0.5
        )

    assert not isinstance(ask(), _peers.Unreachable)
    relay.blackhole()
    replies = [ask() for _ in range(4)]
    assert isinstance(replies[0], _peers.Unreachable)
    assert not isinstance(replies[-1], _peers.Unreachable)
    channels.close()
