"""Passive health checks: upstreams to avoid after failed requests."""

import dataclasses
import math
import threading
from collections.abc import Container

import mulberry_core as core

#: Backoff after the first failure to reach an upstream, seconds; it doubles
#: with each consecutive failure. The maximum is about the time of a restart.
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0
#: Weight of the newest outcome in the failure rate.
_EWMA_WEIGHT = 0.15
#: Time in which the failure rate halves without new outcomes, seconds. An
#: avoided upstream must receive requests again to show that it has recovered.
_HALF_LIFE_S = 4.0


@dataclasses.dataclass
class _UpstreamRecord:
    failure_rate: float = 0.0
    updated_s: float = 0.0
    consecutive_failures: int = 0
    backoff_until_s: float = 0.0
    last_success_s: float = float("-inf")
    #: Time until which the upstream asked for no requests of this instance,
    #: seconds.
    unavailable_until_s: float = float("-inf")
    #: Incarnation of the upstream that announced its shutdown.
    leaving_incarnation: int | core.Missing = core.Missing.UNSET


class UpstreamHealth:
    """Tracks the outcomes of requests by upstream; thread-safe.

    An unreachable upstream gets an exponential backoff, so that requests do
    not queue behind connection attempts. An upstream that fails part of its
    requests while its health check passes gets fewer of them, instead of
    attracting more by answering fast. A full upstream that sends a retry delay
    gets no requests until then, so that a burst does not keep it busy with
    refusals. An upstream that shuts down gets no further requests, even before
    its announcement has reached this instance.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._record_by_name: dict[str, _UpstreamRecord] = {}

    def succeeded(self, name: str) -> None:
        """Records a valid response of the upstream."""
        with self._lock:
            record = self._update(name, 0.0)
            record.consecutive_failures = 0
            record.backoff_until_s = 0.0
            record.last_success_s = self._clock.now()

    def failed(self, name: str) -> None:
        """Records a failed request that the upstream had accepted."""
        with self._lock:
            self._update(name, 1.0)

    def unreachable(self, name: str) -> None:
        """Records a failed connection attempt or an unresponsive upstream."""
        with self._lock:
            record = self._update(name, 1.0)
            backoff_s = INITIAL_BACKOFF_S * 2.0**record.consecutive_failures
            record.consecutive_failures += 1
            record.backoff_until_s = self._clock.now() + min(
                MAX_BACKOFF_S, backoff_s
            )

    def is_in_backoff(self, name: str) -> bool:
        """Whether the upstream is in backoff after it was unreachable."""
        with self._lock:
            record = self._record_by_name.get(name)
            return (
                record is not None
                and record.backoff_until_s > self._clock.now()
            )

    def retry_after_received(self, name: str, wait_s: float) -> None:
        """Records a refusal with a delay before the next request."""
        until_s = self._clock.now() + wait_s
        with self._lock:
            record = self._record_by_name.setdefault(name, _UpstreamRecord())
            record.unavailable_until_s = max(
                record.unavailable_until_s, until_s
            )

    def shutdown_announced(self, name: str, incarnation: int) -> None:
        """Records a response that announces the shutdown of the upstream."""
        with self._lock:
            record = self._record_by_name.setdefault(name, _UpstreamRecord())
            record.leaving_incarnation = incarnation

    def unavailable_s(self, name: str, incarnation: int) -> float:
        """Returns for how long the upstream must get no request, seconds.

        It is infinite for an upstream that shuts down. The upstream itself
        asked for this, so unlike a backoff, which is an assumption of this
        instance, it applies even if no other upstream is available.

        Args:
            name: Name of the upstream.
            incarnation: Its current incarnation; a shutdown that an earlier
                one announced no longer counts.
        """
        with self._lock:
            record = self._record_by_name.get(name)
            if record is None:
                return 0.0
            if record.leaving_incarnation == incarnation:
                return math.inf
            return max(0.0, record.unavailable_until_s - self._clock.now())

    def last_success_s(self, name: str) -> float:
        """Returns `Clock.now` of the last valid response, -inf for none."""
        with self._lock:
            record = self._record_by_name.get(name)
            return record.last_success_s if record else float("-inf")

    def failure_rate(self, name: str) -> float:
        """Returns the recent failure rate, 0 to 1."""
        with self._lock:
            record = self._record_by_name.get(name)
            if record is None:
                return 0.0
            return self._decayed_failure_rate(record)

    def keep_only(self, names: Container[str]) -> None:
        """Removes the state of all other upstreams."""
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
