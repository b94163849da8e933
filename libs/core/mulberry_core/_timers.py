"""Timer service: one thread that runs scheduled callbacks."""

import heapq
import itertools
import threading
from collections.abc import Callable

from absl import logging

from mulberry_core import _clock

Callback = Callable[[], None]

#: Longest wait between two reads of the clock, seconds. A manual clock or a
#: suspended machine would otherwise delay a due callback.
_MAX_WAIT_S = 0.25


class Subscription:
    """A scheduled callback that can be cancelled."""

    def __init__(self, name: str, callback: Callback, period_s: float) -> None:
        #: Shown in log lines.
        self.name = name
        #: Seconds between calls; 0 for a single call.
        self.period_s = period_s
        self._callback = callback
        self._cancelled = threading.Event()

    @property
    def cancelled(self) -> bool:
        """Whether further calls are cancelled."""
        return self._cancelled.is_set()

    def cancel(self) -> None:
        """Prevents further calls; a running call is not interrupted."""
        self._cancelled.set()

    def call(self) -> None:
        """Runs the callback unless cancelled; logs its exceptions."""
        if self.cancelled:
            return
        try:
            self._callback()
        except Exception:
            logging.exception("timer callback %s failed", self.name)


class TimerService:
    """Runs callbacks at their due time, one after another.

    Callbacks share one thread and must be short. Run long work in a
    `TaskPool` task that the callback wakes.
    """

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        self._condition = threading.Condition()
        self._sequence = itertools.count()
        self._queue: list[tuple[float, int, Subscription]] = []
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, name="timers", daemon=True
        )

    def start(self) -> None:
        """Starts the thread; alternatively, call `run_due` repeatedly."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread; pending callbacks are not run."""
        with self._condition:
            self._stopped = True
            self._condition.notify()
        if self._thread.is_alive():
            self._thread.join()

    def every(
        self, period_s: float, callback: Callback, name: str
    ) -> Subscription:
        """Calls `callback` every `period_s` seconds, first after one period."""
        return self._schedule(period_s, Subscription(name, callback, period_s))

    def after(
        self, delay_s: float, callback: Callback, name: str
    ) -> Subscription:
        """Calls `callback` once, `delay_s` seconds from now."""
        return self._schedule(delay_s, Subscription(name, callback, 0.0))

    def run_due(self) -> None:
        """Runs the callbacks that are due now."""
        for subscription in self._pop_due():
            subscription.call()
            if subscription.period_s and not subscription.cancelled:
                self._schedule(subscription.period_s, subscription)

    def _schedule(
        self, delay_s: float, subscription: Subscription
    ) -> Subscription:
        due_s = self._clock.now() + delay_s
        with self._condition:
            heapq.heappush(
                self._queue, (due_s, next(self._sequence), subscription)
            )
            self._condition.notify()
        return subscription

    def _pop_due(self) -> list[Subscription]:
        now_s = self._clock.now()
        due = []
        with self._condition:
            while self._queue and self._queue[0][0] <= now_s:
                due.append(heapq.heappop(self._queue)[2])
        return due

    def _run(self) -> None:
        while True:
            with self._condition:
                if self._stopped:
                    return
                wait_s = _MAX_WAIT_S
                if self._queue:
                    until_due_s = self._queue[0][0] - self._clock.now()
                    wait_s = min(wait_s, until_due_s)
                if wait_s > 0:
                    self._condition.wait(wait_s)
            self.run_due()
