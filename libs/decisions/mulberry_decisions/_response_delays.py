"""How long answers take to begin, against what their callers aim at."""

import collections
import dataclasses
import threading
from collections.abc import Hashable

import mulberry_core as core

#: Answers that count, the newest: few enough that an overload shows within a
#: second at an entry that sees ten a second.
_MAX_SAMPLES = 9
#: Age up to which an answer counts, seconds; longer than nine answers take at
#: an entry of a large fleet, which sees one or two a second.
_MAX_SAMPLE_AGE_S = 5.0
#: With fewer answers than these nothing is said of the engines.
_MIN_SAMPLES = 3


@dataclasses.dataclass(frozen=True)
class _PendingRequest:
    since_s: float
    target_s: float


class ResponseDelayMonitor:
    """Tells whether engines keep up; safe for many threads.

    Answers a load that fills engines without filling their places: prompts
    wait to be read among requests that are counted as running, and the loads
    that engines report stay low while every answer comes late. The time to
    the first part of an answer shows it. Answers that have not begun count as
    soon as they wait longer than the others did, so that a sudden overload
    is seen before its first answer comes.

    The median counts: one very long prompt, or one upstream that was lost,
    says nothing of the other engines, and at an entry that sees one request
    a second a mean would move with each of them.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._pending_by_key: dict[Hashable, _PendingRequest] = {}
        #: When answers began, and how late; the newest last.
        self._samples: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=_MAX_SAMPLES)
        )

    def started(self, key: Hashable, target_s: float) -> None:
        """A request was sent to an engine.

        Args:
            key: Of the request, until `began` or `ended`.
            target_s: Time in which its caller wants the first part, seconds.
        """
        with self._lock:
            self._pending_by_key[key] = _PendingRequest(
                self._clock.now(), target_s
            )

    def began(self, key: Hashable) -> None:
        """The answer to the request began."""
        self._finish(key, min_ratio=0.0)

    def ended(self, key: Hashable) -> None:
        """The request ended; without an answer, only a long wait counts."""
        self._finish(key, min_ratio=1.0)

    def pressure(self) -> float:
        """Returns the usual time to the first part, as a share of its target.

        Zero while little is known; 1 where answers begin just in time.
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
    """Returns the lower median, of no fewer than `_MIN_SAMPLES` values."""
    padded = sorted(ratios + [0.0] * (_MIN_SAMPLES - len(ratios)))
    return padded[(len(padded) - 1) // 2]
