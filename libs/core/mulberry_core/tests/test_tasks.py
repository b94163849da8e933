"""Tests of tasks that go on after an error."""

import pytest

import mulberry_core as core


def test_first_error_in_a_row_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a task that ends, and a log that it fills."""
    outcomes = [True, False, False, True, False]

    def step() -> None:
        if not outcomes.pop(0):
            raise RecursionError("odd record")

    is_sound = True
    results = []
    for _ in range(5):
        is_sound = core.run_step("reading", step, is_sound)
        results.append(is_sound)
    assert results == [True, False, False, True, False]
    assert len([m for m in caplog.messages if "reading failed" in m]) == 2


def test_request_to_end_is_passed_on() -> None:
    """Guards against a process that cannot be stopped."""

    def end() -> None:
        raise SystemExit(0)

    with pytest.raises(SystemExit):
        core.run_step("reading", end, was_sound=True)
