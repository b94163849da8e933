"""Reads requests from a caller's connection, strictly framed."""

import collections
import dataclasses

import httptools

import mulberry_core as core
import mulberry_routing as routing
from mulberry_gateway import _body_limits, _connection, _messages

#: For a whole body, seconds. A body of 4 MiB needs 7 s on a 5 Mbit/s link.
_BODY_TIMEOUT_S = 15.0
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclasses.dataclass(frozen=True)
class Malformed:
    """Sentinel: the caller did not send a proper request."""

    kind: core.ErrorKind
    reason: str


class _Message:
    """The request that the parser is working on."""

    def __init__(self) -> None:
        self.target = b""
        self.headers: list[_messages.Header] = []
        self.body = bytearray()
        self.size = 0
        #: Bytes of the body that the shared limits have granted.
        self.granted = 0
        self.received_s = 0.0


class RequestReader:
    """Parses one connection; pipelined requests are returned one by one."""

    def __init__(
        self,
        connection: _connection.Connection,
        limits: routing.Limits,
        clock: core.Clock,
        bodies: core.BodyLimits | None = None,
    ) -> None:
        """Creates a reader that has read nothing.

        Args:
            connection: Of the caller.
            limits: What the caller may send.
            clock: Source of time.
            bodies: Shared with the other readers; by default of this one alone.
        """
        self._bodies = bodies or _body_limits.for_requests()
        #: Bytes granted to the requests in `_ready`, and to the one returned.
        self._grants: collections.deque[int] = collections.deque()
        self._returned_grant = 0
        self._connection = connection
        self._limits = limits
        self._clock = clock
        self._parser = httptools.HttpRequestParser(self)
        self._message = _Message()
        self._started = False
        self._in_body = False
        self._fault: Malformed | None = None
        #: Bytes of the head that the parser is working on.
        self._head_bytes = 0
        self._ready: collections.deque[_messages.Request] = collections.deque()

    @property
    def limits(self) -> routing.Limits:
        """What a caller may send; may be replaced between requests."""
        return self._limits

    @limits.setter
    def limits(self, limits: routing.Limits) -> None:
        self._limits = limits

    def read(self) -> _messages.Request | Malformed | _connection.Ended:
        """Returns the next request, or why there is none."""
        wait_s = self._limits.idle_timeout_s
        deadline_s = self._clock.now() + wait_s
        while not self._ready:
            left_s = deadline_s - self._clock.now()
            data = self._connection.receive(left_s)
            if isinstance(data, _connection.Ended):
                return self._ended(data)
            was_started, was_in_body = self._started, self._in_body
            self._feed(data)
            if self._fault:
                return self._fault
            if self._started and not was_started:
                deadline_s = self._clock.now() + self._limits.header_timeout_s
            if self._in_body and not was_in_body:
                deadline_s = self._clock.now() + _BODY_TIMEOUT_S
        self.answered()
        self._returned_grant = self._grants.popleft()
        return self._ready.popleft()

    def answered(self) -> None:
        """Gives back the memory of the request that was returned last."""
        self._bodies.release(self._returned_grant)
        self._returned_grant = 0

    def close(self) -> None:
        """Gives back the memory of all requests."""
        self.answered()
        for grant in (*self._grants, self._message.granted):
            self._bodies.release(grant)
        self._grants.clear()
        self._message.granted = 0

    def _feed(self, data: bytes) -> None:
        if not self._in_body:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fault = Malformed(
                core.ErrorKind.BAD_REQUEST, "upgrades are not supported"
            )
        except httptools.HttpParserError as error:
            self._fault = self._fault or Malformed(
                core.ErrorKind.BAD_REQUEST, f"malformed request: {error}"
            )
        if self._started and not self._in_body:
            # The parser keeps a header until it has all of it. What came
            # with this read may be the end of the request before.
            self._check_size(self._head_bytes - len(data))

    def _ended(self, ended: _connection.Ended) -> Malformed | _connection.Ended:
        if ended is _connection.Ended.TIMEOUT and self._started:
            return Malformed(
                core.ErrorKind.REQUEST_TIMEOUT, "the request came too slowly"
            )
        return ended

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """A request begins."""
        self._message = _Message()
        self._started = True
        self._in_body = False
        self._head_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Part of the target."""
        self._message.target += url
        self._grow(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        self._message.headers.append(
            (name.decode("latin-1"), value.decode("latin-1"))
        )
        self._grow(len(name) + len(value))

    def on_headers_complete(self) -> None:
        """All headers are here."""
        message = self._message
        message.received_s = self._clock.now()
        self._in_body = True
        self._check_head(message)
        if (
            not self._fault
            and _messages.find_header(message.headers, "expect").lower()
            == "100-continue"
        ):
            self._connection.send_all(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Part of the body."""
        message = self._message
        message.body += body
        size = len(message.body)
        if size > self._limits.max_body_bytes:
            self._refuse_body()
        elif self._bodies.reserve(message.granted, size):
            message.granted = size
        else:
            self._fault = self._fault or Malformed(
                core.ErrorKind.OVERLOADED,
                f"a body of {size} bytes is more than what is left for all",
            )

    def on_message_complete(self) -> None:
        """The request is complete."""
        message = self._message
        self._started = False
        self._in_body = False
        if self._fault:
            return
        headers = tuple(message.headers)
        self._grants.append(message.granted)
        message.granted = 0
        self._ready.append(
            _messages.Request(
                method=self._parser.get_method().decode("latin-1"),
                target=message.target.decode("latin-1"),
                headers=headers,
                body=bytes(message.body),
                has_body=any(
                    key.lower() in ("content-length", "transfer-encoding")
                    for key, _ in headers
                ),
                keep_alive=self._parser.should_keep_alive(),
                received_s=message.received_s,
                read_s=self._clock.now(),
            )
        )

    def _grow(self, size: int) -> None:
        self._message.size += size
        self._check_size(self._message.size)

    def _check_size(self, size: int) -> None:
        if size > self._limits.max_header_bytes:
            self._fault = self._fault or Malformed(
                core.ErrorKind.HEADERS_TOO_LARGE,
                f"more than {self._limits.max_header_bytes} bytes of headers",
            )

    def _check_head(self, message: _Message) -> None:
        hosts = [v for k, v in message.headers if k.lower() == "host"]
        if len(hosts) != 1:
            self._fault = self._fault or Malformed(
                core.ErrorKind.BAD_REQUEST, f"{len(hosts)} Host headers"
            )
        if not message.target.startswith(b"/"):
            self._fault = self._fault or Malformed(
                core.ErrorKind.BAD_REQUEST, "the target is not a path"
            )
        length = _messages.find_header(message.headers, "content-length")
        if length.isdigit() and int(length) > self._limits.max_body_bytes:
            self._refuse_body()

    def _refuse_body(self) -> None:
        self._fault = self._fault or Malformed(
            core.ErrorKind.REQUEST_TOO_LARGE,
            f"more than {self._limits.max_body_bytes} bytes of body",
        )
