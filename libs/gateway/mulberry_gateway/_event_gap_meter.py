"""Measures the mean gap between the events of a stream."""

from collections.abc import Callable

import mulberry_core as core

#: Events after which the mean gap is reported; low to suit short streams.
MIN_EVENTS = 8


class EventGapMeter:
    """Reports the mean event gap of a stream once; not thread-safe."""

    def __init__(
        self,
        clock: core.Clock,
        on_mean_gap: Callable[[float | core.Missing], None],
    ) -> None:
        """Creates a meter for a stream that has no events yet.

        Args:
            clock: Source of time.
            on_mean_gap: Called once with the mean gap in seconds, after
                `MIN_EVENTS` events that follow the first arrival or at the end
                of the stream; unset if all events arrived together.
        """
        self._clock = clock
        self._on_mean_gap = on_mean_gap
        self._reported = False
        self._first_s = 0.0
        self._last_s = 0.0
        #: Number of events after those that arrived first; -1 before any event.
        self._later_events = -1

    def add_events(self, events: int) -> None:
        """Records events with content that arrived together."""
        self._last_s = self._clock.now()
        if self._later_events < 0:
            self._first_s = self._last_s
            self._later_events = 0
        else:
            self._later_events += events
        if self._later_events >= MIN_EVENTS:
            self.finish()

    def finish(self) -> None:
        """Ends the measurement and reports the mean gap."""
        if self._reported or self._later_events < 0:
            return
        self._reported = True
        self._on_mean_gap(
            (self._last_s - self._first_s) / self._later_events
            if self._later_events
            else core.Missing.UNSET
        )
