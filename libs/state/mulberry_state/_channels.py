"""gRPC channels by address."""

import threading
from collections.abc import Callable
from typing import Any, TypeVar

import grpc

from mulberry_state import _peers

_T = TypeVar("_T")

OpenChannel = Callable[[str], grpc.Channel]

#: Snapshot chunks have 1 MiB, records at most 3 MiB.
_MAX_MESSAGE_BYTES = 8 << 20

CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", _MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", _MAX_MESSAGE_BYTES),
    # By default gRPC reconnects after 1 s, backing off to two minutes: too
    # late for an election after a restart.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    # Instances connect directly, even if the environment sets a proxy.
    ("grpc.enable_http_proxy", 0),
    # A channel that replaces a stalled one must not share its connection.
    ("grpc.use_local_subchannel_pool", 1),
)
#: Consecutive timeouts after which a channel is replaced. A connection that
#: was open during a network partition can stall for as long again as the
#: partition lasted, until TCP retransmits. A single slow call is no evidence.
_MAX_TIMEOUTS_IN_A_ROW = 2
#: Addresses at which calls time out, with no reply from any address between,
#: after which all channels are replaced. The connections of this instance have
#: then gone silent together, and a client that tries one voter after the other
#: would wait for two time-outs at each. Only channels that have replied before
#: count: while a fleet starts, calls to instances that do not listen yet time
#: out, and new channels would cost each instance a tenth of its start.
_MAX_SILENT_ADDRESSES = 2


def open_insecure(address: str) -> grpc.Channel:
    """Opens a channel without TLS."""
    return grpc.insecure_channel(address, options=CHANNEL_OPTIONS)


class Channels:
    """Caches one channel per address, with its stubs."""

    def __init__(self, open_channel: OpenChannel) -> None:
        self._open = open_channel
        self._lock = threading.Lock()
        self._channel_by_address: dict[str, grpc.Channel] = {}
        self._stub_by_key: dict[tuple[str, Any], Any] = {}
        #: Consecutive timeouts by address.
        self._timeouts_by_address: dict[str, int] = {}
        #: Addresses with a timeout since the last reply of any address.
        self._silent_addresses: set[str] = set()
        #: Addresses whose channel has brought a reply.
        self._proven_addresses: set[str] = set()
        self._closed = False

    def stub(self, address: str, stub_type: Any) -> Any:
        """Returns the stub of a service at an address.

        Raises:
            ValueError: The channels are closed. Creating a stub on a closed
                channel crashes gRPC with a segmentation fault.
        """
        key = (address, stub_type)
        with self._lock:
            if self._closed:
                raise ValueError("the channels are closed")
            if key not in self._stub_by_key:
                channel = self._channel_by_address.get(address)
                if channel is None:
                    channel = self._open(address)
                    self._channel_by_address[address] = channel
                self._stub_by_key[key] = stub_type(channel)
            return self._stub_by_key[key]

    def call(
        self,
        address: str,
        stub_type: Any,
        method: str,
        request: Any,
        timeout_s: float,
    ) -> Any:
        """Returns the reply, or `Unreachable` with the reason."""
        try:
            stub = self.stub(address, stub_type)
            reply = getattr(stub, method)(request, timeout=timeout_s)
        except grpc.RpcError as error:
            if _code(error) is grpc.StatusCode.DEADLINE_EXCEEDED:
                self._count_timeout(address, stub_type, stub)
            return _peers.Unreachable(
                _reason(error),
                is_unimplemented=_code(error) is grpc.StatusCode.UNIMPLEMENTED,
            )
        except ValueError as error:
            # The channels are closed because this instance is stopping.
            return _peers.Unreachable(str(error))
        with self._lock:
            self._timeouts_by_address.pop(address, None)
            self._silent_addresses.clear()
            if address in self._channel_by_address:
                self._proven_addresses.add(address)
        return reply

    def _count_timeout(self, address: str, stub_type: Any, stub: Any) -> None:
        """Counts a timeout and drops channels after too many.

        Running calls keep a dropped channel alive until they end; their
        timeouts do not count against the channel that replaces it.
        """
        with self._lock:
            is_current = self._stub_by_key.get((address, stub_type)) is stub
            if not is_current or self._closed:
                return
            if address in self._proven_addresses:
                self._silent_addresses.add(address)
            timeouts = self._timeouts_by_address.get(address, 0) + 1
            self._timeouts_by_address[address] = timeouts
            if len(self._silent_addresses) >= _MAX_SILENT_ADDRESSES:
                self._drop(list(self._channel_by_address))
            elif timeouts >= _MAX_TIMEOUTS_IN_A_ROW:
                self._drop([address])

    def _drop(self, addresses: list[str]) -> None:
        """Makes the next calls to some addresses open new channels."""
        dropped = frozenset(addresses)
        self._silent_addresses -= dropped
        self._proven_addresses -= dropped
        for address in dropped:
            self._channel_by_address.pop(address, None)
            self._timeouts_by_address.pop(address, None)
        for key in [k for k in self._stub_by_key if k[0] in dropped]:
            del self._stub_by_key[key]

    def close(self) -> None:
        """Closes all channels; running and later calls fail."""
        with self._lock:
            self._closed = True
            for channel in self._channel_by_address.values():
                channel.close()


def _code(error: Any) -> grpc.StatusCode | None:
    # Errors of unary calls are also `grpc.Call` objects, which the types do
    # not declare.
    code = getattr(error, "code", None)
    return code() if code else None


def _reason(error: Any) -> str:
    code = _code(error)
    return f"{code.name}: {error.details()}" if code else str(error)
