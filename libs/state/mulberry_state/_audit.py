"""The audit trail: who changed what, when, and since when it is in effect."""

import collections
import dataclasses
from collections.abc import Iterable

from mulberry_state import _codec
from mulberry_wire import state_pb2

#: Records kept; about two weeks at 1,700 changes a day.
MAX_RECORDS = 25_000


@dataclasses.dataclass(frozen=True)
class AuditRecord:
    """One change, or one refused change of the rules."""

    #: Index of the log record that made the change.
    index: int
    #: Unix time by the leader's clock, seconds.
    wall_s: float
    #: Operator or component.
    who: str
    what: str
    #: Revision of the view that holds the change, 0 if it is not in the view.
    revision: int
    #: Unix time since when every instance had the change, 0 before that.
    in_effect_s: float = 0.0


class AuditTrail:
    """The latest audit records, oldest first."""

    def __init__(self) -> None:
        self._records: collections.deque[AuditRecord] = collections.deque(
            maxlen=MAX_RECORDS
        )
        #: Highest revision of the view that an audited change needs.
        self.last_revision = 0

    def add(self, record: AuditRecord) -> None:
        """Appends a record; the oldest one makes room."""
        self._records.append(record)
        self.last_revision = max(self.last_revision, record.revision)

    def mark_in_effect(self, revision: int, wall_s: float) -> None:
        """Dates all records whose change every instance has by now."""
        for position in range(len(self._records) - 1, -1, -1):
            record = self._records[position]
            if record.in_effect_s:
                break
            if 0 < record.revision <= revision:
                self._records[position] = dataclasses.replace(
                    record, in_effect_s=wall_s
                )

    def in_effect_since(self, revision: int) -> float:
        """Returns since when every instance has a revision, 0 if unknown."""
        for record in self._records:
            if record.revision >= revision:
                return record.in_effect_s
        return 0.0

    def records(self) -> tuple[AuditRecord, ...]:
        """Returns the records, oldest first."""
        return tuple(self._records)

    def write(self, snapshot: state_pb2.StateSnapshot) -> None:
        """Copies the trail into a snapshot."""
        for record in self._records:
            _codec.fill(record, snapshot.audit.add())

    def restore(self, messages: Iterable[state_pb2.AuditRecord]) -> None:
        """Replaces the trail by that of a snapshot."""
        self._records.clear()
        self.last_revision = 0
        for item in messages:
            self.add(_codec.read(AuditRecord, item))
