"""Recent request counts by model and version, for the load planner."""

import collections
import threading

import mulberry_core as core

#: Sliding window, seconds; about the duration of a short answer.
_WINDOW_S = 5.0

#: Requests recorded; more than this in one window changes no decision.
_MAX_RECORDED = 2_000


class DemandCounter:
    """Counts requests in a sliding window, whether answered or not."""

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._recent: collections.deque[tuple[float, str, str]] = (
            collections.deque(maxlen=_MAX_RECORDED)
        )

    def record(self, model: str, version: str) -> None:
        """Counts one request; ignores plain calls, which have no version."""
        if version:
            with self._lock:
                self._recent.append((self._clock.now(), model, version))

    def snapshot(self) -> tuple[tuple[str, str, int], ...]:
        """Returns sorted rows of model, version and number of requests."""
        oldest_s = self._clock.now() - _WINDOW_S
        with self._lock:
            while self._recent and self._recent[0][0] < oldest_s:
                self._recent.popleft()
            counts = collections.Counter(
                (model, version) for _, model, version in self._recent
            )
        return tuple(
            (model, version, count)
            for (model, version), count in sorted(counts.items())
        )
