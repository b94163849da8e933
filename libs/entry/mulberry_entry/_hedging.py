"""Hedged requests: sends a slow lookup to a second upstream as well."""

import threading
from collections.abc import Callable
from concurrent import futures
from typing import TypeVar

import mulberry_core as core
import mulberry_decisions as decisions

T = TypeVar("T")

#: Worker threads for lookups that may be hedged.
_THREADS = 32

#: Sends the request to an upstream that no earlier attempt has used. The
#: argument returns whether another attempt has been answered.
Send = Callable[[Callable[[], bool]], T | core.Refusal]


class Hedger:
    """Runs idempotent lookups with at most one hedged request each."""

    def __init__(
        self, policy: decisions.HedgePolicy, budget: decisions.RetryBudget
    ) -> None:
        self._policy = policy
        self._budget = budget
        self._executor = futures.ThreadPoolExecutor(
            _THREADS, thread_name_prefix="hedged lookups"
        )

    def run(
        self, work: decisions.Work, clock: core.Clock, send: Send[T]
    ) -> T | core.Refusal:
        """Returns the first answer; if all attempts fail, the last refusal."""
        started_s = clock.now()
        delay_s = self._policy.delay_s(work)
        if isinstance(delay_s, core.Missing):
            answer = send(lambda: False)
            self._policy.finished(work, clock.now() - started_s, False, False)
            return answer
        answered = threading.Event()
        first = self._executor.submit(send, answered.is_set)
        attempts = [first]
        futures.wait(attempts, delay_s)
        if not first.done() and self._budget.try_retry(
            work, core.RunState.UNKNOWN
        ):
            attempts.append(self._executor.submit(send, answered.is_set))
        answer, winner = _first_answer(attempts)
        answered.set()
        self._policy.finished(
            work,
            clock.now() - started_s,
            len(attempts) > 1,
            winner is not first,
        )
        return answer

    def stop(self) -> None:
        """Shuts down the worker threads and cancels queued attempts."""
        self._executor.shutdown(wait=False, cancel_futures=True)


def _first_answer(
    attempts: list[futures.Future[T | core.Refusal]],
) -> tuple[T | core.Refusal, futures.Future[T | core.Refusal]]:
    done = attempts[0]
    for done in futures.as_completed(attempts):
        if not isinstance(done.result(), core.Refusal):
            break
    return done.result(), done
