"""Store of the newest record of each key, with the order of changes."""

import dataclasses
import math
import threading
from collections.abc import Callable, Iterable, Mapping, Sequence

from absl import logging

import mulberry_core as core
from mulberry_membership import _record_index, _records, _soft_state

#: Lifetime of a tombstone, seconds. It must exceed the longest delay of a
#: message or an announcement; exchanges time out after 1 s.
TOMBSTONE_S = 60.0
#: Maximum number of records; limits the memory that a faulty or malicious peer
#: can consume.
MAX_RECORDS = 50_000
#: Maximum bytes of records in one message; gRPC refuses messages of more than
#: 4 MiB.
MAX_MESSAGE_BYTES = 2 << 20
#: Bytes of a record in a message besides its payload, id and owner, at most.
_RECORD_OVERHEAD_BYTES = 64


@dataclasses.dataclass(frozen=True)
class Changes:
    """Changes of a store, oldest first."""

    stored_records: tuple[_record_index.StoredRecord, ...]
    #: Stamp of the newest change that the reader has after applying these.
    stamp: int
    #: Whether changes beyond the limit were left out.
    more: bool


@dataclasses.dataclass(frozen=True)
class Digests:
    """Digests of a store's content at one time."""

    #: Digest of the live records in each bucket of keys.
    by_bucket: tuple[int, ...]
    #: Stamp of the newest change that the digests cover.
    stamp: int


@dataclasses.dataclass(frozen=True)
class StoreDifference:
    """Buckets in which the stores of two instances differed."""

    buckets: frozenset[int]
    #: Stamp of the newest change that was compared. The other instance may
    #: lack every later change, in any bucket.
    stamp: int

    def covers(self, stored: _record_index.StoredRecord) -> bool:
        """Whether the other instance may lack the record."""
        return stored.stamp > self.stamp or stored.bucket in self.buckets


class RecordStore:
    """Thread-safe store of soft-state records.

    Merging is commutative, associative and idempotent, so replicas converge
    regardless of the order and repetition of messages. Each change gets the
    next number, its stamp.
    """

    def __init__(
        self,
        clock: core.Clock,
        is_valid: Callable[[_records.Record], bool] = lambda _: True,
        counters: core.Counters | core.Missing = core.Missing.UNSET,
    ) -> None:
        """Creates an empty store.

        Args:
            clock: Source of local time.
            is_valid: Returns whether the owner of a record is alive and the
                record may be listed. It is called with the lock held, so it
                must not call the store.
            counters: Receives `membership.callbacks_failed`.
        """
        self._counters = counters
        self._clock = clock
        self._is_valid = is_valid
        self._lock = threading.RLock()
        self._index = _record_index.RecordIndex()
        self._stamp = 0
        self._callbacks: dict[
            _records.RecordKind, list[_soft_state.RecordCallback]
        ] = {kind: [] for kind in _records.RecordKind}

    @property
    def stamp(self) -> int:
        """Stamp of the newest change."""
        with self._lock:
            return self._stamp

    def merge(
        self,
        record: _records.Record,
        ttl_s: float = math.inf,
        source: str = "",
    ) -> bool:
        """Stores a record if it is newer than the stored one of its key."""
        with self._lock:
            stored = self._index.get(record.key)
            if stored and stored.record.order >= record.order:
                if stored.record.order == record.order and source:
                    stored.known_by |= {source}
                return False
            if not stored and len(self._index) >= MAX_RECORDS:
                return False
            if record.removed:
                ttl_s = min(ttl_s, TOMBSTONE_S)
            was_visible = bool(stored and stored.visible)
            visible = self._store(record, ttl_s, source).visible
        if visible:
            self._notify(record)
        elif was_visible:
            self._notify(dataclasses.replace(record, removed=True))
        return True

    def records(
        self, kind: _records.RecordKind
    ) -> Mapping[str, _records.Record]:
        """Returns the visible records of a kind by id."""
        now_s = self._clock.now()
        with self._lock:
            return {
                stored.record.id: stored.record
                for stored in self._index.of_kind(kind)
                if stored.visible and stored.expires_s > now_s
            }

    def latest(self, key: _record_index.Key) -> _records.Record | core.Missing:
        """Returns the newest record of a key, even if it is a removal."""
        with self._lock:
            stored = self._index.get(key)
            return stored.record if stored else core.Missing.UNSET

    def age_s(self, key: _record_index.Key) -> float:
        """Returns the seconds since the newest record of a key arrived."""
        with self._lock:
            stored = self._index.get(key)
            return self._clock.now() - stored.arrived_s if stored else math.inf

    def is_known_elsewhere(self, key: _record_index.Key) -> bool:
        """Whether a peer has sent or acknowledged the newest record of a key.

        Also true if there is no record.
        """
        with self._lock:
            stored = self._index.get(key)
            return stored is None or bool(stored.known_by)

    def digests(self) -> Digests:
        """Returns the digests of the current content."""
        with self._lock:
            return Digests(tuple(self._index.digests), self._stamp)

    def compare(self, digests: Sequence[int]) -> StoreDifference:
        """Compares the store with the digests of another store.

        Args:
            digests: Digest of each bucket. With another number of buckets,
                all buckets count as different.
        """
        own = self.digests()
        if len(digests) != len(own.by_bucket):
            return StoreDifference(
                frozenset(range(len(own.by_bucket))), own.stamp
            )
        return StoreDifference(
            frozenset(
                bucket
                for bucket, (own_digest, other_digest) in enumerate(
                    zip(own.by_bucket, digests, strict=True)
                )
                if own_digest != other_digest
            ),
            own.stamp,
        )

    def changes_since(
        self,
        stamp: int,
        exclude_known_by: str,
        limit: int,
        owner: str = "",
        differing: StoreDifference | core.Missing = core.Missing.UNSET,
        max_bytes: int = MAX_MESSAGE_BYTES,
    ) -> Changes:
        """Returns the changes after `stamp`, oldest first, for one message.

        Args:
            stamp: Stamp of the newest change that the reader already has.
            exclude_known_by: Leaves out records that this peer sent or
                acknowledged; empty to include all.
            limit: Maximum number of records to return.
            owner: Returns only records of this owner; empty for all owners.
            differing: Leaves out records that it does not cover; unset if the
                stores were not compared.
            max_bytes: Maximum size of the returned records, unless a single one
                exceeds it.
        """
        with self._lock:
            newer = []
            for stored in self._index.newest_first():
                if stored.stamp <= stamp:
                    break
                if owner and stored.record.owner != owner:
                    continue
                if not (
                    isinstance(differing, core.Missing)
                    or differing.covers(stored)
                ):
                    continue
                if exclude_known_by not in stored.known_by:
                    newer.append(stored)
            newest_stamp = self._stamp
        newer.reverse()
        limit = min(limit, _fitting_count(newer, max_bytes))
        if len(newer) <= limit:
            return Changes(tuple(newer), newest_stamp, False)
        return Changes(tuple(newer[:limit]), newer[limit - 1].stamp, True)

    def mark_known(
        self, sent: Iterable[_record_index.StoredRecord], peer: str
    ) -> None:
        """Marks records as acknowledged by a peer, unless changed since."""
        with self._lock:
            for item in sent:
                stored = self._index.get(item.record.key)
                if stored and stored.stamp == item.stamp:
                    stored.known_by |= {peer}

    def clear_known(self, peer: str) -> None:
        """Clears the acknowledgements of a peer that may have lost state."""
        if not peer:
            return
        with self._lock:
            for stored in self._index:
                if peer in stored.known_by:
                    stored.known_by -= {peer}

    def expire(self) -> None:
        """Replaces expired records by tombstones and drops old tombstones.

        The tombstone is needed because another instance may still store the
        record and send it again.
        """
        now_s = self._clock.now()
        with self._lock:
            expired = self._index.expired(now_s)
            for stored in expired:
                self._expire_one(stored, now_s)
        for stored in expired:
            if stored.visible:
                self._notify(dataclasses.replace(stored.record, removed=True))

    def update_visibility(self, owner: str) -> None:
        """Updates the visibility of an owner's records to its current state."""
        changed = []
        with self._lock:
            for stored in self._index.of_owner(owner):
                visible = self._is_visible(stored.record)
                if visible != stored.visible:
                    stored.visible = visible
                    changed.append((stored.record, visible))
        for record, visible in changed:
            self._notify(dataclasses.replace(record, removed=not visible))

    def purge(
        self, should_drop: Callable[[_record_index.StoredRecord], bool]
    ) -> int:
        """Drops records without leaving tombstones; returns how many."""
        with self._lock:
            dropped = [stored for stored in self._index if should_drop(stored)]
            for stored in dropped:
                self._index.drop(stored.record.key)
        for stored in dropped:
            if stored.visible:
                self._notify(dataclasses.replace(stored.record, removed=True))
        return len(dropped)

    def republish(self, owner: str, old_epoch: int, new_epoch: int) -> None:
        """Publishes an owner's records of one epoch again in a new epoch.

        Args:
            owner: Owner of the records. Its member record is left out.
            old_epoch: Epoch of the records to publish again.
            new_epoch: Also becomes the incarnation of the records that the
                owner orders itself.
        """
        now_s = self._clock.now()
        with self._lock:
            old_records = [
                stored
                for stored in self._index.of_owner(owner)
                if stored.record.epoch == old_epoch
                and stored.record.kind is not _records.RecordKind.MEMBER
            ]
            republished = [
                (_with_epoch(stored.record, new_epoch), stored)
                for stored in old_records
            ]
        for record, stored in republished:
            self.merge(record, stored.expires_s - now_s)

    def subscribe(
        self, kind: _records.RecordKind, callback: _soft_state.RecordCallback
    ) -> None:
        """Registers a callback for changes of records of this kind."""
        with self._lock:
            self._callbacks[kind].append(callback)

    def _store(
        self, record: _records.Record, ttl_s: float, source: str
    ) -> _record_index.StoredRecord:
        now_s = self._clock.now()
        self._stamp += 1
        stored = _record_index.StoredRecord(
            record=record,
            expires_s=now_s + ttl_s,
            arrived_s=now_s,
            stamp=self._stamp,
            known_by=frozenset({source} - {""}),
            visible=self._is_visible(record),
        )
        self._index.put(stored)
        return stored

    def _expire_one(
        self, stored: _record_index.StoredRecord, now_s: float
    ) -> None:
        if stored.record.removed:
            self._index.drop(stored.record.key)
            return
        tombstone = dataclasses.replace(
            stored.record, removed=True, payload=b""
        )
        # Keeps the stamp, so that the tombstone is no change to send to peers:
        # every instance expires the record by itself.
        self._index.replace(
            dataclasses.replace(
                stored,
                record=tombstone,
                expires_s=now_s + TOMBSTONE_S,
                visible=False,
            )
        )

    def _is_visible(self, record: _records.Record) -> bool:
        return not record.removed and self._is_valid(record)

    def _notify(self, record: _records.Record) -> None:
        with self._lock:
            callbacks = tuple(self._callbacks[record.kind])
        for callback in callbacks:
            try:
                callback(record)
            except Exception:
                # The callback may be unable to read what another writer has
                # published. The other callbacks and records must still be
                # handled, and the exchange that brought them must not fail.
                logging.exception(
                    "callback for %s record %r of %r failed",
                    record.kind.value,
                    record.id,
                    record.owner,
                )
                if not isinstance(self._counters, core.Missing):
                    self._counters.increment("membership.callbacks_failed")


def _fitting_count(
    stored_records: list[_record_index.StoredRecord], max_bytes: int
) -> int:
    """Returns how many of the first records fit into a message; at least 1."""
    size = 0
    for count, stored in enumerate(stored_records):
        record = stored.record
        size += (
            len(record.payload)
            + len(record.id.encode())
            + len(record.owner.encode())
            + _RECORD_OVERHEAD_BYTES
        )
        if count and size > max_bytes:
            return count
    return max(1, len(stored_records))


def _with_epoch(record: _records.Record, epoch: int) -> _records.Record:
    if record.kind in _records.EXTERNALLY_ORDERED:
        return dataclasses.replace(record, epoch=epoch)
    return dataclasses.replace(record, epoch=epoch, incarnation=epoch)
