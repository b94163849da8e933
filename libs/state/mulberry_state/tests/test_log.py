"""The log on disk under crashes, corruption and failing operations."""

import pathlib
import random

import hypothesis
import pytest
from hypothesis import strategies as st

from mulberry_state import _disk, _frames, _log, _memory_disk
from mulberry_wire import log_pb2


def _record(index: int, term: int) -> log_pb2.LogRecord:
    data = f"{index}/{term}".encode() * 5
    return log_pb2.LogRecord(index=index, term=term, data=data, log_s=index)


def _append(log: _log.Log, first: int, count: int, term: int) -> None:
    if term > log.term:
        log.save_vote(term, "")
    log.stage([_record(first + i, term) for i in range(count)])
    log.flush()


def _content(log: _log.Log) -> list[tuple[int, int]]:
    return [
        (record.index, record.term)
        for record in log.records_from(log.first_index, 1 << 30)
        if record.index > log.snapshot.index
    ]


def _install(log: _log.Log, index: int, term: int) -> None:
    snapshot = log_pb2.LogSnapshot(index=index, term=term, state=b"s" * 50)
    same = log.term_at(index) == term
    log.save_snapshot(snapshot)
    (log.compact if same else log.reset)(snapshot)


#: An operation: its name and a number whose meaning depends on it.
_Op = tuple[str, int]
_OPS = st.lists(
    st.tuples(
        st.sampled_from(["append", "replace", "compact", "install", "vote"]),
        st.integers(1, 4),
    ),
    min_size=1,
    max_size=8,
)


class _Model:
    """Runs operations on a log and tracks what it must contain."""

    def __init__(self, log: _log.Log) -> None:
        self.log = log
        self.acknowledged = (_content(log), log.snapshot.index, log.term, "")
        self.attempted = self.acknowledged

    def run(self, op: _Op) -> None:
        name, number = op
        log = self.log
        records, base, term, vote = self.acknowledged
        last = log.last.index
        if name == "append":
            term = max(1, term)
            new = [(last + 1 + i, term) for i in range(number)]
            self.attempted = ([*records, *new], base, term, vote)
            _append(log, last + 1, number, term)
        elif name == "replace":
            first = max(base, last - number) + 1
            kept = [r for r in records if r[0] < first]
            self.attempted = ([*kept, (first, term + 1)], base, term + 1, "")
            _append(log, first, 1, term + 1)
        elif name == "compact" and records:
            index, index_term = records[min(number, len(records)) - 1]
            kept = [r for r in records if r[0] > index]
            self.attempted = (kept, index, term, vote)
            _install(log, index, index_term)
        elif name == "install":
            # A conflicting history: none of the old records remain valid.
            index = max(base + 1, last - number)
            self.attempted = ([], index, term + 1, "")
            log.save_vote(term + 1, "")
            _install(log, index, term + 1)
        elif name == "vote":
            self.attempted = (records, base, term + 1, f"c{number}")
            log.save_vote(term + 1, f"c{number}")
        self.acknowledged = self.attempted

    def check_recovered(self, log: _log.Log) -> None:
        """Checks that the log has all acknowledged and no foreign content."""
        old_records, old_base, old_term, old_vote = self.acknowledged
        new_records, new_base, new_term, new_vote = self.attempted
        assert (log.term, log.voted_for) in (
            (old_term, old_vote),
            (new_term, new_vote),
        )
        found, base = _content(log), log.snapshot.index
        assert base in (old_base, new_base)
        old_found = [r for r in old_records if r[0] > base]
        new_found = [r for r in new_records if r[0] > base]
        if old_records == new_records[: len(old_records)]:
            # Only appended: no acknowledged record may be missing.
            assert found == new_found[: len(found)]
            assert len(found) >= len(old_found)
        elif old_base == new_base:
            assert found in (old_found, new_found)
        else:
            assert found == (old_found if base == old_base else new_found)


@hypothesis.given(
    ops=_OPS, fail_at=st.integers(0, 120), seed=st.integers(0, 1 << 16)
)
@hypothesis.settings(max_examples=400, deadline=None)
def test_crash_at_any_step_loses_nothing_acknowledged(
    ops: list[_Op], fail_at: int, seed: int
) -> None:
    """Guards against acknowledged records or votes lost in a crash."""
    rng = random.Random(seed)
    disk = _memory_disk.MemoryDisk()
    model = _Model(_log.Log(disk, "a"))
    disk.fail_at = disk.steps + fail_at
    try:
        for op in ops:
            model.run(op)
    except _disk.StorageError:
        assert model.log.failure
    for _ in range(2):
        disk = disk.after_crash(rng)
        recovered = _log.Log(disk, "a")
        model.check_recovered(recovered)
    # The recovered log accepts further records.
    _append(recovered, recovered.last.index + 1, 2, recovered.term + 1)
    expected = _content(recovered)
    again = _log.Log(disk.after_crash(rng), "a")
    assert _content(again) == expected


@hypothesis.given(
    ops=_OPS,
    fail_at=st.integers(0, 40),
    rewrite_fails_at=st.integers(0, 30),
    seed=st.integers(0, 1 << 16),
)
# The power fails after the rewritten segment was renamed, and before or while
# the old ones are removed.
@hypothesis.example([("append", 1)], 10, 10, 0)
@hypothesis.example([("append", 1)], 10, 9, 1)
@hypothesis.settings(max_examples=400, deadline=None)
def test_log_that_is_opened_after_a_failure_is_durable(
    ops: list[_Op], fail_at: int, rewrite_fails_at: int, seed: int
) -> None:
    """Guards against records that read back, but were never written.

    After a failed sync, the next one may succeed without writing anything.
    """
    rng = random.Random(seed)
    disk = _memory_disk.MemoryDisk()
    model = _Model(_log.Log(disk, "a"))
    disk.fail_at = disk.steps + fail_at
    try:
        for op in ops:
            model.run(op)
    except _disk.StorageError:
        assert model.log.failure
    disk.fail_at = -1
    opened = _log.Log(disk, "a")
    model.check_recovered(opened)
    expected = (_content(opened), opened.term, opened.voted_for)
    disk.fail_at = disk.steps + rewrite_fails_at
    try:
        opened.rewrite()
    except _disk.StorageError:
        model.check_recovered(_log.Log(disk.after_crash(rng), "a"))
        return
    disk.fail_at = -1
    recovered = _log.Log(disk.after_crash(rng), "a")
    assert expected == (
        _content(recovered),
        recovered.term,
        recovered.voted_for,
    )
    _append(opened, opened.last.index + 1, 2, opened.term + 1)
    again = _log.Log(disk.after_crash(rng), "a")
    assert _content(again) == _content(opened)


@pytest.mark.parametrize("failing_step", range(4))
def test_probe_of_a_faulty_disk(failing_step: int) -> None:
    """Guards against reading the whole folder while its disk is faulty.

    A probe that fails halfway leaves a file that is removed at the next start.
    """
    disk = _memory_disk.MemoryDisk()
    _append(_log.Log(disk, "a"), 1, 1, 1)
    names = disk.names()
    disk.fail_at = disk.steps + failing_step
    with pytest.raises(_disk.StorageError, match="write to the data folder"):
        _disk.require_writable(disk)
    disk.fail_at = -1
    _log.Log(disk, "a")
    assert disk.names() == names
    _disk.require_writable(disk)
    assert disk.names() == names


@pytest.mark.parametrize("errno", [28, 30, 5])
def test_log_is_unusable_after_a_failed_sync(errno: int) -> None:
    """Guards against a retried sync that reports success for lost pages."""
    disk = _memory_disk.MemoryDisk()
    log = _log.Log(disk, "a")
    _append(log, 1, 1, 1)
    disk.error = OSError(errno, "injected fault")
    disk.fail_at = disk.steps + 1
    with pytest.raises(_disk.StorageError):
        _append(log, 2, 1, 1)
    assert log.durable_index == 1
    disk.fail_at = -1
    with pytest.raises(_disk.StorageError, match=f"errno {errno}"):
        log.flush()


@pytest.mark.parametrize(
    ("place", "accepted"),
    [("first", False), ("middle", False), ("last", True)],
)
def test_corruption_is_distinguished_from_a_torn_tail(
    place: str, accepted: bool
) -> None:
    """Guards against truncating synced records as if they were torn."""
    disk = _memory_disk.MemoryDisk()
    log = _log.Log(disk, "a")
    for index in range(1, 6):
        _append(log, index, 1, 1)
    (name,) = [n for n in disk.names() if n.startswith("log-")]
    data = bytearray(disk.read(name))
    position = {"first": 20, "middle": len(data) // 2, "last": len(data) - 3}
    data[position[place]] ^= 0xFF
    disk.put(name, bytes(data))
    if accepted:
        assert _log.Log(disk, "a").last.index == 4
    else:
        with pytest.raises(_disk.StorageError, match="damaged"):
            _log.Log(disk, "a")


def test_frame_inside_a_record_is_not_read_as_a_frame() -> None:
    """Guards against reporting a torn record as corruption.

    A record can contain bytes that look like a valid frame.
    """
    disk = _memory_disk.MemoryDisk()
    log = _log.Log(disk, "a")
    _append(log, 1, 1, 1)
    (name,) = [n for n in disk.names() if n.startswith("log-")]
    body = _frames.encode_frame(b"forged")
    record = log_pb2.LogRecord(index=2, term=1, data=body * 3)
    log.stage([record])
    log.flush()
    disk.put(name, disk.read(name)[:-10])
    assert _log.Log(disk, "a").last.index == 1


def test_data_folder_of_another_instance_is_rejected() -> None:
    """Guards against voting with the data folder of another instance."""
    disk = _memory_disk.MemoryDisk()
    first = _log.Log(disk, "a")
    assert _log.Log(disk, "a").identity == first.identity
    with pytest.raises(_disk.StorageError, match="belongs to instance a"):
        _log.Log(disk, "b")
    disk.remove("identity")
    _append(first, 1, 1, 1)
    with pytest.raises(_disk.StorageError, match="no identity"):
        _log.Log(disk, "a")


def test_missing_vote_file_is_detected() -> None:
    """Guards against a second vote in a term after the vote file was lost."""
    disk = _memory_disk.MemoryDisk()
    _append(_log.Log(disk, "a"), 1, 1, 3)
    disk.remove("vote")
    with pytest.raises(_disk.StorageError, match="later term"):
        _log.Log(disk, "a")


def test_old_segments_are_removed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against unbounded growth of the data folder."""
    monkeypatch.setattr("mulberry_state._log_files.SEGMENT_BYTES", 200)
    disk = _memory_disk.MemoryDisk()
    log = _log.Log(disk, "a")
    for index in range(1, 41):
        _append(log, index, 1, 1)
    before = len(disk.names())
    _install(log, 38, 1)
    assert len(disk.names()) < before / 2
    again = _log.Log(disk, "a")
    assert _content(again) == [(39, 1), (40, 1)]


def test_data_folder_is_locked(tmp_path: pathlib.Path) -> None:
    """Guards against two processes writing the same log."""
    folder = tmp_path / "data"
    log = _log.Log(_disk.OsDisk(folder), "a")
    _append(log, 1, 3, 1)
    with pytest.raises(_disk.StorageError, match="in use"):
        _disk.OsDisk(folder)
    log.close()
    assert _log.Log(_disk.OsDisk(folder), "a").last.index == 3
    blocked = tmp_path / "file"
    blocked.write_text("")
    with pytest.raises(_disk.StorageError, match="cannot open"):
        _disk.OsDisk(blocked / "data")
