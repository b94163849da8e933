"""Tests of draining: a request is served completely or refused at once."""

import pytest

import mulberry_core as core
import mulberry_decisions as decisions


@pytest.mark.parametrize(
    ("elapsed_s", "is_stream", "max_duration_s", "accepted"),
    [
        (0.0, True, 25.0, True),
        (2.7, True, 25.0, True),
        # A stream accepted 4.8 s after SIGTERM was once cut off at 7.6 s.
        (4.8, True, 25.0, False),
        (4.8, False, 0.8, True),
        (7.5, False, 0.8, False),
    ],
)
def test_drain_refuses_requests_that_cannot_end_in_time(
    elapsed_s: float, is_stream: bool, max_duration_s: float, accepted: bool
) -> None:
    clock = core.ManualClock()
    drain = decisions.Drain(8.0, clock)
    assert drain.may_accept(is_stream, 100.0)
    drain.begin()
    clock.advance(elapsed_s)
    assert drain.may_accept(is_stream, max_duration_s) is accepted
