"""Reconciles the voters with the live instances automatically."""

import dataclasses
import threading
from collections.abc import Callable, Mapping, Sequence

from absl import logging

import mulberry_core as core
from mulberry_state import _group, _raft, _reports

#: More voters slow down every commit and add no useful fault tolerance.
MAX_VOTERS = 9
#: Seconds without an answer to the leader after which a voter counts as lost.
#: Three election timeouts; a restart or a slow sync takes less.
LOST_AFTER_S = 1.5
#: Seconds between reconciliations.
PERIOD_S = 0.25
#: Seconds for one change, including the catch-up of the learner.
_CHANGE_TIMEOUT_S = 3.0
#: Seconds for which a candidate that was refused comes after the others. A
#: candidate that can never be added must not keep out the others.
REFUSED_LAST_S = 5.0
_AUDIT_NAME = "upkeep"


@dataclasses.dataclass(frozen=True)
class VoterCandidate:
    """An instance with a data folder that can become a voter."""

    name: str
    #: gRPC address.
    address: str
    #: Identity of its data folder.
    identity: str


@dataclasses.dataclass(frozen=True)
class VoterChange:
    """One step towards the desired voters."""

    #: Unset for a removal.
    add: VoterCandidate | core.Missing
    #: Name of the voter to remove, or empty.
    remove: str
    reason: str


def next_change(
    voters: Sequence[_reports.VoterStatus],
    candidates_by_name: Mapping[str, VoterCandidate],
    min_voters: int,
    leader_name: str,
) -> VoterChange | core.Missing:
    """Returns the next change of the voters, unset if none is needed.

    A folder that was wiped has a new identity. Its instance must not vote
    under the old one, because it may have acknowledged records that it lost.

    Args:
        voters: Current voters with their status on the leader.
        candidates_by_name: Live instances with a data folder.
        min_voters: Lost voters are removed without a replacement only while
            there are more voters than this.
        leader_name: Name of the leader, which is never removed.
    """
    voters_by_name = {voter.name: voter for voter in voters}
    lost = [
        voter
        for voter in voters
        if voter.name != leader_name and voter.silent_s > LOST_AFTER_S
    ]
    for name, candidate in sorted(candidates_by_name.items()):
        voter = voters_by_name.get(name)
        if voter is None or name == leader_name:
            continue
        if voter.identity != candidate.identity:
            return VoterChange(candidate, name, f"{name} has a new data folder")
    for name, candidate in sorted(candidates_by_name.items()):
        if name in voters_by_name:
            continue
        replaceable = [
            v for v in lost if v.name not in candidates_by_name
        ] or lost
        if replaceable:
            return VoterChange(
                candidate,
                replaceable[0].name,
                f"{replaceable[0].name} is silent",
            )
        if len(voters) < MAX_VOTERS:
            return VoterChange(candidate, "", f"{name} has a data folder")
    if lost and len(voters) > min_voters:
        return VoterChange(
            core.Missing.UNSET, lost[0].name, f"{lost[0].name} is silent"
        )
    return core.Missing.UNSET


class VoterReconciler:
    """Applies voter changes automatically while this voter leads."""

    def __init__(
        self,
        raft: _raft.RaftState,
        group: _group.Group,
        get_voters: Callable[[], Sequence[_reports.VoterStatus]],
        get_candidates: Callable[[], Mapping[str, VoterCandidate]],
        min_voters: int,
    ) -> None:
        self._raft = raft
        self._group = group
        self._get_voters = get_voters
        self._get_candidates = get_candidates
        self._min_voters = min_voters
        #: `Clock.now` of the last refusal, seconds, by candidate.
        self._refused_s: dict[VoterCandidate, float] = {}

    def run(self, stop: threading.Event) -> None:
        """Task: makes one change at a time while this voter leads."""
        is_sound = True
        while not stop.wait(PERIOD_S):
            if self._raft.role is not _raft.Role.LEADER:
                continue
            is_sound = core.run_step(
                "checking the voters", self._make_next_change, is_sound
            )

    def _choose_change(self) -> VoterChange | core.Missing:
        voters = self._get_voters()
        candidates = self._get_candidates()
        oldest_s = self._raft.clock.now() - REFUSED_LAST_S
        self._refused_s = {
            candidate: refused_s
            for candidate, refused_s in self._refused_s.items()
            if refused_s > oldest_s
        }
        others = {
            name: candidate
            for name, candidate in candidates.items()
            if candidate not in self._refused_s
        }
        change = next_change(voters, others, self._min_voters, self._raft.name)
        if isinstance(change, VoterChange) and isinstance(
            change.add, VoterCandidate
        ):
            return change
        return next_change(
            voters, candidates, self._min_voters, self._raft.name
        )

    def _make_next_change(self) -> None:
        if self._raft.unconfirmed_s() > LOST_AFTER_S:
            # After a pause of this process every voter seems to be silent.
            return
        change = self._choose_change()
        if isinstance(change, core.Missing):
            return
        add: dict[str, str] = {}
        if isinstance(change.add, VoterCandidate):
            add[change.add.name] = change.add.address
        try:
            outcome = self._group.change(
                add, change.remove, _AUDIT_NAME, _CHANGE_TIMEOUT_S
            )
        except (_group.ChangeRefused, _raft.LeadershipLost) as error:
            if isinstance(change.add, VoterCandidate):
                self._refused_s[change.add] = self._raft.clock.now()
            logging.warning(
                "voters not changed (%s): %s",
                change.reason,
                error or "leadership was lost",
            )
        else:
            logging.info("%s because %s", outcome, change.reason)
