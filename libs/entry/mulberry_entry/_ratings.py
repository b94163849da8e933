"""Rates answers in the background after their delivery."""

import dataclasses
import threading
from concurrent import futures

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_entry import _rater

#: Ratings queued or running; answers beyond this are not rated.
_MAX_PENDING = 200

_THREADS = 4

_TIMEOUT_S = 5.0


class RatingQueue:
    """Reports completed runs and their ratings to the version judge.

    All versions are rated equally. When only new versions were rated in full,
    they had more low ratings per run than established ones, and a sound version
    was judged bad.
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
        """Reports a run after rating it, or unrated if the queue is full."""
        if not self._free_slots.acquire(blocking=False):
            self._judge.observe(observation)
            return
        self._executor.submit(self._rate, observation, prompt, answer)

    def stop(self) -> None:
        """Cancels ratings that have not started."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _rate(
        self, observation: decisions.Observation, prompt: str, answer: str
    ) -> None:
        try:
            rating = self._rater.rate(prompt, answer, _TIMEOUT_S)
            self._judge.observe(dataclasses.replace(observation, rating=rating))
        finally:
            self._free_slots.release()
