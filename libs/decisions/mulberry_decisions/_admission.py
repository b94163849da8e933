"""Admission control at one entry: interface and baseline."""

import abc
import collections
import enum
import threading
from collections.abc import Callable

import mulberry_core as core
from mulberry_decisions import _work


class Ticket:
    """The permit to run one request; it is released when the run ends."""

    def __init__(
        self,
        work: _work.Work,
        admitted_at_s: float,
        on_release: Callable[["Ticket", _work.Outcome], None],
    ) -> None:
        self.work = work
        #: Time of the admission by `core.Clock.now`, seconds.
        self.admitted_at_s = admitted_at_s
        self._on_release = on_release
        self._lock = threading.Lock()
        self._released = False

    def release(self, outcome: _work.Outcome) -> None:
        """Frees the slot; further calls have no effect."""
        with self._lock:
            if self._released:
                return
            self._released = True
        self._on_release(self, outcome)


#: Receives the decision on a submitted request, exactly once.
DecisionCallback = Callable[[Ticket | core.Refusal], None]


class WithdrawResult(enum.Enum):
    """Result of `Admission.withdraw`."""

    #: The request was removed from the queue; its callback is not called.
    REMOVED = "removed"
    #: The callback has been called or is about to be.
    DECIDED = "decided"


class Admission(abc.ABC):
    """Limits how many requests run at once and queues the others."""

    def enter(self, work: _work.Work) -> Ticket | core.Refusal:
        """Blocks the calling thread until the request may run.

        Returns:
            A ticket, or a refusal of kind `OVERLOADED`,
            `DEADLINE_UNREACHABLE` or `DEADLINE_EXCEEDED`.
        """
        decision: list[Ticket | core.Refusal] = []
        ready = threading.Event()

        def callback(result: Ticket | core.Refusal) -> None:
            decision.append(result)
            ready.set()

        self.submit(work, callback)
        wait_s = max(0.0, work.deadline_at_s - self.clock.now())
        if not ready.wait(min(wait_s, threading.TIMEOUT_MAX)):
            if self.withdraw(work, callback) is WithdrawResult.REMOVED:
                return deadline_exceeded(work)
            ready.wait()
        return decision[0]

    @property
    @abc.abstractmethod
    def clock(self) -> core.Clock:
        """Clock that deadlines refer to."""

    @abc.abstractmethod
    def submit(self, work: _work.Work, callback: DecisionCallback) -> None:
        """Calls `callback` now or later with a ticket or a refusal.

        `callback` is called without any lock held, possibly on another thread.
        """

    @abc.abstractmethod
    def withdraw(
        self, work: _work.Work, callback: DecisionCallback
    ) -> WithdrawResult:
        """Removes a queued request, for example once its caller is gone."""

    @abc.abstractmethod
    def set_capacity(self, slots: int) -> None:
        """Sets the number of requests that may run at once."""

    @abc.abstractmethod
    def waiting(self) -> int:
        """Returns the number of queued requests."""

    @abc.abstractmethod
    def running(self) -> int:
        """Returns the number of tickets that have not been released."""


def deadline_exceeded(work: _work.Work) -> core.Refusal:
    """Returns the refusal of a request whose deadline passed in the queue."""
    return core.Refusal(
        core.ErrorKind.DEADLINE_EXCEEDED,
        core.RunState.NOT_RUN,
        f"work of kind {work.kind} reached its deadline in the queue",
    )


class FirstComeFirstServed(Admission):
    """Admits in order of arrival; refuses only when the queue is full."""

    def __init__(self, clock: core.Clock, slots: int, max_queue: int) -> None:
        self._clock = clock
        self._slots = slots
        self._max_queue = max_queue
        self._lock = threading.Lock()
        self._running = 0
        self._queue: collections.deque[tuple[_work.Work, DecisionCallback]] = (
            collections.deque()
        )

    @property
    def clock(self) -> core.Clock:
        """Clock that deadlines refer to."""
        return self._clock

    def submit(self, work: _work.Work, callback: DecisionCallback) -> None:
        """Admits, queues or refuses the request."""
        with self._lock:
            is_full = len(self._queue) >= self._max_queue
            if self._running < self._slots or not is_full:
                self._queue.append((work, callback))
                is_full = False
        if is_full:
            callback(queue_full_refusal(self._max_queue))
        else:
            self._admit()

    def withdraw(
        self, work: _work.Work, callback: DecisionCallback
    ) -> WithdrawResult:
        """Removes the request if it is still queued."""
        with self._lock:
            if (work, callback) in self._queue:
                self._queue.remove((work, callback))
                return WithdrawResult.REMOVED
        return WithdrawResult.DECIDED

    def set_capacity(self, slots: int) -> None:
        """Sets the number of requests that may run at once."""
        with self._lock:
            self._slots = slots
        self._admit()

    def waiting(self) -> int:
        """Returns the length of the queue."""
        with self._lock:
            return len(self._queue)

    def running(self) -> int:
        """Returns the number of tickets that have not been released."""
        with self._lock:
            return self._running

    def _admit(self) -> None:
        while True:
            with self._lock:
                if not self._queue or self._running >= self._slots:
                    return
                work, callback = self._queue.popleft()
                self._running += 1
            callback(Ticket(work, self._clock.now(), self._release))

    def _release(self, ticket: Ticket, outcome: _work.Outcome) -> None:
        with self._lock:
            self._running -= 1
        self._admit()


def queue_full_refusal(max_queue: int) -> core.Refusal:
    """Returns the refusal of a request that finds the queue full."""
    return core.Refusal(
        core.ErrorKind.OVERLOADED,
        core.RunState.NOT_RUN,
        f"{max_queue} requests are already waiting",
    )
