"""Cost per request at the quality target, and a rater that fails."""

import dataclasses
import itertools
import random
from collections.abc import Sequence

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_experiments import _measure
from mulberry_experiments._decisions import _workload

_REQUESTS = 4000
_QUALITY = 0.9
#: Share of answers that the rater gets wrong.
_RATER_ERROR = 0.02
_RATER_STATES = ("up", "away", "stuck at 1")


@dataclasses.dataclass(frozen=True)
class _Answer:
    is_good: bool
    rating: float


@dataclasses.dataclass(frozen=True)
class _Question:
    work: decisions.Work
    answers: dict[str, _Answer]


def _questions(
    deployment: _workload.Deployment, draw: random.Random
) -> list[_Question]:
    """Draws requests with the answers that each model would give.

    A question has one difficulty for all models, so a larger model mostly
    also answers what a smaller one does.
    """
    kinds = [kind for kind in deployment.kinds if not kind.is_call]
    teams = list(deployment.weights_by_team)
    questions = []
    for _ in range(_REQUESTS):
        kind = draw.choices(kinds, [kind.share for kind in kinds])[0]
        team = draw.choices(teams, list(deployment.weights_by_team.values()))[0]
        difficulty = draw.random()
        answers = {
            model.name: _answer(
                kind.good_by_model[model.name], difficulty, draw
            )
            for model in deployment.models
        }
        # The deadline is not what is measured here.
        work = decisions.Work(team, kind.name, kind.priority, float("inf"))
        questions.append(_Question(work, answers))
    return questions


def _answer(
    share_good: float, difficulty: float, draw: random.Random
) -> _Answer:
    own = difficulty if draw.random() < 0.7 else draw.random()
    is_good = own < share_good
    looks_good = is_good != (draw.random() < _RATER_ERROR)
    rating = (
        draw.uniform(_QUALITY, 1.0)
        if looks_good
        else (draw.uniform(0.2, _QUALITY - 0.01))
    )
    return _Answer(is_good, rating)


@dataclasses.dataclass
class _Sums:
    cost: float = 0.0
    good: int = 0
    requests: int = 0


def _run(
    chooser: decisions.ModelChooser,
    clock: core.ManualClock,
    models: Sequence[decisions.ModelOption],
    questions: Sequence[_Question],
    rater: str,
) -> _Sums:
    sums = _Sums()
    costs = {model.name: model.cost_per_1k_tokens for model in models}
    for question in questions:
        clock.advance(1.0)
        delivered, cost = _serve(chooser, models, question, rater, costs)
        sums.cost += cost
        sums.good += question.answers[delivered].is_good
        sums.requests += 1
    return sums


def _serve(
    chooser: decisions.ModelChooser,
    models: Sequence[decisions.ModelOption],
    question: _Question,
    rater: str,
    costs: dict[str, float],
) -> tuple[str, float]:
    work = question.work
    cost = 0.0
    after = ""
    attempts: list[decisions.Attempt] = []
    step: object = chooser.first(work, models, _QUALITY)
    while isinstance(step, decisions.TryModel):
        cost += costs[step.model]
        rating = _rated(question.answers[step.model].rating, rater)
        attempts.append(decisions.Attempt(step.model, rating))
        chooser.learn(work, step.model, rating, _QUALITY, after)
        after = step.model
        step = chooser.next(work, models, _QUALITY, attempts)
    assert isinstance(step, decisions.Deliver)
    return step.model, cost


def _rated(rating: float, rater: str) -> float | core.Missing:
    if rater == "away":
        return core.Missing.UNSET
    return 1.0 if rater == "stuck at 1" else rating


def _clairvoyant(
    models: Sequence[decisions.ModelOption], questions: Sequence[_Question]
) -> _Sums:
    """Runs only the cheapest model whose rating will meet the target."""
    sums = _Sums()
    for question in questions:
        best = max(
            models, key=lambda model: question.answers[model.name].rating
        )
        for model in models:
            if question.answers[model.name].rating >= _QUALITY:
                best = model
                break
        sums.cost += best.cost_per_1k_tokens
        sums.good += question.answers[best.name].is_good
        sums.requests += 1
    return sums


def _best_chains(
    models: Sequence[decisions.ModelOption], questions: Sequence[_Question]
) -> _Sums:
    """Runs the best order of models for each kind, known beforehand.

    No policy that has to run a model to learn what it answers can be much
    cheaper, so this is what can be reached; clairvoyance is not.
    """
    sums = _Sums()
    cheaper, dearest = models[:-1], models[-1]
    chains = [
        [*chosen, dearest]
        for size in range(len(models))
        for chosen in itertools.combinations(cheaper, size)
    ]
    by_kind: dict[str, list[_Question]] = {}
    for question in questions:
        by_kind.setdefault(question.work.kind, []).append(question)
    for asked in by_kind.values():
        best = min(
            (_run_chain(chain, asked) for chain in chains),
            key=lambda each: each.cost,
        )
        sums.cost += best.cost
        sums.good += best.good
        sums.requests += best.requests
    return sums


def _run_chain(
    chain: Sequence[decisions.ModelOption], questions: Sequence[_Question]
) -> _Sums:
    sums = _Sums()
    for question in questions:
        for model in chain:
            sums.cost += model.cost_per_1k_tokens
            answer = question.answers[model.name]
            if answer.rating >= _QUALITY:
                break
        sums.good += answer.is_good
        sums.requests += 1
    return sums


def run(seed: int) -> list[_measure.Row]:
    """Measures all choosers on both deployments."""
    rows: list[_measure.Row] = []
    for deployment in _workload.DEPLOYMENTS:
        draw = random.Random(f"{seed} {deployment.name}")
        questions = _questions(deployment, draw)
        sums_by_policy = {
            "clairvoyant": _clairvoyant(deployment.models, questions),
            "best order": _best_chains(deployment.models, questions),
        }
        for policy in ("dearest", "cheapest", "two_step", "learned"):
            sums_by_policy[policy] = _run_policy(
                policy, seed, deployment, questions, "up"
            )
        rows += _rows(deployment.name, sums_by_policy)
    return rows + _rater_rows(seed)


def _run_policy(
    policy: str,
    seed: int,
    deployment: _workload.Deployment,
    questions: Sequence[_Question],
    rater: str,
    taught: Sequence[_Question] = (),
) -> _Sums:
    clock = core.ManualClock()
    chooser = (
        decisions.LearnedCascade(clock, seed)
        if policy == "learned"
        else decisions.MODEL_CHOOSERS[policy](clock)
    )
    _run(chooser, clock, deployment.models, taught, "up")
    return _run(chooser, clock, deployment.models, questions, rater)


def _rows(name: str, sums_by_policy: dict[str, _Sums]) -> list[_measure.Row]:
    rows = []
    dearest = sums_by_policy["dearest"].cost
    clairvoyant = sums_by_policy["clairvoyant"].cost
    for policy, sums in sums_by_policy.items():
        ours = policy == "learned"
        for label, figure, unit, target in (
            ("cost per request", sums.cost / sums.requests, "", ""),
            ("cost / always dearest", sums.cost / dearest, "", "<= 0.5"),
            ("cost / clairvoyant", sums.cost / clairvoyant, "", "<= 1.15"),
            ("share of good answers", sums.good / sums.requests, "", ">= 0.9"),
        ):
            rows.append(
                _measure.Row(
                    "cascade",
                    policy,
                    f"{name}: {label}",
                    figure,
                    unit,
                    target if ours else "",
                )
            )
    return rows


def _rater_rows(seed: int) -> list[_measure.Row]:
    """Measures the fallback after a morning of good ratings."""
    deployment = _workload.COUNTER
    rows = []
    for rater in _RATER_STATES:
        draw = random.Random(f"{seed} rater")
        taught = _questions(deployment, draw)
        questions = _questions(deployment, draw)
        for policy in ("two_step", "learned"):
            sums = _run_policy(
                policy, seed, deployment, questions, rater, taught
            )
            rows.append(
                _measure.Row(
                    "cascade",
                    policy,
                    f"rater {rater}: share of good answers",
                    sums.good / sums.requests,
                    "",
                    ">= 0.9" if policy == "learned" else "",
                )
            )
            rows.append(
                _measure.Row(
                    "cascade",
                    policy,
                    f"rater {rater}: cost per request",
                    sums.cost / sums.requests,
                    "",
                )
            )
    return rows
