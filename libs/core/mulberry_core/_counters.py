"""Counters: the first place where the system reports what it does."""

import abc
import collections
import threading

import statsd


class Counters(abc.ABC):
    """Receives counts, gauges and timings."""

    @abc.abstractmethod
    def increment(self, name: str, by: int = 1) -> None:
        """Adds `by` to the counter `name`."""

    @abc.abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Sets the gauge `name`."""

    @abc.abstractmethod
    def timing(self, name: str, ms: float) -> None:
        """Reports one duration in milliseconds."""


class MemoryCounters(Counters):
    """Keeps counts in memory, for the status page and for tests."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count_by_name: collections.Counter[str] = collections.Counter()
        self._gauge_by_name: dict[str, float] = {}

    def increment(self, name: str, by: int = 1) -> None:
        """Adds `by` to the counter `name`."""
        with self._lock:
            self._count_by_name[name] += by

    def gauge(self, name: str, value: float) -> None:
        """Sets the gauge `name`."""
        with self._lock:
            self._gauge_by_name[name] = value

    def timing(self, name: str, ms: float) -> None:
        """Counts the observation and adds its duration to `NAME.ms`."""
        with self._lock:
            self._count_by_name[name] += 1
            self._gauge_by_name[f"{name}.ms"] = (
                self._gauge_by_name.get(f"{name}.ms", 0.0) + ms
            )

    def count(self, name: str) -> int:
        """Returns the counter's value, zero if it was never increased."""
        with self._lock:
            return self._count_by_name[name]

    def snapshot(self) -> dict[str, float]:
        """Returns all counters and gauges by name."""
        with self._lock:
            return {**self._count_by_name, **self._gauge_by_name}


class StatsdCounters(MemoryCounters):
    """Sends to a statsd server as well as keeping counts in memory."""

    def __init__(self, host: str, port: int, prefix: str) -> None:
        super().__init__()
        self._client = statsd.StatsClient(host, port, prefix=prefix)

    def increment(self, name: str, by: int = 1) -> None:
        """Adds `by` to the counter `name`."""
        super().increment(name, by)
        self._client.incr(name, by)

    def gauge(self, name: str, value: float) -> None:
        """Sets the gauge `name`."""
        super().gauge(name, value)
        self._client.gauge(name, value)

    def timing(self, name: str, ms: float) -> None:
        """Reports one duration in milliseconds."""
        super().timing(name, ms)
        self._client.timing(name, ms)
