"""Runs that the router ended before their answer was complete."""

import collections
import threading

import mulberry_core as core
from mulberry_gateway import _incomplete_runs, _strike_ledger

#: A dropped run may have crashed its upstream if the crash became known within
#: this time of its end, seconds. The upstream stops a run that is dropped.
_CRASH_WINDOW_S = 0.5


class DroppedRuns:
    """Finds dropped runs that may have crashed their upstream.

    The router drops an answer of low confidence at its head, and withdraws
    requests that have been blocked, so that it never sees their connection
    break. Other runs show the crash.
    """

    def __init__(
        self, ledger: _strike_ledger.StrikeLedger, clock: core.Clock
    ) -> None:
        self._ledger = ledger
        self._clock = clock
        self._lock = threading.Lock()
        self._runs: collections.deque[_incomplete_runs.IncompleteRun] = (
            collections.deque(maxlen=_incomplete_runs.MAX_RUNS)
        )

    def add(self, run: _incomplete_runs.IncompleteRun) -> None:
        """Watches a run that has just ended."""
        with self._lock:
            self._runs.append(run)

    def pop_lost(self) -> list[_incomplete_runs.IncompleteRun]:
        """Removes and returns the runs that may have crashed their upstream."""
        oldest_s = self._clock.now() - 2 * _CRASH_WINDOW_S
        with self._lock:
            runs = list(self._runs)
            lost = [run for run in runs if self._is_lost(run)]
            self._runs.clear()
            self._runs.extend(
                run
                for run in runs
                if run.ended_s > oldest_s and run not in lost
            )
        return lost

    def _is_lost(self, run: _incomplete_runs.IncompleteRun) -> bool:
        crash_s = self._ledger.crash_seen_s(
            run.upstream.name, run.upstream.incarnation
        )
        return (
            not isinstance(crash_s, core.Missing)
            and abs(crash_s - run.ended_s) <= _CRASH_WINDOW_S
        )
