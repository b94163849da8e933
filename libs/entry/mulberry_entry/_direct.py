"""Writes blocks of a stream to the caller's socket without blocking."""

import contextlib
import socket
from typing import Any

import mulberry_core as core


class DirectWriter:
    """Sends blocks in the framing of a response, after its head.

    `write` may be called on the thread that serves all streams. A block that
    the socket does not take at once is kept for `flush`, which blocks.
    """

    def __init__(self, request: Any, caller: socket.socket) -> None:
        self._request = request
        self._caller = caller
        # A socket object of its own: the server's one has a timeout, with
        # which `send` waits. Both are one socket that does not block.
        self._socket = caller.dup()
        self._socket.setblocking(False)
        self._pending = b""

    def send_head(self) -> None:
        """Sends the head of the response; the application has set it."""
        self._request.ensure_headers_sent()

    def write(self, block: bytes) -> bool:
        """Sends a block; false if some of it was kept.

        Raises:
            OSError: The caller has gone.
        """
        if self._request.chunked_write:
            block = b"%x\r\n%b\r\n" % (len(block), block)
        try:
            sent = self._socket.send(block)
        except BlockingIOError:
            sent = 0
        if sent == len(block):
            return True
        self._pending = block[sent:]
        return False

    def flush(self) -> None:
        """Sends what was kept; waits as long as the server's timeout.

        Raises:
            OSError: The caller has gone or reads nothing for too long.
        """
        pending, self._pending = self._pending, b""
        if pending:
            self._caller.sendall(pending)

    def close(self) -> None:
        """Gives the socket object back; the connection stays open."""
        with contextlib.suppress(OSError):
            self._socket.close()


def direct_writer(request: Any) -> DirectWriter | core.Missing:
    """Returns a writer to the caller of a cheroot request.

    Unset where blocks cannot be written past the server: encrypted
    connections, and sockets without a timeout, which block.
    """
    connection = getattr(request, "conn", None)
    caller = getattr(connection, "socket", None)
    # Encrypted sockets are of a subclass.
    if type(caller) is not socket.socket or caller.gettimeout() is None:
        return core.Missing.UNSET
    return DirectWriter(request, caller)
