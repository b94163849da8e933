"""A TCP connection with deadlines."""

import enum
import errno
import fcntl
import select
import socket
import struct
import termios
import time
from collections.abc import Callable

import mulberry_core as core

#: A send fails if the peer accepts no bytes for this long, seconds. Longer than
#: any pause after which a caller still reads a stream.
WRITE_STALL_S = 10.0
#: `TCP_USER_TIMEOUT`, milliseconds: a connection whose data stays
#: unacknowledged for this long is dropped, which detects dead peers.
USER_TIMEOUT_MS = 8_000
#: Most bytes of one read.
RECEIVE_BYTES = 65_536

#: How long to wait for the peer to close after the last answer, seconds.
LINGER_S = 0.5
#: Longest time to drain what has arrived, seconds.
_MIN_DRAIN_S = 0.05

_READ_HANGUP = getattr(select, "POLLRDHUP", 0x2000)
_CLOSED_EVENTS = select.POLLERR | select.POLLHUP | select.POLLNVAL


class ConnectionFailure(enum.Enum):
    """Why a connection cannot be opened, read or written."""

    #: The peer closed its sending side.
    CLOSED = "closed"
    #: The connection broke.
    RESET = "reset"
    #: Nothing arrived in time.
    TIMEOUT = "timeout"
    #: The partner connection was closed.
    PARTNER_GONE = "partner_gone"


class Connection:
    """A non-blocking socket with timeouts; used by one thread at a time."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
        self._sock = sock
        self._fd = sock.fileno()
        #: Whether sending failed because the connection broke. The system
        #: reports this once, and then the end of a connection in order.
        self._is_broken = False
        #: What the connection may take; unset if that is not limited.
        self.memory: core.MemoryAccount | core.Missing = core.Missing.UNSET

    @classmethod
    def connect(
        cls, address: str, timeout_s: float
    ) -> "Connection | ConnectionFailure":
        """Opens a connection to `IP:PORT`."""
        connection = cls.start_connecting(address)
        if isinstance(connection, ConnectionFailure):
            return connection
        if not connection.wait_writable(timeout_s):
            connection.close()
            return ConnectionFailure.TIMEOUT
        if isinstance(connection.finish_connecting(), ConnectionFailure):
            connection.close()
            return ConnectionFailure.RESET
        return connection

    @classmethod
    def start_connecting(cls, address: str) -> "Connection | ConnectionFailure":
        """Starts to open a connection to `IP:PORT` without waiting.

        It is open, or has failed, as soon as bytes can be sent;
        `finish_connecting` then tells which.
        """
        host, _, port = address.rpartition(":")
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError:
            # The process has too many open files.
            return ConnectionFailure.RESET
        try:
            connection = cls(sock)
            code = sock.connect_ex((host, int(port)))
        except (OSError, ValueError, OverflowError):
            sock.close()
            return ConnectionFailure.RESET
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            return ConnectionFailure.RESET
        return connection

    def finish_connecting(self) -> ConnectionFailure | core.Missing:
        """Returns why a connection attempt failed, unset if it is open."""
        if self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return ConnectionFailure.RESET
        return core.Missing.UNSET

    def fileno(self) -> int:
        """Returns the file descriptor, for polling."""
        return self._fd

    def receive(
        self,
        timeout_s: float,
        partner: "Connection | None" = None,
        max_bytes: int = RECEIVE_BYTES,
    ) -> bytes | ConnectionFailure:
        """Returns the received bytes, or why there are none.

        Args:
            timeout_s: How long to wait for the first byte.
            partner: Another connection; the wait also ends if it closes.
            max_bytes: Most bytes to return.
        """
        try:
            return self._sock.recv(max_bytes) or self._end()
        except BlockingIOError:
            pass
        except OSError:
            return ConnectionFailure.RESET
        poller = select.poll()
        poller.register(self._fd, select.POLLIN)
        if partner is not None:
            poller.register(partner.fileno(), _READ_HANGUP)
        until_s = time.monotonic() + timeout_s
        while True:
            # Without time left, a partner that has closed is still noticed.
            left_s = until_s - time.monotonic()
            events = poller.poll(max(0.0, left_s * 1000))
            if not events:
                return ConnectionFailure.TIMEOUT
            for fd, _ in events:
                if fd != self._fd:
                    return ConnectionFailure.PARTNER_GONE
            try:
                return self._sock.recv(max_bytes) or self._end()
            except BlockingIOError:
                continue
            except OSError:
                return ConnectionFailure.RESET

    def send(self, data: bytes | memoryview) -> int | ConnectionFailure:
        """Sends without waiting; returns the number of bytes sent."""
        try:
            return self._sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            self._note_broken(error)
            return ConnectionFailure.RESET

    def send_all(self, data: bytes, stall_s: float = WRITE_STALL_S) -> bool:
        """Sends all bytes; returns whether that succeeded."""
        view = memoryview(data)
        while view:
            try:
                view = view[self._sock.send(view) :]
            except BlockingIOError:
                if not self.wait_writable(stall_s):
                    return False
            except OSError as error:
                self._note_broken(error)
                return False
        return True

    def wait_writable(self, timeout_s: float) -> bool:
        """Whether bytes can be sent before the timeout."""
        poller = select.poll()
        poller.register(self._fd, select.POLLOUT)
        return bool(poller.poll(max(0.0, timeout_s * 1000)))

    def is_closed(self) -> bool:
        """Whether the peer has closed or the connection broke."""
        poller = select.poll()
        poller.register(self._fd, _READ_HANGUP)
        return any(
            event & (_CLOSED_EVENTS | _READ_HANGUP)
            for _, event in poller.poll(0)
        )

    def unacknowledged_bytes(self) -> int:
        """Returns how much of what was sent the peer has not confirmed."""
        try:
            answer = fcntl.ioctl(self._fd, termios.TIOCOUTQ, b"\0" * 4)
        except OSError:
            return 0
        return int(struct.unpack("i", answer)[0])

    def finish_sending(self) -> None:
        """Ends the sending side in order; the peer may still send."""
        self._shut_down(socket.SHUT_WR)

    def stop_reading(self) -> None:
        """Ends waits for input, from any thread.

        Bytes that have arrived can still be read, and answers be sent.
        """
        self._shut_down(socket.SHUT_RD)

    def interrupt(self) -> None:
        """Ends the connection and every wait for it, from any thread."""
        self._shut_down(socket.SHUT_RDWR)

    def close(self) -> None:
        """Closes the connection; unread bytes cause a reset."""
        try:
            self._sock.close()
        except OSError:
            # A reset by the peer can be reported here; the descriptor is freed.
            return

    def close_gracefully(self, linger_s: float = LINGER_S) -> None:
        """Shuts down the sending side, drains the input, then closes.

        Closing with unread bytes would reset the connection, and the peer
        could lose the last answer.

        Args:
            linger_s: Longest wait for the peer to close, seconds; without any,
                only what has arrived is drained.
        """
        if not self._shut_down(socket.SHUT_WR):
            self.close()
            return
        until_s = time.monotonic() + max(linger_s, _MIN_DRAIN_S)
        while (left_s := until_s - time.monotonic()) > 0:
            wait_s = left_s if linger_s else 0.0
            if isinstance(self.receive(wait_s), ConnectionFailure):
                break
        self.close()

    def charge_answer(self, size_bytes: int) -> bool:
        """Whether an answer that takes this much memory may be kept."""
        return isinstance(
            self.memory, core.Missing
        ) or self.memory.charge_answer(size_bytes)

    def _shut_down(self, how: int) -> bool:
        """Ends one or both sides; returns whether they were still open."""
        try:
            self._sock.shutdown(how)
        except OSError:
            # It has ended already.
            return False
        return True

    def _end(self) -> ConnectionFailure:
        """Returns how the connection ended after its last byte."""
        return (
            ConnectionFailure.RESET
            if self._is_broken
            else ConnectionFailure.CLOSED
        )

    def _note_broken(self, error: OSError) -> None:
        """Remembers a reset; sending after an end in order is none."""
        if not isinstance(error, BrokenPipeError):
            self._is_broken = True


#: Starts to connect to `IP:PORT`, like `Connection.start_connecting`.
ConnectionStarter = Callable[[str], Connection | ConnectionFailure]
