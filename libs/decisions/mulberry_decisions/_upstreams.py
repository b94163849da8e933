"""Choice of an upstream: interface and baselines."""

import abc
import dataclasses
import random
import threading
from collections.abc import Sequence

import mulberry_core as core
from mulberry_decisions import _work


@dataclasses.dataclass(frozen=True)
class UpstreamState:
    """State of one upstream as known to an entry."""

    name: str
    #: `IP:PORT`.
    address: str
    zone: str
    #: Increases with each restart of the upstream.
    incarnation: int
    #: (model, version) pairs that it serves; empty for a plain service.
    serves: frozenset[tuple[str, str]] = frozenset()
    #: Name of the plain service.
    service: str | core.Missing = core.Missing.UNSET
    #: Number of requests that it runs at once.
    capacity: int = 1
    #: Reported number of running requests.
    running: int = 0
    #: Reported number of waiting requests.
    queued: int = 0
    #: Seconds since the load was reported.
    report_age_s: float = 0.0
    #: Number of requests of this entry in flight on it.
    own_in_flight: int = 0
    #: Seconds since its first announcement in this incarnation.
    since_start_s: float = float("inf")
    leaving: bool = False

    @property
    def reported_load(self) -> float:
        """Reported requests as a share of the capacity."""
        return (self.running + self.queued) / max(1, self.capacity)


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """A change of an upstream's prefix cache; events may be late or lost."""

    upstream: str
    incarnation: int
    #: Sequence number at the upstream; a gap means lost events.
    sequence: int
    stored: tuple[str, ...] = ()
    dropped: tuple[str, ...] = ()
    #: Whether the whole cache was emptied before `stored`.
    cleared: bool = False


class UpstreamChooser(abc.ABC):
    """Chooses the upstream of a request."""

    def choose(
        self, work: _work.Work, candidates: Sequence[UpstreamState]
    ) -> UpstreamState | core.Refusal:
        """Chooses one of `candidates`.

        Args:
            work: The request.
            candidates: Upstreams that may run it; leaving ones are skipped.

        Returns:
            The upstream, or a refusal of kind `NO_UPSTREAM`.
        """
        usable = [state for state in candidates if not state.leaving]
        if not usable:
            return core.Refusal(
                core.ErrorKind.NO_UPSTREAM,
                core.RunState.NOT_RUN,
                f"none of {len(candidates)} upstreams accepts new work",
            )
        return self._choose(work, usable)

    @abc.abstractmethod
    def _choose(
        self, work: _work.Work, usable: Sequence[UpstreamState]
    ) -> UpstreamState:
        """Chooses one of at least one usable upstreams."""

    def started(  # noqa: B027 - an optional hook
        self, work: _work.Work, upstream: UpstreamState
    ) -> None:
        """Called after the request was sent to `upstream`."""

    def finished(  # noqa: B027 - an optional hook
        self,
        work: _work.Work,
        upstream: UpstreamState,
        outcome: _work.Outcome,
        latency_s: float,
    ) -> None:
        """Called when the run ends, once for each `started`."""

    def cache_changed(  # noqa: B027 - an optional hook
        self, event: CacheEvent
    ) -> None:
        """Called for each event of an upstream's prefix cache."""


class RoundRobin(UpstreamChooser):
    """Takes the upstreams in turn."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._next = 0

    def _choose(
        self, work: _work.Work, usable: Sequence[UpstreamState]
    ) -> UpstreamState:
        with self._lock:
            self._next += 1
            return usable[self._next % len(usable)]


class LeastReportedLoad(UpstreamChooser):
    """Takes the upstream with the least reported load."""

    def _choose(
        self, work: _work.Work, usable: Sequence[UpstreamState]
    ) -> UpstreamState:
        return min(usable, key=lambda state: (state.reported_load, state.name))


class TwoRandomChoices(UpstreamChooser):
    """Takes the one of two random upstreams with the lower reported load."""

    def __init__(self, seed: int | None = None) -> None:
        self._lock = threading.Lock()
        self._random = random.Random(seed)

    def _choose(
        self, work: _work.Work, usable: Sequence[UpstreamState]
    ) -> UpstreamState:
        with self._lock:
            pair = self._random.sample(usable, min(2, len(usable)))
        return min(pair, key=lambda state: state.reported_load)
