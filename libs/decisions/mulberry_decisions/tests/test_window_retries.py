"""Retries within a share of the requests of a window."""

import bisect
import random

import pytest

import mulberry_core as core
import mulberry_decisions as decisions

_WINDOW_S = 10.0


def _work(service: str = "pool") -> decisions.Work:
    return decisions.Work(
        team="t", kind="k", priority=1, deadline_at_s=1e9, service=service
    )


def _budget(
    clock: core.Clock, slack: float = 0.0, instances: int = 1
) -> decisions.WindowRetryBudget:
    return decisions.WindowRetryBudget(
        clock, 0.72, _WINDOW_S, slack, lambda: instances
    )


def _retry(budget: decisions.RetryBudget, service: str = "pool") -> bool:
    return budget.try_retry(_work(service), core.RunState.RAN)


def test_all_requests_of_a_lost_upstream_go_on_elsewhere() -> None:
    """Replays the loss of one of six engines with ten requests on each.

    Guards against a reserve that second answers have used up: an entry with
    7.6 requests a second, of which 45 in 100 need a second answer, saved up
    five retries and let 5 to 15 requests fail at each loss.
    """
    clock = core.ManualClock()
    budget = _budget(clock)
    rng = random.Random(5)
    for _ in range(120):
        clock.advance(1 / 7.6)
        budget.request_started(_work())
        if rng.random() < 0.45:
            assert _retry(budget)
    assert all(_retry(budget) for _ in range(10))


@pytest.mark.parametrize("instances", [1, 10, 200])
def test_windows_keep_the_bound_over_all_instances(instances: int) -> None:
    """Guards against a fixed part that grows with the instances."""
    clock = core.ManualClock()
    slack = 60.0
    budgets = [_budget(clock, slack, instances) for _ in range(instances)]
    rng = random.Random(instances)
    requests: list[float] = []
    retries: list[float] = []
    for _ in range(6_000):
        clock.advance(rng.expovariate(100.0))
        now_s = clock.now()
        budget = rng.choice(budgets)
        budget.request_started(_work())
        requests.append(now_s)
        while _retry(budget):
            retries.append(now_s)
    for end_s in retries[::50]:
        # Of this window, the one before it and the one half a window before.
        most = max(
            _count(requests, end_s - back_s) for back_s in (0.0, 5.0, 10.0)
        )
        assert _count(retries, end_s) <= 0.72 * most + slack


def _count(times_s: list[float], end_s: float) -> int:
    """Returns how many times lie in the window that ends then."""
    first = bisect.bisect_right(times_s, end_s - _WINDOW_S)
    return bisect.bisect_right(times_s, end_s) - first


def test_services_have_budgets_of_their_own() -> None:
    """Guards against one failing service that uses up another's retries."""
    clock = core.ManualClock()
    budget = _budget(clock, slack=1.0)
    assert _retry(budget, "one")
    assert not _retry(budget, "one")
    assert _retry(budget, "other")


def test_work_that_may_have_run_once_is_not_repeated() -> None:
    budget = _budget(core.ManualClock(), slack=9.0)
    once = decisions.Work(
        team="t", kind="k", priority=1, deadline_at_s=1e9, is_idempotent=False
    )
    assert not budget.try_retry(once, core.RunState.UNKNOWN)
    assert budget.try_retry(once, core.RunState.NOT_RUN)
