"""gRPC transport and service for exchanges between peers."""

import threading

import grpc

import mulberry_core as core
from mulberry_membership import _addresses, _transport
from mulberry_wire import peer_pb2, peer_pb2_grpc

# Disables the pings by which gRPC estimates the bandwidth: exchanges of some
# tens of bytes do not need the estimate.
_NO_BANDWIDTH_PROBES = ("grpc.http2.bdp_probe", 0)
#: Options for the server that hosts the peers service.
SERVER_OPTIONS = (_NO_BANDWIDTH_PROBES, ("grpc.so_reuseport", 0))
#: A restarted peer must be reconnected within one second, after which it would
#: be suspected. The default backoff grows to two minutes.
_CHANNEL_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    # Also the shortest time that an attempt to connect gets, in which the link
    # of the peer may be full.
    ("grpc.min_reconnect_backoff_ms", 500),
    ("grpc.max_reconnect_backoff_ms", 500),
    # Traffic between instances must not go through an HTTP proxy that is
    # configured in the environment.
    ("grpc.enable_http_proxy", 0),
    _NO_BANDWIDTH_PROBES,
    # Several instances in one process, as in tests, must not share a
    # connection.
    ("grpc.use_local_subchannel_pool", 1),
)
#: Consecutive timeouts after which a channel is replaced. A connection that
#: was open during a partition stalls for as long again as the partition lasted,
#: until TCP retransmits.
_MAX_TIMEOUTS_IN_A_ROW = 2


class GrpcTransport(_transport.PeerTransport):
    """Peer transport with one gRPC channel per peer address."""

    def __init__(
        self,
        credentials: grpc.ChannelCredentials
        | core.Missing = core.Missing.UNSET,
    ) -> None:
        """Creates a transport; channels are opened on first use.

        Args:
            credentials: TLS credentials; unset for plain TCP.
        """
        self._credentials = credentials
        self._lock = threading.Lock()
        self._channels_by_address: dict[str, grpc.Channel] = {}
        self._stubs_by_address: dict[str, peer_pb2_grpc.PeersStub] = {}
        self._timeouts_by_address: dict[str, int] = {}

    def exchange(
        self,
        address: str,
        request: peer_pb2.ExchangeRequest,
        timeout_s: float,
    ) -> peer_pb2.ExchangeResponse | core.Refusal:
        """Calls the peer; returns a refusal if the call fails.

        An address of a member record that is none fails, too: gRPC would look
        up a name, and takes a port modulo 65,536, which is another process.
        """
        if not _addresses.is_endpoint(address):
            return _failure(address, "it is no address IP:PORT")
        try:
            response: peer_pb2.ExchangeResponse = self._stub(address).Exchange(
                request, timeout=timeout_s
            )
        except (grpc.RpcError, ValueError) as error:
            # gRPC raises ValueError if another thread has closed the channel.
            self._count_timeout(address, error)
            return _failure(address, _reason(error))
        with self._lock:
            self._timeouts_by_address.pop(address, None)
        return response

    def _count_timeout(
        self, address: str, error: grpc.RpcError | ValueError
    ) -> None:
        """Counts a timeout and closes a channel after too many."""
        if (
            not isinstance(error, grpc.Call)
            or error.code() is not grpc.StatusCode.DEADLINE_EXCEEDED
        ):
            return
        with self._lock:
            timeouts = self._timeouts_by_address.get(address, 0) + 1
            self._timeouts_by_address[address] = timeouts
        if timeouts >= _MAX_TIMEOUTS_IN_A_ROW:
            self.disconnect(address)

    def disconnect(self, address: str) -> None:
        """Closes the channel to the address."""
        with self._lock:
            self._timeouts_by_address.pop(address, None)
            channel = self._channels_by_address.pop(address, None)
            self._stubs_by_address.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Closes all channels."""
        with self._lock:
            addresses = list(self._channels_by_address)
        for address in addresses:
            self.disconnect(address)

    def _stub(self, address: str) -> peer_pb2_grpc.PeersStub:
        with self._lock:
            stub = self._stubs_by_address.get(address)
            if stub is None:
                channel = self._open_channel(address)
                stub = peer_pb2_grpc.PeersStub(channel)  # type: ignore[no-untyped-call]
                self._channels_by_address[address] = channel
                self._stubs_by_address[address] = stub
            return stub

    def _open_channel(self, address: str) -> grpc.Channel:
        if isinstance(self._credentials, core.Missing):
            return grpc.insecure_channel(address, options=_CHANNEL_OPTIONS)
        return grpc.secure_channel(
            address, self._credentials, options=_CHANNEL_OPTIONS
        )


class _Servicer(peer_pb2_grpc.PeersServicer):
    def __init__(self, handler: _transport.PeerHandler) -> None:
        self._handler = handler

    def Exchange(  # noqa: N802 - name generated by gRPC
        self,
        request: peer_pb2.ExchangeRequest,
        context: grpc.ServicerContext,
    ) -> peer_pb2.ExchangeResponse:
        return self._handler.handle_exchange(request)


def add_peers_service(
    server: grpc.Server, handler: _transport.PeerHandler
) -> None:
    """Registers the peers service, which handles exchanges, on a server."""
    peer_pb2_grpc.add_PeersServicer_to_server(  # type: ignore[no-untyped-call]
        _Servicer(handler), server
    )


def _failure(address: str, reason: str) -> core.Refusal:
    return core.Refusal(
        core.ErrorKind.UPSTREAM_FAILED,
        core.RunState.UNKNOWN,
        f"exchange with {address} failed: {reason}",
    )


def _reason(error: grpc.RpcError | ValueError) -> str:
    if isinstance(error, grpc.Call):
        return f"{error.code()} {error.details()}"
    return str(error)
