"""A Raft replica: elections, replication, log and state machine."""

import dataclasses
import random
import threading
from collections.abc import Callable, Mapping
from concurrent import futures
from typing import Any

from google.protobuf import message

import mulberry_core as core
import mulberry_rules as rules
from mulberry_state import (
    _applier,
    _codec,
    _commands,
    _disk,
    _elections,
    _followers,
    _group,
    _invariants,
    _log,
    _machine,
    _peers,
    _raft,
    _replication,
    _view,
)
from mulberry_wire import log_pb2

#: Limit of records waiting for a quorum; further proposals are refused.
_MAX_UNCOMMITTED = 4_096
#: Maximum bytes of one record; a message to a peer holds at least one record.
MAX_RECORD_BYTES = 3 << 20
_MAX_TASKS = 64


@dataclasses.dataclass(frozen=True)
class NotLeader:
    """This voter does not lead; the address of the leader, if known."""

    leader_address: str


class Replica(_peers.PeerHandler):
    """A voter with its log, its state machine and its tasks."""

    def __init__(
        self,
        name: str,
        address: str,
        initial_voters: Mapping[str, str],
        disk: _disk.Disk,
        transport: _peers.PeerTransport,
        machine: _machine.StateMachine,
        clock: core.Clock,
        timing: rules.Timing,
        rng: random.Random | None = None,
        rewrite: bool = False,
    ) -> None:
        """Opens the log.

        Args:
            name: Name of the instance.
            address: Address at which other voters reach it.
            initial_voters: Address by name; used until the bootstrap.
            disk: The data folder.
            transport: Calls other voters.
            machine: Receives the committed commands.
            clock: For timeouts and timestamps.
            timing: Heartbeat and election durations.
            rng: Chooses the election timeouts.
            rewrite: Whether an operation on the folder has failed before in
                this process; its files are then written anew.

        Raises:
            StorageError: The data folder cannot be used.
        """
        log = _log.Log(disk, name)
        if rewrite:
            log.rewrite()
        self.raft = _raft.RaftState(
            name,
            address,
            log,
            transport,
            clock,
            timing,
            rng or random.Random(),
        )
        self._pool = core.TaskPool(f"voter-{name}", _MAX_TASKS)
        self.applier = _applier.Applier(self.raft, machine)
        self._elections = _elections.Elections(self.raft)
        self._follower = _followers.Follower(self.raft, self.applier)
        self._replication = _replication.Replication(self.raft, self._pool)
        self.group = _group.Group(self.raft, self._replication, initial_voters)
        self._handlers: Mapping[str, Callable[[Any], message.Message]] = {
            _peers.VOTE.name: self._elections.handle_vote,
            _peers.APPEND.name: self._follower.handle_append,
            _peers.INSTALL.name: self._follower.handle_install,
            _peers.TRANSFER.name: self._elections.handle_transfer,
            _peers.HELLO.name: self.group.handle_hello,
        }

    def start(self) -> None:
        """Starts the tasks."""
        self._pool.spawn("form group", self.group.run_bootstrap)
        self._pool.spawn("elections", self._elections.run)
        self._pool.spawn("log writer", self._replication.run_writer)
        self._pool.spawn("peers", self._replication.run_peer_starter)
        self._pool.spawn("apply", self.applier.run)

    def spawn(self, name: str, task: Callable[[threading.Event], None]) -> None:
        """Runs a task until the replica stops."""
        self._pool.spawn(name, task)

    def stop(self) -> None:
        """Stops all tasks and closes the log; later calls do nothing."""
        if self._pool.stopping.is_set():
            return
        self._pool.stopping.set()
        with self.raft.lock:
            if self.raft.role is not _raft.Role.FAILED:
                self.raft.deactivate("stopped")
        self._pool.stop()
        self.raft.log.close()

    def handle(self, method: str, request: Any) -> Any:
        """Handles a request from another voter.

        Raises:
            StorageError: This voter has failed and takes part no longer.
        """
        try:
            return self._handlers[method](request)
        except (_disk.StorageError, _invariants.InvariantError) as error:
            self.raft.fail(str(error))
            raise _disk.StorageError(str(error)) from error

    def propose(
        self, command: _commands.Command, timeout_s: float
    ) -> _commands.Result | NotLeader | core.Refusal:
        """Appends a command if this voter leads, and waits for its result."""
        data = _codec.encode_command(command)
        if len(data) > MAX_RECORD_BYTES:
            return core.Refusal(
                core.ErrorKind.REQUEST_TOO_LARGE,
                core.RunState.NOT_RUN,
                f"a command of {len(data)} bytes exceeds the limit of "
                f"{MAX_RECORD_BYTES} bytes",
            )
        outcome = self._append_and_wait(
            log_pb2.LogRecord.COMMAND, data, timeout_s
        )
        if isinstance(outcome, (NotLeader, core.Refusal)):
            return outcome
        return outcome  # type: ignore[no-any-return]

    def mark_in_effect(self, revision: int, timeout_s: float) -> bool:
        """Records that a revision is in effect everywhere."""
        mark = log_pb2.LogInEffect(revision=revision)
        outcome = self._append_and_wait(
            log_pb2.LogRecord.IN_EFFECT, mark.SerializeToString(), timeout_s
        )
        return outcome is None

    def confirm_leadership(self, timeout_s: float) -> bool:
        """Whether a quorum confirms after this call that this voter leads.

        If true, the state machine has applied everything committed before the
        call. The confirmation comes with the next heartbeat: a separate round
        for each renewal of each instance would cost more than the heartbeats.
        """
        raft = self.raft
        with raft.lock:
            term = raft.log.term
            called_s = raft.clock.now()
            if not raft.is_leader(term):
                return False
            index = max(raft.commit_index, raft.term_start_index)
            deadline_s = called_s + timeout_s
            while (
                raft.quorum_confirmed_s() < called_s
                or raft.applied_index < index
            ):
                left_s = deadline_s - raft.clock.now()
                if left_s <= 0 or not raft.is_leader(term):
                    return False
                raft.ack_condition.wait(left_s)
            return raft.is_leader(term)

    def transfer_leadership(self, timeout_s: float) -> bool:
        """Transfers leadership, preferably to the voter that answered last.

        Returns:
            Whether this voter no longer leads; also true if it never did.
        """
        raft = self.raft
        deadline_s = raft.clock.now() + timeout_s
        with raft.lock:
            term = raft.log.term
            targets = [
                raft.progress_by_identity[voter.identity]
                for voter in raft.other_voters()
                if voter.identity in raft.progress_by_identity
            ]
        # The voter that answered most recently is most likely reachable.
        targets.sort(key=lambda target: target.last_acked_send_s, reverse=True)
        for target in targets:
            if self._transfer_to(target, term, deadline_s):
                break
        with raft.lock:
            return not raft.is_leader(term)

    def _transfer_to(
        self, target: _raft.Progress, term: int, deadline_s: float
    ) -> bool:
        """Lets a voter campaign; returns whether this one no longer leads."""
        raft = self.raft
        with raft.lock:
            raft.transferring = raft.is_leader(term)
            while target.match_index < raft.log.last.index:
                if not self._wait_while_leader(term, deadline_s):
                    raft.transferring = False
                    return not raft.is_leader(term)
        reply = raft.transport.call(
            target.voter.address,
            _peers.TRANSFER,
            log_pb2.TransferRequest(
                term=term, to_identity=target.voter.identity
            ),
            raft.timing.election_timeout_s,
        )
        accepted = not isinstance(reply, _peers.Unreachable) and reply.accepted
        until_s = raft.clock.now() + 2 * raft.timing.election_timeout_s
        with raft.lock:
            while accepted and self._wait_while_leader(
                term, min(deadline_s, until_s)
            ):
                pass
            raft.transferring = False
            return not raft.is_leader(term)

    def view(self) -> _view.View:
        """Returns the newest view that this voter has applied."""
        return self.applier.machine.view

    def subscribe(self, callback: Callable[[_view.View], None]) -> None:
        """Registers a callback for each new view that this voter applies."""
        self.applier.subscribe(callback)

    def _wait_while_leader(self, term: int, deadline_s: float) -> bool:
        raft = self.raft
        left_s = deadline_s - raft.clock.now()
        if left_s <= 0 or not raft.is_leader(term):
            return False
        raft.lock.wait(left_s)
        return True

    def _append_and_wait(self, kind: Any, data: bytes, timeout_s: float) -> Any:
        raft = self.raft
        with raft.lock:
            if raft.role is _raft.Role.FAILED:
                return core.Refusal(
                    core.ErrorKind.STORAGE_FAILED,
                    core.RunState.NOT_RUN,
                    raft.failure,
                )
            if raft.role is not _raft.Role.LEADER or raft.transferring:
                return NotLeader(
                    "" if raft.transferring else raft.leader_address
                )
            if raft.log.last.index - raft.commit_index >= _MAX_UNCOMMITTED:
                return _no_quorum("too many proposals wait for a quorum")
            index = raft.append(kind, data)
            future: futures.Future[Any] = futures.Future()
            raft.pending_by_index[index] = future
        try:
            return future.result(timeout_s)
        except _raft.LeadershipLost:
            return NotLeader("")
        except TimeoutError:
            with raft.lock:
                raft.pending_by_index.pop(index, None)
            return _no_quorum("no quorum has synced the command in time")


def _no_quorum(reason: str) -> core.Refusal:
    return core.Refusal(
        core.ErrorKind.QUORUM_UNAVAILABLE, core.RunState.NOT_RUN, reason
    )
