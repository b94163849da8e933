"""Encoding of records in the peer protocol."""

import math

import mulberry_core as core
from mulberry_membership import _record_index, _records
from mulberry_wire import peer_pb2

#: Limits for one record; received records above a limit are dropped.
MAX_PAYLOAD_BYTES = 32_768
MAX_NAME_LENGTH = 512
_MAX_TTL_MS = 2**32 - 1
#: Limit of epochs, and of the numbers that an instance answers with higher ones
#: of its own. It is far above every Unix time in milliseconds, and higher
#: numbers must still fit the message.
MAX_EPOCH = 2**62
#: Limit of all other numbers; announcements of upstreams may have any of these.
_MAX_NUMBER = 2**63 - 1

_WIRE_BY_KIND = {
    kind: number for number, kind in enumerate(_records.RecordKind, start=1)
}
_KIND_BY_WIRE = {number: kind for kind, number in _WIRE_BY_KIND.items()}


def to_wire(
    stored: _record_index.StoredRecord, now_s: float, wire: peer_pb2.WireRecord
) -> None:
    """Encodes a stored record into `wire`."""
    record = stored.record
    wire.kind = _WIRE_BY_KIND[record.kind]  # type: ignore[assignment]
    wire.id = record.id
    wire.owner = record.owner
    wire.epoch = record.epoch
    wire.incarnation = record.incarnation
    wire.sequence = record.sequence
    wire.payload = record.payload
    wire.removed = record.removed
    wire.urgent = record.urgent
    if not math.isinf(stored.expires_s):
        remaining_ms = int((stored.expires_s - now_s) * 1000)
        wire.ttl_ms = max(1, min(remaining_ms, _MAX_TTL_MS))


def from_wire(
    wire: peer_pb2.WireRecord,
) -> tuple[_records.Record, float] | core.Missing:
    """Decodes a record and its time to live in seconds.

    Returns unset if the record is invalid, exceeds a limit, or is of an unknown
    kind, which a later version may send. Numbers near the end of their range
    are invalid: an instance refutes a suspicion, or overrules a record of its
    earlier process, with the next number, which would not fit any message.
    """
    kind = _KIND_BY_WIRE.get(wire.kind)
    if kind is None or not wire.id or not wire.owner:
        return core.Missing.UNSET
    if max(len(wire.id), len(wire.owner)) > MAX_NAME_LENGTH:
        return core.Missing.UNSET
    if len(wire.payload) > MAX_PAYLOAD_BYTES:
        return core.Missing.UNSET
    if not _has_valid_numbers(kind, wire):
        return core.Missing.UNSET
    record = _records.Record(
        kind=kind,
        id=wire.id,
        owner=wire.owner,
        epoch=wire.epoch,
        incarnation=wire.incarnation,
        sequence=wire.sequence,
        payload=wire.payload,
        removed=wire.removed,
        urgent=wire.urgent,
    )
    return record, wire.ttl_ms / 1000 if wire.ttl_ms else math.inf


def _has_valid_numbers(
    kind: _records.RecordKind, wire: peer_pb2.WireRecord
) -> bool:
    is_answered = (
        kind is _records.RecordKind.SUSPICION
        or kind not in _records.EXTERNALLY_ORDERED
    )
    limit = MAX_EPOCH if is_answered else _MAX_NUMBER
    return wire.epoch <= MAX_EPOCH and (
        max(wire.incarnation, wire.sequence) <= limit
    )
