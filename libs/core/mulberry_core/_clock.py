"""Clocks for durations and leases, and for the time of day."""

import abc
import threading
import time


class Clock(abc.ABC):
    """Source of time that tests and embedders can replace."""

    @abc.abstractmethod
    def now(self) -> float:
        """Returns monotonic seconds, including time spent suspended."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Returns Unix time in seconds; it may jump, so not for leases."""


class SystemClock(Clock):
    """Reads the clocks of the operating system."""

    def now(self) -> float:
        """Returns CLOCK_BOOTTIME in seconds.

        CLOCK_MONOTONIC stops while the machine is suspended, so that a lease
        measured with it would outlive its term.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Returns Unix time in seconds."""
        return time.time()


class ManualClock(Clock):
    """A clock for tests that changes only when set."""

    def __init__(self, start_s: float = 0.0, wall_s: float = 1.7e9) -> None:
        self._lock = threading.Lock()
        self._now_s = start_s
        self._wall_s = wall_s

    def now(self) -> float:
        """Returns the monotonic seconds set by the test."""
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
        """Sets only the wall clock, as an operator or NTP may."""
        with self._lock:
            self._wall_s = wall_s
