"""Threaded HTTP server whose handlers can write to the raw connection."""

import http.server
import json
import socket
import socketserver
import urllib.parse
from collections.abc import Callable, Mapping
from typing import Any, cast

#: Maximum size of a request body, bytes.
_MAX_BODY_BYTES = 16_777_216
#: Seconds after which an idle connection is closed.
_IDLE_S = 60.0


class Exchange(http.server.BaseHTTPRequestHandler):
    """A request and the means to answer it."""

    protocol_version = "HTTP/1.1"
    timeout = _IDLE_S
    disable_nagle_algorithm = True
    body = b""

    @property
    def route(self) -> str:
        """The path without its query."""
        return urllib.parse.urlsplit(self.path).path

    @property
    def query(self) -> Mapping[str, str]:
        """Query parameters by name; of a repeated name the last value."""
        split = urllib.parse.urlsplit(self.path)
        return dict(urllib.parse.parse_qsl(split.query))

    def header(self, name: str) -> str:
        """Returns a request header, empty if it is missing."""
        return self.headers.get(name) or ""

    def json_body(self) -> Any:
        """Returns the parsed body, `None` if it is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None

    def answer(
        self,
        status: int,
        body: Any,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Sends a JSON answer."""
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(data)

    def refuse(self, reason: str) -> None:
        """Answers 503 and states that the request was not run."""
        headers = {"X-Not-Run": "1"}
        if request_id := self.header("X-Request-Id"):
            headers["X-Request-Id"] = request_id
        self.answer(503, {"error": {"message": reason}}, headers)

    def drop(self) -> None:
        """Closes the connection without completing the answer."""
        self.close_connection = True
        self.connection.shutdown(socket.SHUT_RDWR)

    def send(self, data: bytes) -> None:
        """Writes bytes of an answer directly to the connection."""
        self.connection.sendall(data)

    def log_message(self, format: str, *args: Any) -> None:
        """Logs nothing; the endpoints of a stand-in report what it did."""

    def do_GET(self) -> None:
        """Dispatches a request without a body."""
        self._dispatch()

    def do_POST(self) -> None:
        """Reads the body and dispatches."""
        length = self.header("Content-Length")
        if not length.isdigit() or int(length) > _MAX_BODY_BYTES:
            self.close_connection = True
            self.answer(
                411,
                {"error": {"message": "a valid Content-Length is required"}},
            )
            return
        self.body = self.rfile.read(int(length))
        if len(self.body) == int(length):
            self._dispatch()

    def _dispatch(self) -> None:
        server = cast(StandinServer, self.server)
        try:
            server.handle_exchange(self)
        except (ConnectionError, TimeoutError):
            # The client closed the connection, as clients may.
            self.close_connection = True


#: Handles one exchange.
Handler = Callable[[Exchange], None]


class StandinServer(socketserver.ThreadingMixIn, http.server.HTTPServer):
    """Dispatches requests by method and longest path prefix."""

    daemon_threads = True
    request_queue_size = 512

    def __init__(
        self, port: int, handler_by_route: Mapping[tuple[str, str], Handler]
    ) -> None:
        super().__init__(("127.0.0.1", port), Exchange)
        self._handler_by_route = handler_by_route

    @property
    def address(self) -> str:
        """Base URL."""
        return f"http://127.0.0.1:{self.server_port}"

    def handle_exchange(self, exchange: Exchange) -> None:
        """Calls the handler of the longest route that prefixes the path."""
        route = exchange.route
        while route:
            handler = self._handler_by_route.get((exchange.command, route))
            if handler:
                handler(exchange)
                return
            route = route.rpartition("/")[0]
        exchange.answer(404, {"error": {"message": "no such route"}})

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignores errors: broken connections are normal for a stand-in."""
