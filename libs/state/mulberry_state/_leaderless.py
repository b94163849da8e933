"""Logs why a group of voters has had no leader for long."""

from collections.abc import Iterable

from absl import logging

from mulberry_state import _peers, _raft
from mulberry_wire import log_pb2

#: Election timeouts without a leader before the first line.
_FIRST_LINE_TIMEOUTS = 4
#: Longest interval between lines, seconds.
_MAX_INTERVAL_S = 30.0


class LeaderlessLog:
    """Logs the answers to requests for votes, at growing intervals.

    Used only by the task that runs the elections.
    """

    def __init__(self, raft: _raft.RaftState) -> None:
        self._raft = raft
        self._first_line_s = (
            _FIRST_LINE_TIMEOUTS * raft.timing.election_timeout_s
        )
        self._next_line_s = self._first_line_s
        self._answer_by_voter: dict[str, str] = {}

    def begin_round(self, voters: Iterable[str]) -> None:
        """Records that these voters are asked."""
        self._answer_by_voter = dict.fromkeys(voters, "no answer")

    def note_answer(
        self, voter: str, reply: log_pb2.VoteReply | _peers.Unreachable
    ) -> None:
        """Records the answer of one voter."""
        if isinstance(reply, _peers.Unreachable):
            answer = f"unreachable ({reply.reason})"
        elif reply.granted:
            answer = "granted"
        else:
            answer = f"refused in term {reply.term}"
        self._answer_by_voter[voter] = answer

    def check(self) -> None:
        """Writes a line if one is due."""
        raft = self._raft
        with raft.lock:
            leaderless_s = raft.leaderless_s()
            voters = [voter.name for voter in raft.voters.message.voters]
            term, last = raft.log.term, raft.log.last
            standing = raft.role.value if raft.is_voter else "no voter"
        if leaderless_s < self._first_line_s:
            self._next_line_s = self._first_line_s
        elif leaderless_s >= self._next_line_s:
            self._next_line_s = leaderless_s + min(
                leaderless_s, _MAX_INTERVAL_S
            )
            logging.warning(
                "%s (%s) has no leader for %.1f s in term %d, last record "
                "%d of term %d, voters %s, answers %s",
                raft.name,
                standing,
                leaderless_s,
                term,
                last.index,
                last.term,
                voters,
                self._answer_by_voter,
            )
