"""Rates at which cold upstreams get requests."""

import dataclasses
import math
import threading
from collections.abc import Container

import mulberry_core as core

#: Time from the grant of a permit until its request has arrived, seconds. An
#: instance uses no permit that is older than half of this.
IN_FLIGHT_S = 0.6
#: Length of the windows in which the requests of a cold upstream are limited,
#: seconds.
WINDOW_S = 1.0
#: Requests that may follow each other at once, as the time in which the rate
#: allows them, seconds; at least one request.
BURST_S = 0.5
#: Lowest rate at which permits are granted. Only the answer to a request shows
#: that a named rate of 0 has ended.
MIN_RATE_PER_S = 0.25


@dataclasses.dataclass(frozen=True)
class ColdLimit:
    """How many permits a cold upstream gets."""

    rate_per_s: float
    #: Permits that may be granted at once.
    burst: float

    def lower(self, other: "ColdLimit") -> "ColdLimit":
        """Returns the lower rate and the smaller burst."""
        return ColdLimit(
            min(self.rate_per_s, other.rate_per_s),
            min(self.burst, other.burst),
        )


def cold_limit(per_s: float, overage: float, slack: float) -> ColdLimit:
    """Returns the limit for a service whose cold upstreams tolerate a rate.

    In no window of one second more than `per_s * overage + slack` requests may
    arrive, also if those of an earlier window were on their way for
    `IN_FLIGHT_S`.

    Args:
        per_s: Requests a second that a cold upstream tolerates.
        overage: Factor of the bound.
        slack: Requests beyond it.
    """
    allowed = per_s * overage + slack
    granted_for_s = WINDOW_S + IN_FLIGHT_S
    rate_per_s = max(MIN_RATE_PER_S, min(per_s, (allowed - 1) / granted_for_s))
    burst = min(rate_per_s * BURST_S, allowed - rate_per_s * granted_for_s)
    return ColdLimit(rate_per_s, max(1.0, burst))


@dataclasses.dataclass
class _Mark:
    incarnation: int
    cold_until_s: float = -math.inf
    #: Order of the newest announcement known when the connection broke.
    broken_sequence: int = -1
    broken_until_s: float = -math.inf


class ColdMarks:
    """What an instance saw of upstreams that their announcements do not say.

    Thread-safe. An upstream may say in an answer that it is cold. One that
    could not be reached may have restarted; it counts as cold until it has
    announced itself. The announcements of most upstreams go to other instances,
    and most of them change no record. An upstream that is still listed once
    its earlier announcements have expired has announced itself since.
    """

    def __init__(self, clock: core.Clock, announcement_valid_s: float) -> None:
        """Creates an object without marks.

        Args:
            clock: Source of time.
            announcement_valid_s: Time after which an upstream that has not
                announced itself is no longer listed, seconds.
        """
        self._clock = clock
        self._valid_s = announcement_valid_s
        self._lock = threading.Lock()
        self._mark_by_name: dict[str, _Mark] = {}

    def answered(self, name: str, incarnation: int, cold_s: float) -> None:
        """Records that an answer said for how long the upstream is cold."""
        with self._lock:
            mark = self._mark(name, incarnation)
            if mark is not None:
                mark.cold_until_s = self._clock.now() + cold_s

    def connection_broke(
        self, name: str, incarnation: int, sequence: int
    ) -> None:
        """Records a connection that did not open, or broke.

        Args:
            name: Name of the upstream.
            incarnation: Its newest known start.
            sequence: Its newest known announcement.
        """
        with self._lock:
            mark = self._mark(name, incarnation)
            if mark is not None:
                mark.broken_sequence = sequence
                mark.broken_until_s = self._clock.now() + self._valid_s

    def remaining_s(self, name: str, incarnation: int, sequence: int) -> float:
        """Returns for how long the upstream counts as cold, seconds."""
        mark = self._mark_by_name.get(name)
        if mark is None or mark.incarnation != incarnation:
            return 0.0
        until_s = mark.cold_until_s
        if sequence <= mark.broken_sequence:
            until_s = max(until_s, mark.broken_until_s)
        return max(0.0, until_s - self._clock.now())

    def keep_only(self, names: Container[str]) -> None:
        """Removes the marks of all other upstreams, and outdated ones."""
        now_s = self._clock.now()
        with self._lock:
            self._mark_by_name = {
                name: mark
                for name, mark in self._mark_by_name.items()
                if name in names
                and max(mark.cold_until_s, mark.broken_until_s) > now_s
            }

    def _mark(self, name: str, incarnation: int) -> _Mark | None:
        """Returns the mark to update; `None` if a newer start has one.

        An answer may arrive after its upstream has restarted.
        """
        mark = self._mark_by_name.get(name)
        if mark is None or mark.incarnation < incarnation:
            mark = self._mark_by_name[name] = _Mark(incarnation)
        return mark if mark.incarnation == incarnation else None
