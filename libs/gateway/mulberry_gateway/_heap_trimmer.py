"""Decides when freed memory is returned to the system."""

from collections.abc import Callable

import mulberry_core as core

#: Share of the limit that has to be freed between two trims, 0 to 1.
_MIN_FREED_SHARE = 0.125


class HeapTrimmer:
    """Trims the heap while large requests come and go.

    The allocator returns free memory at the end of the heap only. What crowds
    free between blocks that are still used stays resident, and later blocks of
    other sizes do not fit into it.
    """

    def __init__(self, trim: Callable[[], None] = core.trim_heap) -> None:
        """Creates a trimmer.

        Args:
            trim: Returns the free memory to the system.
        """
        self._trim = trim
        self._trimmed_bytes = 0

    def check(self, usage: core.MemoryUsage) -> bool:
        """Trims if enough was freed since the last time; returns whether."""
        freed_bytes = usage.freed_bytes - self._trimmed_bytes
        if freed_bytes < usage.limit_bytes * _MIN_FREED_SHARE:
            return False
        self._trimmed_bytes = usage.freed_bytes
        self._trim()
        return True
