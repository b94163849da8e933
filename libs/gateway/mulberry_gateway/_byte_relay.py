"""Copies bytes between a sender and its upstream until either has ended."""

import select
import time

from mulberry_gateway import _connection, _relay_protocol

_READ_HANGUP = getattr(select, "POLLRDHUP", 0x2000)
_ENDED = select.POLLERR | select.POLLHUP | select.POLLNVAL
#: How long to wait for the sender's close once it has confirmed all bytes,
#: seconds.
_CLOSE_TIMEOUT_S = 1.0
#: Interval between checks whether it has confirmed them, seconds.
_CLOSE_CHECK_S = 0.1


class ByteRelay:
    """Copies the bytes of one relayed connection; used by one thread.

    It keeps one piece of bytes for each direction, at most
    `MAX_FRAME_BYTES`, and reads the next one when that piece has been sent.
    Neither direction waits for the other.
    """

    def __init__(
        self,
        sender: _connection.Connection,
        upstream: _connection.Connection,
    ) -> None:
        self._sender = sender
        self._upstream = upstream
        #: Bytes that were read and not sent yet.
        self._to_upstream = b""
        self._to_sender = b""
        #: Whether the upstream takes no more bytes. It may still answer.
        self._is_input_closed = False
        self._has_upstream_ended = False

    def run(self) -> None:
        """Copies until the sender or the upstream has ended.

        The caller closes both connections. Everything that the upstream sent
        has been delivered by then, unless the sender has closed.
        """
        while not self._has_upstream_ended or self._to_sender:
            events = self._wait()
            if events.get(self._sender.fileno(), 0) & (_READ_HANGUP | _ENDED):
                return
            if events.get(self._upstream.fileno(), 0) & (
                select.POLLIN | _ENDED
            ):
                self._read_upstream()
            if self._to_sender and not self._send_to_sender():
                return
            if events.get(self._sender.fileno(), 0) & select.POLLIN:
                self._read_sender()
            if self._to_upstream and not self._send_to_upstream():
                return
        self._finish()

    def _wait(self) -> dict[int, int]:
        """Waits until something can be done; returns the events by file.

        The end of the upstream cannot be masked, so it is polled only while
        bytes can be read from it or sent to it.
        """
        sender_mask = _READ_HANGUP
        if not self._to_upstream:
            sender_mask |= select.POLLIN
        if self._to_sender:
            sender_mask |= select.POLLOUT
        poller = select.poll()
        poller.register(self._sender.fileno(), sender_mask)
        upstream_mask = 0
        if not self._to_sender and not self._has_upstream_ended:
            upstream_mask |= select.POLLIN
        if self._to_upstream:
            upstream_mask |= select.POLLOUT
        if upstream_mask:
            poller.register(self._upstream.fileno(), upstream_mask)
        return dict(poller.poll())

    def _read_upstream(self) -> None:
        if self._to_sender or self._has_upstream_ended:
            return
        data = self._upstream.receive(0.0)
        if data is _connection.ConnectionFailure.TIMEOUT:
            return
        if isinstance(data, bytes):
            self._to_sender = _relay_protocol.encode_frame(data)
            return
        self._has_upstream_ended = True
        self._drop_input()
        if data is _connection.ConnectionFailure.CLOSED:
            self._to_sender = _relay_protocol.END_FRAME

    def _read_sender(self) -> None:
        if self._to_upstream:
            return
        data = self._sender.receive(0.0)
        # The end of the sender is among the events of the next wait.
        if isinstance(data, bytes) and not self._is_input_closed:
            self._to_upstream = data

    def _send_to_sender(self) -> bool:
        sent = self._sender.send(self._to_sender)
        if isinstance(sent, _connection.ConnectionFailure):
            return False
        self._to_sender = self._to_sender[sent:]
        return True

    def _send_to_upstream(self) -> bool:
        """Sends what the sender sent, unless it has closed since.

        The process may have been suspended since it read these bytes, and the
        sender has given the request up then.
        """
        if self._sender.is_closed():
            return False
        sent = self._upstream.send(self._to_upstream)
        if isinstance(sent, _connection.ConnectionFailure):
            self._drop_input()
        else:
            self._to_upstream = self._to_upstream[sent:]
        return True

    def _drop_input(self) -> None:
        """Stops to forward the sender's bytes; they are read and dropped."""
        self._is_input_closed = True
        self._to_upstream = b""

    def _finish(self) -> None:
        """Ends the connection to the sender and waits for its close.

        Closing at once could lose the end of the answer: with unread bytes of
        the sender, the system resets the connection and drops what is not yet
        delivered. A slow sender is waited for as long as it takes bytes.
        """
        self._upstream.close()
        self._sender.finish_sending()
        delivered_s = time.monotonic()
        while True:
            data = self._sender.receive(_CLOSE_CHECK_S)
            if data in (
                _connection.ConnectionFailure.CLOSED,
                _connection.ConnectionFailure.RESET,
            ):
                return
            if self._sender.unacknowledged_bytes():
                delivered_s = time.monotonic()
            elif time.monotonic() - delivered_s > _CLOSE_TIMEOUT_S:
                return
