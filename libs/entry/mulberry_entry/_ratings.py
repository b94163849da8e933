"""Rating a share of the answers after they were delivered."""

import dataclasses
import random
import threading
from concurrent import futures

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_entry import _rater

#: Share of the answers of settled versions that are rated, 0 to 1. Answers of
#: versions that are being rolled out or are on probation are all rated.
_USUAL_SHARE = 0.2

#: Ratings that wait; beyond this answers go unrated rather than pile up.
_MAX_WAITING = 200

_THREADS = 4

_TIMEOUT_S = 5.0


class RatingSampler:
    """Feeds the version judge with runs and, for a sample, their ratings."""

    def __init__(
        self,
        rater: _rater.Rater,
        judge: decisions.VersionJudge,
        counters: core.Counters,
    ) -> None:
        self._rater = rater
        self._judge = judge
        self._counters = counters
        self._waiting = threading.BoundedSemaphore(_MAX_WAITING)
        self._executor = futures.ThreadPoolExecutor(
            max_workers=_THREADS, thread_name_prefix="ratings"
        )

    def completed(
        self,
        observation: decisions.Observation,
        prompt: str,
        answer: str,
        is_new_version: bool,
    ) -> None:
        """Observes a completed run, with a rating if it is sampled."""
        sampled = is_new_version or random.random() < _USUAL_SHARE
        if not sampled or not self._waiting.acquire(blocking=False):
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
            self._waiting.release()
