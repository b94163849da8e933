"""The leader's side: syncing its own records and sending them to others."""

import threading

import mulberry_core as core
from mulberry_state import _disk, _peers, _shared
from mulberry_wire import log_pb2

#: Bytes of records in one message; gRPC refuses more than 4 MiB.
_MAX_MESSAGE_BYTES = 1 << 20
#: Bytes of a part of a snapshot.
_PART_BYTES = 1 << 20
#: A follower that must sync a full message on a slow disk needs this long.
_APPEND_TIMEOUT_S = 1.0
_INSTALL_TIMEOUT_S = 10.0


class Replication:
    """Syncs the leader's records and runs one task for each peer."""

    def __init__(self, shared: _shared.Shared, pool: core.TaskPool) -> None:
        self._shared = shared
        self._pool = pool

    def run_writer(self, stop: threading.Event) -> None:
        """Task: syncs staged records, all that have arrived together."""
        shared = self._shared
        while not stop.is_set():
            with shared.lock:
                last = shared.log.last.index
                if last <= shared.log.durable_index or shared.failure:
                    shared.lock.wait(1.0)
                    continue
            try:
                self._write()
            except _disk.StorageError as error:
                shared.fail(str(error))
                return

    def run_starter(self, stop: threading.Event) -> None:
        """Task: starts a task for each new peer of the leader."""
        shared = self._shared
        while not stop.is_set():
            with shared.lock:
                if shared.role is _shared.Role.LEADER:
                    for voter in shared.other_voters():
                        self.add_peer(voter)
                shared.lock.wait(1.0)

    def add_peer(self, voter: log_pb2.LogVoter) -> _shared.Progress:
        """Starts replication to a voter or learner unless it runs."""
        shared = self._shared
        with shared.lock:
            found = shared.progress_by_identity.get(voter.identity)
            if found:
                return found
            progress = _shared.Progress(voter, shared.log.last.index + 1)
            shared.progress_by_identity[voter.identity] = progress
            term = shared.log.term
        self._pool.spawn(
            f"replicate to {voter.name}",
            lambda stop: self._run_peer(progress, term, stop),
        )
        return progress

    def drop_peer(self, identity: str) -> None:
        """Ends replication to a removed voter or a given-up learner."""
        shared = self._shared
        with shared.lock:
            progress = shared.progress_by_identity.pop(identity, None)
            if progress:
                progress.dropped = True
            shared.lock.notify_all()

    def _write(self) -> None:
        shared = self._shared
        with shared.disk_lock:
            with shared.lock:
                batch = shared.log.staged()
            # Peers get the records while they are synced here.
            shared.log.write(batch)
            with shared.lock:
                shared.log.mark_durable(batch)
                if shared.role is _shared.Role.LEADER and shared.is_voter:
                    shared.advance_commit()

    def _run_peer(
        self,
        progress: _shared.Progress,
        term: int,
        stop: threading.Event,
    ) -> None:
        shared = self._shared
        while not stop.is_set():
            with shared.lock:
                self._wait_for_work(progress, stop)
                if progress.dropped or not shared.leads(term) or stop.is_set():
                    return
                request = self._append_request(progress)
                sent_s = shared.clock.now()
            if request is None:
                self._install(progress, term)
                continue
            reply = shared.transport.call(
                progress.voter.address,
                _peers.APPEND,
                request,
                _APPEND_TIMEOUT_S,
            )
            with shared.lock:
                if not shared.leads(term) or progress.dropped:
                    return
                self._note_append(progress, request, reply, sent_s)

    def _wait_for_work(
        self, progress: _shared.Progress, stop: threading.Event
    ) -> None:
        """Waits until there is something to send or a heartbeat is due."""
        shared = self._shared
        period_s = shared.timing.heartbeat_period_s
        due_s = max(progress.acked_sent_s + period_s, progress.retry_s)
        while not stop.is_set() and not progress.dropped:
            now_s = shared.clock.now()
            if now_s >= due_s:
                return
            if (
                now_s >= progress.retry_s
                and progress.next_index <= shared.log.last.index
            ):
                return
            shared.lock.wait(due_s - now_s)

    def _append_request(
        self, progress: _shared.Progress
    ) -> log_pb2.AppendRequest | None:
        """Returns the next message, `None` if a snapshot is needed."""
        shared = self._shared
        log = shared.log
        prev_index = progress.next_index - 1
        prev_term = log.term_at(prev_index)
        if prev_term is None:
            return None
        return log_pb2.AppendRequest(
            term=log.term,
            leader=shared.name,
            leader_address=shared.address,
            to_identity=progress.voter.identity,
            prev_index=prev_index,
            prev_term=prev_term,
            records=log.records_from(progress.next_index, _MAX_MESSAGE_BYTES),
            commit_index=shared.commit_index,
        )

    def _note_append(
        self,
        progress: _shared.Progress,
        request: log_pb2.AppendRequest,
        reply: log_pb2.AppendReply | _peers.Unreachable,
        sent_s: float,
    ) -> None:
        shared = self._shared
        period_s = shared.timing.heartbeat_period_s
        if isinstance(reply, _peers.Unreachable) or reply.other_identity:
            progress.retry_s = shared.clock.now() + period_s
            return
        if reply.term > shared.log.term:
            self._step_down(reply.term)
            return
        progress.acked_sent_s = max(progress.acked_sent_s, sent_s)
        shared.acked.notify_all()
        if reply.accepted:
            match = request.prev_index + len(request.records)
            if match > progress.match_index:
                progress.match_index = match
                shared.lock.notify_all()
            progress.next_index = progress.match_index + 1
            shared.advance_commit()
        else:
            below = min(progress.next_index - 1, reply.index + 1)
            hint = (
                below if reply.index < request.prev_index else reply.index + 1
            )
            progress.next_index = max(progress.match_index + 1, hint, 1)

    def _step_down(self, term: int) -> None:
        try:
            self._shared.adopt_term(term)
        except _disk.StorageError as error:
            self._shared.fail(str(error))

    def _install(self, progress: _shared.Progress, term: int) -> None:
        """Sends the newest snapshot in parts."""
        shared = self._shared
        try:
            with shared.snapshot_lock:
                index = shared.log.snapshot.index
                data = shared.log.read_snapshot()
        except _disk.StorageError as error:
            shared.fail(str(error))
            return
        for offset in range(0, len(data), _PART_BYTES):
            sent_s = shared.clock.now()
            part = data[offset : offset + _PART_BYTES]
            reply = shared.transport.call(
                progress.voter.address,
                _peers.INSTALL,
                log_pb2.InstallRequest(
                    term=term,
                    leader=shared.name,
                    leader_address=shared.address,
                    to_identity=progress.voter.identity,
                    snapshot_index=index,
                    offset=offset,
                    data=part,
                    last=offset + len(part) == len(data),
                ),
                _INSTALL_TIMEOUT_S,
            )
            with shared.lock:
                if not self._note_part(progress, term, reply, sent_s):
                    return
        with shared.lock:
            progress.match_index = max(progress.match_index, index)
            progress.next_index = progress.match_index + 1
            shared.lock.notify_all()

    def _note_part(
        self,
        progress: _shared.Progress,
        term: int,
        reply: log_pb2.InstallReply | _peers.Unreachable,
        sent_s: float,
    ) -> bool:
        """Returns whether to send the next part."""
        shared = self._shared
        if progress.dropped or not shared.leads(term):
            return False
        if isinstance(reply, _peers.Unreachable):
            period_s = shared.timing.heartbeat_period_s
            progress.retry_s = shared.clock.now() + period_s
            return False
        if reply.term > term:
            self._step_down(reply.term)
            return False
        if not reply.accepted:
            progress.retry_s = (
                shared.clock.now() + shared.timing.heartbeat_period_s
            )
            return False
        progress.acked_sent_s = max(progress.acked_sent_s, sent_s)
        return True
