"""Soft state of a single instance, for tests and embedding."""

import math
import threading
from collections.abc import Mapping

import mulberry_core as core
from mulberry_membership import _records, _soft_state, _store, _unreadable


class LocalSoftState(_soft_state.SoftState):
    """Soft state of an instance without peers."""

    def __init__(self, owner: str, clock: core.Clock) -> None:
        self._owner = owner
        self._store = _store.RecordStore(clock)
        self._unreadable = _unreadable.UnreadableRecords()
        self._lock = threading.Lock()
        self._epoch = max(1, int(clock.wall() * 1000))
        self._sequence = 0

    @property
    def owner(self) -> str:
        """Name of this instance."""
        return self._owner

    def publish(
        self,
        kind: _records.RecordKind,
        id: str,
        payload: bytes,
        ttl_s: float | core.Missing = core.Missing.UNLIMITED,
        urgent: bool = False,
    ) -> _records.Record:
        """Publishes a record of this instance."""
        record = _records.Record(
            kind=kind,
            id=id,
            owner=self._owner,
            epoch=self._epoch,
            incarnation=self._epoch,
            sequence=self._next_sequence(),
            payload=payload,
            urgent=urgent,
        )
        self._store.merge(record, ttl_seconds(ttl_s))
        return record

    def put(
        self,
        kind: _records.RecordKind,
        id: str,
        incarnation: int,
        sequence: int,
        payload: bytes,
        ttl_s: float | core.Missing = core.Missing.UNLIMITED,
        removed: bool = False,
        urgent: bool = False,
    ) -> bool:
        """Publishes a record whose order is given by the caller."""
        record = _records.Record(
            kind=kind,
            id=id,
            owner=self._owner,
            epoch=self._epoch,
            incarnation=incarnation,
            sequence=sequence,
            payload=payload,
            removed=removed,
            urgent=urgent,
        )
        # The store limits the lifetime of a tombstone to the longest delay of a
        # message.
        ttl_s = core.Missing.UNLIMITED if removed else ttl_s
        return self._store.merge(record, ttl_seconds(ttl_s))

    def remove(
        self, kind: _records.RecordKind, id: str, urgent: bool = True
    ) -> None:
        """Removes a record published by this instance, if it exists."""
        stored = self._store.latest((kind, id))
        if isinstance(stored, core.Missing) or stored.owner != self._owner:
            return
        self.put(
            kind,
            id,
            stored.incarnation,
            stored.sequence,
            b"",
            removed=True,
            urgent=urgent,
        )

    def records(
        self, kind: _records.RecordKind
    ) -> Mapping[str, _records.Record]:
        """Returns the live records of a kind by id."""
        self._store.expire()
        return self._store.records(kind)

    def latest(
        self, kind: _records.RecordKind, id: str
    ) -> _records.Record | core.Missing:
        """Returns the newest record of an id, even if it is a removal."""
        self._store.expire()
        return self._store.latest((kind, id))

    def age_s(self, kind: _records.RecordKind, id: str) -> float:
        """Returns the seconds since the newest record arrived here."""
        return self._store.age_s((kind, id))

    def staleness_s(self, owner: str) -> float:
        """Returns zero, because there are no other instances."""
        return 0.0

    def isolated_s(self) -> float:
        """Returns zero, because there are no other instances."""
        return 0.0

    def wait_until_shared(
        self, kind: _records.RecordKind, id: str, timeout_s: float
    ) -> bool:
        """Returns true, because there are no other instances."""
        return True

    def subscribe(
        self, kind: _records.RecordKind, callback: _soft_state.RecordCallback
    ) -> None:
        """Registers a callback for changes of records of this kind."""
        self._store.subscribe(kind, callback)

    def report_unreadable(self, record: _records.Record) -> None:
        """Logs and counts a record that a reader cannot decode, once."""
        self._unreadable.report(record)

    def _next_sequence(self) -> int:
        with self._lock:
            self._sequence += 1
            return self._sequence


def ttl_seconds(ttl_s: float | core.Missing) -> float:
    """Converts a time to live to seconds; infinite if unlimited."""
    return math.inf if isinstance(ttl_s, core.Missing) else ttl_s
