"""Lookups with and without copies, where copies help and where not."""

import random

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_experiments import _measure
from mulberry_experiments._decisions import _simulation

_LOOKUPS = 5000
#: Share of lookups that meet a stall, and its length in seconds.
_STALLS = 0.03
_STALL_S = 0.5


def _latency(shape: str, draw: random.Random) -> float:
    base = draw.uniform(0.008, 0.012)
    if shape == "stalls" and draw.random() < _STALLS:
        return base + _STALL_S
    return base


def _serve(policy: str, shape: str, seed: int) -> tuple[list[float], int]:
    """Returns latencies and the number of copies."""
    draw = random.Random(f"{seed} {shape}")
    hedges = decisions.HEDGE_POLICIES[policy]()
    work = decisions.Work("a", "stock", 1, 1e9, is_call=True)
    latencies: list[float] = []
    copies = 0
    for _ in range(_LOOKUPS):
        first, second = _latency(shape, draw), _latency(shape, draw)
        # An item that is slow everywhere gains nothing from a copy.
        if shape == "slow items" and draw.random() < _STALLS:
            first, second = first + _STALL_S, second + _STALL_S
        delay_s = hedges.delay_s(work)
        hedged = not isinstance(delay_s, core.Missing) and first > delay_s
        latency_s = first
        if hedged and not isinstance(delay_s, core.Missing):
            copies += 1
            latency_s = min(first, delay_s + second)
        hedges.finished(work, latency_s, hedged, latency_s < first)
        latencies.append(latency_s)
    return latencies, copies


def run(seed: int) -> list[_measure.Row]:
    """Measures the tail and the extra load."""
    rows = []
    for shape in ("stalls", "slow items", "even"):
        for policy in decisions.HEDGE_POLICIES:
            latencies, copies = _serve(policy, shape, seed)
            ours = policy == "paying"
            rows += [
                _measure.Row(
                    "hedging",
                    policy,
                    f"{shape}: latency, 99th",
                    1000.0 * _simulation.percentile(latencies, 0.99),
                    "ms",
                ),
                _measure.Row(
                    "hedging",
                    policy,
                    f"{shape}: copies",
                    100.0 * copies / _LOOKUPS,
                    "%",
                    "<= 5" if ours else "",
                ),
            ]
    return rows
