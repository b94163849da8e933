"""Leader election: campaigning and voting."""

import threading
from concurrent import futures

from absl import logging

from mulberry_state import _disk, _leaderless, _peers, _raft
from mulberry_wire import log_pb2

#: A leader that has not reached a quorum for this many election timeouts steps
#: down, so that its clients look for another leader.
_QUORUM_LOSS_TIMEOUTS = 2

#: By how many heartbeat periods the voters' last contacts with the leader may
#: differ.
_MARGIN_HEARTBEATS = 2


class Elections:
    """Campaigns when the leader is silent, and answers vote requests."""

    def __init__(self, raft: _raft.RaftState) -> None:
        self._raft = raft
        self._vote_pool = futures.ThreadPoolExecutor(8, "vote-requests")
        self._leaderless = _leaderless.LeaderlessLog(raft)

    def run(self, stop: threading.Event) -> None:
        """Task: starts elections; as the leader, checks for a quorum."""
        raft = self._raft
        while not stop.is_set():
            with raft.lock:
                campaigns = self._wait_for_election(stop)
                transfer = campaigns and raft.transfer_requested
                if campaigns:
                    raft.transfer_requested = False
            if campaigns:
                try:
                    self._campaign(transfer)
                except _disk.StorageError as error:
                    raft.fail(str(error))
            self._leaderless.check()
        self._vote_pool.shutdown(wait=True, cancel_futures=True)

    def handle_vote(self, request: log_pb2.VoteRequest) -> log_pb2.VoteReply:
        """Handles a vote request.

        Raises:
            StorageError: The vote cannot be synced.
        """
        raft = self._raft
        with raft.lock:
            if raft.role is _raft.Role.FAILED:
                raise _disk.StorageError(raft.failure)
            granted = self._may_grant(request)
            if granted and not request.pre_vote:
                raft.log.save_vote(request.term, request.candidate_identity)
                raft.become_follower()
                raft.reset_election_timer()
            elif granted:
                # Leaves the candidate time for its election: a simultaneous
                # campaign would split the vote.
                now_s = raft.clock.now()
                delay_s = _MARGIN_HEARTBEATS * raft.timing.heartbeat_period_s
                raft.election_due_s = max(raft.election_due_s, now_s + delay_s)
            return log_pb2.VoteReply(term=raft.log.term, granted=granted)

    def handle_transfer(
        self, request: log_pb2.TransferRequest
    ) -> log_pb2.TransferReply:
        """Handles a leadership transfer by campaigning immediately."""
        raft = self._raft
        with raft.lock:
            accepted = (
                request.to_identity == raft.identity
                and request.term == raft.log.term
                and raft.role is _raft.Role.FOLLOWER
                and raft.is_voter
            )
            if accepted:
                raft.transfer_requested = True
                raft.lock.notify_all()
            return log_pb2.TransferReply(accepted=accepted)

    def _may_grant(self, request: log_pb2.VoteRequest) -> bool:
        raft = self._raft
        if request.to_identity != raft.identity:
            return False
        if request.term < raft.log.term:
            return False
        if not request.transfer and self._has_live_leader():
            return False
        last = raft.log.last
        if (request.last_term, request.last_index) < (last.term, last.index):
            return False
        if request.pre_vote or request.term > raft.log.term:
            return True
        return raft.log.voted_for in ("", request.candidate_identity)

    def _has_live_leader(self) -> bool:
        """Whether the leader is alive, so that no vote is granted.

        An isolated or removed voter that comes back must not disrupt the
        leader.
        """
        raft = self._raft
        if raft.role is _raft.Role.LEADER:
            return True
        silent_s = raft.clock.now() - raft.last_leader_contact_s
        # Voters receive the last heartbeat of a leader at different times. The
        # first candidate must not be refused by a voter that received it
        # later.
        timing = raft.timing
        margin_s = _MARGIN_HEARTBEATS * timing.heartbeat_period_s
        return silent_s < timing.election_timeout_s - margin_s

    def _wait_for_election(self, stop: threading.Event) -> bool:
        """Waits for the next event; returns whether to campaign."""
        raft = self._raft
        now_s = raft.clock.now()
        if raft.role is _raft.Role.FAILED:
            raft.lock.wait(1.0)
            return False
        if raft.role is _raft.Role.LEADER:
            self._check_quorum(now_s)
            raft.lock.wait(raft.timing.election_timeout_s)
            return False
        if raft.transfer_requested:
            return raft.is_voter
        if now_s < raft.election_due_s:
            raft.lock.wait(raft.election_due_s - now_s)
            return False
        raft.reset_election_timer()
        return raft.is_voter and not stop.is_set()

    def _check_quorum(self, now_s: float) -> None:
        raft = self._raft
        max_silence_s = _QUORUM_LOSS_TIMEOUTS * raft.timing.election_timeout_s
        last_confirmed_s = max(raft.quorum_confirmed_s(), raft.elected_s)
        if now_s - last_confirmed_s > max_silence_s:
            logging.warning(
                "%s has lost its quorum and steps down in term %d",
                raft.name,
                raft.log.term,
            )
            raft.become_follower()
            raft.reset_election_timer()

    def _campaign(self, transfer: bool) -> None:
        if not transfer and not self._request_votes(
            pre_vote=True, transfer=False
        ):
            return
        raft = self._raft
        with raft.lock:
            silent_s = raft.clock.now() - raft.last_leader_contact_s
            leader_alive = silent_s < raft.timing.election_timeout_s
            if raft.role is not _raft.Role.FOLLOWER or (
                leader_alive and not transfer
            ):
                return
            raft.log.save_vote(raft.log.term + 1, raft.identity)
            raft.role = _raft.Role.CANDIDATE
            raft.leader_name = raft.leader_address = ""
            raft.reset_election_timer()
            term = raft.log.term
        won = self._request_votes(pre_vote=False, transfer=transfer)
        with raft.lock:
            if raft.role is not _raft.Role.CANDIDATE:
                return
            if won and raft.log.term == term:
                raft.become_leader()
            else:
                raft.become_follower()

    def _request_votes(self, pre_vote: bool, transfer: bool) -> bool:
        """Asks all other voters; returns whether a quorum granted its vote."""
        raft = self._raft
        with raft.lock:
            others = raft.other_voters()
            quorum = raft.quorum
            last = raft.log.last
            request = log_pb2.VoteRequest(
                term=raft.log.term + (1 if pre_vote else 0),
                candidate=raft.name,
                candidate_identity=raft.identity,
                last_index=last.index,
                last_term=last.term,
                pre_vote=pre_vote,
                transfer=transfer,
            )
        granted = 1
        if granted >= quorum:
            return True
        self._leaderless.begin_round(voter.name for voter in others)
        timeout_s = raft.timing.election_timeout_s
        name_by_call = {
            self._vote_pool.submit(
                self._send_vote_request, voter, request, timeout_s
            ): voter.name
            for voter in others
        }
        try:
            for call in futures.as_completed(name_by_call, timeout_s):
                reply = call.result()
                self._leaderless.note_answer(name_by_call[call], reply)
                granted += self._count_vote(reply)
                if granted >= quorum:
                    return True
        except TimeoutError:
            pass
        return False

    def _send_vote_request(
        self,
        voter: log_pb2.LogVoter,
        template: log_pb2.VoteRequest,
        timeout_s: float,
    ) -> log_pb2.VoteReply | _peers.Unreachable:
        request = log_pb2.VoteRequest()
        request.CopyFrom(template)
        request.to_identity = voter.identity
        transport = self._raft.transport
        return transport.call(voter.address, _peers.VOTE, request, timeout_s)

    def _count_vote(self, reply: log_pb2.VoteReply | _peers.Unreachable) -> int:
        if isinstance(reply, _peers.Unreachable):
            return 0
        if not reply.granted and reply.term > self._raft.log.term:
            with self._raft.lock:
                self._raft.adopt_term(reply.term)
        return 1 if reply.granted else 0
