"""What this instance holds of each member, and since when."""

import dataclasses
import math
import threading
from collections.abc import Mapping

import mulberry_core as core
from mulberry_membership import _members, _records

#: Records of an earlier process of an instance stay listed for this long
#: after its restart became known, seconds. Upstreams announce themselves each
#: second for 3 s, so those that still run have published again by then.
ORPHAN_GRACE_S = 3.0
#: A dead member and its records are kept hidden for this long, seconds, so
#: that nothing must be sent again when it was cut off only.
FORGET_AFTER_S = 60.0

#: Kinds that are valid whatever becomes of their publisher.
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
    #: When this instance learned of the member's present process, seconds.
    epoch_since_s: float
    #: When the member entered its state, seconds.
    state_since_s: float
    #: Whether records of an earlier process may still be listed.
    has_orphans: bool


@dataclasses.dataclass(frozen=True)
class TableChanges:
    """Names of members with a change."""

    died: tuple[str, ...]
    forgotten: tuple[str, ...]
    #: Members whose earlier records are no longer listed.
    orphans_expired: tuple[str, ...]


class MemberTable:
    """Thread-safe; calls nothing outside, so it may be used under locks."""

    def __init__(self, clock: core.Clock, dead_after_s: float) -> None:
        self._clock = clock
        self._dead_after_s = dead_after_s
        self._lock = threading.Lock()
        self._rows_by_name: dict[str, _Row] = {}

    def members(self) -> Mapping[str, _members.Member]:
        """Returns all members that are not forgotten, by name."""
        with self._lock:
            return {
                name: row.member for name, row in self._rows_by_name.items()
            }

    def get(self, name: str) -> _members.Member | core.Missing:
        """Returns one member, unset if it is not known."""
        with self._lock:
            row = self._rows_by_name.get(name)
            return row.member if row else core.Missing.UNSET

    def suspected_s(self, name: str) -> float:
        """Returns for how long a member is suspected, infinite if dead.

        Zero for one that is alive or not known.
        """
        with self._lock:
            row = self._rows_by_name.get(name)
            if row is None or row.member.state is _ALIVE:
                return 0.0
            if row.member.state is _DEAD:
                return math.inf
            return self._clock.now() - row.state_since_s

    def update(self, member: _members.Member, order: tuple[int, int]) -> bool:
        """Takes a member's own record; returns whether it is newer."""
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
        """Marks a member as suspected; returns whether this is a change.

        A suspicion of an earlier incarnation has been refuted already.
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
        """Drops a member that left; returns whether it was there."""
        with self._lock:
            row = self._rows_by_name.get(name)
            if row is None or row.order > order:
                return False
            del self._rows_by_name[name]
            return True

    def tick(self) -> TableChanges:
        """Applies what follows from the time that has passed."""
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
        """Whether the owner of a record lives and has published it.

        Some kinds do not depend on their publisher.
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
        """Whether the owner restarted since, longer ago than the grace."""
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
