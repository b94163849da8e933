"""Rank test of answer durations, on histograms that instances can add up."""

import collections
import dataclasses
import enum
import math
from collections.abc import Iterable, Mapping

#: Number of buckets for each doubling of the duration.
_BUCKETS_PER_DOUBLING = 4
#: Shortest duration with a bucket of its own, seconds: the time of one read.
_MIN_DURATION_S = 0.001
#: Mean rank from which answers may count as slow, whatever their number. Equal
#: versions have about 0.5; doubled load gives all answers about 0.7.
_MIN_MEAN_RANK = 0.8
#: Standard deviations of the mean rank above 0.5 from which answers may count
#: as slow. High, because the comparison is repeated throughout a rollout.
_MIN_DEVIATIONS = 4.0
#: Probability of so few answers faster than the baseline's median below which a
#: version counts as slow. It is that of a healthy version whose engines have no
#: more requests than the baseline's.
_FEW_FAST_SIGNIFICANCE = 5e-3
#: Minimum number of answers for a comparison.
_MIN_ANSWERS = 4
#: Minimum number of baseline answers for a comparison.
_MIN_BASELINE_ANSWERS = 15


class RelativeLoad(enum.Enum):
    """Load of a version's engines relative to the baseline's engines."""

    #: The version has a small share of the sessions.
    LOWER = "lower"
    SIMILAR = "similar"
    #: The version has all sessions. No baseline runs at the same time, and the
    #: load may have changed since.
    ALONE = "alone"


#: Shift of the median from the baseline's from which answers may count as slow,
#: buckets: a factor of 1.7, and of 2.4 where the load may explain more. The
#: factors are low because the engines of a new version have few requests at
#: first, which hides most of a slowdown.
_MIN_SHIFT_BY_LOAD = {
    RelativeLoad.LOWER: 3,
    RelativeLoad.SIMILAR: 3,
    RelativeLoad.ALONE: 5,
}

#: Number of answers by duration bucket; bucket numbers grow with the duration.
DurationHistogram = Mapping[int, int]


def duration_bucket(duration_s: float) -> int:
    """Returns the bucket of a duration in seconds."""
    return round(
        _BUCKETS_PER_DOUBLING * math.log2(max(duration_s, _MIN_DURATION_S))
    )


def add_histograms(counts: Iterable[DurationHistogram]) -> DurationHistogram:
    """Returns the sum of the histograms."""
    total: collections.Counter[int] = collections.Counter()
    for each in counts:
        total.update(each)
    return total


@dataclasses.dataclass(frozen=True)
class DurationRanks:
    """Ranks of answers among the baseline answers of their route and model.

    Detects a version that is slow but within the latency targets, which are
    far above normal durations. Baseline durations vary by a factor of ten with
    the load, but a slow version has none of the short ones.
    """

    answers: int = 0
    #: Sum, over the answers, of the share of baseline answers that were faster.
    rank_sum: float = 0.0
    #: Number of answers by distance from the baseline's median, buckets.
    shifts: DurationHistogram = dataclasses.field(default_factory=dict)

    def __add__(self, other: "DurationRanks") -> "DurationRanks":
        return DurationRanks(
            self.answers + other.answers,
            self.rank_sum + other.rank_sum,
            add_histograms((self.shifts, other.shifts)),
        )

    @property
    def mean_rank(self) -> float:
        """Mean rank, 0 to 1; about 0.5 for a version equal to the baseline."""
        return self.rank_sum / max(1, self.answers)

    @property
    def shift(self) -> int:
        """Distance of the median from the baseline's median, buckets."""
        return _median(self.shifts)

    def is_slow(self, load: RelativeLoad) -> bool:
        """Whether the answers are significantly and much slower.

        Args:
            load: Load of the version's engines relative to the baseline's.
        """
        if load is RelativeLoad.LOWER and self._has_no_fast_answers():
            return True
        min_shift = _MIN_SHIFT_BY_LOAD[load]
        if self.answers < _MIN_ANSWERS or self.shift < min_shift:
            return False
        # The ranks of a healthy version are uniformly distributed.
        deviation = math.sqrt(1.0 / (12.0 * self.answers))
        min_rank = max(_MIN_MEAN_RANK, 0.5 + _MIN_DEVIATIONS * deviation)
        return self.mean_rank >= min_rank

    def _has_no_fast_answers(self) -> bool:
        """Whether hardly any answer is in the faster half of the baseline.

        Detects a slow version when the baseline is itself slow, under a load
        that the engines of the new version do not have.
        """
        fast = sum(count for shift, count in self.shifts.items() if shift <= 0)
        combinations = sum(math.comb(self.answers, k) for k in range(fast + 1))
        return combinations / 2.0**self.answers < _FEW_FAST_SIGNIFICANCE


def rank(
    counts: DurationHistogram, baseline: DurationHistogram
) -> DurationRanks:
    """Returns the ranks of answers, of none if the baseline is too small."""
    total = sum(baseline.values())
    if total < _MIN_BASELINE_ANSWERS:
        return DurationRanks()
    rank_sum = sum(
        count
        * (_count_below(bucket, baseline) + 0.5 * baseline.get(bucket, 0))
        / total
        for bucket, count in counts.items()
    )
    median = _median(baseline)
    shifts = {bucket - median: count for bucket, count in counts.items()}
    return DurationRanks(sum(counts.values()), rank_sum, shifts)


def _count_below(bucket: int, counts: DurationHistogram) -> int:
    return sum(count for other, count in counts.items() if other < bucket)


def _median(counts: DurationHistogram) -> int:
    """Returns the bucket of the median answer, 0 without answers."""
    total, below = sum(counts.values()), 0
    for bucket in sorted(counts):
        below += counts[bucket]
        if 2 * below >= total:
            return bucket
    return 0
