"""How busy each upstream is, from its reports and from own requests."""

import dataclasses
import threading
from collections.abc import Container, Sequence

import mulberry_core as core

#: Time in which half of the requests of a report have ended: about one run of
#: a short request. Seconds.
REPORT_HALF_LIFE_S = 2.0


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """What an upstream said of itself in an answer."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass
class _UpstreamLoad:
    own_in_flight: int = 0
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
        self._load_by_name: dict[str, _UpstreamLoad] = {}

    def started(self, name: str) -> None:
        """Counts a request that is sent to the upstream."""
        with self._lock:
            self._load_by_name.setdefault(
                name, _UpstreamLoad()
            ).own_in_flight += 1

    def ended(self, name: str) -> None:
        """Takes it off again."""
        with self._lock:
            load = self._load_by_name.setdefault(name, _UpstreamLoad())
            load.own_in_flight = max(0, load.own_in_flight - 1)

    def reported(self, name: str, report: LoadReport) -> None:
        """Takes a report that came with an answer just now."""
        with self._lock:
            load = self._load_by_name.setdefault(name, _UpstreamLoad())
            load.report = report
            load.reported_s = self._clock.now()
            load.own_at_report = load.own_in_flight

    def keep_only(self, names: Container[str]) -> None:
        """Forgets upstreams that are gone and have no request left."""
        with self._lock:
            for name in list(self._load_by_name):
                if (
                    name not in names
                    and not self._load_by_name[name].own_in_flight
                ):
                    del self._load_by_name[name]

    def own_in_flight(self, name: str) -> int:
        """Returns the requests of this entry at the upstream."""
        with self._lock:
            load = self._load_by_name.get(name)
            return load.own_in_flight if load else 0

    def estimates(self, names: Sequence[str]) -> dict[str, float]:
        """Returns the requests believed to run or wait at like upstreams."""
        now_s = self._clock.now()
        with self._lock:
            loads = [
                self._load_by_name.get(name, _NO_REQUESTS) for name in names
            ]
            weights = [_report_weight(load, now_s) for load in loads]
            remote_loads = [_remote_load(load) for load in loads]
            own_in_flight = [load.own_in_flight for load in loads]
        total = sum(weights)
        mean_remote = (
            sum(w * r for w, r in zip(weights, remote_loads, strict=True))
            / total
            if total
            else 0.0
        )
        return {
            name: in_flight + weight * remote + (1.0 - weight) * mean_remote
            for name, in_flight, weight, remote in zip(
                names, own_in_flight, weights, remote_loads, strict=True
            )
        }


_NO_REQUESTS = _UpstreamLoad()


def _report_weight(load: _UpstreamLoad, now_s: float) -> float:
    """Returns how much a report still says, 0 to 1."""
    if isinstance(load.report, core.Missing):
        return 0.0
    return float(0.5 ** ((now_s - load.reported_s) / REPORT_HALF_LIFE_S))


def _remote_load(load: _UpstreamLoad) -> float:
    """Returns the requests of other entries when the report was made."""
    if isinstance(load.report, core.Missing):
        return 0.0
    total = load.report.running + load.report.waiting
    return float(max(0, total - load.own_at_report))
