"""Channels that are closed while tasks still call."""

from typing import Any

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
    # The second stub would be made on a channel that is closed by then.
    channels.call(address, *stubs[0], 0.2)
    channels.close()
    for stub in stubs:
        reply = channels.call(address, *stub, 0.2)
        assert isinstance(reply, _peers.Unreachable)
