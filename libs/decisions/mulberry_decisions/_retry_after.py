"""When callers that were turned away should come back."""

import random

#: Waits up to this long are told as they are, seconds: another instance serves
#: the caller at once, and a wait would only cost its time.
_MAX_UNJITTERED_S = 0.1
#: Longest wait told, as a multiple of the one that is needed.
_MAX_JITTER_FACTOR = 2.0


class RetryAfterJitter:
    """Spreads the callers that are turned away at the same moment.

    Answers an outage that ends: all callers that were refused during it
    would otherwise come back together, after the same wait, and be refused
    again by upstreams that have room for a part of them.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self._random = rng or random.Random()

    def spread(self, after_s: float) -> float:
        """Returns the wait to tell one caller, at least the one needed.

        Args:
            after_s: From when on it can be served, seconds.
        """
        if after_s <= _MAX_UNJITTERED_S:
            return after_s
        return round(after_s * self._random.uniform(1.0, _MAX_JITTER_FACTOR), 2)
