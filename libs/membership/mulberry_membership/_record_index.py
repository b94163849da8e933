"""Index of a store's records by key, kind and owner, with bucket digests."""

import collections
import dataclasses
import math
from collections.abc import Iterator, Sequence

import mulberry_core as core
from mulberry_membership import _records

#: Number of digests of a store. With 600 records a bucket contains two or
#: three, so a few changes in transit make two instances exchange few other
#: records. The digests take 1 KB of a message.
DIGEST_BUCKETS = 256

Key = tuple[_records.RecordKind, str]


@dataclasses.dataclass
class StoredRecord:
    """A record with the local metadata of this instance."""

    record: _records.Record
    #: Local time at which the record expires, seconds; infinite for never.
    expires_s: float
    #: Local time at which the record arrived, seconds.
    arrived_s: float
    #: Number of the change that stored the record, increasing in each store.
    stamp: int
    #: Names of the peers that sent or acknowledged the record.
    known_by: frozenset[str]
    #: Whether `RecordStore.records` lists it.
    visible: bool
    #: Bucket whose digest includes the record.
    bucket: int = 0
    #: Contribution to that digest; 0 for a removal.
    digest: int = 0


class RecordIndex:
    """Records in the order of their changes; not thread-safe.

    A lookup by kind or owner takes time proportional to the number of matches.
    With hundreds of instances, scanning all records a few times a second took
    more CPU time than the exchanges.
    """

    def __init__(self) -> None:
        #: Ordered by stamp, oldest change first.
        self._by_key: dict[Key, StoredRecord] = {}
        self._by_kind: dict[_records.RecordKind, dict[Key, StoredRecord]] = {
            kind: {} for kind in _records.RecordKind
        }
        self._by_owner: dict[str, dict[Key, StoredRecord]] = (
            collections.defaultdict(dict)
        )
        self._digests = [0] * DIGEST_BUCKETS
        #: No record expires before this local time, seconds.
        self._next_expiry_s = math.inf

    def __len__(self) -> int:
        """Returns the number of records, including tombstones."""
        return len(self._by_key)

    def __iter__(self) -> Iterator[StoredRecord]:
        """Iterates from the oldest change to the newest."""
        return iter(self._by_key.values())

    def newest_first(self) -> Iterator[StoredRecord]:
        """Iterates from the newest change to the oldest."""
        return reversed(self._by_key.values())

    def get(self, key: Key) -> StoredRecord | None:
        """Returns the stored record of a key, if any."""
        return self._by_key.get(key)

    def of_kind(self, kind: _records.RecordKind) -> Iterator[StoredRecord]:
        """Iterates over the records of a kind."""
        return iter(self._by_kind[kind].values())

    def of_owner(self, owner: str) -> Sequence[StoredRecord]:
        """Returns the records published by an instance."""
        return tuple(self._by_owner.get(owner, {}).values())

    @property
    def digests(self) -> Sequence[int]:
        """Digest of the live records of each bucket."""
        return self._digests

    def put(self, stored: StoredRecord) -> None:
        """Adds a record as the newest change."""
        self.drop(stored.record.key)
        self._set(stored)

    def replace(self, stored: StoredRecord) -> None:
        """Replaces the record of a key without changing its position."""
        self._unlink(self._by_key[stored.record.key])
        self._set(stored)

    def drop(self, key: Key) -> None:
        """Removes the record of a key, if any."""
        stored = self._by_key.pop(key, None)
        if stored is not None:
            self._unlink(stored)

    def expired(self, now_s: float) -> Sequence[StoredRecord]:
        """Returns the records that have expired."""
        if now_s < self._next_expiry_s:
            return ()
        found = [stored for stored in self if stored.expires_s <= now_s]
        self._next_expiry_s = min(
            (stored.expires_s for stored in self if stored.expires_s > now_s),
            default=math.inf,
        )
        return found

    def _set(self, stored: StoredRecord) -> None:
        record = stored.record
        stored.bucket, stored.digest = _digest(record)
        self._digests[stored.bucket] ^= stored.digest
        self._by_key[record.key] = stored
        self._by_kind[record.kind][record.key] = stored
        self._by_owner[record.owner][record.key] = stored
        self._next_expiry_s = min(self._next_expiry_s, stored.expires_s)

    def _unlink(self, stored: StoredRecord) -> None:
        record = stored.record
        self._digests[stored.bucket] ^= stored.digest
        self._by_kind[record.kind].pop(record.key, None)
        of_owner = self._by_owner[record.owner]
        of_owner.pop(record.key, None)
        if not of_owner:
            del self._by_owner[record.owner]


def _digest(record: _records.Record) -> tuple[int, int]:
    """Returns the bucket and digest of a record.

    Tombstones do not count towards digests, because instances drop them at
    different times.
    """
    key = f"{record.kind.value}/{record.id}"
    bucket = core.digest32(key.encode()) % DIGEST_BUCKETS
    if record.removed:
        return bucket, 0
    text = (
        f"{key}/{record.owner}/{record.epoch}/{record.incarnation}"
        f"/{record.sequence}/"
    )
    return bucket, core.digest32(text.encode() + record.payload)
