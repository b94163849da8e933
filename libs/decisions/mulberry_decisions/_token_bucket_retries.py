"""Retry budget as a token bucket that requests refill."""

import threading

import mulberry_core as core
from mulberry_decisions import _retries, _work

#: Retries for each first attempt.
_RETRY_RATIO = 0.1
#: Retries per second that are allowed without any traffic.
_MIN_RETRIES_PER_S = 0.2
#: Size of the bucket, in retries. With a larger one, a failure after an hour
#: of little traffic could double the load.
_MAX_TOKENS = 20.0


class TokenBucketRetryBudget(_retries.RetryBudget):
    """Allows a ratio of retries to requests plus a small constant rate."""

    def __init__(
        self,
        clock: core.Clock,
        ratio: float = _RETRY_RATIO,
        max_tokens: float = _MAX_TOKENS,
    ) -> None:
        """Creates a budget that holds one retry.

        Args:
            clock: Source of time.
            ratio: Retries for each first attempt.
            max_tokens: Size of the bucket, in retries.
        """
        self._clock = clock
        self._ratio = ratio
        self._max_tokens = max_tokens
        self._lock = threading.Lock()
        self._tokens = 1.0
        self._refilled_at_s = clock.now()

    def request_started(self, work: _work.Work) -> None:
        """Adds the retry ratio to the bucket."""
        with self._lock:
            self._refill()
            self._tokens = min(self._max_tokens, self._tokens + self._ratio)

    def try_retry(self, work: _work.Work, run: core.RunState) -> bool:
        """Takes one retry if the work is repeatable and one is available."""
        if not _retries.is_repeatable(work, run):
            return False
        with self._lock:
            self._refill()
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True

    def return_retry(self, work: _work.Work) -> None:
        """Puts one retry back into the bucket."""
        with self._lock:
            self._refill()
            self._tokens = min(self._max_tokens, self._tokens + 1.0)

    def _refill(self) -> None:
        now_s = self._clock.now()
        gained = (now_s - self._refilled_at_s) * _MIN_RETRIES_PER_S
        self._refilled_at_s = now_s
        self._tokens = min(self._max_tokens, self._tokens + gained)
