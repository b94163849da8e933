"""Clocks: one for durations and leases, one for the time of day."""

import abc
import threading
import time


class Clock(abc.ABC):
    """Source of time, so that tests and embedders can supply their own."""

    @abc.abstractmethod
    def now(self) -> float:
        """Returns seconds that only grow, also while the machine sleeps."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Returns Unix time in seconds; may jump, so never for leases."""


class SystemClock(Clock):
    """Reads the clocks of the operating system."""

    def now(self) -> float:
        """Returns CLOCK_BOOTTIME in seconds.

        CLOCK_MONOTONIC stands still while a machine is suspended; a lease
        measured by it would outlive its term.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Returns Unix time in seconds."""
        return time.time()


class ManualClock(Clock):
    """A clock that moves only when told to."""

    def __init__(self, start_s: float = 0.0, wall_s: float = 1.7e9) -> None:
        self._lock = threading.Lock()
        self._now_s = start_s
        self._wall_s = wall_s

    def now(self) -> float:
        """Returns the seconds set by the test."""
        with self._lock:
            return self._now_s

    def wall(self) -> float:
        """Returns the Unix seconds set by the test."""
        with self._lock:
            return self._wall_s

    def advance(self, seconds: float) -> None:
        """Moves both clocks forward."""
        with self._lock:
            self._now_s += seconds
            self._wall_s += seconds

    def set_wall(self, wall_s: float) -> None:
        """Jumps the time of day only, as an operator or NTP may."""
        with self._lock:
            self._wall_s = wall_s
