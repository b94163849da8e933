"""The audit trail: who changed what, when, and when it took effect."""

import collections
import dataclasses
from collections.abc import Iterable

from mulberry_state import _codec
from mulberry_wire import state_pb2

#: Maximum number of records; about two weeks at 1,700 changes a day.
MAX_RECORDS = 25_000


@dataclasses.dataclass(frozen=True)
class AuditRecord:
    """One change of the state, or one refused change of the rules."""

    #: Index of the log record that made the change.
    index: int
    #: Unix time from the leader's clock, seconds.
    wall_s: float
    #: Operator or component.
    who: str
    what: str
    #: View revision that contains the change, 0 if it is not in the view.
    revision: int
    #: Unix time when every instance had received the change, 0 before that.
    in_effect_s: float = 0.0


class AuditTrail:
    """The most recent audit records, oldest first."""

    def __init__(self) -> None:
        self._records: collections.deque[AuditRecord] = collections.deque(
            maxlen=MAX_RECORDS
        )
        #: Highest view revision of any audited change.
        self.last_revision = 0

    def add(self, record: AuditRecord) -> None:
        """Appends a record; drops the oldest if the trail is full."""
        self._records.append(record)
        self.last_revision = max(self.last_revision, record.revision)

    def mark_in_effect(self, revision: int, wall_s: float) -> None:
        """Sets `in_effect_s` of all records up to a view revision."""
        for position in range(len(self._records) - 1, -1, -1):
            record = self._records[position]
            if record.in_effect_s:
                break
            if 0 < record.revision <= revision:
                self._records[position] = dataclasses.replace(
                    record, in_effect_s=wall_s
                )

    def in_effect_since(self, revision: int) -> float:
        """Returns when every instance had a revision, 0 if unknown."""
        for record in self._records:
            if record.revision >= revision:
                return record.in_effect_s
        return 0.0

    def records(self) -> tuple[AuditRecord, ...]:
        """Returns the records, oldest first."""
        return tuple(self._records)

    def write(self, snapshot: state_pb2.StateSnapshot) -> None:
        """Copies the records into a snapshot."""
        for record in self._records:
            _codec.fill(record, snapshot.audit.add())

    def restore(self, messages: Iterable[state_pb2.AuditRecord]) -> None:
        """Replaces the records by those of a snapshot."""
        self._records.clear()
        self.last_revision = 0
        for item in messages:
            self.add(_codec.read(AuditRecord, item))
