"""A TCP connection with deadlines."""

import enum
import errno
import select
import socket
import time

#: A peer that takes no bytes for this long is given up, seconds. Longer than
#: any pause after which a caller still reads a stream.
WRITE_STALL_S = 10.0
#: Unacknowledged data is given up after this time, so that a connection that
#: went silent is noticed. Milliseconds.
USER_TIMEOUT_MS = 8_000
_RECEIVE_BYTES = 65_536

_READ_HANGUP = getattr(select, "POLLRDHUP", 0x2000)
_CLOSED_EVENTS = select.POLLERR | select.POLLHUP | select.POLLNVAL


class ConnectionFailure(enum.Enum):
    """Why nothing more can be read."""

    #: The peer closed its side.
    CLOSED = "closed"
    #: The connection broke.
    RESET = "reset"
    #: Nothing arrived in time.
    TIMEOUT = "timeout"
    #: The other party of the exchange is gone.
    PARTNER_GONE = "partner_gone"


class Connection:
    """Wraps a socket; used by one thread at a time."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
        self._sock = sock
        self._fd = sock.fileno()

    @classmethod
    def connect(
        cls, address: str, timeout_s: float
    ) -> "Connection | ConnectionFailure":
        """Opens a connection to `IP:PORT`."""
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            connection = cls(sock)
            code = sock.connect_ex((host, int(port)))
            if code not in (0, errno.EINPROGRESS):
                sock.close()
                return ConnectionFailure.RESET
            if code and not connection.wait_writable(timeout_s):
                sock.close()
                return ConnectionFailure.TIMEOUT
            if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                sock.close()
                return ConnectionFailure.RESET
        except (OSError, ValueError, OverflowError):
            sock.close()
            return ConnectionFailure.RESET
        return connection

    def fileno(self) -> int:
        """Returns the descriptor, for polling."""
        return self._fd

    def receive(
        self, timeout_s: float, partner: "Connection | None" = None
    ) -> bytes | ConnectionFailure:
        """Returns what has arrived, or why nothing will.

        Args:
            timeout_s: How long to wait for the first byte.
            partner: Its end ends the wait too.
        """
        try:
            return self._sock.recv(_RECEIVE_BYTES) or ConnectionFailure.CLOSED
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
            left_s = until_s - time.monotonic()
            events = poller.poll(max(0.0, left_s * 1000)) if left_s > 0 else []
            if not events:
                return ConnectionFailure.TIMEOUT
            for fd, _ in events:
                if fd != self._fd:
                    return ConnectionFailure.PARTNER_GONE
            try:
                return (
                    self._sock.recv(_RECEIVE_BYTES) or ConnectionFailure.CLOSED
                )
            except BlockingIOError:
                continue
            except OSError:
                return ConnectionFailure.RESET

    def send(self, data: bytes) -> int | ConnectionFailure:
        """Sends what fits now; returns how many bytes did."""
        try:
            return self._sock.send(data)
        except BlockingIOError:
            return 0
        except OSError:
            return ConnectionFailure.RESET

    def send_all(self, data: bytes, stall_s: float = WRITE_STALL_S) -> bool:
        """Sends everything; returns whether the peer took it."""
        view = memoryview(data)
        while view:
            try:
                view = view[self._sock.send(view) :]
            except BlockingIOError:
                if not self.wait_writable(stall_s):
                    return False
            except OSError:
                return False
        return True

    def wait_writable(self, timeout_s: float) -> bool:
        """Whether bytes can be sent within the time."""
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

    def close(self) -> None:
        """Closes; unread bytes make it a reset."""
        try:
            self._sock.close()
        except OSError:
            # The peer's reset can surface here; the descriptor is freed.
            return

    def close_gracefully(self) -> None:
        """Ends the sending side, reads what is still coming, then closes.

        Closing with unread bytes resets the connection, and the peer could
        lose the last answer.
        """
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
            return
        until_s = time.monotonic() + _LINGER_S
        while (left_s := until_s - time.monotonic()) > 0:
            if isinstance(self.receive(left_s), ConnectionFailure):
                break
        self.close()


#: How long to wait for a peer to take the last answer, seconds.
_LINGER_S = 0.5
