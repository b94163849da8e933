"""Accepts connections and serves each on a task of its own."""

import abc
import contextlib
import socket
import threading
from concurrent import futures

from absl import logging

import mulberry_core as core
import mulberry_routing as routing
from mulberry_gateway import (
    _body_limits,
    _connection,
    _messages,
    _request_reader,
)

#: Listen backlog. Many callers connect at once after a restart, and a dropped
#: SYN packet delays a connection by a second.
_BACKLOG = 512
#: Connections served at once; further ones wait.
_MAX_CONNECTIONS = 1_024
_ACCEPT_PERIOD_S = 1.0


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
        self, name: str, address: str, handler: Handler, clock: core.Clock
    ) -> None:
        host, _, port = address.rpartition(":")
        self._name = name
        self._handler = handler
        self._clock = clock
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind((host, int(port)))
        self._pool = futures.ThreadPoolExecutor(
            _MAX_CONNECTIONS, thread_name_prefix=name
        )
        self._lock = threading.Lock()
        self._busy = 0
        #: Budget for bodies of requests that are being read or answered.
        self._body_budget = _body_limits.for_requests()
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

    def start(self) -> None:
        """Starts to accept connections."""
        self._sock.listen(_BACKLOG)
        self._sock.settimeout(_ACCEPT_PERIOD_S)
        threading.Thread(
            target=self._accept, name=f"{self._name}-accept", daemon=True
        ).start()

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
        """Serves a connection on a task of its own."""
        try:
            self._pool.submit(self._serve, sock)
        except RuntimeError:
            # No thread could be started. The running ones continue, and the
            # accepting thread must not end.
            logging.exception("%s: no thread for a new connection", self._name)
            sock.close()

    def _serve(self, sock: socket.socket) -> None:
        try:
            connection = _connection.Connection(sock)
        except OSError:
            # The connection was reset before it was served.
            sock.close()
            return
        try:
            self._serve_connection(connection)
        except Exception:
            logging.exception("%s: connection task failed", self._name)
            connection.close()

    def _serve_connection(self, connection: _connection.Connection) -> None:
        reader = _request_reader.RequestReader(
            connection, self._handler.limits(), self._clock, self._body_budget
        )
        try:
            self._serve_requests(connection, reader)
        finally:
            reader.close()

    def _serve_requests(
        self,
        connection: _connection.Connection,
        reader: _request_reader.RequestReader,
    ) -> None:
        while True:
            reader.limits = self._handler.limits()
            request = reader.read()
            if isinstance(request, _connection.ConnectionFailure):
                connection.close()
                return
            if isinstance(request, _request_reader.InvalidRequest):
                self._handler.reject(request, connection)
                connection.close_gracefully()
                return
            keep = request.keep_alive and not self.draining.is_set()
            with self._lock:
                self._busy += 1
            try:
                keep = self._handler.handle(request, connection, keep) and keep
            finally:
                with self._lock:
                    self._busy -= 1
                reader.release_answered()
            if not keep:
                connection.close_gracefully()
                return
