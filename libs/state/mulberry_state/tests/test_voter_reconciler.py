"""Automatic replacement of lost voters.

Guards against a group that stays without fault tolerance after a disk was lost
or a machine replaced, until an operator runs `voters replace`.
"""

import pytest

import mulberry_core as core
from mulberry_state import _reports, _voter_reconciler

_NONE = core.Missing.UNSET


def _voter(name: str, silent_s: float = 0.0) -> _reports.VoterStatus:
    return _reports.VoterStatus(name, f"{name}:1", f"id-{name}", 9, silent_s)


def _candidates(*names: str) -> dict[str, _voter_reconciler.VoterCandidate]:
    return {
        name: _voter_reconciler.VoterCandidate(name, f"{name}:1", f"id-{name}")
        for name in names
    }


_LOST_S = _voter_reconciler.LOST_AFTER_S + 0.1


@pytest.mark.parametrize(
    ("voters", "candidates", "expected"),
    [
        pytest.param(
            [_voter("a"), _voter("b"), _voter("c")],
            _candidates("a", "b", "c"),
            _NONE,
            id="complete",
        ),
        pytest.param(
            [_voter("a"), _voter("b"), _voter("c", _LOST_S)],
            _candidates("a", "b"),
            _NONE,
            id="lost without a replacement: kept, as it may come back",
        ),
        pytest.param(
            [_voter("a"), _voter("b"), _voter("c", _LOST_S)],
            _candidates("a", "b", "d"),
            ("d", "c"),
            id="lost, and another machine joined",
        ),
        pytest.param(
            [_voter("a"), _voter("b"), _voter("c")],
            _candidates("a", "b", "c", "d"),
            ("d", ""),
            id="planned replacement: the new voter is added first",
        ),
        pytest.param(
            [_voter("a"), _voter("b"), _voter("c", _LOST_S), _voter("d")],
            _candidates("a", "b", "d"),
            (_NONE, "c"),
            id="planned replacement: the old voter is removed",
        ),
        pytest.param(
            [_voter("a"), _voter("b"), _voter("c", _LOST_S)],
            {
                **_candidates("a", "b"),
                "c": _voter_reconciler.VoterCandidate("c", "c:1", "id-other"),
            },
            ("c", "c"),
            id="wiped disk at the same address",
        ),
        pytest.param(
            [_voter("a", _LOST_S), _voter("b"), _voter("c"), _voter("d")],
            _candidates("b", "c", "d"),
            _NONE,
            id="the leader never removes itself",
        ),
    ],
)
def test_next_change(
    voters: list[_reports.VoterStatus],
    candidates: dict[str, _voter_reconciler.VoterCandidate],
    expected: tuple[str | core.Missing, str] | core.Missing,
) -> None:
    change = _voter_reconciler.next_change(voters, candidates, 3, "a")
    if isinstance(change, core.Missing):
        assert expected is _NONE
        return
    added = (
        change.add.name
        if isinstance(change.add, _voter_reconciler.VoterCandidate)
        else _NONE
    )
    assert (added, change.remove) == expected
