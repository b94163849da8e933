"""The replicated log of one voter, in memory and on disk."""

import dataclasses
from collections.abc import Sequence

from mulberry_state import _disk, _invariants, _log_files
from mulberry_wire import log_pb2

#: Records kept in memory from before the newest snapshot, so that a follower
#: that lags slightly needs no snapshot.
_TRAILING_RECORDS = 5_000


@dataclasses.dataclass(frozen=True)
class Position:
    """Index and term of a record."""

    index: int
    term: int


class Log:
    """Records by index, and the persisted term and vote.

    Not thread-safe. The owner stages and reads records under its main lock.
    `write` and `save_snapshot` may run without that lock, but must be
    serialized by locks of their own.
    """

    def __init__(self, disk: _disk.Disk, name: str) -> None:
        """Opens the log.

        Raises:
            StorageError: The data folder cannot be used or is corrupt.
        """
        self._files = _log_files.LogFiles(disk, name)
        self.identity = self._files.identity
        vote = self._files.load_vote()
        self.term: int = vote.term
        self.voted_for: str = vote.voted_for
        #: Newest snapshot; `take_state` clears its `state`.
        self.snapshot = self._files.load_snapshot()
        self._first_index = self.snapshot.index + 1
        self._prev_term: int = self.snapshot.term
        self._records: list[log_pb2.LogRecord] = []
        #: Bytes written since the newest snapshot.
        self.bytes_since_snapshot = 0
        self._replay()
        self.durable_index = self.last.index

    @property
    def failure(self) -> str:
        """Why the data folder became unusable; empty while it is usable."""
        return self._files.failure

    @property
    def last(self) -> Position:
        """The newest record, synced or not."""
        if not self._records:
            return Position(self._first_index - 1, self._prev_term)
        return Position(self._records[-1].index, self._records[-1].term)

    @property
    def last_log_s(self) -> float:
        """Log time of the newest record, in seconds."""
        if self._records:
            return self._records[-1].log_s
        return self.snapshot.log_s

    @property
    def first_index(self) -> int:
        """Index of the oldest record in memory."""
        return self._first_index

    def take_state(self) -> bytes:
        """Returns the state in the snapshot and releases its memory."""
        state = self.snapshot.state
        self.snapshot.ClearField("state")
        return state

    def read_snapshot(self) -> bytes:
        """Returns the newest snapshot in serialized form."""
        return self._files.read_snapshot()

    def term_at(self, index: int) -> int | None:
        """Returns the term of a record, `None` if it is not in memory."""
        if index == self._first_index - 1:
            return self._prev_term
        if self._first_index <= index <= self.last.index:
            return self._records[index - self._first_index].term
        return None

    def record(self, index: int) -> log_pb2.LogRecord:
        """Returns a record that is in memory."""
        return self._records[index - self._first_index]

    def records_from(
        self, index: int, max_bytes: int
    ) -> list[log_pb2.LogRecord]:
        """Returns records from `index` on, up to about `max_bytes`.

        At least one record is returned if there is any.
        """
        selected: list[log_pb2.LogRecord] = []
        size = 0
        for offset in range(index - self._first_index, len(self._records)):
            record = self._records[offset]
            size += len(record.data) + 40
            if selected and size > max_bytes:
                break
            selected.append(record)
        return selected

    def save_vote(self, term: int, voted_for: str) -> None:
        """Persists term and vote; the term never decreases."""
        _invariants.require(
            term > self.term
            or (term == self.term and self.voted_for in ("", voted_for)),
            f"refusing a second vote in term {term}",
        )
        self._files.save_vote(term, voted_for)
        self.term = term
        self.voted_for = voted_for

    def stage(self, records: Sequence[log_pb2.LogRecord]) -> None:
        """Appends records in memory, replacing any from their index on."""
        if not records:
            return
        first = records[0].index
        _invariants.require(
            self.snapshot.index < first <= self.last.index + 1,
            f"record {first} does not follow record {self.last.index}",
        )
        del self._records[first - self._first_index :]
        self.durable_index = min(self.durable_index, first - 1)
        self._records.extend(records)

    def staged(self) -> _log_files.Batch:
        """Returns the records that are not yet synced."""
        term = self.term_at(self.durable_index)
        assert term is not None
        start = self.durable_index + 1 - self._first_index
        return _log_files.Batch(tuple(self._records[start:]), term)

    def write(self, batch: _log_files.Batch) -> None:
        """Writes and syncs the records.

        Raises:
            StorageError: The records may not be durable; the log cannot be
                used any more.
        """
        if batch.records:
            self.bytes_since_snapshot += self._files.write(batch)

    def mark_durable(self, batch: _log_files.Batch) -> None:
        """Advances `durable_index` past records that have been written."""
        if not batch.records:
            return
        last = batch.records[-1]
        _invariants.require(
            self.term_at(last.index) == last.term,
            f"record {last.index} was replaced while it was written",
        )
        self.durable_index = max(self.durable_index, last.index)

    def flush(self) -> None:
        """Writes all staged records; the caller holds both locks."""
        batch = self.staged()
        self.write(batch)
        self.mark_durable(batch)

    def save_snapshot(self, snapshot: log_pb2.LogSnapshot) -> None:
        """Saves and syncs a snapshot."""
        snapshot.format = _log_files.LOG_FORMAT
        self._files.save_snapshot(snapshot)

    def compact(self, snapshot: log_pb2.LogSnapshot) -> None:
        """Discards records that a saved snapshot of this log covers."""
        self._set_snapshot(snapshot)
        keep = max(self._first_index, snapshot.index + 1 - _TRAILING_RECORDS)
        term = self.term_at(keep - 1)
        assert term is not None
        del self._records[: keep - self._first_index]
        self._first_index = keep
        self._prev_term = term
        self._files.drop_segments(snapshot.index)

    def reset(self, snapshot: log_pb2.LogSnapshot) -> None:
        """Replaces the whole log with a saved snapshot of another voter."""
        self._set_snapshot(snapshot)
        self._records = []
        self._first_index = snapshot.index + 1
        self._prev_term = snapshot.term
        self.durable_index = snapshot.index
        self._files.start_segment(self._first_index, self._prev_term)
        self._files.drop_segments(snapshot.index)

    def rewrite(self) -> None:
        """Makes all content durable that was read when the log was opened.

        Only for a log that was opened after the folder had become unusable in
        this process.

        Raises:
            StorageError: The data folder is still unusable.
        """
        vote = log_pb2.LogVote(term=self.term, voted_for=self.voted_for)
        batch = _log_files.Batch(tuple(self._records), self._prev_term)
        self._files.rewrite(vote, self.snapshot, batch)

    def close(self) -> None:
        """Closes the files."""
        self._files.close()

    def _set_snapshot(self, snapshot: log_pb2.LogSnapshot) -> None:
        self.snapshot = log_pb2.LogSnapshot()
        self.snapshot.CopyFrom(snapshot)
        self.snapshot.ClearField("state")
        self.bytes_since_snapshot = 0

    def _replay(self) -> None:
        """Rebuilds the records after the snapshot from the segments."""
        last = self.snapshot.index
        # Term of the snapshot's last record according to the segments.
        term_at_snapshot: int = self.snapshot.term
        for segment in self._files.load_segments():
            if segment.first_index > last + 1:
                raise _disk.StorageError(
                    f"records {last + 1} to {segment.first_index - 1} are "
                    "missing from the log"
                )
            last = segment.first_index - 1
            self._truncate(last)
            if last == self.snapshot.index:
                term_at_snapshot = segment.prev_term
            for record in segment.records:
                last = self._replay_record(record, last)
                if last == self.snapshot.index:
                    term_at_snapshot = record.term
            last = max(last, self.snapshot.index)
        if term_at_snapshot != self.snapshot.term:
            # The process stopped after saving another voter's snapshot and
            # before starting a new segment: the old records do not continue
            # that snapshot.
            self._records = []
        if self.last.term > self.term:
            raise _disk.StorageError(
                "the log holds a later term than the file vote"
            )

    def _replay_record(self, record: log_pb2.LogRecord, last: int) -> int:
        if record.index > last + 1:
            raise _disk.StorageError(
                f"record {record.index} follows record {last} in the log"
            )
        self._truncate(record.index - 1)
        if record.index >= self._first_index:
            if self._records and record.term < self._records[-1].term:
                raise _disk.StorageError(
                    f"record {record.index} is of an older term than its "
                    "predecessor"
                )
            self._records.append(record)
        self.bytes_since_snapshot += record.ByteSize()
        return int(record.index)

    def _truncate(self, last_index: int) -> None:
        kept = max(0, last_index + 1 - self._first_index)
        del self._records[kept:]
