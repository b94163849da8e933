"""Counts of runs by version, for time spans and instances."""

import bisect
import dataclasses
from collections.abc import Iterable, Sequence

import mulberry_core as core
from mulberry_decisions import _judge, _work

#: Length of a time span, seconds.
SPAN_S = 2.0
#: Number of newest spans that are all kept. Of the older ones, one is kept for
#: each doubling of the age.
_MAX_RECENT_SPANS = 6
#: Step size of the running estimate of the 90th percentile.
_QUANTILE_GAIN = 0.02
_QUANTILE = 0.9
#: Number of runs before the latency estimate is used.
_MIN_TIMED_RUNS = 20

#: Number of instances whose evidence is kept; the least recently updated is
#: evicted first. An instance has a new name after each restart, so without a
#: bound memory would grow with every restart.
_MAX_INSTANCES = 512

_NO_COUNTS = _judge.EvidenceCounts()


def add(
    left: _judge.EvidenceCounts, right: _judge.EvidenceCounts, sign: int = 1
) -> _judge.EvidenceCounts:
    """Returns `left` plus `sign` times `right`."""
    return _judge.EvidenceCounts(
        left.runs + sign * right.runs,
        left.failed + sign * right.failed,
        left.rated + sign * right.rated,
        left.rated_low + sign * right.rated_low,
        left.timed + sign * right.timed,
        left.slow + sign * right.slow,
    )


@dataclasses.dataclass
class _LatencyQuantile:
    """Running estimate of the 90th percentile of one kind's latency."""

    estimate_s: float = 0.0
    samples: int = 0

    def is_slow(self, latency_s: float) -> bool | core.Missing:
        """Compares a latency with the estimate, then updates the estimate.

        Returns unset until the estimate is based on enough runs.
        """
        self.samples += 1
        if self.samples == 1:
            self.estimate_s = latency_s
        slow = latency_s > self.estimate_s
        # Larger steps at first, so that the estimate converges before it is
        # used.
        gain = max(_QUANTILE_GAIN, 1.0 / self.samples)
        step = gain * max(self.estimate_s, 1e-3)
        self.estimate_s += step * (_QUANTILE if slow else _QUANTILE - 1.0)
        return slow if self.samples > _MIN_TIMED_RUNS else core.Missing.UNSET


class LocalEvidence:
    """Counts of the runs on this instance. Not thread-safe."""

    def __init__(self) -> None:
        self._counts: dict[_judge.EvidenceKey, _judge.EvidenceCounts] = {}
        self._before_by_span: dict[
            _judge.EvidenceKey, dict[int, _judge.EvidenceCounts]
        ] = {}
        self._latencies: dict[tuple[str, str], _LatencyQuantile] = {}

    def observe(
        self, observation: _judge.Observation, epoch: int, span: int
    ) -> None:
        """Counts one run in a time span."""
        key = _judge.EvidenceKey(
            observation.model, observation.version, observation.kind, epoch
        )
        counts = self._counts.get(key, _NO_COUNTS)
        before = self._before_by_span.setdefault(key, {})
        if span not in before:
            before[span] = counts
            kept = set(_select_starts(before, span))
            for old in [each for each in before if each not in kept]:
                del before[old]
        self._counts[key] = add(counts, self._counts_of_run(observation))

    def export(self) -> _judge.Evidence:
        """Returns a copy of the counts."""
        return {
            key: _judge.EvidenceSeries(counts, dict(self._before_by_span[key]))
            for key, counts in self._counts.items()
        }

    def forget(self, model: str, version: str, epoch: int) -> None:
        """Discards evidence on a version from epochs before `epoch`."""
        for key in list(self._counts):
            if (key.model, key.version) == (model, version) and (
                key.epoch < epoch
            ):
                del self._counts[key]
                del self._before_by_span[key]

    def _counts_of_run(
        self, observation: _judge.Observation
    ) -> _judge.EvidenceCounts:
        rating = observation.rating
        rated = not isinstance(rating, core.Missing)
        low = (
            not isinstance(rating, core.Missing)
            and rating < observation.quality
            and observation.outcome not in _judge.FAILURES
        )
        timed = slow = False
        latency_s = observation.latency_s
        completed = observation.outcome is _work.Outcome.COMPLETED
        if completed and not isinstance(latency_s, core.Missing):
            latency = self._latencies.setdefault(
                (observation.model, observation.kind), _LatencyQuantile()
            )
            verdict = latency.is_slow(latency_s)
            timed = not isinstance(verdict, core.Missing)
            slow = verdict is True
        failed = observation.outcome in _judge.FAILURES
        return _judge.EvidenceCounts(
            1, int(failed), int(rated), int(low), int(timed), int(slow)
        )


def _select_starts(spans: Iterable[int], newest: int) -> list[int]:
    """Returns the newest spans, and one for each doubling of the age.

    The selection depends on time only. Selecting by outcome would break the
    bound on the rate of false alarms.
    """
    ordered = sorted(spans)
    kept = ordered[-_MAX_RECENT_SPANS:]
    age_classes: set[int] = set()
    for span in ordered[:-_MAX_RECENT_SPANS]:
        age_class = (newest - span).bit_length()
        if age_class not in age_classes:
            kept.append(span)
        age_classes.add(age_class)
    return sorted(kept)


class MergedEvidence:
    """Evidence of all instances, by instance name. Not thread-safe."""

    def __init__(self) -> None:
        self._by_instance: dict[
            str, dict[_judge.EvidenceKey, _judge.EvidenceSeries]
        ] = {}

    def merge(self, instance: str, evidence: _judge.Evidence) -> None:
        """Keeps the series with more runs for each key."""
        series_by_key = self._by_instance.pop(instance, {})
        self._by_instance[instance] = series_by_key
        if len(self._by_instance) > _MAX_INSTANCES:
            del self._by_instance[next(iter(self._by_instance))]
        for key, series in evidence.items():
            old = series_by_key.get(key)
            if old is None or old.now.runs <= series.now.runs:
                series_by_key[key] = series

    def forget(self, model: str, version: str, epoch: int) -> None:
        """Discards evidence on a version from epochs before `epoch`."""
        for series_by_key in self._by_instance.values():
            for key in list(series_by_key):
                if (key.model, key.version) == (model, version) and (
                    key.epoch < epoch
                ):
                    del series_by_key[key]

    def all_keys(self) -> set[_judge.EvidenceKey]:
        """Returns all keys with evidence."""
        return {
            key
            for series_by_key in self._by_instance.values()
            for key in series_by_key
        }

    def starts(self, keys: Iterable[_judge.EvidenceKey]) -> list[int]:
        """Returns the spans from whose start evidence is counted."""
        spans = {
            span
            for key in keys
            for series in self._series(key)
            for span in series.before_by_span
        }
        return _select_starts(spans, max(spans, default=0))

    def total(
        self, keys: Iterable[_judge.EvidenceKey]
    ) -> _judge.EvidenceCounts:
        """Returns the sum of the counts over all instances."""
        total = _NO_COUNTS
        for key in keys:
            for series in self._series(key):
                total = add(total, series.now)
        return total

    def since(
        self, keys: Iterable[_judge.EvidenceKey], starts: Sequence[int]
    ) -> list[_judge.EvidenceCounts]:
        """Returns the counts since each start; starts must be ascending."""
        totals = [_NO_COUNTS] * len(starts)
        for key in keys:
            for series in self._series(key):
                spans = sorted(series.before_by_span)
                for index, start in enumerate(starts):
                    position = bisect.bisect_left(spans, start)
                    if position == len(spans):
                        break
                    before = series.before_by_span[spans[position]]
                    totals[index] = add(
                        totals[index], add(series.now, before, -1)
                    )
        return totals

    def _series(self, key: _judge.EvidenceKey) -> list[_judge.EvidenceSeries]:
        return [
            series_by_key[key]
            for series_by_key in self._by_instance.values()
            if key in series_by_key
        ]
