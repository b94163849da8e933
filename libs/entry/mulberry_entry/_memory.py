"""Memory that the requests of an entry may take together."""

import contextlib
import socket
from typing import Any

from cheroot import errors

import mulberry_core as core
import mulberry_rules as rules

#: What a running instance takes without connections: 82 MB, and some for the
#: allocator.
_INSTANCE_BYTES = 90_000_000
#: Charged for each connection that is served: its objects, the stack of its
#: thread, and a request of the usual size.
_CONNECTION_BYTES = 49_152
#: Charged for each byte of a body: the copy when it is complete, and what a
#: growing `bytearray` reserves.
_BODY_FACTOR = 2.125
#: Charged for each byte of a head: in cheroot's dict and in the environment.
_HEAD_FACTOR = 2
#: Charged for each header line after the first ones: two objects and an entry
#: in each of both dicts.
_LINE_BYTES = 512
_FREE_LINES = 64
#: The shortest line has a name of one character, a colon, CR and LF.
_MIN_LINE_BYTES = 4
#: Share of the bytes that large requests leave to others, 0 to 1.
_SMALL_SHARE = 0.25


def budget(limits: rules.Limits, max_connections: int) -> core.MemoryBudget:
    """Returns the budget of an entry.

    Whatever the memory of the process, the largest legal request fits beside
    small ones on all other connections.
    """
    lines = limits.max_header_bytes // _MIN_LINE_BYTES
    largest = (
        _CONNECTION_BYTES
        + _head_bytes(limits.max_header_bytes, lines)
        + _body_bytes(limits.max_body_bytes)
    )
    least = int(largest / (1.0 - _SMALL_SHARE)) + (
        max_connections * _CONNECTION_BYTES
    )
    return core.MemoryBudget(
        core.BudgetLimits(
            max_bytes=max(
                limits.max_memory_mb * 1_000_000 - _INSTANCE_BYTES, least
            ),
            max_connections=max_connections,
            reserved_share=0.0,
            small_share=_SMALL_SHARE,
            connection_bytes=_CONNECTION_BYTES,
        ),
        core.SystemClock(),
    )


class RequestMemory:
    """Charges one request to the budget while it arrives and runs."""

    def __init__(
        self,
        shared: core.MemoryBudget,
        clock: core.Clock,
        sock: socket.socket,
    ) -> None:
        """Waits shortly for room if there is none."""

        def stop_reading() -> None:
            with contextlib.suppress(OSError):
                # `SSLSocket.shutdown` would end the encryption of the answer.
                socket.socket.shutdown(sock, socket.SHUT_RD)

        self._clock = clock
        self._account = shared.open(stop_reading)
        self._head_bytes = 0
        self._is_refused = isinstance(self._account, core.Missing)

    @property
    def is_refused(self) -> bool:
        """Whether there is no room: the request must be refused."""
        return self._is_refused or (
            isinstance(self._account, core.MemoryAccount)
            and self._account.is_evicted
        )

    def charge_head(self, size_bytes: int, lines: int) -> bool:
        """Charges for what arrived of a head; returns whether it fits."""
        self._head_bytes = _head_bytes(size_bytes, lines)
        return self._charge(self._head_bytes)

    def charge_body(self, size_bytes: int) -> bool:
        """Charges for a body of this size; returns whether it fits."""
        return self._charge(self._head_bytes + _body_bytes(size_bytes))

    def run(self) -> bool:
        """Notes that the request is complete; false if it must be refused."""
        if isinstance(self._account, core.Missing) or not self._account.run():
            self._is_refused = True
        return not self._is_refused

    def close(self) -> None:
        """Frees everything."""
        if isinstance(self._account, core.MemoryAccount):
            self._account.close()

    def _charge(self, size_bytes: int) -> bool:
        if isinstance(self._account, core.Missing):
            return False
        self._account.reading(self._clock.now())
        if not self._account.charge_request(size_bytes):
            self._is_refused = True
        return not self.is_refused


class ChargedHead:
    """Reads the lines of a head and charges for them."""

    def __init__(self, head: Any, memory: RequestMemory) -> None:
        """Reads from cheroot's reader, which limits the bytes of a head."""
        self._head = head
        self._memory = memory
        self._lines = 0

    def readline(self) -> bytes:
        """Returns a line.

        Raises:
            errors.MaxSizeExceeded: The head is too large, or does not fit into
                the memory.
        """
        line: bytes = self._head.readline()
        self._lines += 1
        if not self._memory.charge_head(self._head.bytes_read, self._lines):
            raise errors.MaxSizeExceeded
        return line


def _head_bytes(size_bytes: int, lines: int) -> int:
    charged_lines = max(0, lines - _FREE_LINES)
    return _HEAD_FACTOR * size_bytes + _LINE_BYTES * charged_lines


def _body_bytes(size_bytes: int) -> int:
    return int(_BODY_FACTOR * size_bytes)
