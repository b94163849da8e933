"""Tests of inactive upstreams: lost ones are abandoned, slow ones are not.

Guards against streams that hang on a lost machine until their callers give
up, and against work that runs twice under load.
"""

import pytest

import mulberry_decisions as decisions


@pytest.mark.parametrize(
    ("inactive_s", "answered_others", "action"),
    [
        (0.5, False, decisions.InactivityAction.WAIT),
        (1.3, False, decisions.InactivityAction.PROBE),
        (4.9, False, decisions.InactivityAction.PROBE),
        (5.1, False, decisions.InactivityAction.ABANDON),
        (9.0, True, decisions.InactivityAction.PROBE),
    ],
)
def test_next_action(
    inactive_s: float, answered_others: bool, action: decisions.InactivityAction
) -> None:
    policy = decisions.InactivityPolicy(expected_s=2.0)
    assert policy.next_action(inactive_s, answered_others) is action


@pytest.mark.parametrize(
    ("stalled_s", "abandoned"), [(0.0, False), (11.9, False), (12.0, True)]
)
def test_a_stalled_upstream_is_abandoned_later_than_a_silent_one(
    stalled_s: float, abandoned: bool
) -> None:
    """Guards against streams that send occasional bytes for ever."""
    policy = decisions.InactivityPolicy(expected_s=2.0)
    assert policy.is_stalled(stalled_s) is abandoned
