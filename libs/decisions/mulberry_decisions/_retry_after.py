"""Jitter for the retry delays of refused callers."""

import random

#: Longest delay without jitter, seconds. Another instance can serve a caller
#: with so short a delay at once, and jitter would only add latency.
_MAX_UNJITTERED_S = 0.1
#: Longest delay, as a multiple of the required one.
_MAX_JITTER_FACTOR = 2.0


class RetryAfterJitter:
    """Adds jitter to retry delays, against a thundering herd.

    Callers that are refused with the same delay during an outage would all
    retry at the same time after it, and the upstreams, which can serve only
    part of them, would refuse the rest again.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self._random = rng or random.Random()

    def spread(self, after_s: float) -> float:
        """Returns the delay for one caller, at least the required one.

        Args:
            after_s: Time until the caller can be served, seconds.
        """
        if after_s <= _MAX_UNJITTERED_S:
            return after_s
        return round(after_s * self._random.uniform(1.0, _MAX_JITTER_FACTOR), 2)
