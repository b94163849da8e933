"""The records of a store, and the ways in which they are looked up."""

import collections
import dataclasses
import math
from collections.abc import Iterator, Sequence

import mulberry_core as core
from mulberry_membership import _records

#: Digests of a store. With 600 records a bucket holds two or three, so that a
#: few changes on their way make two instances exchange few other records; the
#: digests take 1 KB of a message.
DIGEST_BUCKETS = 256

Key = tuple[_records.RecordKind, str]


@dataclasses.dataclass
class StoredRecord:
    """A record with what this instance alone knows of it."""

    record: _records.Record
    #: Local time at which the record expires, seconds; may be infinite.
    expires_s: float
    #: Local time at which the record arrived, seconds.
    arrived_s: float
    #: Number of the change that stored the record.
    stamp: int
    #: Peers that sent the record or acknowledged it.
    known_by: frozenset[str]
    #: Whether `records` lists it.
    visible: bool
    #: The bucket whose digest the record is part of.
    bucket: int = 0
    #: Part of that digest; 0 for a removal.
    digest: int = 0


class RecordIndex:
    """Keeps records in the order of their changes; not thread-safe.

    Looking up a kind or an owner takes time in proportion to what is found:
    with hundreds of instances a scan of all records, a few times a second,
    took more processor time than the exchanges.
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
        """Returns the number of records, removals included."""
        return len(self._by_key)

    def __iter__(self) -> Iterator[StoredRecord]:
        """Iterates from the oldest change to the newest."""
        return iter(self._by_key.values())

    def newest_first(self) -> Iterator[StoredRecord]:
        """Iterates from the newest change to the oldest."""
        return reversed(self._by_key.values())

    def get(self, key: Key) -> StoredRecord | None:
        """Returns what is held of a key."""
        return self._by_key.get(key)

    def of_kind(self, kind: _records.RecordKind) -> Iterator[StoredRecord]:
        """Iterates over the records of a kind."""
        return iter(self._by_kind[kind].values())

    def of_owner(self, owner: str) -> Sequence[StoredRecord]:
        """Returns the records that an instance has published."""
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
        """Changes what is held of a key; its place in the order stays."""
        self._unlink(self._by_key[stored.record.key])
        self._set(stored)

    def drop(self, key: Key) -> None:
        """Removes what is held of a key, if anything."""
        stored = self._by_key.pop(key, None)
        if stored is not None:
            self._unlink(stored)

    def expired(self, now_s: float) -> Sequence[StoredRecord]:
        """Returns the records whose time has passed."""
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
    """Returns bucket and digest of a record.

    Removals have no digest: instances drop them at times of their own.
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
