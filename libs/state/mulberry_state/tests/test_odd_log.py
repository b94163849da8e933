"""Tests of snapshots and records that this version cannot read.

A voter of another version may have written or sent it.
"""

import random
import threading

import pytest

import mulberry_core as core
import mulberry_rules as rules
import mulberry_state as state
from mulberry_state import (
    _codec,
    _disk,
    _fake_network,
    _machine,
    _memory_disk,
    _raft,
    _replica,
    _view,
)
from mulberry_wire import log_pb2, state_pb2

_SNAPSHOTS = {
    "no message": b"\xff\xff\xff",
    "other format": state_pb2.StateSnapshot(format=99).SerializeToString(),
    "unknown enum": state_pb2.StateSnapshot(
        format=_machine.SNAPSHOT_FORMAT,
        verdicts=[state_pb2.VerdictEntry(model="m", state="later")],
    ).SerializeToString(),
    "document not compressed": state_pb2.StateSnapshot(
        format=_machine.SNAPSHOT_FORMAT,
        routing=state_pb2.RoutingDocument(version=1, packed=b"x"),
    ).SerializeToString(),
}


def _open(disk: _disk.Disk) -> _replica.Replica:
    return _replica.Replica(
        "a",
        "a",
        {},
        disk,
        _fake_network.FakeNetwork(0).transport("a"),
        state.StateMachine(state.FileRulesParser()),
        core.ManualClock(1_000.0),
        rules.Timing(),
        random.Random(0),
    )


@pytest.mark.parametrize("data", _SNAPSHOTS.values(), ids=_SNAPSHOTS)
def test_unreadable_snapshot_is_a_storage_error(data: bytes) -> None:
    """Guards against a process that ends at each start.

    The gateway serves without a vote after a storage error.
    """
    disk = _memory_disk.MemoryDisk()
    replica = _open(disk)
    voters = log_pb2.LogVoters()
    voters.voters.add(name="a", address="a", identity=replica.raft.identity)
    replica.raft.log.save_snapshot(
        log_pb2.LogSnapshot(index=3, voters=voters, state=data)
    )
    replica.raft.log.close()
    with pytest.raises(_disk.StorageError, match="the snapshot cannot be read"):
        _open(disk.after_crash(random.Random(0)))


@pytest.mark.parametrize(
    "data",
    [b"", b"\xff\xff\xff", state_pb2.Command().SerializeToString()],
)
def test_unreadable_record_stops_the_voter(data: bytes) -> None:
    """Guards against a leader that applies no records and still leads."""
    replica = _open(_memory_disk.MemoryDisk())
    raft = replica.raft
    with raft.lock:
        raft.stage(
            [
                log_pb2.LogRecord(
                    index=1, term=1, kind=log_pb2.LogRecord.COMMAND, data=data
                )
            ]
        )
        raft.log.flush()
        raft.commit_index = 1
    replica.applier.run(threading.Event())
    assert raft.role is _raft.Role.FAILED
    assert "ValueError" in raft.failure


def test_failing_callback_ends_no_apply_task() -> None:
    """Guards against a voter that applies nothing after one odd view."""
    replica = _open(_memory_disk.MemoryDisk())
    raft = replica.raft
    seen: list[int] = []

    def fail(view: _view.View) -> None:
        raise OverflowError("odd value")

    replica.applier.subscribe(fail)
    replica.applier.subscribe(lambda view: seen.append(view.revision))
    for index in (1, 2):
        command = state.ReplaceRouting(f"c{index}", index, b"{}", "me")
        with raft.lock:
            raft.stage(
                [
                    log_pb2.LogRecord(
                        index=index,
                        term=1,
                        kind=log_pb2.LogRecord.COMMAND,
                        data=_codec.encode_command(command),
                    )
                ]
            )
            raft.log.flush()
            raft.commit_index = index
        replica.applier._apply_next()
    assert seen == [1, 2]
    assert raft.role is not _raft.Role.FAILED
