"""Tests of the retry budget over a sliding window."""

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


def test_all_requests_of_a_lost_upstream_are_retried() -> None:
    """Simulates the loss of one of six engines with ten requests on each.

    Guards against a budget that second answers have used up. Without the
    window, an entry with 7.6 requests per second, 45% of which need a second
    answer, had saved five retries, and 5 to 15 requests failed at each loss.
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
def test_the_bound_holds_over_all_instances(instances: int) -> None:
    """Guards against a slack that grows with the number of instances."""
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
        # This window, and the ones half a window and a window earlier.
        most = max(
            _count(requests, end_s - back_s) for back_s in (0.0, 5.0, 10.0)
        )
        assert _count(retries, end_s) <= 0.72 * most + slack


def _count(times_s: list[float], end_s: float) -> int:
    """Returns the number of times in the window that ends at `end_s`."""
    first = bisect.bisect_right(times_s, end_s - _WINDOW_S)
    return bisect.bisect_right(times_s, end_s) - first


def test_services_have_separate_budgets() -> None:
    """Guards against a failing service that uses up another's retries."""
    clock = core.ManualClock()
    budget = _budget(clock, slack=1.0)
    assert _retry(budget, "one")
    assert not _retry(budget, "one")
    assert _retry(budget, "other")


def test_non_idempotent_work_that_may_have_run_is_not_retried() -> None:
    budget = _budget(core.ManualClock(), slack=9.0)
    once = decisions.Work(
        team="t", kind="k", priority=1, deadline_at_s=1e9, is_idempotent=False
    )
    assert not budget.try_retry(once, core.RunState.UNKNOWN)
    assert budget.try_retry(once, core.RunState.NOT_RUN)


@pytest.mark.parametrize(
    "budget",
    [
        _budget(core.ManualClock(), slack=2.0),
        decisions.TokenBucketRetryBudget(core.ManualClock(), max_tokens=2.0),
    ],
)
def test_a_returned_retry_can_be_taken_again(
    budget: decisions.RetryBudget,
) -> None:
    """Guards against retries that are used up without being sent."""
    taken = 0
    while _retry(budget):
        taken += 1
    assert taken
    budget.return_retry(_work())
    assert _retry(budget)
    assert not _retry(budget)
