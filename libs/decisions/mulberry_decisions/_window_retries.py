"""Retry budget over a sliding window of requests, by service."""

import collections
import threading
from collections.abc import Callable

import mulberry_core as core
from mulberry_decisions import _retries, _work


class WindowRetryBudget(_retries.RetryBudget):
    """Allows retries up to a ratio of the requests in a sliding window.

    When an upstream is lost under load, all its requests fail at the same
    time and each should be retried elsewhere. The unused budget of the whole
    window is available for them, even while second answers of larger models
    steadily use part of it.

    Each instance enforces the bound on its own, and the bound then holds for
    all instances together: the ratios of their requests add up, and the slack
    is divided by the number of instances.
    """

    def __init__(
        self,
        clock: core.Clock,
        ratio: float,
        window_s: float,
        slack: float,
        instances: Callable[[], int],
    ) -> None:
        """Creates a budget without any requests.

        Args:
            clock: Source of time.
            ratio: Retries for each request.
            window_s: Length of the window, seconds.
            slack: Additional retries that all instances together may send to
                one service within a window.
            instances: Returns the largest possible number of instances.
        """
        self._clock = clock
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._instances = instances
        self._lock = threading.Lock()
        #: Times of requests and of retries in the window, by service.
        self._requests_s: dict[str, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )
        self._retries_s: dict[str, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )

    def request_started(self, work: _work.Work) -> None:
        """Counts the request towards the budget until the window has passed."""
        now_s = self._clock.now()
        with self._lock:
            times_s = self._requests_s[work.service]
            times_s.append(now_s)
            self._drop_expired(times_s, now_s)

    def try_retry(self, work: _work.Work, run: core.RunState) -> bool:
        """Takes one retry if the work is repeatable and one is available."""
        if not _retries.is_repeatable(work, run):
            return False
        now_s = self._clock.now()
        instance_slack = self._slack / max(1, self._instances())
        with self._lock:
            requests_s = self._requests_s[work.service]
            retries_s = self._retries_s[work.service]
            self._drop_expired(requests_s, now_s)
            self._drop_expired(retries_s, now_s)
            allowed = self._ratio * len(requests_s) + instance_slack
            if len(retries_s) + 1 > allowed:
                return False
            retries_s.append(now_s)
            return True

    def return_retry(self, work: _work.Work) -> None:
        """Removes the newest retry of the service from the window."""
        with self._lock:
            retries_s = self._retries_s[work.service]
            if retries_s:
                retries_s.pop()

    def _drop_expired(
        self, times_s: "collections.deque[float]", now_s: float
    ) -> None:
        while times_s and times_s[0] <= now_s - self._window_s:
            times_s.popleft()
