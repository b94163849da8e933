"""Applies committed records to the state machine and takes snapshots."""

import threading
from collections.abc import Callable, Sequence

from absl import logging

from mulberry_state import (
    _codec,
    _disk,
    _machine,
    _raft,
    _view,
)
from mulberry_wire import log_pb2

#: A snapshot is taken when the log has grown by this many bytes since the last
#: one, or by the size of the last one if that is larger.
SNAPSHOT_BYTES = 4 << 20

#: Records applied in one batch; readers of the state run between batches.
_MAX_BATCH_RECORDS = 256


def apply_record(
    machine: _machine.StateMachine, record: log_pb2.LogRecord
) -> object:
    """Applies one committed record and returns the result of a command."""
    stamp = _machine.Stamp(record.index, record.wall_s, record.log_s)
    if record.kind == log_pb2.LogRecord.COMMAND:
        command = _codec.decode_command(record.data)
        return machine.apply(command, stamp)
    if record.kind == log_pb2.LogRecord.VOTERS:
        voters = log_pb2.LogVoters.FromString(record.data)
        machine.set_voters(
            {voter.name: voter.address for voter in voters.voters},
            voters.who,
            stamp,
        )
    elif record.kind == log_pb2.LogRecord.IN_EFFECT:
        mark = log_pb2.LogInEffect.FromString(record.data)
        machine.mark_in_effect(mark.revision, stamp)
    else:
        machine.apply_noop(stamp)
    return None


class Applier:
    """Applies records to the state machine of a voter and owns it."""

    def __init__(
        self, raft: _raft.RaftState, machine: _machine.StateMachine
    ) -> None:
        self._raft = raft
        #: Guarded by `Shared.machine_lock`.
        self.machine = machine
        self._callbacks: list[Callable[[_view.View], None]] = []
        self._snapshot_size = 0
        #: See `SNAPSHOT_BYTES`.
        self.snapshot_bytes = SNAPSHOT_BYTES
        state = raft.log.take_state()
        if state:
            self.restore(state)

    def subscribe(self, callback: Callable[[_view.View], None]) -> None:
        """Registers a callback for new views; it runs on the apply task."""
        self._callbacks.append(callback)

    def restore(self, state: bytes) -> None:
        """Replaces the state; the caller holds `machine_lock`.

        Raises:
            StorageError: The snapshot cannot be read. Another version may have
                taken it.
        """
        if not state:
            return
        try:
            self.machine.restore(state)
        except Exception as error:
            raise _disk.StorageError(
                f"the snapshot cannot be read: {type(error).__name__}: {error}"
            ) from error
        self._snapshot_size = len(state)

    def run(self, stop: threading.Event) -> None:
        """Task: applies committed records."""
        raft = self._raft
        while not stop.is_set():
            with raft.lock:
                if raft.commit_index <= raft.applied_index:
                    raft.lock.wait(1.0)
                    continue
            try:
                self._apply_next()
                self._maybe_snapshot()
            except Exception as error:
                # Also a record that only another version can apply. A voter
                # that no longer applied records, but led, would keep its
                # followers from applying theirs.
                logging.exception(
                    "%s cannot apply committed records", raft.name
                )
                raft.fail(f"{type(error).__name__}: {error}")
                return

    def _apply_next(self) -> None:
        raft = self._raft
        with raft.machine_lock:
            old_revision = self.machine.view.revision
            with raft.lock:
                first = raft.applied_index + 1
                last = min(
                    raft.commit_index, raft.applied_index + _MAX_BATCH_RECORDS
                )
                records = [
                    raft.log.record(index) for index in range(first, last + 1)
                ]
            results = [apply_record(self.machine, record) for record in records]
            view = self.machine.view
            with raft.lock:
                raft.applied_index = last
                self._complete_proposals(records, results)
                raft.lock.notify_all()
                raft.ack_condition.notify_all()
        if view.revision != old_revision:
            _view.notify(self._callbacks, view)

    def _complete_proposals(
        self, records: Sequence[log_pb2.LogRecord], results: Sequence[object]
    ) -> None:
        pending = self._raft.pending_by_index
        for record, result in zip(records, results, strict=True):
            future = pending.pop(record.index, None)
            if future is not None:
                future.set_result(result)

    def _maybe_snapshot(self) -> None:
        log = self._raft.log
        if log.bytes_since_snapshot > max(
            self.snapshot_bytes, self._snapshot_size
        ):
            self.take_snapshot()

    def take_snapshot(self) -> None:
        """Saves a snapshot of the state and compacts the log.

        Raises:
            StorageError: The snapshot cannot be synced.
        """
        raft = self._raft
        with raft.machine_lock:
            state = self.machine.snapshot()
            with raft.lock:
                index = raft.applied_index
                term = raft.log.term_at(index)
                snapshot = log_pb2.LogSnapshot(
                    index=index,
                    term=term or 0,
                    log_s=self.machine.log_s,
                    voters=raft.voters_at(index),
                    state=state,
                )
        with raft.snapshot_lock:
            with raft.lock:
                if term is None or index <= raft.log.snapshot.index:
                    return
            raft.log.save_snapshot(snapshot)
            self._snapshot_size = len(state)
            with raft.disk_lock, raft.lock:
                raft.log.compact(snapshot)
