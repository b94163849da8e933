"""A voter as a daemon runs it: the replica and its gRPC services."""

import dataclasses
import functools
import pathlib
import threading
from collections.abc import Callable, Mapping

import grpc
from absl import logging

import mulberry_core as core
import mulberry_rules as rules
from mulberry_state import (
    _audit,
    _channels,
    _disk,
    _group,
    _grpc_peers,
    _machine,
    _parser,
    _raft,
    _renewal_reports,
    _replica,
    _reports,
    _rulebook,
    _rules_leases,
    _service,
    _voter_reconciler,
)
from mulberry_wire import log_pb2_grpc, state_pb2_grpc

#: gRPC server threads needed by the services of a voter.
SERVER_THREADS = _service.MAX_WAITING_CALLS + 16

#: Interval of lease checks while a change is not in effect everywhere.
_PENDING_PERIOD_S = 0.5
_IDLE_PERIOD_S = 5.0
_IN_EFFECT_TIMEOUT_S = 2.0
#: Interval between attempts to open a data folder that failed, seconds.
_REOPEN_PERIOD_S = 0.5
#: One task marks changes as in effect, the other reopens the data folder.
_MAX_TASKS = 2


@dataclasses.dataclass(frozen=True)
class _Reconciliation:
    """What `StateNode.reconcile_voters` was asked for."""

    get_candidates: Callable[[], Mapping[str, _voter_reconciler.VoterCandidate]]
    min_voters: int


class StateNode:
    """Log, consensus and state machine of one voter.

    A replica whose data folder fails takes part no longer. The folder is then
    opened anew, as at a start of the process, until its disk accepts data.

    The gRPC server that it is added to needs at least `SERVER_THREADS`
    threads: proposals and renewals block threads while they wait for a quorum,
    and requests of other voters must not queue behind them.
    """

    def __init__(
        self,
        name: str,
        address: str,
        initial_voters: Mapping[str, str],
        folder: pathlib.Path,
        clock: core.Clock,
        timing: rules.Timing | None = None,
        parser: _parser.RulesParser | None = None,
        open_channel: _channels.OpenChannel = _channels.open_insecure,
        disk: _disk.Disk | None = None,
    ) -> None:
        """Opens the data folder.

        Args:
            name: Name of the instance.
            address: gRPC address at which other instances reach it.
            initial_voters: gRPC address by name; used until the bootstrap.
            folder: The data folder.
            clock: For timeouts, leases and timestamps.
            timing: Heartbeat, election and lease durations.
            parser: Parser for rule files.
            open_channel: Opens a channel to another instance.
            disk: Used instead of `folder` if given.

        Raises:
            StorageError: The data folder cannot be used.
        """
        timing = timing or rules.Timing()
        self._name = name
        self._address = address
        self._initial_voters = initial_voters
        self._folder = folder
        self._clock = clock
        self._timing = timing
        self._parser = parser or _parser.FileRulesParser()
        self._disk = disk
        self._channels = _channels.Channels(open_channel)
        #: Guards the replacement of `replica` and `_reconciliation`.
        self._replica_lock = threading.Lock()
        self._reconciliation: _Reconciliation | core.Missing = (
            core.Missing.UNSET
        )
        #: Why the data folder could not be reopened the last time.
        self._reopen_failure = ""
        #: The current replica; another one after the data folder has failed.
        self.replica = self._open_replica()
        self.rules_leases = _rules_leases.RulesLeaseTable(
            clock, timing.lease_term_s
        )
        #: Reports that instances sent to this voter with their renewals.
        self.reports = _renewal_reports.RenewalReports(clock)
        self._pool = core.TaskPool(f"state-{name}", _MAX_TASKS)
        #: Set when a lease was renewed, to check what is in effect.
        self.lease_renewed_event = threading.Event()

    def add_to(self, server: grpc.Server) -> None:
        """Adds the services of the voter to a server not yet started."""
        state_pb2_grpc.add_StateServicer_to_server(  # type: ignore[no-untyped-call]
            _service.StateServicer(self, self._channels, self._clock), server
        )
        log_pb2_grpc.add_LogPeerServicer_to_server(  # type: ignore[no-untyped-call]
            _grpc_peers.LogPeerServicer(lambda: self.replica), server
        )

    def start(self) -> None:
        """Joins consensus; the server should already be started."""
        self.replica.start()
        self._pool.spawn("in effect", self._run_in_effect)
        self._pool.spawn("reopen", self._run_reopening)

    def bootstrap_with(self, initial_voters: Mapping[str, str]) -> None:
        """Sets the initial voters if they were not known at the start."""
        self._initial_voters = initial_voters
        self.replica.group.bootstrap_with(initial_voters)

    def reconcile_voters(
        self,
        get_candidates: Callable[
            [], Mapping[str, _voter_reconciler.VoterCandidate]
        ],
        min_voters: int,
    ) -> None:
        """Starts to add, replace and remove voters while this voter leads.

        Args:
            get_candidates: Returns the live instances with a data folder.
            min_voters: See `next_change`.
        """
        with self._replica_lock:
            self._reconciliation = _Reconciliation(get_candidates, min_voters)
            self._start_reconciliation()

    @property
    def candidate(self) -> _voter_reconciler.VoterCandidate:
        """This instance as a candidate for becoming a voter."""
        raft = self.replica.raft
        return _voter_reconciler.VoterCandidate(
            raft.name, raft.address, raft.identity
        )

    @property
    def is_leader(self) -> bool:
        """Whether this voter has the role of leader, confirmed or not."""
        return self.replica.raft.role is _raft.Role.LEADER

    def stop(self, transfer_timeout_s: float = 2.0) -> None:
        """Transfers leadership, stops all tasks and closes the folder.

        The gRPC server must still be running: the next leader needs the vote
        of this voter.
        """
        if not self.replica.transfer_leadership(transfer_timeout_s):
            logging.warning("leadership was not transferred")
        self._pool.stopping.set()
        self.lease_renewed_event.set()
        self._pool.stop()
        # Aborts calls that wait for other voters.
        self._channels.close()
        self.replica.stop()

    def _open_replica(self, rewrite: bool = False) -> _replica.Replica:
        """Opens the data folder; see `Replica`.

        Raises:
            StorageError: The data folder cannot be used.
        """
        disk = self._disk or _disk.OsDisk(self._folder)
        try:
            if rewrite:
                # Reading the whole folder at each attempt would keep a core
                # busy for as long as the disk is faulty.
                _disk.require_writable(disk)
            return _replica.Replica(
                self._name,
                self._address,
                self._initial_voters,
                disk,
                _grpc_peers.GrpcPeerTransport(self._channels),
                _machine.StateMachine(self._parser),
                self._clock,
                self._timing,
                rewrite=rewrite,
            )
        except Exception:
            disk.close()
            raise

    def _start_reconciliation(self) -> None:
        """Starts the reconciler of the current replica, if it was asked for."""
        if isinstance(self._reconciliation, core.Missing):
            return
        reconciler = _voter_reconciler.VoterReconciler(
            self.replica.raft,
            self.replica.group,
            functools.partial(_voter_statuses, self.replica.raft),
            self._reconciliation.get_candidates,
            self._reconciliation.min_voters,
        )
        self.replica.spawn("voters", reconciler.run)

    def _run_reopening(self, stop: threading.Event) -> None:
        """Task: replaces the replica after its data folder has failed."""
        is_sound = True
        while not stop.wait(_REOPEN_PERIOD_S):
            if self.replica.raft.log.failure:
                is_sound = core.run_step(
                    "reopening the data folder", self._reopen, is_sound
                )

    def _reopen(self) -> None:
        self.replica.stop()
        try:
            replica = self._open_replica(rewrite=True)
        except _disk.StorageError as error:
            reason = str(error)
            if reason != self._reopen_failure:
                logging.warning(
                    "%s cannot reopen its data folder: %s", self._name, reason
                )
            self._reopen_failure = reason
            return
        self._reopen_failure = ""
        logging.warning(
            "%s has reopened its data folder and votes again", self._name
        )
        with self._replica_lock:
            self.replica = replica
            replica.start()
            self._start_reconciliation()

    def ledger(self) -> _reports.LedgerReport:
        """Returns the sums of the bills, verified against all records."""
        replica = self.replica
        with replica.raft.machine_lock:
            machine = replica.applier.machine
            return _reports.LedgerReport(
                index=machine.index,
                sums=machine.ledger.sums(),
                differences=machine.ledger.check(),
            )

    def audit(
        self, before_index: int = 0, max_records: int = 0
    ) -> tuple[_audit.AuditRecord, ...]:
        """Returns audit records, newest first.

        Args:
            before_index: Only records below this log index; 0 for all.
            max_records: Maximum number of records; 0 for all.
        """
        replica = self.replica
        with replica.raft.machine_lock:
            records = replica.applier.machine.audit.records()
        newest = [
            record
            for record in reversed(records)
            if not before_index or record.index < before_index
        ]
        return tuple(newest[: max_records or None])

    def history(self) -> tuple[_rulebook.RulesText, ...]:
        """Returns the accepted rule files that are kept, newest first."""
        replica = self.replica
        with replica.raft.machine_lock:
            texts = replica.applier.machine.rulebook.texts()
        return texts[::-1]

    def status(self) -> _reports.NodeStatus:
        """Returns the status of this voter."""
        replica = self.replica
        with replica.raft.machine_lock:
            machine = replica.applier.machine
            view = machine.view
            in_effect = machine.in_effect
            texts = machine.rulebook.texts()
            rules_in_effect_s = (
                machine.audit.in_effect_since(texts[-1].revision)
                if texts
                else 0.0
            )
        raft = replica.raft
        with raft.lock:
            return _reports.NodeStatus(
                name=raft.name,
                identity=raft.identity,
                role=raft.role.value,
                term=raft.log.term,
                leader_name=raft.leader_name,
                leader_address=raft.leader_address,
                last_index=raft.log.last.index,
                commit_index=raft.commit_index,
                applied_index=raft.applied_index,
                snapshot_index=raft.log.snapshot.index,
                voters=_voter_statuses(raft),
                in_effect_revision=in_effect[0],
                in_effect_s=in_effect[1],
                rules_in_effect_s=rules_in_effect_s,
                revision=view.revision,
                rules_number=view.rules_number,
                failure=raft.failure,
            )

    def group_status(self) -> _reports.GroupStatus:
        """Returns the fault tolerance of the group."""
        raft = self.replica.raft
        with raft.lock:
            answering: int | core.Missing = core.Missing.UNSET
            tolerated_losses: int | core.Missing = core.Missing.UNSET
            if raft.role is _raft.Role.LEADER:
                answering = raft.answering_voters(
                    _voter_reconciler.LOST_AFTER_S
                )
                tolerated_losses = answering - raft.quorum
            return _reports.GroupStatus(
                voters=len(raft.voters.message.voters),
                leaderless_s=raft.leaderless_s(),
                answering=answering,
                tolerated_losses=tolerated_losses,
            )

    def in_effect_everywhere(self, revision: int) -> bool:
        """Whether every instance with a lease has a revision of the view.

        True once each instance has renewed its lease with that or a later
        revision, or its lease has expired.
        """
        replica = self.replica
        machine = replica.applier.machine
        if machine.in_effect[0] >= revision:
            return True
        raft = replica.raft
        with raft.lock:
            elected_s = raft.elected_s
            is_leader = raft.role is _raft.Role.LEADER
        return (
            is_leader
            and machine.view.revision >= revision
            and self.rules_leases.all_have_revision(revision, elected_s)
        )

    def in_effect_since(self, revision: int) -> float | core.Missing:
        """Returns the Unix time at which a revision came into effect."""
        replica = self.replica
        with replica.raft.machine_lock:
            machine = replica.applier.machine
            since_s = machine.audit.in_effect_since(revision)
        return since_s or core.Missing.UNSET

    def change_voters(
        self,
        add: Mapping[str, str],
        remove: str,
        who: str,
        timeout_s: float,
    ) -> str:
        """Changes the voters; only the leader can do so.

        Args:
            add: gRPC address of the new voter by its name, or empty.
            remove: Name of the voter to remove, or empty.
            who: Operator, for the audit trail.
            timeout_s: Time for the new voter to catch up.

        Returns:
            A sentence that describes the change.

        Raises:
            ChangeRefused: The change was not made, for the reason given.
        """
        try:
            return self.replica.group.change(add, remove, who, timeout_s)
        except _raft.LeadershipLost as error:
            raise _group.ChangeRefused("this voter does not lead") from error

    def _run_in_effect(self, stop: threading.Event) -> None:
        """Task: records in the log when changes come into effect.

        The record makes the time available to the audit trail and to later
        leaders.
        """
        while not stop.is_set():
            machine = self.replica.applier.machine
            last_revision = machine.audit.last_revision
            pending = machine.in_effect[0] < last_revision
            self.lease_renewed_event.wait(
                _PENDING_PERIOD_S if pending else _IDLE_PERIOD_S
            )
            self.lease_renewed_event.clear()
            machine = self.replica.applier.machine
            last_revision = machine.audit.last_revision
            if machine.in_effect[
                0
            ] < last_revision and self.in_effect_everywhere(last_revision):
                revision = machine.view.revision
                if not self.in_effect_everywhere(revision):
                    revision = last_revision
                self.replica.mark_in_effect(revision, _IN_EFFECT_TIMEOUT_S)


def _voter_statuses(
    raft: _raft.RaftState,
) -> tuple[_reports.VoterStatus, ...]:
    """Returns the voters as `raft` sees them."""
    rows = []
    with raft.lock:
        is_leader = raft.role is _raft.Role.LEADER
        for voter in raft.voters.message.voters:
            match_index, silent_s = 0, raft.silent_s(voter.identity)
            progress = raft.progress_by_identity.get(voter.identity)
            if is_leader and voter.identity == raft.identity:
                match_index, silent_s = raft.log.durable_index, 0.0
            elif progress:
                match_index = progress.match_index
            rows.append(
                _reports.VoterStatus(
                    name=voter.name,
                    address=voter.address,
                    identity=voter.identity,
                    match_index=match_index,
                    silent_s=silent_s,
                )
            )
    return tuple(rows)
