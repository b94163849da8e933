"""Table of the members known to this instance, with state changes."""

import dataclasses
import math
import threading
from collections.abc import Mapping

import mulberry_core as core
from mulberry_membership import _members, _records

#: Orphaned records, those of an earlier process of an instance, stay listed for
#: this long after its restart became known, seconds. Upstreams announce
#: themselves every second with a validity of 3 s, so those still running have
#: been published again by then.
ORPHAN_GRACE_S = 3.0
#: A dead member and its hidden records are kept for this long, seconds, so that
#: they need not be sent again if the member was only partitioned.
FORGET_AFTER_S = 60.0

#: Kinds whose records stay valid regardless of the state of their owner.
OWNER_INDEPENDENT_KINDS = _records.OUTLIVES_OWNER | {
    _records.RecordKind.MEMBER,
    _records.RecordKind.SUSPICION,
}
_ALIVE = _members.MemberState.ALIVE
_SUSPECT = _members.MemberState.SUSPECT
_DEAD = _members.MemberState.DEAD


@dataclasses.dataclass
class _Row:
    member: _members.Member
    order: tuple[int, int]
    #: When this instance learned of the member's current process, seconds.
    epoch_since_s: float
    #: When the member entered its current state, seconds.
    state_since_s: float
    #: Whether records of an earlier process may still be listed.
    has_orphans: bool


@dataclasses.dataclass(frozen=True)
class TableChanges:
    """Names of the members that changed in one `tick`."""

    died: tuple[str, ...]
    forgotten: tuple[str, ...]
    #: Members whose orphaned records are no longer listed.
    orphans_expired: tuple[str, ...]


class MemberTable:
    """Member states and their transitions; thread-safe.

    Calls no callbacks, so it may be used while other locks are held.
    """

    def __init__(self, clock: core.Clock, dead_after_s: float) -> None:
        self._clock = clock
        self._dead_after_s = dead_after_s
        self._lock = threading.Lock()
        self._rows_by_name: dict[str, _Row] = {}

    def members(self) -> Mapping[str, _members.Member]:
        """Returns all members by name, including dead ones."""
        with self._lock:
            return {
                name: row.member for name, row in self._rows_by_name.items()
            }

    def get(self, name: str) -> _members.Member | core.Missing:
        """Returns a member; unset if it is unknown."""
        with self._lock:
            row = self._rows_by_name.get(name)
            return row.member if row else core.Missing.UNSET

    def suspected_s(self, name: str) -> float:
        """Returns how long a member has been suspected, in seconds.

        Infinite if it is dead; zero if it is alive or unknown.
        """
        with self._lock:
            row = self._rows_by_name.get(name)
            if row is None or row.member.state is _ALIVE:
                return 0.0
            if row.member.state is _DEAD:
                return math.inf
            return self._clock.now() - row.state_since_s

    def update(self, member: _members.Member, order: tuple[int, int]) -> bool:
        """Applies a member's own record; returns whether it is newer."""
        now_s = self._clock.now()
        with self._lock:
            row = self._rows_by_name.get(member.name)
            if row and row.order >= order:
                return False
            new_row = _Row(
                member=member,
                order=order,
                epoch_since_s=now_s,
                state_since_s=now_s,
                has_orphans=True,
            )
            if row and row.member.epoch == member.epoch:
                new_row.epoch_since_s = row.epoch_since_s
                new_row.has_orphans = row.has_orphans
            self._rows_by_name[member.name] = new_row
            return True

    def suspect(self, name: str, incarnation: int) -> bool:
        """Marks a member as suspected; returns whether its state changed.

        A suspicion of an earlier incarnation is ignored, because the member has
        already refuted it.
        """
        with self._lock:
            row = self._rows_by_name.get(name)
            if (
                row is None
                or row.member.state is not _ALIVE
                or row.member.incarnation > incarnation
            ):
                return False
            self._set_state(row, _SUSPECT)
            return True

    def remove(self, name: str, order: tuple[int, int]) -> bool:
        """Removes a member that left; returns whether it was known."""
        with self._lock:
            row = self._rows_by_name.get(name)
            if row is None or row.order > order:
                return False
            del self._rows_by_name[name]
            return True

    def tick(self) -> TableChanges:
        """Applies the state transitions that are due at the current time."""
        died, forgotten, orphans_expired = [], [], []
        now_s = self._clock.now()
        with self._lock:
            for name, row in list(self._rows_by_name.items()):
                in_state_s = now_s - row.state_since_s
                state = row.member.state
                if state is _SUSPECT and in_state_s >= self._dead_after_s:
                    self._set_state(row, _DEAD)
                    died.append(name)
                elif state is _DEAD and in_state_s >= FORGET_AFTER_S:
                    del self._rows_by_name[name]
                    forgotten.append(name)
                if (
                    row.has_orphans
                    and now_s - row.epoch_since_s >= ORPHAN_GRACE_S
                ):
                    row.has_orphans = False
                    orphans_expired.append(name)
        return TableChanges(
            tuple(died), tuple(forgotten), tuple(orphans_expired)
        )

    def is_owner_valid(self, record: _records.Record) -> bool:
        """Whether a record may be listed, given the state of its owner.

        The owner must not be dead and the record must not be orphaned for
        longer than the grace period. Owner-independent kinds are always valid.
        """
        if record.kind in OWNER_INDEPENDENT_KINDS:
            return True
        with self._lock:
            row = self._rows_by_name.get(record.owner)
            if row is None or row.member.state is _DEAD:
                return False
            if record.epoch >= row.member.epoch:
                return True
            return self._clock.now() - row.epoch_since_s < ORPHAN_GRACE_S

    def is_orphan(self, record: _records.Record) -> bool:
        """Whether the owner has restarted and the grace period is over."""
        if record.kind in OWNER_INDEPENDENT_KINDS:
            return False
        with self._lock:
            row = self._rows_by_name.get(record.owner)
            return (
                row is not None
                and record.epoch < row.member.epoch
                and self._clock.now() - row.epoch_since_s >= ORPHAN_GRACE_S
            )

    def _set_state(self, row: _Row, state: _members.MemberState) -> None:
        row.member = dataclasses.replace(row.member, state=state)
        row.state_since_s = self._clock.now()
