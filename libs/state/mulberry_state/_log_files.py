"""The files of a voter: identity, vote, snapshot and log segments."""

import dataclasses
import itertools
import uuid
from collections.abc import Iterable

from absl import logging
from google.protobuf import message

from mulberry_state import _disk, _frames
from mulberry_wire import log_pb2

#: Format version of all files in the data folder.
LOG_FORMAT = 1

#: Size in bytes above which a new segment is started.
SEGMENT_BYTES = 4 << 20

_IDENTITY_FILE = "identity"
_VOTE_FILE = "vote"
_SEGMENT_PREFIX = "log-"
_SNAPSHOT_PREFIX = "snapshot-"


@dataclasses.dataclass(frozen=True)
class Batch:
    """Consecutive records that are written as one frame."""

    records: tuple[log_pb2.LogRecord, ...]
    #: Term of the record before the first one.
    prev_term: int


@dataclasses.dataclass(frozen=True)
class Segment:
    """One log file and its valid records."""

    name: str
    #: Index of the first record that the segment may hold.
    first_index: int
    #: Term of the record before that one.
    prev_term: int
    records: tuple[log_pb2.LogRecord, ...]


class LogFiles:
    """Reads and writes the files; no operation is allowed after a failure.

    After a failed sync the kernel may have dropped the dirty pages and report
    success for the next sync, so a retry would acknowledge lost data. The
    folder can be opened anew; `rewrite` then makes its content durable.
    """

    def __init__(self, disk: _disk.Disk, name: str) -> None:
        """Opens the folder and creates its identity if it is empty.

        Raises:
            StorageError: The folder cannot be used.
        """
        self._disk = disk
        #: Why the folder became unusable; empty while it is usable.
        self.failure = ""
        self._file: _disk.AppendFile | None = None
        self._checksum_seed = 0
        self._file_size = 0
        self._first_index_by_segment: dict[str, int] = {}
        self._sequence = 0
        self.identity = self._open_identity(name)

    def load_vote(self) -> log_pb2.LogVote:
        """Returns the saved term and vote, or term 0 without a vote."""
        vote = log_pb2.LogVote(format=LOG_FORMAT)
        if _VOTE_FILE in self._disk.names():
            self._parse(_VOTE_FILE, vote)
        return vote

    def save_vote(self, term: int, voted_for: str) -> None:
        """Saves and syncs term and vote."""
        vote = log_pb2.LogVote(
            format=LOG_FORMAT, term=term, voted_for=voted_for
        )
        self._replace(_VOTE_FILE, vote, "save the vote")

    def load_snapshot(self) -> log_pb2.LogSnapshot:
        """Returns the newest snapshot, or an empty one at index 0."""
        snapshot = log_pb2.LogSnapshot(format=LOG_FORMAT)
        names = self._names_with_prefix(_SNAPSHOT_PREFIX)
        if names:
            self._parse(names[-1], snapshot)
        return snapshot

    def read_snapshot(self) -> bytes:
        """Returns the newest snapshot in serialized form, for a peer."""
        name = self._names_with_prefix(_SNAPSHOT_PREFIX)[-1]
        try:
            return _frames.read_single(name, self._disk.read(name))
        except OSError as error:
            raise self._fail("read the snapshot", error) from error

    def save_snapshot(self, snapshot: log_pb2.LogSnapshot) -> None:
        """Saves and syncs a snapshot, then removes older ones."""
        name = f"{_SNAPSHOT_PREFIX}{snapshot.index:020d}"
        self._replace(name, snapshot, "save a snapshot")
        self._remove(
            old
            for old in self._names_with_prefix(_SNAPSHOT_PREFIX)
            if old < name
        )

    def load_segments(self) -> tuple[Segment, ...]:
        """Reads all segments and truncates the torn tail of the last one.

        Raises:
            StorageError: A segment is corrupt or belongs to another folder.
        """
        names = self._names_with_prefix(_SEGMENT_PREFIX)
        segments = []
        for name in names:
            segment = self._load_segment(name, last=name == names[-1])
            if segment is not None:
                segments.append(segment)
                self._first_index_by_segment[name] = segment.first_index
        return tuple(segments)

    def write(self, batch: Batch) -> int:
        """Appends and syncs records as one frame; returns its size."""
        self._require_usable()
        if self._file is None or self._file_size > SEGMENT_BYTES:
            self.start_segment(batch.records[0].index, batch.prev_term)
        data = _frames.encode_frame(_encode_batch(batch), self._checksum_seed)
        assert self._file is not None
        try:
            self._file.write(data)
            self._file.sync()
        except OSError as error:
            raise self._fail("append to the log", error) from error
        self._file_size += len(data)
        return len(data)

    def start_segment(self, first_index: int, prev_term: int) -> None:
        """Starts a new segment for the records that follow."""
        self._require_usable()
        self._close_segment()
        name = self._next_segment_name()
        header = self._header(first_index, prev_term)
        data = _frames.encode_frame(header.SerializeToString())
        try:
            self._file = self._disk.append(name)
            self._file.write(data)
            self._file.sync()
            self._disk.sync_folder()
        except OSError as error:
            raise self._fail("start a log segment", error) from error
        self._checksum_seed = _frames.checksum_seed(self.identity, name)
        self._file_size = len(data)
        self._first_index_by_segment[name] = first_index

    def rewrite(
        self,
        vote: log_pb2.LogVote,
        snapshot: log_pb2.LogSnapshot,
        batch: Batch,
    ) -> None:
        """Moves all content to new files and syncs them.

        Needed after a failed sync: what reads back from the old files may be
        missing from the disk. A crash at any step leaves the folder readable.

        Args:
            vote: The saved term and vote.
            snapshot: The newest snapshot, or an empty one at index 0.
            batch: All records after the newest snapshot.
        """
        self.save_vote(vote.term, vote.voted_for)
        if self._names_with_prefix(_SNAPSHOT_PREFIX):
            self.save_snapshot(snapshot)
        self._close_segment()
        # Replaces the last segment: only its syncs can have failed, and a torn
        # tail is only allowed in the last one.
        *older, name = self._names_with_prefix(_SEGMENT_PREFIX) or [
            self._next_segment_name()
        ]
        header = self._header(snapshot.index + 1, batch.prev_term)
        data = _frames.encode_frame(header.SerializeToString())
        if batch.records:
            seed = _frames.checksum_seed(self.identity, name)
            data += _frames.encode_frame(_encode_batch(batch), seed)
        try:
            self._disk.replace(name, data)
        except OSError as error:
            raise self._fail("rewrite the log", error) from error
        # Oldest first, so that a crash leaves no gap between the segments.
        self._remove(older)
        self._first_index_by_segment = {name: header.first_index}

    def drop_segments(self, index: int) -> None:
        """Removes segments without any record after `index`."""
        names = sorted(self._first_index_by_segment)
        old = [
            name
            for name, following in itertools.pairwise(names)
            if self._first_index_by_segment[following] <= index + 1
        ]
        # Oldest first, so that a crash leaves no gap between the segments.
        self._remove(old)
        for name in old:
            del self._first_index_by_segment[name]

    def close(self) -> None:
        """Closes the files and unlocks the folder."""
        try:
            self._close_segment()
        except OSError as error:
            # A faulty disk can report its error here; the descriptor is freed.
            logging.warning("closing a log segment failed: %s", error)
        self._disk.close()

    def _open_identity(self, name: str) -> str:
        try:
            names = self._disk.names()
            for old in names:
                if old.endswith(".new"):
                    self._disk.remove(old)
        except OSError as error:
            raise self._fail("read the data folder", error) from error
        stored = log_pb2.LogIdentity()
        if _IDENTITY_FILE in names:
            self._parse(_IDENTITY_FILE, stored)
            if stored.name != name:
                raise _disk.StorageError(
                    f"the data folder belongs to instance {stored.name}, "
                    f"not to {name}"
                )
            return stored.identity
        if any(not old.endswith(".new") for old in names):
            raise _disk.StorageError(
                "the data folder holds files but no identity"
            )
        stored.format = LOG_FORMAT
        stored.name = name
        stored.identity = uuid.uuid4().hex
        self._replace(
            _IDENTITY_FILE, stored, "write the identity of the data folder"
        )
        return stored.identity

    def _load_segment(self, name: str, last: bool) -> Segment | None:
        self._sequence = int(name.removeprefix(_SEGMENT_PREFIX))
        data = self._read(name)
        header_data = _frames.read_first(data)
        if header_data is None:
            if not last:
                raise _disk.StorageError(f"file {name} is damaged at byte 0")
            self._require_no_frames(name, data)
            self._remove([name])
            return None
        header = log_pb2.LogHeader()
        self._decode(name, header_data, header)
        if header.identity != self.identity:
            raise _disk.StorageError(
                f"file {name} belongs to another data folder"
            )
        seed = _frames.checksum_seed(self.identity, name)
        start = _frames.frame_size(header_data)
        frames = _frames.read_frames(name, data, start, seed)
        if frames.size < len(data):
            self._truncate_tail(name, frames.size, last)
        records: list[log_pb2.LogRecord] = []
        for payload in frames.payloads:
            records.extend(log_pb2.LogBatch.FromString(payload).records)
        return Segment(
            name, header.first_index, header.prev_term, tuple(records)
        )

    def _require_no_frames(self, name: str, data: bytes) -> None:
        """Rejects a corrupt header that is followed by valid frames.

        Removing such a segment would lose its records.
        """
        seed = _frames.checksum_seed(self.identity, name)
        _frames.read_frames(name, data, 0, seed)

    def _truncate_tail(self, name: str, size: int, last: bool) -> None:
        if not last:
            raise _disk.StorageError(f"file {name} is damaged at byte {size}")
        try:
            file = self._disk.append(name)
            try:
                file.truncate(size)
                file.sync()
            finally:
                file.close()
        except OSError as error:
            raise self._fail("truncate a torn record", error) from error

    def _names_with_prefix(self, prefix: str) -> list[str]:
        return [
            name
            for name in self._disk.names()
            if name.startswith(prefix) and not name.endswith(".new")
        ]

    def _read(self, name: str) -> bytes:
        try:
            return self._disk.read(name)
        except OSError as error:
            raise self._fail(f"read {name}", error) from error

    def _parse(self, name: str, target: message.Message) -> None:
        payload = _frames.read_single(name, self._read(name))
        self._decode(name, payload, target)

    def _decode(self, name: str, data: bytes, target: message.Message) -> None:
        try:
            target.ParseFromString(data)
        except message.DecodeError as error:
            raise _disk.StorageError(f"file {name} is malformed") from error
        found = getattr(target, "format", 0)
        if found != LOG_FORMAT:
            raise _disk.StorageError(
                f"file {name} has format {found}, this version reads "
                f"{LOG_FORMAT}"
            )

    def _replace(
        self, name: str, content: message.Message, action: str
    ) -> None:
        self._require_usable()
        try:
            data = _frames.encode_frame(content.SerializeToString())
            self._disk.replace(name, data)
        except OSError as error:
            raise self._fail(action, error) from error

    def _remove(self, names: Iterable[str]) -> None:
        self._require_usable()
        try:
            for name in names:
                self._disk.remove(name)
            self._disk.sync_folder()
        except OSError as error:
            raise self._fail("remove old files", error) from error

    def _next_segment_name(self) -> str:
        self._sequence += 1
        return f"{_SEGMENT_PREFIX}{self._sequence:012d}"

    def _header(self, first_index: int, prev_term: int) -> log_pb2.LogHeader:
        return log_pb2.LogHeader(
            format=LOG_FORMAT,
            identity=self.identity,
            first_index=first_index,
            prev_term=prev_term,
        )

    def _close_segment(self) -> None:
        file, self._file = self._file, None
        if file is not None:
            file.close()

    def _require_usable(self) -> None:
        if self.failure:
            raise _disk.StorageError(self.failure)

    def _fail(self, action: str, error: OSError) -> _disk.StorageError:
        failure = _disk.storage_error(action, error)
        self.failure = str(failure)
        return failure


def _encode_batch(batch: Batch) -> bytes:
    return log_pb2.LogBatch(records=batch.records).SerializeToString()
