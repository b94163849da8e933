"""How busy each upstream is, from its reports and from own requests."""

import dataclasses
import threading
from collections.abc import Container

import mulberry_core as core

#: After this time a report says little about who runs now: about one run of
#: a short request. Seconds.
REPORT_FADES_S = 2.0


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """What an upstream said of itself in an answer."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass
class _Entry:
    own: int = 0
    report: LoadReport | core.Missing = core.Missing.UNSET
    reported_s: float = 0.0
    own_at_report: int = 0


class LoadBook:
    """Estimates the requests at each upstream; safe for many threads.

    Answers the load pattern of many entries that share upstreams: each entry
    sees its own requests at once and those of the others only by reports
    that come with answers. A report is corrected by what this entry has
    started and ended since, and fades as it ages.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._entry_by_name: dict[str, _Entry] = {}

    def started(self, name: str) -> None:
        """Counts a request that is sent to the upstream."""
        with self._lock:
            self._entry_by_name.setdefault(name, _Entry()).own += 1

    def ended(self, name: str) -> None:
        """Takes it off again."""
        with self._lock:
            entry = self._entry_by_name.setdefault(name, _Entry())
            entry.own = max(0, entry.own - 1)

    def reported(self, name: str, report: LoadReport) -> None:
        """Takes a report that came with an answer just now."""
        with self._lock:
            entry = self._entry_by_name.setdefault(name, _Entry())
            entry.report = report
            entry.reported_s = self._clock.now()
            entry.own_at_report = entry.own

    def keep_only(self, names: Container[str]) -> None:
        """Forgets upstreams that are gone and have no request left."""
        with self._lock:
            for name in list(self._entry_by_name):
                if name not in names and not self._entry_by_name[name].own:
                    del self._entry_by_name[name]

    def own(self, name: str) -> int:
        """Returns the requests of this entry at the upstream."""
        with self._lock:
            entry = self._entry_by_name.get(name)
            return entry.own if entry else 0

    def estimate(self, name: str) -> float:
        """Returns the requests believed to be running or waiting there."""
        with self._lock:
            entry = self._entry_by_name.get(name)
            if entry is None:
                return 0.0
            if isinstance(entry.report, core.Missing):
                return float(entry.own)
            age_s = self._clock.now() - entry.reported_s
            trust = max(0.0, 1.0 - age_s / REPORT_FADES_S)
            others = (
                entry.report.running
                + entry.report.waiting
                - entry.own_at_report
            )
            return entry.own + max(0.0, others) * trust
