"""Non-blocking writes of stream blocks to the caller's socket."""

import contextlib
import socket
from typing import Any

import mulberry_core as core


class DirectWriter:
    """Sends blocks of a response body in its transfer encoding.

    `write` never blocks, so the thread that serves all streams may call it.
    What the socket does not accept at once is buffered for `flush`, which
    blocks.
    """

    def __init__(self, request: Any, caller: socket.socket) -> None:
        self._request = request
        self._caller = caller
        # A duplicate, because `send` on the server's socket object waits for
        # its timeout. Both refer to the same non-blocking connection.
        self._socket = caller.dup()
        self._socket.setblocking(False)
        self._pending = b""

    def send_head(self) -> None:
        """Sends the status line and headers set by the application."""
        self._request.ensure_headers_sent()

    def write(self, block: bytes) -> bool:
        """Sends a block; returns false if part of it was buffered.

        Raises:
            OSError: The caller has disconnected.
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
        """Sends the buffered bytes, blocking up to the server's timeout.

        Raises:
            OSError: The caller has disconnected or stopped reading.
        """
        pending, self._pending = self._pending, b""
        if pending:
            self._caller.sendall(pending)

    def close(self) -> None:
        """Closes the duplicate socket; the connection stays open."""
        with contextlib.suppress(OSError):
            self._socket.close()


def direct_writer(request: Any) -> DirectWriter | core.Missing:
    """Returns a direct writer for a cheroot request.

    Unset where the server cannot be bypassed: TLS connections, and sockets
    without a timeout, which block.
    """
    connection = getattr(request, "conn", None)
    caller = getattr(connection, "socket", None)
    # TLS sockets are instances of a subclass.
    if type(caller) is not socket.socket or caller.gettimeout() is None:
        return core.Missing.UNSET
    return DirectWriter(request, caller)
