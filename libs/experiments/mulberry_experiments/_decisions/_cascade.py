"""Cost of model cascades at the quality target, also with a failed rater."""

import dataclasses
import itertools
import random
from collections.abc import Sequence

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_experiments import _measure
from mulberry_experiments._decisions import _workload

_SAMPLES = 4000
_QUALITY_TARGET = 0.9
#: Share of answers that the rater misjudges.
_RATER_ERROR_RATE = 0.02
_RATER_STATES = ("up", "away", "stuck at 1")


@dataclasses.dataclass(frozen=True)
class _Answer:
    is_good: bool
    rating: float


@dataclasses.dataclass(frozen=True)
class _Sample:
    work: decisions.Work
    answers: dict[str, _Answer]


def _draw_samples(
    workload: _workload.Workload, rng: random.Random
) -> list[_Sample]:
    """Draws requests with the answer of every model.

    All models mostly see the same difficulty of a request, so a larger model
    usually succeeds where a smaller one does.
    """
    kinds = [kind for kind in workload.kinds if not kind.is_call]
    teams = list(workload.weights_by_team)
    samples = []
    for _ in range(_SAMPLES):
        kind = rng.choices(kinds, [kind.share for kind in kinds])[0]
        team = rng.choices(teams, list(workload.weights_by_team.values()))[0]
        difficulty = rng.random()
        answers = {
            model.name: _answer(
                kind.good_share_by_model[model.name], difficulty, rng
            )
            for model in workload.models
        }
        # Deadlines are not part of this experiment.
        work = decisions.Work(team, kind.name, kind.priority, float("inf"))
        samples.append(_Sample(work, answers))
    return samples


def _answer(
    share_good: float, difficulty: float, rng: random.Random
) -> _Answer:
    model_difficulty = difficulty if rng.random() < 0.7 else rng.random()
    is_good = model_difficulty < share_good
    rated_good = is_good != (rng.random() < _RATER_ERROR_RATE)
    rating = (
        rng.uniform(_QUALITY_TARGET, 1.0)
        if rated_good
        else (rng.uniform(0.2, _QUALITY_TARGET - 0.01))
    )
    return _Answer(is_good, rating)


@dataclasses.dataclass
class _Totals:
    cost: float = 0.0
    good: int = 0
    requests: int = 0


def _run(
    chooser: decisions.ModelChooser,
    clock: core.ManualClock,
    models: Sequence[decisions.ModelOption],
    samples: Sequence[_Sample],
    rater: str,
) -> _Totals:
    totals = _Totals()
    costs = {model.name: model.cost_per_1k_tokens for model in models}
    for sample in samples:
        clock.advance(1.0)
        delivered, cost = _serve(chooser, models, sample, rater, costs)
        totals.cost += cost
        totals.good += sample.answers[delivered].is_good
        totals.requests += 1
    return totals


def _serve(
    chooser: decisions.ModelChooser,
    models: Sequence[decisions.ModelOption],
    sample: _Sample,
    rater: str,
    costs: dict[str, float],
) -> tuple[str, float]:
    work = sample.work
    cost = 0.0
    previous = ""
    attempts: list[decisions.Attempt] = []
    step: object = chooser.first(work, models, _QUALITY_TARGET)
    while isinstance(step, decisions.TryModel):
        cost += costs[step.model]
        rating = _apply_rater_state(sample.answers[step.model].rating, rater)
        attempts.append(decisions.Attempt(step.model, rating))
        chooser.learn(work, step.model, rating, _QUALITY_TARGET, previous)
        previous = step.model
        step = chooser.next(work, models, _QUALITY_TARGET, attempts)
    assert isinstance(step, decisions.Deliver)
    return step.model, cost


def _apply_rater_state(rating: float, rater: str) -> float | core.Missing:
    if rater == "away":
        return core.Missing.UNSET
    return 1.0 if rater == "stuck at 1" else rating


def _oracle(
    models: Sequence[decisions.ModelOption], samples: Sequence[_Sample]
) -> _Totals:
    """Runs only the cheapest model whose rating meets the target.

    This requires knowing the ratings in advance.
    """
    totals = _Totals()
    for sample in samples:
        best = max(models, key=lambda model: sample.answers[model.name].rating)
        for model in models:
            if sample.answers[model.name].rating >= _QUALITY_TARGET:
                best = model
                break
        totals.cost += best.cost_per_1k_tokens
        totals.good += sample.answers[best.name].is_good
        totals.requests += 1
    return totals


def _best_fixed_order(
    models: Sequence[decisions.ModelOption], samples: Sequence[_Sample]
) -> _Totals:
    """Runs the cheapest fixed order of models for each request kind.

    A policy that has to run a model to learn its rating cannot be much
    cheaper. This is the attainable bound; the oracle's cost is not attainable.
    """
    totals = _Totals()
    cheaper, dearest = models[:-1], models[-1]
    chains = [
        [*chosen, dearest]
        for size in range(len(models))
        for chosen in itertools.combinations(cheaper, size)
    ]
    by_kind: dict[str, list[_Sample]] = {}
    for sample in samples:
        by_kind.setdefault(sample.work.kind, []).append(sample)
    for kind_samples in by_kind.values():
        best = min(
            (_run_chain(chain, kind_samples) for chain in chains),
            key=lambda total: total.cost,
        )
        totals.cost += best.cost
        totals.good += best.good
        totals.requests += best.requests
    return totals


def _run_chain(
    chain: Sequence[decisions.ModelOption], samples: Sequence[_Sample]
) -> _Totals:
    totals = _Totals()
    for sample in samples:
        for model in chain:
            totals.cost += model.cost_per_1k_tokens
            answer = sample.answers[model.name]
            if answer.rating >= _QUALITY_TARGET:
                break
        totals.good += answer.is_good
        totals.requests += 1
    return totals


def run(seed: int) -> list[_measure.Row]:
    """Measures all choosers on both workloads."""
    rows: list[_measure.Row] = []
    for workload in _workload.WORKLOADS:
        rng = random.Random(f"{seed} {workload.name}")
        samples = _draw_samples(workload, rng)
        totals_by_policy = {
            "clairvoyant": _oracle(workload.models, samples),
            "best order": _best_fixed_order(workload.models, samples),
        }
        for policy in ("dearest", "cheapest", "two_step", "learned"):
            totals_by_policy[policy] = _run_policy(
                policy, seed, workload, samples, "up"
            )
        rows += _rows(workload.name, totals_by_policy)
    return rows + _rater_rows(seed)


def _run_policy(
    policy: str,
    seed: int,
    workload: _workload.Workload,
    samples: Sequence[_Sample],
    rater: str,
    training: Sequence[_Sample] = (),
) -> _Totals:
    clock = core.ManualClock()
    chooser = (
        decisions.LearnedCascade(clock, seed)
        if policy == "learned"
        else decisions.MODEL_CHOOSERS[policy](clock)
    )
    _run(chooser, clock, workload.models, training, "up")
    return _run(chooser, clock, workload.models, samples, rater)


def _rows(
    name: str, totals_by_policy: dict[str, _Totals]
) -> list[_measure.Row]:
    rows = []
    dearest = totals_by_policy["dearest"].cost
    oracle = totals_by_policy["clairvoyant"].cost
    for policy, totals in totals_by_policy.items():
        has_target = policy == "learned"
        for label, figure, unit, target in (
            ("cost per request", totals.cost / totals.requests, "", ""),
            ("cost / always dearest", totals.cost / dearest, "", "<= 0.5"),
            ("cost / clairvoyant", totals.cost / oracle, "", "<= 1.15"),
            (
                "share of good answers",
                totals.good / totals.requests,
                "",
                ">= 0.9",
            ),
        ):
            rows.append(
                _measure.Row(
                    "cascade",
                    policy,
                    f"{name}: {label}",
                    figure,
                    unit,
                    target if has_target else "",
                )
            )
    return rows


def _rater_rows(seed: int) -> list[_measure.Row]:
    """Measures the fallback on a failed rater after training with good ratings."""
    workload = _workload.COUNTER
    rows = []
    for rater in _RATER_STATES:
        rng = random.Random(f"{seed} rater")
        training = _draw_samples(workload, rng)
        samples = _draw_samples(workload, rng)
        for policy in ("two_step", "learned"):
            totals = _run_policy(
                policy, seed, workload, samples, rater, training
            )
            rows.append(
                _measure.Row(
                    "cascade",
                    policy,
                    f"rater {rater}: share of good answers",
                    totals.good / totals.requests,
                    "",
                    ">= 0.9" if policy == "learned" else "",
                )
            )
            rows.append(
                _measure.Row(
                    "cascade",
                    policy,
                    f"rater {rater}: cost per request",
                    totals.cost / totals.requests,
                    "",
                )
            )
    return rows
