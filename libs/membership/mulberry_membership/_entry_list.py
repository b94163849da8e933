"""Which entry addresses callers should use."""

import dataclasses
import functools
import json
import random
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import mulberry_core as core

#: Loads are compared in steps of this size, so that callers spread over
#: entries that are about equally loaded.
_LOAD_STEP = 0.2


@dataclasses.dataclass(frozen=True)
class EntryState:
    """What an entry tells the others about itself."""

    #: HTTP address as `IP:PORT`.
    address: str
    zone: str
    #: A leaving entry is not given to callers any more.
    leaving: bool
    #: Share of its streams in use, 0 to 1.
    load: float
    #: Requests that run through it now.
    running: int = 0
    #: Rows of model, version and how many requests run or found no upstream.
    wanted: Sequence[tuple[str, str, int]] = ()

    def encode(self) -> bytes:
        """Returns the payload of the `entry` soft-state record."""
        return json.dumps(dataclasses.asdict(self)).encode()

    @classmethod
    def decode(cls, payload: bytes) -> "EntryState":
        """Returns the state in a payload that another instance encoded.

        Fields of later versions are left out, so that a list stays readable
        while instances are upgraded one by one.
        """
        return _decode(payload)


#: Payloads remembered: two for each instance at the design size. Callers ask
#: for the list each second, and decoding 200 entries takes 8 ms.
_CACHED_PAYLOADS = 700


@functools.lru_cache(_CACHED_PAYLOADS)
def _decode(payload: bytes) -> EntryState:
    known = {field.name for field in dataclasses.fields(EntryState)}
    content = json.loads(payload)
    return EntryState(**{key: content[key] for key in known & content.keys()})


def preferred_entries(
    entries: Iterable[EntryState], zone: str | core.Missing
) -> list[EntryState]:
    """Orders entries: the caller's zone first, then by load.

    Entries that are about equally good come in random order, or all callers
    would choose the same one until the next report.
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
