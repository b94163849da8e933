"""Tests of urgency levels, with a simulated burst on one full engine."""

import dataclasses
import heapq
import random

import pytest

import mulberry_decisions as decisions


@pytest.mark.parametrize(
    ("priority", "attempts", "expected"),
    [(0, 1, 1), (0, 2, 0), (1, 1, 3), (2, 3, 4), (4, 1, 9), (9, 2, 9)],
)
def test_levels(priority: int, attempts: int, expected: int) -> None:
    assert decisions.urgency(priority, attempts) == expected


@dataclasses.dataclass(frozen=True)
class _Kind:
    priority: int
    per_s: float
    run_s: float
    target_s: float


_CHAT = _Kind(priority=0, per_s=14.0, run_s=0.4, target_s=1.0)
_PLAN = _Kind(priority=1, per_s=9.0, run_s=0.9, target_s=2.0)
_TAG = _Kind(priority=2, per_s=34.0, run_s=0.2, target_s=1.5)
_SLOTS = 16
_BURST_S = 8.0


def _on_time_shares(by_urgency: bool) -> dict[_Kind, float]:
    """Returns the share of each kind that starts within its target.

    For eight seconds, the load is 1.3 times the capacity of the slots.
    """
    rng = random.Random(7)
    arrivals = sorted(
        (at_s, kind.priority, kind)
        for kind in (_CHAT, _PLAN, _TAG)
        for at_s in _arrivals(rng, kind.per_s)
    )
    ends_s = [0.0] * _SLOTS
    waiting: list[tuple[int, float, int, _Kind]] = []
    begun: dict[_Kind, list[bool]] = {_CHAT: [], _PLAN: [], _TAG: []}
    number = 0
    while arrivals or waiting:
        free_s = heapq.heappop(ends_s)
        while arrivals and (not waiting or arrivals[0][0] <= free_s):
            at_s, _, kind = arrivals.pop(0)
            level = decisions.urgency(kind.priority, 1) if by_urgency else 0
            heapq.heappush(waiting, (level, at_s, number, kind))
            number += 1
        _, at_s, _, kind = heapq.heappop(waiting)
        start_s = max(free_s, at_s)
        begun[kind].append(start_s - at_s <= kind.target_s)
        heapq.heappush(ends_s, start_s + kind.run_s)
    return {kind: sum(done) / len(done) for kind, done in begun.items()}


def _arrivals(rng: random.Random, per_s: float) -> list[float]:
    times = []
    at_s = rng.expovariate(per_s)
    while at_s < _BURST_S:
        times.append(at_s)
        at_s += rng.expovariate(per_s)
    return times


def test_urgent_kinds_stay_on_time_in_a_burst() -> None:
    """Guards against chats that wait for all requests that arrived earlier."""
    fifo, by_level = _on_time_shares(False), _on_time_shares(True)
    assert by_level[_CHAT] == 1.0
    assert by_level[_PLAN] >= 0.95
    assert fifo[_CHAT] < 0.9
