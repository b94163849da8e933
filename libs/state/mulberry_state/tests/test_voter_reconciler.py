"""Automatic replacement of lost voters.

Guards against a group that stays without fault tolerance after a disk was lost
or a machine replaced, until an operator runs `voters replace`.
"""

import threading
import types
from collections.abc import Mapping
from typing import Any, cast

import pytest

import mulberry_core as core
from mulberry_state import _group, _raft, _reports, _voter_reconciler

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


class _Group:
    """Refuses candidates whose name begins with `bad`, like a real group.

    A real one refuses candidates that do not answer at their address, or not
    with their name.
    """

    def __init__(self) -> None:
        self.tried: list[str] = []
        self.added = threading.Event()

    def change(
        self, add: Mapping[str, str], remove: str, who: str, timeout_s: float
    ) -> str:
        name = next(iter(add), remove)
        self.tried.append(name)
        if name.startswith("bad"):
            raise _group.ChangeRefused("does not answer")
        self.added.set()
        return f"added {name}"


def _reconciler(
    group: _Group,
    voters: list[_reports.VoterStatus],
    get_candidates: Any,
    clock: core.Clock,
    unconfirmed_s: float = 0.0,
) -> _voter_reconciler.VoterReconciler:
    raft = types.SimpleNamespace(
        role=_raft.Role.LEADER,
        name="a",
        clock=clock,
        unconfirmed_s=lambda: unconfirmed_s,
    )
    return _voter_reconciler.VoterReconciler(
        cast(_raft.RaftState, raft),
        cast(_group.Group, group),
        lambda: voters,
        get_candidates,
        3,
    )


@pytest.mark.parametrize(
    "odd",
    [
        _candidates("bad-b"),
        {"bad-c": _voter_reconciler.VoterCandidate("bad-c", "x:1", "other")},
    ],
    ids=["unknown", "other identity of a voter"],
)
def test_candidate_that_cannot_be_added_keeps_out_no_other(
    odd: dict[str, _voter_reconciler.VoterCandidate],
) -> None:
    """Guards against a lost voter that is never replaced.

    The first candidate in sorted order was tried again and again.
    """
    group = _Group()
    clock = core.ManualClock(1_000.0)
    voters = [_voter("a"), _voter("bad-c"), _voter("c", _LOST_S)]
    candidates = {**_candidates("a", "d"), **odd}
    reconciler = _reconciler(group, voters, lambda: candidates, clock)
    for _ in range(2):
        reconciler._make_next_change()
        clock.advance(_voter_reconciler.PERIOD_S)
    assert group.tried == [next(iter(odd)), "d"]
    # Once nothing else is left to do, it is tried as before.
    voters[2] = _voter("d")
    reconciler._make_next_change()
    assert group.tried[-1] == next(iter(odd))


def test_reconciler_outlives_an_error() -> None:
    """Guards against voters that are replaced no more until a restart."""
    group = _Group()
    calls = 0

    def get_candidates() -> Mapping[str, _voter_reconciler.VoterCandidate]:
        nonlocal calls
        calls += 1
        if calls <= 2:
            raise RecursionError("odd record")
        return _candidates("d")

    reconciler = _reconciler(
        group, [_voter("a")], get_candidates, core.SystemClock()
    )
    stop = threading.Event()
    thread = threading.Thread(target=reconciler.run, args=(stop,))
    thread.start()
    try:
        assert group.added.wait(10.0)
    finally:
        stop.set()
        thread.join()


@pytest.mark.parametrize(
    ("unconfirmed_s", "changes"), [(0.0, True), (_LOST_S, False)]
)
def test_leader_that_was_suspended_removes_no_voter(
    unconfirmed_s: float, changes: bool
) -> None:
    """Guards against live voters that are taken for lost after a freeze."""
    group = _Group()
    silent = [_voter(name, _LOST_S) for name in "bcd"]
    reconciler = _reconciler(
        group,
        [_voter("a"), *silent],
        lambda: _candidates("a", "b", "c", "d"),
        core.ManualClock(),
        unconfirmed_s,
    )
    reconciler._make_next_change()
    assert bool(group.tried) is changes
