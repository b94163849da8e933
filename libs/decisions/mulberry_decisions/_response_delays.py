"""Time until responses begin, relative to the latency targets."""

import collections
import dataclasses
import threading
from collections.abc import Hashable

import mulberry_core as core

#: Number of newest responses in the median: few enough that it shows an
#: overload within a second at an entry with ten requests per second.
_MAX_SAMPLES = 9
#: Age up to which a response counts, seconds. An entry of a large fleet sees
#: one or two requests per second and needs this long for nine responses.
_MAX_SAMPLE_AGE_S = 5.0
#: Fewest responses from which the load of the engines is estimated.
_MIN_SAMPLES = 3


@dataclasses.dataclass(frozen=True)
class _PendingRequest:
    since_s: float
    target_s: float


class ResponseDelayMonitor:
    """Detects overloaded engines by the delay of responses; thread-safe.

    An engine can be overloaded although it has free slots: prompts wait for
    prefill while their requests are counted as running, so the reported load
    stays low while every response is late. The time to the first part of a
    response reveals this. Pending requests count as soon as they have waited
    longer than the median, so that a sudden overload is detected before its
    first response arrives.

    The median is used because one very long prompt or one lost upstream does
    not mean that the other engines are slow. At an entry with one request per
    second, each such request would shift a mean.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._pending_by_key: dict[Hashable, _PendingRequest] = {}
        #: Start time and delay ratio of the responses, newest last.
        self._samples: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=_MAX_SAMPLES)
        )

    def started(self, key: Hashable, target_s: float) -> None:
        """Records that a request was sent to an engine.

        Args:
            key: Identifies the request until `began` or `ended`.
            target_s: Target for the time to the first part, seconds.
        """
        with self._lock:
            self._pending_by_key[key] = _PendingRequest(
                self._clock.now(), target_s
            )

    def began(self, key: Hashable) -> None:
        """Records that the response to the request began."""
        self._finish(key, min_ratio=0.0)

    def ended(self, key: Hashable) -> None:
        """Records the end of a request.

        One without a response counts only if it waited at least its target.
        """
        self._finish(key, min_ratio=1.0)

    def pressure(self) -> float:
        """Returns the median ratio of the time to the first part to its target.

        It is 0 with too few samples, and 1 if responses begin on target.
        """
        now_s = self._clock.now()
        with self._lock:
            ratios = [
                ratio
                for began_s, ratio in self._samples
                if now_s - began_s <= _MAX_SAMPLE_AGE_S
            ]
            pending = [
                _ratio(pending, now_s)
                for pending in self._pending_by_key.values()
            ]
        median = _median(ratios)
        return _median(ratios + [ratio for ratio in pending if ratio > median])

    def _finish(self, key: Hashable, min_ratio: float) -> None:
        now_s = self._clock.now()
        with self._lock:
            pending = self._pending_by_key.pop(key, None)
            if pending is None:
                return
            ratio = _ratio(pending, now_s)
            if ratio >= min_ratio:
                self._samples.append((now_s, ratio))


def _ratio(pending: _PendingRequest, now_s: float) -> float:
    return (now_s - pending.since_s) / max(1e-3, pending.target_s)


def _median(ratios: list[float]) -> float:
    """Returns the lower median, padded with zeros to `_MIN_SAMPLES` values."""
    padded = sorted(ratios + [0.0] * (_MIN_SAMPLES - len(ratios)))
    return padded[(len(padded) - 1) // 2]
