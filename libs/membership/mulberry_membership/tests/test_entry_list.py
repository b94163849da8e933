"""Tests of entry records that no instance of this version would write."""

import json
from typing import Any

import pytest

import mulberry_core as core
import mulberry_membership as membership

ENTRY = membership.RecordKind.ENTRY
SOUND = membership.EntryState(
    "10.0.0.1:80",
    "gent",
    leaving=False,
    load=0.5,
    wanted=[("m", "v", 3)],
    rejection_limits=[],
)
FIELDS: dict[str, Any] = json.loads(SOUND.encode())

ODD_PAYLOADS = {
    "empty": b"",
    "no JSON": b"\x00\xff",
    "truncated": SOUND.encode()[:-1],
    "no object": b"[]",
    "null": b"null",
    "nested": b"[" * 30_000,
    "nested, complete": b'{"a":' * 3_000 + b"1" + b"}" * 3_000,
    "many digits": SOUND.encode().replace(b"0.5", b"9" * 5_000),
    "surrogate": SOUND.encode().replace(b"gent", rb"\ud800"),
    "NaN": SOUND.encode().replace(b"0.5", b"NaN"),
    "infinity": SOUND.encode().replace(b"0.5", b"Infinity"),
    "too large": SOUND.encode().replace(b"0.5", b"1e400"),
    "no UTF-8": SOUND.encode().replace(b"gent", b"\xff"),
    **{
        f"{name} {value!r:.20}": json.dumps({**FIELDS, name: value}).encode()
        for name, value in [
            ("address", 7),
            ("address", "10.0.0.1:99999"),
            ("address", "999.1.1.1:80"),
            ("address", "10.0.0.1:80\r\n"),
            ("zone", None),
            ("zone", ["gent"]),
            ("leaving", "no"),
            ("load", "0.5"),
            ("load", -1),
            ("load", 1e308),
            ("load", 10**400),
            ("load", True),
            ("relay_address", "10.0.0.1:0"),
            ("relay_address", 7),
            ("cut_off", "no"),
            ("rejection_limits", [["s"]]),
            ("rejection_limits", [["s", -1]]),
            ("rejection_limits", [["s", 10**30]]),
            ("running", 10**30),
            ("running", -1),
            ("running", 0.5),
            ("wanted", {"m": 1}),
            ("wanted", [["m", "v"]]),
            ("wanted", [["m", "v", "3"]]),
            ("wanted", [["m", "v", 10**30]]),
            ("wanted", [[["m"], "v", 3]]),
        ]
    },
    **{
        f"no {name}": json.dumps(
            {key: value for key, value in FIELDS.items() if key != name}
        ).encode()
        for name in ("address", "zone", "leaving", "load")
    },
}


@pytest.mark.parametrize("payload", ODD_PAYLOADS.values(), ids=ODD_PAYLOADS)
def test_odd_entry_hides_no_other(
    payload: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against one odd entry that leaves callers without any address.

    Each look-up failed while the record was there, and so did the tasks that
    read the list.
    """
    state = membership.LocalSoftState("own", core.ManualClock())
    state.publish(ENTRY, "odd", payload)
    state.publish(ENTRY, "sound", SOUND.encode())
    caplog.clear()
    for _ in range(3):
        entries = membership.read_entries(state)
        assert entries == {"sound": SOUND}
        assert membership.preferred_entries(entries.values(), "gent") == [SOUND]
        assert membership.entry_list_body(entries.values(), "gent", 1.0)[
            "entries"
        ] == [{"address": SOUND.address, "zone": "gent"}]
    lines = [line for line in caplog.messages if "cannot be read" in line]
    assert len(lines) == 1
    assert "'odd'" in lines[0]


def test_entry_of_another_version_is_read() -> None:
    """Guards against entries that are left out during a rolling upgrade."""
    old = {k: FIELDS[k] for k in ("address", "zone", "leaving", "load")}
    new = {**FIELDS, "relay_address": "10.0.0.1:81", "later": {"a": [1e400]}}
    for fields in (old, new):
        decoded = membership.EntryState.decode(json.dumps(fields).encode())
        assert isinstance(decoded, membership.EntryState)
        assert decoded.address == SOUND.address


def test_entries_of_unreachable_owners_are_left_out() -> None:
    """Guards against addresses of lost instances in the list for callers."""
    state = _StaleState("own", core.ManualClock())
    state.publish(ENTRY, "sound", SOUND.encode())
    assert membership.read_entries(state) == {"sound": SOUND}
    assert membership.read_entries(state, max_staleness_s=0.0) == {}


def test_changed_odd_record_is_reported_again() -> None:
    """Guards against silence about a writer that goes on."""
    counters = core.MemoryCounters()
    clock = core.ManualClock(1_000.0)
    network = membership.FakeNetwork(clock)
    state = membership.Membership(
        "own", "a", "z", "r", (), network.transport("a"), clock, counters
    )
    for payload in (b"1", b"1", b"2"):
        state.publish(ENTRY, "odd", payload)
        for _ in range(2):
            assert membership.read_entries(state) == {}
    assert counters.count("membership.unreadable_records") == 3


class _StaleState(membership.LocalSoftState):
    def staleness_s(self, owner: str) -> float:
        return 0.5
