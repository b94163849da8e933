"""How busy each upstream is, from its reports and from own requests."""

import dataclasses
import threading
from collections.abc import Container, Sequence

import mulberry_core as core

#: Time in which half of the requests of a report have ended: about one run of
#: a short request. Seconds.
REPORT_HALVES_S = 2.0


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


class LoadEstimator:
    """Estimates the requests at each upstream; safe for many threads.

    Answers the load pattern of many entries that share upstreams: each entry
    sees its own requests at once and those of the others only by reports
    that come with answers. A report is corrected by what this entry has
    started and ended since. As it ages, what the others are believed to run
    there turns into what they run on the average: an upstream that this
    entry has not heard of is as busy as the rest, and not idle.
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

    def estimates(self, names: Sequence[str]) -> dict[str, float]:
        """Returns the requests believed to run or wait at like upstreams."""
        now_s = self._clock.now()
        with self._lock:
            entries = [
                self._entry_by_name.get(name, _NOTHING) for name in names
            ]
            trusts = [_trust(entry, now_s) for entry in entries]
            others = [_others(entry) for entry in entries]
            own = [entry.own for entry in entries]
        total = sum(trusts)
        usual = (
            sum(t * o for t, o in zip(trusts, others, strict=True)) / total
            if total
            else 0.0
        )
        return {
            name: mine + trust * other + (1.0 - trust) * usual
            for name, mine, trust, other in zip(
                names, own, trusts, others, strict=True
            )
        }


_NOTHING = _Entry()


def _trust(entry: _Entry, now_s: float) -> float:
    """Returns how much a report still says, 0 to 1."""
    if isinstance(entry.report, core.Missing):
        return 0.0
    return float(0.5 ** ((now_s - entry.reported_s) / REPORT_HALVES_S))


def _others(entry: _Entry) -> float:
    """Returns the requests of other entries when the report was made."""
    if isinstance(entry.report, core.Missing):
        return 0.0
    busy = entry.report.running + entry.report.waiting
    return float(max(0, busy - entry.own_at_report))
