"""Exports the state of the memory budget, and trims the heap."""

import os
import pathlib

import mulberry_core as core
from mulberry_gateway import _heap_trimmer

_STATM = pathlib.Path("/proc/self/statm")
#: Column of `statm` with the resident memory, in pages.
_RESIDENT = 1
#: Interval between updates of the gauges, seconds.
_PERIOD_S = 1.0


class MemoryGauges:
    """Sets the gauges; called by one thread at a time."""

    def __init__(
        self,
        budget: core.MemoryBudget,
        counters: core.Counters,
        log: core.DecisionLog,
        trimmer: _heap_trimmer.HeapTrimmer | None = None,
    ) -> None:
        """Creates the gauges.

        Args:
            budget: Its state is exported.
            counters: Gets the gauges and counters.
            log: Told when the memory is short, and when it no longer is.
            trimmer: Asked after each update; by default a new one.
        """
        self._trimmer = trimmer or _heap_trimmer.HeapTrimmer()
        self._budget = budget
        self._counters = counters
        self._log = log
        self._last = budget.usage()
        self._is_short = False

    def start(self, timers: core.TimerService) -> None:
        """Starts to update the gauges."""
        timers.every(_PERIOD_S, self.record, "memory")

    def record(self) -> None:
        """Sets the gauges, counts what happened since, and trims the heap."""
        usage, last = self._budget.usage(), self._last
        self._last = usage
        refused = usage.refused - last.refused
        closed = usage.closed - last.closed
        counters = self._counters
        counters.gauge("gateway.memory.limit_bytes", float(usage.limit_bytes))
        counters.gauge(
            "gateway.memory.charged_bytes", float(usage.charged_bytes)
        )
        counters.gauge("gateway.memory.peak_bytes", float(usage.peak_bytes))
        counters.gauge("gateway.memory.connections", float(usage.connections))
        counters.gauge("gateway.memory.resident_bytes", _resident_bytes())
        counters.increment("gateway.memory.trimmed", self._trimmer.check(usage))
        counters.increment("gateway.memory.refused", refused)
        counters.increment("gateway.memory.closed", closed)
        is_short = bool(refused or closed)
        if is_short != self._is_short:
            self._is_short = is_short
            self._log.note(
                "memory",
                keep=True,
                short=is_short,
                refused=usage.refused,
                closed=usage.closed,
                charged_bytes=usage.charged_bytes,
                limit_bytes=usage.limit_bytes,
                connections=usage.connections,
            )


def _resident_bytes() -> float:
    try:
        pages = int(_STATM.read_text().split()[_RESIDENT])
    except (OSError, ValueError, IndexError):
        return 0.0
    return float(pages * os.sysconf("SC_PAGE_SIZE"))
