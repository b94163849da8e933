"""How long requests of each kind have taken recently."""

import collections
import math
import threading

import mulberry_core as core

#: Number of newest durations by kind.
_MAX_SAMPLES = 128
#: Fewest durations from which an upper bound is estimated.
_MIN_SAMPLES = 20
#: Share of the requests that take at most the estimated time.
_PERCENTILE = 0.98
#: Kinds with durations. Kinds that are renamed often must not use memory
#: without limit; the one that was not recorded for longest is dropped.
_MAX_KINDS = 256


class RecentDurations:
    """The newest durations of complete requests, by kind; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_kind: collections.OrderedDict[
            str, collections.deque[float]
        ] = collections.OrderedDict()

    def record(self, kind: str, duration_s: float) -> None:
        """Records a request that was answered completely."""
        with self._lock:
            durations = self._by_kind.get(kind)
            if durations is None:
                durations = collections.deque(maxlen=_MAX_SAMPLES)
                self._by_kind[kind] = durations
                if len(self._by_kind) > _MAX_KINDS:
                    self._by_kind.popitem(last=False)
            self._by_kind.move_to_end(kind)
            durations.append(duration_s)

    def usual_maximum_s(self, kind: str) -> float | core.Missing:
        """Returns the time that requests of a kind seldom exceed, seconds.

        Unset if too few requests of this kind were recorded.
        """
        with self._lock:
            durations = sorted(self._by_kind.get(kind, ()))
        if len(durations) < _MIN_SAMPLES:
            return core.Missing.UNSET
        return durations[math.ceil(len(durations) * _PERCENTILE) - 1]
