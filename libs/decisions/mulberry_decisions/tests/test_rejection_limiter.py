"""Tests of the limit on rejections at upstreams that fail from them."""

import dataclasses
import random
from collections.abc import Mapping, Sequence
from typing import Any

import pytest

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_decisions.tests import rejection_simulation

Scenario = rejection_simulation.Scenario
_SMALL = (
    Scenario(instances=12, upstreams=3, limit=2),
    Scenario(instances=12, upstreams=3, limit=50, slots=64),
    Scenario(instances=90, upstreams=3, limit=2),
    Scenario(instances=90, upstreams=3, limit=10),
    Scenario(instances=90, upstreams=3, limit=50),
    Scenario(instances=330, upstreams=3, limit=2),
    Scenario(instances=330, upstreams=3, limit=10),
)
_LARGE = tuple(
    Scenario(
        instances=instances,
        upstreams=70,
        limit=limit,
        slots=2,
        burst_from_s=6.0,
        burst_until_s=10.0,
        end_s=11.0,
    )
    for instances, limit in ((12, 2), (90, 2), (90, 50), (330, 10))
)
_VARIATIONS: Mapping[str, Mapping[str, Any]] = {
    "queue_shrinks": {},
    "no_queue": {"short_queue": 0.0},
    "half_of_the_instances": {"used_instances": 0.5},
    "load_reports": {"reports_load": True},
    "upstreams_return": {"lost_share": 0.34},
    "steady_overload": {"load": 1.5, "burst": 1.5},
}


def _scenarios() -> list[object]:
    cases = [(scenario, name) for scenario in _SMALL for name in _VARIATIONS]
    cases += [(scenario, "queue_shrinks") for scenario in _LARGE]
    return [
        pytest.param(
            dataclasses.replace(scenario, **_VARIATIONS[name]),
            id=f"{scenario.instances}-{scenario.upstreams}-"
            f"{scenario.limit}-{name}",
        )
        for scenario, name in cases
    ]


@pytest.mark.parametrize("scenario", _scenarios())
def test_upstreams_do_not_fail_from_rejections(scenario: Scenario) -> None:
    """Guards against bursts that make upstreams fail, in simulated time.

    Each instance meets its first rejection at the same time as the others, and
    an upstream that returns has free slots for all of them.
    """
    simulation = rejection_simulation.Simulation(scenario, seed=1).run()
    assert simulation.failures <= simulation.allowed_failures


@pytest.mark.parametrize("seed", range(1, 5))
def test_long_calm_does_not_prepare_a_failure(seed: int) -> None:
    """Guards against pacing that is relaxed while nothing is rejected.

    The burst begins long after the limit, and nothing may wait.
    """
    scenario = Scenario(
        instances=90,
        upstreams=9,
        limit=5,
        slots=16,
        burst_from_s=30.0,
        burst_until_s=33.0,
        end_s=33.0,
        short_queue=0.0,
    )
    simulation = rejection_simulation.Simulation(scenario, seed).run()
    assert simulation.failures <= simulation.allowed_failures


@pytest.mark.parametrize("scenario", _SMALL)
def test_scenarios_fail_without_limit(scenario: Scenario) -> None:
    """Guards against scenarios that no design could fail."""
    simulation = rejection_simulation.Simulation(
        scenario, 1, rejection_simulation.UnlimitedInstance
    ).run()
    assert simulation.failures > simulation.allowed_failures


@pytest.mark.parametrize(
    ("scenario", "throughput"),
    [
        (Scenario(instances=12, upstreams=3, limit=2), 0.7),
        (Scenario(instances=12, upstreams=3, limit=50, slots=64), 0.9),
        (Scenario(instances=90, upstreams=3, limit=2), 0.35),
        (Scenario(instances=90, upstreams=3, limit=50), 0.8),
        (_LARGE[0], 0.8),
        (_LARGE[2], 0.6),
    ],
)
def test_burst_keeps_slots_in_use(
    scenario: Scenario, throughput: float
) -> None:
    """Guards against keeping the limit by leaving the upstreams idle.

    With more instances than slots and a small limit, most instances cannot
    know whether a slot is free.
    """
    simulation = rejection_simulation.Simulation(scenario, seed=1).run()
    assert simulation.burst_throughput >= throughput


def test_calm_service_serves_its_callers() -> None:
    """Guards against refusals while a limited service has free slots."""
    scenario = Scenario(
        instances=12, upstreams=3, limit=10, slots=64, load=0.5, burst=0.5
    )
    simulation = rejection_simulation.Simulation(scenario, seed=1).run()
    # The rest is running when the simulation ends.
    assert simulation.served_share > 0.95


class _Limiter:
    """A limiter, with two upstreams of which it owns one slot of the first."""

    def __init__(self) -> None:
        self.clock = core.ManualClock()
        self.limiter = decisions.RejectionLimiter(self.clock, random.Random(1))
        self.in_flight = {"a": 0, "b": 0}
        self.loads = {"a": 0.0, "b": 0.0}

    def answered(self, upstream: str, limit: int | core.Missing) -> bool:
        return self.limiter.answered("s", upstream, limit)

    def admit(self) -> Sequence[str] | float:
        admitted = self.limiter.admit(
            "s",
            [
                decisions.UpstreamCandidate(name, "z", 4, load)
                for name, load in self.loads.items()
            ],
            {"a": 1},
            self.in_flight.__getitem__,
            instances=8,
            upstreams=2,
        )
        if isinstance(admitted, float):
            return admitted
        return [candidate.name for candidate in admitted]

    def admit_excess(self) -> Sequence[str] | float:
        """Asks again after the longest interval between excess requests."""
        self.admit()
        for _ in range(7):
            self.clock.advance(9.0)
            self.answered("a", 2)
        return self.admit()


def test_services_without_limit_are_not_restricted() -> None:
    """Guards against any change for upstreams that announce no limit."""
    case = _Limiter()
    assert not case.answered("a", core.Missing.UNSET)
    case.limiter.rejected("s", "a")
    case.in_flight["a"] = 100
    assert not case.limiter.is_limited("s")
    assert case.admit() == ["a", "b"]


def test_own_slots_come_first_and_excess_is_paced() -> None:
    """Guards against requests beyond the share as often as callers ask."""
    case = _Limiter()
    assert case.answered("b", 2)
    assert not case.answered("a", 2)
    assert case.admit() == ["a"]
    case.in_flight["a"] = 1
    assert case.admit_excess() == ["a", "b"]
    wait_s = case.admit()
    assert isinstance(wait_s, float)
    assert 0.0 < wait_s <= 1.0


def test_excess_avoids_full_upstreams() -> None:
    """Guards against requests that the load report says are rejected."""
    case = _Limiter()
    case.answered("a", 2)
    case.in_flight["a"] = 1
    case.loads["b"] = 4.0
    assert case.admit_excess() == ["a"]
    case.loads["a"] = 4.0
    assert isinstance(case.admit_excess(), float)


def test_rejection_holds_the_upstream_and_delays_excess() -> None:
    """Guards against walking through the upstreams of a full service."""
    case = _Limiter()
    case.answered("a", 2)
    assert case.admit() == ["a"]
    case.limiter.rejected("s", "a")
    assert isinstance(case.admit(), float)
    case.clock.advance(2.1)
    assert case.admit() == ["a"]
    case.in_flight["a"] = 1
    assert isinstance(case.admit(), float)


def test_limit_ends_when_its_upstream_no_longer_announces_it() -> None:
    """Guards against limits kept, and against ones ended by other upstreams."""
    case = _Limiter()
    assert case.answered("a", 2)
    assert not case.answered("b", core.Missing.UNSET)
    assert case.limiter.is_limited("s")
    assert case.answered("a", core.Missing.UNSET)
    assert not case.limiter.is_limited("s")


def test_limit_expires_unless_it_is_confirmed() -> None:
    """Guards against a limit that lasts because nobody asks any more."""
    case = _Limiter()
    case.answered("a", 2)
    case.clock.advance(9.0)
    assert not case.limiter.heard_elsewhere("s", 2)
    case.clock.advance(9.0)
    assert case.limiter.is_limited("s")
    case.clock.advance(2.0)
    assert not case.limiter.is_limited("s")
    assert case.answered("a", 2)


def test_limits_of_other_instances_apply_without_own_answers() -> None:
    """Guards against idle instances that learn a limit from rejections."""
    case = _Limiter()
    assert case.limiter.heard_elsewhere("s", 2)
    assert case.admit() == ["a"]
    assert not case.limiter.confirmed_limits()
    case.answered("a", 2)
    assert case.limiter.confirmed_limits() == {"s": 2}
    case.clock.advance(3.1)
    assert not case.limiter.confirmed_limits()


def test_own_answer_without_limit_outweighs_other_instances() -> None:
    """Guards against a limit that instances keep alive among each other."""
    case = _Limiter()
    case.limiter.heard_elsewhere("s", 2)
    assert case.answered("b", core.Missing.UNSET)
    assert not case.limiter.heard_elsewhere("s", 2)
    case.clock.advance(5.1)
    assert case.limiter.heard_elsewhere("s", 2)


def test_limit_of_zero_allows_own_slots() -> None:
    """Guards against a division by zero, and against refusing everything."""
    case = _Limiter()
    case.answered("a", 0)
    assert case.admit() == ["a"]
    case.limiter.rejected("s", "a")
    assert isinstance(case.admit(), float)


def test_limit_of_removed_upstreams_is_dropped() -> None:
    """Guards against state that grows with the upstreams ever seen."""
    case = _Limiter()
    case.answered("a", 2)
    case.limiter.keep_only({"a"})
    assert case.limiter.is_limited("s")
    case.limiter.keep_only({"b"})
    assert not case.limiter.is_limited("s")


def test_requests_that_are_being_connected_occupy_slots() -> None:
    """Guards against one slot given to several requests of a burst."""
    clock = core.ManualClock()
    load = decisions.LoadEstimator(clock)
    load.chosen("a")
    assert load.own_requests("a") == 1
    assert load.own_in_flight("a") == 0
    load.started("a")
    assert load.own_requests("a") == 1
    load.ended("a")
    load.chosen("a")
    clock.advance(1.1)
    assert load.own_requests("a") == 0
