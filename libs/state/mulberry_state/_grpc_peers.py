"""Calls between voters over gRPC."""

from collections.abc import Callable
from typing import Any, TypeVar

import grpc
from google.protobuf import message

from mulberry_state import _channels, _disk, _peers
from mulberry_wire import log_pb2, log_pb2_grpc

_Q = TypeVar("_Q", bound=message.Message)
_R = TypeVar("_R", bound=message.Message)


class GrpcPeerTransport(_peers.PeerTransport):
    """Calls the service `LogPeer` of other voters."""

    def __init__(self, channels: _channels.Channels) -> None:
        self._channels = channels

    def call(
        self,
        address: str,
        method: _peers.Method[_Q, _R],
        request: _Q,
        timeout_s: float,
    ) -> _R | _peers.Unreachable:
        """Returns the reply of the voter at `address`."""
        reply: _R | _peers.Unreachable = self._channels.call(
            address, log_pb2_grpc.LogPeerStub, method.name, request, timeout_s
        )
        return reply


class LogPeerServicer(log_pb2_grpc.LogPeerServicer):
    """Forwards the calls of other voters to the current replica."""

    def __init__(self, get_handler: Callable[[], _peers.PeerHandler]) -> None:
        self._get_handler = get_handler

    def Vote(  # noqa: N802 (name of the gRPC method)
        self, request: log_pb2.VoteRequest, context: grpc.ServicerContext
    ) -> log_pb2.VoteReply:
        """Handles a vote request."""
        return self._handle(_peers.VOTE, request, context)

    def Append(  # noqa: N802
        self, request: log_pb2.AppendRequest, context: grpc.ServicerContext
    ) -> log_pb2.AppendReply:
        """Appends records from the leader."""
        return self._handle(_peers.APPEND, request, context)

    def Install(  # noqa: N802
        self, request: log_pb2.InstallRequest, context: grpc.ServicerContext
    ) -> log_pb2.InstallReply:
        """Receives a chunk of a snapshot."""
        return self._handle(_peers.INSTALL, request, context)

    def Transfer(  # noqa: N802
        self, request: log_pb2.TransferRequest, context: grpc.ServicerContext
    ) -> log_pb2.TransferReply:
        """Starts an election because the leader transfers leadership."""
        return self._handle(_peers.TRANSFER, request, context)

    def Hello(  # noqa: N802
        self, request: log_pb2.HelloRequest, context: grpc.ServicerContext
    ) -> log_pb2.HelloReply:
        """Returns the name and identity of this voter and its group."""
        return self._handle(_peers.HELLO, request, context)

    def _handle(
        self,
        method: _peers.Method[Any, _R],
        request: Any,
        context: grpc.ServicerContext,
    ) -> _R:
        try:
            reply: _R = self._get_handler().handle(method.name, request)
            return reply
        except _disk.StorageError as error:
            context.abort(grpc.StatusCode.UNAVAILABLE, str(error))
            raise
