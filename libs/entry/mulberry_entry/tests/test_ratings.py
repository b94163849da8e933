"""Tests of the ratings reported to the version judge."""

import threading

import pytest

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_entry as entry
from mulberry_entry import _rater

_RUNS = 50


class _Rater(entry.Rater):
    def rate(
        self, prompt: str, answer: str, timeout_s: float
    ) -> float | core.Missing:
        return 0.9


class _Judge(decisions.NoJudge):
    def __init__(self) -> None:
        super().__init__()
        self.rated: list[str] = []
        self.done = threading.Event()

    def observe(self, observation: decisions.Observation) -> None:
        super().observe(observation)
        if not isinstance(observation.rating, core.Missing):
            self.rated.append(observation.version)
        if len(self.rated) == 2 * _RUNS:
            self.done.set()


def test_all_versions_are_rated_equally() -> None:
    """Guards against misjudging a version because it is rated more often."""
    judge = _Judge()
    rating_queue = entry.RatingQueue(_Rater(), judge, core.MemoryCounters())
    for version in ("old", "new"):
        for _ in range(_RUNS):
            rating_queue.submit(
                decisions.Observation(
                    "m", version, "quote", decisions.Outcome.COMPLETED
                ),
                "prompt",
                "answer",
            )
    assert judge.done.wait(10)
    rating_queue.stop()
    assert judge.rated.count("old") == judge.rated.count("new") == _RUNS


@pytest.mark.parametrize(
    "body",
    [
        b"[" * 30_000,
        b'{"score":' + b"9" * 5_000 + b"}",
        b'{"score":1' + b"0" * 400 + b"}",
        b'{"score":1e400}',
        b'{"score":NaN}',
        b'{"score":[1]}',
        b"[]",
        b"\xff",
    ],
)
def test_odd_rating_is_absent(body: bytes) -> None:
    """Guards against a request that fails for what the rater answers."""
    assert _rater._parse_score(body) is core.Missing.UNSET
