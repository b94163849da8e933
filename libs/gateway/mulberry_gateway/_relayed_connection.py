"""A connection to an upstream through another instance."""

import time

from mulberry_gateway import _connection, _relay_protocol, _relays


class RelayedConnection:
    """Used like a `Connection` to the upstream, by one thread at a time."""

    def __init__(
        self,
        connection: _connection.Connection,
        relay: _relays.Relay,
        received: bytes = b"",
    ) -> None:
        """Takes over a connection that a relay has opened.

        Args:
            connection: Connection to the relay.
            relay: The relay.
            received: What followed the line that said that it is open.
        """
        #: The relay.
        self.relay = relay
        self._connection = connection
        self._frames = _relay_protocol.FrameDecoder()
        #: Output of the upstream that was not returned yet.
        self._content = self._frames.feed(received)

    def fileno(self) -> int:
        """Returns the file descriptor, for polling."""
        return self._connection.fileno()

    def receive(
        self,
        timeout_s: float,
        partner: _connection.Connection | None = None,
    ) -> bytes | _connection.ConnectionFailure:
        """Returns the received bytes, or why there are none.

        Args:
            timeout_s: How long to wait for the first byte.
            partner: Another connection; the wait also ends if it closes.

        Returns:
            `CLOSED` only if the upstream closed its connection in order; a
            relay that is lost resets the connection.
        """
        until_s = time.monotonic() + timeout_s
        while True:
            if self._content:
                content, self._content = self._content, b""
                return content
            if self._frames.has_ended:
                return _connection.ConnectionFailure.CLOSED
            if self._frames.is_malformed:
                return _connection.ConnectionFailure.RESET
            data = self._connection.receive(until_s - time.monotonic(), partner)
            if data is _connection.ConnectionFailure.CLOSED:
                return _connection.ConnectionFailure.RESET
            if isinstance(data, _connection.ConnectionFailure):
                return data
            self._content = self._frames.feed(data)

    def send(
        self, data: bytes | memoryview
    ) -> int | _connection.ConnectionFailure:
        """Sends without waiting; returns the number of bytes sent."""
        return self._connection.send(data)

    def send_all(
        self, data: bytes, stall_s: float = _connection.WRITE_STALL_S
    ) -> bool:
        """Sends all bytes; returns whether that succeeded."""
        return self._connection.send_all(data, stall_s)

    def wait_writable(self, timeout_s: float) -> bool:
        """Whether bytes can be sent before the timeout."""
        return self._connection.wait_writable(timeout_s)

    def is_closed(self) -> bool:
        """Whether the relay has closed or the connection broke."""
        return self._connection.is_closed()

    def interrupt(self) -> None:
        """Ends the connection and every wait for it, from any thread."""
        self._connection.interrupt()

    def close(self) -> None:
        """Closes the connection; the relay then closes that to the upstream."""
        self._connection.close()
