"""Standing for election and voting."""

import threading
from concurrent import futures

from absl import logging

from mulberry_state import _disk, _peers, _shared
from mulberry_wire import log_pb2

#: A leader that no quorum has answered for this many election timeouts steps
#: down, so that its clients look for another one.
_QUIET_TIMEOUTS = 2

#: By how many heartbeats voters may differ in when they last heard a leader.
_HEARTBEAT_MARGIN = 2


class Elections:
    """Stands for election when the leader is silent, and votes."""

    def __init__(self, shared: _shared.Shared) -> None:
        self._shared = shared
        self._callers = futures.ThreadPoolExecutor(8, "vote-requests")

    def run(self, stop: threading.Event) -> None:
        """Task: watches the leader, or its own leadership."""
        shared = self._shared
        while not stop.is_set():
            with shared.lock:
                stands = self._wait(stop)
                transfer = stands and shared.take_over
                if stands:
                    shared.take_over = False
            if stands:
                try:
                    self._campaign(transfer)
                except _disk.StorageError as error:
                    shared.fail(str(error))
        self._callers.shutdown(wait=True, cancel_futures=True)

    def vote(self, request: log_pb2.VoteRequest) -> log_pb2.VoteReply:
        """Answers a candidate.

        Raises:
            StorageError: The vote cannot be synced.
        """
        shared = self._shared
        with shared.lock:
            if shared.role is _shared.Role.FAILED:
                raise _disk.StorageError(shared.failure)
            granted = self._grants(request)
            if granted and not request.pre_vote:
                shared.log.save_vote(request.term, request.candidate_identity)
                shared.follow()
                shared.delay_election()
            elif granted:
                # Gives the candidate time for its election; standing at the
                # same time would split the votes.
                now_s = shared.clock.now()
                delay_s = _HEARTBEAT_MARGIN * shared.timing.heartbeat_period_s
                shared.election_s = max(shared.election_s, now_s + delay_s)
            return log_pb2.VoteReply(term=shared.log.term, granted=granted)

    def take_over(
        self, request: log_pb2.TransferRequest
    ) -> log_pb2.TransferReply:
        """Stands at once because the leader hands over."""
        shared = self._shared
        with shared.lock:
            accepted = (
                request.to_identity == shared.identity
                and request.term == shared.log.term
                and shared.role is _shared.Role.FOLLOWER
                and shared.is_voter
            )
            if accepted:
                shared.take_over = True
                shared.lock.notify_all()
            return log_pb2.TransferReply(accepted=accepted)

    def _grants(self, request: log_pb2.VoteRequest) -> bool:
        shared = self._shared
        if request.to_identity != shared.identity:
            return False
        if request.term < shared.log.term:
            return False
        if not request.transfer and self._hears_leader():
            return False
        last = shared.log.last
        if (request.last_term, request.last_index) < (last.term, last.index):
            return False
        if request.pre_vote or request.term > shared.log.term:
            return True
        return shared.log.voted_for in ("", request.candidate_identity)

    def _hears_leader(self) -> bool:
        """Whether there is a leader, so that no election is called for.

        An isolated or removed voter that comes back must not unseat it.
        """
        shared = self._shared
        if shared.role is _shared.Role.LEADER:
            return True
        silent_s = shared.clock.now() - shared.heard_s
        # Voters hear the last heartbeat of a leader at different times. The
        # first one to stand must not be refused by one that heard it later.
        timing = shared.timing
        margin_s = _HEARTBEAT_MARGIN * timing.heartbeat_period_s
        return silent_s < timing.election_timeout_s - margin_s

    def _wait(self, stop: threading.Event) -> bool:
        """Waits for the next event; returns whether to stand for election."""
        shared = self._shared
        now_s = shared.clock.now()
        if shared.role is _shared.Role.FAILED:
            shared.lock.wait(1.0)
            return False
        if shared.role is _shared.Role.LEADER:
            self._check_quorum(now_s)
            shared.lock.wait(shared.timing.election_timeout_s)
            return False
        if shared.take_over:
            return shared.is_voter
        if now_s < shared.election_s:
            shared.lock.wait(shared.election_s - now_s)
            return False
        shared.delay_election()
        return shared.is_voter and not stop.is_set()

    def _check_quorum(self, now_s: float) -> None:
        shared = self._shared
        quiet_s = _QUIET_TIMEOUTS * shared.timing.election_timeout_s
        since_s = max(shared.confirmed_s(), shared.elected_s)
        if now_s - since_s > quiet_s:
            logging.warning(
                "%s hears no quorum and steps down in term %d",
                shared.name,
                shared.log.term,
            )
            shared.follow()
            shared.delay_election()

    def _campaign(self, transfer: bool) -> None:
        if not transfer and not self._wins(pre_vote=True, transfer=False):
            return
        shared = self._shared
        with shared.lock:
            silent_s = shared.clock.now() - shared.heard_s
            heard = silent_s < shared.timing.election_timeout_s
            if shared.role is not _shared.Role.FOLLOWER or (
                heard and not transfer
            ):
                return
            shared.log.save_vote(shared.log.term + 1, shared.identity)
            shared.role = _shared.Role.CANDIDATE
            shared.leader_name = shared.leader_address = ""
            shared.delay_election()
            term = shared.log.term
        won = self._wins(pre_vote=False, transfer=transfer)
        with shared.lock:
            if shared.role is not _shared.Role.CANDIDATE:
                return
            if won and shared.log.term == term:
                shared.lead()
            else:
                shared.follow()

    def _wins(self, pre_vote: bool, transfer: bool) -> bool:
        """Asks all other voters and returns whether a quorum agrees."""
        shared = self._shared
        with shared.lock:
            others = shared.other_voters()
            quorum = shared.quorum
            last = shared.log.last
            request = log_pb2.VoteRequest(
                term=shared.log.term + (1 if pre_vote else 0),
                candidate=shared.name,
                candidate_identity=shared.identity,
                last_index=last.index,
                last_term=last.term,
                pre_vote=pre_vote,
                transfer=transfer,
            )
        granted = 1
        if granted >= quorum:
            return True
        timeout_s = shared.timing.election_timeout_s
        calls = [
            self._callers.submit(self._ask, voter, request, timeout_s)
            for voter in others
        ]
        try:
            for call in futures.as_completed(calls, timeout_s):
                granted += self._count(call.result(), request)
                if granted >= quorum:
                    return True
        except TimeoutError:
            pass
        return False

    def _ask(
        self,
        voter: log_pb2.LogVoter,
        template: log_pb2.VoteRequest,
        timeout_s: float,
    ) -> log_pb2.VoteReply | _peers.Unreachable:
        request = log_pb2.VoteRequest()
        request.CopyFrom(template)
        request.to_identity = voter.identity
        transport = self._shared.transport
        return transport.call(voter.address, _peers.VOTE, request, timeout_s)

    def _count(
        self,
        reply: log_pb2.VoteReply | _peers.Unreachable,
        request: log_pb2.VoteRequest,
    ) -> int:
        if isinstance(reply, _peers.Unreachable):
            return 0
        if not reply.granted and reply.term > self._shared.log.term:
            with self._shared.lock:
                self._shared.adopt_term(reply.term)
        return 1 if reply.granted else 0
