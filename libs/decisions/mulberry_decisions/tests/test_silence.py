"""Silent upstreams: lost ones are left, slow ones are waited for.

Guards against streams that hang at a machine that went dark until their
callers give up, and against work that runs twice under load.
"""

import pytest

import mulberry_decisions as decisions


@pytest.mark.parametrize(
    ("silent_s", "answered_others", "step"),
    [
        (0.5, False, decisions.SilenceStep.WAIT),
        (1.3, False, decisions.SilenceStep.PROBE),
        (4.9, False, decisions.SilenceStep.PROBE),
        (5.1, False, decisions.SilenceStep.LEAVE),
        (9.0, True, decisions.SilenceStep.PROBE),
    ],
)
def test_steps(
    silent_s: float, answered_others: bool, step: decisions.SilenceStep
) -> None:
    policy = decisions.SilencePolicy(expected_s=2.0)
    assert policy.next_step(silent_s, answered_others) is step
