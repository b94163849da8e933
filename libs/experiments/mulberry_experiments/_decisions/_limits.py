"""Error of distributed rate limits while callers move between entries."""

import random
from collections.abc import Mapping

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_experiments import _measure

_SECONDS = 120.0
_WARM_UP_S = 20.0
_STEP_S = 0.1
#: Period of the exchange of demand between entries, seconds.
_DEMAND_LAG_S = 1.0
_CALLERS = 40
#: Mean time that a caller uses the same entry, seconds.
_MEAN_STAY_S = 10.0
#: Pairs of number of entries and limit in requests per second.
_SIZES = ((10, 20.0), (330, 200.0))
_TOKENS = 200


def _offered_and_admitted(
    policy: str, entries: int, limit: float, demand_factor: float, seed: int
) -> tuple[float, float]:
    """Returns the rates of offered and admitted requests, per second."""
    rng = random.Random(f"{seed} {entries} {demand_factor}")
    clock = core.ManualClock()
    limiters = [_limiter(policy, clock, seed + i) for i in range(entries)]
    limits = {"a": decisions.TeamLimit(limit, limit * _TOKENS)}
    for limiter in limiters:
        limiter.set_limits(limits)
    entry_by_caller = [rng.randrange(entries) for _ in range(_CALLERS)]
    offered = admitted = 0
    steps = round(_SECONDS / _STEP_S)
    for step in range(steps):
        clock.advance(_STEP_S)
        if step % round(_DEMAND_LAG_S / _STEP_S) == 0:
            _exchange_demand(limiters)
        for caller in range(_CALLERS):
            if rng.random() < _STEP_S / _MEAN_STAY_S:
                entry_by_caller[caller] = rng.randrange(entries)
        count = _poisson(demand_factor * limit * _STEP_S, rng)
        for _ in range(count):
            # Skews the load: a few callers send most of the requests.
            caller = int(_CALLERS * rng.random() ** 2)
            size = rng.choice((100, 300))
            reservation = limiters[entry_by_caller[caller]].take("a", size)
            if step * _STEP_S >= _WARM_UP_S:
                offered += 1
                admitted += isinstance(reservation, decisions.TokenReservation)
    measured_s = _SECONDS - _WARM_UP_S
    return offered / measured_s, admitted / measured_s


def _limiter(
    policy: str, clock: core.Clock, seed: int
) -> decisions.TeamLimiter:
    if policy == "shared":
        return decisions.ProportionalLimiter(clock, seed)
    return decisions.TEAM_LIMITERS[policy](clock)


def _exchange_demand(limiters: list[decisions.TeamLimiter]) -> None:
    """Gives each entry the total demand of all others."""
    demands = [limiter.demand().get("a") for limiter in limiters]
    demand_by_limiter = [demand or decisions.Demand() for demand in demands]
    requests = sum(demand.requests_per_s for demand in demand_by_limiter)
    tokens = sum(demand.tokens_per_s for demand in demand_by_limiter)
    for limiter, own in zip(limiters, demand_by_limiter, strict=True):
        others = decisions.Demand(
            requests - own.requests_per_s, tokens - own.tokens_per_s
        )
        merged: Mapping[str, Mapping[str, decisions.Demand]] = {
            "others": {"a": others},
            **{str(index): {} for index in range(len(limiters) - 2)},
        }
        limiter.merge(merged)


def _poisson(mean: float, rng: random.Random) -> int:
    count = 0
    elapsed = rng.expovariate(1.0)
    while elapsed < mean:
        count += 1
        elapsed += rng.expovariate(1.0)
    return count


def run(seed: int) -> list[_measure.Row]:
    """Measures the error for demand above and just below the limit."""
    rows = []
    for entries, limit in _SIZES:
        for policy in decisions.TEAM_LIMITERS:
            has_target = policy == "shared"
            for demand_factor in (2.0, 0.9):
                offered, admitted = _offered_and_admitted(
                    policy, entries, limit, demand_factor, seed
                )
                expected = min(offered, limit)
                rows.append(
                    _measure.Row(
                        "limits",
                        policy,
                        f"{entries} entries, demand {demand_factor:g}x: error",
                        100.0 * abs(admitted / expected - 1.0),
                        "%",
                        "<= 5" if has_target else "",
                    )
                )
    return rows
