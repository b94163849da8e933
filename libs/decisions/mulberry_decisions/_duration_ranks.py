"""How fast answers come, counted so that instances can add their counts."""

import collections
import dataclasses
import enum
import math
from collections.abc import Iterable, Mapping

#: Buckets of durations for each doubling.
_BUCKETS_PER_DOUBLING = 4
#: Shortest duration that is told apart, seconds: what one read takes.
_MIN_DURATION_S = 0.001
#: Mean rank from which answers count as slow, whatever their number: a half is
#: usual, and all of a load that doubled is about 0.7.
_MIN_MEAN_RANK = 0.8
#: Standard deviations of the mean rank from which it is not chance; the
#: comparison is repeated all through a rollout.
_MIN_DEVIATIONS = 4.0
#: Probability of so few answers faster than the usual median, from a sound
#: version whose engines have no more requests than the others.
_FEW_FAST_SIGNIFICANCE = 5e-3
#: Fewest answers that are compared.
_MIN_ANSWERS = 4
#: Fewest answers from which the others' pace is known.
_MIN_BASELINE_ANSWERS = 15


class RelativeLoad(enum.Enum):
    """What the engines of a version have to do, against the others'."""

    #: A small share of the sessions.
    LOWER = "lower"
    SIMILAR = "similar"
    #: All sessions: no others run beside, and the load may have changed.
    ALONE = "alone"


#: Median shift against what is usual from which answers count as slow,
#: buckets: a factor of 1.7, and of 2.4 where load may explain more. The
#: engines of a new version have few requests at first, which hides most of it.
_MIN_SHIFT_BY_LOAD = {
    RelativeLoad.LOWER: 3,
    RelativeLoad.SIMILAR: 3,
    RelativeLoad.ALONE: 5,
}

#: Answers by bucket; buckets grow with the duration.
DurationHistogram = Mapping[int, int]


def duration_bucket(duration_s: float) -> int:
    """Returns the bucket of a duration in seconds."""
    return round(
        _BUCKETS_PER_DOUBLING * math.log2(max(duration_s, _MIN_DURATION_S))
    )


def add_histograms(counts: Iterable[DurationHistogram]) -> DurationHistogram:
    """Returns the sum of counts."""
    total: collections.Counter[int] = collections.Counter()
    for each in counts:
        total.update(each)
    return total


@dataclasses.dataclass(frozen=True)
class DurationRanks:
    """Where answers stand among the usual ones of their route and model.

    Answers a version that is slow but within the targets, which are far above
    what answers take when all is well. Usual paces spread over a factor of
    ten with the load; a slow version has none of the fast ones.
    """

    answers: int = 0
    #: Sum, over the answers, of the share of usual ones that were faster.
    rank_sum: float = 0.0
    #: Answers by their distance from the usual median, buckets.
    shifts: DurationHistogram = dataclasses.field(default_factory=dict)

    def __add__(self, other: "DurationRanks") -> "DurationRanks":
        return DurationRanks(
            self.answers + other.answers,
            self.rank_sum + other.rank_sum,
            add_histograms((self.shifts, other.shifts)),
        )

    @property
    def mean_rank(self) -> float:
        """0 to 1, about a half for a version like the others."""
        return self.rank_sum / max(1, self.answers)

    @property
    def shift(self) -> int:
        """Distance of the median from the usual one, buckets."""
        return _median(self.shifts)

    def is_slow(self, load: RelativeLoad) -> bool:
        """Whether the answers took far longer, and not by chance.

        Args:
            load: Of the engines of the version against the others' engines.
        """
        if load is RelativeLoad.LOWER and self._has_no_fast_answers():
            return True
        min_shift = _MIN_SHIFT_BY_LOAD[load]
        if self.answers < _MIN_ANSWERS or self.shift < min_shift:
            return False
        # A rank is evenly spread for a sound version.
        deviation = math.sqrt(1.0 / (12.0 * self.answers))
        min_rank = max(_MIN_MEAN_RANK, 0.5 + _MIN_DEVIATIONS * deviation)
        return self.mean_rank >= min_rank

    def _has_no_fast_answers(self) -> bool:
        """Whether hardly any answer is in the faster half of the usual ones.

        Answers others that are slow themselves, under a load that the engines
        of the new version do not have.
        """
        fast = sum(count for shift, count in self.shifts.items() if shift <= 0)
        combinations = sum(math.comb(self.answers, k) for k in range(fast + 1))
        return combinations / 2.0**self.answers < _FEW_FAST_SIGNIFICANCE


def rank(
    counts: DurationHistogram, baseline: DurationHistogram
) -> DurationRanks:
    """Returns the ranks of answers, of none if too little is usual."""
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
    """Returns the bucket of the middle answer, 0 for no answers."""
    total, below = sum(counts.values()), 0
    for bucket in sorted(counts):
        below += counts[bucket]
        if 2 * below >= total:
            return bucket
    return 0
