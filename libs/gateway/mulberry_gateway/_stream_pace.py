"""How fast the events of one stream arrive."""

from collections.abc import Callable

import mulberry_core as core

#: Events after which the pace is known; a stream may have few.
MIN_EVENTS = 8


class StreamPace:
    """Tells once how fast a stream is that has begun; used by one thread."""

    def __init__(
        self,
        clock: core.Clock,
        on_pace: Callable[[float | core.Missing], None],
    ) -> None:
        """Creates the measure of a stream without events.

        Args:
            clock: Source of time.
            on_pace: Called with the mean time between events, seconds, as
                soon as more events would hardly change it, or at the end; unset
                if all events arrived together.
        """
        self._clock = clock
        self._on_pace = on_pace
        self._is_reported = False
        self._first_s = 0.0
        self._last_s = 0.0
        #: Events after those of the first arrival.
        self._later_events = -1

    def add_events(self, events: int) -> None:
        """Takes the arrival of events with content."""
        self._last_s = self._clock.now()
        if self._later_events < 0:
            self._first_s = self._last_s
            self._later_events = 0
        else:
            self._later_events += events
        if self._later_events >= MIN_EVENTS:
            self.finish()

    def finish(self) -> None:
        """Takes the end of the stream, or of the need to measure it."""
        if self._is_reported or self._later_events < 0:
            return
        self._is_reported = True
        self._on_pace(
            (self._last_s - self._first_s) / self._later_events
            if self._later_events
            else core.Missing.UNSET
        )
