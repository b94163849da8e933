"""Discrete-event simulation on a manual clock."""

import heapq
import itertools
from collections.abc import Callable, Sequence

import mulberry_core as core

Action = Callable[[], None]


class Simulation:
    """Runs scheduled actions in order of simulated time."""

    def __init__(self) -> None:
        self.clock = core.ManualClock()
        self._event_numbers = itertools.count()
        self._events: list[tuple[float, int, Action]] = []

    @property
    def now_s(self) -> float:
        """Simulated seconds since the start."""
        return self.clock.now()

    def after(self, delay_s: float, action: Action) -> None:
        """Runs `action` after a delay."""
        at_s = self.clock.now() + max(0.0, delay_s)
        heapq.heappush(self._events, (at_s, next(self._event_numbers), action))

    def every(self, period_s: float, action: Action) -> None:
        """Runs `action` periodically, first after one period."""

        def step() -> None:
            action()
            self.after(period_s, step)

        self.after(period_s, step)

    def run(self, until_s: float) -> None:
        """Runs all actions scheduled up to `until_s`."""
        while self._events and self._events[0][0] <= until_s:
            at_s, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at_s - self.clock.now()))
            action()
        self.clock.advance(max(0.0, until_s - self.clock.now()))


def percentile(values: Sequence[float], fraction: float) -> float:
    """Returns a percentile by nearest rank, or infinity without values."""
    if not values:
        return float("inf")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
