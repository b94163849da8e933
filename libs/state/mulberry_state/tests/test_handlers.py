"""Replies of a single voter to single messages; its tasks do not run."""

import random
from typing import Any

import pytest

import mulberry_core as core
import mulberry_rules as rules
import mulberry_state as state
from mulberry_state import (
    _disk,
    _fake_network,
    _memory_disk,
    _raft,
    _replica,
)
from mulberry_wire import log_pb2


class _Voter:
    """Voter `a` of `a`, `b`, `c` with records 1 to 3 of terms 1, 2, 2."""

    def __init__(
        self, parser: state.RulesParser, clock: core.ManualClock
    ) -> None:
        self.parser = parser
        self.clock = clock
        self.disk = _memory_disk.MemoryDisk()
        self.replica = self._open()
        voters = log_pb2.LogVoters()
        for name in "abc":
            identity = self.raft.identity if name == "a" else f"id-{name}"
            voters.voters.add(name=name, address=name, identity=identity)
        self.raft.log.save_snapshot(log_pb2.LogSnapshot(voters=voters))
        with self.raft.lock:
            self.raft.set_initial_voters(voters)
        self.append(term=2, records=[(1, 1), (2, 2), (3, 2)])

    @property
    def raft(self) -> _raft.RaftState:
        return self.replica.raft

    def restart(self) -> None:
        self.disk = self.disk.after_crash(random.Random(0))
        self.replica = self._open()

    def append(
        self, term: int, records: list[tuple[int, int]], **fields: Any
    ) -> Any:
        message = log_pb2.AppendRequest(
            term=term,
            leader="b",
            leader_address="b",
            to_identity=self.raft.identity,
            records=[
                log_pb2.LogRecord(index=index, term=record_term)
                for index, record_term in records
            ],
        )
        for name, value in fields.items():
            setattr(message, name, value)
        return self.replica.handle("Append", message)

    def vote(self, **fields: Any) -> Any:
        message = log_pb2.VoteRequest(
            term=3,
            candidate="c",
            candidate_identity="id-c",
            to_identity=self.raft.identity,
            last_index=3,
            last_term=2,
        )
        for name, value in fields.items():
            setattr(message, name, value)
        return self.replica.handle("Vote", message)

    def _open(self) -> _replica.Replica:
        return _replica.Replica(
            "a",
            "a",
            {},
            self.disk,
            _fake_network.FakeNetwork(0).transport("a"),
            state.StateMachine(self.parser),
            self.clock,
            rules.Timing(),
            random.Random(0),
        )


@pytest.fixture
def voter(parser: state.RulesParser, clock: core.ManualClock) -> _Voter:
    made = _Voter(parser, clock)
    clock.advance(10.0)
    return made


@pytest.mark.parametrize(
    ("fields", "granted"),
    [
        ({}, True),
        ({"pre_vote": True}, True),
        ({"last_index": 2}, False),
        ({"last_index": 9, "last_term": 1}, False),
        ({"last_index": 1, "last_term": 3}, True),
        ({"term": 1}, False),
        ({"to_identity": "another disk"}, False),
        ({"to_identity": "another disk", "pre_vote": True}, False),
    ],
)
def test_vote(voter: _Voter, fields: dict[str, Any], granted: bool) -> None:
    """Guards against electing a leader without all committed records."""
    assert voter.vote(**fields).granted is granted
    changed = granted and not fields.get("pre_vote")
    assert voter.raft.log.term == (3 if changed else 2)


@pytest.mark.parametrize("pre_vote", [False, True])
def test_no_vote_while_a_leader_is_alive(voter: _Voter, pre_vote: bool) -> None:
    """Guards against a rejoining voter that disrupts the leader."""
    voter.append(term=2, records=[], prev_index=3, prev_term=2)
    assert not voter.vote(pre_vote=pre_vote).granted
    assert voter.vote(pre_vote=pre_vote, transfer=True).granted


def test_one_vote_per_term_survives_a_restart(voter: _Voter) -> None:
    """Guards against two leaders in one term."""
    assert voter.vote().granted
    assert voter.vote().granted
    assert not voter.vote(candidate="b", candidate_identity="id-b").granted
    voter.restart()
    assert not voter.vote(candidate="b", candidate_identity="id-b").granted
    assert voter.vote().granted


def test_accepted_records_are_synced(voter: _Voter) -> None:
    """Guards against losing acknowledged records in a power loss."""
    assert voter.append(3, [(4, 3)], prev_index=3, prev_term=2).index == 4
    voter.restart()
    assert voter.raft.log.last.index == 4


@pytest.mark.parametrize(
    ("prev", "accepted", "hint"),
    [
        ((3, 2), True, 3),
        ((3, 3), False, 1),
        ((7, 3), False, 3),
        ((2, 1), False, 1),
    ],
)
def test_append_checks_the_previous_record(
    voter: _Voter, prev: tuple[int, int], accepted: bool, hint: int
) -> None:
    """Guards against logs that differ before a matching record."""
    reply = voter.append(3, [], prev_index=prev[0], prev_term=prev[1])
    assert (reply.accepted, reply.index) == (accepted, hint)


def test_only_matched_records_are_committed(voter: _Voter) -> None:
    """Guards against applying an uncommitted record of an earlier leader."""
    reply = voter.append(3, [], prev_index=1, prev_term=1, commit_index=3)
    assert reply.accepted
    assert voter.raft.commit_index == 1


def test_committed_record_is_never_replaced(voter: _Voter) -> None:
    """Guards against a state that diverges from the other voters."""
    voter.append(2, [], prev_index=3, prev_term=2, commit_index=3)
    with pytest.raises(_disk.StorageError, match="committed record 3"):
        voter.append(3, [(3, 3)], prev_index=2, prev_term=2)
    assert voter.raft.role is _raft.Role.FAILED


def test_message_for_another_disk_changes_nothing(voter: _Voter) -> None:
    """Guards against a wiped disk that counts as the original one."""
    reply = voter.append(
        3, [(4, 3)], prev_index=3, prev_term=2, to_identity="another disk"
    )
    assert reply.other_identity
    install = log_pb2.InstallRequest(
        term=3, leader="b", to_identity="another disk", last=True
    )
    assert not voter.replica.handle("Install", install).accepted
    transfer = log_pb2.TransferRequest(term=2, to_identity="another disk")
    assert not voter.replica.handle("Transfer", transfer).accepted
    assert (voter.raft.log.term, voter.raft.log.last.index) == (2, 3)


def test_quorum_commits_records_of_the_current_term_only(voter: _Voter) -> None:
    """Guards against committing a record that a later leader may replace."""
    raft = voter.raft
    with raft.lock:
        raft.log.save_vote(4, raft.identity)
        raft.become_leader()
        start = raft.term_start_index
        assert start == 4
        for record in raft.other_voters():
            progress = _raft.Progress(record, 4, match_index=3)
            raft.progress_by_identity[record.identity] = progress
        raft.log.flush()
        raft.advance_commit()
        assert raft.commit_index == 0
        progress.match_index = start
        raft.advance_commit()
        assert raft.commit_index == start


def test_unsynced_record_of_the_leader_does_not_count(voter: _Voter) -> None:
    """Guards against a commit that a single power loss can undo."""
    raft = voter.raft
    with raft.lock:
        raft.log.save_vote(4, raft.identity)
        raft.become_leader()
        other = raft.other_voters()[0]
        raft.progress_by_identity[other.identity] = _raft.Progress(
            other, 9, match_index=raft.term_start_index
        )
        raft.advance_commit()
        assert raft.commit_index == 0
        raft.log.flush()
        raft.advance_commit()
        assert raft.commit_index == raft.term_start_index


def test_log_time_does_not_depend_on_the_wall_clock(
    voter: _Voter, clock: core.ManualClock
) -> None:
    """Guards against leases that expire early on a new leader's clock."""
    raft = voter.raft
    with raft.lock:
        raft.log.save_vote(4, raft.identity)
        raft.become_leader()
        first_s = raft.log.last_log_s
        clock.advance(2.0)
        clock.set_wall(clock.wall() + 5_000)
        raft.append(log_pb2.LogRecord.NOOP, b"")
        assert raft.log.last_log_s == pytest.approx(first_s + 2.0)
