"""Tests of service rollouts: bad versions roll back, good ones complete."""

import random
from collections.abc import Sequence

import pytest

import mulberry_core as core
import mulberry_decisions as decisions

_SHARE = 0.15
_DURATION_S = 24.0


def _evidence(
    target: tuple[int, int], baseline: tuple[int, int]
) -> decisions.RolloutEvidence:
    return decisions.RolloutEvidence(
        {"chat": decisions.AnswerCounts(*target)},
        {"chat": decisions.AnswerCounts(*baseline)},
    )


@pytest.mark.parametrize(
    ("elapsed_s", "share", "target", "verdict", "expected_share"),
    [
        (0.0, 0.0, (0, 0), decisions.RolloutVerdict.MOVE, _SHARE * 0.7),
        (14.0, 0.1, (20, 0), decisions.RolloutVerdict.MOVE, 0.2),
        (18.0, 0.2, (40, 0), decisions.RolloutVerdict.MOVE, 0.4),
        (21.3, 0.4, (60, 0), decisions.RolloutVerdict.MOVE, 1.0),
        (22.5, 1.0, (99, 0), decisions.RolloutVerdict.COMPLETE, 1.0),
        (3.0, 0.1, (6, 5), decisions.RolloutVerdict.ROLL_BACK, 0.0),
    ],
)
def test_steps(
    elapsed_s: float,
    share: float,
    target: tuple[int, int],
    verdict: decisions.RolloutVerdict,
    expected_share: float,
) -> None:
    plan = decisions.RolloutPlan(_SHARE)
    decision = plan.decide(
        share, 5.0, elapsed_s, _DURATION_S, _evidence(target, (500, 2))
    )
    assert isinstance(decision, decisions.RolloutDecision)
    assert decision.verdict is verdict
    assert decision.share == pytest.approx(expected_share)


@pytest.mark.parametrize("elapsed_s", [12.1, 16.0, 20.0])
def test_most_sessions_stay_until_the_end(elapsed_s: float) -> None:
    """Guards against a version that is bad only under full load.

    This does not show before it has all sessions, so it gets them late.
    """
    plan = decisions.RolloutPlan(_SHARE)
    for share in (_SHARE * 0.7, 0.2, 0.4):
        decision = plan.decide(
            share, 5.0, elapsed_s, _DURATION_S, _evidence((999, 0), (500, 2))
        )
        if isinstance(decision, decisions.RolloutDecision):
            assert decision.share <= 0.4


def test_no_more_traffic_without_evidence() -> None:
    plan = decisions.RolloutPlan(_SHARE)
    decision = plan.decide(
        0.2, 5.0, 12.5, _DURATION_S, _evidence((3, 0), (500, 2))
    )
    assert decision is core.Missing.UNSET


def test_steps_are_taken_one_by_one() -> None:
    """Guards against giving all sessions to a version after eight answers.

    The first answers may arrive only when all steps are due.
    """
    plan = decisions.RolloutPlan(_SHARE)
    share, share_since_s, shares = 0.0, 0.0, []
    for tick in range(int(_DURATION_S / 0.4)):
        elapsed_s = tick * 0.4
        answers = 40 if elapsed_s > 0.62 * _DURATION_S else 0
        decision = plan.decide(
            share,
            elapsed_s - share_since_s,
            elapsed_s,
            _DURATION_S,
            _evidence((answers, 0), (500, 2)),
        )
        if isinstance(decision, core.Missing):
            continue
        shares.append(decision.share)
        if decision.verdict is decisions.RolloutVerdict.COMPLETE:
            break
        assert not share or elapsed_s - share_since_s >= 0.04 * _DURATION_S
        share, share_since_s = decision.share, elapsed_s
    assert shares == pytest.approx([_SHARE * 0.7, 0.2, 0.4, 1.0, 1.0])
    assert elapsed_s <= 0.97 * _DURATION_S


#: Standard deviation of the logarithm of the gaps between events of one model
#: and route, as measured over a day with bursts: one in ten is 2.8 times the
#: median.
_SPREAD = 0.8


def _answers_taking(durations_s: Sequence[float]) -> decisions.AnswerCounts:
    counts = decisions.AnswerCounts()
    for duration_s in durations_s:
        counts += decisions.AnswerCounts(
            1, 0, {decisions.duration_bucket(duration_s): 1}
        )
    return counts


def _draw_answers(
    rng: random.Random, answers: int, factor: float = 1.0
) -> decisions.AnswerCounts:
    """Returns gaps between events that vary with the model and the load."""
    return _answers_taking(
        [
            0.03 * factor * rng.lognormvariate(0.0, _SPREAD)
            for _ in range(answers)
        ]
    )


@pytest.mark.parametrize("factor", [4.0, 8.0])
def test_slow_versions_are_detected_within_the_exposure_bound(
    factor: float,
) -> None:
    """Guards against completing the rollout of a slow version.

    Its first events came within the targets, so every answer counted as good
    as soon as it had begun. The exposure bound allows 30 requests beyond the
    share.
    """
    rng = random.Random(9)
    for _ in range(100):
        target, baseline = decisions.AnswerCounts(), _draw_answers(rng, 60)
        while not decisions.find_regression(
            decisions.RolloutEvidence({"chat": target}, {"chat": baseline})
        ):
            target += _draw_answers(rng, 1, factor)
            baseline += _draw_answers(rng, 9)
        assert target.answers <= 30


@pytest.mark.parametrize("factor", [1.0, 1.3])
def test_slightly_slower_versions_are_rarely_rolled_back(
    factor: float,
) -> None:
    """A false alarm costs the operator a rollout: at most one in 100."""
    rng = random.Random(10)
    false_alarms = 0
    for _ in range(200):
        target, baseline = decisions.AnswerCounts(), _draw_answers(rng, 40)
        for _ in range(100):
            target += _draw_answers(rng, 1, factor)
            baseline += _draw_answers(rng, 5)
            evidence = decisions.RolloutEvidence(
                {"chat": target}, {"chat": baseline}
            )
            if decisions.find_regression(evidence):
                false_alarms += 1
                break
    assert false_alarms <= 2


def test_a_slow_version_is_detected_beside_a_loaded_baseline() -> None:
    """Guards against a slow version that goes undetected under load.

    The baseline is slow under load while the engines of the new version are
    nearly idle, so its durations are near the baseline's median. Seen on
    srv-leest in a hasty run with seed 2: nine answers, mean rank 0.62, none in
    the faster half.
    """
    baseline = _answers_taking(
        [0.02 * 1.3**k for k in range(16) for _ in range(4)]
    )
    target = _answers_taking(
        [0.18, 0.18, 0.2, 0.2, 0.21, 0.22, 0.22, 0.25, 0.3]
    )
    evidence = decisions.RolloutEvidence({"chat": target}, {"chat": baseline})
    assert not decisions.find_regression(evidence)
    assert decisions.find_regression(evidence, decisions.RelativeLoad.LOWER)


@pytest.mark.parametrize("factor", [0.6, 0.8, 1.0])
def test_healthy_versions_with_lower_load_are_rarely_rolled_back(
    factor: float,
) -> None:
    """A false alarm costs the operator a rollout: at most one in 100.

    A version has about 40 answers before it has all sessions.
    """
    rng = random.Random(11)
    false_alarms = 0
    for _ in range(400):
        target, baseline = decisions.AnswerCounts(), _draw_answers(rng, 60)
        for _ in range(20):
            target += _draw_answers(rng, 2, factor)
            baseline += _draw_answers(rng, 10)
            if decisions.find_regression(
                decisions.RolloutEvidence({"chat": target}, {"chat": baseline}),
                decisions.RelativeLoad.LOWER,
            ):
                false_alarms += 1
                break
    assert false_alarms <= 4


def test_a_small_baseline_causes_no_rollback() -> None:
    evidence = decisions.RolloutEvidence(
        {"chat": _answers_taking([0.3] * 9)},
        {"chat": _answers_taking([0.03] * 9)},
    )
    assert not decisions.find_regression(evidence)


def test_a_regression_on_one_route_is_detected() -> None:
    evidence = decisions.RolloutEvidence(
        {
            "chat": decisions.AnswerCounts(90, 0),
            "tags": decisions.AnswerCounts(9, 5),
        },
        {
            "chat": decisions.AnswerCounts(900, 0),
            "tags": decisions.AnswerCounts(90, 1),
        },
    )
    assert decisions.find_regression(evidence).startswith("tags")


@pytest.mark.parametrize("baseline_share", [0.0, 0.02, 0.14])
def test_healthy_versions_are_rarely_rolled_back(baseline_share: float) -> None:
    """A false alarm costs the operator a rollout: at most one in 100."""
    rng = random.Random(7)
    false_alarms = 0
    for _ in range(400):
        target = baseline = decisions.AnswerCounts()
        for _ in range(200):
            baseline += decisions.AnswerCounts(
                5, _bad_answers(rng, 5, baseline_share)
            )
            target += decisions.AnswerCounts(
                1, _bad_answers(rng, 1, baseline_share)
            )
            evidence = decisions.RolloutEvidence(
                {"chat": target}, {"chat": baseline}
            )
            if decisions.find_regression(evidence):
                false_alarms += 1
                break
    assert false_alarms <= 4


@pytest.mark.parametrize("bad_share", [0.32, 0.5])
def test_bad_versions_are_detected_within_the_exposure_bound(
    bad_share: float,
) -> None:
    """The exposure bound allows 30 requests beyond the share."""
    rng = random.Random(8)
    for _ in range(100):
        target = decisions.AnswerCounts()
        baseline = decisions.AnswerCounts(100, 1)
        while not decisions.find_regression(
            decisions.RolloutEvidence({"chat": target}, {"chat": baseline})
        ):
            target += decisions.AnswerCounts(1, _bad_answers(rng, 1, bad_share))
            baseline += decisions.AnswerCounts(9, 0)
        assert target.answers <= 45


def _bad_answers(rng: random.Random, answers: int, share: float) -> int:
    return sum(rng.random() < share for _ in range(answers))
