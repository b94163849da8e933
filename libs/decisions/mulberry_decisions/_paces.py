"""How fast answers come, counted so that instances can add their counts."""

import collections
import math
from collections.abc import Iterable, Mapping

#: Buckets of durations for each doubling.
_PER_OCTAVE = 4
#: Shortest duration that is told apart, seconds: what one read takes.
_SHORTEST_S = 0.001
#: Buckets above the median of other versions from which an answer counts as
#: several times slower: a factor of 2.4 to 3.4. An engine with few requests
#: hides a part of the difference.
_SLOW_BUCKETS = 6
#: Fewest answers that a median is taken from.
_FEWEST_ANSWERS = 10

#: Answers by bucket; buckets grow with the duration.
PaceCounts = Mapping[int, int]


def pace_bucket(duration_s: float) -> int:
    """Returns the bucket of a duration in seconds."""
    return round(_PER_OCTAVE * math.log2(max(duration_s, _SHORTEST_S)))


def add_paces(counts: Iterable[PaceCounts]) -> PaceCounts:
    """Returns the sum of counts."""
    total: collections.Counter[int] = collections.Counter()
    for each in counts:
        total.update(each)
    return total


def says_what_is_usual(counts: PaceCounts) -> bool:
    """Whether there are enough answers to compare others with."""
    return sum(counts.values()) >= _FEWEST_ANSWERS


def count_slow(counts: PaceCounts, usual: PaceCounts) -> tuple[int, int]:
    """Returns the answers and how many took several times as long as usual.

    Answers a version that is slow but within the targets, which are far
    above what answers take when all is well.

    Args:
        counts: The answers.
        usual: Enough answers of other versions for a comparison.
    """
    limit = _median(usual) + _SLOW_BUCKETS
    slow = sum(count for bucket, count in counts.items() if bucket >= limit)
    return sum(counts.values()), slow


def _median(counts: PaceCounts) -> int:
    """Returns the bucket of the middle answer."""
    total = sum(counts.values())
    below = 0
    for bucket in sorted(counts):
        below += counts[bucket]
        if 2 * below >= total:
            break
    return bucket
