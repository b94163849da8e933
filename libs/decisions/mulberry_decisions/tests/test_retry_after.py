"""Tests of the jitter of retry delays."""

import collections
import random

import pytest

import mulberry_decisions as decisions


@pytest.mark.parametrize("after_s", [0.0, 0.02, 0.1])
def test_short_delays_get_no_jitter(after_s: float) -> None:
    assert decisions.RetryAfterJitter().spread(after_s) == after_s


@pytest.mark.parametrize("after_s", [0.5, 1.0, 4.0])
def test_delays_are_at_most_twice_the_required_one(after_s: float) -> None:
    jitter = decisions.RetryAfterJitter(random.Random(1))
    waits = [jitter.spread(after_s) for _ in range(200)]
    assert after_s <= min(waits)
    assert max(waits) <= 2.0 * after_s


def test_callers_do_not_retry_at_the_same_time() -> None:
    """Simulates 300 callers that are refused within a tenth of a second.

    The upstreams can then accept 50 in a tenth of a second. Guards against a
    second refusal for most callers.
    """
    rng = random.Random(2)
    jitter = decisions.RetryAfterJitter(rng)
    refused_s = [rng.uniform(0.0, 0.1) for _ in range(300)]
    assert _busiest_tenth([at_s + 1.0 for at_s in refused_s]) > 50
    spread = [at_s + jitter.spread(1.0) for at_s in refused_s]
    assert _busiest_tenth(spread) <= 50


def _busiest_tenth(times_s: list[float]) -> int:
    return max(collections.Counter(int(at * 10) for at in times_s).values())
