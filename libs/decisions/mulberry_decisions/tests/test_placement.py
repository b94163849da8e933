"""Tests of placement, load estimates and upstream health."""

import collections
import random

import pytest

import mulberry_core as core
import mulberry_decisions as decisions

UpstreamCandidate = decisions.UpstreamCandidate


def _candidates(*loads: float, zone: str = "gent") -> list[UpstreamCandidate]:
    return [
        UpstreamCandidate(f"w{number}", zone, slots=16, load=load)
        for number, load in enumerate(loads)
    ]


def _name(candidate: UpstreamCandidate | core.Missing) -> str:
    assert isinstance(candidate, UpstreamCandidate)
    return candidate.name


def _affinity() -> decisions.SessionAffinity:
    return decisions.SessionAffinity(
        "gent", decisions.PowerOfTwoChoices("gent", random.Random(1))
    )


def test_no_candidates() -> None:
    assert _affinity().choose([], "s") is core.Missing.UNSET


def test_all_entries_send_a_session_to_the_same_upstream() -> None:
    """Guards against shared parts of prompts processed on every upstream."""
    candidates = _candidates(*[4.0] * 9)
    for number in range(50):
        names = {
            _name(_affinity().choose(candidates[::step], f"s{number}"))
            for step in (1, -1)
        }
        assert len(names) == 1


def test_few_sessions_move_when_an_upstream_is_lost() -> None:
    candidates = _candidates(*[4.0] * 9)
    moved = 0
    for number in range(300):
        request = f"s{number}"
        before = _name(_affinity().choose(candidates, request))
        after = _name(_affinity().choose(candidates[:-1], request))
        moved += before != after
    assert moved <= 300 / 9 * 1.5


def test_a_hot_session_spills_over() -> None:
    """Guards against a session with much of the traffic filling an upstream."""
    request = "hot"
    loads = collections.Counter[str]()
    for _ in range(90):
        candidates = [
            UpstreamCandidate(f"w{n}", "gent", 16, float(loads[f"w{n}"]))
            for n in range(9)
        ]
        loads[_name(_affinity().choose(candidates, request))] += 1
    assert max(loads.values()) <= 2 * 90 / 9


def _two_zones(near: float, far: float) -> list[UpstreamCandidate]:
    return [
        UpstreamCandidate(f"w{number}", zone, 16, load)
        for number, (zone, load) in enumerate(
            [("gent", near)] * 3 + [("leuven", far)] * 3
        )
    ]


@pytest.mark.parametrize(
    ("near", "far", "stays"), [(6.0, 4.0, 1.0), (4.0, 6.0, 1.0), (14.0, 4.0, 0)]
)
def test_sessions_stay_in_their_zone_unless_it_is_much_busier(
    near: float, far: float, stays: float
) -> None:
    """Guards against half of the traffic crossing zones under normal load."""
    candidates = _two_zones(near, far)
    zones = collections.Counter(
        chosen.zone
        for number in range(100)
        if isinstance(
            chosen := _affinity().choose(candidates, f"s{number}"),
            UpstreamCandidate,
        )
    )
    assert zones["gent"] == pytest.approx(100 * stays)


def test_a_zone_without_upstreams_uses_the_other_zones() -> None:
    candidates = [
        candidate
        for candidate in _two_zones(4.0, 4.0)
        if candidate.zone != "gent"
    ]
    assert _name(_affinity().choose(candidates, "s")) in {"w3", "w4", "w5"}


def test_calls_stay_in_a_zone_with_a_single_upstream() -> None:
    """Guards against calls to other zones although the local one is as idle."""
    candidates = [UpstreamCandidate("a", "gent", 6, 1.0)] + [
        UpstreamCandidate(f"b{number}", "leuven", 6, 1.0) for number in range(3)
    ]
    placement = decisions.PowerOfTwoChoices("gent", random.Random(4))
    chosen = collections.Counter(
        _name(placement.choose(candidates, "")) for _ in range(100)
    )
    assert chosen == {"a": 100}


def test_stale_reports_do_not_herd() -> None:
    """Guards against all entries choosing the least reported load."""
    candidates = _candidates(0.0, *[8.0] * 8)
    chosen = collections.Counter(
        _name(
            decisions.PowerOfTwoChoices("gent", random.Random(entry)).choose(
                candidates, ""
            )
        )
        for entry in range(300)
    )
    assert chosen["w0"] < 300 / 3


def test_a_failing_upstream_is_avoided_although_it_is_idle() -> None:
    candidates = [
        UpstreamCandidate("bad", "gent", 16, 0.0, failure_rate=0.4),
        UpstreamCandidate("good", "gent", 16, 6.0),
    ]
    placement = decisions.PowerOfTwoChoices("gent", random.Random(2))
    assert _name(placement.choose(candidates, "")) == "good"


def test_the_own_zone_is_preferred_unless_it_is_busier() -> None:
    near, far = (
        UpstreamCandidate("a", "gent", 16, 3.0),
        UpstreamCandidate("b", "leuven", 16, 2.0),
    )
    placement = decisions.PowerOfTwoChoices("gent", random.Random(3))
    assert _name(placement.choose([near, far], "")) == "a"
    busy = UpstreamCandidate("a", "gent", 16, 6.0)
    assert _name(placement.choose([busy, far], "")) == "b"


@pytest.mark.parametrize(
    ("report_age_s", "expected"), [(0.0, 9.0), (2.0, 8.0), (60.0, 7.0)]
)
def test_an_old_report_decays_to_the_mean(
    report_age_s: float, expected: float
) -> None:
    """Guards against estimates that ignore the requests of other entries.

    One upstream has 6 requests of other entries and 3 own ones, the second one
    has 2 of other entries. After the half-life of the report, 6 have become 5.
    """
    clock = core.ManualClock()
    estimator = decisions.LoadEstimator(clock)
    for _ in range(2):
        estimator.started("w")
    estimator.reported("w", decisions.LoadReport(running=7, waiting=1, slots=8))
    estimator.reported("v", decisions.LoadReport(running=2, waiting=0, slots=8))
    estimator.started("w")
    clock.advance(report_age_s)
    loads = estimator.estimates(["w", "v", "unheard"])
    assert loads["w"] == pytest.approx(expected, abs=0.01)
    assert loads["unheard"] == pytest.approx(4.0)


def test_backoff_of_an_unreachable_upstream_doubles() -> None:
    clock = core.ManualClock()
    health = decisions.UpstreamHealth(clock)
    pauses = []
    for _ in range(4):
        health.unreachable("w")
        began_s = clock.now()
        while health.is_in_backoff("w"):
            clock.advance(0.125)
        pauses.append(clock.now() - began_s)
    assert pauses == [0.5, 1.0, 2.0, 4.0]
    health.succeeded("w")
    assert not health.is_in_backoff("w")


def test_absent_upstreams_are_removed_unless_they_run_requests() -> None:
    """Guards against unbounded state; each start brings a new upstream name."""
    clock = core.ManualClock()
    health, estimator = (
        decisions.UpstreamHealth(clock),
        decisions.LoadEstimator(clock),
    )
    for name in ("gone", "busy", "here"):
        health.unreachable(name)
        estimator.started(name)
    estimator.ended("gone")
    health.keep_only({"here"})
    estimator.keep_only({"here"})
    assert not health.is_in_backoff("gone")
    assert health.is_in_backoff("here")
    assert [estimator.own_in_flight(name) for name in ("busy", "here")] == [
        1,
        1,
    ]
