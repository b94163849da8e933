"""Members that died and were dropped, so that old copies stay out."""

import collections
import threading

from mulberry_membership import _records

#: Names that are remembered; at 17 failures a day this is over a year.
MAX_NAMES = 10_000


class ForgottenMembers:
    """Remembers the last record of each forgotten member; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._record_by_name: collections.OrderedDict[str, _records.Record] = (
            collections.OrderedDict()
        )

    def add(self, record: _records.Record) -> None:
        """Notes the record of a member that is being dropped."""
        with self._lock:
            self._record_by_name[record.id] = record
            while len(self._record_by_name) > MAX_NAMES:
                self._record_by_name.popitem(last=False)

    def drop(self, name: str) -> None:
        """Notes that a member is back."""
        with self._lock:
            self._record_by_name.pop(name, None)

    def covers(self, record: _records.Record) -> bool:
        """Whether the record is an old copy of a forgotten member's.

        An instance that has not forgotten the member yet may send it; taken
        as a new member it would return everywhere, again and again. If it
        does live, it refutes the suspicion that it is answered with.
        """
        if record.kind is not _records.RecordKind.MEMBER or record.removed:
            return False
        with self._lock:
            forgotten = self._record_by_name.get(record.id)
        return forgotten is not None and forgotten.order >= record.order
