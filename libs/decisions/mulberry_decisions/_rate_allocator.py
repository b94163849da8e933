"""Divides the rates that upstreams name among the instances, by permits."""

import dataclasses
import functools
import math
import threading
from collections.abc import Container

import mulberry_core as core
from mulberry_decisions import _cold_limits, _named_rates

#: Wait for the permit of an upstream that has been replaced, seconds.
_REPLACED_WAIT_S = 1.0
#: Time after a change of the owner in which the new one grants no permits for a
#: cold upstream, seconds. Instances that have not learned of it still ask the
#: earlier owner.
OWNER_CHANGE_S = 0.5
#: A cold upstream for which nobody asked for so long begins without permits,
#: seconds. It may have been warm, and got requests without permits. Its owner
#: asks once a second while it is cold, without taking a permit, so that the few
#: requests of a service with little traffic find permits.
_COLD_GAP_S = 2.0


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
    #: `Clock.now` when `reserve` was last called while it was cold, seconds.
    cold_s: float = -math.inf


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
        cold: _cold_limits.ColdLimit | core.Missing = core.Missing.UNLIMITED,
        owned_since_s: float = -math.inf,
    ) -> PermitReply:
        """Takes one permit, if there is one.

        The lower of the named rate and that of a cold upstream applies.

        Args:
            upstream: Name of the upstream.
            incarnation: Start of the upstream that the report is from.
            report: Newest report that the asking instance knows.
            wants_permit: False only to pass on the report, or that the
                upstream is cold.
            cold: Limit of a cold upstream, unlimited if it is warm.
            owned_since_s: `Clock.now` since when this instance is the owner in
                place of another one, seconds; -inf if there was none.
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
            if isinstance(cold, _cold_limits.ColdLimit):
                _begin_cold(bucket, now_s, owned_since_s + OWNER_CHANGE_S)
            return PermitReply(
                _take(bucket, now_s, wants_permit, cold),
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


def _begin_cold(bucket: _Bucket, now_s: float, begins_s: float) -> None:
    """Removes the permits from before the cold time or the ownership.

    Args:
        bucket: Bucket of a cold upstream.
        now_s: `Clock.now`, seconds.
        begins_s: From when on permits may be granted, seconds.
    """
    if now_s - bucket.cold_s > _COLD_GAP_S:
        begins_s = max(begins_s, now_s)
    if bucket.refilled_s < begins_s:
        bucket.permits, bucket.refilled_s = 0.0, begins_s
    bucket.cold_s = now_s


def _take(
    bucket: _Bucket,
    now_s: float,
    wants_permit: bool,
    cold: _cold_limits.ColdLimit | core.Missing,
) -> float:
    """Takes a permit if there is one; returns the wait, seconds."""
    limits = []
    if not isinstance(bucket.rate_per_s, core.Missing):
        rate_per_s = max(bucket.rate_per_s, _cold_limits.MIN_RATE_PER_S)
        burst = max(1.0, rate_per_s * _cold_limits.BURST_S)
        limits.append(_cold_limits.ColdLimit(rate_per_s, burst))
    if not isinstance(cold, core.Missing):
        limits.append(cold)
    if not limits:
        bucket.permits, bucket.refilled_s = 0.0, now_s
        return 0.0
    limit = functools.reduce(_cold_limits.ColdLimit.lower, limits)
    elapsed_s = max(0.0, now_s - bucket.refilled_s)
    bucket.permits = min(
        limit.burst, bucket.permits + limit.rate_per_s * elapsed_s
    )
    # In the future while a new owner grants none.
    bucket.refilled_s = max(bucket.refilled_s, now_s)
    # A sum of refills may fall short of 1 by a rounding error.
    missing = 1.0 - bucket.permits
    if missing > 1e-9:
        wait_s = bucket.refilled_s - now_s + missing / limit.rate_per_s
        return math.nextafter(wait_s, math.inf)
    if wants_permit:
        bucket.permits -= 1.0
    return 0.0
