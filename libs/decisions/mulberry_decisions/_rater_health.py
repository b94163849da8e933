"""Whether the ratings of answers can be relied on."""

import collections

#: Missing ratings in a row until the rater is taken to be away.
_MISSING_UNTIL_UNAVAILABLE = 3
#: Time between requests that try a rater that is away, seconds.
_PROBE_PERIOD_S = 5.0
#: Ratings that are compared with what was expected.
WINDOW = 30
#: Fewest ratings of a model in the window for it to count.
_MIN_RATINGS = 8
#: Difference between the seen and the expected share that is suspect.
_SUSPECT_DIFFERENCE = 0.35
#: The same if all ratings in the window are equal.
_STUCK_DIFFERENCE = 0.15
#: Longest time for which ratings are not learned from, seconds.
_MAX_SUSPECT_S = 600.0


class RaterHealth:
    """Notices a rater that is away, stuck, or wrong about all models.

    A difference of one model alone says something about that model; when all
    models differ in the same direction, the rater or the work has changed.
    Not thread-safe; the owner holds its lock.
    """

    def __init__(self) -> None:
        self._missing = 0
        self._probed_at_s = float("-inf")
        self._suspect_since_s = float("inf")
        #: Ratings and differences from the expectation, newest last.
        self._recent: collections.deque[tuple[str, float, float]] = (
            collections.deque(maxlen=WINDOW)
        )

    def record_missing(self) -> None:
        """Takes a failed or late rating."""
        self._missing += 1

    def record_rating(
        self, model: str, rating: float, met: bool, expected: float
    ) -> None:
        """Takes a rating and the share that was expected to meet it."""
        self._missing = 0
        self._recent.append((model, rating, float(met) - expected))

    def is_unavailable(self) -> bool:
        """Whether ratings have been missing."""
        return self._missing >= _MISSING_UNTIL_UNAVAILABLE

    def may_probe(self, now_s: float) -> bool:
        """Whether this request should try the rater again."""
        if now_s - self._probed_at_s < _PROBE_PERIOD_S:
            return False
        self._probed_at_s = now_s
        return True

    def is_suspect(self, now_s: float) -> bool:
        """Whether the recent ratings are not to be learned from.

        Doubt ends after a while: if the ratings are still the same then, the
        work has changed, and the window's ratings are learned.
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
