"""Tests of evacuations in the state machine, its snapshot and its view.

Guards against an acknowledged order that is lost or undone by a late copy of
an earlier one, and against messages that the build before cannot read.
"""

from collections.abc import Mapping
from typing import Any

import pytest

import mulberry_core as core
import mulberry_state as state
from mulberry_state import _view_codec
from mulberry_wire import state_pb2

#: Fields of d25faad, which has no evacuations.
_EARLIER_FIELDS: Mapping[str, Mapping[str, int]] = {
    "StateSnapshot": {
        "format": 1,
        "index": 2,
        "wall_s": 3,
        "log_s": 4,
        "revision": 5,
        "in_effect_revision": 6,
        "in_effect_s": 7,
        "rules_texts": 8,
        "verdicts": 9,
        "rollouts": 10,
        "strikes": 11,
        "voters_by_name": 12,
        "bills": 13,
        "totals": 14,
        "expired": 15,
        "claims": 16,
        "pins": 17,
        "leases": 18,
        "orders": 19,
        "audit": 20,
        "results": 21,
        "short_results": 22,
        "routing": 23,
        "service_rollouts_by_service": 24,
    },
    "ViewMessage": {
        "revision": 1,
        "rules_number": 2,
        "rules_text": 3,
        "verdicts": 4,
        "rollouts": 5,
        "strikes_by_digest": 6,
        "voters_by_name": 7,
        "routing": 8,
        "service_rollouts_by_service": 9,
        "strikes": 10,
    },
    "Command": {
        "submit_rules": 1,
        "claim_call": 2,
        "settle_claim": 3,
        "release_claim": 4,
        "record_bill": 5,
        "pin_session": 6,
        "record_verdict": 7,
        "advance_rollout": 8,
        "record_crash": 9,
        "clear_strikes": 10,
        "acquire_lease": 11,
        "record_order": 12,
        "replace_routing": 13,
        "begin_service_rollout": 14,
        "move_service_rollout": 15,
    },
    "Result": {
        "rules_accepted": 1,
        "rules_conflict": 2,
        "rules_rejected": 3,
        "claim_granted": 4,
        "claim_recorded": 5,
        "claim_open": 6,
        "claim_mismatch": 7,
        "claim_settled": 8,
        "claim_released": 9,
        "claim_lost": 10,
        "bill_recorded": 11,
        "bill_mismatch": 12,
        "session_pinned": 13,
        "verdict_recorded": 14,
        "verdict_stale": 15,
        "rollout_advanced": 16,
        "rollout_stale": 17,
        "crash_recorded": 18,
        "strikes_cleared": 19,
        "lease_granted": 20,
        "lease_held": 21,
        "order_recorded": 22,
        "lease_lost": 23,
        "routing_replaced": 24,
        "service_rollout_begun": 25,
        "service_rollout_moved": 26,
    },
}


def _change(
    client: state.StateClient,
    is_evacuated: bool,
    after_number: int,
    zone: str = "gent",
) -> state.EvacuationChanged:
    result = client.propose(
        state.ChangeEvacuation(
            state.new_command_id(), zone, is_evacuated, "operator", after_number
        ),
        1.0,
    )
    assert isinstance(result, state.EvacuationChanged)
    return result


def test_a_repeated_order_changes_nothing(
    client: state.LocalStateClient, clock: core.ManualClock
) -> None:
    """Guards against a retry that counts as a second order."""
    began_s = clock.wall()
    assert _change(client, True, 0) == state.EvacuationChanged(True, 1, True)
    view = client.view()
    clock.advance(5.0)
    for after_number in (0, 1):
        assert _change(client, True, after_number) == state.EvacuationChanged(
            False, 1, True
        )
    assert client.view() == view
    assert view.evacuations_by_zone == {
        "gent": state.Evacuation(1, True, began_s)
    }
    assert _change(client, False, 1) == state.EvacuationChanged(True, 2, False)
    assert _change(client, False, 1) == state.EvacuationChanged(False, 2, False)
    assert client.view().evacuations_by_zone == {
        "gent": state.Evacuation(2, False, began_s + 5.0)
    }


def test_an_end_without_an_evacuation_changes_nothing(
    client: state.LocalStateClient,
) -> None:
    """Guards against entries of zones that were never evacuated."""
    assert _change(client, False, 0) == state.EvacuationChanged(False, 0, False)
    assert not client.view().evacuations_by_zone
    assert client.view().revision == 0


@pytest.mark.parametrize("is_evacuated", [False, True])
def test_a_late_copy_cannot_undo_a_later_order(
    client: state.LocalStateClient, is_evacuated: bool
) -> None:
    """Guards against requests to a zone whose evacuation is acknowledged.

    An order that was given up after its timeout may still arrive once a
    connection works again, after further orders were acknowledged.
    """
    numbers = [_change(client, True, 0).number]
    if is_evacuated:
        numbers.append(_change(client, False, numbers[-1]).number)
    base = numbers[-1]
    # The order was acknowledged when it was sent again, and then reversed.
    for state_of_zone in (is_evacuated, not is_evacuated) * 2:
        _change(client, state_of_zone, numbers[-1])
        numbers.append(client.view().evacuations_by_zone["gent"].number)
    before = client.view().evacuations_by_zone["gent"]
    assert before.is_evacuated is not is_evacuated
    late = _change(client, is_evacuated, base)
    assert late == state.EvacuationChanged(
        False, before.number, before.is_evacuated
    )
    assert client.view().evacuations_by_zone["gent"] == before


def test_changes_are_in_the_audit_trail(client: state.LocalStateClient) -> None:
    """Guards against an evacuation of which nobody knows who ordered it."""
    _change(client, True, 0)
    _change(client, True, 0)
    _change(client, False, 1)
    assert [
        (record.who, record.what) for record in client.machine.audit.records()
    ] == [
        ("operator", "evacuation of zone gent started, change 1"),
        ("operator", "evacuation of zone gent ended, change 2"),
    ]


def test_snapshots_and_views_keep_evacuations(
    client: state.LocalStateClient, parser: state.RulesParser
) -> None:
    """Guards against an evacuation that a snapshot or a renewal loses."""
    _change(client, True, 0)
    _change(client, False, 1)
    _change(client, True, 0, zone="Brügge / 2")
    expected = client.view().evacuations_by_zone
    assert len(expected) == 2
    restored = state.StateMachine(parser)
    restored.restore(client.machine.snapshot())
    assert restored.view.evacuations_by_zone == expected
    message = _view_codec.encode_view(client.view(), 0)
    decoded = _view_codec.decode_view(message, state.EMPTY_VIEW, parser)
    assert decoded.evacuations_by_zone == expected


def test_messages_of_the_build_before_are_read(
    client: state.LocalStateClient, parser: state.RulesParser
) -> None:
    """Guards against an upgrade after which a voter or instance cannot start."""
    client.propose(
        state.ReplaceRouting(state.new_command_id(), 4, b"four", "operator"),
        1.0,
    )
    snapshot = state_pb2.StateSnapshot.FromString(client.machine.snapshot())
    _change(client, True, 0)
    assert not snapshot.evacuations_by_zone
    restored = state.StateMachine(parser)
    restored.restore(snapshot.SerializeToString())
    assert restored.view.routing.version == 4
    assert restored.view.evacuations_by_zone == {}
    message = _view_codec.encode_view(client.view(), 0)
    message.ClearField("evacuations_by_zone")
    decoded = _view_codec.decode_view(message, state.EMPTY_VIEW, parser)
    assert decoded.routing.version == 4
    assert decoded.evacuations_by_zone == {}


@pytest.mark.parametrize("name", _EARLIER_FIELDS)
def test_fields_of_the_build_before_are_unchanged(name: str) -> None:
    """Guards against a number with another meaning in the build before."""
    descriptor: Any = getattr(state_pb2, name).DESCRIPTOR
    numbers = {field.name: field.number for field in descriptor.fields}
    earlier = _EARLIER_FIELDS[name]
    assert {field: numbers.get(field) for field in earlier} == earlier
    new = {n for field, n in numbers.items() if field not in earlier}
    assert not new & set(earlier.values())
