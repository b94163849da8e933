"""Tests of the entry addresses that callers should use."""

import dataclasses
import json
from collections.abc import Sequence

import pytest

import mulberry_membership as membership


def _entry(address: str, zone: str, state: str = "") -> membership.EntryState:
    return membership.EntryState(
        address=address,
        zone=zone,
        leaving=state == "leaving",
        load=0.0,
        wanted=[],
        rejection_limits=[],
        cut_off=state == "cut off",
    )


@pytest.mark.parametrize(
    ("entries", "listed"),
    [
        ([("1", "gent", ""), ("2", "gent", "leaving")], ["1"]),
        ([("1", "brugge", ""), ("2", "gent", "")], ["2", "1"]),
        ([("1", "gent", "cut off"), ("2", "brugge", "")], ["2"]),
        ([("1", "gent", "cut off"), ("2", "gent", "")], ["2"]),
        (
            [("1", "brugge", "cut off"), ("2", "gent", "cut off")],
            ["2", "1"],
        ),
        ([("1", "gent", "cut off"), ("2", "gent", "leaving")], ["1"]),
        ([("1", "gent", "leaving")], []),
    ],
)
def test_entries_that_are_cut_off_are_listed_only_without_others(
    entries: Sequence[tuple[str, str, str]], listed: Sequence[str]
) -> None:
    """Guards against callers sent to an entry that reaches no upstream.

    And against an empty list where all entries are cut off: they may be wrong,
    or their links may work again.
    """
    found = membership.preferred_entries(
        [_entry(*entry) for entry in entries], "gent"
    )
    assert [entry.address for entry in found] == listed


def test_payloads_of_other_versions_stay_readable() -> None:
    """Guards against entries that disappear during a rolling upgrade."""
    entry = dataclasses.replace(
        _entry("10.0.0.1:80", "gent", "cut off"), relay_address="10.0.0.1:7341"
    )
    assert membership.EntryState.decode(entry.encode()) == entry
    content = json.loads(entry.encode())
    del content["relay_address"], content["cut_off"]
    content["of a later version"] = 1
    old = membership.EntryState.decode(json.dumps(content).encode())
    assert old == _entry("10.0.0.1:80", "gent")
