"""Reads requests from a caller's connection with strict framing."""

import collections
import dataclasses
from collections.abc import Callable, Sequence

import httptools

import mulberry_core as core
import mulberry_routing as routing
from mulberry_gateway import (
    _connection,
    _headers,
    _messages,
    _read_deadline,
)

#: Timeout for a complete body, seconds. 4 MiB take 7 s on a 5 Mbit/s link.
_BODY_TIMEOUT_S = 15.0
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
#: Most bytes of one read outside of a body. A head fits into two such reads.
_HEAD_READ_BYTES = 16_384
#: What a request takes besides its bytes.
_REQUEST_BYTES = 1_536
#: Copies of a body at one time: while it is completed, and while the request
#: that is made of it is sent. The eighth is what a growing body reserves.
_BODY_COPIES = 2.125
#: What a header line beyond the first ones takes while the request for the
#: upstream is made of it, in objects.
_LINE_BYTES = 384
#: Headers that declare a body.
_BODY_HEADERS = frozenset({"content-length", "transfer-encoding"})
#: Part of the requests that the fixed charge of a connection covers.
_FREE_BYTES = 16_384
#: Parser of a reader that is closed; calls nothing.
_NO_PARSER = httptools.HttpRequestParser(object())


@dataclasses.dataclass(frozen=True)
class InvalidRequest:
    """Sentinel: the caller sent an invalid, oversized or slow request."""

    kind: core.ErrorKind
    reason: str


class _PartialRequest:
    """The request that is being parsed."""

    def __init__(self) -> None:
        self.target = b""
        #: The first lines of the head.
        self.pairs: list[_messages.Header] = []
        #: The other lines, as in `PackedHeaders`.
        self.packed = bytearray()
        self.packed_lines = 0
        #: All lines, from the end of the head on.
        self.headers: Sequence[_messages.Header] = ()
        self.body = bytearray()
        #: Bytes of the head.
        self.size = 0
        self.received_s = 0.0

    def cost_bytes(self) -> int:
        """Returns what the request takes until it is complete."""
        return (
            _REQUEST_BYTES + 2 * self.size + int(len(self.body) * _BODY_COPIES)
        )

    def running_cost_bytes(self) -> int:
        """Returns what the complete request takes while it is forwarded."""
        return self.cost_bytes() + self.packed_lines * _LINE_BYTES

    def take_body(self) -> bytes:
        """Returns the complete body and keeps no copy of it."""
        body, self.body = bytes(self.body), bytearray()
        return body

    def end_head(self) -> None:
        """Makes the headers of the lines."""
        if not self.packed_lines:
            self.headers = tuple(self.pairs)
            return
        self.headers = _headers.PackedHeaders(
            self.pairs,
            bytes(self.packed),
            len(self.pairs) + self.packed_lines,
        )
        self.packed = bytearray()


class RequestReader:
    """Parses one connection; pipelined requests are returned one by one."""

    def __init__(
        self,
        connection: _connection.Connection,
        current_limits: Callable[[], routing.Limits],
        clock: core.Clock,
    ) -> None:
        """Creates a reader for a new connection.

        Args:
            connection: Connection of the caller.
            current_limits: Returns the limits for callers' requests, which
                hold for each request that begins from then on.
            clock: Source of time.
        """
        #: What the requests in `_ready` take, bytes.
        self._costs: collections.deque[int] = collections.deque()
        #: Charged for the requests, without what is free.
        self._charged_bytes = 0
        self._connection = connection
        self._current_limits = current_limits
        self._limits = current_limits()
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
    def has_partial_request(self) -> bool:
        """Whether a request has begun to arrive and is not complete."""
        return self._started

    def read(
        self,
    ) -> _messages.Request | InvalidRequest | _connection.ConnectionFailure:
        """Returns the next request, or why there is none."""
        deadline = _read_deadline.ReadDeadline(self._clock.now)
        began_s = self._clock.now()
        deadline.start(self._current_limits().idle_timeout_s)
        self._begin_waiting()
        while not self._ready:
            was_started, was_in_body = self._started, self._in_body
            failure = self._read_some(deadline)
            if (
                failure is _connection.ConnectionFailure.TIMEOUT
                and (idle_s := self._idle_remaining_s(began_s)) > 0.0
            ):
                deadline.start(idle_s)
                continue
            if not isinstance(failure, core.Missing):
                return failure
            if self._fault:
                return self._fault
            if self._started and not was_started:
                deadline.start(self._limits.header_timeout_s)
            if self._in_body and not was_in_body:
                deadline.start(_BODY_TIMEOUT_S)
        if not self._may_run():
            return self._no_memory()
        # It stays charged until the next request is awaited.
        self._costs.popleft()
        return self._ready.popleft()

    def discard(self) -> None:
        """Drops all that has arrived; nothing more may be read."""
        self._ready.clear()
        self._costs.clear()
        self._partial = _PartialRequest()
        self._charge(0)

    def close(self) -> None:
        """Drops all that has arrived; called when the connection ends."""
        self.discard()
        # The parser refers to this object. The cycle would keep both until
        # the next garbage collection, while nothing is charged for them.
        self._parser = _NO_PARSER

    def _read_some(
        self, deadline: _read_deadline.ReadDeadline
    ) -> InvalidRequest | _connection.ConnectionFailure | core.Missing:
        """Receives and parses bytes; what arrived is not kept twice."""
        max_bytes = (
            _connection.RECEIVE_BYTES
            if self._in_body and self._partial.body
            else _HEAD_READ_BYTES
        )
        # Charged before the bytes are received, because a charge may wait.
        if not self._charge(self._ahead_bytes(max_bytes)):
            return self._no_memory()
        data = self._connection.receive(
            deadline.remaining_s, max_bytes=max_bytes
        )
        if deadline.is_over():
            data = _connection.ConnectionFailure.TIMEOUT
        if isinstance(data, _connection.ConnectionFailure):
            return self._on_receive_failure(data)
        self._feed(data)
        memory = self._connection.memory
        if not isinstance(memory, core.Missing):
            if self._started:
                memory.reading(self._clock.now())
            if memory.is_evicted:
                return self._no_memory()
        return core.Missing.UNSET

    def _idle_remaining_s(self, began_s: float) -> float:
        """Returns how much longer a request may be awaited, as limits change.

        Args:
            began_s: When the wait began, `Clock.now`, seconds.
        """
        waited_s = self._clock.now() - began_s
        return self._current_limits().idle_timeout_s - waited_s

    def _begin_waiting(self) -> None:
        memory = self._connection.memory
        if not isinstance(memory, core.Missing):
            memory.idle(self._clock.now())
            if self._started:
                memory.reading(self._clock.now())

    def _may_run(self) -> bool:
        """Whether the memory for the complete request is granted."""
        memory = self._connection.memory
        if isinstance(memory, core.Missing):
            return True
        return self._charge(self._ahead_bytes(0)) and memory.run()

    def _ahead_bytes(self, max_bytes: int) -> int:
        """Returns what all requests take once more bytes have arrived."""
        if not self._started:
            return sum(self._costs)
        partial = self._partial
        size_bytes = sum(self._costs) + partial.cost_bytes()
        if self._in_body and partial.body:
            size_bytes += int(max_bytes * _BODY_COPIES) + max_bytes
        return size_bytes

    def _charge(self, size_bytes: int) -> bool:
        charged_bytes = max(0, size_bytes - _FREE_BYTES)
        if charged_bytes == self._charged_bytes:
            return True
        memory = self._connection.memory
        if isinstance(memory, core.Missing):
            return True
        if not memory.charge_request(charged_bytes):
            return False
        self._charged_bytes = charged_bytes
        return True

    def _no_memory(self) -> InvalidRequest | _connection.ConnectionFailure:
        """Returns why the request cannot be kept."""
        if not self._started and not self._ready:
            return _connection.ConnectionFailure.CLOSED
        return InvalidRequest(
            core.ErrorKind.OVERLOADED,
            "the memory for requests is used up",
        )

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
        memory = self._connection.memory
        if not isinstance(memory, core.Missing) and memory.is_evicted:
            return self._no_memory()
        if ended is _connection.ConnectionFailure.TIMEOUT and self._started:
            return InvalidRequest(
                core.ErrorKind.REQUEST_TIMEOUT,
                "the request was not complete in time",
            )
        return ended

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a new request."""
        self._limits = self._current_limits()
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
        partial = self._partial
        if len(partial.pairs) < _headers.MAX_PAIRS:
            partial.pairs.append(
                (name.decode("latin-1"), value.decode("latin-1"))
            )
        else:
            partial.packed += b"\n%b:%b" % (name, value)
            partial.packed_lines += 1
        self._add_head_bytes(len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Checks the headers and answers `Expect: 100-continue`."""
        partial = self._partial
        partial.end_head()
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
        if len(partial.body) > self._limits.max_body_bytes:
            self._reject_body()

    def on_message_complete(self) -> None:
        """Queues the complete request."""
        partial = self._partial
        self._started = False
        self._in_body = False
        if self._fault:
            return
        self._costs.append(partial.running_cost_bytes())
        self._ready.append(
            _messages.Request(
                method=self._parser.get_method().decode("latin-1"),
                target=partial.target.decode("latin-1"),
                headers=partial.headers,
                body=partial.take_body(),
                has_body=_headers.has_any(partial.headers, _BODY_HEADERS),
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
        hosts = list(_headers.values_of(partial.headers, "host"))
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
