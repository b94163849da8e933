"""Reservation of ports for processes that tests start."""

import socket
from typing import Self

_HOST = "127.0.0.1"


class ReservedPorts:
    """Reserves ports on the loopback address until closed.

    A bound socket that does not listen keeps the system from assigning its
    port to another socket. A server that sets `SO_REUSEADDR` can still
    listen on it, also again after a restart.
    """

    def __init__(self, count: int) -> None:
        self._sockets = [socket.socket() for _ in range(count)]
        for reserved in self._sockets:
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            reserved.bind((_HOST, 0))
        #: `IP:PORT` of each reserved port.
        self.addresses = tuple(
            f"{_HOST}:{reserved.getsockname()[1]}" for reserved in self._sockets
        )

    def __enter__(self) -> Self:
        """Returns the reservation."""
        return self

    def __exit__(self, *error: object) -> None:
        """Gives the ports back."""
        self.close()

    def close(self) -> None:
        """Gives the ports back."""
        for reserved in self._sockets:
            reserved.close()
