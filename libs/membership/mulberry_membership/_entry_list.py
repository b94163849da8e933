"""Selection of the entry addresses that callers should use."""

import dataclasses
import functools
import json
import math
import random
from collections.abc import Iterable, Mapping, Sequence
from typing import Annotated, Any, ClassVar

import pydantic

import mulberry_core as core
from mulberry_membership import (
    _addresses,
    _record_reader,
    _records,
    _soft_state,
)

#: Loads are rounded to steps of this size for comparison, so that callers are
#: spread over entries with similar load.
_LOAD_STEP = 0.2


#: Limits of numbers, which are added up.
_MAX_LOAD = 1e6
_MAX_REQUESTS = 2**31


def _check_address(address: str) -> str:
    if not _addresses.is_endpoint(address):
        raise ValueError("must be IP:PORT")
    return address


def _check_optional_address(address: str) -> str:
    return address and _check_address(address)


_Requests = Annotated[int, pydantic.Field(ge=0, le=_MAX_REQUESTS)]


@dataclasses.dataclass(frozen=True)
class EntryState:
    """State that an entry publishes to the other instances."""

    #: Applies to payloads, which any instance or another writer encoded.
    __pydantic_config__: ClassVar[pydantic.ConfigDict] = pydantic.ConfigDict(
        strict=True, extra="ignore", allow_inf_nan=False
    )

    #: HTTP address as `IP:PORT`.
    address: Annotated[str, pydantic.AfterValidator(_check_address)]
    zone: str
    #: A leaving entry is no longer offered to callers.
    leaving: bool
    #: Fraction of its streams in use, 0 to 1.
    load: Annotated[float, pydantic.Field(ge=0.0, le=_MAX_LOAD)]
    #: Requests that are running through it.
    running: _Requests = 0
    #: Rows of model, version, and the number of requests that run or found no
    #: upstream.
    wanted: Sequence[tuple[str, str, _Requests]] = ()
    #: Address as `IP:PORT` at which it relays connections to upstreams for
    #: other instances; empty if it does not.
    relay_address: Annotated[
        str, pydantic.AfterValidator(_check_optional_address)
    ] = ""
    #: Whether it reaches most upstreams only over other instances.
    cut_off: bool = False
    #: Rows of service and the rejections in a second that each of its upstreams
    #: withstands, as the upstreams announce to this instance.
    rejection_limits: Sequence[tuple[str, _Requests]] = ()

    def encode(self) -> bytes:
        """Returns the payload of the `entry` soft-state record."""
        return json.dumps(dataclasses.asdict(self)).encode()

    @classmethod
    def decode(cls, payload: bytes) -> "EntryState | core.Missing":
        """Decodes a payload that was encoded by any instance.

        Unknown fields of later versions are ignored, so that payloads stay
        readable during a rolling upgrade. Returns unset if a known field is
        missing or invalid.
        """
        return _decode(payload)


#: Number of cached decoded payloads: two for each instance at the design scale.
#: Callers request the list every second, and decoding 200 entries takes 8 ms.
_CACHED_PAYLOADS = 700


@functools.cache
def _adapter() -> pydantic.TypeAdapter[EntryState]:
    return pydantic.TypeAdapter(EntryState)


@functools.lru_cache(_CACHED_PAYLOADS)
def _decode(payload: bytes) -> EntryState | core.Missing:
    return _record_reader.parse_json(_adapter(), payload)


def read_entries(
    soft_state: _soft_state.SoftState, max_staleness_s: float = math.inf
) -> dict[str, EntryState]:
    """Returns the entries of all instances by record id.

    Args:
        soft_state: Stores the records.
        max_staleness_s: See `read_records`.
    """
    return _record_reader.read_records(
        soft_state,
        _records.RecordKind.ENTRY,
        lambda record: EntryState.decode(record.payload),
        max_staleness_s,
    )


def preferred_entries(
    entries: Iterable[EntryState], zone: str | core.Missing
) -> list[EntryState]:
    """Sorts entries by preference: the caller's zone first, then by load.

    Leaving entries are left out, and so are entries that are cut off from
    upstreams unless there are no others. Entries with similar load are
    shuffled; otherwise all callers would choose the same one until the next
    report.
    """
    staying = [entry for entry in entries if not entry.leaving]
    return sorted(
        [entry for entry in staying if not entry.cut_off] or staying,
        key=lambda entry: (
            entry.zone != zone,
            round(entry.load / _LOAD_STEP),
            random.random(),
        ),
    )


def entry_list_body(
    entries: Iterable[EntryState], zone: str | core.Missing, keep_s: float
) -> Mapping[str, Any]:
    """Returns the JSON content of `GET /v1/entries`."""
    return {
        "entries": [
            {"address": entry.address, "zone": entry.zone}
            for entry in preferred_entries(entries, zone)
        ],
        "keep_s": keep_s,
    }
