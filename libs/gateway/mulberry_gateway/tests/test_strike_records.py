"""Strikes survive the way through the soft state, also between versions."""

import pytest

import mulberry_core as core
import mulberry_membership as membership
import mulberry_state as state
from mulberry_gateway import _strike_records
from mulberry_state import _codec

_PART = _strike_records.part_digest("p")
_KEYS = frozenset({_strike_records.part_key(_PART), "00000001"})


def _record(record_id: str, payload: bytes) -> membership.Record:
    soft_state = membership.LocalSoftState("here", core.ManualClock(0.0))
    soft_state.put(
        membership.RecordKind.STRIKE,
        record_id,
        incarnation=0,
        sequence=_strike_records.StrikeState.SUSPECTED,
        payload=payload,
    )
    return soft_state.records(membership.RecordKind.STRIKE)[record_id]


@pytest.mark.parametrize(
    "subject",
    [
        _strike_records.Subject("00c0"),
        _strike_records.Subject("00c0", part_keys=_KEYS),
        _strike_records.Subject(_PART, "00c0", 3),
        _strike_records.Subject(_PART, "00c0", 3, is_trial=True),
        _strike_records.Subject(_PART, "", 0, was_sound=True),
        _strike_records.Subject(_PART, "", 0, is_trial=True, was_sound=True),
    ],
)
def test_a_strike_is_read_as_it_was_written(
    subject: _strike_records.Subject,
) -> None:
    strike = _strike_records.Strike(
        subject, "w.1", 7, _strike_records.StrikeState.SUSPECTED
    )
    record = _record(strike.record_id, strike.payload)
    assert _strike_records.decode(record) == strike


@pytest.mark.parametrize(
    ("digest", "payload"),
    [
        ("00c0", b""),
        ("00c0", b"\xff"),
        ("00c0", b"later version"),
        (_PART, b""),
        (_PART, b"\xff"),
        (_PART, b"3 00c0 later"),
    ],
)
def test_an_unknown_payload_leaves_the_strike(
    digest: str, payload: bytes
) -> None:
    """Guards against strikes of other versions that are lost or raise."""
    found = _strike_records.decode(_record(f"{digest}/w.1", payload))
    assert isinstance(found, _strike_records.Strike)
    assert found.subject == _strike_records.Subject(digest)


@pytest.mark.parametrize(
    "record_id",
    [
        "00c0",
        "00c0/",
        "00c0/w",
        "00c0/w.",
        "00c0/w.x",
        "00c0/w.-1",
        "00c0/w.\u00b2",
        "00c0/w.\u0663",
        f"00c0/w.{2**63}",
        f"00c0/w.{'9' * 400}",
        "00c0/w\n.1",
        "00c0/\u20ac.1",
        "/w.1",
        "00c0/w.1\n",
    ],
)
def test_an_odd_id_is_no_strike(record_id: str) -> None:
    """Guards against a command that is proposed again for ever.

    An incarnation beyond 64 bits cannot be recorded.
    """
    found = _strike_records.decode(_record(record_id, b""))
    assert found is core.Missing.UNSET


def test_the_highest_incarnation_can_be_recorded() -> None:
    """Guards against a limit above that of the replicated state."""
    found = _strike_records.decode(_record(f"00c0/w.1.{2**63 - 1}", b""))
    assert isinstance(found, _strike_records.Strike)
    assert found.upstream == "w.1"
    client = state.LocalStateClient(
        state.FileRulesParser(), core.ManualClock(0.0)
    )
    command = state.RecordCrash(
        "c", found.upstream, found.incarnation, ("00c0",)
    )
    _codec.decode_command(_codec.encode_command(command))
    assert isinstance(client.propose(command, 1.0), state.CrashRecorded)
