"""Queue with priorities and weighted fair sharing between teams."""

import collections
import dataclasses
from collections.abc import Iterator, Mapping

from mulberry_decisions import _admission, _work


@dataclasses.dataclass(frozen=True, eq=False)
class QueuedRequest:
    """A request in the queue."""

    work: _work.Work
    callback: _admission.DecisionCallback
    #: Expected run time when it was queued, seconds.
    expected_s: float


#: Run time charged for a kind without an estimate, seconds.
_DEFAULT_RUN_S = 0.05


class FairQueue:
    """Start-time fair queueing between teams within each priority.

    Each dequeued request advances its team's virtual time by its run time
    divided by the team's weight. Requests of one team and priority are served
    in order of arrival. Not thread-safe; callers synchronize access.
    """

    def __init__(self) -> None:
        self._weights_by_team: dict[str, float] = {}
        self._virtual_time_by_team: dict[str, float] = {}
        self._virtual_time = 0.0
        self._size = 0
        self._queues: dict[
            int, dict[str, collections.deque[QueuedRequest]]
        ] = {}
        self._queued_s: dict[int, dict[str, float]] = {}

    def __len__(self) -> int:
        return self._size

    def set_weights(self, weights_by_team: Mapping[str, float]) -> None:
        """Sets the weights of the teams; the default is 1."""
        self._weights_by_team = dict(weights_by_team)

    def priorities(self) -> list[int]:
        """Returns the priorities with queued requests, most urgent first."""
        return sorted(self._queues)

    def append(self, request: QueuedRequest) -> None:
        """Adds a request at the end of its team's queue."""
        team, priority = request.work.team, request.work.priority
        if not self._has_queued(team):
            # An idle team accumulates no credit.
            self._virtual_time_by_team[team] = max(
                self._virtual_time_by_team.get(team, 0.0), self._virtual_time
            )
        queues = self._queues.setdefault(priority, {})
        queues.setdefault(team, collections.deque()).append(request)
        self._add_queued_s(priority, team, request.expected_s)
        self._size += 1

    def pop(self, priority: int) -> QueuedRequest:
        """Removes and returns the next request of a non-empty priority."""
        queues = self._queues[priority]
        team = min(
            queues, key=lambda name: (self._virtual_time_by_team[name], name)
        )
        request = queues[team][0]
        self._virtual_time = max(
            self._virtual_time, self._virtual_time_by_team[team]
        )
        self.charge(team, request.expected_s)
        self.remove(request)
        return request

    def charge(self, team: str, seconds: float) -> None:
        """Advances the virtual time of the team by a run time."""
        used = max(seconds, _DEFAULT_RUN_S) / self._weight(team)
        self._virtual_time_by_team[team] = (
            self._virtual_time_by_team.get(team, self._virtual_time) + used
        )

    def remove(self, request: QueuedRequest) -> bool:
        """Removes a request; returns False if it is not queued."""
        team, priority = request.work.team, request.work.priority
        queue = self._queues.get(priority, {}).get(team)
        if queue is None or request not in queue:
            return False
        queue.remove(request)
        self._add_queued_s(priority, team, -request.expected_s)
        self._size -= 1
        if not queue:
            del self._queues[priority][team]
            del self._queued_s[priority][team]
            if not self._queues[priority]:
                del self._queues[priority]
                del self._queued_s[priority]
        return True

    def eviction_candidate(self) -> QueuedRequest:
        """Returns the newest request of the team with the largest backlog.

        The backlog is the queued run time over the team's weight, in the least
        urgent priority.
        """
        priority = max(self._queues)
        seconds = self._queued_s[priority]
        team = max(
            seconds, key=lambda name: (seconds[name] / self._weight(name), name)
        )
        return self._queues[priority][team][-1]

    def find(
        self, work: _work.Work, callback: _admission.DecisionCallback
    ) -> Iterator[QueuedRequest]:
        """Yields the queued request with this callback, if there is one."""
        queue = self._queues.get(work.priority, {}).get(work.team, ())
        for request in queue:
            if request.callback is callback or request.callback == callback:
                yield request
                return

    def work_ahead_s(self, team: str, priority: int) -> float:
        """Returns the queued run time that is served before a new request.

        It consists of all more urgent work, the team's own work of the same
        priority, and the shares of the other teams that fair queueing serves
        together with it.
        """
        urgent = sum(
            sum(by_team.values())
            for other, by_team in self._queued_s.items()
            if other < priority
        )
        same = self._queued_s.get(priority, {})
        own = same.get(team, 0.0)
        weight = self._weight(team)
        shared = own + sum(
            min(seconds, own * self._weight(name) / weight)
            for name, seconds in same.items()
            if name != team
        )
        return urgent + shared

    def _has_queued(self, team: str) -> bool:
        return any(team in by_team for by_team in self._queues.values())

    def _weight(self, team: str) -> float:
        return max(1e-6, self._weights_by_team.get(team, 1.0))

    def _add_queued_s(self, priority: int, team: str, seconds: float) -> None:
        by_team = self._queued_s.setdefault(priority, {})
        by_team[team] = by_team.get(team, 0.0) + seconds
