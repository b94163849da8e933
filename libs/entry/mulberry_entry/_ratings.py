"""Rating answers after they were delivered."""

import dataclasses
import threading
from concurrent import futures

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_entry import _rater

#: Ratings that wait; beyond this answers go unrated rather than pile up.
_MAX_PENDING = 200

_THREADS = 4

_TIMEOUT_S = 5.0


class RatingQueue:
    """Feeds the version judge with runs and their ratings.

    All versions are rated alike, always. When only new versions were rated in
    full, they showed more low ratings for each run than settled ones, and a
    sound version was held to be bad.
    """

    def __init__(
        self,
        rater: _rater.Rater,
        judge: decisions.VersionJudge,
        counters: core.Counters,
    ) -> None:
        self._rater = rater
        self._judge = judge
        self._counters = counters
        self._free_slots = threading.BoundedSemaphore(_MAX_PENDING)
        self._executor = futures.ThreadPoolExecutor(
            max_workers=_THREADS, thread_name_prefix="ratings"
        )

    def submit(
        self,
        observation: decisions.Observation,
        prompt: str,
        answer: str,
    ) -> None:
        """Observes a completed run, with a rating unless too many wait."""
        if not self._free_slots.acquire(blocking=False):
            self._judge.observe(observation)
            return
        self._executor.submit(self._rate, observation, prompt, answer)

    def stop(self) -> None:
        """Drops ratings that have not begun."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _rate(
        self, observation: decisions.Observation, prompt: str, answer: str
    ) -> None:
        try:
            rating = self._rater.rate(prompt, answer, _TIMEOUT_S)
            self._judge.observe(dataclasses.replace(observation, rating=rating))
        finally:
            self._free_slots.release()
