"""Concurrency limit with a priority queue, run log and load report."""

import collections
import heapq
import itertools
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

#: Runs that begin more than this many seconds after the stand-in began to
#: leave are recorded as late.
_LEAVE_GRACE_S = 3.0
#: Number of load changes kept for the delayed load report.
_MAX_HISTORY = 10_000


class RunLog:
    """Records the requests that the stand-in has run, in order."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._keys: list[str] = []
        self._late: list[str] = []
        self._request_ids: set[str] = set()
        self._leaving_since_s: float | None = None

    def add(self, key: str, request_id: str) -> int:
        """Records one run and returns its number, from 1."""
        with self._lock:
            self._keys.append(key or request_id)
            self._request_ids.add(request_id)
            if (
                self._leaving_since_s is not None
                and time.monotonic() - self._leaving_since_s > _LEAVE_GRACE_S
            ):
                self._late.append(key or request_id)
            return len(self._keys)

    def contains(self, request_id: str) -> bool:
        """Whether this request has been run."""
        with self._lock:
            return request_id in self._request_ids

    def mark_leaving(self) -> None:
        """Records as late all runs that begin more than 3 s from now."""
        with self._lock:
            self._leaving_since_s = time.monotonic()

    def keys(self) -> list[str]:
        """Returns the keys of all runs."""
        with self._lock:
            return list(self._keys)

    def late(self) -> list[str]:
        """Returns the keys of the late runs."""
        with self._lock:
            return list(self._late)


class Slots:
    """Limits concurrent requests; the others wait in a priority queue.

    A lower priority number is served first, equal ones in order of arrival.
    """

    def __init__(self, capacity: int, max_queue: int, lag_s: float) -> None:
        self.capacity = capacity
        self._max_queue = max_queue
        self._lag_s = lag_s
        self._condition = threading.Condition()
        self._arrivals = itertools.count()
        self._waiting: list[tuple[int, int]] = []
        self._running = 0
        self._history: collections.deque[tuple[float, int, int]] = (
            collections.deque([(0.0, 0, 0)], maxlen=_MAX_HISTORY)
        )

    @contextmanager
    def acquire(self, priority: int) -> Iterator[bool]:
        """Waits for a slot; yields false at once if the queue is full."""
        if not self._acquire(priority):
            yield False
            return
        try:
            yield True
        finally:
            self._release()

    @property
    def unfinished(self) -> int:
        """Number of requests that are running or waiting."""
        with self._condition:
            return self._running + len(self._waiting)

    def lagged_load(self) -> dict[str, Any]:
        """Returns the load of `lag_s` seconds ago, to simulate late reports."""
        reported_at_s = time.monotonic() - self._lag_s
        with self._condition:
            while (
                len(self._history) > 1 and self._history[1][0] <= reported_at_s
            ):
                self._history.popleft()
            _, running, queued = self._history[0]
        return {"running": running, "queued": queued}

    def _acquire(self, priority: int) -> bool:
        with self._condition:
            if (
                self._running >= self.capacity
                and len(self._waiting) >= self._max_queue
            ):
                return False
            ticket = (priority, next(self._arrivals))
            heapq.heappush(self._waiting, ticket)
            self._record_load()
            while self._running >= self.capacity or self._waiting[0] != ticket:
                self._condition.wait()
            heapq.heappop(self._waiting)
            self._running += 1
            self._record_load()
            self._condition.notify_all()
            return True

    def _release(self) -> None:
        with self._condition:
            self._running -= 1
            self._record_load()
            self._condition.notify_all()

    def _record_load(self) -> None:
        self._history.append(
            (time.monotonic(), self._running, len(self._waiting))
        )
