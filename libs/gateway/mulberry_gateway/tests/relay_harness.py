"""Relays, upstreams and links that can be cut, in one process."""

import contextlib
import enum
import socket
import threading
import time
from collections.abc import Callable, Sequence

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_gateway as gateway
import mulberry_membership as membership
from mulberry_gateway import _relay_protocol, _upstream_call

#: Longest wait for something that must happen, seconds.
LIMIT_S = 10.0
#: Name of an upstream that every relay has reached, so that it can tell
#: whether its own links work.
OTHER = "other"


class Cut(enum.Enum):
    """What happens to new connections over a link."""

    NONE = "none"
    HANG = "hang"
    REFUSE = "refuse"


class Links:
    """The direct links of one instance; each can be cut."""

    def __init__(self) -> None:
        self.cut_by_address: dict[str, Cut] = {}
        #: Applies to all other addresses.
        self.cut = Cut.NONE
        self.started: list[str] = []
        #: Time that the start of a connection takes, seconds.
        self.start_delay_s = 0.0
        #: Has a full backlog, so that no further connection is accepted.
        self._hanging = socket.create_server(("127.0.0.1", 0), backlog=0)
        self._fillers = [socket.socket() for _ in range(4)]
        for filler in self._fillers:
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(self._hanging.getsockname())

    def start_connecting(
        self, address: str
    ) -> gateway.Connection | gateway.ConnectionFailure:
        self.started.append(address)
        time.sleep(self.start_delay_s)
        cut = self.cut_by_address.get(address, self.cut)
        if cut is Cut.REFUSE:
            return gateway.ConnectionFailure.RESET
        if cut is Cut.HANG:
            host, port = self._hanging.getsockname()
            address = f"{host}:{port}"
        return gateway.Connection.start_connecting(address)

    def close(self) -> None:
        for sock in (self._hanging, *self._fillers):
            sock.close()


class Server:
    """A TCP server that runs a script on each connection."""

    def __init__(self, script: Callable[[socket.socket], None]) -> None:
        self.accepted = 0
        #: Set when a script has ended.
        self.ended = threading.Event()
        self._script = script
        self._server = socket.create_server(("127.0.0.1", 0))
        host, port = self._server.getsockname()
        self.address = f"{host}:{port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self._server.shutdown(socket.SHUT_RDWR)
        self._server.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._server.accept()
            except OSError:
                return
            self.accepted += 1
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            connection.settimeout(LIMIT_S)
            self._script(connection)
        self.ended.set()


class Relay:
    """An instance that relays connections."""

    def __init__(self, name: str, *upstreams: membership.Upstream) -> None:
        self.name = name
        self.links = Links()
        self.counters = core.MemoryCounters()
        self.recorder = recorder(self.counters)
        self.recorder.direct_opened(OTHER)
        self.upstream_by_name = {u.name: u for u in upstreams}
        self.server = gateway.RelayServer(
            "127.0.0.1:0",
            lambda name: self.upstream_by_name.get(name, core.Missing.UNSET),
            self.recorder,
            self.counters,
            self.links.start_connecting,
        )
        self.server.start()

    @property
    def candidate(self) -> gateway.Relay:
        return gateway.Relay(self.name, self.server.address)

    def close(self) -> None:
        self.server.stop()
        self.links.close()


class FixedRelays(gateway.RelaySource):
    """Candidates that a test sets."""

    def __init__(self, *relays: gateway.Relay) -> None:
        self.candidates: Sequence[gateway.Relay] = relays

    def relays(self) -> Sequence[gateway.Relay]:
        return self.candidates


def recorder(
    counters: core.Counters, clock: core.Clock | None = None
) -> gateway.LinkRecorder:
    clock = clock or core.SystemClock()
    return gateway.LinkRecorder(
        decisions.LinkHealth(clock), counters, core.DecisionLog(clock)
    )


def upstream(name: str, address: str) -> membership.Upstream:
    return membership.Upstream(
        name=name,
        address=address,
        incarnation=1,
        sequence=1,
        state=membership.UpstreamState.READY,
        zone="gent",
        versions=(),
        service="app",
        capacity=4,
        running=0,
        queued=0,
        checks_fencing=False,
        home="a",
        load_age_s=0.0,
    )


def ask(address: str, line: bytes) -> tuple[gateway.Connection, bytes]:
    """Sends a line to a relay; returns the connection and the answer."""
    connection = gateway.Connection.connect(address, LIMIT_S)
    assert isinstance(connection, gateway.Connection)
    assert connection.send_all(line)
    answer = connection.receive(LIMIT_S)
    return connection, answer if isinstance(answer, bytes) else b""


def request_line(upstream: membership.Upstream, timeout_ms: int = 300) -> bytes:
    return _relay_protocol.OpenRequest(
        upstream.name, upstream.address, timeout_ms
    ).encode()


def open_relayed(
    relay: gateway.Relay, upstream: membership.Upstream
) -> gateway.RelayedConnection:
    connection, answer = ask(relay.address, request_line(upstream))
    line, _, rest = answer.partition(b"\n")
    assert _relay_protocol.decode_answer(line) is True
    return gateway.RelayedConnection(connection, relay, rest)


def receive_all(
    connection: gateway.Connection | gateway.RelayedConnection,
) -> tuple[bytes, gateway.ConnectionFailure]:
    """Returns all bytes of a connection and how it ended."""
    parts: list[bytes] = []
    while isinstance(part := connection.receive(LIMIT_S), bytes):
        parts.append(part)
    return b"".join(parts), part


def connected_pair() -> tuple[gateway.Connection, socket.socket]:
    """Returns both ends of a TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        remote = socket.create_connection(server.getsockname())
        accepted, _ = server.accept()
    remote.settimeout(LIMIT_S)
    return gateway.Connection(accepted), remote


def reset(connection: socket.socket) -> None:
    """Closes a connection with a reset."""
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0"
    )
    connection.close()


def wait_for(condition: Callable[[], bool]) -> bool:
    """Waits until something holds; returns whether it does."""
    until_s = time.monotonic() + LIMIT_S
    while not condition() and time.monotonic() < until_s:
        time.sleep(0.01)
    return condition()


class Resources:
    """Closes what a test has created."""

    def __init__(self) -> None:
        self._stack = contextlib.ExitStack()

    def server(self, script: Callable[[socket.socket], None]) -> Server:
        server = Server(script)
        self._stack.callback(server.close)
        return server

    def relay(self, name: str, *upstreams: membership.Upstream) -> Relay:
        relay = Relay(name, *upstreams)
        self._stack.callback(relay.close)
        return relay

    def links(self) -> Links:
        links = Links()
        self._stack.callback(links.close)
        return links

    def close(self) -> None:
        self._stack.close()


def call(
    address: str,
    caller: gateway.Connection,
    limits: core.BodyLimits | None = None,
) -> _upstream_call.UpstreamCall:
    """Returns a call to an address without relays."""
    connector = gateway.UpstreamConnector(
        FixedRelays(), recorder(core.MemoryCounters())
    )
    return _upstream_call.UpstreamCall(
        connector, upstream("i-1", address), caller, limits
    )
