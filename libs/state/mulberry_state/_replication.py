"""The leader side of replication: syncing records and sending them."""

import threading

import mulberry_core as core
from mulberry_state import _disk, _peers, _raft
from mulberry_wire import log_pb2

#: Bytes of records in one message; gRPC rejects messages over 4 MiB.
_MAX_MESSAGE_BYTES = 1 << 20
#: Bytes in one chunk of a snapshot.
_CHUNK_BYTES = 1 << 20
#: Long enough for a follower to sync a full message on a slow disk.
_APPEND_TIMEOUT_S = 1.0
_INSTALL_TIMEOUT_S = 10.0


class Replication:
    """Syncs the leader's records and runs one task per peer."""

    def __init__(self, raft: _raft.RaftState, pool: core.TaskPool) -> None:
        self._raft = raft
        self._pool = pool

    def run_writer(self, stop: threading.Event) -> None:
        """Task: syncs staged records, as many as have accumulated."""
        raft = self._raft
        while not stop.is_set():
            with raft.lock:
                last = raft.log.last.index
                if last <= raft.log.durable_index or raft.failure:
                    raft.lock.wait(1.0)
                    continue
            try:
                self._sync_staged_records()
            except _disk.StorageError as error:
                raft.fail(str(error))
                return

    def run_peer_starter(self, stop: threading.Event) -> None:
        """Task: starts replication to each new peer while leading."""
        raft = self._raft
        while not stop.is_set():
            with raft.lock:
                if raft.role is _raft.Role.LEADER:
                    for voter in raft.other_voters():
                        self.add_peer(voter)
                raft.lock.wait(1.0)

    def add_peer(self, voter: log_pb2.LogVoter) -> _raft.Progress:
        """Starts replication to a voter or learner unless it is running."""
        raft = self._raft
        with raft.lock:
            existing = raft.progress_by_identity.get(voter.identity)
            if existing:
                return existing
            progress = _raft.Progress(voter, raft.log.last.index + 1)
            raft.progress_by_identity[voter.identity] = progress
            term = raft.log.term
        self._pool.spawn(
            f"replicate to {voter.name}",
            lambda stop: self._run_peer(progress, term, stop),
        )
        return progress

    def remove_peer(self, identity: str) -> None:
        """Stops replication to a removed voter or an abandoned learner."""
        raft = self._raft
        with raft.lock:
            progress = raft.progress_by_identity.pop(identity, None)
            if progress:
                progress.stopped = True
            raft.lock.notify_all()

    def _sync_staged_records(self) -> None:
        raft = self._raft
        with raft.disk_lock:
            with raft.lock:
                batch = raft.log.staged()
            # Peers receive the records while they are being synced here.
            raft.log.write(batch)
            with raft.lock:
                raft.log.mark_durable(batch)
                if raft.role is _raft.Role.LEADER and raft.is_voter:
                    raft.advance_commit()

    def _run_peer(
        self,
        progress: _raft.Progress,
        term: int,
        stop: threading.Event,
    ) -> None:
        raft = self._raft
        while not stop.is_set():
            with raft.lock:
                self._wait_for_work(progress, stop)
                if (
                    progress.stopped
                    or not raft.is_leader(term)
                    or stop.is_set()
                ):
                    return
                request = self._build_append_request(progress)
                sent_s = raft.clock.now()
            if request is None:
                self._send_snapshot(progress, term)
                continue
            reply = raft.transport.call(
                progress.voter.address,
                _peers.APPEND,
                request,
                _APPEND_TIMEOUT_S,
            )
            with raft.lock:
                if not raft.is_leader(term) or progress.stopped:
                    return
                self._handle_append_reply(progress, request, reply, sent_s)

    def _wait_for_work(
        self, progress: _raft.Progress, stop: threading.Event
    ) -> None:
        """Waits until there are records to send or a heartbeat is due."""
        raft = self._raft
        period_s = raft.timing.heartbeat_period_s
        due_s = max(progress.last_acked_send_s + period_s, progress.retry_s)
        while not stop.is_set() and not progress.stopped:
            now_s = raft.clock.now()
            if now_s >= due_s:
                return
            if (
                now_s >= progress.retry_s
                and progress.next_index <= raft.log.last.index
            ):
                return
            raft.lock.wait(due_s - now_s)

    def _build_append_request(
        self, progress: _raft.Progress
    ) -> log_pb2.AppendRequest | None:
        """Returns the next request, `None` if the peer needs a snapshot."""
        raft = self._raft
        log = raft.log
        prev_index = progress.next_index - 1
        prev_term = log.term_at(prev_index)
        if prev_term is None:
            return None
        return log_pb2.AppendRequest(
            term=log.term,
            leader=raft.name,
            leader_address=raft.address,
            to_identity=progress.voter.identity,
            prev_index=prev_index,
            prev_term=prev_term,
            records=log.records_from(progress.next_index, _MAX_MESSAGE_BYTES),
            commit_index=raft.commit_index,
        )

    def _handle_append_reply(
        self,
        progress: _raft.Progress,
        request: log_pb2.AppendRequest,
        reply: log_pb2.AppendReply | _peers.Unreachable,
        sent_s: float,
    ) -> None:
        raft = self._raft
        period_s = raft.timing.heartbeat_period_s
        if isinstance(reply, _peers.Unreachable) or reply.other_identity:
            progress.retry_s = raft.clock.now() + period_s
            return
        if reply.term > raft.log.term:
            self._step_down(reply.term)
            return
        progress.last_acked_send_s = max(progress.last_acked_send_s, sent_s)
        raft.ack_condition.notify_all()
        if reply.accepted:
            match = request.prev_index + len(request.records)
            if match > progress.match_index:
                progress.match_index = match
                raft.lock.notify_all()
            progress.next_index = progress.match_index + 1
            raft.advance_commit()
        else:
            lower_index = min(progress.next_index - 1, reply.index + 1)
            hint = (
                lower_index
                if reply.index < request.prev_index
                else reply.index + 1
            )
            progress.next_index = max(progress.match_index + 1, hint, 1)

    def _step_down(self, term: int) -> None:
        try:
            self._raft.adopt_term(term)
        except _disk.StorageError as error:
            self._raft.fail(str(error))

    def _send_snapshot(self, progress: _raft.Progress, term: int) -> None:
        """Sends the newest snapshot in chunks."""
        raft = self._raft
        try:
            with raft.snapshot_lock:
                index = raft.log.snapshot.index
                data = raft.log.read_snapshot()
        except _disk.StorageError as error:
            raft.fail(str(error))
            return
        for offset in range(0, len(data), _CHUNK_BYTES):
            sent_s = raft.clock.now()
            chunk = data[offset : offset + _CHUNK_BYTES]
            reply = raft.transport.call(
                progress.voter.address,
                _peers.INSTALL,
                log_pb2.InstallRequest(
                    term=term,
                    leader=raft.name,
                    leader_address=raft.address,
                    to_identity=progress.voter.identity,
                    snapshot_index=index,
                    offset=offset,
                    data=chunk,
                    last=offset + len(chunk) == len(data),
                ),
                _INSTALL_TIMEOUT_S,
            )
            with raft.lock:
                if not self._handle_install_reply(
                    progress, term, reply, sent_s
                ):
                    return
        with raft.lock:
            progress.match_index = max(progress.match_index, index)
            progress.next_index = progress.match_index + 1
            raft.lock.notify_all()

    def _handle_install_reply(
        self,
        progress: _raft.Progress,
        term: int,
        reply: log_pb2.InstallReply | _peers.Unreachable,
        sent_s: float,
    ) -> bool:
        """Returns whether to send the next chunk."""
        raft = self._raft
        if progress.stopped or not raft.is_leader(term):
            return False
        if isinstance(reply, _peers.Unreachable):
            period_s = raft.timing.heartbeat_period_s
            progress.retry_s = raft.clock.now() + period_s
            return False
        if reply.term > term:
            self._step_down(reply.term)
            return False
        if not reply.accepted:
            progress.retry_s = raft.clock.now() + raft.timing.heartbeat_period_s
            return False
        progress.last_acked_send_s = max(progress.last_acked_send_s, sent_s)
        return True
