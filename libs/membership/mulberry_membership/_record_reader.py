"""Reads the records of a kind, of which another writer may have written any."""

import math
from collections.abc import Callable
from typing import TypeVar

import pydantic

import mulberry_core as core
from mulberry_membership import _records, _soft_state

_T = TypeVar("_T")


def read_records(
    soft_state: _soft_state.SoftState,
    kind: _records.RecordKind,
    decode: Callable[[_records.Record], _T | core.Missing],
    max_staleness_s: float = math.inf,
) -> dict[str, _T]:
    """Returns the decoded records of a kind by id.

    A record that cannot be decoded is left out and reported; it must not hide
    the others.

    Args:
        soft_state: Stores the records.
        kind: Kind of the records.
        decode: Returns unset if a record cannot be decoded; raises no error.
        max_staleness_s: Leaves out the records of owners whose records may have
            been out of date for longer, seconds.
    """
    decoded_by_id = {}
    for id, record in soft_state.records(kind).items():
        if (
            not math.isinf(max_staleness_s)
            and soft_state.staleness_s(record.owner) > max_staleness_s
        ):
            continue
        decoded = decode(record)
        if isinstance(decoded, core.Missing):
            soft_state.report_unreadable(record)
        else:
            decoded_by_id[id] = decoded
    return decoded_by_id


def parse_json(
    adapter: pydantic.TypeAdapter[_T], payload: bytes
) -> _T | core.Missing:
    """Parses and validates JSON; returns unset if it is invalid.

    Unlike `json.loads`, pydantic limits the depth, and its types the numbers.
    """
    try:
        return adapter.validate_json(payload)
    except pydantic.ValidationError:
        return core.Missing.UNSET
