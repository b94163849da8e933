"""The follower side of replication: appends and snapshot installs."""

import threading

from absl import logging

from mulberry_state import _applier, _disk, _invariants, _raft
from mulberry_wire import log_pb2


class Follower:
    """Handles requests from the leader."""

    def __init__(
        self, raft: _raft.RaftState, applier: "_applier.Applier"
    ) -> None:
        self._raft = raft
        self._applier = applier
        self._chunk_lock = threading.Lock()
        # (leader term, snapshot index) of the snapshot in `_received`.
        self._chunk_key = (0, 0)
        self._received = bytearray()

    def handle_append(
        self, request: log_pb2.AppendRequest
    ) -> log_pb2.AppendReply:
        """Syncs records from the leader and advances the commit index.

        Raises:
            StorageError: The records cannot be synced.
        """
        raft = self._raft
        with raft.disk_lock, raft.lock:
            if request.to_identity != raft.identity:
                return log_pb2.AppendReply(
                    term=raft.log.term, other_identity=True
                )
            if not self._accept_leader(request):
                return log_pb2.AppendReply(term=raft.log.term)
            reply = self._check_prev_record(request)
            if reply.accepted:
                self._append_records(request)
                # A slow sync must not count as silence of the leader.
                self._note_leader_contact()
            return reply

    def handle_install(
        self, request: log_pb2.InstallRequest
    ) -> log_pb2.InstallReply:
        """Receives a snapshot chunk; the last one replaces the state.

        Raises:
            StorageError: The snapshot cannot be synced.
        """
        raft = self._raft
        with raft.lock:
            accepted = request.to_identity == raft.identity
            accepted = accepted and self._accept_leader(request)
            term = raft.log.term
        if accepted:
            with self._chunk_lock:
                accepted = self._add_chunk(request)
                complete = accepted and request.last
                data = bytes(self._received) if complete else b""
                if complete:
                    self._received = bytearray()
            if complete:
                self._install_snapshot(log_pb2.LogSnapshot.FromString(data))
        return log_pb2.InstallReply(term=term, accepted=accepted)

    def _accept_leader(
        self, request: log_pb2.AppendRequest | log_pb2.InstallRequest
    ) -> bool:
        raft = self._raft
        if raft.role is _raft.Role.FAILED:
            raise _disk.StorageError(raft.failure)
        if request.term < raft.log.term:
            return False
        raft.adopt_term(request.term)
        _invariants.require(
            raft.role is not _raft.Role.LEADER,
            f"two leaders in term {request.term}: {raft.name} and "
            f"{request.leader}",
        )
        if raft.leader_name != request.leader:
            logging.info(
                "%s follows %s in term %d",
                raft.name,
                request.leader,
                request.term,
            )
        if (
            raft.role is not _raft.Role.FOLLOWER
            or raft.leader_name != request.leader
            or raft.leader_address != request.leader_address
        ):
            raft.become_follower(request.leader, request.leader_address)
        self._note_leader_contact()
        return True

    def _note_leader_contact(self) -> None:
        self._raft.last_leader_contact_s = self._raft.clock.now()
        self._raft.reset_election_timer()

    def _check_prev_record(
        self, request: log_pb2.AppendRequest
    ) -> log_pb2.AppendReply:
        """Checks whether the log contains the record before the new ones.

        Otherwise the reply gives the index from which the leader should retry.
        """
        log = self._raft.log
        reply = log_pb2.AppendReply(term=log.term)
        term = log.term_at(request.prev_index)
        if term == request.prev_term:
            reply.accepted = True
            reply.index = request.prev_index + len(request.records)
        elif term is None and request.prev_index > log.last.index:
            reply.index = log.last.index
        elif term is None:
            # The record was compacted, so it is committed.
            reply.index = self._raft.commit_index
        else:
            index = request.prev_index - 1
            while (
                index > self._raft.commit_index and log.term_at(index) == term
            ):
                index -= 1
            reply.index = index
        return reply

    def _append_records(self, request: log_pb2.AppendRequest) -> None:
        raft = self._raft
        log = raft.log
        new = list(request.records)
        while new and log.term_at(new[0].index) == new[0].term:
            new.pop(0)
        if new:
            _invariants.require(
                new[0].index > raft.commit_index,
                f"committed record {new[0].index} would be replaced",
            )
            raft.stage(new)
        log.flush()
        last_matched = request.prev_index + len(request.records)
        commit_index = min(request.commit_index, last_matched)
        if commit_index > raft.commit_index:
            raft.commit_index = commit_index
            raft.lock.notify_all()

    def _add_chunk(self, request: log_pb2.InstallRequest) -> bool:
        key = (request.term, request.snapshot_index)
        if request.offset == 0:
            self._chunk_key = key
            self._received = bytearray()
        if key != self._chunk_key or request.offset != len(self._received):
            return False
        self._received += request.data
        return True

    def _install_snapshot(self, snapshot: log_pb2.LogSnapshot) -> None:
        raft = self._raft
        with raft.snapshot_lock:
            with raft.lock:
                if snapshot.index <= raft.commit_index:
                    return
            raft.log.save_snapshot(snapshot)
            with raft.machine_lock, raft.disk_lock, raft.lock:
                if raft.log.term_at(snapshot.index) == snapshot.term:
                    raft.log.flush()
                    raft.log.compact(snapshot)
                else:
                    raft.log.reset(snapshot)
                raft.reload_voters()
                if snapshot.index > raft.applied_index:
                    self._applier.restore(snapshot.state)
                    raft.applied_index = snapshot.index
                raft.commit_index = max(raft.commit_index, snapshot.index)
                raft.lock.notify_all()
        logging.info(
            "%s installed a snapshot up to record %d", raft.name, snapshot.index
        )
