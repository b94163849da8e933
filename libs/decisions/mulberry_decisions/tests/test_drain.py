"""Tests of draining: a request is served completely or refused at once."""

import math

import pytest

import mulberry_core as core
import mulberry_decisions as decisions

_UNKNOWN = core.Missing.UNSET


@pytest.mark.parametrize(
    ("elapsed_s", "timeout_s", "expected_s", "may_break_off", "accepted"),
    [
        (0.0, 25.0, _UNKNOWN, True, True),
        (2.7, 25.0, _UNKNOWN, True, True),
        # A stream accepted 4.8 s after SIGTERM was once cut off at 7.6 s.
        (4.8, 25.0, _UNKNOWN, True, False),
        (4.8, 25.0, 0.1, True, False),
        (4.8, 0.8, _UNKNOWN, False, True),
        (7.5, 0.8, _UNKNOWN, False, False),
        # The process ends at 7.52 s. Requests whose timeout ended between that
        # and 8 s were accepted and cut.
        (6.45, 1.5, _UNKNOWN, False, False),
        (4.9, 3.0, _UNKNOWN, False, False),
        (4.9, 3.0, 0.03, False, False),
        (4.4, 3.0, _UNKNOWN, False, True),
        # Streams of a route that usually take longer than the rest of the
        # period were accepted for as long as others.
        (2.0, 25.0, 6.0, True, False),
        (2.0, 25.0, 5.0, True, True),
        # A request that must not run again is not accepted on expectation.
        (0.0, 10.0, 0.1, False, False),
        # A stream with a short timeout ends in time whatever happens.
        (4.8, 2.0, 1.5, True, True),
    ],
)
def test_drain_refuses_requests_that_cannot_end_in_time(
    elapsed_s: float,
    timeout_s: float,
    expected_s: float | core.Missing,
    may_break_off: bool,
    accepted: bool,
) -> None:
    clock = core.ManualClock()
    drain = decisions.Drain(8.0, clock)
    assert drain.may_accept(math.inf, expected_s, may_break_off)
    drain.begin()
    clock.advance(elapsed_s)
    deadline_s = clock.now() + timeout_s
    assert drain.may_accept(deadline_s, expected_s, may_break_off) is accepted
    drain.end()
    assert not drain.may_accept(deadline_s, expected_s, may_break_off)


def test_a_suspension_counts_as_elapsed_time() -> None:
    """Guards against a check whose result is used after a suspension.

    The check is repeated before each send, with the time of that moment.
    """
    clock = core.ManualClock()
    drain = decisions.Drain(8.0, clock)
    drain.begin()
    clock.advance(2.5)
    assert drain.may_accept(clock.now() + 20.0, 1.0, True)
    clock.advance(1.0)
    assert not drain.may_accept(clock.now() + 19.0, 1.0, True)
    clock.advance(5.0)
    assert drain.remaining_s() < 0.0
    assert not drain.may_accept(clock.now(), 0.0, True)
