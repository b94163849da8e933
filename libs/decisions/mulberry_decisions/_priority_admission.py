"""Admission with priorities, weighted fair queueing and early refusal."""

import math
import threading
from collections.abc import Callable, Mapping

import mulberry_core as core
from mulberry_decisions import (
    _admission,
    _fair_queue,
    _service_times,
    _work,
)

#: Mean deviations added to the mean run time when a request arrives. A request
#: that would barely meet its deadline is refused at once, because a run that
#: misses it wastes a slot.
_ARRIVAL_DEVIATIONS = 2.0
#: Mean deviations added when a queued request is about to run.
_START_DEVIATIONS = 2.0
#: Share of the slots that each less urgent priority may use even while more
#: urgent work is queued; it prevents starvation during bursts.
_GUARANTEED_SHARE = 0.1
#: Largest share of the slots reserved for more urgent work.
_MAX_RESERVED_SHARE = 0.25
#: Time constant of the average demand of each priority, seconds.
_DEMAND_WINDOW_S = 30.0

_Action = Callable[[], None]


class _DemandEstimator:
    """Mean slots in use by priority: arrival rate x run time (Little's law)."""

    def __init__(self) -> None:
        self._slots: dict[int, float] = {}
        self._updated_s: dict[int, float] = {}

    def record_arrival(
        self, priority: int, expected_s: float, now_s: float
    ) -> None:
        self._decay(priority, now_s)
        self._slots[priority] += expected_s / _DEMAND_WINDOW_S

    def required(self, priority: int, now_s: float) -> float:
        """Returns the slots that work more urgent than `priority` needs.

        The margin is one standard deviation of Poisson arrivals.
        """
        mean = 0.0
        for other in self._slots:
            if other < priority:
                self._decay(other, now_s)
                mean += self._slots[other]
        return mean + math.sqrt(mean)

    def _decay(self, priority: int, now_s: float) -> None:
        since_s = now_s - self._updated_s.get(priority, now_s)
        self._updated_s[priority] = now_s
        self._slots[priority] = self._slots.get(priority, 0.0) * math.exp(
            -since_s / _DEMAND_WINDOW_S
        )


class PriorityAdmission(_admission.Admission):
    """Admits by priority, then by weighted fair queueing between teams.

    Refuses work at once that is not expected to meet its deadline.
    """

    def __init__(self, clock: core.Clock, slots: int, max_queue: int) -> None:
        self._clock = clock
        self._slots = slots
        self._max_queue = max_queue
        self._lock = threading.Lock()
        self._queue = _fair_queue.FairQueue()
        self._times = _service_times.ServiceTimes()
        self._demand = _DemandEstimator()
        self._running_by_priority: dict[int, int] = {}

    @property
    def clock(self) -> core.Clock:
        """Clock that deadlines refer to."""
        return self._clock

    def set_weights(self, weights_by_team: Mapping[str, float]) -> None:
        """Sets the weights of the teams."""
        with self._lock:
            self._queue.set_weights(weights_by_team)

    def set_capacity(self, slots: int) -> None:
        """Sets the number of requests that may run at once."""
        with self._lock:
            self._slots = slots
            actions = self._admit()
        _run(actions)

    def waiting(self) -> int:
        """Returns the length of the queue."""
        with self._lock:
            return len(self._queue)

    def running(self) -> int:
        """Returns the number of tickets that have not been released."""
        with self._lock:
            return self._running()

    def submit(
        self, work: _work.Work, callback: _admission.DecisionCallback
    ) -> None:
        """Admits, queues or refuses the request."""
        with self._lock:
            now_s = self._clock.now()
            expected_s = self._times.mean_s(work.kind)
            self._demand.record_arrival(work.priority, expected_s, now_s)
            refusal = self._refuse_early(work, now_s)
            actions: list[_Action] = []
            if isinstance(refusal, core.Refusal):
                actions.append(_notify(callback, refusal))
            else:
                self._queue.append(
                    _fair_queue.QueuedRequest(work, callback, expected_s)
                )
                actions += self._admit()
                actions += self._evict_excess()
        _run(actions)

    def withdraw(
        self, work: _work.Work, callback: _admission.DecisionCallback
    ) -> _admission.WithdrawResult:
        """Removes the request if it is still queued."""
        with self._lock:
            for request in self._queue.find(work, callback):
                self._queue.remove(request)
                return _admission.WithdrawResult.REMOVED
        return _admission.WithdrawResult.DECIDED

    def _refuse_early(
        self, work: _work.Work, now_s: float
    ) -> core.Refusal | core.Missing:
        wait_s = 0.0
        if self._running() >= self._slots:
            ahead_s = self._queue.work_ahead_s(work.team, work.priority)
            wait_s = ahead_s / max(1, self._slots)
        needed_s = wait_s + self._times.upper_estimate_s(
            work.kind, _ARRIVAL_DEVIATIONS
        )
        # While a slot is free, nothing is refused because of an estimate: a
        # kind whose estimate is too high would never be measured again.
        cannot_finish = now_s + needed_s > work.deadline_at_s and wait_s > 0.0
        if now_s >= work.deadline_at_s or cannot_finish:
            return _deadline_unreachable(work, now_s, needed_s)
        return core.Missing.UNSET

    def _evict_excess(self) -> list[_Action]:
        """Evicts the least urgent requests beyond the queue's bound."""
        actions: list[_Action] = []
        while len(self._queue) > self._max_queue:
            evicted = self._queue.eviction_candidate()
            self._queue.remove(evicted)
            refusal = _admission.queue_full_refusal(self._max_queue)
            actions.append(_notify(evicted.callback, refusal))
        return actions

    def _admit(self) -> list[_Action]:
        actions: list[_Action] = []
        now_s = self._clock.now()
        while len(self._queue) and self._running() < self._slots:
            priority = self._next_priority(now_s)
            if isinstance(priority, core.Missing):
                break
            request = self._queue.pop(priority)
            actions.append(self._start_or_refuse(request, now_s))
        return actions

    def _start_or_refuse(
        self, request: _fair_queue.QueuedRequest, now_s: float
    ) -> _Action:
        work = request.work
        needed_s = self._times.upper_estimate_s(work.kind, _START_DEVIATIONS)
        left_s = work.deadline_at_s - now_s
        if left_s <= 0 or (left_s < needed_s and self._is_busy()):
            return _notify(
                request.callback, _deadline_unreachable(work, now_s, needed_s)
            )
        running = self._running_by_priority
        running[work.priority] = running.get(work.priority, 0) + 1
        ticket = _admission.Ticket(work, now_s, self._release)
        return _notify(request.callback, ticket)

    def _next_priority(self, now_s: float) -> int | core.Missing:
        """Returns the priority that gets the next slot, unset for none."""
        priorities = self._queue.priorities()
        guaranteed = int(self._slots * _GUARANTEED_SHARE)
        for priority in priorities[1:]:
            if self._running_by_priority.get(priority, 0) < guaranteed:
                return priority
        for priority in priorities:
            if self._running() + self._reserved(priority, now_s) < self._slots:
                return priority
        return core.Missing.UNSET

    def _reserved(self, priority: int, now_s: float) -> int:
        """Returns the slots reserved for work more urgent than `priority`."""
        urgent = sum(
            count
            for other, count in self._running_by_priority.items()
            if other < priority
        )
        missing = self._demand.required(priority, now_s) - urgent
        bound = int(self._slots * _MAX_RESERVED_SHARE)
        return max(0, min(bound, math.ceil(missing)))

    def _is_busy(self) -> bool:
        """Whether at least half of the slots are in use."""
        return 2 * self._running() >= self._slots

    def _running(self) -> int:
        return sum(self._running_by_priority.values())

    def _release(
        self, ticket: _admission.Ticket, outcome: _work.Outcome
    ) -> None:
        with self._lock:
            self._running_by_priority[ticket.work.priority] -= 1
            if outcome in (_work.Outcome.COMPLETED, _work.Outcome.LATE):
                seconds = self._clock.now() - ticket.admitted_at_s
                self._times.observe(ticket.work.kind, seconds)
            actions = self._admit()
        _run(actions)


def _deadline_unreachable(
    work: _work.Work, now_s: float, needed_s: float
) -> core.Refusal:
    left_s = work.deadline_at_s - now_s
    return core.Refusal(
        core.ErrorKind.DEADLINE_UNREACHABLE,
        core.RunState.NOT_RUN,
        f"work of kind {work.kind} needs about {needed_s:.1f} s and has "
        f"{left_s:.1f} s left",
        retry_after_s=max(1.0, needed_s - left_s),
    )


def _notify(
    callback: _admission.DecisionCallback,
    result: _admission.Ticket | core.Refusal,
) -> _Action:
    return lambda: callback(result)


def _run(actions: list[_Action]) -> None:
    """Runs callbacks; the caller must not hold the lock."""
    for action in actions:
        action()
