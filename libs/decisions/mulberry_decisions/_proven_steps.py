"""Rollout steps that require evidence."""

from mulberry_decisions import _rollout, _versions


class ProvenSteps(_rollout.RolloutAdvancer):
    """Advances on time and evidence, and rolls back on a bad verdict."""

    def advise(self, state: _rollout.RolloutState) -> _rollout.RolloutAdvice:
        """Checks the last verdict first, then the hold, evidence and time."""
        if state.health is _versions.VersionHealth.BAD:
            return _roll_back(state, _rollout.NO_STEP, "version held to be bad")
        if (
            state.health is _versions.VersionHealth.PROBATION
            and state.step != 0
        ):
            return _rollout.RolloutAdvice(
                _rollout.RolloutAction.BACK
                if state.step > 0
                else _rollout.RolloutAction.FORWARD,
                0,
                "probation begins on the first step",
            )
        reason = _hold_reason(state)
        if reason:
            return _rollout.RolloutAdvice(
                _rollout.RolloutAction.HOLD, state.step, reason
            )
        return _rollout.RolloutAdvice(
            _rollout.RolloutAction.FORWARD,
            state.step + 1,
            "first step" if state.step < 0 else "as good as the old version",
        )


def _roll_back(
    state: _rollout.RolloutState, step: int, reason: str
) -> _rollout.RolloutAdvice:
    action = (
        _rollout.RolloutAction.HOLD
        if state.step == step
        else _rollout.RolloutAction.BACK
    )
    return _rollout.RolloutAdvice(action, step, reason)


def _hold_reason(state: _rollout.RolloutState) -> str:
    """Returns why the rollout stays at its step, empty if it may advance."""
    if state.held:
        return "held by the rules"
    if state.step + 1 >= len(state.steps):
        return "on the last step"
    if state.step == _rollout.NO_STEP:
        return ""
    if state.health is _versions.VersionHealth.PROBATION:
        return "on probation"
    if not state.proven:
        return f"{state.exposed} requests do not prove the version yet"
    if state.step_age_s < state.step_s:
        return "step time has not passed"
    return ""
