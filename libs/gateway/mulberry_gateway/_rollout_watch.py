"""Counts answers by version, and moves rollouts where this voter leads."""

from __future__ import annotations

import dataclasses
import json
import threading
from collections.abc import Mapping, Sequence

from absl import logging

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_state as state
from mulberry_gateway import _exchange

#: Between two looks at the evidence, seconds.
PERIOD_S = 0.4
_PROPOSE_TIMEOUT_S = 2.0
#: An answer that took this multiple of the route's target latency is bad.
_LATE_FACTOR = 0.75

_PHASE_BY_VERDICT = {
    decisions.RolloutVerdict.MOVE: state.RolloutPhase.RUNNING,
    decisions.RolloutVerdict.COMPLETE: state.RolloutPhase.COMPLETED,
    decisions.RolloutVerdict.ROLL_BACK: state.RolloutPhase.ROLLED_BACK,
}

#: Counts by route, by version, by `SERVICE/NUMBER` of the rollout.
_Counts = dict[str, dict[str, dict[str, decisions.AnswerCounts]]]


@dataclasses.dataclass(frozen=True)
class _Running:
    """A rollout under way, and since when this instance knows of it."""

    service: str
    rollout: state.ServiceRollout
    since_s: float

    @property
    def key(self) -> str:
        return f"{self.service}/{self.rollout.number}"


class RolloutWatch:
    """Tells the leader what this instance counts; decides where it leads."""

    def __init__(
        self,
        client: state.StateClient,
        node: state.StateNode | core.Missing,
        plan: decisions.RolloutPlan,
        clock: core.Clock,
        log: core.DecisionLog,
    ) -> None:
        self._client = client
        self._node = node
        self._plan = plan
        self._clock = clock
        self._log = log
        self._lock = threading.Lock()
        self._running_by_service: dict[str, _Running] = {}
        self._counts: _Counts = {}
        self._pool = core.TaskPool("rollouts", 1)
        client.subscribe(self._take_view)
        client.report_with(self._encode)

    def start(self) -> None:
        """Starts to decide wherever this instance votes and leads."""
        if not isinstance(self._node, core.Missing):
            node = self._node
            self._pool.spawn("rollouts", lambda stop: self._run(node, stop))

    def running(
        self, service: str
    ) -> tuple[state.ServiceRollout, float] | None:
        """Returns the rollout of a service under way and its age, seconds."""
        running = self._running_by_service.get(service)
        if running is None:
            return None
        return running.rollout, self._clock.now() - running.since_s

    def observe(
        self,
        exchange: _exchange.Exchange,
        release: str,
        good: bool,
        took_s: float,
    ) -> None:
        """Counts an answer if a rollout of its service is under way."""
        running = self._running_by_service.get(exchange.service)
        if running is None:
            return
        late = took_s > _LATE_FACTOR * exchange.route.target_latency_s
        with self._lock:
            by_route = self._counts.setdefault(running.key, {}).setdefault(
                release, {}
            )
            by_route[exchange.route.name] = by_route.get(
                exchange.route.name, decisions.AnswerCounts()
            ) + decisions.AnswerCounts(1, int(late or not good))

    def _take_view(self, view: state.View) -> None:
        now_s = self._clock.now()
        running = {}
        for service, rollout in view.service_rollouts_by_service.items():
            if rollout.phase is not state.RolloutPhase.RUNNING:
                continue
            old = self._running_by_service.get(service)
            same = old is not None and old.rollout.number == rollout.number
            since_s = old.since_s if old is not None and same else now_s
            running[service] = _Running(service, rollout, since_s)
        if running != self._running_by_service:
            self._log.note(
                "rollouts",
                keep=True,
                revision=view.revision,
                running={
                    service: [r.rollout.target, r.rollout.share]
                    for service, r in running.items()
                },
                phases={
                    service: rollout.phase.value
                    for service, rollout in (
                        view.service_rollouts_by_service.items()
                    )
                },
            )
        self._running_by_service = running

    def _run(self, node: state.StateNode, stop: threading.Event) -> None:
        while not stop.wait(PERIOD_S):
            if self._running_by_service and node.leads:
                reports = node.reports.all()
                for running in list(self._running_by_service.values()):
                    self._decide(running, reports)

    def _decide(self, running: _Running, reports: Sequence[bytes]) -> None:
        rollout = running.rollout
        evidence = collect(reports, running.key, rollout.target)
        elapsed_s = self._clock.now() - running.since_s
        decision = self._plan.decide(
            rollout.share, elapsed_s, rollout.duration_s, evidence
        )
        if isinstance(decision, core.Missing):
            return
        command = state.MoveServiceRollout(
            state.new_command_id(),
            running.service,
            rollout.number,
            _PHASE_BY_VERDICT[decision.verdict],
            decision.share,
            decision.reason,
        )
        result = self._client.propose(command, _PROPOSE_TIMEOUT_S)
        if isinstance(result, core.Refusal):
            logging.warning("rollout not moved: %s", result.reason)
        self._log.note(
            "rollout_decision",
            keep=True,
            service=running.service,
            target=rollout.target,
            elapsed_s=round(elapsed_s, 2),
            verdict=decision.verdict.value,
            share=decision.share,
            reason=decision.reason,
            outcome="refused" if isinstance(result, core.Refusal) else "moved",
        )
        # The next look must see the new share.
        self._client.refresh(_PROPOSE_TIMEOUT_S)

    def _encode(self) -> bytes:
        """Returns what this instance has counted of running rollouts."""
        keys = {r.key for r in self._running_by_service.values()}
        with self._lock:
            counts = {k: v for k, v in self._counts.items() if k in keys}
            return json.dumps(_plain(counts)).encode() if counts else b""


def collect(
    reports: Sequence[bytes], key: str, target: str
) -> decisions.RolloutEvidence:
    """Sums what all instances have counted of one rollout.

    Args:
        reports: As the instances encoded them.
        key: `SERVICE/NUMBER` of the rollout.
        target: The version that it brings.
    """
    new: dict[str, decisions.AnswerCounts] = {}
    old: dict[str, decisions.AnswerCounts] = {}
    for report in reports:
        for release, by_route in json.loads(report).get(key, {}).items():
            _add(new if release == target else old, by_route)
    return decisions.RolloutEvidence(new, old)


_PlainCounts = Mapping[str, Mapping[str, Mapping[str, list[int]]]]


def _plain(counts: _Counts) -> _PlainCounts:
    return {
        key: {
            release: {
                route: [count.answers, count.bad]
                for route, count in by_route.items()
            }
            for release, by_route in by_release.items()
        }
        for key, by_release in counts.items()
    }


def _add(
    totals: dict[str, decisions.AnswerCounts],
    by_route: Mapping[str, list[int]],
) -> None:
    for route, (answers, bad) in by_route.items():
        totals[route] = totals.get(
            route, decisions.AnswerCounts()
        ) + decisions.AnswerCounts(answers, bad)
