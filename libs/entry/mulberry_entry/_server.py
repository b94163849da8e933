"""HTTP server of an entry: cheroot with limits on slow and large input."""

import json
import math
import select
import socket
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

from absl import logging
from cheroot import connections, wsgi
from cheroot import server as cheroot_server

import mulberry_core as core
import mulberry_rules as rules
from mulberry_entry import _body_reader, _memory

#: Limits on unread input that is drained before a connection is closed.
_DISCARD_S = 0.5
_DISCARD_BYTES = 2_097_152

#: Key of the cheroot request in the WSGI environment.
REQUEST_KEY = "mulberry.http_request"

#: Threads in addition to those for streams and the queue, so that entry lists,
#: announcements and refusals are served while all streams are in use.
_SPARE_THREADS = 16

#: cheroot's default backlog of 5 drops connections during bursts.
_LISTEN_BACKLOG = 512

#: Seconds between checks for requests that arrive too slowly.
_SLOW_REQUEST_CHECK_S = 0.25

_KIND_BY_STATUS = {
    "400": core.ErrorKind.BAD_REQUEST,
    "408": core.ErrorKind.REQUEST_TIMEOUT,
    "413": core.ErrorKind.HEADERS_TOO_LARGE,
    "414": core.ErrorKind.HEADERS_TOO_LARGE,
}


def refusal_body(refusal: core.Refusal, request_id: str) -> bytes:
    """Returns the JSON body of the error response for `refusal`."""
    message = f"{refusal.answer.sentence} ({refusal.reason})"
    return json.dumps(
        {
            "error": {
                "kind": refusal.kind.value,
                "message": message,
                "type": refusal.kind.value,
                "code": refusal.kind.value,
            },
            "kind": refusal.kind.value,
            "run": refusal.run.value,
            "request_id": request_id,
        }
    ).encode()


class _Request(cheroot_server.HTTPRequest):
    """A request whose protocol errors have the application's error format."""

    #: Whether a body in chunks was received to its end.
    is_body_read = False

    def read_request_headers(self) -> bool:
        """Reads the head and charges for its lines."""
        self.rfile = _memory.ChargedHead(self.rfile, self.conn.memory)
        return bool(super().read_request_headers())  # type: ignore[no-untyped-call]

    def send_headers(self) -> None:
        """Sends the head of a response; closes if input is left unread.

        cheroot would receive the rest of the body at once to drop it.
        """
        is_unread = (self.chunked_read and not self.is_body_read) or getattr(
            self.rfile, "remaining", 0
        ) > 0
        if is_unread:
            self.close_connection = True
            self.conn.has_unread_input = True
        super().send_headers()

    def simple_response(self, status: str, msg: str = "") -> None:
        """Writes an error that cheroot detected before the application ran."""
        if str(status).startswith("100"):
            super().simple_response(status, msg)
            return
        kind = _KIND_BY_STATUS.get(str(status)[:3], core.ErrorKind.BAD_REQUEST)
        refusal = core.Refusal(kind, core.RunState.NOT_RUN, msg or str(status))
        if self.conn.memory.is_refused:
            refusal = _body_reader.out_of_memory()
            kind = refusal.kind
        body = refusal_body(refusal, "")
        self.close_connection = True
        self.conn.has_unread_input = True
        self.sent_headers = True
        after_s = refusal.effective_retry_after_s
        retry_after = (
            ""
            if isinstance(after_s, core.Missing)
            else f"Retry-After: {max(1, math.ceil(after_s))}\r\n"
        )
        head = (
            f"HTTP/1.1 {refusal.answer.status} {kind.value}\r\n"
            "Content-Type: application/json\r\n"
            f"{retry_after}Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.conn.wfile.write(head.encode("latin-1") + body)


class _Connection(cheroot_server.HTTPConnection):
    """A connection that tracks how long its request takes to arrive."""

    RequestHandlerClass = _Request

    #: Monotonic seconds; zero while no request is being received.
    receive_started_s = 0.0
    #: Set once the request was aborted because it arrived too slowly.
    timed_out = False
    #: Set when a response is sent before all input was read.
    has_unread_input = False
    #: What the current request is charged.
    memory: _memory.RequestMemory

    def communicate(self) -> bool:
        """Reads and answers one request; the server aborts slow ones."""
        self.memory = _memory.RequestMemory(
            self.server.budget, self.server.clock, self.socket
        )
        self.receive_started_s = time.monotonic()
        self.server.receiving.add(self)
        try:
            if self.memory.is_refused:
                _Request(self.server, self).simple_response("503")
                self._discard_input()
                return False
            keep = bool(super().communicate())  # type: ignore[no-untyped-call]
            if self.timed_out and self.receive_started_s:
                self._answer_timeout()
            if self.has_unread_input:
                self._discard_input()
            return keep and not self.timed_out and not self.memory.is_refused
        finally:
            self.finish_receiving()
            self.memory.close()

    def has_request(self) -> bool:
        """Returns whether data of another request is available."""
        if self.rfile.has_data():
            return True
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        return bool(poll.poll(0))

    def finish_receiving(self) -> None:
        """Stops the tracking: the request is complete or was abandoned."""
        self.receive_started_s = 0.0
        self.server.receiving.discard(self)

    def abort_receive(self) -> None:
        """Ends the input, so that a blocked read returns at once."""
        self.timed_out = True
        try:
            self.socket.shutdown(socket.SHUT_RD)
        except OSError:
            logging.debug(
                "connection closed before its slow request was aborted"
            )

    def _discard_input(self) -> None:
        """Drains unread input for a short time before the close.

        Closing a socket with unread input resets the connection, and the
        caller would lose the error response.
        """
        until_s = time.monotonic() + _DISCARD_S
        remaining_bytes = _DISCARD_BYTES
        try:
            self.socket.shutdown(socket.SHUT_WR)
            self.socket.settimeout(_DISCARD_S)
            while remaining_bytes > 0 and time.monotonic() < until_s:
                block = self.socket.recv(65_536)
                if not block:
                    return
                remaining_bytes -= len(block)
        except OSError:
            logging.debug(
                "connection closed while its unread input was discarded"
            )

    def _answer_timeout(self) -> None:
        request = _Request(self.server, self)
        request.simple_response(
            "408 Request Timeout", "the request arrived too slowly"
        )


class _Gateway(wsgi.Gateway_10):
    """Adds the cheroot request to the WSGI environment."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Returns the WSGI environment with the cheroot request."""
        environ: dict[str, Any] = super().get_environ()  # type: ignore
        environ[REQUEST_KEY] = self.req
        return environ


class _ConnectionManager(connections.ConnectionManager):
    """Serves all requests that were received before the stop."""

    # cheroot's type stubs lack both attributes.
    server: Any
    _selector: Any

    def stop(self) -> None:
        """Ends the loop, then processes pending connections and requests.

        Closing the listening socket resets the connections in its backlog, and
        closing a connection with an unread request resets that connection.
        """
        super().stop()
        listening: socket.socket = self.server.socket
        listening.settimeout(0.0)
        for _ in range(_LISTEN_BACKLOG):
            accepted = self._from_server_socket(listening)  # type: ignore[attr-defined]
            if accepted is None:
                break
            self.server.process_conn(accepted)
        self._selector.unregister(listening.fileno())
        listening.close()
        for descriptor, connection in self._selector.select(timeout=0.0):
            self._selector.unregister(descriptor)
            self.server.process_conn(connection)


class _Server(wsgi.Server):
    ConnectionClass = _Connection

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.gateway = _Gateway
        self.receiving: set[_Connection] = set()
        self.clock = core.SystemClock()
        self.budget: core.MemoryBudget

    def prepare(self) -> None:
        """Binds the address and installs `_ConnectionManager`."""
        super().prepare()
        self._connections: _ConnectionManager
        self._connections.close()
        self._connections = _ConnectionManager(self)

    def put_conn(self, conn: _Connection) -> None:
        """Keeps a connection open; when stopping, serves one more request."""
        if self.ready:
            super().put_conn(conn)
            return
        if conn.has_request():
            conn.communicate()
        conn.close()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Logs cheroot's own messages at debug level."""
        del level
        logging.debug("http server: %s", msg, exc_info=traceback)


WsgiApp = Callable[
    [dict[str, Any], Callable[..., Any]],
    Iterable[bytes],
]


class HttpServer:
    """Serves a WSGI application within the configured limits."""

    def __init__(
        self,
        address: str,
        app: WsgiApp,
        limits: rules.Limits,
        timers: core.TimerService,
    ) -> None:
        host, port = address.rsplit(":", 1)
        threads = limits.max_streams + limits.max_queue + _SPARE_THREADS
        self._server = _Server(
            bind_addr=(host, int(port)),
            wsgi_app=app,
            numthreads=threads,
            request_queue_size=_LISTEN_BACKLOG,
            timeout=limits.read_timeout_s,
        )
        self._server.max_request_header_size = limits.max_header_bytes
        # Requests that are left when the server stops run on one more thread.
        self._server.budget = _memory.budget(limits, threads + 1)
        # The default of 10 would close idle connections that callers and
        # upstreams expect to stay open.
        self._server.keep_alive_conn_limit = threads
        self._read_timeout_s = limits.read_timeout_s
        self._slow_request_timer = timers.every(
            _SLOW_REQUEST_CHECK_S, self._abort_slow_requests, "slow requests"
        )
        self._thread = threading.Thread(
            target=self._server.serve, name="http", daemon=True
        )

    @property
    def address(self) -> str:
        """The bound address as `IP:PORT`."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def use_tls(self, adapter: object) -> None:
        """Serves HTTPS with a cheroot TLS adapter; call before `start`."""
        self._server.ssl_adapter = adapter

    def start(self) -> None:
        """Binds the address and starts serving."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stops serving at once; callers drain the entry first."""
        self._slow_request_timer.cancel()
        self._server.stop()
        self._thread.join()

    def _abort_slow_requests(self) -> None:
        oldest_s = time.monotonic() - self._read_timeout_s
        for connection in list(self._server.receiving):
            if 0.0 < connection.receive_started_s < oldest_s:
                connection.abort_receive()
