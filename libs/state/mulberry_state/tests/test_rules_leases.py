"""When the leader may report a revision as in effect everywhere."""

import pytest

import mulberry_core as core
from mulberry_state import _rules_leases


@pytest.mark.parametrize(
    ("renewals", "wait_s", "expected"),
    [
        # Leases of an earlier leader may run for 8 s plus 1 % clock drift.
        ([], 8.0, False),
        ([], 8.1, True),
        # Each renewal: instance, revision, seconds after the election.
        ([("i", 4, 7.0)], 8.1, False),
        ([("i", 5, 7.0)], 8.1, True),
        ([("i", 6, 7.0), ("j", 4, 7.0)], 8.1, False),
        # An expired lease does not count.
        ([("i", 4, 7.0)], 15.0, False),
        ([("i", 4, 7.0)], 15.1, True),
        # Requests that arrive out of order.
        ([("i", 5, 7.0), ("i", 4, 6.0)], 8.1, True),
        ([("i", 4, 7.0), ("i", 4, 6.0)], 14.5, False),
    ],
)
def test_all_have(
    clock: core.ManualClock,
    renewals: list[tuple[str, int, float]],
    wait_s: float,
    expected: bool,
) -> None:
    """Guards against reporting a change before every instance has it."""
    elected_s = clock.now()
    leases = _rules_leases.RulesLeaseTable(clock, lease_term_s=8.0)
    for instance, revision, after_s in renewals:
        leases.renew(instance, revision, elected_s + after_s)
    clock.advance(wait_s)
    assert leases.all_have_revision(5, elected_s) is expected


def test_voter_that_does_not_lead_reports_nothing(
    clock: core.ManualClock,
) -> None:
    """Guards against reports of a voter that does not lead."""
    leases = _rules_leases.RulesLeaseTable(clock, lease_term_s=8.0)
    assert not leases.all_have_revision(0, float("inf"))
