"""Learned run times by kind of work."""

import dataclasses

#: Weight of a new run time in the averages.
_GAIN = 0.1


@dataclasses.dataclass
class _Estimate:
    mean_s: float
    deviation_s: float


class ServiceTimes:
    """Mean run time and mean absolute deviation of each kind.

    Not thread-safe; the owner holds its lock.
    """

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}

    def observe(self, kind: str, seconds: float) -> None:
        """Takes the run time of a completed request."""
        known = self._estimates.get(kind)
        if known is None:
            self._estimates[kind] = _Estimate(seconds, seconds / 2)
            return
        error = seconds - known.mean_s
        known.mean_s += _GAIN * error
        known.deviation_s += _GAIN * (abs(error) - known.deviation_s)

    def mean_s(self, kind: str) -> float:
        """Returns the mean run time, 0 for an unknown kind."""
        known = self._estimates.get(kind)
        return known.mean_s if known else 0.0

    def likely_s(self, kind: str, deviations: float) -> float:
        """Returns the mean plus a number of deviations, 0 if unknown."""
        known = self._estimates.get(kind)
        if known is None:
            return 0.0
        return known.mean_s + deviations * known.deviation_s
