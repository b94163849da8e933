"""What instances tell the leader along with their renewals."""

import threading

import mulberry_core as core

#: Reports of processes that are silent for longer are dropped, seconds. What
#: a process has counted before it was lost still matters to a rollout.
RETENTION_S = 300.0


class RenewalReports:
    """The newest report of each process; safe for many threads.

    Renewals reach the leader from every instance anyway. Passing reports on
    to all instances instead grows with the square of their number.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        #: Report and time of its arrival, seconds, by instance and process.
        self._report_by_process: dict[tuple[str, str], tuple[bytes, float]] = {}

    def store(self, instance: str, process: str, report: bytes) -> None:
        """Keeps the report of a process unless it says nothing."""
        if not report:
            return
        with self._lock:
            self._report_by_process[instance, process] = (
                report,
                self._clock.now(),
            )

    def all(self) -> tuple[bytes, ...]:
        """Returns the newest report of each process."""
        oldest_s = self._clock.now() - RETENTION_S
        with self._lock:
            for key, (_, at_s) in list(self._report_by_process.items()):
                if at_s < oldest_s:
                    del self._report_by_process[key]
            return tuple(
                report for report, _ in self._report_by_process.values()
            )
