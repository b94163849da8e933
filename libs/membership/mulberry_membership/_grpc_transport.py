"""Exchanges over gRPC."""

import threading

import grpc

import mulberry_core as core
from mulberry_membership import _transport
from mulberry_wire import peer_pb2, peer_pb2_grpc

# gRPC answers messages with pings to estimate the bandwidth, which exchanges
# of some tens of bytes do not need.
_NO_BANDWIDTH_PROBES = ("grpc.http2.bdp_probe", 0)
#: Options for the server that the service for exchanges is registered on.
SERVER_OPTIONS = (_NO_BANDWIDTH_PROBES, ("grpc.so_reuseport", 0))
#: A peer that restarts should be reached within a second, the time after
#: which it would be suspected; the default backoff grows to two minutes.
_CHANNEL_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    # Proxies of the environment must not see traffic between instances.
    ("grpc.enable_http_proxy", 0),
    _NO_BANDWIDTH_PROBES,
    # Several instances in one process, as in tests, must not share a socket.
    ("grpc.use_local_subchannel_pool", 1),
)


class GrpcTransport(_transport.PeerTransport):
    """Keeps one channel to each peer."""

    def __init__(
        self,
        credentials: grpc.ChannelCredentials
        | core.Missing = core.Missing.UNSET,
    ) -> None:
        """Creates a transport without connections.

        Args:
            credentials: For TLS; unset for plain TCP.
        """
        self._credentials = credentials
        self._lock = threading.Lock()
        self._channels_by_address: dict[str, grpc.Channel] = {}
        self._stubs_by_address: dict[str, peer_pb2_grpc.PeersStub] = {}

    def exchange(
        self,
        address: str,
        request: peer_pb2.ExchangeRequest,
        timeout_s: float,
    ) -> peer_pb2.ExchangeResponse | core.Refusal:
        """Calls the peer; any failure of the call is a refusal."""
        try:
            response: peer_pb2.ExchangeResponse = self._stub(address).Exchange(
                request, timeout=timeout_s
            )
        except (grpc.RpcError, ValueError) as error:
            # ValueError: the channel was closed by another thread.
            return core.Refusal(
                core.ErrorKind.UPSTREAM_FAILED,
                core.RunState.UNKNOWN,
                f"exchange with {address} failed: {_reason(error)}",
            )
        return response

    def disconnect(self, address: str) -> None:
        """Closes the channel to the address."""
        with self._lock:
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

    def Exchange(  # noqa: N802 - the name that gRPC generates
        self,
        request: peer_pb2.ExchangeRequest,
        context: grpc.ServicerContext,
    ) -> peer_pb2.ExchangeResponse:
        return self._handler.handle_exchange(request)


def add_peers_service(
    server: grpc.Server, handler: _transport.PeerHandler
) -> None:
    """Registers the service for exchanges on the server of the instance."""
    peer_pb2_grpc.add_PeersServicer_to_server(  # type: ignore[no-untyped-call]
        _Servicer(handler), server
    )


def _reason(error: grpc.RpcError | ValueError) -> str:
    if isinstance(error, grpc.Call):
        return f"{error.code()} {error.details()}"
    return str(error)
