"""Steps of a rollout: interface and baseline."""

import abc
import dataclasses
import enum

import mulberry_core as core
from mulberry_decisions import _versions

#: Step of a rollout that has not begun or was stopped.
NO_STEP = -1


class RolloutAction(enum.Enum):
    """How the step of a rollout changes."""

    FORWARD = "forward"
    HOLD = "hold"
    BACK = "back"


@dataclasses.dataclass(frozen=True)
class RolloutState:
    """Current step of a rollout, with the evidence so far."""

    model: str
    to_version: str
    #: Index into `steps`, or `NO_STEP`.
    step: int
    #: Increasing shares of new sessions, 0 to 1.
    steps: tuple[float, ...]
    #: Seconds since the last change of the step.
    step_age_s: float
    #: Minimum time on one step, seconds.
    step_s: float
    #: Whether the rules hold the rollout at its step.
    held: bool
    #: Last verdict on `to_version`.
    health: _versions.VersionHealth
    #: Requests sent to `to_version` since its last verdict.
    exposed: int = 0
    #: Whether `to_version` is statistically not inferior to the old version.
    proven: bool = False


@dataclasses.dataclass(frozen=True)
class RolloutAdvice:
    """The advised action and the step that it leads to."""

    action: RolloutAction
    step: int
    reason: str


class RolloutAdvancer(abc.ABC):
    """Advises the next step of a rollout."""

    @abc.abstractmethod
    def advise(self, state: RolloutState) -> RolloutAdvice:
        """Returns the action that the state supports."""


class TimedSteps(RolloutAdvancer):
    """Advances whenever the minimum time of a step has passed."""

    def advise(self, state: RolloutState) -> RolloutAdvice:
        """Advises from the time on the step and the hold in the rules only."""
        at_end = state.step + 1 >= len(state.steps)
        too_early = state.step != NO_STEP and state.step_age_s < state.step_s
        if state.held or at_end or too_early:
            return RolloutAdvice(RolloutAction.HOLD, state.step, "not due")
        return RolloutAdvice(
            RolloutAction.FORWARD, state.step + 1, "step time passed"
        )


def share_of(state: RolloutState) -> float | core.Missing:
    """Returns the share of the current step, unset before the first step."""
    if not 0 <= state.step < len(state.steps):
        return core.Missing.UNSET
    return state.steps[state.step]
