"""What a voter does with the records and snapshots of its leader."""

import threading

from absl import logging

from mulberry_state import _applier, _disk, _invariants, _shared
from mulberry_wire import log_pb2


class Follower:
    """Answers the leader."""

    def __init__(
        self, shared: _shared.Shared, applier: "_applier.Applier"
    ) -> None:
        self._shared = shared
        self._applier = applier
        self._part_lock = threading.Lock()
        # (leader term, snapshot index) and the parts that have arrived.
        self._part_key = (0, 0)
        self._parts = bytearray()

    def append(self, request: log_pb2.AppendRequest) -> log_pb2.AppendReply:
        """Syncs records of the leader and learns what is committed.

        Raises:
            StorageError: The records cannot be synced.
        """
        shared = self._shared
        with shared.disk_lock, shared.lock:
            if request.to_identity != shared.identity:
                return log_pb2.AppendReply(
                    term=shared.log.term, other_identity=True
                )
            if not self._accepts_leader(request):
                return log_pb2.AppendReply(term=shared.log.term)
            reply = self._match(request)
            if reply.accepted:
                self._take(request)
                # A slow sync must not look like a silent leader.
                self._hear()
            return reply

    def install(self, request: log_pb2.InstallRequest) -> log_pb2.InstallReply:
        """Takes a part of a snapshot; the last one replaces the state.

        Raises:
            StorageError: The snapshot cannot be synced.
        """
        shared = self._shared
        with shared.lock:
            accepted = request.to_identity == shared.identity
            accepted = accepted and self._accepts_leader(request)
            term = shared.log.term
        if accepted:
            with self._part_lock:
                accepted = self._add_part(request)
                complete = accepted and request.last
                data = bytes(self._parts) if complete else b""
                if complete:
                    self._parts = bytearray()
            if complete:
                self._replace(log_pb2.LogSnapshot.FromString(data))
        return log_pb2.InstallReply(term=term, accepted=accepted)

    def _accepts_leader(
        self, request: log_pb2.AppendRequest | log_pb2.InstallRequest
    ) -> bool:
        shared = self._shared
        if shared.role is _shared.Role.FAILED:
            raise _disk.StorageError(shared.failure)
        if request.term < shared.log.term:
            return False
        shared.adopt_term(request.term)
        _invariants.require(
            shared.role is not _shared.Role.LEADER,
            f"two leaders in term {request.term}: {shared.name} and "
            f"{request.leader}",
        )
        if shared.leader_name != request.leader:
            logging.info(
                "%s follows %s in term %d",
                shared.name,
                request.leader,
                request.term,
            )
        if (
            shared.role is not _shared.Role.FOLLOWER
            or shared.leader_name != request.leader
            or shared.leader_address != request.leader_address
        ):
            shared.follow(request.leader, request.leader_address)
        self._hear()
        return True

    def _hear(self) -> None:
        self._shared.heard_s = self._shared.clock.now()
        self._shared.delay_election()

    def _match(self, request: log_pb2.AppendRequest) -> log_pb2.AppendReply:
        """Compares the record before the new ones."""
        log = self._shared.log
        reply = log_pb2.AppendReply(term=log.term)
        term = log.term_at(request.prev_index)
        if term == request.prev_term:
            reply.accepted = True
            reply.index = request.prev_index + len(request.records)
        elif term is None and request.prev_index > log.last.index:
            reply.index = log.last.index
        elif term is None:
            # Compacted, so committed here.
            reply.index = self._shared.commit_index
        else:
            index = request.prev_index - 1
            while (
                index > self._shared.commit_index and log.term_at(index) == term
            ):
                index -= 1
            reply.index = index
        return reply

    def _take(self, request: log_pb2.AppendRequest) -> None:
        shared = self._shared
        log = shared.log
        new = list(request.records)
        while new and log.term_at(new[0].index) == new[0].term:
            new.pop(0)
        if new:
            _invariants.require(
                new[0].index > shared.commit_index,
                f"committed record {new[0].index} would be replaced",
            )
            shared.stage(new)
        log.flush()
        known = request.prev_index + len(request.records)
        commit_index = min(request.commit_index, known)
        if commit_index > shared.commit_index:
            shared.commit_index = commit_index
            shared.lock.notify_all()

    def _add_part(self, request: log_pb2.InstallRequest) -> bool:
        key = (request.term, request.snapshot_index)
        if request.offset == 0:
            self._part_key = key
            self._parts = bytearray()
        if key != self._part_key or request.offset != len(self._parts):
            return False
        self._parts += request.data
        return True

    def _replace(self, snapshot: log_pb2.LogSnapshot) -> None:
        shared = self._shared
        with shared.snapshot_lock:
            with shared.lock:
                if snapshot.index <= shared.commit_index:
                    return
            shared.log.save_snapshot(snapshot)
            with shared.machine_lock, shared.disk_lock, shared.lock:
                if shared.log.term_at(snapshot.index) == snapshot.term:
                    shared.log.flush()
                    shared.log.compact(snapshot)
                else:
                    shared.log.reset(snapshot)
                shared.reload_voters()
                if snapshot.index > shared.applied_index:
                    self._applier.restore(snapshot.state)
                    shared.applied_index = snapshot.index
                shared.commit_index = max(shared.commit_index, snapshot.index)
                shared.lock.notify_all()
        logging.info(
            "%s took a snapshot up to record %d", shared.name, snapshot.index
        )
