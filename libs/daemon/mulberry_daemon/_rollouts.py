"""Proposes verdicts on versions and rollout steps to the replicated log."""

import threading
import uuid
from collections.abc import Callable

from absl import logging

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_entry as entry
import mulberry_rules as rules
import mulberry_state as state

_PERIOD_S = 0.5
_PROPOSE_TIMEOUT_S = 2.0


class RolloutController:
    """Proposes verdicts and rollout steps from the collected evidence.

    Every instance may run it: a proposal names the verdict or step that it
    follows, so that only the first of several takes effect. Only one instance
    advances rollouts, which saves proposals.
    """

    def __init__(
        self,
        client: state.StateClient,
        decision_set: entry.DecisionSet,
        advancer: decisions.RolloutAdvancer,
        clock: core.Clock,
        advances_rollouts: Callable[[], bool],
    ) -> None:
        self._client = client
        self._decisions = decision_set
        self._advancer = advancer
        self._clock = clock
        self._advances_rollouts = advances_rollouts
        self._wake = threading.Event()
        client.subscribe(self._on_view_changed)
        self._on_view_changed(client.view())

    def start(self, timers: core.TimerService, tasks: core.TaskPool) -> None:
        """Evaluates the evidence twice a second."""
        timers.every(_PERIOD_S, self._wake.set, "rollouts")
        tasks.spawn("rollouts", self._run)

    def run_once(self) -> None:
        """Proposes the verdicts and steps that the evidence supports."""
        if self._client.lease_remaining_s() <= 0:
            return
        for proposal in self._decisions.version_judge.proposals():
            self._propose_verdict(proposal)
        if self._advances_rollouts():
            self._advance_rollouts(self._client.view())

    def _run(self, stop: threading.Event) -> None:
        is_sound = True
        while not stop.is_set():
            if self._wake.wait(_PERIOD_S):
                self._wake.clear()
                is_sound = core.run_step(
                    "judging versions", self.run_once, is_sound
                )

    def _on_view_changed(self, view: state.View) -> None:
        for (model, version), verdict in view.verdicts_by_version.items():
            self._decisions.version_judge.verdict_recorded(
                model,
                version,
                verdict.number,
                decisions.VersionHealth(verdict.state.value),
            )
        if isinstance(view.rules, rules.Rules):
            self._decisions.team_limiter.set_limits(
                {
                    team: decisions.TeamLimit(
                        limit.requests_per_s, limit.tokens_per_s
                    )
                    for team, limit in view.rules.limits_by_team.items()
                }
            )

    def _propose_verdict(self, proposal: decisions.Proposal) -> None:
        result = self._client.propose(
            state.RecordVerdict(
                uuid.uuid4().hex,
                proposal.model,
                proposal.version,
                state.VerdictState(proposal.health.value),
                proposal.reason,
                proposal.evidence,
                proposal.after_number,
            ),
            _PROPOSE_TIMEOUT_S,
        )
        if isinstance(result, state.VerdictRecorded):
            logging.info(
                "verdict on version %s %s is now %s: %s",
                proposal.model,
                proposal.version,
                proposal.health.value,
                proposal.reason,
            )

    def _advance_rollouts(self, view: state.View) -> None:
        if isinstance(view.rules, core.Missing):
            return
        for rollout in view.rules.rollouts_by_model.values():
            self._propose_step(view, view.rules, rollout)

    def _propose_step(
        self, view: state.View, in_force: rules.Rules, rollout: rules.Rollout
    ) -> None:
        if in_force.is_withdrawn(rollout.model, rollout.to_version):
            return
        current = _rollout_state(
            view, rollout, self._decisions.version_judge, self._clock
        )
        advice = self._advancer.advise(current)
        if advice.action is decisions.RolloutAction.HOLD:
            return
        result = self._client.propose(
            state.AdvanceRollout(
                uuid.uuid4().hex,
                rollout.model,
                rollout.to_version,
                advice.step,
                current.step,
                advice.reason,
            ),
            _PROPOSE_TIMEOUT_S,
        )
        if isinstance(result, state.RolloutAdvanced):
            logging.info(
                "rollout of %s %s moved to step %d: %s",
                rollout.model,
                rollout.to_version,
                advice.step,
                advice.reason,
            )


def _rollout_state(
    view: state.View,
    rollout: rules.Rollout,
    judge: decisions.VersionJudge,
    clock: core.Clock,
) -> decisions.RolloutState:
    recorded = view.rollout_steps_by_model.get(rollout.model)
    is_current = (
        recorded is not None and recorded.to_version == rollout.to_version
    )
    verdict = view.verdicts_by_version.get((rollout.model, rollout.to_version))
    return decisions.RolloutState(
        model=rollout.model,
        to_version=rollout.to_version,
        step=recorded.step if is_current and recorded else state.NO_STEP,
        steps=rollout.steps,
        step_age_s=clock.wall() - recorded.since_s
        if is_current and recorded
        else 0,
        step_s=rollout.step_s,
        held=rollout.held,
        health=decisions.VersionHealth(verdict.state.value)
        if verdict
        else decisions.VersionHealth.GOOD,
        exposed=judge.exposed(rollout.model, rollout.to_version),
        proven=judge.is_proven(
            rollout.model, rollout.to_version, rollout.from_version
        ),
    )
