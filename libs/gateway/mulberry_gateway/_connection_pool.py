"""Threads and memory that all listeners of a process share."""

import contextlib
import socket
from collections.abc import Callable

import mulberry_core as core
from mulberry_gateway import _connection_threads, _settings

#: What a running daemon takes without connections. It takes 66 MB alone, and
#: the more the larger the fleet; the rest is for the allocator.
_DAEMON_BYTES = 75_000_000
#: Smallest share of the memory that connections get, 0 to 1. At least a body
#: of 4 MiB, its copies and some small requests have to fit.
_MIN_SHARE = 0.15
#: Charged for each connection: its objects, the stack of its thread, and a
#: request of the usual size.
_CONNECTION_BYTES = 49_152


class ConnectionPool:
    """Serves connections within the limits of the process."""

    def __init__(
        self,
        limits: _settings.ProcessLimits,
        clock: core.Clock,
        max_threads: int | None = None,
    ) -> None:
        """Creates a pool without threads; they are started as needed.

        Args:
            limits: Limits of the process.
            clock: Source of time.
            max_threads: Connections served at once, by default all; further
                ones wait.
        """
        total = limits.memory_mb * 1e6
        count = limits.max_connections
        self.budget = core.MemoryBudget(
            core.BudgetLimits(
                max_bytes=int(max(total - _DAEMON_BYTES, total * _MIN_SHARE)),
                max_connections=count,
                connection_bytes=_CONNECTION_BYTES,
            ),
            clock,
        )
        self._threads = _connection_threads.ConnectionThreads(
            max_threads or count, "connection"
        )

    def submit(self, serve: Callable[[], None]) -> None:
        """Serves a connection on a thread.

        Raises:
            RuntimeError: No thread could be started, or the process ends.
        """
        self._threads.submit(serve)

    def join(self) -> None:
        """Serves no more connections and waits until all are closed."""
        self._threads.join()

    def open_account(
        self, sock: socket.socket, is_reserved: bool
    ) -> core.MemoryAccount | core.Missing:
        """Opens the account of a connection, unset if there is no room."""

        def stop_reading() -> None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RD)

        return self.budget.open(stop_reading, is_reserved)
