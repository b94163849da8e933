"""Detection of unavailable and unreliable raters."""

import collections

#: Consecutive missing ratings after which the rater counts as unavailable.
_MISSING_UNTIL_UNAVAILABLE = 3
#: Time between probes of an unavailable or suspect rater, seconds.
_PROBE_PERIOD_S = 5.0
#: Number of recent ratings that are compared with the expected ones.
WINDOW = 30
#: Minimum number of a model's ratings in the window for the comparison.
_MIN_RATINGS = 8
#: Difference between the observed and the expected share of good answers from
#: which the rater is suspect.
_SUSPECT_DIFFERENCE = 0.35
#: The same difference if all ratings in the window are equal.
_STUCK_DIFFERENCE = 0.15
#: Maximum time for which the rater stays suspect, seconds.
_MAX_SUSPECT_S = 600.0


class RaterHealth:
    """Detects a rater that is unavailable, stuck, or wrong about all models.

    If the ratings of one model differ from the expected ones, that model has
    changed; if those of all models differ in the same direction, the rater or
    the requests have. Not thread-safe; callers must hold a lock.
    """

    def __init__(self) -> None:
        self._missing = 0
        self._probed_at_s = float("-inf")
        self._suspect_since_s = float("inf")
        #: Model, rating and difference from the expected share, newest last.
        self._recent: collections.deque[tuple[str, float, float]] = (
            collections.deque(maxlen=WINDOW)
        )

    def record_missing(self) -> None:
        """Records a failed or late rating."""
        self._missing += 1

    def record_rating(
        self, model: str, rating: float, met: bool, expected: float
    ) -> None:
        """Records a rating.

        Args:
            model: Model that was rated.
            rating: Rating, 0 to 1.
            met: Whether the rating meets the quality target.
            expected: Expected share of ratings that meet it.
        """
        self._missing = 0
        self._recent.append((model, rating, float(met) - expected))

    def is_unavailable(self) -> bool:
        """Whether the latest ratings are missing."""
        return self._missing >= _MISSING_UNTIL_UNAVAILABLE

    def may_probe(self, now_s: float) -> bool:
        """Whether to probe the rater with this request; records the probe."""
        if now_s - self._probed_at_s < _PROBE_PERIOD_S:
            return False
        self._probed_at_s = now_s
        return True

    def is_suspect(self, now_s: float) -> bool:
        """Whether recent ratings must not be learned from.

        After `_MAX_SUSPECT_S` the rater is trusted again: if the ratings still
        differ then, the requests have changed rather than the rater, and the
        ratings of the window are kept.
        """
        if not self._deviates():
            self._suspect_since_s = float("inf")
            return False
        self._suspect_since_s = min(self._suspect_since_s, now_s)
        if now_s - self._suspect_since_s > _MAX_SUSPECT_S:
            self._recent.clear()
            return False
        return True

    def _deviates(self) -> bool:
        if len(self._recent) < WINDOW:
            return False
        mean_difference = sum(each for _, _, each in self._recent) / WINDOW
        is_stuck = len({rating for _, rating, _ in self._recent}) == 1
        if is_stuck and abs(mean_difference) > _STUCK_DIFFERENCE:
            return True
        differences: dict[str, list[float]] = {}
        for model, _, difference in self._recent:
            differences.setdefault(model, []).append(difference)
        means = [
            sum(values) / len(values)
            for values in differences.values()
            if len(values) >= _MIN_RATINGS
        ]
        return len(means) >= 2 and (
            min(means) > _SUSPECT_DIFFERENCE
            or max(means) < -_SUSPECT_DIFFERENCE
        )
