"""Tests of tasks that go on beside evidence that cannot be judged."""

import threading
import types
from typing import Any, cast

import mulberry_control as control
import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_entry as entry
import mulberry_state as state
from mulberry_daemon import _engine_orders, _rollouts


class _Steps:
    """Raises at the first calls, then notes that it was called again."""

    def __init__(self) -> None:
        self.calls = 0
        self.went_on = threading.Event()

    def __call__(self) -> Any:
        self.calls += 1
        if self.calls <= 2:
            raise OverflowError("odd counts")
        self.went_on.set()
        return ()


def test_judging_goes_on_after_an_error() -> None:
    """Guards against a bad version that nobody judges until a restart."""
    clock = core.SystemClock()
    steps = _Steps()
    judge = decisions.NoJudge()
    judge.proposals = steps  # type: ignore[method-assign]
    controller = _rollouts.RolloutController(
        state.LocalStateClient(state.FileRulesParser(), clock),
        cast(entry.DecisionSet, types.SimpleNamespace(version_judge=judge)),
        decisions.ROLLOUT_ADVANCERS["proven"](),
        clock,
        lambda: False,
    )
    timers = core.TimerService(clock)
    tasks = core.TaskPool("test", 1)
    timers.start()
    controller.start(timers, tasks)
    try:
        assert steps.went_on.wait(10.0)
    finally:
        tasks.stop()
        timers.stop()


def test_orders_go_on_after_an_error() -> None:
    """Guards against engines that get no orders until the next leader."""
    clock = core.SystemClock()
    steps = _Steps()
    parts = types.SimpleNamespace(
        state=state.LocalStateClient(state.FileRulesParser(), clock),
        clock=clock,
        instance="i",
        counters=core.MemoryCounters(),
    )

    def status() -> Any:
        steps()
        return types.SimpleNamespace(role="follower")

    orders = _engine_orders.EngineOrderController(
        cast(entry.EntryComponents, parts),
        cast(state.StateNode, types.SimpleNamespace(status=status)),
        cast(control.LoadPlanner, None),
    )
    tasks = core.TaskPool("test", 1)
    orders.start(tasks)
    try:
        assert steps.went_on.wait(20.0)
    finally:
        tasks.stop()
