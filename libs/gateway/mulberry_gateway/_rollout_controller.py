"""Collects answer counts by version and controls rollouts on the leader."""

from __future__ import annotations

import dataclasses
import json
import threading
from collections.abc import Mapping, Sequence

from absl import logging

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_state as state
from mulberry_gateway import _exchange, _rollout_reports

#: Interval between decisions, seconds.
PERIOD_S = 0.4
_PROPOSE_TIMEOUT_S = 2.0
#: An answer slower than this multiple of the route's target latency is bad.
_LATE_FACTOR = 0.75

_PHASE_BY_VERDICT = {
    decisions.RolloutVerdict.MOVE: state.RolloutPhase.RUNNING,
    decisions.RolloutVerdict.COMPLETE: state.RolloutPhase.COMPLETED,
    decisions.RolloutVerdict.ROLL_BACK: state.RolloutPhase.ROLLED_BACK,
}

_NO_ANSWERS = decisions.AnswerCounts()

#: Counts by route, by version, by `SERVICE/NUMBER` of the rollout.
_Counts = dict[str, dict[str, dict[str, decisions.AnswerCounts]]]
_EncodedCounts = Mapping[str, Mapping[str, Mapping[str, list[int]]]]


@dataclasses.dataclass(frozen=True)
class _RunningRollout:
    """A running rollout and when this instance first saw it."""

    service: str
    rollout: state.ServiceRollout
    #: `Clock.now` when it first appeared in a view, seconds.
    first_seen_s: float
    #: `Clock.now` when its share last changed, seconds.
    share_changed_s: float

    @property
    def key(self) -> str:
        return f"{self.service}/{self.rollout.number}"


class RolloutController:
    """Reports answer counts to the leader; as the leader, controls rollouts."""

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
        self._running_by_service: dict[str, _RunningRollout] = {}
        self._counts: _Counts = {}
        self._pool = core.TaskPool("rollouts", 1)
        client.subscribe(self._on_view)
        client.set_report_source(self._encode_report)

    def start(self) -> None:
        """Starts the decision task if this instance is a voter."""
        if not isinstance(self._node, core.Missing):
            node = self._node
            self._pool.spawn("rollouts", lambda stop: self._run(node, stop))

    def running(
        self, service: str
    ) -> tuple[state.ServiceRollout, float] | None:
        """Returns the running rollout of a service and its age in seconds."""
        running = self._running_by_service.get(service)
        if running is None:
            return None
        return running.rollout, self._clock.now() - running.first_seen_s

    def observe(
        self,
        exchange: _exchange.Exchange,
        attempt: _exchange.Attempt,
        good: bool,
        time_to_head_s: float,
        duration_s: float | core.Missing = core.Missing.UNSET,
    ) -> None:
        """Counts an answer if a rollout of its service is running.

        Args:
            exchange: The request.
            attempt: The attempt, with its version and model.
            good: Whether the answer was successful.
            time_to_head_s: Time until the head of the answer arrived, seconds.
            duration_s: Duration that is compared between versions on the same
                route: of the whole answer, or the mean gap between the events
                of a stream; seconds, unset if unknown.
        """
        running = self._running_by_service.get(exchange.service)
        if running is None:
            return
        late = time_to_head_s > _LATE_FACTOR * exchange.route.target_latency_s
        durations = (
            {}
            if isinstance(duration_s, core.Missing)
            else {decisions.duration_bucket(duration_s): 1}
        )
        # Durations differ more between models than between versions, so each
        # model has its own row.
        row = f"{exchange.route.name} {attempt.model}".rstrip()
        with self._lock:
            by_route = self._counts.setdefault(running.key, {}).setdefault(
                attempt.release, {}
            )
            by_route[row] = by_route.get(
                row, _NO_ANSWERS
            ) + decisions.AnswerCounts(1, int(late or not good), durations)

    def _on_view(self, view: state.View) -> None:
        now_s = self._clock.now()
        running = {}
        for service, rollout in view.service_rollouts_by_service.items():
            if rollout.phase is not state.RolloutPhase.RUNNING:
                continue
            first_seen_s = share_changed_s = now_s
            old = self._running_by_service.get(service)
            if old is not None and old.rollout.number == rollout.number:
                first_seen_s = old.first_seen_s
                if old.rollout.share == rollout.share:
                    share_changed_s = old.share_changed_s
            running[service] = _RunningRollout(
                service, rollout, first_seen_s, share_changed_s
            )
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
        failed: set[str] = set()
        while not stop.wait(PERIOD_S):
            if self._running_by_service and node.is_leader:
                reports = node.reports.all()
                for running in list(self._running_by_service.values()):
                    try:
                        self._decide(running, reports)
                    except Exception:
                        # Without this task, no rollout would be decided until
                        # the next start of this process.
                        if running.key not in failed:
                            logging.exception(
                                "deciding rollout %s failed", running.key
                            )
                        failed.add(running.key)

    def _decide(
        self, running: _RunningRollout, reports: Sequence[bytes]
    ) -> None:
        rollout = running.rollout
        evidence = sum_reports(reports, running.key, rollout.target)
        now_s = self._clock.now()
        elapsed_s = now_s - running.first_seen_s
        decision = self._plan.decide(
            rollout.share,
            now_s - running.share_changed_s,
            elapsed_s,
            rollout.duration_s,
            evidence,
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
            evidence=_evidence_fields(evidence),
            outcome="refused" if isinstance(result, core.Refusal) else "moved",
        )
        # The next decision must use the new share.
        self._client.refresh(_PROPOSE_TIMEOUT_S)

    def _encode_report(self) -> bytes:
        """Encodes the counts of the running rollouts; empty without counts."""
        keys = {r.key for r in self._running_by_service.values()}
        with self._lock:
            counts = {k: v for k, v in self._counts.items() if k in keys}
            if not counts:
                return b""
            return json.dumps(
                {**_encode_counts(counts), **_encode_durations(counts)}
            ).encode()


def sum_reports(
    reports: Sequence[bytes], key: str, target: str
) -> decisions.RolloutEvidence:
    """Sums the counts of all instances for one rollout.

    Args:
        reports: Encoded reports of the instances; unreadable ones are
            ignored.
        key: `SERVICE/NUMBER` of the rollout.
        target: Version that the rollout introduces.
    """
    new: dict[str, decisions.AnswerCounts] = {}
    old: dict[str, decisions.AnswerCounts] = {}
    for report in reports:
        rows = _rollout_reports.parse_report(report, key)
        if isinstance(rows, core.Missing):
            # The other reports still count.
            continue
        for version, route, counts in rows:
            totals = new if version == target else old
            totals[route] = totals.get(route, _NO_ANSWERS) + counts
    return decisions.RolloutEvidence(new, old)


def _evidence_fields(
    evidence: decisions.RolloutEvidence,
) -> Mapping[str, object]:
    """Returns answers, bad answers and durations by route, for the log."""

    def rows(
        by_route: Mapping[str, decisions.AnswerCounts],
    ) -> Mapping[str, object]:
        return {
            route: [counts.answers, counts.bad, dict(counts.durations)]
            for route, counts in by_route.items()
        }

    return {
        "target": rows(evidence.target_by_route),
        "others": rows(evidence.baseline_by_route),
    }


def _encode_counts(counts: _Counts) -> _EncodedCounts:
    return {
        key: {
            version: {
                route: [count.answers, count.bad]
                for route, count in by_route.items()
            }
            for version, by_route in by_version.items()
        }
        for key, by_version in counts.items()
    }


def _encode_durations(counts: _Counts) -> Mapping[str, object]:
    return {
        f"{_rollout_reports.DURATIONS_PREFIX}{key}": {
            version: {
                route: count.durations for route, count in by_route.items()
            }
            for version, by_route in by_version.items()
        }
        for key, by_version in counts.items()
    }
