"""What an instance knows of the rates of requests that upstreams name."""

import dataclasses
import threading
from collections.abc import Container

import mulberry_core as core


@dataclasses.dataclass(frozen=True)
class RateReport:
    """What an upstream said of its rate in an answer."""

    #: Requests a second from all instances together; unlimited if the answer
    #: named no rate.
    rate_per_s: float | core.Missing
    #: Age of the answer, seconds.
    age_s: float


@dataclasses.dataclass
class _NamedRate:
    incarnation: int
    rate_per_s: float | core.Missing
    answered_s: float


@dataclasses.dataclass(frozen=True)
class _Block:
    incarnation: int
    #: `Clock.now` until which no request is allowed, seconds.
    until_s: float


#: Report of an upstream that has named no rate. Each other one is newer, and its
#: age fits the messages between instances.
NO_REPORT = RateReport(core.Missing.UNLIMITED, 4e6)


class NamedRates:
    """Keeps the newest report of each upstream that has named a rate.

    Thread-safe. A restarted upstream has a new incarnation and has said nothing
    yet.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._rate_by_upstream: dict[str, _NamedRate] = {}
        self._block_by_upstream: dict[str, _Block] = {}

    def learn(
        self, upstream: str, incarnation: int, report: RateReport
    ) -> bool:
        """Records a report unless a newer one is known.

        Returns:
            Whether the rate of the upstream has changed.
        """
        with self._lock:
            answered_s = self._clock.now() - report.age_s
            known = self._rate_by_upstream.get(upstream)
            if known is None or known.incarnation < incarnation:
                if report.rate_per_s is core.Missing.UNLIMITED:
                    changed = self._rate_by_upstream.pop(upstream, None)
                    return changed is not None
                self._rate_by_upstream[upstream] = _NamedRate(
                    incarnation, report.rate_per_s, answered_s
                )
                return True
            if (known.incarnation, known.answered_s) > (
                incarnation,
                answered_s,
            ):
                return False
            known.answered_s = answered_s
            has_changed = known.rate_per_s != report.rate_per_s
            known.rate_per_s = report.rate_per_s
            if has_changed and report.rate_per_s is core.Missing.UNLIMITED:
                self._block_by_upstream.pop(upstream, None)
            return has_changed

    def report(
        self, upstream: str, incarnation: int
    ) -> RateReport | core.Missing:
        """Returns the newest report; unset if no rate was named."""
        with self._lock:
            known = self._find(upstream, incarnation)
            if known is None:
                return core.Missing.UNSET
            return RateReport(
                known.rate_per_s, self._clock.now() - known.answered_s
            )

    def is_limited(self, upstream: str, incarnation: int) -> bool:
        """Whether the upstream takes only requests with a permit."""
        with self._lock:
            known = self._find(upstream, incarnation)
            return (
                known is not None
                and known.rate_per_s is not core.Missing.UNLIMITED
            )

    def block(self, upstream: str, incarnation: int, wait_s: float) -> None:
        """Records that no request may be sent for a time."""
        with self._lock:
            self._block_by_upstream[upstream] = _Block(
                incarnation, self._clock.now() + wait_s
            )

    def blocked_s(self, upstream: str, incarnation: int) -> float:
        """Returns for how long no request may be sent, seconds; 0 if it may."""
        # Called for each candidate of each request.
        block = self._block_by_upstream.get(upstream)
        if block is None or block.incarnation != incarnation:
            return 0.0
        return max(0.0, block.until_s - self._clock.now())

    def keep_only(self, names: Container[str]) -> None:
        """Removes the state of all other upstreams, and outdated blocks."""
        now_s = self._clock.now()
        with self._lock:
            self._block_by_upstream = {
                name: block
                for name, block in self._block_by_upstream.items()
                if name in names and block.until_s > now_s
            }
            self._rate_by_upstream = {
                name: known
                for name, known in self._rate_by_upstream.items()
                if name in names
            }

    def _find(self, upstream: str, incarnation: int) -> _NamedRate | None:
        known = self._rate_by_upstream.get(upstream)
        if known is None or known.incarnation != incarnation:
            return None
        return known
