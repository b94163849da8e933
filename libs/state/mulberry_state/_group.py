"""Group membership: bootstrap and single-voter changes."""

import threading
from collections.abc import Callable, Mapping

from absl import logging

from mulberry_state import _disk, _peers, _raft, _replication
from mulberry_wire import log_pb2

_HELLO_TIMEOUT_S = 1.0
_HELLO_PERIOD_S = 0.2


class ChangeRefused(Exception):  # noqa: N818 (a refusal, not a fault)
    """The voters were not changed, for the reason given."""


class Group:
    """Bootstraps the group at the first start and changes it later.

    The group is bootstrapped only when every initial voter has answered and
    none belongs to a group. A voter whose disk was wiped has a new identity:
    it learns from the others that the group exists without that identity, and
    waits until it is replaced.
    """

    def __init__(
        self,
        raft: _raft.RaftState,
        replication: _replication.Replication,
        initial_voters: Mapping[str, str],
    ) -> None:
        self._raft = raft
        self._replication = replication
        self._initial_voters = initial_voters
        self._change_lock = threading.Lock()
        self._warned = False

    def handle_hello(self, request: log_pb2.HelloRequest) -> log_pb2.HelloReply:
        """Returns the name and identity of this voter and its known group."""
        raft = self._raft
        with raft.lock:
            if raft.role is _raft.Role.FAILED:
                raise _disk.StorageError(raft.failure)
            return log_pb2.HelloReply(
                name=raft.name,
                identity=raft.identity,
                voters=raft.voters.message,
            )

    def bootstrap_with(self, initial_voters: Mapping[str, str]) -> None:
        """Sets the initial voters if they were not known at the start."""
        self._initial_voters = initial_voters

    def run_bootstrap(self, stop: threading.Event) -> None:
        """Task: bootstraps or joins a group; ends once this voter has one."""
        raft = self._raft
        while not stop.is_set():
            with raft.lock:
                if raft.voters.message.voters or raft.failure:
                    return
            try:
                self._try_bootstrap()
            except _disk.StorageError as error:
                raft.fail(str(error))
                return
            stop.wait(_HELLO_PERIOD_S)

    def change(
        self,
        add: Mapping[str, str],
        remove: str,
        who: str,
        timeout_s: float,
    ) -> str:
        """Adds a voter, removes one, or replaces one of the same name.

        Args:
            add: gRPC address of the new voter by its name, or empty.
            remove: Name of the voter to remove, or empty.
            who: Operator, for the audit trail.
            timeout_s: Time for the new voter to catch up.

        Returns:
            A sentence that describes the change.

        Raises:
            ChangeRefused: Nothing was changed, or only the removal.
            LeadershipLost: The outcome is unknown.
        """
        if not self._change_lock.acquire(blocking=False):
            raise ChangeRefused("another change of the voters is running")
        learner: log_pb2.LogVoter | None = None
        deadline_s = self._raft.clock.now() + timeout_s
        try:
            self._wait_for_committed_voters(deadline_s)
            self._require_removable(remove, bool(add))
            done = []
            for name, address in add.items():
                learner = self._identify(name, address, remove)
                # The learner catches up before it counts as a voter; otherwise
                # the quorum could depend on a voter that lags.
                self._catch_up(learner, deadline_s)
            if remove:
                self._remove_voter(remove, who, deadline_s)
                done.append(f"removed voter {remove}")
            if learner:
                self._add_voter(learner, who, deadline_s)
                done.append(f"added voter {learner.name} {learner.address}")
            return " and ".join(done)
        finally:
            if learner:
                self._remove_unless_voter(learner)
            self._change_lock.release()

    def _try_bootstrap(self) -> None:
        raft = self._raft
        replies: list[log_pb2.HelloReply] = []
        complete = True
        for name, address in self._initial_voters.items():
            if name == raft.name:
                continue
            reply = self._call_hello(address)
            if isinstance(reply, _peers.Unreachable) or reply.name != name:
                complete = False
            else:
                replies.append(reply)
        bootstrapped = [reply for reply in replies if reply.voters.voters]
        if bootstrapped:
            self._join(bootstrapped[0].voters)
        elif (
            complete
            and self._initial_voters
            and raft.name == min(self._initial_voters)
        ):
            self._bootstrap(replies)

    def _join(self, voters: log_pb2.LogVoters) -> None:
        if any(v.identity == self._raft.identity for v in voters.voters):
            self._save_initial_voters(voters)
        elif not self._warned:
            self._warned = True
            logging.warning(
                "%s: this data folder does not belong to a voter of the group; "
                "replace the voter to let it take part",
                self._raft.name,
            )

    def _bootstrap(self, replies: list[log_pb2.HelloReply]) -> None:
        raft = self._raft
        identity_by_name = {reply.name: reply.identity for reply in replies}
        identity_by_name[raft.name] = raft.identity
        voters = log_pb2.LogVoters(who="settings")
        for name, address in sorted(self._initial_voters.items()):
            voters.voters.add(
                name=name, address=address, identity=identity_by_name[name]
            )
        logging.info("%s bootstraps the group", raft.name)
        self._save_initial_voters(voters)

    def _save_initial_voters(self, voters: log_pb2.LogVoters) -> None:
        raft = self._raft
        with raft.snapshot_lock, raft.disk_lock, raft.lock:
            if raft.voters.message.voters:
                return
            raft.log.save_snapshot(log_pb2.LogSnapshot(voters=voters))
            raft.set_initial_voters(voters)

    def _call_hello(
        self, address: str
    ) -> log_pb2.HelloReply | _peers.Unreachable:
        return self._raft.transport.call(
            address,
            _peers.HELLO,
            log_pb2.HelloRequest(name=self._raft.name),
            _HELLO_TIMEOUT_S,
        )

    def _wait_for_committed_voters(self, deadline_s: float) -> None:
        """Waits until the current voters and a record of this term commit.

        If a leader changed the voters before it had committed a record of its
        own term, two disjoint quorums could form.
        """
        raft = self._raft
        with raft.lock:
            self._wait_for(
                lambda: (
                    raft.commit_index
                    >= max(raft.voters.index, raft.term_start_index)
                ),
                deadline_s,
                "the current set of voters is not committed yet",
            )

    def _require_removable(self, name: str, replaced: bool) -> None:
        voters = self._raft.voters.message.voters
        names = [voter.name for voter in voters]
        if name and name not in names:
            raise ChangeRefused(f"there is no voter {name}")
        if name and len(names) == 1 and not replaced:
            raise ChangeRefused("the last voter cannot be removed")
        if name == self._raft.name:
            raise ChangeRefused(
                f"{name} is the leader; stop it or transfer leadership first"
            )

    def _identify(
        self, name: str, address: str, replaced: str
    ) -> log_pb2.LogVoter:
        reply = self._call_hello(address)
        if isinstance(reply, _peers.Unreachable):
            raise ChangeRefused(f"{address} does not answer: {reply.reason}")
        if reply.name != name:
            raise ChangeRefused(f"{address} is {reply.name}, not {name}")
        for voter in self._raft.voters.message.voters:
            if voter.identity == reply.identity:
                raise ChangeRefused(f"{name} votes already")
            if voter.name == name and name != replaced:
                raise ChangeRefused(f"{name} is a voter; replace it instead")
        return log_pb2.LogVoter(
            name=name, address=address, identity=reply.identity
        )

    def _catch_up(self, learner: log_pb2.LogVoter, deadline_s: float) -> None:
        raft = self._raft
        progress = self._replication.add_peer(learner)
        with raft.lock:
            self._wait_for(
                lambda: progress.match_index >= raft.commit_index,
                deadline_s,
                f"{learner.name} has not caught up",
            )

    def _remove_voter(self, name: str, who: str, deadline_s: float) -> None:
        raft = self._raft
        with raft.lock:
            removed = [v for v in raft.voters.message.voters if v.name == name]
            remaining = [
                v for v in raft.voters.message.voters if v.name != name
            ]
        self._commit_voters(remaining, who, deadline_s)
        for voter in removed:
            self._replication.remove_peer(voter.identity)

    def _add_voter(
        self, learner: log_pb2.LogVoter, who: str, deadline_s: float
    ) -> None:
        with self._raft.lock:
            voters = [*self._raft.voters.message.voters, learner]
        self._commit_voters(voters, who, deadline_s)

    def _commit_voters(
        self, voters: list[log_pb2.LogVoter], who: str, deadline_s: float
    ) -> None:
        raft = self._raft
        message = log_pb2.LogVoters(voters=voters, who=who)
        with raft.lock:
            if raft.role is not _raft.Role.LEADER:
                raise _raft.LeadershipLost
            index = raft.append(
                log_pb2.LogRecord.VOTERS, message.SerializeToString()
            )
            self._wait_for(
                lambda: raft.applied_index >= index,
                deadline_s,
                "the change is not committed yet",
            )

    def _wait_for(
        self, condition: Callable[[], bool], deadline_s: float, reason: str
    ) -> None:
        raft = self._raft
        term = raft.log.term
        while True:
            if not raft.is_leader(term):
                raise _raft.LeadershipLost
            if condition():
                return
            left_s = deadline_s - raft.clock.now()
            if left_s <= 0:
                raise ChangeRefused(reason)
            raft.lock.wait(left_s)

    def _remove_unless_voter(self, learner: log_pb2.LogVoter) -> None:
        with self._raft.lock:
            if learner.identity not in self._raft.voters.by_identity:
                self._replication.remove_peer(learner.identity)
