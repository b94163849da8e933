"""Which model runs a request: confidence, and the load of the engines."""

import random

import pytest

import mulberry_core as core
import mulberry_decisions as decisions

_MODELS = ("small", "middle", "large")
_LADDER = decisions.ConfidenceLadder()


@pytest.mark.parametrize(
    ("model", "confidence", "load_share", "wanted"),
    [
        ("small", 0.9, 0.0, core.Missing.UNSET),
        ("small", 0.5, 0.0, "middle"),
        ("small", 0.3, 0.0, "large"),
        ("middle", 0.5, 0.0, core.Missing.UNSET),
        ("middle", 0.4, 0.0, "large"),
        ("unknown", 0.1, 0.0, core.Missing.UNSET),
        ("small", core.Missing.UNSET, 0.0, core.Missing.UNSET),
        ("large", 0.1, 0.0, core.Missing.UNSET),
        # Busy engines: less is asked, and nothing once they are full.
        ("small", 0.5, 0.6, "middle"),
        ("small", 0.5, 0.8, core.Missing.UNSET),
        ("small", 0.15, 0.8, "middle"),
        ("small", 0.0, 0.7, "large"),
        ("small", 0.0, 1.0, core.Missing.UNSET),
    ],
)
def test_next_model(
    model: str,
    confidence: float | core.Missing,
    load_share: float,
    wanted: str | core.Missing,
) -> None:
    rung = decisions.Rung(model, confidence)
    assert _LADDER.next(_MODELS, rung, load_share) == wanted


def test_a_burst_does_not_make_everyone_late() -> None:
    """Replays a burst of 1.7 times the load on engines that were half full.

    Guards against second answers that fill the engines: with a fixed
    threshold the queue grows for as long as the burst lasts.
    """
    fixed = _replay(lambda load_share: decisions.KEEP_FROM)
    adaptive = _replay(_LADDER.threshold)
    assert max(fixed) > 1.0
    assert max(adaptive) < 1.0


def _replay(threshold: object) -> list[float]:
    """Returns the load share in steps of 0.1 s through a burst of 8 s."""
    assert callable(threshold)
    rng = random.Random(3)
    places, small_s, large_s = 64, 0.6, 5.0
    running: list[float] = []
    shares = []
    for step in range(160):
        now_s = step / 10
        per_s = 15.0 * (1.7 if 4.0 <= now_s < 12.0 else 1.0)
        running = [end_s for end_s in running if end_s > now_s]
        load_share = len(running) / places
        shares.append(load_share)
        for _ in range(int(per_s / 10 + rng.random())):
            is_unsure = rng.random() < threshold(load_share)
            # A batch slows down with each request that it holds.
            slowed = 1.0 + load_share
            took_s = (large_s if is_unsure else small_s) * slowed
            running.append(now_s + took_s)
    return shares
