"""Sequential tests of a share against a bound.

The tests are mixtures of likelihood ratios. Under the hypothesis that the
share is at most (or at least) the bound, the expected value of a mixture
never exceeds 1 at any time, so by Ville's inequality it ever reaches X with a
probability of at most 1 / X, however often it is looked at.
"""

import functools
import math
from collections.abc import Sequence

#: Alternatives above the bound, as parts of the way from the bound to 1.
_ALTERNATIVES = (0.1, 0.2, 0.35, 0.5, 0.75, 0.95)
#: Shares nearer to 0 or 1 are moved to this distance.
_MIN_DISTANCE = 1e-4
_BISECTIONS = 30


def evidence_above(hits: int, total: int, bound: float) -> float:
    """Returns the log of the evidence that the share is above `bound`."""
    alternatives = tuple(
        bound + (1.0 - bound) * fraction for fraction in _ALTERNATIVES
    )
    return _log_mixture(hits, total, bound, alternatives)


def evidence_below(
    hits: int, total: int, bound: float, expected: float
) -> float:
    """Returns the log of the evidence that the share is below `bound`.

    Args:
        hits: How often the event was seen.
        total: How often it could have been seen.
        bound: The share to be excluded.
        expected: A likely share below the bound.
    """
    return _log_mixture(
        hits, total, bound, (expected, (expected + bound) / 2.0)
    )


@functools.lru_cache(maxsize=4096)
def upper_bound(hits: int, total: int, log_error: float) -> float:
    """Returns the upper confidence bound of a share.

    It is the largest share whose relative entropy from the seen one, times
    `total`, is at most `log_error` (Chernoff's bound).
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
