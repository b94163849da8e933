"""Estimates of the load of upstreams, from reports and own requests."""

import dataclasses
import threading
from collections.abc import Container, Sequence

import mulberry_core as core

#: Time until half of the reported requests have ended, seconds: about the run
#: time of a short request.
REPORT_HALF_LIFE_S = 2.0
#: Longest time between the choice of an upstream and the start of the request,
#: seconds; longer than a connection attempt.
_MAX_PENDING_S = 1.0


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Load that an upstream reported in a response."""

    running: int
    waiting: int
    slots: int
    #: How long work takes there at present, 1 as usual; unset if the upstream
    #: does not say.
    pace: float | core.Missing = core.Missing.UNSET


@dataclasses.dataclass
class _UpstreamLoad:
    own_in_flight: int = 0
    report: LoadReport | core.Missing = core.Missing.UNSET
    reported_s: float = 0.0
    own_at_report: int = 0
    #: Times at which the upstream was chosen for requests that have not
    #: started, seconds.
    pending_s: list[float] = dataclasses.field(default_factory=list)


class LoadEstimator:
    """Estimates the requests at each upstream; thread-safe.

    Many entries share the upstreams. Each entry knows its own requests
    exactly, and those of other entries only from the reports that come with
    responses. A report is corrected by the requests that this entry has
    started and ended since. As a report ages, the estimate of the remote
    requests moves to the mean over all upstreams, so an upstream without a
    report counts as busy as the others and not as idle.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._load_by_name: dict[str, _UpstreamLoad] = {}

    def started(self, name: str) -> None:
        """Counts a request sent to the upstream."""
        with self._lock:
            load = self._load_by_name.setdefault(name, _UpstreamLoad())
            load.own_in_flight += 1
            del load.pending_s[:1]

    def chosen(self, name: str) -> None:
        """Counts a request as pending until it starts or a second has passed.

        Requests that choose an upstream at the same time would otherwise not
        know of each other until they are connected.
        """
        with self._lock:
            load = self._load_by_name.setdefault(name, _UpstreamLoad())
            load.pending_s.append(self._clock.now())

    def ended(self, name: str) -> None:
        """Counts the end of a request."""
        with self._lock:
            load = self._load_by_name.setdefault(name, _UpstreamLoad())
            load.own_in_flight = max(0, load.own_in_flight - 1)

    def reported(self, name: str, report: LoadReport) -> None:
        """Stores a report that has just arrived with a response."""
        with self._lock:
            load = self._load_by_name.setdefault(name, _UpstreamLoad())
            load.report = report
            load.reported_s = self._clock.now()
            load.own_at_report = load.own_in_flight

    def keep_only(self, names: Container[str]) -> None:
        """Removes absent upstreams that have no request of this entry."""
        with self._lock:
            for name in list(self._load_by_name):
                if (
                    name not in names
                    and not self._load_by_name[name].own_in_flight
                ):
                    del self._load_by_name[name]

    def own_in_flight(self, name: str) -> int:
        """Returns the number of requests of this entry at the upstream."""
        with self._lock:
            load = self._load_by_name.get(name)
            return load.own_in_flight if load else 0

    def own_requests(self, name: str) -> int:
        """Returns the requests of this entry there, with pending ones."""
        oldest_s = self._clock.now() - _MAX_PENDING_S
        with self._lock:
            load = self._load_by_name.get(name)
            if load is None:
                return 0
            load.pending_s = [
                at_s for at_s in load.pending_s if at_s > oldest_s
            ]
            return load.own_in_flight + len(load.pending_s)

    def estimates(self, names: Sequence[str]) -> dict[str, float]:
        """Returns the estimated running and queued requests by upstream.

        The upstreams must be alike, since the mean is taken over them.
        """
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
    """Returns the weight of the report by its age, 0 to 1."""
    if isinstance(load.report, core.Missing):
        return 0.0
    return float(0.5 ** ((now_s - load.reported_s) / REPORT_HALF_LIFE_S))


def _remote_load(load: _UpstreamLoad) -> float:
    """Returns the requests of other entries at the time of the report."""
    if isinstance(load.report, core.Missing):
        return 0.0
    total = load.report.running + load.report.waiting
    return float(max(0, total - load.own_at_report))
