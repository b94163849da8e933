"""Tests of the timer service."""

import mulberry_core as core


def test_periodic_and_single_callbacks() -> None:
    """Guards against a missed period and a repeated single call."""
    clock = core.ManualClock()
    timers = core.TimerService(clock)
    calls: list[str] = []
    periodic = timers.every(1.0, lambda: calls.append("every"), "every")
    timers.after(1.5, lambda: calls.append("after"), "after")
    for _ in range(4):
        clock.advance(1.0)
        timers.run_due()
    assert calls.count("every") == 4
    assert calls.count("after") == 1
    periodic.cancel()
    clock.advance(5.0)
    timers.run_due()
    assert calls.count("every") == 4


def test_failing_callback_does_not_stop_others() -> None:
    """Guards against one failing callback that stops the others."""
    clock = core.ManualClock()
    timers = core.TimerService(clock)
    calls: list[int] = []

    def fail() -> None:
        raise RuntimeError("fails on purpose")

    timers.every(1.0, fail, "fails")
    timers.every(1.0, lambda: calls.append(1), "counts")
    clock.advance(1.0)
    timers.run_due()
    assert calls == [1]
