"""Which voter to add, replace or remove when nobody gives a command."""

import dataclasses
import threading
from collections.abc import Callable, Mapping, Sequence

from absl import logging

import mulberry_core as core
from mulberry_state import _group, _raft, _reports

#: More voters make every commit slower and tolerate no fault that counts.
MAX_VOTERS = 9
#: A voter that has not answered the leader for this long is taken as lost.
#: Three election timeouts: a restart or a slow sync takes less. Seconds.
LOST_AFTER_S = 1.5
#: Between looks at the voters, seconds.
PERIOD_S = 0.25
#: How long one change may take, seconds; the learner must catch up in it.
_CHANGE_TIMEOUT_S = 3.0
_AUDIT_NAME = "upkeep"


@dataclasses.dataclass(frozen=True)
class VoterCandidate:
    """An instance with a data folder, which may vote."""

    name: str
    #: gRPC address.
    address: str
    #: Of its data folder.
    identity: str


@dataclasses.dataclass(frozen=True)
class VoterChange:
    """One step towards the wanted voters."""

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
    """Returns the next change of the voters, unset if all is well.

    A folder that was emptied has a new identity: its instance must not vote
    under the old one, since it may have acknowledged what it no longer has.

    Args:
        voters: As the leader knows them.
        candidates_by_name: Living instances with a data folder.
        min_voters: Lost voters are removed without a replacement only while
            more than these remain.
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
            return VoterChange(candidate, name, f"{name} has another folder")
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
    """Keeps the voters complete; acts on the leader only."""

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

    def run(self, stop: threading.Event) -> None:
        """Task: makes one change after the other while this voter leads."""
        while not stop.wait(PERIOD_S):
            if self._raft.role is _raft.Role.LEADER:
                self._make_next_change()

    def _make_next_change(self) -> None:
        change = next_change(
            self._get_voters(),
            self._get_candidates(),
            self._min_voters,
            self._raft.name,
        )
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
            logging.warning(
                "voters not changed although %s: %s",
                change.reason,
                error or "leadership was lost",
            )
        else:
            logging.info("%s because %s", outcome, change.reason)
