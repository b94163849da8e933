"""Which upstreams to avoid for a while, from how requests ended there."""

import dataclasses
import math
import threading
from collections.abc import Container

import mulberry_core as core

#: First pause after an upstream could not be reached, seconds; it doubles
#: with each failure in a row. About the time of a restart is the longest.
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0
#: Weight of the newest outcome in the share of failures.
_EWMA_WEIGHT = 0.15
#: Time in which a share of failures halves without any outcome, seconds; an
#: upstream that is avoided must come back into use to show that it recovered.
_HALF_LIFE_S = 4.0


@dataclasses.dataclass
class _UpstreamRecord:
    failure_rate: float = 0.0
    updated_s: float = 0.0
    consecutive_failures: int = 0
    backoff_until_s: float = 0.0
    last_success_s: float = float("-inf")
    #: Until when the upstream wants no requests of this instance, seconds.
    unavailable_until_s: float = float("-inf")
    #: The start of the upstream that said that it stops.
    leaving_incarnation: int | core.Missing = core.Missing.UNSET


class UpstreamHealth:
    """Remembers outcomes for each upstream; safe for many threads.

    Answers these load patterns: an upstream that cannot be reached gets a
    pause, so that requests do not queue up behind connection attempts; one
    that fails part of its requests while its health check is good keeps
    getting fewer, instead of attracting more because it answers fast; one
    that is full and says for how long gets nothing in that time, so that a
    burst does not keep it busy with refusals; one that is about to stop gets
    nothing more, whether or not its announcement has arrived here.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._record_by_name: dict[str, _UpstreamRecord] = {}

    def succeeded(self, name: str) -> None:
        """The upstream answered a request properly."""
        with self._lock:
            record = self._update(name, 0.0)
            record.consecutive_failures = 0
            record.backoff_until_s = 0.0
            record.last_success_s = self._clock.now()

    def failed(self, name: str) -> None:
        """The upstream failed a request that it had taken."""
        with self._lock:
            self._update(name, 1.0)

    def unreachable(self, name: str) -> None:
        """The upstream took no connection, or went silent."""
        with self._lock:
            record = self._update(name, 1.0)
            backoff_s = INITIAL_BACKOFF_S * 2.0**record.consecutive_failures
            record.consecutive_failures += 1
            record.backoff_until_s = self._clock.now() + min(
                MAX_BACKOFF_S, backoff_s
            )

    def is_in_backoff(self, name: str) -> bool:
        """Whether the upstream should get no request now."""
        with self._lock:
            record = self._record_by_name.get(name)
            return (
                record is not None
                and record.backoff_until_s > self._clock.now()
            )

    def retry_after_received(self, name: str, wait_s: float) -> None:
        """The upstream turned a request away and wants none for a time."""
        until_s = self._clock.now() + wait_s
        with self._lock:
            record = self._record_by_name.setdefault(name, _UpstreamRecord())
            record.unavailable_until_s = max(
                record.unavailable_until_s, until_s
            )

    def shutdown_announced(self, name: str, incarnation: int) -> None:
        """The upstream said in an answer that it is about to stop."""
        with self._lock:
            record = self._record_by_name.setdefault(name, _UpstreamRecord())
            record.leaving_incarnation = incarnation

    def unavailable_s(self, name: str, incarnation: int) -> float:
        """Returns for how long the upstream must get no request, seconds.

        Infinite for one that is about to stop. Unlike a pause, which is this
        instance's own guess, it holds also where no other upstream is left.

        Args:
            name: Of the upstream.
            incarnation: Its present start; a later one is not leaving.
        """
        with self._lock:
            record = self._record_by_name.get(name)
            if record is None:
                return 0.0
            if record.leaving_incarnation == incarnation:
                return math.inf
            return max(0.0, record.unavailable_until_s - self._clock.now())

    def last_success_s(self, name: str) -> float:
        """Returns `Clock.now` of the last proper answer, -inf for none."""
        with self._lock:
            record = self._record_by_name.get(name)
            return record.last_success_s if record else float("-inf")

    def failure_rate(self, name: str) -> float:
        """Returns the recent share of failures, 0 to 1."""
        with self._lock:
            record = self._record_by_name.get(name)
            if record is None:
                return 0.0
            return self._decayed_failure_rate(record)

    def keep_only(self, names: Container[str]) -> None:
        """Forgets upstreams that are gone."""
        with self._lock:
            for name in list(self._record_by_name):
                if name not in names:
                    del self._record_by_name[name]

    def _update(self, name: str, failure: float) -> _UpstreamRecord:
        record = self._record_by_name.setdefault(name, _UpstreamRecord())
        record.failure_rate = (1 - _EWMA_WEIGHT) * self._decayed_failure_rate(
            record
        ) + _EWMA_WEIGHT * failure
        record.updated_s = self._clock.now()
        return record

    def _decayed_failure_rate(self, record: _UpstreamRecord) -> float:
        age_s = self._clock.now() - record.updated_s
        return float(record.failure_rate * 0.5 ** (age_s / _HALF_LIFE_S))
