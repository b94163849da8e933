"""One voter: the parts of consensus put together."""

import dataclasses
import random
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
    _replication,
    _shared,
    _view,
)
from mulberry_wire import log_pb2

#: Records that wait for a quorum; more are refused at once.
_MAX_WAITING = 4_096
#: Bytes of one record; a message to a peer holds at least one.
MAX_RECORD_BYTES = 3 << 20
_MAX_TASKS = 64


@dataclasses.dataclass(frozen=True)
class NotLeader:
    """Sentinel: another voter leads, if one is known."""

    leader_address: str


class Replica(_peers.PeerHandler):
    """A voter with its log, its state machine and its tasks."""

    def __init__(
        self,
        name: str,
        address: str,
        first_voters: Mapping[str, str],
        disk: _disk.Disk,
        transport: _peers.PeerTransport,
        machine: _machine.StateMachine,
        clock: core.Clock,
        timing: rules.Timing,
        rng: random.Random | None = None,
    ) -> None:
        """Opens the log.

        Raises:
            StorageError: The data folder cannot be used.
        """
        log = _log.Log(disk, name)
        self.shared = _shared.Shared(
            name,
            address,
            log,
            transport,
            clock,
            timing,
            rng or random.Random(),
        )
        self._pool = core.TaskPool(f"voter-{name}", _MAX_TASKS)
        self.applier = _applier.Applier(self.shared, machine)
        self._elections = _elections.Elections(self.shared)
        self._follower = _followers.Follower(self.shared, self.applier)
        self._replication = _replication.Replication(self.shared, self._pool)
        self.group = _group.Group(self.shared, self._replication, first_voters)
        self._handlers: Mapping[str, Callable[[Any], message.Message]] = {
            _peers.VOTE.name: self._elections.vote,
            _peers.APPEND.name: self._follower.append,
            _peers.INSTALL.name: self._follower.install,
            _peers.TRANSFER.name: self._elections.take_over,
            _peers.HELLO.name: self.group.hello,
        }

    def start(self) -> None:
        """Starts the tasks."""
        self._pool.spawn("form group", self.group.run_forming)
        self._pool.spawn("elections", self._elections.run)
        self._pool.spawn("log writer", self._replication.run_writer)
        self._pool.spawn("peers", self._replication.run_starter)
        self._pool.spawn("apply", self.applier.run)

    def stop(self) -> None:
        """Ends all tasks and closes the log."""
        self._pool.stopping.set()
        with self.shared.lock:
            self.shared.end("stopped")
        self._pool.stop()
        self.shared.log.close()

    def handle(self, method: str, request: Any) -> Any:
        """Answers another voter.

        Raises:
            StorageError: This voter cannot take part any more.
        """
        try:
            return self._handlers[method](request)
        except (_disk.StorageError, _invariants.InvariantError) as error:
            self.shared.fail(str(error))
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
                f"a command of {len(data)} bytes; at most "
                f"{MAX_RECORD_BYTES} are taken",
            )
        outcome = self._append(log_pb2.LogRecord.COMMAND, data, timeout_s)
        if isinstance(outcome, (NotLeader, core.Refusal)):
            return outcome
        return outcome  # type: ignore[no-any-return]

    def mark_in_effect(self, revision: int, timeout_s: float) -> bool:
        """Records that a revision is in effect everywhere."""
        mark = log_pb2.LogInEffect(revision=revision)
        outcome = self._append(
            log_pb2.LogRecord.IN_EFFECT, mark.SerializeToString(), timeout_s
        )
        return outcome is None

    def confirm_leadership(self, timeout_s: float) -> bool:
        """Whether a quorum confirms, from now on, that this voter leads.

        On return of true the state machine holds all that was committed
        before the call. It waits for the next heartbeat: a message for each
        renewal of each instance would cost more than the heartbeats.
        """
        shared = self.shared
        with shared.lock:
            term = shared.log.term
            asked_s = shared.clock.now()
            if not shared.leads(term):
                return False
            index = max(shared.commit_index, shared.term_start_index)
            deadline_s = asked_s + timeout_s
            while (
                shared.confirmed_s() < asked_s or shared.applied_index < index
            ):
                left_s = deadline_s - shared.clock.now()
                if left_s <= 0 or not shared.leads(term):
                    return False
                shared.acked.wait(left_s)
            return shared.leads(term)

    def transfer_leadership(self, timeout_s: float) -> bool:
        """Hands over to the voter that has most of the log.

        Returns:
            Whether another voter leads now; true as well if this one did not.
        """
        shared = self.shared
        deadline_s = shared.clock.now() + timeout_s
        with shared.lock:
            term = shared.log.term
            heirs = [
                shared.progress_by_identity[voter.identity]
                for voter in shared.other_voters()
                if voter.identity in shared.progress_by_identity
            ]
        # The one heard last is most likely to be there.
        heirs.sort(key=lambda heir: heir.acked_sent_s, reverse=True)
        for heir in heirs:
            if self._hand_over(heir, term, deadline_s):
                break
        with shared.lock:
            return not shared.leads(term)

    def _hand_over(
        self, heir: _shared.Progress, term: int, deadline_s: float
    ) -> bool:
        """Lets a voter stand for election; returns whether this one lost."""
        shared = self.shared
        with shared.lock:
            shared.transferring = shared.leads(term)
            while heir.match_index < shared.log.last.index:
                if not self._wait_leading(term, deadline_s):
                    shared.transferring = False
                    return not shared.leads(term)
        reply = shared.transport.call(
            heir.voter.address,
            _peers.TRANSFER,
            log_pb2.TransferRequest(term=term, to_identity=heir.voter.identity),
            shared.timing.election_timeout_s,
        )
        accepted = not isinstance(reply, _peers.Unreachable) and reply.accepted
        until_s = shared.clock.now() + 2 * shared.timing.election_timeout_s
        with shared.lock:
            while accepted and self._wait_leading(
                term, min(deadline_s, until_s)
            ):
                pass
            shared.transferring = False
            return not shared.leads(term)

    def view(self) -> _view.View:
        """Returns the newest view applied here."""
        return self.applier.machine.view

    def subscribe(self, callback: Callable[[_view.View], None]) -> None:
        """Calls back with each new view applied here."""
        self.applier.subscribe(callback)

    def _wait_leading(self, term: int, deadline_s: float) -> bool:
        shared = self.shared
        left_s = deadline_s - shared.clock.now()
        if left_s <= 0 or not shared.leads(term):
            return False
        shared.lock.wait(left_s)
        return True

    def _append(self, kind: Any, data: bytes, timeout_s: float) -> Any:
        shared = self.shared
        with shared.lock:
            if shared.role is _shared.Role.FAILED:
                return core.Refusal(
                    core.ErrorKind.STORAGE_FAILED,
                    core.RunState.NOT_RUN,
                    shared.failure,
                )
            if shared.role is not _shared.Role.LEADER or shared.transferring:
                return NotLeader(
                    "" if shared.transferring else shared.leader_address
                )
            if shared.log.last.index - shared.commit_index >= _MAX_WAITING:
                return _no_quorum("too many proposals wait for a quorum")
            index = shared.append(kind, data)
            future: futures.Future[Any] = futures.Future()
            shared.pending_by_index[index] = future
        try:
            return future.result(timeout_s)
        except _shared.LeadershipLost:
            return NotLeader("")
        except TimeoutError:
            with shared.lock:
                shared.pending_by_index.pop(index, None)
            return _no_quorum("no quorum has synced the command in time")


def _no_quorum(reason: str) -> core.Refusal:
    return core.Refusal(
        core.ErrorKind.QUORUM_UNAVAILABLE, core.RunState.NOT_RUN, reason
    )
