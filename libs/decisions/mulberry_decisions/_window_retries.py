"""Retries as a share of the requests of the last seconds, by service."""

import collections
import threading
from collections.abc import Callable

import mulberry_core as core
from mulberry_decisions import _retries, _work


class WindowRetryBudget(_retries.RetryBudget):
    """Allows retries up to a share of the requests of a sliding window.

    Answers upstreams that are lost under load: all requests that run there
    fail at one moment, and each should go on elsewhere. What the requests of
    the last seconds have not used is there for them, however evenly second
    answers of larger models use the rest.

    Every instance keeps the bound by itself, so all of them together do: the
    shares of the requests add up, and the fixed part is divided by the
    number of instances.
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
            slack: Retries beyond that share that all instances together may
                send within a window to one service.
            instances: Returns how many instances there may be.
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
        """Adds the share of a retry for the length of the window."""
        now_s = self._clock.now()
        with self._lock:
            times_s = self._requests_s[work.service]
            times_s.append(now_s)
            self._drop_expired(times_s, now_s)

    def try_retry(self, work: _work.Work, run: core.RunState) -> bool:
        """Takes one retry if the work may be repeated and one is left."""
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

    def _drop_expired(
        self, times_s: "collections.deque[float]", now_s: float
    ) -> None:
        while times_s and times_s[0] <= now_s - self._window_s:
            times_s.popleft()
