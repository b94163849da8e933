"""Reports that instances send to the leader with lease renewals."""

import pytest

import mulberry_core as core
from mulberry_state import _renewal_reports


@pytest.mark.parametrize(
    ("stored", "expected"),
    [
        ([("i", "p1", b"1"), ("i", "p1", b"2")], {b"2"}),
        ([("i", "p1", b"1"), ("j", "p1", b"1")], {b"1"}),
        # A restarted instance counts from zero; its earlier counts are kept.
        ([("i", "p1", b"7"), ("i", "p2", b"1")], {b"7", b"1"}),
        # An empty report does not replace an earlier one.
        ([("i", "p1", b"7"), ("i", "p1", b"")], {b"7"}),
    ],
)
def test_newest_of_each_process(
    clock: core.ManualClock,
    stored: list[tuple[str, str, bytes]],
    expected: set[bytes],
) -> None:
    reports = _renewal_reports.RenewalReports(clock)
    for instance, process, report in stored:
        reports.store(instance, process, report)
    assert set(reports.all()) == expected
    assert len(reports.all()) == len({(i, p) for i, p, _ in stored})


def test_reports_of_silent_processes_expire(clock: core.ManualClock) -> None:
    """Guards against memory growth with each restart of an instance."""
    reports = _renewal_reports.RenewalReports(clock)
    reports.store("i", "p1", b"1")
    clock.advance(_renewal_reports.RETENTION_S + 1)
    reports.store("i", "p2", b"2")
    assert reports.all() == (b"2",)
