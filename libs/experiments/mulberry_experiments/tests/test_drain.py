"""Tests of draining under the load patterns of the experiment."""

import pytest

from mulberry_experiments._decisions import _drain


@pytest.mark.parametrize(
    "pattern", _drain.PATTERNS, ids=[p.name for p in _drain.PATTERNS]
)
def test_no_request_is_lost(pattern: _drain.LoadPattern) -> None:
    """Guards against cutting requests that had to be refused."""
    for seed in (1, 2, 3):
        result = _drain.simulate(pattern, "drain", seed)
        assert result.lost == 0.0
        # Refusing everything would lose nothing either.
        assert result.refused_early < 0.45


def test_the_simulation_finds_requests_that_were_lost_before() -> None:
    """Shows that the simulation provokes the fault.

    Timeouts were compared with the time of SIGKILL and the process ends before
    that, so payments that take up to their timeout were cut.
    """
    payments = _drain.PATTERNS[1]
    assert _drain.simulate(payments, "timeout", 1).lost > 0.0
    dossiers = _drain.PATTERNS[4]
    assert _drain.simulate(dossiers, "timeout", 1).cut > 0.1
    assert _drain.simulate(dossiers, "drain", 1).cut == 0.0
