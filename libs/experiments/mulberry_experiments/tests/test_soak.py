"""A short soak run, and a test of the wait for agreement on rules."""

import collections

from mulberry_experiments._soak import _run

_SEED = 7
_DURATION_S = 20.0


def test_short_run_violates_nothing() -> None:
    """Guards against violated invariants under a few overlapping faults."""
    outcome = _run.run(_SEED, _DURATION_S)
    violations = {
        item.invariant: item.violations
        for item in outcome.results
        if item.violations
    }
    assert not violations, "\n".join([str(violations), *outcome.notes])
    assert outcome.faults.total() > 0
    answered = collections.Counter(
        name.rpartition(": ")[2] for name in outcome.requests.elements()
    )
    assert answered["answered"] > 0


def test_wait_for_agreement_includes_late_rules() -> None:
    """Guards against rules accepted after the final numbers were read."""
    reads = iter([3, 4, 4])
    rules_numbers = _run.wait_for_agreement(
        lambda: {"a": next(reads)}, interval_s=0.0
    )
    assert rules_numbers == {"a": 4}
