"""Tests of escalation by the confidence of answers and the engine load."""

import collections
import random
from collections.abc import Callable

import pytest

import mulberry_core as core
import mulberry_decisions as decisions

_MODELS = ("small", "middle", "large")
_CASCADE = decisions.ConfidenceCascade()


@pytest.mark.parametrize(
    ("model", "confidence", "load_share", "expected"),
    [
        ("small", 0.9, 0.0, core.Missing.UNSET),
        ("small", 0.5, 0.0, "middle"),
        ("small", 0.3, 0.0, "large"),
        ("middle", 0.5, 0.0, core.Missing.UNSET),
        ("middle", 0.4, 0.0, "large"),
        ("unknown", 0.1, 0.0, core.Missing.UNSET),
        ("small", core.Missing.UNSET, 0.0, core.Missing.UNSET),
        ("large", 0.1, 0.0, core.Missing.UNSET),
        # The threshold falls with the load and is 0 once engines are full.
        ("small", 0.5, 0.8, "middle"),
        ("small", 0.5, 0.95, core.Missing.UNSET),
        ("small", 0.15, 0.95, "middle"),
        ("small", 0.0, 0.9, "large"),
        ("small", 0.0, 1.1, core.Missing.UNSET),
    ],
)
def test_next_model(
    model: str,
    confidence: float | core.Missing,
    load_share: float,
    expected: str | core.Missing,
) -> None:
    attempt = decisions.CascadeAttempt(model, confidence)
    assert _CASCADE.next(_MODELS, attempt, load_share) == expected


def test_a_burst_does_not_delay_requests() -> None:
    """Guards against second attempts that fill the engines in a burst.

    Simulates a burst of 1.7 times the load on engines that are half full.
    With a fixed threshold, requests queue for as long as the burst lasts.
    """
    fixed = _simulate_burst(
        lambda load_share, pressure: decisions.CONFIDENCE_THRESHOLD
    )
    adaptive = _simulate_burst(_CASCADE.threshold)
    assert fixed > 0.2
    assert adaptive < 0.02


def _simulate_burst(threshold: Callable[[float, float], float]) -> float:
    """Returns the share of requests that wait longer than their target."""
    clock = core.ManualClock()
    monitor = decisions.ResponseDelayMonitor(clock)
    rng = random.Random(3)
    slots, small_s, large_s, target_s = 64, 0.6, 5.0, 1.0
    running: list[float] = []
    waiting: collections.deque[tuple[int, float]] = collections.deque()
    sent, late = 0, 0
    while clock.now() < 20.0:
        clock.advance(0.05)
        now_s = clock.now()
        running = [end_s for end_s in running if end_s > now_s]
        per_s = 15.0 * (1.7 if 4.0 <= now_s < 12.0 else 1.0)
        for _ in range(int(per_s / 20 + rng.random())):
            sent += 1
            waiting.append((sent, now_s))
            monitor.started(sent, target_s)
        while waiting and len(running) < slots:
            number, since_s = waiting.popleft()
            monitor.began(number)
            late += now_s - since_s > target_s
            load_share = (len(running) + len(waiting)) / slots
            is_unsure = rng.random() < threshold(load_share, monitor.pressure())
            # Each request in a batch slows down the others.
            slowed = 1.0 + len(running) / slots
            running.append(now_s + (large_s if is_unsure else small_s) * slowed)
    return late / sent
