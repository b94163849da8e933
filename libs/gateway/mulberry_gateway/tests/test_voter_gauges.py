"""Guards against a group without fault tolerance that no metric shows."""

import math
import types
from typing import cast

import pytest

import mulberry_core as core
import mulberry_state as state
from mulberry_gateway import _voter_gauges

_UNSET = core.Missing.UNSET


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        pytest.param(
            state.GroupStatus(4, 0.1, 2, -1),
            {
                "state.voters": 4.0,
                "state.leaderless_s": 0.1,
                "state.voters_answering": 2.0,
                "state.tolerated_losses": -1.0,
            },
            id="leader",
        ),
        pytest.param(
            state.GroupStatus(3, 7.0, _UNSET, _UNSET),
            {
                "state.voters": 3.0,
                "state.leaderless_s": 7.0,
                "state.voters_answering": math.nan,
                "state.tolerated_losses": math.nan,
            },
            id="no leader",
        ),
    ],
)
def test_gauges(status: state.GroupStatus, expected: dict[str, float]) -> None:
    counters = core.MemoryCounters()
    node = types.SimpleNamespace(group_status=lambda: status)
    _voter_gauges.VoterGauges(cast(state.StateNode, node), counters).record()
    found = counters.snapshot()
    assert found == pytest.approx(expected, nan_ok=True)
