"""Retries as a share of requests."""

import threading

import mulberry_core as core
from mulberry_decisions import _retries, _work

#: Retries for each first attempt.
_RETRY_SHARE = 0.1
#: Retries per second that are possible without any traffic.
_FLOOR_PER_S = 0.2
#: Most retries that can be saved up. A larger reserve would let a failure
#: after a quiet hour double the load.
_MAX_SAVED = 20.0


class TokenBucketRetryBudget(_retries.RetryBudget):
    """Allows retries up to a share of the requests plus a small floor."""

    def __init__(
        self,
        clock: core.Clock,
        share: float = _RETRY_SHARE,
        max_saved: float = _MAX_SAVED,
    ) -> None:
        """Creates a budget with one retry in it.

        Args:
            clock: Source of time.
            share: Retries for each first attempt.
            max_saved: Most retries that can be saved up.
        """
        self._clock = clock
        self._share = share
        self._max_saved = max_saved
        self._lock = threading.Lock()
        self._left = 1.0
        self._filled_at_s = clock.now()

    def request_started(self, work: _work.Work) -> None:
        """Adds the share of a retry."""
        with self._lock:
            self._fill()
            self._left = min(self._max_saved, self._left + self._share)

    def try_retry(self, work: _work.Work, run: core.RunState) -> bool:
        """Takes one retry if the work may be repeated and one is left."""
        if not _retries.is_repeatable(work, run):
            return False
        with self._lock:
            self._fill()
            if self._left < 1.0:
                return False
            self._left -= 1.0
            return True

    def _fill(self) -> None:
        now_s = self._clock.now()
        gained = (now_s - self._filled_at_s) * _FLOOR_PER_S
        self._filled_at_s = now_s
        self._left = min(self._max_saved, self._left + gained)
