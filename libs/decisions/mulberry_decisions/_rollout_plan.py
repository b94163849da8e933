"""When a service's rollout gets more traffic, completes or is rolled back."""

import dataclasses
import enum
import math
from collections.abc import Mapping

import mulberry_core as core
from mulberry_decisions import _duration_ranks

#: Fraction of the allowed exposure that the first step uses. Sessions differ in
#: size, so their share of the requests varies.
_FIRST_SHARE_FACTOR = 0.7
#: Fraction of the duration after which sessions may change their version.
_CHANGE_VERSION_AT = 0.5
#: Fraction of the duration after which the rollout may complete: a decision
#: takes a second to reach all instances.
_COMPLETE_AT = 0.93
#: Fraction of the duration for which the target has all sessions before the
#: rollout completes, so that streams on the old version can end.
_DRAIN_FRACTION = 0.05
#: Fraction of the duration after which the rollout completes at any share.
_COMPLETE_LATEST_AT = 0.95
#: Minimum fraction of the duration for which a share is kept: reports of
#: answers take about a second to arrive.
_MIN_STEP_FRACTION = 0.04
#: Share of the sessions up to which the engines of the target have a lower load
#: than the baseline's engines had with all sessions. Both versions have about
#: the same number of engines.
_MAX_LOWER_LOAD_SHARE = 0.4
#: Minimum number of bad answers for a rollback.
_MIN_BAD_ANSWERS = 4
#: Tolerated excess over the baseline's share of bad answers: a factor, and a
#: share added to it.
_TOLERATED_FACTOR = 1.5
_TOLERATED_SHARE = 0.02
#: Probability of that many bad answers from a healthy version below which the
#: version is rolled back.
_SIGNIFICANCE = 1e-3


@dataclasses.dataclass(frozen=True)
class _Step:
    """A share of the sessions, and the conditions for raising it to that."""

    #: Fraction of the duration after which the step may be taken. After
    #: `latest` it is taken even with fewer answers, because a slow version
    #: answers late and a service with little traffic seldom.
    earliest: float
    latest: float
    share: float
    #: Minimum number of answers of the target.
    min_answers: int


#: Steps after sessions may change their version.
_STEPS = (
    _Step(0.56, 0.72, 0.2, 5),
    _Step(0.74, 0.84, 0.4, 15),
    _Step(0.88, 0.92, 1.0, 30),
)


@dataclasses.dataclass(frozen=True)
class AnswerCounts:
    """Counts of the answers of one version on one route."""

    answers: int = 0
    #: Failed answers, and answers too late to be useful.
    bad: int = 0
    #: Durations of parts of streams and of whole answers, where known.
    durations: _duration_ranks.DurationHistogram = dataclasses.field(
        default_factory=dict
    )

    def __add__(self, other: "AnswerCounts") -> "AnswerCounts":
        return AnswerCounts(
            self.answers + other.answers,
            self.bad + other.bad,
            _duration_ranks.add_histograms((self.durations, other.durations)),
        )


@dataclasses.dataclass(frozen=True)
class RolloutEvidence:
    """Answers since the rollout began, by route.

    The other versions of the service are the baseline.
    """

    target_by_route: Mapping[str, AnswerCounts]
    baseline_by_route: Mapping[str, AnswerCounts]


class RolloutVerdict(enum.Enum):
    """Kind of change to a rollout."""

    #: Change the share of the target.
    MOVE = "move"
    COMPLETE = "complete"
    ROLL_BACK = "roll_back"


@dataclasses.dataclass(frozen=True)
class RolloutDecision:
    """A change to a rollout, with its reason."""

    verdict: RolloutVerdict
    #: Share of the sessions that the target gets, 0 to 1.
    share: float
    reason: str


class RolloutPlan:
    """Raises the target's share in steps, on the evidence of all entries.

    The target may fail or slow down at once, later, under load or on one
    route only. For the first half of the duration it therefore gets a small
    share of new sessions, then more in steps, and it is rolled back as soon
    as it is worse than the baseline.
    """

    def __init__(self, exposure_share: float) -> None:
        self._first_share = exposure_share * _FIRST_SHARE_FACTOR

    def decide(
        self,
        share: float,
        share_age_s: float,
        elapsed_s: float,
        duration_s: float,
        evidence: RolloutEvidence,
    ) -> RolloutDecision | core.Missing:
        """Returns the next change, unset to leave the rollout as it is.

        Args:
            share: Current share of the target.
            share_age_s: Time since the last change of the share, seconds.
            elapsed_s: Time since the operator started the rollout, seconds.
            duration_s: Time in which the rollout must be done, seconds.
            evidence: Answers so far.
        """
        regression = find_regression(evidence, _relative_load(share))
        if regression:
            return RolloutDecision(RolloutVerdict.ROLL_BACK, 0.0, regression)
        duration_s = max(duration_s, 1e-9)
        elapsed_fraction, share_age_fraction = (
            elapsed_s / duration_s,
            share_age_s / duration_s,
        )
        target = _total(evidence.target_by_route)
        reason = f"{target.answers} answers"
        if target.answers > target.bad and _may_complete(
            share, elapsed_fraction, share_age_fraction
        ):
            return RolloutDecision(RolloutVerdict.COMPLETE, 1.0, reason)
        next_share = self._next_share(
            share, elapsed_fraction, share_age_fraction, target.answers
        )
        if next_share <= share:
            return core.Missing.UNSET
        return RolloutDecision(RolloutVerdict.MOVE, next_share, reason)

    def _next_share(
        self,
        share: float,
        elapsed_fraction: float,
        share_age_fraction: float,
        answers: int,
    ) -> float:
        """Returns the share of the next step, or the current one."""
        if share <= 0.0:
            return self._first_share
        step = next((step for step in _STEPS if step.share > share), None)
        if step is None or share_age_fraction < _MIN_STEP_FRACTION:
            return share
        has_enough_answers = (
            elapsed_fraction >= step.earliest and answers >= step.min_answers
        )
        return (
            step.share
            if has_enough_answers or elapsed_fraction >= step.latest
            else share
        )


def _may_complete(
    share: float, elapsed_fraction: float, share_age_fraction: float
) -> bool:
    """Whether the old version has had time to finish its streams."""
    if elapsed_fraction >= _COMPLETE_LATEST_AT:
        return True
    return (
        elapsed_fraction >= _COMPLETE_AT
        and share >= 1.0
        and share_age_fraction >= _DRAIN_FRACTION
    )


def _relative_load(share: float) -> _duration_ranks.RelativeLoad:
    if share >= 1.0:
        return _duration_ranks.RelativeLoad.ALONE
    if share <= _MAX_LOWER_LOAD_SHARE:
        return _duration_ranks.RelativeLoad.LOWER
    return _duration_ranks.RelativeLoad.SIMILAR


def may_change_version(elapsed_s: float, duration_s: float) -> bool:
    """Whether sessions may change to the target at this time."""
    return elapsed_s >= duration_s * _CHANGE_VERSION_AT


def find_regression(
    evidence: RolloutEvidence,
    load: _duration_ranks.RelativeLoad = _duration_ranks.RelativeLoad.SIMILAR,
) -> str:
    """Returns why the target is worse than the baseline, empty if it is not.

    A target is worse if it fails more often or takes far longer. Each route is
    tested separately as well as all routes together, because a version may be
    bad on one route only.

    Args:
        evidence: Answers counted by all instances.
        load: Load of the target's engines relative to the baseline's engines.
    """
    return _find_failure_regression(evidence) or _find_latency_regression(
        evidence, load
    )


def _find_failure_regression(evidence: RolloutEvidence) -> str:
    rows = [
        (
            "all routes",
            _total(evidence.target_by_route),
            _total(evidence.baseline_by_route),
        )
    ]
    for route, target in evidence.target_by_route.items():
        baseline = evidence.baseline_by_route.get(route, AnswerCounts())
        rows.append((route, target, baseline))
    for name, target, baseline in rows:
        if target.bad < _MIN_BAD_ANSWERS:
            continue
        baseline_share = (baseline.bad + 0.5) / (baseline.answers + 10)
        expected = target.answers * (
            _TOLERATED_FACTOR * baseline_share + _TOLERATED_SHARE
        )
        if _poisson_tail(expected, target.bad) < _SIGNIFICANCE:
            return (
                f"{name}: {target.bad} of {target.answers} answers bad, "
                f"others {baseline.bad} of {baseline.answers}"
            )
    return ""


def _find_latency_regression(
    evidence: RolloutEvidence, load: _duration_ranks.RelativeLoad
) -> str:
    ranks_by_route = {
        route: _duration_ranks.rank(
            target.durations,
            evidence.baseline_by_route.get(route, AnswerCounts()).durations,
        )
        for route, target in evidence.target_by_route.items()
    }
    combined = sum(ranks_by_route.values(), _duration_ranks.DurationRanks())
    for name, ranks in {"all routes": combined, **ranks_by_route}.items():
        if ranks.is_slow(load):
            return (
                f"{name}: {ranks.answers} answers slower than "
                f"{ranks.mean_rank:.0%} of the others"
            )
    return ""


def _total(counts: Mapping[str, AnswerCounts]) -> AnswerCounts:
    return sum(counts.values(), AnswerCounts())


def _poisson_tail(expected: float, count: int) -> float:
    """Returns the Poisson probability of `count` or more events."""
    term = math.exp(-expected)
    below = 0.0
    for k in range(count):
        below += term
        term *= expected / (k + 1)
    return max(0.0, 1.0 - below)
