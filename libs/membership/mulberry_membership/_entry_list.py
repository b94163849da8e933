"""Selection of the entry addresses that callers should use."""

import dataclasses
import functools
import json
import random
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import mulberry_core as core

#: Loads are rounded to steps of this size for comparison, so that callers are
#: spread over entries with similar load.
_LOAD_STEP = 0.2


@dataclasses.dataclass(frozen=True)
class EntryState:
    """State that an entry publishes to the other instances."""

    #: HTTP address as `IP:PORT`.
    address: str
    zone: str
    #: A leaving entry is no longer offered to callers.
    leaving: bool
    #: Fraction of its streams in use, 0 to 1.
    load: float
    #: Requests that are running through it.
    running: int = 0
    #: Rows of model, version, and the number of requests that run or found no
    #: upstream.
    wanted: Sequence[tuple[str, str, int]] = ()
    #: Rows of service and the rejections in a second that each of its upstreams
    #: withstands, as the upstreams announce to this instance.
    rejection_limits: Sequence[tuple[str, int]] = ()

    def encode(self) -> bytes:
        """Returns the payload of the `entry` soft-state record."""
        return json.dumps(dataclasses.asdict(self)).encode()

    @classmethod
    def decode(cls, payload: bytes) -> "EntryState":
        """Decodes a payload that was encoded by any instance.

        Unknown fields of later versions are ignored, so that payloads stay
        readable during a rolling upgrade.
        """
        return _decode(payload)


#: Number of cached decoded payloads: two for each instance at the design scale.
#: Callers request the list every second, and decoding 200 entries takes 8 ms.
_CACHED_PAYLOADS = 700


@functools.lru_cache(_CACHED_PAYLOADS)
def _decode(payload: bytes) -> EntryState:
    known = {field.name for field in dataclasses.fields(EntryState)}
    content = json.loads(payload)
    return EntryState(**{key: content[key] for key in known & content.keys()})


def preferred_entries(
    entries: Iterable[EntryState], zone: str | core.Missing
) -> list[EntryState]:
    """Sorts entries by preference: the caller's zone first, then by load.

    Leaving entries are left out. Entries with similar load are shuffled;
    otherwise all callers would choose the same one until the next report.
    """
    return sorted(
        (entry for entry in entries if not entry.leaving),
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
