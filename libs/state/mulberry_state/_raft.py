"""Raft state of one voter, shared by its tasks and guarded by a lock."""

import dataclasses
import enum
import random
import threading
from collections.abc import Iterable, Sequence
from concurrent import futures
from typing import Any

from absl import logging

import mulberry_core as core
import mulberry_rules as rules
from mulberry_state import _log, _peers
from mulberry_wire import log_pb2

#: Minimum and maximum fraction of the election timeout after which a voter
#: that has just started campaigns. The voters of a fleet start within a third
#: of a second of each other.
_FIRST_ELECTION_FRACTIONS = (0.1, 0.7)


class Role(enum.Enum):
    """The current role of a voter."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    #: The data folder cannot be used; the voter takes no part in consensus.
    FAILED = "failed"


class LeadershipLost(Exception):  # noqa: N818 (an expected event)
    """The voter lost leadership; the outcome of a proposal is unknown."""


@dataclasses.dataclass
class Progress:
    """Replication progress of another voter or learner, on the leader."""

    voter: log_pb2.LogVoter
    #: Index of the next record to send.
    next_index: int
    #: Newest record known to be synced by the peer.
    match_index: int = 0
    #: `Clock.now()` when the newest answered message was sent.
    last_acked_send_s: float = float("-inf")
    #: `Clock.now()` before which nothing is sent, after a failed call.
    retry_s: float = float("-inf")
    #: Set when replication to the peer has been stopped.
    stopped: bool = False


@dataclasses.dataclass(frozen=True)
class Voters:
    """The set of voters as of one log record."""

    index: int
    message: log_pb2.LogVoters

    @property
    def by_identity(self) -> dict[str, log_pb2.LogVoter]:
        """The voters by the identity of their data folder."""
        return {voter.identity: voter for voter in self.message.voters}


class RaftState:
    """Raft state of one voter.

    Locks are acquired in this order: `snapshot_lock`, `machine_lock`,
    `disk_lock`, `lock`. A leader holds `lock` only briefly; a follower also
    syncs under it.
    """

    def __init__(
        self,
        name: str,
        address: str,
        log: _log.Log,
        transport: _peers.PeerTransport,
        clock: core.Clock,
        timing: rules.Timing,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.address = address
        self.identity = log.identity
        self.log = log
        self.transport = transport
        self.clock = clock
        self.timing = timing
        self._rng = rng
        self.snapshot_lock = threading.Lock()
        self.machine_lock = threading.Lock()
        self.disk_lock = threading.Lock()
        mutex = threading.RLock()
        self.lock = threading.Condition(mutex)
        #: Notified when a peer answers. Separate from `lock`, on which each
        #: heartbeat would wake every task.
        self.ack_condition = threading.Condition(mutex)
        self.role = Role.FOLLOWER
        #: Reason for the role `FAILED`.
        self.failure = ""
        self.leader_name = ""
        self.leader_address = ""
        self.commit_index: int = log.snapshot.index
        self.applied_index: int = log.snapshot.index
        #: `Clock.now()` of the last message from the leader.
        self.last_leader_contact_s = float("-inf")
        self._started_s = clock.now()
        #: `Clock.now()` at which to campaign.
        self.election_due_s = 0.0
        #: Set when the leader has transferred leadership to this voter.
        self.transfer_requested = False
        #: During a leadership transfer, the leader accepts no proposals.
        self.transferring = False
        #: `Clock.now()` at the start of the leader's term.
        self.elected_s = float("inf")
        #: Index of the first record of the leader's term.
        self.term_start_index = 0
        self._log_base_s = 0.0
        self.progress_by_identity: dict[str, Progress] = {}
        self.pending_by_index: dict[int, futures.Future[Any]] = {}
        self._voters: list[Voters] = []
        self._load_voters()
        self._start_first_election_timer()

    @property
    def voters(self) -> Voters:
        """The newest set of voters in the log, committed or not."""
        return self._voters[-1]

    @property
    def quorum(self) -> int:
        """The number of voters that form a quorum."""
        return len(self.voters.message.voters) // 2 + 1

    @property
    def is_voter(self) -> bool:
        """Whether the identity of this data folder is a voter."""
        return self.identity in self.voters.by_identity

    def other_voters(self) -> list[log_pb2.LogVoter]:
        """Returns all voters except this one."""
        return [
            voter
            for voter in self.voters.message.voters
            if voter.identity != self.identity
        ]

    def is_leader(self, term: int) -> bool:
        """Whether this voter leads in `term`."""
        return self.role is Role.LEADER and self.log.term == term

    def _start_first_election_timer(self) -> None:
        """Sets the election timer after a start, shorter than later ones.

        After a power loss there is no leader. If there is one, the voters that
        are in contact with it refuse their votes.
        """
        timeout_s = self.timing.election_timeout_s
        fraction = self._rng.uniform(*_FIRST_ELECTION_FRACTIONS)
        self.election_due_s = self.clock.now() + timeout_s * fraction

    def reset_election_timer(self) -> None:
        """Sets the election timer to a random time.

        Between one and two timeouts, so that voters seldom campaign at the
        same time.
        """
        timeout_s = self.timing.election_timeout_s
        self.election_due_s = self.clock.now() + timeout_s * self._rng.uniform(
            1, 2
        )

    def voters_at(self, index: int) -> log_pb2.LogVoters:
        """Returns the voters as of a record."""
        for voters in reversed(self._voters):
            if voters.index <= index:
                return voters.message
        return log_pb2.LogVoters()

    def stage(self, records: Sequence[log_pb2.LogRecord]) -> None:
        """Appends records to the log in memory and updates the voters."""
        if not records:
            return
        first = records[0].index
        self.log.stage(records)
        before = self.voters
        while len(self._voters) > 1 and self._voters[-1].index >= first:
            self._voters.pop()
        self._add_voters(records)
        if self.voters is not before:
            logging.info(
                "%s: voters %s as of record %d, before %s",
                self.name,
                _names(self.voters),
                self.voters.index,
                _names(before),
            )

    def reload_voters(self) -> None:
        """Reloads the voters after a snapshot was installed."""
        self._voters = []
        self._load_voters()

    def set_initial_voters(self, voters: log_pb2.LogVoters) -> None:
        """Sets the voters of an empty log."""
        self._voters = [Voters(0, voters)]
        self.reset_election_timer()
        self.lock.notify_all()

    def become_follower(
        self, leader_name: str = "", leader_address: str = ""
    ) -> None:
        """Becomes or stays a follower; pending proposals fail."""
        if self.role is Role.FAILED:
            return
        if self.role is not Role.FOLLOWER:
            logging.info(
                "%s is a follower in term %d", self.name, self.log.term
            )
        self.role = Role.FOLLOWER
        self._clear_leadership()
        self.leader_name = leader_name
        self.leader_address = leader_address
        self.lock.notify_all()

    def adopt_term(self, term: int) -> None:
        """Becomes a follower in `term` without a vote, if `term` is newer."""
        if term > self.log.term:
            self.log.save_vote(term, "")
            self.become_follower()

    def become_leader(self) -> None:
        """Becomes the leader of the current term."""
        logging.info(
            "%s leads in term %d, voters %s",
            self.name,
            self.log.term,
            _names(self.voters),
        )
        self.role = Role.LEADER
        self.leader_name = self.name
        self.leader_address = self.address
        self.elected_s = self.clock.now()
        self._log_base_s = self.log.last_log_s
        self.progress_by_identity = {}
        self.term_start_index = self.append(log_pb2.LogRecord.NOOP, b"")
        if self.voters.index == 0:
            # The initial voters come from the bootstrap and not from a record.
            # This record adds them to the view and sends them to voters that
            # join later.
            first = self.voters.message.SerializeToString()
            self.append(log_pb2.LogRecord.VOTERS, first)
        self.lock.notify_all()

    def append(self, kind: "log_pb2.LogRecord.Kind", data: bytes) -> int:
        """Stages a new record as the leader and returns its index."""
        now_s = self.clock.now()
        record = log_pb2.LogRecord(
            index=self.log.last.index + 1,
            term=self.log.term,
            kind=kind,
            wall_s=self.clock.wall(),
            log_s=self._log_base_s + max(0.0, now_s - self.elected_s),
            data=data,
        )
        self.stage([record])
        self.lock.notify_all()
        return int(record.index)

    def fail(self, reason: str) -> None:
        """Leaves consensus; only a replica opened anew can join again."""
        with self.lock:
            if self.role is not Role.FAILED:
                logging.error("%s stops voting: %s", self.name, reason)
                self.deactivate(reason)

    def deactivate(self, reason: str) -> None:
        """Ends any leadership and takes the role `FAILED`."""
        with self.lock:
            self._clear_leadership()
            self.role = Role.FAILED
            self.failure = reason
            self.leader_name = self.leader_address = ""
            self.lock.notify_all()

    def advance_commit(self) -> None:
        """Commits the records that a quorum of the voters has synced.

        Only records of the current term are counted: a record of an earlier
        term may still be replaced although a quorum holds it.
        """
        synced = sorted(
            (
                self._match_index_of(voter)
                for voter in self.voters.message.voters
            ),
            reverse=True,
        )
        index = synced[self.quorum - 1]
        if index > self.commit_index and (
            self.log.term_at(index) == self.log.term
        ):
            self.commit_index = index
            self.lock.notify_all()

    def quorum_confirmed_s(self) -> float:
        """Returns the latest time at which a quorum confirmed leadership."""
        now_s = self.clock.now()
        times = sorted(
            (
                now_s
                if voter.identity == self.identity
                else self._last_acked_send_s(voter.identity)
                for voter in self.voters.message.voters
            ),
            reverse=True,
        )
        return times[self.quorum - 1]

    def silent_s(self, identity: str) -> float:
        """Returns for how long another voter has not answered this leader.

        Counted from the election for a voter that has not answered since.

        Returns:
            Seconds, or -1 if this voter does not lead.
        """
        with self.lock:
            if self.role is not Role.LEADER:
                return -1.0
            heard_s = max(self._last_acked_send_s(identity), self.elected_s)
            return self.clock.now() - heard_s

    def answering_voters(self, max_silence_s: float) -> int:
        """Returns how many voters have answered this leader recently.

        Unlike with `silent_s`, a voter that has not answered since the election
        does not count. This voter itself does.
        """
        with self.lock:
            oldest_s = self.clock.now() - max_silence_s
            return sum(
                voter.identity == self.identity
                or self._last_acked_send_s(voter.identity) >= oldest_s
                for voter in self.voters.message.voters
            )

    def unconfirmed_s(self) -> float:
        """Returns for how long no quorum has confirmed this leader, seconds."""
        with self.lock:
            return self.clock.now() - self.quorum_confirmed_s()

    def leaderless_s(self) -> float:
        """Returns for how long this voter has known no confirmed leader.

        Returns:
            Seconds; less than an election timeout while there is a leader.
        """
        with self.lock:
            if self.role is Role.LEADER:
                heard_s = max(self.quorum_confirmed_s(), self.elected_s)
            else:
                heard_s = max(self.last_leader_contact_s, self._started_s)
            return self.clock.now() - heard_s

    def _match_index_of(self, voter: log_pb2.LogVoter) -> int:
        if voter.identity == self.identity:
            return self.log.durable_index
        progress = self.progress_by_identity.get(voter.identity)
        return progress.match_index if progress else 0

    def _last_acked_send_s(self, identity: str) -> float:
        progress = self.progress_by_identity.get(identity)
        return progress.last_acked_send_s if progress else float("-inf")

    def _clear_leadership(self) -> None:
        self.elected_s = float("inf")
        self.transferring = False
        for progress in self.progress_by_identity.values():
            progress.stopped = True
        self.progress_by_identity = {}
        self.ack_condition.notify_all()
        pending = list(self.pending_by_index.values())
        self.pending_by_index = {}
        for future in pending:
            future.set_exception(LeadershipLost())

    def _load_voters(self) -> None:
        snapshot = self.log.snapshot
        self._voters.append(Voters(snapshot.index, snapshot.voters))
        start = max(self.log.first_index, snapshot.index + 1)
        self._add_voters(self.log.records_from(start, 1 << 62))

    def _add_voters(self, records: Iterable[log_pb2.LogRecord]) -> None:
        for record in records:
            if record.kind == log_pb2.LogRecord.VOTERS:
                voters = log_pb2.LogVoters.FromString(record.data)
                self._voters.append(Voters(record.index, voters))


def _names(voters: Voters) -> list[str]:
    """Returns the names of the voters, for the log."""
    return [voter.name for voter in voters.message.voters]
