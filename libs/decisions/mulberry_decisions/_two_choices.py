"""Power of two choices with prefix affinity and aging of load reports."""

import collections
import dataclasses
import functools
import heapq
import math
import random
import threading
from collections.abc import Sequence

import mulberry_core as core
from mulberry_decisions import _prefix_index, _upstreams, _work

#: Cost of an upstream in another zone, as a share of its capacity.
_CROSS_ZONE_COST = 0.05
#: Cost that a fully cached prompt saves, as a share of the capacity.
_CACHED_PROMPT_BENEFIT = 1.5
#: Slow start: time until a started upstream counts with its full capacity,
#: seconds.
_SLOW_START_S = 20.0
#: Share of the capacity with which a started upstream counts at first.
_SLOW_START_SHARE = 0.2
#: Time constant with which recent failures decay, seconds.
_FAILURE_DECAY_S = 10.0
#: Cost of one recent failure, as a share of the capacity. An upstream that
#: fails requests at once reports little load and would otherwise attract all
#: of them.
_FAILURE_COST = 0.5
#: Time constant with which a reported load decays to the mean, seconds. It is
#: of the order of a run time: older reports say little about the queue now.
_REPORT_DECAY_S = 1.0
#: Minimum weight of an old report: long queues and slow upstreams persist.
_MIN_REPORT_WEIGHT = 0.2
_HASH_RANGE = 1 << 64
#: Number of request starts and ends kept for each upstream, and their maximum
#: age in seconds.
_MAX_CHANGES = 512
_CHANGE_RETENTION_S = 30.0

_FAILURES = frozenset(
    {
        _work.Outcome.FAILED,
        _work.Outcome.TRUNCATED,
        _work.Outcome.GARBLED,
        _work.Outcome.CRASHED,
        _work.Outcome.REFUSED,
    }
)


@dataclasses.dataclass
class _Feedback:
    #: Times of this entry's request starts (+1) and ends (-1), oldest first.
    changes: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_MAX_CHANGES)
    )
    failures: float = 0.0
    failed_at_s: float = 0.0

    def record_change(self, now_s: float, change: int) -> None:
        """Adds a start or an end and drops expired ones."""
        self.changes.append((now_s, change))
        while self.changes[0][0] < now_s - _CHANGE_RETENTION_S:
            self.changes.popleft()


class TwoChoices(_upstreams.UpstreamChooser):
    """Chooses the cheapest of two sampled upstreams and a prefix holder.

    The load is the reported one, corrected by the requests that this entry has
    started and ended since the report. With few sampled upstreams, entries
    that use the same report do not all send to the same upstream.
    """

    def __init__(
        self,
        clock: core.Clock,
        zone: str | core.Missing = core.Missing.UNSET,
        seed: int | None = None,
    ) -> None:
        self._clock = clock
        self._zone = zone
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._feedback: dict[str, _Feedback] = {}
        self._prefixes = _prefix_index.PrefixIndex()

    def started(
        self, work: _work.Work, upstream: _upstreams.UpstreamState
    ) -> None:
        """Counts the request until a later report includes it."""
        with self._lock:
            feedback = self._feedback.setdefault(upstream.name, _Feedback())
            feedback.record_change(self._clock.now(), 1)
            self._prefixes.record_request(
                upstream.name, upstream.incarnation, work.prefixes
            )

    def finished(
        self,
        work: _work.Work,
        upstream: _upstreams.UpstreamState,
        outcome: _work.Outcome,
        latency_s: float,
    ) -> None:
        """Counts the end of the request, and its failure if it failed."""
        with self._lock:
            now_s = self._clock.now()
            feedback = self._feedback.setdefault(upstream.name, _Feedback())
            feedback.record_change(now_s, -1)
            if outcome in _FAILURES:
                feedback.failures = (
                    self._decayed_failures(feedback, now_s) + 1.0
                )
                feedback.failed_at_s = now_s

    def cache_changed(self, event: _upstreams.CacheEvent) -> None:
        """Applies an event of an upstream's prefix cache."""
        with self._lock:
            self._prefixes.apply(event)

    def _choose(
        self, work: _work.Work, usable: Sequence[_upstreams.UpstreamState]
    ) -> _upstreams.UpstreamState:
        with self._lock:
            now_s = self._clock.now()
            mean = sum(_reported_load(state) for state in usable) / len(usable)
            costs = {
                state.name: self._cost(work, state, now_s, mean)
                for state in self._sample(work, usable)
                + self._prefix_holder(work, usable)
            }
            best = min(costs, key=costs.__getitem__)
            return next(state for state in usable if state.name == best)

    def _sample(
        self, work: _work.Work, usable: Sequence[_upstreams.UpstreamState]
    ) -> list[_upstreams.UpstreamState]:
        """Returns two upstreams, sampled in proportion to their capacity.

        For a chat, a hash of the content selects them, so that copies sent to
        several entries at once reach the same two upstreams and cannot crash
        others. If both are full, and for calls, whose contents are often equal,
        the selection is random.
        """
        if len(usable) <= 2:
            return list(usable)
        if work.content and not work.is_call:
            pair = heapq.nlargest(
                2,
                usable,
                key=functools.partial(_rendezvous_score, work.content),
            )
            if min(_reported_load(state) for state in pair) < 1.0:
                return pair
        weights = [_capacity(state) for state in usable]
        first = self._random.choices(range(len(usable)), weights)[0]
        weights[first] = 0.0
        second = self._random.choices(range(len(usable)), weights)[0]
        return [usable[first], usable[second]]

    def _prefix_holder(
        self, work: _work.Work, usable: Sequence[_upstreams.UpstreamState]
    ) -> list[_upstreams.UpstreamState]:
        """Returns a random usable holder of the longest known prefix."""
        for digest in reversed(work.prefixes):
            names = self._prefixes.holders(digest)
            holders = [state for state in usable if state.name in names]
            if holders:
                return [self._random.choice(holders)]
        return []

    def _cost(
        self,
        work: _work.Work,
        state: _upstreams.UpstreamState,
        now_s: float,
        mean: float,
    ) -> float:
        feedback = self._feedback.get(state.name)
        own_net_starts = 0
        failures = 0.0
        if feedback is not None:
            reported_at_s = now_s - state.report_age_s
            own_net_starts = _net_starts(feedback, reported_at_s)
            failures = self._decayed_failures(feedback, now_s)
        freshness = math.exp(-state.report_age_s / _REPORT_DECAY_S)
        weight = max(_MIN_REPORT_WEIGHT, freshness)
        reported = mean + weight * (_reported_load(state) - mean)
        load = max(0.0, reported + own_net_starts / _capacity(state))
        zone = (
            _CROSS_ZONE_COST
            if self._zone
            not in (
                core.Missing.UNSET,
                state.zone,
            )
            else 0.0
        )
        cached_share = self._prefixes.cached_share(
            state.name, state.incarnation, work.prefixes
        )
        return (
            load
            + zone
            + failures * _FAILURE_COST
            - cached_share * _CACHED_PROMPT_BENEFIT
        )

    def _decayed_failures(self, feedback: _Feedback, now_s: float) -> float:
        since_s = now_s - feedback.failed_at_s
        return feedback.failures * math.exp(-since_s / _FAILURE_DECAY_S)


def _rendezvous_score(content: str, state: _upstreams.UpstreamState) -> float:
    """Returns the weighted rendezvous hash of a content and an upstream."""
    position = core.ring_position(f"{content}\x00{state.name}")
    share = (position + 1) / (_HASH_RANGE + 1)
    return math.log(share) / max(1, state.capacity)


def _reported_load(state: _upstreams.UpstreamState) -> float:
    return (state.running + state.queued) / _capacity(state)


def _capacity(state: _upstreams.UpstreamState) -> float:
    """Returns the capacity, reduced during slow start."""
    warmup = min(1.0, state.since_start_s / _SLOW_START_S)
    share = _SLOW_START_SHARE + (1.0 - _SLOW_START_SHARE) * warmup
    return max(1, state.capacity) * share


def _net_starts(feedback: _Feedback, reported_at_s: float) -> int:
    """Returns this entry's starts minus its ends since the report."""
    net = 0
    for changed_at_s, change in reversed(feedback.changes):
        if changed_at_s <= reported_at_s:
            break
        net += change
    return net
