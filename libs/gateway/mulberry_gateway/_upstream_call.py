"""One attempt of a request at one upstream, on a connection of its own.

A connection per attempt costs a round trip. A reused connection may be closed
by the upstream just as the request is sent, which leaves unknown whether the
request ran. A new connection also cannot deliver a late answer to an earlier
request.
"""

import enum
import math
import time
from collections.abc import Callable

import httptools

import mulberry_core as core
import mulberry_membership as membership
from mulberry_gateway import (
    _body_limits,
    _connection,
    _messages,
    _read_deadline,
    _relays,
    _upstream_connector,
    _upstream_paths,
)

#: Copies of an answer at one time: while it is completed, and while it is sent.
#: The eighth is what a growing body reserves.
_ANSWER_COPIES = 2.125
#: Statuses of responses. Others mean nothing to callers.
_STATUSES = range(100, 600)
_FINAL_STATUSES = range(200, 600)


class Fault(enum.Enum):
    """How an attempt failed."""

    #: The connection was refused or reset while it was opened.
    REFUSED = "refused"
    #: The connection attempt timed out.
    UNREACHABLE = "unreachable"
    #: The connection ended before a response began.
    NO_ANSWER = "no_answer"
    #: The response ended early.
    TRUNCATED = "truncated"
    #: The bytes are not a response, or a response to another request.
    GARBLED = "garbled"
    #: The answer exceeds the size limits.
    EXCESSIVE = "excessive"
    #: What was waited for did not arrive before the timeout.
    SILENT = "silent"
    #: The upstream was given up while it had the request.
    LOST = "lost"
    #: The caller closed its connection.
    CALLER_GONE = "caller_gone"
    #: The router ended the run, because the request has been blocked.
    WITHDRAWN = "withdrawn"


#: Faults after which the request cannot have reached the upstream.
NOT_SENT = frozenset({Fault.REFUSED, Fault.UNREACHABLE})
#: Parser of a call that is closed; calls nothing.
_NO_PARSER = httptools.HttpResponseParser(object())


class UpstreamCall:
    """Sends a request and reads its response; used by one thread.

    Only `withdraw` may be called from other threads.
    """

    def __init__(
        self,
        connector: _upstream_connector.UpstreamConnector,
        upstream: membership.Upstream,
        caller: _connection.Connection,
        limits: core.BodyLimits | None = None,
    ) -> None:
        """Creates a call that is not connected yet.

        Args:
            connector: Opens the connection.
            upstream: The upstream.
            caller: Connection of the caller; the call ends when it closes.
            limits: Budget shared with other calls; by default a separate one.
        """
        self._connector = connector
        self._upstream = upstream
        self._caller = caller
        self._limits = limits or _body_limits.for_answers()
        #: Bytes granted by the limits.
        self._granted_bytes = 0
        #: Bytes received so far, including the framing of the body.
        self._received_bytes = 0
        #: Bytes received since the last part of the body, or since the start.
        self._framing_bytes = 0
        self._connection: _upstream_paths.UpstreamConnection | None = None
        self._unsent: bytes | memoryview = b""
        self._parser = httptools.HttpResponseParser(self)
        self._reason = b""
        self._headers: list[_messages.Header] = []
        self._head: _messages.ResponseHead | None = None
        # One object for all parts: a part of its own would take 50 bytes and
        # more for each chunk.
        self._body = bytearray()
        self._is_complete = False
        self._is_garbled = False
        self._is_withdrawn = False
        self._head_only = False
        #: Whether the end of the connection is the end of the body.
        self._ends_with_connection = False
        #: `time.monotonic` when the last bytes arrived, seconds.
        self.last_received_s = 0.0
        self._deadline = _read_deadline.ReadDeadline(time.monotonic)

    def connect(
        self,
        timeout_s: float = math.inf,
        may_relay: Callable[[_relays.Relay], bool] = lambda relay: True,
    ) -> Fault | core.Missing:
        """Opens the connection; nothing is sent before that.

        Args:
            timeout_s: Time left, seconds.
            may_relay: Whether the connection may go over a relay.
        """
        connection = self._connector.connect(
            self._upstream, timeout_s, may_relay=may_relay
        )
        if connection is _connection.ConnectionFailure.TIMEOUT:
            return Fault.UNREACHABLE
        if isinstance(connection, _connection.ConnectionFailure):
            return Fault.REFUSED
        self._connection = connection
        return core.Missing.UNSET

    def send(self, data: bytes, head_only: bool) -> Fault | core.Missing:
        """Starts to send; opens the connection unless that was done before.

        Args:
            data: The serialized request.
            head_only: Whether the response has no body, as for `HEAD`.
        """
        if self._connection is None:
            fault = self.connect()
            if isinstance(fault, Fault):
                return fault
        connection = self._connection
        assert connection is not None
        self._head_only = head_only
        self.last_received_s = time.monotonic()
        sent = connection.send(data)
        if isinstance(sent, _connection.ConnectionFailure):
            return Fault.NO_ANSWER
        # A slice of the bytes would be another copy of a large body.
        self._unsent = memoryview(data)[sent:] if sent < len(data) else b""
        return core.Missing.UNSET

    def read_head(self, timeout_s: float) -> _messages.ResponseHead | Fault:
        """Reads the status and headers of the response."""
        self._deadline.start(timeout_s)
        while self._head is None:
            fault = self._read()
            if isinstance(fault, Fault):
                return fault
        return self._head

    def read_some(self, timeout_s: float) -> bytes | Fault:
        """Returns the next part of the body, empty at its end."""
        self._deadline.start(timeout_s)
        while not self._body:
            if self._is_complete:
                return b""
            fault = self._read()
            if isinstance(fault, Fault):
                return fault
        return self._take_body()

    def read_body(self, timeout_s: float) -> bytes | Fault:
        """Returns the complete body."""
        self._deadline.start(timeout_s)
        while not self._is_complete:
            fault = self._read()
            if isinstance(fault, Fault):
                return fault
            # Framing counts as well, so that a body in small chunks takes
            # little more time to read than another one.
            if not self._limits.reserve(
                self._granted_bytes, self._received_bytes
            ):
                self._body.clear()
                return Fault.EXCESSIVE
            self._granted_bytes = self._received_bytes
            if not self._caller.charge_answer(
                int(self._received_bytes * _ANSWER_COPIES)
            ):
                self._body.clear()
                return Fault.EXCESSIVE
        return self._take_body()

    def accepts_connections(self) -> bool:
        """Whether the path of the connection opens another one."""
        if self._connection is None:
            return self.is_reachable()
        return self._connector.accepts_connections(
            self._upstream, self._connection
        )

    def is_reachable(self) -> bool:
        """Whether any path to the upstream opens a connection."""
        return self._connector.is_reachable(self._upstream)

    def withdraw(self) -> None:
        """Ends the run; reading then returns `Fault.WITHDRAWN`."""
        self._is_withdrawn = True
        if self._connection is not None:
            self._connection.interrupt()

    def close(self) -> None:
        """Closes the connection, which also cancels a running request."""
        self._limits.release(self._granted_bytes)
        self._granted_bytes = 0
        if self._connection is not None:
            self._connection.close()
        self._unsent = b""
        self._body = bytearray()
        # The parser refers to this object. The cycle would keep both, and the
        # caller's connection, until the next garbage collection.
        self._parser = _NO_PARSER

    def _take_body(self) -> bytes:
        data = bytes(self._body)
        self._body.clear()
        return data

    def _read(self) -> Fault | core.Missing:
        connection = self._connection
        if connection is None:
            return Fault.REFUSED
        if self._is_withdrawn:
            return Fault.WITHDRAWN
        if self._deadline.is_over():
            return Fault.SILENT
        if self._unsent:
            fault = self._send_rest(connection)
            if isinstance(fault, Fault):
                return fault
        data = connection.receive(self._deadline.remaining_s, self._caller)
        if not isinstance(data, bytes):
            return self._on_receive_failure(data)
        self.last_received_s = time.monotonic()
        return self._feed(data)

    def _send_rest(
        self, connection: _upstream_paths.UpstreamConnection
    ) -> Fault | core.Missing:
        """Sends the rest of the request unless a response begins early."""
        while self._unsent:
            sent = connection.send(self._unsent)
            if isinstance(sent, _connection.ConnectionFailure):
                # A response may have arrived before the connection broke.
                self._unsent = b""
                break
            self._unsent = self._unsent[sent:]
            if sent:
                continue
            early = connection.receive(0.0, self._caller)
            if early is _connection.ConnectionFailure.TIMEOUT:
                if self._deadline.remaining_s <= 0.0:
                    return Fault.SILENT
                connection.wait_writable(0.02)
                continue
            if not isinstance(early, bytes):
                return self._on_receive_failure(early)
            # Once a response has begun, the rest of the body need not be sent,
            # because the connection is closed after the response.
            self._unsent = b""
            return self._feed(early)
        return core.Missing.UNSET

    def _feed(self, data: bytes) -> Fault | core.Missing:
        self._received_bytes += len(data)
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            # Bytes after a complete response are ignored.
            if not self._is_complete:
                return Fault.GARBLED
        if self._is_garbled:
            return Fault.GARBLED
        if self._framing_bytes > _body_limits.MAX_HEAD_BYTES:
            # The parser buffers a header until it is complete.
            return Fault.EXCESSIVE
        return core.Missing.UNSET

    def _on_receive_failure(
        self, ended: _connection.ConnectionFailure
    ) -> Fault | core.Missing:
        if self._is_withdrawn and not self._is_complete:
            return Fault.WITHDRAWN
        if ended is _connection.ConnectionFailure.PARTNER_GONE:
            return Fault.CALLER_GONE
        if ended is _connection.ConnectionFailure.TIMEOUT:
            return Fault.SILENT
        if self._is_complete:
            return core.Missing.UNSET
        if (
            ended is _connection.ConnectionFailure.CLOSED
            and self._head is not None
            and self._ends_with_connection
        ):
            self._is_complete = True
            return core.Missing.UNSET
        return Fault.NO_ANSWER if self._head is None else Fault.TRUNCATED

    # Callbacks of the parser.

    def on_status(self, reason: bytes) -> None:
        """Appends a part of the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Stores the status and headers of a final response."""
        status = self._parser.get_status_code()
        headers, self._headers = tuple(self._headers), []
        reason, self._reason = self._reason.decode("latin-1"), b""
        if self._head is not None:
            return
        if status not in _FINAL_STATUSES:
            self._is_garbled |= status not in _STATUSES
            return
        self._head = _messages.ResponseHead(status, reason, headers)
        if self._head_only or status in _messages.BODILESS_STATUSES:
            self._is_complete = True
        self._ends_with_connection = not self._head.has_framing

    def on_body(self, body: bytes) -> None:
        """Adds a part of the body."""
        self._framing_bytes = 0
        if self._head is None:
            # An interim response has no body; its bytes would begin that of
            # the final one.
            self._is_garbled = True
        elif not self._is_complete:
            self._body += body

    def on_message_complete(self) -> None:
        """Marks the response as complete."""
        if self._head is not None:
            self._is_complete = True
