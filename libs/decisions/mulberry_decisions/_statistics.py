"""Sequential tests of a proportion against a bound.

The test statistics are mixtures of likelihood ratios. Under the null
hypothesis that the proportion is at most (or at least) the bound, a mixture is
a nonnegative supermartingale that starts at 1. By Ville's inequality it ever
reaches X with a probability of at most 1 / X, however often it is evaluated.
"""

import functools
import math
from collections.abc import Sequence

#: Alternative hypotheses above the bound, as fractions of the distance from
#: the bound to 1.
_ALTERNATIVES = (0.1, 0.2, 0.35, 0.5, 0.75, 0.95)
#: Proportions are clipped to this distance from 0 and 1.
_MIN_DISTANCE = 1e-4
_BISECTIONS = 30


def evidence_above(hits: int, total: int, bound: float) -> float:
    """Returns the log mixture likelihood ratio for a share above `bound`."""
    alternatives = tuple(
        bound + (1.0 - bound) * fraction for fraction in _ALTERNATIVES
    )
    return _log_mixture(hits, total, bound, alternatives)


def evidence_below(
    hits: int, total: int, bound: float, expected: float
) -> float:
    """Returns the log mixture likelihood ratio for a share below `bound`.

    Args:
        hits: Number of events.
        total: Number of trials.
        bound: Bound of the null hypothesis.
        expected: An alternative share below the bound.
    """
    return _log_mixture(
        hits, total, bound, (expected, (expected + bound) / 2.0)
    )


@functools.lru_cache(maxsize=4096)
def upper_bound(hits: int, total: int, log_error: float) -> float:
    """Returns the upper confidence bound of a share.

    It is the largest share for which `total` times the relative entropy of the
    observed share is at most `log_error` (Chernoff bound).
    """
    if total <= 0:
        return 1.0
    observed = hits / total
    low, high = observed, 1.0
    for _ in range(_BISECTIONS):
        middle = (low + high) / 2.0
        if total * _relative_entropy(observed, middle) > log_error:
            high = middle
        else:
            low = middle
    return high


def log_sum_exp(values: Sequence[float]) -> float:
    """Returns the log of the sum of the exponentials of `values`."""
    if not values:
        return float("-inf")
    maximum = max(values)
    return maximum + math.log(
        sum(math.exp(value - maximum) for value in values)
    )


def log_likelihood_ratio(
    hits: int, total: int, share: float, other: float
) -> float:
    """Returns the log of the likelihood ratio of two shares."""
    share, other = _clip(share), _clip(other)
    return hits * math.log(share / other) + (total - hits) * math.log(
        (1.0 - share) / (1.0 - other)
    )


def _log_mixture(
    hits: int, total: int, bound: float, alternatives: Sequence[float]
) -> float:
    logs = [
        log_likelihood_ratio(hits, total, share, bound)
        for share in alternatives
    ]
    return log_sum_exp(logs) - math.log(len(logs))


def _relative_entropy(observed: float, share: float) -> float:
    share = _clip(share)
    result = 0.0
    if observed > 0.0:
        result += observed * math.log(observed / share)
    if observed < 1.0:
        result += (1.0 - observed) * math.log((1.0 - observed) / (1.0 - share))
    return result


def _clip(share: float) -> float:
    return min(1.0 - _MIN_DISTANCE, max(_MIN_DISTANCE, share))
