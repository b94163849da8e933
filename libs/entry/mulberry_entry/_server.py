"""The HTTP server of an entry: cheroot with limits on slow and large requests."""

import json
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

#: Bounds on input that is read only to be discarded.
_DISCARD_S = 0.5
_DISCARD_BYTES = 2_097_152

#: Key in the WSGI environment under which the application finds the request.
REQUEST_KEY = "mulberry.http_request"

#: Threads beyond the streams and the queue, so that entry lists,
#: announcements and refusals are answered while all streams are taken.
_SPARE_THREADS = 16

#: cheroot's default backlog of 5 drops connections in a burst.
_LISTEN_BACKLOG = 512

#: Seconds between looks for requests that arrive too slowly.
_SLOW_REQUEST_CHECK_S = 0.25

_KIND_BY_STATUS = {
    "400": core.ErrorKind.BAD_REQUEST,
    "408": core.ErrorKind.REQUEST_TIMEOUT,
    "413": core.ErrorKind.HEADERS_TOO_LARGE,
    "414": core.ErrorKind.HEADERS_TOO_LARGE,
}


def refusal_body(refusal: core.Refusal, request_id: str) -> bytes:
    """Returns the JSON body that a caller gets for `refusal`."""
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
    """Answers malformed requests in the same form as the application."""

    def simple_response(self, status: str, msg: str = "") -> None:
        """Writes an error that cheroot found before the application ran."""
        if str(status).startswith("100"):
            super().simple_response(status, msg)
            return
        kind = _KIND_BY_STATUS.get(str(status)[:3], core.ErrorKind.BAD_REQUEST)
        refusal = core.Refusal(kind, core.RunState.NOT_RUN, msg or str(status))
        body = refusal_body(refusal, "")
        self.close_connection = True
        self.conn.has_unread_input = True
        self.sent_headers = True
        head = (
            f"HTTP/1.1 {refusal.answer.status} {kind.value}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.conn.wfile.write(head.encode("latin-1") + body)


class _Connection(cheroot_server.HTTPConnection):
    """Knows since when a request has been arriving."""

    RequestHandlerClass = _Request

    #: Monotonic seconds; zero while no request is arriving.
    receive_started_s = 0.0
    #: Set once the request was cut off for arriving too slowly.
    timed_out = False
    #: Set when an answer is given before all input was read.
    has_unread_input = False

    def communicate(self) -> bool:
        """Reads and answers one request under the watch of the server."""
        self.receive_started_s = time.monotonic()
        self.server.receiving.add(self)
        try:
            keep = bool(super().communicate())  # type: ignore[no-untyped-call]
            if self.timed_out and self.receive_started_s:
                self._answer_timeout()
            if self.has_unread_input:
                self._discard_input()
            return keep and not self.timed_out
        finally:
            self.finish_receiving()

    def has_request(self) -> bool:
        """Whether bytes of another request are there."""
        if self.rfile.has_data():
            return True
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        return bool(poll.poll(0))

    def finish_receiving(self) -> None:
        """Ends the watch: the request is complete or was given up."""
        self.receive_started_s = 0.0
        self.server.receiving.discard(self)

    def abort_receive(self) -> None:
        """Makes the reader see the end of the request now."""
        self.timed_out = True
        try:
            self.socket.shutdown(socket.SHUT_RD)
        except OSError:
            logging.debug("connection closed before it was cut off")

    def _discard_input(self) -> None:
        """Reads on for a moment before the connection is closed.

        Closing with unread input resets the connection, and the caller would
        lose the answer that tells what is wrong.
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
            logging.debug("connection closed while its input was discarded")

    def _answer_timeout(self) -> None:
        request = _Request(self.server, self)
        request.simple_response("408 Request Timeout", "arrived too slowly")


class _Gateway(wsgi.Gateway_10):
    """Shows the application the request it is answering."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Returns the WSGI environment with the cheroot request."""
        environ: dict[str, Any] = super().get_environ()  # type: ignore
        environ[REQUEST_KEY] = self.req
        return environ


class _ConnectionManager(connections.ConnectionManager):
    """Hands over all requests that have arrived before it stops."""

    # Neither attribute is in the library's type stubs.
    server: Any
    _selector: Any

    def stop(self) -> None:
        """Ends the loop, then takes what the system has accepted meanwhile.

        Closing a socket that listens, or a connection with an unread request,
        resets callers that were accepted.
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

    def prepare(self) -> None:
        """Binds the address; see `_ConnectionManager`."""
        super().prepare()
        self._connections: _ConnectionManager
        self._connections.close()
        self._connections = _ConnectionManager(self)

    def put_conn(self, conn: _Connection) -> None:
        """Keeps a connection; at a stop, one more request ends it."""
        if self.ready:
            super().put_conn(conn)
            return
        if conn.has_request():
            conn.communicate()
        conn.close()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Sends cheroot's own messages to the log at debug level."""
        del level
        logging.debug("http server: %s", msg, exc_info=traceback)


WsgiApp = Callable[
    [dict[str, Any], Callable[..., Any]],
    Iterable[bytes],
]


class HttpServer:
    """Serves a WSGI application within the limits of the settings."""

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
        # Callers keep one connection each; the default of 10 would close
        # connections that callers and upstreams expect to keep.
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
        """Serves HTTPS through a cheroot TLS adapter; before `start`."""
        self._server.ssl_adapter = adapter

    def start(self) -> None:
        """Binds the address and starts serving."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stops serving at once; drain first."""
        self._slow_request_timer.cancel()
        self._server.stop()
        self._thread.join()

    def _abort_slow_requests(self) -> None:
        oldest_s = time.monotonic() - self._read_timeout_s
        for connection in list(self._server.receiving):
            if 0.0 < connection.receive_started_s < oldest_s:
                connection.abort_receive()
