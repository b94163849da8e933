"""How long work takes at an upstream, relative to the usual."""

import collections
import math
import statistics

#: Newest reports whose median is the usual pace. Machines that are shared with
#: others are slowed for spans of about half a second, a seventh of the time:
#: of nine reports over a second or two, most are from outside such a span.
_USUAL_REPORTS = 9
#: Time after which half of the deviation of the newest report from the usual
#: pace still counts, seconds.
_DEVIATION_HALF_LIFE_S = 0.3
#: Largest and smallest pace that is believed. No machine of a service is ten
#: times slower than the others for long, and a false report must not take an
#: upstream out of use.
_MIN_PACE = 0.2
_MAX_PACE = 10.0


class UpstreamPace:
    """Estimates how long work takes at one upstream now; 1 is usual.

    Load pattern: upstreams of one service on machines of unlike speed, which
    also slow down for fractions of a second. The median of some reports
    follows a lasting change within a second or two and ignores single false
    reports. The newest report is believed for as long as such a span lasts.

    Not thread-safe.
    """

    def __init__(self) -> None:
        self._reports: collections.deque[float] = collections.deque(
            maxlen=_USUAL_REPORTS
        )
        self._usual = 1.0
        self._newest = 1.0
        self._reported_s = -math.inf

    @property
    def is_reported(self) -> bool:
        """Whether the upstream has reported its pace."""
        return bool(self._reports)

    @property
    def usual(self) -> float:
        """Usual pace of the upstream, 1 before the first report."""
        return self._usual

    def reported(self, pace: float, at_s: float) -> None:
        """Records a report of the upstream.

        Args:
            pace: Time that work takes, relative to the usual.
            at_s: `Clock.now` when the upstream sent it, seconds.
        """
        pace = min(_MAX_PACE, max(_MIN_PACE, pace))
        self._reports.append(pace)
        self._usual = statistics.median_low(self._reports)
        if at_s >= self._reported_s:
            self._newest, self._reported_s = pace, at_s

    def at(self, now_s: float) -> float:
        """Returns the pace that is expected now."""
        age_s = max(0.0, now_s - self._reported_s)
        weight = float(0.5 ** (age_s / _DEVIATION_HALF_LIFE_S))
        return self._usual + weight * (self._newest - self._usual)
