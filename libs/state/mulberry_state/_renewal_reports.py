"""Reports that instances send to the leader with lease renewals."""

import threading

import mulberry_core as core

#: Seconds for which the last report of a silent process is kept. The counts of
#: a process that was lost still matter to a rollout.
RETENTION_S = 300.0


class RenewalReports:
    """The newest report of each process; thread-safe.

    Renewals from every instance reach the leader anyway. The cost of sending
    the reports to all instances would grow with the square of their number.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        #: Report and its arrival time in seconds, by instance and process.
        self._report_by_process: dict[tuple[str, str], tuple[bytes, float]] = {}

    def store(self, instance: str, process: str, report: bytes) -> None:
        """Stores the report of a process unless it is empty."""
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
