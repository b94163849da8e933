"""Goodput under overload, fairness, and short requests beside long ones."""

import collections
import dataclasses
import random
from collections.abc import Iterable, Mapping

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_experiments import _measure
from mulberry_experiments._decisions import _simulation, _workload

_SLOTS = 20
_MAX_QUEUE = 200
_SECONDS = 400.0
#: Excluded from the figures, because run times are still being learned.
_WARM_UP_S = 50.0
#: Exceeds the longest deadline, so that late arrivals can be answered.
_DRAIN_S = 130.0
_OVERLOAD_FACTORS = (1.0, 2.0, 5.0)


@dataclasses.dataclass
class _Result:
    """Outcomes of requests after the warm-up.

    Slot seconds and answers are counted by completion time, all else by
    arrival time.
    """

    offered: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    in_time: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    #: Slot seconds of answers that met their deadline.
    useful_slot_s: float = 0.0
    #: Answers that met their deadline.
    answered: int = 0
    latencies_by_kind: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )


class _Entry:
    """Runs requests in the slots that an admission policy grants."""

    def __init__(self, simulation: _simulation.Simulation, policy: str) -> None:
        self._simulation = simulation
        # First come, first served has no admission control, so its queue is
        # unbounded.
        max_queue = 10**9 if policy == "first_come" else _MAX_QUEUE
        self.admission = decisions.ADMISSIONS[policy](
            simulation.clock, _SLOTS, max_queue
        )
        self.result = _Result()

    def arrive(self, arrival: _workload.Arrival) -> None:
        """Submits a request and records its outcome."""
        is_measured = arrival.at_s >= _WARM_UP_S
        self.result.offered[arrival.work.team] += is_measured

        def on_decision(result: decisions.Ticket | core.Refusal) -> None:
            if isinstance(result, decisions.Ticket):
                ticket = result
                self._simulation.after(
                    arrival.run_s, lambda: self._complete(arrival, ticket)
                )

        self.admission.submit(arrival.work, on_decision)

    def _complete(
        self, arrival: _workload.Arrival, ticket: decisions.Ticket
    ) -> None:
        now_s = self._simulation.now_s
        in_time = now_s <= arrival.work.deadline_at_s
        if _WARM_UP_S <= now_s <= _SECONDS:
            self.result.useful_slot_s += arrival.run_s * in_time
            self.result.answered += in_time
        if arrival.at_s >= _WARM_UP_S:
            self.result.in_time[arrival.work.team] += in_time
            self.result.latencies_by_kind[arrival.kind.name].append(
                now_s - arrival.at_s
            )
        ticket.release(
            decisions.Outcome.COMPLETED if in_time else decisions.Outcome.LATE
        )


def _serve(
    policy: str,
    arrivals: Iterable[_workload.Arrival],
    weights: Mapping[str, float],
) -> _Result:
    simulation = _simulation.Simulation()
    entry = _Entry(simulation, policy)
    if isinstance(entry.admission, decisions.PriorityAdmission):
        entry.admission.set_weights(weights)
    for arrival in arrivals:
        simulation.run(arrival.at_s)
        entry.arrive(arrival)
    simulation.run(_SECONDS + _DRAIN_S)
    return entry.result


def _overload(seed: int, workload: _workload.Workload) -> list[_measure.Row]:
    rows = []
    for policy in ("first_come", "priority"):
        utilization: dict[float, float] = {}
        answered: dict[float, float] = {}
        for load in _OVERLOAD_FACTORS:
            per_s = load * _SLOTS / _workload.mean_run_s(workload)
            rng = random.Random(f"{seed} {load}")
            result = _serve(
                policy,
                _workload.arrivals(workload, per_s, _SECONDS, rng),
                workload.weights_by_team,
            )
            measured_s = _SECONDS - _WARM_UP_S
            utilization[load] = result.useful_slot_s / measured_s / _SLOTS
            answered[load] = result.answered / measured_s
        has_target = policy == "priority"
        for load in _OVERLOAD_FACTORS:
            is_last = load == _OVERLOAD_FACTORS[-1]
            target = ">= 0.9" if has_target and is_last else ""
            name = f"{workload.name}: goodput at {load:g}x"
            rows += [
                _row(policy, name, answered[load], "requests/s"),
                _row(policy, f"{name}, places", utilization[load], ""),
                _row(
                    policy,
                    f"{name}, places / peak",
                    utilization[load] / max(utilization.values()),
                    "",
                    target,
                ),
                _row(
                    policy,
                    f"{name}, requests / peak",
                    answered[load] / max(answered.values()),
                    "",
                    target,
                ),
            ]
    return rows


def _fairness(seed: int) -> list[_measure.Row]:
    """Measures one team at five times its share and two below theirs."""
    workload = dataclasses.replace(
        _workload.COUNTER,
        weights_by_team={"flood": 1.0, "small": 1.0, "other": 1.0},
    )
    capacity = _SLOTS / _workload.mean_run_s(workload)
    demand = {"flood": 5.0 / 3, "small": 0.25, "other": 0.25}
    rows = []
    for policy in ("first_come", "priority"):
        rng = random.Random(f"{seed} fair")
        result = _serve(
            policy,
            _workload.arrivals(
                workload,
                capacity * sum(demand.values()),
                _SECONDS,
                rng,
                demand,
            ),
            workload.weights_by_team,
        )
        for team in demand:
            share = result.in_time[team] / max(1, result.offered[team])
            target = (
                ">= 0.9" if policy == "priority" and team != "flood" else ""
            )
            rows.append(
                _row(policy, f"fairness: {team} in time", share, "", target)
            )
    return rows


def _checks_during_dossiers(seed: int) -> list[_measure.Row]:
    """Measures short checks while dossiers alone offer twice the capacity."""
    kinds = {kind.name: kind for kind in _workload.COUNTER.kinds}
    check, dossier = kinds["check"], kinds["dossier"]
    per_s = {"check": 4.0, "dossier": 2.0 * _SLOTS / dossier.run_s}
    total = sum(per_s.values())
    workload = dataclasses.replace(
        _workload.COUNTER,
        kinds=(
            dataclasses.replace(check, share=per_s["check"] / total),
            dataclasses.replace(dossier, share=per_s["dossier"] / total),
        ),
    )
    rows = []
    for policy in ("first_come", "priority"):
        rng = random.Random(f"{seed} checks")
        result = _serve(
            policy,
            _workload.arrivals(workload, total, _SECONDS, rng),
            workload.weights_by_team,
        )
        for kind in ("check", "dossier"):
            latencies = result.latencies_by_kind[kind]
            rows.append(
                _row(
                    policy,
                    f"dossiers run: {kind} latency, 95th",
                    _simulation.percentile(latencies, 0.95),
                    "s",
                )
            )
            rows.append(
                _row(
                    policy,
                    f"dossiers run: {kind} answered",
                    len(latencies) / (_SECONDS - _WARM_UP_S),
                    "requests/s",
                )
            )
    return rows


def _row(
    policy: str, name: str, figure: float, unit: str, target: str = ""
) -> _measure.Row:
    return _measure.Row("admission", policy, name, figure, unit, target)


def run(seed: int) -> list[_measure.Row]:
    """Measures both policies with the same arrivals."""
    rows = []
    for workload in _workload.WORKLOADS:
        rows += _overload(seed, workload)
    return rows + _fairness(seed) + _checks_during_dossiers(seed)
