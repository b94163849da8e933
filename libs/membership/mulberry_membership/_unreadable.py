"""Reports records that readers cannot decode."""

import collections
import threading

from absl import logging

import mulberry_core as core
from mulberry_membership import _records

#: Number of records remembered as reported; the oldest are forgotten first.
_MAX_REPORTED = 1_000


class UnreadableRecords:
    """Logs and counts each record that cannot be decoded once; thread-safe.

    Readers see the same record again and again, several times a second.
    """

    def __init__(
        self, counters: core.Counters | core.Missing = core.Missing.UNSET
    ) -> None:
        self._counters = counters
        self._lock = threading.Lock()
        self._reported: collections.OrderedDict[_records.Record, None] = (
            collections.OrderedDict()
        )

    def report(self, record: _records.Record) -> None:
        """Logs and counts a record unless it has been reported before."""
        with self._lock:
            if record in self._reported:
                return
            self._reported[record] = None
            if len(self._reported) > _MAX_REPORTED:
                self._reported.popitem(last=False)
        logging.warning(
            "leaving out %s record %r of %r, which cannot be read: %d bytes, "
            "incarnation %d, sequence %d",
            record.kind.value,
            record.id,
            record.owner,
            len(record.payload),
            record.incarnation,
            record.sequence,
        )
        if not isinstance(self._counters, core.Missing):
            self._counters.increment("membership.unreadable_records")
