"""Tests of the membership experiments; none depends on timing."""

from mulberry_experiments import _membership, _membership_worker


def test_simulated_rows() -> None:
    """Guards against missing, duplicate or zero rows of the simulation."""
    rows = _membership.measure_simulated((4, 8), seed=1)
    assert len(rows) == 6
    assert all(row.figure > 0 for row in rows)
    assert len({row.name for row in rows}) == len(rows)


def test_fleet_reports_each_leaving_upstream() -> None:
    """Guards against processes that do not join, report or exit."""
    with _membership.Fleet(3) as fleet:
        fleet.announce(0, "u", leaving=False)
        fleet.announce(0, "u", leaving=True)
        assert len(fleet.leaving_times("u")) == 3
        usage = fleet.usage(0.5)
    assert usage.message_bytes > 0
    assert usage.wire_bytes > usage.message_bytes


def test_usage_difference_and_mean() -> None:
    """Guards against wrong differences and means of usage fields."""
    usage = _membership_worker.Usage
    assert usage(5.0, 4.0, 3.0, 2.0).since(usage(1.0, 1.0, 1.0, 1.0)) == usage(
        4.0, 3.0, 2.0, 1.0
    )
    mean = _membership_worker.mean
    assert mean(
        [usage(1.0, 2.0, 3.0, 4.0), usage(3.0, 4.0, 5.0, 6.0)]
    ) == usage(2.0, 3.0, 4.0, 5.0)
