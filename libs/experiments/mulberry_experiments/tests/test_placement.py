"""Tests of the placement experiment with many entries per engine."""

import pytest

from mulberry_experiments._decisions import _placement

_FLEET = _placement.Fleet("69 entries, 45 engines", 69, 45, 16, 1.5)


@pytest.mark.parametrize("seed", [1, 2])
def test_many_entries_balance_load_over_engines(seed: int) -> None:
    """Guards against entries that treat engines without a load report as idle.

    Each entry has fewer than one request on each engine, at 1.5 times the
    load of the grown site and a burst of 1.4 times that.
    """
    result = _placement.simulate(_FLEET, seed, seconds=24.0)
    assert result.share_in_time() >= 0.98
    assert result.peak_to_mean_load <= 2.0


@pytest.mark.parametrize("seed", [1, 2])
def test_answers_stay_in_their_zone_at_the_usual_load(seed: int) -> None:
    """Guards against traffic between zones at the usual load."""
    fleet = _placement.Fleet("usual", 30, 18, 16, 0.4)
    result = _placement.simulate(fleet, seed, seconds=17.0)
    assert result.cross_zone / result.answers <= 0.1
