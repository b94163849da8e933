"""Tests of admission, team limits and retry budgets."""

import dataclasses
import threading

import hypothesis
import pytest
from hypothesis import strategies

import mulberry_core as core
import mulberry_decisions as decisions

_QUEUE = 5
_SLOTS = 3


def _work(
    team: str = "a", priority: int = 1, deadline_at_s: float = 100.0
) -> decisions.Work:
    return decisions.Work(team, f"kind-{priority}", priority, deadline_at_s)


@pytest.mark.parametrize("name", sorted(decisions.ADMISSIONS))
@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["submit", "release", "wait"]),
            strategies.sampled_from(["a", "b", "c"]),
            strategies.integers(1, 3),
        ),
        max_size=80,
    )
)
def test_queue_and_running_requests_are_bounded(
    name: str, steps: list[tuple[str, str, int]]
) -> None:
    """Guards against an unbounded queue and lost or repeated decisions."""
    clock = core.ManualClock()
    admission = decisions.ADMISSIONS[name](clock, _SLOTS, _QUEUE)
    tickets: list[decisions.Ticket] = []
    decided: list[decisions.Ticket | core.Refusal] = []

    def on_decision(result: decisions.Ticket | core.Refusal) -> None:
        decided.append(result)
        if isinstance(result, decisions.Ticket):
            tickets.append(result)

    submitted = 0
    for step, team, priority in steps:
        if step == "submit":
            submitted += 1
            work = _work(team, priority, clock.now() + 5.0 * priority)
            admission.submit(work, on_decision)
        elif step == "release" and tickets:
            tickets.pop(0).release(decisions.Outcome.COMPLETED)
        else:
            clock.advance(1.0)
        assert admission.waiting() <= _QUEUE
        assert admission.running() == len(tickets) <= _SLOTS
        assert len(decided) + admission.waiting() == submitted
    while tickets:
        tickets.pop().release(decisions.Outcome.COMPLETED)
    assert len(decided) == submitted
    assert admission.running() == 0


def test_enter_blocks_until_a_slot_is_free() -> None:
    """Guards against more tickets than slots, and against a lost wake-up."""
    admission = decisions.PriorityAdmission(core.SystemClock(), 1, 5)
    deadline = core.SystemClock().now() + 60.0
    first = admission.enter(_work(deadline_at_s=deadline))
    assert isinstance(first, decisions.Ticket)
    results: list[decisions.Ticket | core.Refusal] = []
    thread = threading.Thread(
        target=lambda: results.append(
            admission.enter(_work(deadline_at_s=deadline))
        )
    )
    thread.start()
    first.release(decisions.Outcome.COMPLETED)
    thread.join()
    assert isinstance(results[0], decisions.Ticket)


def test_urgent_work_evicts_less_urgent_work() -> None:
    """Guards against urgent work refused because of a queue of other work."""
    admission = decisions.PriorityAdmission(core.ManualClock(), 1, 2)
    by_priority: dict[int, list[decisions.Ticket | core.Refusal]] = {
        1: [],
        3: [],
    }
    for priority in (3, 3, 3, 1):
        admission.submit(_work(priority=priority), by_priority[priority].append)
    running, refused = by_priority[3]
    assert isinstance(refused, core.Refusal)
    assert refused.kind is core.ErrorKind.OVERLOADED
    assert refused.run is core.RunState.NOT_RUN
    assert isinstance(running, decisions.Ticket)
    running.release(decisions.Outcome.COMPLETED)
    assert isinstance(by_priority[1][0], decisions.Ticket)


def test_teams_share_by_weight() -> None:
    """Guards against a team that gets a larger share by sending more."""
    clock = core.ManualClock()
    admission = decisions.PriorityAdmission(clock, 1, 200)
    admission.set_weights({"large": 3.0, "small": 1.0})
    order: list[str] = []

    def run(result: decisions.Ticket | core.Refusal) -> None:
        if isinstance(result, decisions.Ticket):
            running.append(result)
            order.append(result.work.team)

    running: list[decisions.Ticket] = []
    for _ in range(80):
        admission.submit(_work("small"), run)
    for _ in range(40):
        admission.submit(_work("large"), run)
    for _ in range(40):
        clock.advance(0.1)
        running.pop(0).release(decisions.Outcome.COMPLETED)
    assert 28 <= order[1:41].count("large") <= 32


@pytest.mark.parametrize(
    ("limit", "field"),
    [
        (decisions.TeamLimit(requests_per_s=20.0), "requests_per_s"),
        (decisions.TeamLimit(tokens_per_s=200.0), "tokens_per_s"),
    ],
)
@hypothesis.settings(deadline=None, max_examples=20)
@hypothesis.given(
    shares=strategies.lists(strategies.integers(1, 10), min_size=2, max_size=6),
    seed=strategies.integers(0, 1000),
)
def test_entries_together_stay_within_the_limit(
    limit: decisions.TeamLimit, field: str, shares: list[int], seed: int
) -> None:
    """Guards against entries that together admit more than the limit."""
    clock = core.ManualClock()
    limiters = {
        str(index): decisions.ProportionalLimiter(clock, seed + index)
        for index in range(len(shares))
    }
    for limiter in limiters.values():
        limiter.set_limits({"a": limit})
    admitted = 0
    for step in range(600):
        clock.advance(0.1)
        demand = {name: one.demand() for name, one in limiters.items()}
        for (name, limiter), count in zip(
            limiters.items(), shares, strict=True
        ):
            limiter.merge({k: v for k, v in demand.items() if k != name})
            for _ in range(count):
                taken = limiter.take("a", 10)
                admitted += step >= 200 and isinstance(
                    taken, decisions.TokenReservation
                )
    allowed = getattr(limit, field) / (10 if field == "tokens_per_s" else 1)
    expected = 40.0 * min(allowed, 10.0 * sum(shares))
    assert admitted <= 1.1 * expected + len(shares)


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(strategies.booleans(), strategies.floats(0.0, 2.0)),
        max_size=200,
    )
)
def test_retries_stay_within_the_budget(
    steps: list[tuple[bool, float]],
) -> None:
    """Guards against retries that multiply the load of a failing upstream."""
    clock = core.ManualClock()
    budget = decisions.TokenBucketRetryBudget(clock)
    requests = retries = 0
    for is_request, pause_s in steps:
        clock.advance(pause_s)
        if is_request:
            requests += 1
            budget.request_started(_work())
        else:
            retries += budget.try_retry(_work(), core.RunState.UNKNOWN)
        floor = 1.0 + 0.2 * clock.now()
        assert retries <= 0.1 * requests + floor + 1e-6


@pytest.mark.parametrize("name", sorted(decisions.RETRY_BUDGETS))
def test_non_idempotent_work_that_may_have_run_is_never_retried(
    name: str,
) -> None:
    """Guards against a deposit that is booked twice."""
    budget = decisions.RETRY_BUDGETS[name](core.ManualClock())
    deposit = dataclasses.replace(_work(), is_idempotent=False)
    budget.request_started(deposit)
    assert not budget.try_retry(deposit, core.RunState.UNKNOWN)
    assert not budget.try_retry(deposit, core.RunState.RAN)
