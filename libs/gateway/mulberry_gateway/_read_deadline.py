"""A deadline for reading bytes that may arrive without a pause."""

import math
from collections.abc import Callable

#: How long to go on reading what has already arrived after the deadline,
#: seconds. It may have arrived in time, while this process did not run.
_LATE_READ_S = 0.1


class ReadDeadline:
    """Ends a wait also if there is always something to read.

    Waiting for a socket that has bytes takes no time, so a timeout of the wait
    alone does not end a flood.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        """Creates a deadline that has not started.

        Args:
            now: Returns the time in seconds.
        """
        self._now = now
        self._at_s = math.inf
        #: Time of the first read after the deadline, infinity before it.
        self._late_since_s = math.inf

    def start(self, timeout_s: float) -> None:
        """Starts the next wait.

        Args:
            timeout_s: Seconds until the deadline. If none are left, the time
                for late reads goes on from the wait before.
        """
        if timeout_s > 0.0:
            self._late_since_s = math.inf
        self._at_s = self._now() + timeout_s

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline, negative after it."""
        return self._at_s - self._now()

    def is_over(self) -> bool:
        """Whether not even bytes that have arrived are read any more."""
        now_s = self._now()
        if now_s < self._at_s:
            return False
        self._late_since_s = min(self._late_since_s, now_s)
        return now_s - self._late_since_s > _LATE_READ_S
