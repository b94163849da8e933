"""Tests of the expected durations of requests."""

import mulberry_core as core
import mulberry_decisions as decisions


def test_few_durations_give_no_estimate() -> None:
    """Guards against an estimate from the first quick requests."""
    durations = decisions.RecentDurations()
    for _ in range(19):
        durations.record("a", 0.1)
    assert durations.usual_maximum_s("a") is core.Missing.UNSET
    durations.record("a", 0.1)
    assert durations.usual_maximum_s("a") == 0.1
    assert durations.usual_maximum_s("b") is core.Missing.UNSET


def test_the_estimate_is_high_and_follows_recent_requests() -> None:
    """Guards against estimates by the mean, and by requests of long ago."""
    durations = decisions.RecentDurations()
    for number in range(100):
        durations.record("a", 4.0 if number % 20 == 0 else 1.0)
    assert durations.usual_maximum_s("a") == 4.0
    for _ in range(128):
        durations.record("a", 1.5)
    assert durations.usual_maximum_s("a") == 1.5


def test_memory_for_kinds_is_bounded() -> None:
    """Guards against growth with routes that get new names."""
    durations = decisions.RecentDurations()
    for number in range(2_000):
        durations.record(f"route-{number}", 1.0)
    assert len(durations._by_kind) <= 256
