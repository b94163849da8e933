"""Tail latency and extra load of hedged lookups."""

import random

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_experiments import _measure
from mulberry_experiments._decisions import _simulation

_LOOKUPS = 5000
#: Probability of a stall of a lookup, and the length of a stall, seconds.
_STALL_PROBABILITY = 0.03
_STALL_S = 0.5


def _latency(latency_profile: str, rng: random.Random) -> float:
    base = rng.uniform(0.008, 0.012)
    if latency_profile == "stalls" and rng.random() < _STALL_PROBABILITY:
        return base + _STALL_S
    return base


def _serve(
    policy: str, latency_profile: str, seed: int
) -> tuple[list[float], int]:
    """Returns latencies and the number of hedged requests."""
    rng = random.Random(f"{seed} {latency_profile}")
    hedge_policy = decisions.HEDGE_POLICIES[policy]()
    work = decisions.Work("a", "stock", 1, 1e9, is_call=True)
    latencies: list[float] = []
    hedge_count = 0
    for _ in range(_LOOKUPS):
        first, second = (
            _latency(latency_profile, rng),
            _latency(latency_profile, rng),
        )
        # Hedging does not help with items that are slow on all upstreams.
        if (
            latency_profile == "slow items"
            and rng.random() < _STALL_PROBABILITY
        ):
            first, second = first + _STALL_S, second + _STALL_S
        delay_s = hedge_policy.delay_s(work)
        hedged = not isinstance(delay_s, core.Missing) and first > delay_s
        latency_s = first
        if hedged and not isinstance(delay_s, core.Missing):
            hedge_count += 1
            latency_s = min(first, delay_s + second)
        hedge_policy.finished(work, latency_s, hedged, latency_s < first)
        latencies.append(latency_s)
    return latencies, hedge_count


def run(seed: int) -> list[_measure.Row]:
    """Measures tail latency and the share of hedged requests."""
    rows = []
    for latency_profile in ("stalls", "slow items", "even"):
        for policy in decisions.HEDGE_POLICIES:
            latencies, hedge_count = _serve(policy, latency_profile, seed)
            has_target = policy == "paying"
            rows += [
                _measure.Row(
                    "hedging",
                    policy,
                    f"{latency_profile}: latency, 99th",
                    1000.0 * _simulation.percentile(latencies, 0.99),
                    "ms",
                ),
                _measure.Row(
                    "hedging",
                    policy,
                    f"{latency_profile}: copies",
                    100.0 * hedge_count / _LOOKUPS,
                    "%",
                    "<= 5" if has_target else "",
                ),
            ]
    return rows
