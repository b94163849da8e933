"""Counters, gauges and duration histograms."""

import abc
import bisect
import collections
import dataclasses
import threading
from collections.abc import Mapping

import statsd

#: Upper bounds of the histogram buckets, milliseconds: from a local answer to
#: the longest timeout of a route.
BUCKETS_MS = (
    5.0,
    10.0,
    25.0,
    50.0,
    100.0,
    200.0,
    300.0,
    500.0,
    750.0,
    1_000.0,
    1_500.0,
    2_000.0,
    3_000.0,
    5_000.0,
    10_000.0,
    25_000.0,
)


@dataclasses.dataclass
class Histogram:
    """Histogram of durations with one name."""

    #: One count per bucket of `BUCKETS_MS`, then one for longer durations.
    counts: list[int] = dataclasses.field(
        default_factory=lambda: [0] * (len(BUCKETS_MS) + 1)
    )
    sum_ms: float = 0.0


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
    """Keeps metrics in memory, for the status page and for tests."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count_by_name: collections.Counter[str] = collections.Counter()
        self._gauge_by_name: dict[str, float] = {}
        self._histogram_by_name: dict[str, Histogram] = {}

    def increment(self, name: str, by: int = 1) -> None:
        """Adds `by` to the counter `name`."""
        with self._lock:
            self._count_by_name[name] += by

    def gauge(self, name: str, value: float) -> None:
        """Sets the gauge `name`."""
        with self._lock:
            self._gauge_by_name[name] = value

    def timing(self, name: str, ms: float) -> None:
        """Counts a duration and adds it to the sum in the gauge `NAME.ms`."""
        with self._lock:
            self._count_by_name[name] += 1
            self._gauge_by_name[f"{name}.ms"] = (
                self._gauge_by_name.get(f"{name}.ms", 0.0) + ms
            )
            histogram = self._histogram_by_name.setdefault(name, Histogram())
            histogram.counts[bisect.bisect_left(BUCKETS_MS, ms)] += 1
            histogram.sum_ms += ms

    def count(self, name: str) -> int:
        """Returns the value of a counter, 0 if it was never incremented."""
        with self._lock:
            return self._count_by_name[name]

    def histograms(self) -> Mapping[str, Histogram]:
        """Returns copies of the duration histograms by name."""
        with self._lock:
            return {
                name: Histogram(list(histogram.counts), histogram.sum_ms)
                for name, histogram in self._histogram_by_name.items()
            }

    def snapshot(self) -> dict[str, float]:
        """Returns all counters and gauges by name."""
        with self._lock:
            return {**self._count_by_name, **self._gauge_by_name}


class StatsdCounters(MemoryCounters):
    """Sends metrics to a statsd server and also keeps them in memory."""

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
