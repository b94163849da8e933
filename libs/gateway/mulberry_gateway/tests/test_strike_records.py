"""Strikes survive the way through the soft state, also between versions."""

import pytest

import mulberry_core as core
import mulberry_membership as membership
from mulberry_gateway import _strike_records

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
