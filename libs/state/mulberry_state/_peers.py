"""Interface for calls between voters; tests substitute the transport."""

import abc
import dataclasses
from typing import Any, Generic, TypeVar

from google.protobuf import message

from mulberry_wire import log_pb2

_Q = TypeVar("_Q", bound=message.Message)
_R = TypeVar("_R", bound=message.Message)


@dataclasses.dataclass(frozen=True)
class Method(Generic[_Q, _R]):
    """One method of the gRPC service `LogPeer`."""

    name: str
    request_type: type[_Q]
    reply_type: type[_R]


VOTE = Method("Vote", log_pb2.VoteRequest, log_pb2.VoteReply)
APPEND = Method("Append", log_pb2.AppendRequest, log_pb2.AppendReply)
INSTALL = Method("Install", log_pb2.InstallRequest, log_pb2.InstallReply)
TRANSFER = Method("Transfer", log_pb2.TransferRequest, log_pb2.TransferReply)
HELLO = Method("Hello", log_pb2.HelloRequest, log_pb2.HelloReply)


@dataclasses.dataclass(frozen=True)
class Unreachable:
    """No reply arrived; the request may have been handled."""

    reason: str
    #: Whether the other instance does not know the method: it runs a build
    #: without it, and has done nothing.
    is_unimplemented: bool = False


class PeerTransport(abc.ABC):
    """Calls other voters; thread-safe."""

    @abc.abstractmethod
    def call(
        self,
        address: str,
        method: Method[_Q, _R],
        request: _Q,
        timeout_s: float,
    ) -> _R | Unreachable:
        """Returns the reply of the voter at `address`."""


class PeerHandler(abc.ABC):
    """Handles the calls of other voters."""

    @abc.abstractmethod
    def handle(self, method: str, request: Any) -> Any:
        """Returns the reply to a request for the method with this name.

        Raises:
            StorageError: This voter has failed and takes part no longer.
        """
