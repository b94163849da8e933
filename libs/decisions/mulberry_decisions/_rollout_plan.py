"""When the rollout of a service gets more traffic, ends or is taken back."""

import dataclasses
import enum
import math
from collections.abc import Mapping

import mulberry_core as core

#: Part of the allowed exposure that the first share uses; sessions are of
#: unlike size, so their share of the requests varies.
_FIRST_SHARE_USED = 0.7
#: Part of the wanted duration after which sessions may change their version.
_MOVE_AT = 0.5
#: Steps of the share from then on, as (part of the duration, share).
_STEPS = ((0.5, 0.3), (0.56, 0.6), (0.62, 1.0))
#: Part of the duration after which the rollout is complete: streams on the
#: old version have had a fifth of it to end.
_COMPLETE_AT = 0.84
#: Answers of the target that are needed before it gets more.
_LEAST_EVIDENCE = 8
#: Without so many answers the rollout goes on at this part of the duration.
_GO_ON_AT = 0.62
#: Fewest bad answers on which a version is taken back.
_LEAST_BAD = 4
#: Excess over the other versions' share of bad answers that is tolerated.
_TOLERATED_FACTOR = 1.5
_TOLERATED_SHARE = 0.02
#: Probability of so many bad answers from a sound version.
_SIGNIFICANCE = 1e-3


@dataclasses.dataclass(frozen=True)
class AnswerCounts:
    """Answers of one version on one route."""

    answers: int = 0
    #: Failures, and answers far later than is useful.
    bad: int = 0

    def __add__(self, other: "AnswerCounts") -> "AnswerCounts":
        return AnswerCounts(self.answers + other.answers, self.bad + other.bad)


@dataclasses.dataclass(frozen=True)
class RolloutEvidence:
    """Answers since the rollout began, by route."""

    target_by_route: Mapping[str, AnswerCounts]
    others_by_route: Mapping[str, AnswerCounts]


class RolloutVerdict(enum.Enum):
    """What to do with a rollout."""

    #: Change the share.
    MOVE = "move"
    COMPLETE = "complete"
    ROLL_BACK = "roll_back"


@dataclasses.dataclass(frozen=True)
class RolloutDecision:
    """A change of a rollout, with its reason."""

    verdict: RolloutVerdict
    #: Share of the sessions that the target gets, 0 to 1.
    share: float
    reason: str


class RolloutPlan:
    """Decides on the evidence of all entries together.

    Answers a target that fails or slows down at once, later, under load or
    on one route only: until half of the time it gets a small share of new
    sessions, then more in steps, each of which it must survive.
    """

    def __init__(self, exposure_share: float) -> None:
        self._first_share = exposure_share * _FIRST_SHARE_USED

    def decide(
        self,
        share: float,
        elapsed_s: float,
        duration_s: float,
        evidence: RolloutEvidence,
    ) -> RolloutDecision | core.Missing:
        """Returns the next change, unset to leave the rollout as it is.

        Args:
            share: Present share of the target.
            elapsed_s: Since the order, seconds.
            duration_s: In which the operator wants it done, seconds.
            evidence: Answers so far.
        """
        fault = find_fault(evidence)
        if fault:
            return RolloutDecision(RolloutVerdict.ROLL_BACK, 0.0, fault)
        done = elapsed_s / max(duration_s, 1e-9)
        target = _total(evidence.target_by_route)
        if done >= _COMPLETE_AT and target.answers > target.bad:
            return RolloutDecision(
                RolloutVerdict.COMPLETE, 1.0, f"{target.answers} answers"
            )
        wanted = self._wanted_share(done, target)
        if wanted <= share:
            return core.Missing.UNSET
        return RolloutDecision(
            RolloutVerdict.MOVE, wanted, f"{target.answers} answers"
        )

    def _wanted_share(self, done: float, target: AnswerCounts) -> float:
        proven = target.answers >= _LEAST_EVIDENCE or done >= _GO_ON_AT
        wanted = self._first_share
        for begins, share in _STEPS:
            if done >= begins and proven:
                wanted = share
        return wanted


def may_change_version(elapsed_s: float, duration_s: float) -> bool:
    """Whether sessions may move to the target by now."""
    return elapsed_s >= duration_s * _MOVE_AT


def find_fault(evidence: RolloutEvidence) -> str:
    """Returns why the target is worse than the others, empty if it is not.

    Every route is tested by itself and all together: a version may be bad on
    one route only.
    """
    rows = [
        (
            "all routes",
            _total(evidence.target_by_route),
            _total(evidence.others_by_route),
        )
    ]
    for route, target in evidence.target_by_route.items():
        others = evidence.others_by_route.get(route, AnswerCounts())
        rows.append((route, target, others))
    for name, target, others in rows:
        if target.bad < _LEAST_BAD:
            continue
        usual = (others.bad + 0.5) / (others.answers + 10)
        expected = target.answers * (
            _TOLERATED_FACTOR * usual + _TOLERATED_SHARE
        )
        if _tail(expected, target.bad) < _SIGNIFICANCE:
            return (
                f"{name}: {target.bad} of {target.answers} answers bad, "
                f"others {others.bad} of {others.answers}"
            )
    return ""


def _total(counts: Mapping[str, AnswerCounts]) -> AnswerCounts:
    return sum(counts.values(), AnswerCounts())


def _tail(expected: float, count: int) -> float:
    """Returns the Poisson probability of `count` or more."""
    term = math.exp(-expected)
    below = 0.0
    for k in range(count):
        below += term
        term *= expected / (k + 1)
    return max(0.0, 1.0 - below)
