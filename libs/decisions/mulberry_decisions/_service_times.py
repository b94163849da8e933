"""Estimates of the run time by kind of work."""

import dataclasses

#: Weight of a new run time in the moving averages.
_EWMA_WEIGHT = 0.1


@dataclasses.dataclass
class _Estimate:
    mean_s: float
    deviation_s: float


class ServiceTimes:
    """Moving averages of the run time and of its absolute deviation.

    Not thread-safe; callers synchronize access.
    """

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}

    def observe(self, kind: str, seconds: float) -> None:
        """Records the run time of a completed request."""
        estimate = self._estimates.get(kind)
        if estimate is None:
            self._estimates[kind] = _Estimate(seconds, seconds / 2)
            return
        error = seconds - estimate.mean_s
        estimate.mean_s += _EWMA_WEIGHT * error
        estimate.deviation_s += _EWMA_WEIGHT * (
            abs(error) - estimate.deviation_s
        )

    def mean_s(self, kind: str) -> float:
        """Returns the mean run time, 0 for an unknown kind."""
        estimate = self._estimates.get(kind)
        return estimate.mean_s if estimate else 0.0

    def upper_estimate_s(self, kind: str, deviations: float) -> float:
        """Returns the mean plus a multiple of the deviation, 0 if unknown."""
        estimate = self._estimates.get(kind)
        if estimate is None:
            return 0.0
        return estimate.mean_s + deviations * estimate.deviation_s
