"""Tests of routing documents and service rollouts in the state machine.

Guards against a configuration that goes back to an older version, a document
that changes without a new version, and a rollout that is changed by an outdated
decision.
"""

import pytest

import mulberry_core as core
import mulberry_state as state
from mulberry_state import _view_codec


def _replace(client: state.StateClient, version: int, document: bytes) -> bool:
    result = client.propose(
        state.ReplaceRouting(
            state.new_command_id(), version, document, "Marta Ajú"
        ),
        1.0,
    )
    assert isinstance(result, state.RoutingReplaced)
    return result.changed


def test_the_highest_version_wins(client: state.LocalStateClient) -> None:
    assert _replace(client, 4, b"four")
    for version in (4, 3):
        assert not _replace(client, version, b"other")
        assert client.view().routing == state.RoutingDocument(4, b"four")
    assert _replace(client, 9, b"nine")
    assert client.view().routing.version == 9


def test_a_rollout_is_begun_once_and_ends_once(
    client: state.LocalStateClient,
) -> None:
    def begin(target: str) -> int:
        result = client.propose(
            state.BeginServiceRollout(
                state.new_command_id(), "pool", target, 24.0
            ),
            1.0,
        )
        assert isinstance(result, state.ServiceRolloutBegun)
        return result.number

    def move(number: int, phase: state.RolloutPhase, share: float) -> bool:
        result = client.propose(
            state.MoveServiceRollout(
                state.new_command_id(), "pool", number, phase, share, "test"
            ),
            1.0,
        )
        assert isinstance(result, state.ServiceRolloutMoved)
        return result.changed

    assert begin("v2") == begin("v2") == 1
    assert move(1, state.RolloutPhase.RUNNING, 0.1)
    assert move(1, state.RolloutPhase.ROLLED_BACK, 0.0)
    # A decision made before the rollout ended has no effect.
    assert not move(1, state.RolloutPhase.COMPLETED, 1.0)
    assert begin("v2") == 1
    assert begin("v3") == 2
    assert not move(1, state.RolloutPhase.COMPLETED, 1.0)
    rollout = client.view().service_rollouts_by_service["pool"]
    assert (rollout.target, rollout.phase) == (
        "v3",
        state.RolloutPhase.RUNNING,
    )


def test_snapshots_and_views_keep_both(
    client: state.LocalStateClient, parser: state.RulesParser
) -> None:
    _replace(client, 4, b"x" * 10_000)
    client.propose(
        state.BeginServiceRollout(state.new_command_id(), "pool", "v2", 9.0),
        1.0,
    )
    restored = state.StateMachine(parser)
    restored.restore(client.machine.snapshot())
    assert restored.view.routing == client.view().routing
    assert (
        restored.view.service_rollouts_by_service
        == client.view().service_rollouts_by_service
    )
    message = _view_codec.encode_view(client.view(), 0)
    assert message.ByteSize() < 1_000
    assert (
        _view_codec.decode_view(message, state.EMPTY_VIEW, parser).routing
        == client.view().routing
    )


@pytest.mark.parametrize("known", [0, 4])
def test_a_known_document_is_not_sent_again(
    client: state.LocalStateClient, parser: state.RulesParser, known: int
) -> None:
    _replace(client, 4, b"four")
    message = _view_codec.encode_view(client.view(), 0, known)
    assert bool(message.routing.packed) is (known == 0)
    if known:
        decoded = _view_codec.decode_view(message, client.view(), parser)
        assert decoded.routing.document == b"four"


def test_a_view_ages_while_it_is_not_renewed(
    client: state.LocalStateClient, clock: core.ManualClock
) -> None:
    assert client.view_age_s() == 0.0
    client.stop_renewing()
    clock.advance(1.5)
    assert client.view_age_s() == pytest.approx(1.5)
