"""How long answers take to begin, against what their callers aim at."""

import dataclasses
import threading
from collections.abc import Hashable

import mulberry_core as core

#: Time in which the weight of an answer that began halves, seconds: short
#: against a burst, and a few answers long at an entry that sees one a second.
_HALF_LIFE_S = 1.5
#: A single answer counts for no more than this multiple of its target: one
#: very long prompt says little of the others.
_MOST = 2.0


@dataclasses.dataclass(frozen=True)
class _Waiting:
    since_s: float
    target_s: float


class DelayGauge:
    """Tells whether engines keep up; safe for many threads.

    Answers a load that fills engines without filling their places: prompts
    wait to be read among requests that are counted as running, and the loads
    that engines report stay low while every answer comes late. The time to
    the first part of an answer shows it. Answers that have not begun count as
    soon as they wait longer than the others did, so that a sudden overload
    is seen before its first answer comes.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._waiting_by_key: dict[Hashable, _Waiting] = {}
        self._sum = 0.0
        self._weight = 0.0
        self._updated_s = clock.now()

    def started(self, key: Hashable, target_s: float) -> None:
        """A request was sent to an engine.

        Args:
            key: Of the request, until `began` or `ended`.
            target_s: Time in which its caller wants the first part, seconds.
        """
        with self._lock:
            self._waiting_by_key[key] = _Waiting(self._clock.now(), target_s)

    def began(self, key: Hashable) -> None:
        """The answer to the request began."""
        self._end(key, least_ratio=0.0)

    def ended(self, key: Hashable) -> None:
        """The request ended; without an answer, only a long wait counts."""
        self._end(key, least_ratio=1.0)

    def pressure(self) -> float:
        """Returns the time to the first part as a share of its target.

        Zero while nothing is known; 1 where answers begin just in time.
        """
        now_s = self._clock.now()
        with self._lock:
            self._fade(now_s)
            total, weight = self._sum, self._weight
            for waiting in self._waiting_by_key.values():
                ratio = _ratio(waiting, now_s)
                if ratio * weight > total:
                    total += ratio
                    weight += 1.0
            # One more answer that came at once: a few late ones of an entry
            # that sees little say nothing of the engines.
            return total / (weight + 1.0)

    def _end(self, key: Hashable, least_ratio: float) -> None:
        now_s = self._clock.now()
        with self._lock:
            waiting = self._waiting_by_key.pop(key, None)
            if waiting is None:
                return
            ratio = _ratio(waiting, now_s)
            if ratio >= least_ratio:
                self._fade(now_s)
                self._sum += ratio
                self._weight += 1.0

    def _fade(self, now_s: float) -> None:
        factor = 0.5 ** ((now_s - self._updated_s) / _HALF_LIFE_S)
        self._sum *= factor
        self._weight *= factor
        self._updated_s = now_s


def _ratio(waiting: _Waiting, now_s: float) -> float:
    return min(_MOST, (now_s - waiting.since_s) / max(1e-3, waiting.target_s))
