"""TCP relay that injects network faults in front of one address."""

import contextlib
import enum
import socket
import struct
import threading
import time

_BUFFER_BYTES = 65_536
_CONNECT_TIMEOUT_S = 2.0


class Cut(enum.Enum):
    """Direction in which the relay holds bytes back.

    They are delayed, not dropped, because TCP retransmits lost segments.
    """

    NONE = "none"
    REQUESTS = "requests"
    REPLIES = "replies"
    BOTH = "both"


_CUTS_HOLDING_REQUESTS = frozenset({Cut.REQUESTS, Cut.BOTH})
_CUTS_HOLDING_REPLIES = frozenset({Cut.REPLIES, Cut.BOTH})


class Relay:
    """Forwards TCP connections to `target`."""

    def __init__(self, target: str) -> None:
        host, port = target.rsplit(":", 1)
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self._state_changed = threading.Condition()
        self._cut = Cut.NONE
        #: Delay added to every forwarded block of bytes, seconds.
        self.delay_s = 0.0
        #: Bytes of connections opened before this time are discarded.
        self._blackholed_before_s = 0.0
        self._closed = False
        self._sockets: set[socket.socket] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """`IP:PORT` to connect to in place of the target."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def cut(self, cut: Cut) -> None:
        """Holds bytes back in the direction of `cut`; `NONE` releases them."""
        with self._state_changed:
            self._cut = cut
            self._state_changed.notify_all()

    def blackhole(self) -> None:
        """Discards all further bytes of open connections; new ones work."""
        self._blackholed_before_s = time.monotonic()

    def reset(self) -> None:
        """Closes all open connections with a TCP reset."""
        with self._state_changed:
            sockets = list(self._sockets)
        for sock in sockets:
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    struct.pack("ii", 1, 0),
                )
            _close(sock)

    def set_target(self, target: str) -> None:
        """Forwards new connections to another address."""
        host, port = target.rsplit(":", 1)
        self._target = (host, int(port))

    def close(self) -> None:
        """Stops listening and closes all connections."""
        with self._state_changed:
            self._closed = True
            self._state_changed.notify_all()
            sockets = [self._listener, *self._sockets]
        for sock in sockets:
            _close(sock)

    def _accept(self) -> None:
        while not self._closed:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._connect, args=(client,), daemon=True
            ).start()

    def _connect(self, client: socket.socket) -> None:
        try:
            server = socket.create_connection(self._target, _CONNECT_TIMEOUT_S)
        except OSError:
            _close(client)
            return
        server.settimeout(None)
        with self._state_changed:
            self._sockets |= {client, server}
        threading.Thread(
            target=self._pump,
            args=(server, client, _CUTS_HOLDING_REPLIES),
            daemon=True,
        ).start()
        self._pump(client, server, _CUTS_HOLDING_REQUESTS)

    def _pump(
        self,
        source: socket.socket,
        sink: socket.socket,
        holding_cuts: frozenset[Cut],
    ) -> None:
        opened_s = time.monotonic()
        try:
            while data := source.recv(_BUFFER_BYTES):
                if self.delay_s:
                    time.sleep(self.delay_s)
                self._wait_while_held(holding_cuts)
                if opened_s < self._blackholed_before_s:
                    continue
                sink.sendall(data)
        except OSError:
            pass
        finally:
            with self._state_changed:
                self._sockets -= {source, sink}
            _close(source)
            _close(sink)

    def _wait_while_held(self, holding_cuts: frozenset[Cut]) -> None:
        with self._state_changed:
            self._state_changed.wait_for(
                lambda: self._closed or self._cut not in holding_cuts
            )


def _close(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
