"""Tests of the choice of upstreams, models and versions."""

import dataclasses

import hypothesis
import pytest
from hypothesis import strategies

import mulberry_core as core
import mulberry_decisions as decisions

_WORK = decisions.Work("a", "letter", 2, 100.0, content="c")
_MODELS = (
    decisions.ModelOption("chico", 1.0, 0.7),
    decisions.ModelOption("medio", 4.0, 0.85),
    decisions.ModelOption("grande", 12.0, 0.96),
)


def _state(name: str, **changes: object) -> decisions.UpstreamState:
    state = decisions.UpstreamState(name, f"{name}:1", "z", 1, capacity=8)
    return dataclasses.replace(state, **changes)  # type: ignore[arg-type]


@pytest.mark.parametrize("name", sorted(decisions.UPSTREAM_CHOOSERS))
@hypothesis.given(
    leaving=strategies.lists(strategies.booleans(), max_size=6),
    running=strategies.lists(
        strategies.integers(0, 50), min_size=6, max_size=6
    ),
)
def test_upstream_is_a_usable_candidate(
    name: str, leaving: list[bool], running: list[int]
) -> None:
    """Guards against new work on a leaving upstream."""
    chooser = decisions.UPSTREAM_CHOOSERS[name](core.ManualClock(), "z")
    states = [
        _state(f"u{index}", leaving=is_leaving, running=running[index])
        for index, is_leaving in enumerate(leaving)
    ]
    chosen = chooser.choose(_WORK, states)
    if all(leaving):
        assert isinstance(chosen, core.Refusal)
        assert chosen.kind is core.ErrorKind.NO_UPSTREAM
    else:
        assert isinstance(chosen, decisions.UpstreamState)
        assert chosen in states
        assert not chosen.leaving


@pytest.mark.parametrize(
    ("better", "worse"),
    [
        ({"running": 1}, {"running": 7}),
        ({"zone": "z"}, {"zone": "other"}),
        ({"running": 2}, {"running": 2, "since_start_s": 0.0}),
    ],
)
def test_two_choices_prefers_the_cheaper_upstream(
    better: dict[str, object], worse: dict[str, object]
) -> None:
    """Guards against load, zone or slow start being ignored."""
    chooser = decisions.TwoChoices(core.ManualClock(), "z", seed=1)
    states = [_state("u", **worse), _state("v", **better)]
    chosen = chooser.choose(_WORK, states)
    assert chosen == states[1]


def test_two_choices_counts_own_requests_since_the_report() -> None:
    """Guards against a burst sent to the least reported load."""
    clock = core.ManualClock()
    chooser = decisions.TwoChoices(clock, "z", seed=1)
    states = [_state("u", running=2), _state("v", running=4)]
    counts = {"u": 0, "v": 0}
    for _ in range(20):
        clock.advance(0.01)
        aged = [
            dataclasses.replace(state, report_age_s=clock.now())
            for state in states
        ]
        chosen = chooser.choose(_WORK, aged)
        assert isinstance(chosen, decisions.UpstreamState)
        chooser.started(_WORK, chosen)
        counts[chosen.name] += 1
    assert counts == {"u": 11, "v": 9}


def test_two_choices_avoids_an_upstream_that_fails_fast() -> None:
    """Guards against an idle but broken upstream that attracts all work."""
    chooser = decisions.TwoChoices(core.ManualClock(), "z", seed=1)
    states = [_state("u", running=0), _state("v", running=6)]
    for _ in range(3):
        chooser.started(_WORK, states[0])
        chooser.finished(_WORK, states[0], decisions.Outcome.FAILED, 0.001)
    assert chooser.choose(_WORK, states) == states[1]


def test_prefix_events_may_be_late_lost_or_of_an_old_incarnation() -> None:
    """Guards against affinity to a cache that no longer exists."""
    work = dataclasses.replace(_WORK, prefixes=("p1", "p2"))
    chooser = decisions.TwoChoices(core.ManualClock(), "z", seed=1)
    states = [_state("u", running=2), _state("v", running=1)]
    event = decisions.CacheEvent
    chooser.cache_changed(event("u", 1, 5, stored=("p1", "p2")))
    assert chooser.choose(work, states) == states[0]
    chooser.cache_changed(event("u", 1, 4, cleared=True))
    assert chooser.choose(work, states) == states[0]
    restarted = [_state("u", running=2, incarnation=2), states[1]]
    assert chooser.choose(work, restarted) == states[1]
    chooser.cache_changed(event("u", 1, 6, dropped=("p1", "p2")))
    assert chooser.choose(work, states) == states[1]


@pytest.mark.parametrize("name", sorted(decisions.MODEL_CHOOSERS))
@hypothesis.given(
    allowed=strategies.sets(strategies.sampled_from(_MODELS)),
    ratings=strategies.lists(
        strategies.one_of(
            strategies.just(core.Missing.UNSET), strategies.floats(0.0, 1.0)
        ),
        min_size=4,
        max_size=4,
    ),
    withdrawn=strategies.sampled_from(_MODELS),
)
def test_only_allowed_models_run(
    name: str,
    allowed: set[decisions.ModelOption],
    ratings: list[float | core.Missing],
    withdrawn: decisions.ModelOption,
) -> None:
    """Guards against models the team may not use, also after a change."""
    chooser = decisions.MODEL_CHOOSERS[name](core.ManualClock())
    options = [option for option in _MODELS if option in allowed]
    step: object = chooser.first(_WORK, options, 0.9)
    attempts: list[decisions.Attempt] = []
    for rating in ratings:
        if not isinstance(step, decisions.TryModel):
            break
        names = [option.name for option in options]
        assert step.model in names
        assert step.model not in [attempt.model for attempt in attempts]
        attempts.append(decisions.Attempt(step.model, rating))
        chooser.learn(_WORK, step.model, rating, 0.9)
        options = [option for option in options if option != withdrawn]
        step = chooser.next(_WORK, options, 0.9, attempts)
    if allowed:
        assert isinstance(step, decisions.Deliver)
        assert step.model in [attempt.model for attempt in attempts]
    else:
        assert isinstance(step, core.Refusal)


def _teach(
    chooser: decisions.ModelChooser, model: str, rating: float, times: int
) -> None:
    for _ in range(times):
        chooser.learn(_WORK, model, rating, 0.9)


def test_cascade_learns_where_to_start_and_shares_it() -> None:
    """Guards against entries that do not use each other's ratings."""
    teacher = decisions.LearnedCascade(core.ManualClock(), seed=1)
    pupil = decisions.LearnedCascade(core.ManualClock(), seed=2)
    for _ in range(60):
        _teach(teacher, "chico", 0.2, 1)
        _teach(teacher, "grande", 0.95, 1)
    pupil.merge("teacher", teacher.export())
    pupil.merge("teacher", teacher.export())
    for chooser in (teacher, pupil):
        firsts = [chooser.first(_WORK, _MODELS, 0.9) for _ in range(50)]
        cheap = [
            step
            for step in firsts
            if isinstance(step, decisions.TryModel) and step.model == "chico"
        ]
        assert len(cheap) <= 5


@pytest.mark.parametrize(
    "ratings",
    [
        [core.Missing.UNSET] * 3,
        [0.0] * 40,
    ],
)
def test_without_usable_ratings_a_proven_model_is_used(
    ratings: list[float | core.Missing],
) -> None:
    """Guards against cheap models while the rater is absent or stuck at 0."""
    clock = core.ManualClock()
    chooser = decisions.LearnedCascade(clock, seed=1)
    for _ in range(60):
        for option in _MODELS:
            _teach(chooser, option.name, 0.95, 1)
            _teach(chooser, "chico", 0.5, 1)
    for rating in ratings:
        for option in _MODELS:
            chooser.learn(_WORK, option.name, rating, 0.9)
    chooser.first(_WORK, _MODELS, 0.9)
    step = chooser.first(_WORK, _MODELS, 0.9)
    assert isinstance(step, decisions.TryModel)
    assert step.model == "medio"
    attempt = decisions.Attempt("medio", core.Missing.UNSET)
    assert isinstance(
        chooser.next(_WORK, _MODELS, 0.9, [attempt]), decisions.Deliver
    )


_OFFER = decisions.VersionOffer("m", "old", "new")


@hypothesis.given(
    session=strategies.text(max_size=8),
    shares=strategies.lists(strategies.floats(0.0, 1.0), max_size=10),
)
def test_a_session_keeps_its_version(session: str, shares: list[float]) -> None:
    """Guards against sessions that change version with the rollout's share."""
    chooser = decisions.SessionShare()
    work = dataclasses.replace(_WORK, session=session)
    pinned: str | core.Missing = core.Missing.UNSET
    unpinned = []
    for share in sorted(shares):
        offer = dataclasses.replace(_OFFER, share=share)
        version = chooser.choose(work, offer, {"old", "new"}, pinned)
        assert isinstance(version, str)
        assert pinned in (core.Missing.UNSET, version)
        pinned = version
        unpinned.append(
            chooser.choose(work, offer, {"old", "new"}, core.Missing.UNSET)
        )
    assert unpinned == sorted(unpinned, key=str, reverse=True)


@pytest.mark.parametrize(
    ("changes", "allowed", "expected"),
    [
        ({"share": 1.0}, {"old", "new"}, "new"),
        ({"share": 1.0}, {"old"}, "old"),
        (
            {"share": 1.0, "health": decisions.VersionHealth.BAD},
            {"old", "new"},
            "old",
        ),
        (
            {"share": 1.0, "max_exposed": 50, "exposed": 50},
            {"old", "new"},
            "old",
        ),
        (
            {"share": 1.0, "max_exposed": 50, "exposed": 50, "proven": True},
            {"old", "new"},
            "new",
        ),
        ({"share": 0.0}, {"new"}, "new"),
    ],
)
def test_version_respects_exposure_and_standing(
    changes: dict[str, object], allowed: set[str], expected: str
) -> None:
    """Guards against too much exposure, and exposure to bad versions."""
    offer = dataclasses.replace(_OFFER, **changes)  # type: ignore[arg-type]
    chosen = decisions.SessionShare().choose(
        _WORK, offer, allowed, core.Missing.UNSET
    )
    assert chosen == expected
