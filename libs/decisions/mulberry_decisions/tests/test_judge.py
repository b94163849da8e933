"""Tests of verdicts, rollout steps, crash strikes and hedging."""

import dataclasses
import itertools
import random

import hypothesis
import pytest
from hypothesis import strategies

import mulberry_core as core
import mulberry_decisions as decisions

_RUNS = 600


def _observe_runs(
    judge: decisions.VersionJudge,
    clock: core.ManualClock,
    shares_by_version: dict[tuple[str, str, str], float],
    runs: int = _RUNS,
    seed: int = 1,
) -> None:
    """Observes runs with a share of failures by (model, version, kind)."""
    rng = random.Random(seed)
    for _ in range(runs):
        clock.advance(0.25)
        for (model, version, kind), share in shares_by_version.items():
            outcome = (
                decisions.Outcome.FAILED
                if rng.random() < share
                else decisions.Outcome.COMPLETED
            )
            judge.observe(decisions.Observation(model, version, kind, outcome))


def _bad_versions(judge: decisions.VersionJudge) -> set[tuple[str, str]]:
    return {
        (proposal.model, proposal.version)
        for proposal in judge.proposals()
        if proposal.health is decisions.VersionHealth.BAD
    }


_HEALTHY = {("m", "old", "a"): 0.05, ("m", "old", "b"): 0.05}


@pytest.mark.parametrize(
    ("before", "after", "expected"),
    [
        pytest.param({}, {("m", "new", "a"): 0.05}, set(), id="sound"),
        pytest.param(
            {}, {("m", "new", "a"): 0.5}, {("m", "new")}, id="bad from start"
        ),
        pytest.param(
            {("m", "new", "a"): 0.05, ("m", "new", "b"): 0.05},
            {("m", "new", "a"): 0.05, ("m", "new", "b"): 0.6},
            {("m", "new")},
            id="one kind only",
        ),
        pytest.param(
            {("n", "only", "a"): 0.05},
            {("n", "only", "a"): 0.5},
            {("n", "only")},
            id="alone, against its past",
        ),
        pytest.param(
            {("m", "new", "a"): 0.05, ("n", "only", "a"): 0.05},
            {
                ("m", "new", "a"): 0.5,
                ("m", "old", "a"): 0.5,
                ("m", "old", "b"): 0.5,
                ("n", "only", "a"): 0.5,
            },
            set(),
            id="all at once",
        ),
        pytest.param(
            {("m", "new", "a"): 0.0},
            {("m", "new", "a"): 0.0, ("m", "old", "a"): 0.05},
            set(),
            id="new one is better",
        ),
    ],
)
def test_verdicts(
    before: dict[tuple[str, str, str], float],
    after: dict[tuple[str, str, str], float],
    expected: set[tuple[str, str]],
) -> None:
    """Guards against undetected bad versions and false alarms."""
    clock = core.ManualClock()
    judge = decisions.SequentialJudge(clock)
    _observe_runs(judge, clock, {**_HEALTHY, **before})
    assert _bad_versions(judge) == set()
    _observe_runs(judge, clock, {**_HEALTHY, **before, **after})
    assert _bad_versions(judge) == expected


def test_evidence_of_all_entries_counts_together() -> None:
    """Guards against entries that judge only by their own runs."""
    clock = core.ManualClock()
    judges = [decisions.SequentialJudge(clock) for _ in range(4)]
    for seed, judge in enumerate(judges):
        _observe_runs(
            judge, clock, {("m", "old", "a"): 0.05}, runs=200, seed=seed
        )
    shares = {("m", "old", "a"): 0.05, ("m", "new", "a"): 0.45}
    for seed, judge in enumerate(judges):
        _observe_runs(judge, clock, shares, runs=12, seed=seed)
    assert all(not _bad_versions(judge) for judge in judges)
    for index, judge in enumerate(judges[1:]):
        judges[0].merge(f"entry-{index}", judge.export())
    assert _bad_versions(judges[0]) == {("m", "new")}
    assert judges[0].exposed("m", "new") == 48


def test_a_late_message_does_not_undo_a_verdict() -> None:
    """Guards against evidence from before a verdict that counts again.

    A delayed message brings it after the probation has begun.
    """
    clock = core.ManualClock()
    judge, other = (decisions.SequentialJudge(clock) for _ in range(2))
    shares = {("m", "old", "a"): 0.05, ("m", "new", "a"): 0.6}
    _observe_runs(other, clock, shares, runs=100)
    stale = other.export()
    judge.merge("other", stale)
    assert _bad_versions(judge) == {("m", "new")}
    judge.verdict_recorded("m", "new", 1, decisions.VersionHealth.BAD)
    judge.merge("other", stale)
    judge.verdict_recorded("m", "new", 0, decisions.VersionHealth.GOOD)
    assert judge.proposals() == ()
    clock.advance(901.0)
    (probation,) = judge.proposals()
    assert probation.health is decisions.VersionHealth.PROBATION
    assert probation.after_number == 1
    judge.verdict_recorded("m", "new", 2, decisions.VersionHealth.PROBATION)
    judge.merge("other", stale)
    assert judge.exposed("m", "new") == 0
    _observe_runs(judge, clock, {**shares, ("m", "new", "a"): 0.05}, runs=60)
    (good,) = judge.proposals()
    assert good.health is decisions.VersionHealth.GOOD


_STATE = decisions.RolloutState(
    "m",
    "new",
    0,
    (0.01, 0.25, 1.0),
    60.0,
    60.0,
    False,
    decisions.VersionHealth.GOOD,
)


@pytest.mark.parametrize(
    ("changes", "action", "step"),
    [
        ({"step": -1}, decisions.RolloutAction.FORWARD, 0),
        ({}, decisions.RolloutAction.HOLD, 0),
        ({"proven": True}, decisions.RolloutAction.FORWARD, 1),
        ({"proven": True, "step_age_s": 1.0}, decisions.RolloutAction.HOLD, 0),
        ({"proven": True, "held": True}, decisions.RolloutAction.HOLD, 0),
        ({"proven": True, "step": 2}, decisions.RolloutAction.HOLD, 2),
        (
            {"health": decisions.VersionHealth.BAD, "held": True},
            decisions.RolloutAction.BACK,
            -1,
        ),
        (
            {"health": decisions.VersionHealth.PROBATION, "step": -1},
            decisions.RolloutAction.FORWARD,
            0,
        ),
    ],
)
def test_rollout_steps(
    changes: dict[str, object], action: decisions.RolloutAction, step: int
) -> None:
    """Guards against steps without evidence or despite a hold."""
    state = dataclasses.replace(_STATE, **changes)  # type: ignore[arg-type]
    advice = decisions.ProvenSteps().advise(state)
    assert (advice.action, advice.step) == (action, step)


_UPSTREAMS = tuple(
    decisions.UpstreamState(f"u{index}", f"{index}:1", "z", 1)
    for index in range(5)
)


def _content(digest: str) -> decisions.Work:
    return decisions.Work("a", "k", 2, 100.0, content=digest)


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 1),
            strategies.integers(0, 4),
            strategies.sampled_from(["bad", "x", "y", "z"]),
        ),
        max_size=40,
    )
)
def test_a_content_loses_at_most_two_upstreams(
    steps: list[tuple[int, int, str]],
) -> None:
    """Guards against a resent request that crashes the whole pool.

    `bad` crashes each upstream immediately; two entries share the strikes.
    """
    clock = core.ManualClock()
    guards = [decisions.StrikeGuard(clock) for _ in range(2)]
    strikes: dict[str, int] = {}
    lost: set[str] = set()
    runs: list[tuple[int, decisions.Work, decisions.UpstreamState]] = []
    for entry, pick, digest in steps:
        guard = guards[entry]
        alive = [one for one in _UPSTREAMS if one.name not in lost]
        usable = guard.filter(_content(digest), alive)
        if isinstance(usable, core.Refusal) or not usable:
            continue
        chosen = usable[pick % len(usable)]
        if not guard.started(_content(digest), chosen):
            continue
        runs.append((entry, _content(digest), chosen))
        if digest != "bad":
            continue
        lost.add(chosen.name)
        for one in guards:
            report = one.upstream_lost(chosen.name, 1)
            if isinstance(report, decisions.CrashReport):
                for each in report.digests:
                    strikes[each] = strikes.get(each, 0) + 1
        for one in guards:
            one.strikes_changed(strikes)
        runs = [run for run in runs if run[2] != chosen]
    assert len(lost) <= 2
    for entry, work, upstream in runs:
        cleared = guards[entry].finished(
            work, upstream, decisions.Outcome.COMPLETED
        )
        assert set(cleared) <= {digest for digest in strikes if digest != "bad"}
    if len(lost) == 2:
        blocked = guards[0].filter(_content("bad"), _UPSTREAMS)
        assert isinstance(blocked, core.Refusal)
        assert blocked.kind is core.ErrorKind.CONTENT_BLOCKED


@hypothesis.given(
    digests=strategies.sets(strategies.text(min_size=1), max_size=12)
)
def test_contents_with_a_strike_never_share_an_upstream(
    digests: set[str],
) -> None:
    """Guards against blocking a harmless request.

    It gets a second strike if it runs beside another request with a strike
    that crashes the upstream.
    """
    guard = decisions.StrikeGuard(core.ManualClock())
    guard.strikes_changed(dict.fromkeys(digests, 1))
    upstreams = [
        usable[0].name
        for usable in (
            guard.filter(_content(digest), _UPSTREAMS) for digest in digests
        )
        if isinstance(usable, tuple)
    ]
    assert len(set(upstreams)) == len(upstreams) == min(5, len(digests))


@pytest.mark.parametrize("name", sorted(decisions.HEDGE_POLICIES))
@pytest.mark.parametrize(
    ("idempotent", "call"), list(itertools.product([True, False], repeat=2))
)
def test_only_lookups_are_hedged(
    name: str, idempotent: bool, call: bool
) -> None:
    """Guards against hedging of deposits and chats, which run twice then."""
    policy = decisions.HEDGE_POLICIES[name]()
    work = dataclasses.replace(
        _content("c"), is_idempotent=idempotent, is_call=call
    )
    for index in range(200):
        policy.finished(work, 1.0 if index % 20 == 0 else 0.01, False, False)
    delay_s = policy.delay_s(work)
    expected = idempotent and call and name != "none"
    assert isinstance(delay_s, float) == expected
