"""Reads requests from a caller's connection with strict framing."""

import collections
import dataclasses

import httptools

import mulberry_core as core
import mulberry_routing as routing
from mulberry_gateway import (
    _body_limits,
    _connection,
    _messages,
    _read_deadline,
)

#: Timeout for a complete body, seconds. 4 MiB take 7 s on a 5 Mbit/s link.
_BODY_TIMEOUT_S = 15.0
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclasses.dataclass(frozen=True)
class InvalidRequest:
    """Sentinel: the caller sent an invalid, oversized or slow request."""

    kind: core.ErrorKind
    reason: str


class _PartialRequest:
    """The request that is being parsed."""

    def __init__(self) -> None:
        self.target = b""
        self.headers: list[_messages.Header] = []
        self.body = bytearray()
        self.size = 0
        #: Bytes of the body granted by the shared budget.
        self.granted = 0
        self.received_s = 0.0


class RequestReader:
    """Parses one connection; pipelined requests are returned one by one."""

    def __init__(
        self,
        connection: _connection.Connection,
        limits: routing.Limits,
        clock: core.Clock,
        body_budget: core.BodyLimits | None = None,
    ) -> None:
        """Creates a reader for a new connection.

        Args:
            connection: Connection of the caller.
            limits: Limits for the caller's requests.
            clock: Source of time.
            body_budget: Shared with other readers; by default a separate one.
        """
        self._body_budget = body_budget or _body_limits.for_requests()
        #: Bytes granted to the requests in `_ready`.
        self._grants: collections.deque[int] = collections.deque()
        self._returned_grant = 0
        self._connection = connection
        self._limits = limits
        self._clock = clock
        self._parser = httptools.HttpRequestParser(self)
        self._partial = _PartialRequest()
        self._started = False
        self._in_body = False
        self._fault: InvalidRequest | None = None
        #: Bytes of the head that is being parsed.
        self._head_bytes = 0
        #: Bytes received since the last part of the body, or since the head.
        self._framing_bytes = 0
        self._ready: collections.deque[_messages.Request] = collections.deque()

    @property
    def limits(self) -> routing.Limits:
        """Limits for requests; may be replaced between requests."""
        return self._limits

    @limits.setter
    def limits(self, limits: routing.Limits) -> None:
        self._limits = limits

    @property
    def has_partial_request(self) -> bool:
        """Whether a request has begun to arrive and is not complete."""
        return self._started

    def read(
        self,
    ) -> _messages.Request | InvalidRequest | _connection.ConnectionFailure:
        """Returns the next request, or why there is none."""
        deadline = _read_deadline.ReadDeadline(self._clock.now)
        deadline.start(self._limits.idle_timeout_s)
        while not self._ready:
            data = self._connection.receive(deadline.remaining_s)
            if deadline.is_over():
                data = _connection.ConnectionFailure.TIMEOUT
            if isinstance(data, _connection.ConnectionFailure):
                return self._on_receive_failure(data)
            was_started, was_in_body = self._started, self._in_body
            self._feed(data)
            if self._fault:
                return self._fault
            if self._started and not was_started:
                deadline.start(self._limits.header_timeout_s)
            if self._in_body and not was_in_body:
                deadline.start(_BODY_TIMEOUT_S)
        self.release_answered()
        self._returned_grant = self._grants.popleft()
        return self._ready.popleft()

    def release_answered(self) -> None:
        """Releases the budget of the request that was returned last."""
        self._body_budget.release(self._returned_grant)
        self._returned_grant = 0

    def close(self) -> None:
        """Releases the budget of all requests."""
        self.release_answered()
        for grant in (*self._grants, self._partial.granted):
            self._body_budget.release(grant)
        self._grants.clear()
        self._partial.granted = 0

    def _feed(self, data: bytes) -> None:
        self._framing_bytes += len(data)
        if not self._in_body:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fault = InvalidRequest(
                core.ErrorKind.BAD_REQUEST, "upgrades are not supported"
            )
        except httptools.HttpParserError as error:
            self._fault = self._fault or InvalidRequest(
                core.ErrorKind.BAD_REQUEST, f"malformed request: {error}"
            )
        if self._started and not self._in_body:
            # The parser buffers a header until it is complete. The bytes of
            # this read may include the end of the previous request.
            self._check_head_size(self._head_bytes - len(data))
        if self._started and self._in_body:
            # The parser passes no callback anything of a chunk extension.
            self._check_head_size(self._framing_bytes - len(data))

    def _on_receive_failure(
        self, ended: _connection.ConnectionFailure
    ) -> InvalidRequest | _connection.ConnectionFailure:
        if ended is _connection.ConnectionFailure.TIMEOUT and self._started:
            return InvalidRequest(
                core.ErrorKind.REQUEST_TIMEOUT,
                "the request was not complete in time",
            )
        return ended

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a new request."""
        self._partial = _PartialRequest()
        self._started = True
        self._in_body = False
        self._head_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Appends a part of the target."""
        self._partial.target += url
        self._add_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        self._partial.headers.append(
            (name.decode("latin-1"), value.decode("latin-1"))
        )
        self._add_head_bytes(len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Checks the headers and answers `Expect: 100-continue`."""
        partial = self._partial
        partial.received_s = self._clock.now()
        self._in_body = True
        self._framing_bytes = 0
        self._check_head(partial)
        if (
            not self._fault
            and _messages.find_header(partial.headers, "expect").lower()
            == "100-continue"
        ):
            self._connection.send_all(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body within the limits."""
        partial = self._partial
        self._framing_bytes = 0
        partial.body += body
        size = len(partial.body)
        if size > self._limits.max_body_bytes:
            self._reject_body()
        elif self._body_budget.reserve(partial.granted, size):
            partial.granted = size
        else:
            self._fault = self._fault or InvalidRequest(
                core.ErrorKind.OVERLOADED,
                f"a body of {size} bytes exceeds the memory for bodies",
            )

    def on_message_complete(self) -> None:
        """Queues the complete request."""
        partial = self._partial
        self._started = False
        self._in_body = False
        if self._fault:
            return
        headers = tuple(partial.headers)
        self._grants.append(partial.granted)
        partial.granted = 0
        self._ready.append(
            _messages.Request(
                method=self._parser.get_method().decode("latin-1"),
                target=partial.target.decode("latin-1"),
                headers=headers,
                body=bytes(partial.body),
                has_body=any(
                    key.lower() in ("content-length", "transfer-encoding")
                    for key, _ in headers
                ),
                keep_alive=self._parser.should_keep_alive(),
                received_s=partial.received_s,
                read_s=self._clock.now(),
            )
        )

    def _add_head_bytes(self, size: int) -> None:
        self._partial.size += size
        self._check_head_size(self._partial.size)

    def _check_head_size(self, size: int) -> None:
        if size > self._limits.max_header_bytes:
            self._fault = self._fault or InvalidRequest(
                core.ErrorKind.HEADERS_TOO_LARGE,
                f"more than {self._limits.max_header_bytes} bytes of headers",
            )

    def _check_head(self, partial: _PartialRequest) -> None:
        hosts = [v for k, v in partial.headers if k.lower() == "host"]
        if len(hosts) != 1:
            self._fault = self._fault or InvalidRequest(
                core.ErrorKind.BAD_REQUEST, f"{len(hosts)} Host headers"
            )
        if not partial.target.startswith(b"/"):
            self._fault = self._fault or InvalidRequest(
                core.ErrorKind.BAD_REQUEST, "the target is not a path"
            )
        length = core.parse_count(
            _messages.find_header(partial.headers, "content-length")
        )
        if isinstance(length, int) and length > self._limits.max_body_bytes:
            self._reject_body()

    def _reject_body(self) -> None:
        self._fault = self._fault or InvalidRequest(
            core.ErrorKind.REQUEST_TOO_LARGE,
            f"more than {self._limits.max_body_bytes} bytes of body",
        )
