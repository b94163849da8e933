"""Dead members that were dropped, to reject delayed copies of their records."""

import collections
import threading

from mulberry_membership import _records

#: Maximum number of names; at 17 failures a day this is over a year.
MAX_NAMES = 10_000


class ForgottenMembers:
    """Last record of each forgotten member; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._record_by_name: collections.OrderedDict[str, _records.Record] = (
            collections.OrderedDict()
        )

    def add(self, record: _records.Record) -> None:
        """Adds the record of a member that is being dropped."""
        with self._lock:
            self._record_by_name[record.id] = record
            while len(self._record_by_name) > MAX_NAMES:
                self._record_by_name.popitem(last=False)

    def drop(self, name: str) -> None:
        """Removes a member that has returned."""
        with self._lock:
            self._record_by_name.pop(name, None)

    def is_old_copy(self, record: _records.Record) -> bool:
        """Whether the record is an old copy of a forgotten member's record.

        An instance that has not forgotten the member yet may send such a copy.
        If it were accepted as a new member, the dead member would reappear
        everywhere, again and again. The caller publishes a suspicion instead,
        which the member refutes if it is alive.
        """
        if record.kind is not _records.RecordKind.MEMBER or record.removed:
            return False
        with self._lock:
            forgotten = self._record_by_name.get(record.id)
        return forgotten is not None and forgotten.order >= record.order
