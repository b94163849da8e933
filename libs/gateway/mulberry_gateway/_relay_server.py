"""Opens connections to upstreams for other instances that cannot reach them."""

import contextlib
import select
import socket
import threading
import time
from collections.abc import Callable

from absl import logging

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
from mulberry_gateway import (
    _byte_relay,
    _connection,
    _connection_threads,
    _link_recorder,
    _relay_protocol,
)

#: Open relayed connections by default; further ones are refused. Each takes a
#: thread and up to 128 KiB.
MAX_OPEN = 256
#: Connections that were accepted and are not open yet; further ones are closed.
_MAX_OPENING = 64
_BACKLOG = 128
_ACCEPT_PERIOD_S = 1.0
#: Time for the whole line of the sender, seconds. It sends the line at once.
_LINE_TIMEOUT_S = 1.0
#: Longest time to connect to an upstream, seconds, whatever the sender asks.
_MAX_CONNECT_S = 1.0
#: Interval between keepalive probes of an idle sender, seconds.
_KEEPALIVE_S = 3
#: Time after which a sender that confirms neither bytes nor probes counts as
#: lost, milliseconds. Longer than `WRITE_STALL_S`, for which a sender may wait
#: for its own caller and take no bytes.
_SENDER_TIMEOUT_MS = 15_000
_READ_HANGUP = getattr(select, "POLLRDHUP", 0x2000)

_REASON_BY_FAILURE = {
    _connection.ConnectionFailure.RESET: _relay_protocol.Reason.REFUSED,
    _connection.ConnectionFailure.TIMEOUT: _relay_protocol.Reason.TIMEOUT,
}


class RelayServer:
    """Serves one address until stopped, each connection on its own task."""

    def __init__(
        self,
        address: str,
        find_upstream: Callable[[str], membership.Upstream | core.Missing],
        recorder: _link_recorder.LinkRecorder,
        counters: core.Counters,
        start_connecting: _connection.ConnectionStarter = (
            _connection.Connection.start_connecting
        ),
        max_open: int | None = None,
    ) -> None:
        """Binds the address.

        Args:
            address: `IP:PORT` to listen at.
            find_upstream: Returns an announced upstream by name.
            recorder: Told how direct connections went.
            counters: Counts relayed connections.
            start_connecting: Replaced by tests, to cut links.
            max_open: Lowers `MAX_OPEN` on a machine with few descriptors.
        """
        host, _, port = address.rpartition(":")
        self._find_upstream = find_upstream
        self._recorder = recorder
        self._counters = counters
        self._start_connecting = start_connecting
        self._max_open = MAX_OPEN if max_open is None else max_open
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind((host, int(port)))
        self._threads = _connection_threads.ConnectionThreads(
            self._max_open + _MAX_OPENING, "relay"
        )
        self._lock = threading.Lock()
        #: Accepted connections, and those of them that were admitted.
        self._accepted = 0
        self._open = 0
        self._is_leaving = False
        self._stopping = threading.Event()

    @property
    def address(self) -> str:
        """The address that the server is bound to."""
        host, port = self._sock.getsockname()
        return f"{host}:{port}"

    @property
    def open_connections(self) -> int:
        """Number of relayed connections that are open or being opened."""
        with self._lock:
            return self._open

    def start(self) -> None:
        """Starts to accept connections."""
        self._sock.listen(_BACKLOG)
        self._sock.settimeout(_ACCEPT_PERIOD_S)
        threading.Thread(
            target=self._accept, name="relay-accept", daemon=True
        ).start()

    def leave(self) -> None:
        """Refuses further connections to upstreams; open ones continue."""
        with self._lock:
            self._is_leaving = True

    def stop(self) -> None:
        """Stops to accept connections."""
        self.leave()
        if self._stopping.is_set():
            return
        self._stopping.set()
        # close() alone would leave the address open for accept().
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def join(self) -> None:
        """Waits until all relayed connections are closed."""
        self._threads.join()

    def _accept(self) -> None:
        while not self._stopping.is_set():
            try:
                sock, _ = self._sock.accept()
            except TimeoutError:
                continue
            except OSError as error:
                if not self._stopping.is_set():
                    logging.warning("relay: accept failed: %s", error)
                    self._stopping.wait(0.05)
                continue
            self._submit(sock)

    def _submit(self, sock: socket.socket) -> None:
        with self._lock:
            is_full = self._accepted >= self._max_open + _MAX_OPENING
            self._accepted += not is_full
        if is_full:
            self._counters.increment("gateway.relay.refused")
            sock.close()
            return
        try:
            self._threads.submit(lambda: self._serve(sock))
        except RuntimeError:
            logging.exception("relay: no thread for a new connection")
            with self._lock:
                self._accepted -= 1
            sock.close()

    def _serve(self, sock: socket.socket) -> None:
        try:
            self._serve_connection(_connection_to_sender(sock))
        except OSError:
            # The sender reset the connection before it was served.
            sock.close()
        except Exception:
            logging.exception("relay: connection task failed")
            sock.close()
        finally:
            with self._lock:
                self._accepted -= 1

    def _serve_connection(self, sender: _connection.Connection) -> None:
        request = _read_request(sender)
        if isinstance(request, core.Missing):
            self._answer_refusal(sender, _relay_protocol.Reason.UNKNOWN)
            return
        reason = self._refuse(request)
        if isinstance(reason, _relay_protocol.Reason):
            self._answer_refusal(sender, reason)
            return
        try:
            self._relay(sender, request)
        finally:
            sender.close()
            with self._lock:
                self._open -= 1

    def _refuse(
        self, request: _relay_protocol.OpenRequest
    ) -> _relay_protocol.Reason | core.Missing:
        """Returns why a request is refused; counts it as open otherwise."""
        upstream = self._find_upstream(request.upstream)
        if (
            isinstance(upstream, core.Missing)
            or upstream.address != request.address
        ):
            return _relay_protocol.Reason.UNKNOWN
        with self._lock:
            if self._is_leaving:
                return _relay_protocol.Reason.LEAVING
            if self._open >= min(self._max_open, MAX_OPEN):
                return _relay_protocol.Reason.BUSY
            order = self._recorder.health.choose_order(request.upstream)
            if order is decisions.PathOrder.RELAYS_FIRST:
                return _relay_protocol.Reason.CUT_OFF
            self._open += 1
        return core.Missing.UNSET

    def _relay(
        self,
        sender: _connection.Connection,
        request: _relay_protocol.OpenRequest,
    ) -> None:
        upstream = self._connect(sender, request)
        if upstream is _connection.ConnectionFailure.PARTNER_GONE:
            return
        if isinstance(upstream, _connection.ConnectionFailure):
            self._recorder.direct_failed(request.upstream, upstream)
            self._answer_refusal(
                sender, self._reason(request.upstream, upstream)
            )
            return
        self._recorder.direct_opened(request.upstream)
        self._counters.increment("gateway.relay.served")
        try:
            if sender.send_all(_relay_protocol.OPENED_LINE):
                _byte_relay.ByteRelay(sender, upstream).run()
        finally:
            upstream.close()

    def _reason(
        self, upstream: str, failure: _connection.ConnectionFailure
    ) -> _relay_protocol.Reason:
        """Returns the reason for a failure to reach an upstream.

        Unless other links of this instance work, its own link may be at fault.
        """
        health = self._recorder.health
        if health.is_relayed(upstream) or not health.vouches_for_links(
            upstream
        ):
            return _relay_protocol.Reason.CUT_OFF
        return _REASON_BY_FAILURE[failure]

    def _connect(
        self,
        sender: _connection.Connection,
        request: _relay_protocol.OpenRequest,
    ) -> _connection.Connection | _connection.ConnectionFailure:
        """Connects to the upstream unless the sender closes meanwhile."""
        until_s = time.monotonic() + min(
            _MAX_CONNECT_S, request.timeout_ms / 1000
        )
        upstream = self._start_connecting(request.address)
        if isinstance(upstream, _connection.ConnectionFailure):
            return upstream
        poller = select.poll()
        poller.register(upstream.fileno(), select.POLLOUT)
        poller.register(sender.fileno(), _READ_HANGUP)
        left_s = until_s - time.monotonic()
        ready = {fd for fd, _ in poller.poll(max(0.0, left_s * 1000))}
        failure = (
            _connection.ConnectionFailure.PARTNER_GONE
            if sender.fileno() in ready
            else _connection.ConnectionFailure.TIMEOUT
            if not ready
            else upstream.finish_connecting()
        )
        if isinstance(failure, _connection.ConnectionFailure):
            upstream.close()
            return failure
        return upstream

    def _answer_refusal(
        self,
        sender: _connection.Connection,
        reason: _relay_protocol.Reason,
    ) -> None:
        self._counters.increment("gateway.relay.refused")
        sender.send(_relay_protocol.encode_refusal(reason))
        sender.close_gracefully()


def _connection_to_sender(sock: socket.socket) -> _connection.Connection:
    """Prepares an accepted connection so that a lost sender is noticed."""
    connection = _connection.Connection(sock)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, _SENDER_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, _KEEPALIVE_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_S),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    return connection


def _read_request(
    sender: _connection.Connection,
) -> _relay_protocol.OpenRequest | core.Missing:
    """Reads the line of the sender; unset if it is malformed or late."""
    until_s = time.monotonic() + _LINE_TIMEOUT_S
    line = b""
    while b"\n" not in line:
        if len(line) >= _relay_protocol.MAX_LINE_BYTES:
            return core.Missing.UNSET
        data = sender.receive(until_s - time.monotonic())
        if isinstance(data, _connection.ConnectionFailure):
            return core.Missing.UNSET
        line += data
    # Nothing may follow before the answer.
    if not line.endswith(b"\n") or len(line) > _relay_protocol.MAX_LINE_BYTES:
        return core.Missing.UNSET
    return _relay_protocol.OpenRequest.decode(line)
