"""Tests of the load planners."""

import dataclasses

import pytest

import mulberry_control as control

A, B, C = ("a", "1"), ("b", "1"), ("c", "1")
PLANNERS = (control.ThresholdLoadPlanner, control.HysteresisLoadPlanner)


def _engine(
    name: str, *versions: tuple[str, str], available: bool = True
) -> control.EngineState:
    return control.EngineState(
        name, frozenset(versions), 8, max_versions=1, available=available
    )


def _demand(requests: float, live: bool = True) -> control.PoolDemand:
    return control.PoolDemand(requests, live)


def _plan(
    planner: control.LoadPlanner,
    engines: list[control.EngineState],
    demand: dict[tuple[str, str], control.PoolDemand],
    now_s: float,
    max_loads: int = 4,
) -> list[tuple[str, str, str]]:
    return [
        (order.kind.value, order.engine, order.model)
        for order in planner.plan(engines, demand, max_loads, now_s)
    ]


@pytest.mark.parametrize("planner_class", PLANNERS)
def test_pair_without_engine_is_loaded_at_once(
    planner_class: type[control.LoadPlanner],
) -> None:
    """Guards against a live version that no engine serves."""
    planner = planner_class()
    orders = _plan(
        planner,
        [_engine("e1", A), _engine("e2")],
        {A: _demand(1), B: _demand(1)},
        0.0,
    )
    assert orders == [("load", "e2", "b")]


@pytest.mark.parametrize("planner_class", PLANNERS)
@pytest.mark.parametrize(
    ("engines", "demand", "max_loads"),
    [
        ([_engine("e1")], {A: _demand(5, live=False)}, 4),
        ([_engine("e1")], {A: _demand(5)}, 0),
        ([_engine("e1", available=False)], {A: _demand(5)}, 4),
        ([], {A: _demand(5)}, 4),
        ([_engine("e1", A)], {A: _demand(3)}, 4),
    ],
)
def test_no_order(
    planner_class: type[control.LoadPlanner],
    engines: list[control.EngineState],
    demand: dict[tuple[str, str], control.PoolDemand],
    max_loads: int,
) -> None:
    """Guards against loads that are not allowed, needed or possible."""
    assert _plan(planner_class(), engines, demand, 0.0, max_loads) == []


def test_short_peak_causes_no_load() -> None:
    """Guards against a load that takes minutes for a peak of seconds."""
    planner = control.HysteresisLoadPlanner()
    engines = [_engine("e1", A), _engine("e2", B), _engine("e3", B)]
    high = {A: _demand(20), B: _demand(1)}
    low = {A: _demand(2), B: _demand(1)}
    assert _plan(planner, engines, high, 0.0) == []
    assert _plan(planner, engines, high, 14.0) == []
    assert _plan(planner, engines, low, 14.5) == []
    assert _plan(planner, engines, high, 15.0) == []
    assert _plan(planner, engines, high, 30.0) == [
        ("unload", "e2", "b"),
        ("load", "e2", "a"),
    ]


def test_engines_of_a_busy_pair_are_kept() -> None:
    """Guards against a shortage that moves to another version."""
    planner = control.HysteresisLoadPlanner()
    engines = [_engine("e1", A), _engine("e2", B), _engine("e3", B)]
    demand = {A: _demand(20), B: _demand(6)}
    assert _plan(planner, engines, demand, 0.0) == []
    assert _plan(planner, engines, demand, 60.0) == []


def test_withdrawn_pair_is_unloaded_first() -> None:
    """Guards against engines kept for a version without new requests."""
    planner = control.HysteresisLoadPlanner()
    engines = [_engine("e1", A), _engine("e2", B), _engine("e3", C)]
    demand = {A: _demand(20), B: _demand(1), C: _demand(3, live=False)}
    _plan(planner, engines, demand, 0.0)
    assert _plan(planner, engines, demand, 15.0) == [
        ("unload", "e3", "c"),
        ("load", "e3", "a"),
    ]


def _count_loads(planner: control.LoadPlanner, half_period_s: float) -> int:
    """Counts loads in 20 minutes of demand alternating between two pairs."""
    engines = {f"e{n}": _engine(f"e{n}", A if n < 2 else B) for n in range(4)}
    loads = 0
    for now_s in range(0, 1200, 10):
        swing = 18 if int(now_s / half_period_s) % 2 else 4
        demand = {A: _demand(swing), B: _demand(22 - swing)}
        for order in planner.plan(list(engines.values()), demand, 1, now_s):
            if order.kind is control.OrderKind.LOAD:
                loads += 1
                engines[order.engine] = dataclasses.replace(
                    engines[order.engine],
                    versions=frozenset({(order.model, order.version)}),
                )
    return loads


def test_short_swings_cause_few_loads() -> None:
    """Guards against engines that spend their time loading versions."""
    assert _count_loads(control.HysteresisLoadPlanner(), 10.0) <= 4
    assert _count_loads(control.ThresholdLoadPlanner(), 10.0) > 20


def test_minimum_hold_time_bounds_the_loads() -> None:
    """Guards against an engine that switches with every swing of a minute."""
    bounds = control.Hysteresis(donor_threshold=10.0)
    # Four engines, each with at most one load in 5 minutes.
    assert _count_loads(control.HysteresisLoadPlanner(bounds), 60.0) <= 16
    bounds = control.Hysteresis(donor_threshold=10.0, min_hold_s=0.0)
    assert _count_loads(control.HysteresisLoadPlanner(bounds), 60.0) > 16
