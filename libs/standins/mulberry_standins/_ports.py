"""Ports for processes that are told where to listen."""

import socket
from typing import Self

_HOST = "127.0.0.1"


class ReservedPorts:
    """Holds ports of the loopback address until closed.

    A bound socket that does not listen keeps the system from choosing its
    port for another socket. A server that sets `SO_REUSEADDR` can listen
    there all the same, and again after a restart.
    """

    def __init__(self, count: int) -> None:
        self._sockets = [socket.socket() for _ in range(count)]
        for reserved in self._sockets:
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            reserved.bind((_HOST, 0))
        #: `IP:PORT` of each.
        self.addresses = tuple(
            f"{_HOST}:{reserved.getsockname()[1]}" for reserved in self._sockets
        )

    def __enter__(self) -> Self:
        """Returns itself."""
        return self

    def __exit__(self, *error: object) -> None:
        """Gives the ports back."""
        self.close()

    def close(self) -> None:
        """Gives the ports back."""
        for reserved in self._sockets:
            reserved.close()
