"""Blocks of prompt parts last longer with each trial, less if they are broad.

Replays requests on a route: one part is in all of them, another in few.
"""

import random

import pytest

import mulberry_decisions as decisions


@pytest.mark.parametrize(
    ("is_broad", "durations_s"),
    [
        (False, [20.0, 80.0, 320.0, 1_280.0]),
        (True, [2.0, 16.0, 128.0, 1_024.0]),
    ],
)
def test_each_failed_trial_blocks_a_part_for_longer(
    is_broad: bool, durations_s: list[float]
) -> None:
    assert durations_s == [
        decisions.part_block_duration_s(trials, is_broad)
        for trials in range(len(durations_s))
    ]
    assert decisions.part_block_duration_s(1_000, is_broad) == 3_600.0


@pytest.mark.parametrize(
    ("prompts", "is_broad"),
    [
        ("ddddd", False),
        ("dddddd", True),
        ("dddfdd", True),
        ("ddfdfd", False),
        ("ffffdd", False),
        ("d" * 16 + "f" * 4, True),
        ("d" * 16 + "f" * 5, False),
    ],
)
def test_a_part_of_most_recent_requests_is_broad(
    prompts: str, is_broad: bool
) -> None:
    """Guards against blocking a route as long as a part of few requests."""
    reach = decisions.PartReach()
    for number, part in enumerate(prompts):
        reach.add("chat", f"content{number}", [part, "x"])
    assert reach.is_broad("chat", "d") is is_broad
    assert not reach.is_broad("quotes", "d")


def test_a_repeated_request_makes_no_part_broad() -> None:
    """Guards against early trials because callers repeat a blocked request."""
    reach = decisions.PartReach()
    for number in range(20):
        reach.add("chat", "same", ["d"])
        if number % 3 == 0:
            reach.add("chat", f"content{number}", ["f"])
    assert not reach.is_broad("chat", "d")
    assert reach.is_broad("chat", "f")


def test_a_part_of_few_requests_is_not_broad_by_chance() -> None:
    """Replays days: a part of one request in four, at several instances.

    Callers send more requests with a blocked part, since theirs fail.
    """
    rng = random.Random(1)
    broad = 0
    for _ in range(50):
        reach = decisions.PartReach()
        for number in range(100):
            part = "d" if rng.random() < 0.25 else "f"
            reach.add("chat", f"content{number}", [part])
            broad += reach.is_broad("chat", "d")
    assert broad < 50
