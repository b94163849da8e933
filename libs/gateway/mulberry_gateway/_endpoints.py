"""HTTP endpoints of an instance for everything but forwarded requests."""

import dataclasses
from collections.abc import Callable, Sequence

from absl import logging

import mulberry_core as core
from mulberry_gateway import (
    _connection,
    _listener,
    _messages,
    _request_reader,
)

JSON = (("Content-Type", "application/json"),)


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """An endpoint for one path or for all paths below a prefix."""

    method: str
    #: Exact, or a prefix if it ends with a slash.
    path: str
    #: Called with the request and the rest of the path after a prefix.
    answer: Callable[[_messages.Request, str], _messages.Response]


class EndpointHandler(_listener.Handler):
    """Dispatches requests to endpoints."""

    def __init__(
        self, pages: Sequence[Endpoint], counters: core.Counters
    ) -> None:
        self._endpoints = tuple(pages)
        self._counters = counters

    def reject(
        self,
        fault: _request_reader.InvalidRequest,
        caller: _connection.Connection,
    ) -> None:
        """Answers an invalid request with an error status."""
        status = core.ANSWER_BY_KIND[fault.kind].status
        response = _messages.Response(status, body=fault.reason.encode())
        caller.send_all(_messages.write_response(response, keep_alive=False))

    def handle(
        self,
        request: _messages.Request,
        caller: _connection.Connection,
        keep_alive: bool,
    ) -> bool:
        """Answers one request; returns whether to keep the connection."""
        response = self._answer(request)
        data = _messages.write_response(
            response, keep_alive, head_only=request.method == "HEAD"
        )
        return caller.send_all(data)

    def _answer(self, request: _messages.Request) -> _messages.Response:
        for endpoint in self._endpoints:
            if endpoint.method != request.method:
                continue
            rest = ""
            if endpoint.path.endswith("/"):
                if not request.path.startswith(endpoint.path):
                    continue
                rest = request.path[len(endpoint.path) :]
            elif request.path != endpoint.path:
                continue
            try:
                return endpoint.answer(request, rest)
            except Exception:
                logging.exception("endpoint %s failed", endpoint.path)
                self._counters.increment("pages.failed")
                return _messages.Response(500)
        return _messages.Response(404)
