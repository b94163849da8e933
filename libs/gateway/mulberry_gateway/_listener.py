"""Accepts connections and serves each on a task of its own."""

import abc
import contextlib
import socket
import threading
import time

from absl import logging

import mulberry_core as core
import mulberry_routing as routing
from mulberry_gateway import (
    _connection,
    _connection_pool,
    _messages,
    _request_reader,
    _settings,
)

#: Listen backlog. Many callers connect at once after a restart, and a dropped
#: SYN packet delays a connection by a second.
_BACKLOG = 512
#: Connections of a listener without a shared pool that are served at once.
_MAX_CONNECTIONS = 1_024
_ACCEPT_PERIOD_S = 1.0
_CLOSE_POLL_S = 0.01


class Handler(abc.ABC):
    """Answers the requests of one listener."""

    @abc.abstractmethod
    def handle(
        self,
        request: _messages.Request,
        caller: _connection.Connection,
        keep_alive: bool,
    ) -> bool:
        """Answers a request on the caller's connection.

        Returns:
            Whether to keep the connection for another request.
        """

    @abc.abstractmethod
    def reject(
        self,
        fault: _request_reader.InvalidRequest,
        caller: _connection.Connection,
    ) -> None:
        """Answers an invalid request."""

    def limits(self) -> routing.Limits:
        """Returns the current limits for callers' requests."""
        return routing.Limits()


class Listener:
    """Serves one address until stopped."""

    def __init__(
        self,
        name: str,
        address: str,
        handler: Handler,
        clock: core.Clock,
        pool: _connection_pool.ConnectionPool | None = None,
        is_reserved: bool = False,
    ) -> None:
        """Binds the address.

        Args:
            name: Shown in log lines.
            address: `IP:PORT`; with port 0 the system chooses one.
            handler: Answers the requests.
            clock: Source of time.
            pool: Shared by the listeners of a process; by default a separate
                one.
            is_reserved: Whether the connections may use the reserved share.
        """
        host, _, port = address.rpartition(":")
        self._name = name
        self._handler = handler
        self._clock = clock
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind((host, int(port)))
        self._pool = pool or _connection_pool.ConnectionPool(
            _settings.ProcessLimits(), clock, _MAX_CONNECTIONS
        )
        self._is_reserved = is_reserved
        self._accept_thread = threading.Thread(
            target=self._accept, name=f"{name}-accept", daemon=True
        )
        self._lock = threading.Lock()
        self._busy = 0
        #: Accepted and not closed yet, also those that wait for a thread.
        self._open: set[socket.socket] = set()
        #: Connections on which a request is awaited or being read.
        self._reading: set[_connection.Connection] = set()
        self._is_closing = False
        self._stopping = threading.Event()
        #: When set, each connection is closed after its next answer.
        self.draining = threading.Event()

    @property
    def port(self) -> int:
        """The port that the listener is bound to."""
        return int(self._sock.getsockname()[1])

    @property
    def busy(self) -> int:
        """Number of requests being answered."""
        with self._lock:
            return self._busy

    @property
    def open_connections(self) -> int:
        """Number of accepted connections that are not closed yet."""
        with self._lock:
            return len(self._open)

    def start(self) -> None:
        """Starts to accept connections."""
        self._sock.listen(_BACKLOG)
        self._sock.settimeout(_ACCEPT_PERIOD_S)
        self._accept_thread.start()

    def stop_accepting(self) -> None:
        """Refuses new connections; open ones are still served.

        Connections in the backlog are served too: closing the socket would
        reset them, together with requests that callers have already sent.
        """
        if self._stopping.is_set():
            return
        self._stopping.set()
        self._sock.settimeout(0.0)
        for _ in range(_BACKLOG):
            try:
                sock, _ = self._sock.accept()
            except OSError:
                # The backlog is empty.
                break
            self._submit_connection(sock)
        # While the accepting thread polls, close() would leave the socket
        # open: callers would connect, and be reset up to a second later.
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def close(self, timeout_s: float) -> bool:
        """Answers the requests that have arrived, closes all connections.

        The handler must refuse requests by now. A request that arrives later
        crosses the closing of its connection.

        Args:
            timeout_s: Longest wait for the connections to close.

        Returns:
            Whether all connections are closed.
        """
        self.stop_accepting()
        if self._accept_thread.is_alive():
            self._accept_thread.join(timeout_s)
        with self._lock:
            self._is_closing = True
            for connection in self._reading:
                connection.stop_reading()
        until_s = time.monotonic() + timeout_s
        while self.open_connections and time.monotonic() < until_s:
            time.sleep(_CLOSE_POLL_S)
        return not self.open_connections

    def _accept(self) -> None:
        while not self._stopping.is_set():
            try:
                sock, _ = self._sock.accept()
            except TimeoutError:
                continue
            except OSError as error:
                if not self._stopping.is_set():
                    logging.warning("%s: accept failed: %s", self._name, error)
                    self._stopping.wait(0.05)
                continue
            self._submit_connection(sock)

    def _submit_connection(self, sock: socket.socket) -> None:
        """Serves a connection on a task of its own, unless there is no room."""
        account = self._pool.open_account(sock, self._is_reserved)
        if isinstance(account, core.Missing):
            sock.close()
            return
        with self._lock:
            self._open.add(sock)
        try:
            self._pool.submit(lambda: self._serve(sock, account))
        except RuntimeError:
            # No thread could be started. The running ones continue, and the
            # accepting thread must not end.
            logging.exception("%s: no thread for a new connection", self._name)
            sock.close()
            account.close()
            self._remove(sock)

    def _remove(self, sock: socket.socket) -> None:
        with self._lock:
            self._open.discard(sock)

    def _serve(self, sock: socket.socket, account: core.MemoryAccount) -> None:
        try:
            self._serve_socket(sock, account)
        finally:
            account.close()
            self._remove(sock)

    def _serve_socket(
        self, sock: socket.socket, account: core.MemoryAccount
    ) -> None:
        try:
            connection = _connection.Connection(sock)
        except OSError:
            # The connection was reset before it was served.
            sock.close()
            return
        connection.memory = account
        reader = _request_reader.RequestReader(
            connection, self._handler.limits, self._clock
        )
        try:
            self._serve_requests(connection, account, reader)
        except Exception:
            logging.exception("%s: connection task failed", self._name)
            connection.close()
        finally:
            reader.close()

    def _serve_requests(
        self,
        connection: _connection.Connection,
        account: core.MemoryAccount,
        reader: _request_reader.RequestReader,
    ) -> None:
        while True:
            request = self._read(connection, reader)
            if isinstance(request, _connection.ConnectionFailure):
                connection.close()
                return
            if isinstance(request, _request_reader.InvalidRequest):
                # The answer and the wait for the peer need none of it.
                reader.discard()
                self._handler.reject(request, connection)
                # A connection that was given up sends nothing, and others
                # wait for its memory.
                connection.close_gracefully(
                    0.0 if account.is_evicted else _connection.LINGER_S
                )
                return
            keep = request.keep_alive and not self.draining.is_set()
            try:
                keep = self._handler.handle(request, connection, keep) and keep
            finally:
                with self._lock:
                    self._busy -= 1
            # The next request is awaited without the memory of this one.
            del request
            if not keep:
                connection.close_gracefully()
                return

    def _read(
        self,
        connection: _connection.Connection,
        reader: _request_reader.RequestReader,
    ) -> (
        _messages.Request
        | _request_reader.InvalidRequest
        | _connection.ConnectionFailure
    ):
        """Reads a request; a complete one counts as busy from then on."""
        with self._lock:
            self._reading.add(connection)
            if self._is_closing:
                connection.stop_reading()
        request: (
            _messages.Request
            | _request_reader.InvalidRequest
            | _connection.ConnectionFailure
        ) = _connection.ConnectionFailure.CLOSED
        try:
            request = reader.read()
        finally:
            with self._lock:
                self._reading.discard(connection)
                self._busy += isinstance(request, _messages.Request)
        if (
            isinstance(request, _connection.ConnectionFailure)
            and self._is_closing
            and reader.has_partial_request
        ):
            return _request_reader.InvalidRequest(
                core.ErrorKind.ENTRY_LEAVING,
                "this instance stops before the request is complete",
            )
        return request
