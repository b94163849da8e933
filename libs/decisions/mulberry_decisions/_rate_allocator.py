"""Divides the rates that upstreams name among the instances, by permits."""

import dataclasses
import math
import threading
from collections.abc import Container

import mulberry_core as core
from mulberry_decisions import _named_rates

#: Requests that may follow each other at once, as the time in which the rate
#: allows them, seconds; at least one request.
_BURST_S = 0.5
#: Lowest rate at which permits are granted. Only the answer to a request shows
#: that a rate of 0 has ended.
_MIN_RATE_PER_S = 0.25
#: Wait for the permit of an upstream that has been replaced, seconds.
_REPLACED_WAIT_S = 1.0


@dataclasses.dataclass(frozen=True)
class PermitReply:
    """Whether one request may be sent to an upstream now."""

    #: Time until a permit may be available, seconds; 0 if it is granted.
    wait_s: float
    #: Newest report that the owner of the rate knows.
    report: _named_rates.RateReport

    @property
    def is_granted(self) -> bool:
        """Whether the request may be sent."""
        return self.wait_s <= 0.0


@dataclasses.dataclass
class _Bucket:
    incarnation: int
    rate_per_s: float | core.Missing
    answered_s: float
    refilled_s: float
    permits: float = 0.0


class RateAllocator:
    """Grants permits for the upstreams whose rate this instance owns.

    Thread-safe. Each upstream has one owner at a time, so the sum over all
    instances keeps the rate whatever part of the requests arrives at each of
    them. Load pattern: callers press on a few of many instances, with
    several times what the upstreams take.

    An owner begins without permits: the one before it may have granted its own
    a moment ago.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._bucket_by_upstream: dict[str, _Bucket] = {}

    def reserve(
        self,
        upstream: str,
        incarnation: int,
        report: _named_rates.RateReport,
        wants_permit: bool = True,
    ) -> PermitReply:
        """Takes one permit, if there is one.

        Args:
            upstream: Name of the upstream.
            incarnation: Start of the upstream that the report is from.
            report: Newest report that the asking instance knows.
            wants_permit: False only to pass on the report.
        """
        with self._lock:
            now_s = self._clock.now()
            answered_s = now_s - report.age_s
            bucket = self._bucket_by_upstream.get(upstream)
            if bucket is None or bucket.incarnation < incarnation:
                bucket = _Bucket(
                    incarnation, report.rate_per_s, answered_s, now_s
                )
                self._bucket_by_upstream[upstream] = bucket
            if incarnation < bucket.incarnation:
                return PermitReply(_REPLACED_WAIT_S, report)
            if answered_s > bucket.answered_s:
                bucket.answered_s = answered_s
                bucket.rate_per_s = report.rate_per_s
            return PermitReply(
                _take(bucket, now_s, wants_permit),
                _named_rates.RateReport(
                    bucket.rate_per_s, now_s - bucket.answered_s
                ),
            )

    def keep_only(self, names: Container[str]) -> None:
        """Removes the state of all other upstreams."""
        with self._lock:
            self._bucket_by_upstream = {
                name: bucket
                for name, bucket in self._bucket_by_upstream.items()
                if name in names
            }


def _take(bucket: _Bucket, now_s: float, wants_permit: bool) -> float:
    """Takes a permit if there is one; returns the wait, seconds."""
    if isinstance(bucket.rate_per_s, core.Missing):
        bucket.permits, bucket.refilled_s = 0.0, now_s
        return 0.0
    rate_per_s = max(bucket.rate_per_s, _MIN_RATE_PER_S)
    bucket.permits = min(
        max(1.0, rate_per_s * _BURST_S),
        bucket.permits + rate_per_s * (now_s - bucket.refilled_s),
    )
    bucket.refilled_s = now_s
    # A sum of refills may fall short of 1 by a rounding error.
    missing = 1.0 - bucket.permits
    if missing > 1e-9:
        return math.nextafter(missing / rate_per_s, math.inf)
    if wants_permit:
        bucket.permits -= 1.0
    return 0.0
