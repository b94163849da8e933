"""How fast the events of one stream arrive."""

import mulberry_core as core

#: Events after which the pace is known; a stream may have few.
ENOUGH_EVENTS = 8


class StreamPace:
    """Measures the mean time between events; used by one thread."""

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._first_s = 0.0
        self._last_s = 0.0
        #: Events after those of the first arrival.
        self._later = -1

    def note(self, events: int) -> None:
        """Takes the arrival of events with content."""
        self._last_s = self._clock.now()
        if self._later < 0:
            self._first_s = self._last_s
            self._later = 0
        else:
            self._later += events

    @property
    def has_begun(self) -> bool:
        """Whether any event has arrived."""
        return self._later >= 0

    @property
    def is_known(self) -> bool:
        """Whether more events would hardly change the pace."""
        return self._later >= ENOUGH_EVENTS

    @property
    def gap_s(self) -> float | core.Missing:
        """Mean time between events, seconds; unset before the second arrival."""
        if self._later <= 0:
            return core.Missing.UNSET
        return (self._last_s - self._first_s) / self._later
