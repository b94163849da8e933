"""Queue with priorities and weighted fair sharing between teams."""

import collections
import dataclasses
from collections.abc import Iterator, Mapping

from mulberry_decisions import _admission, _work


@dataclasses.dataclass(frozen=True, eq=False)
class Waiting:
    """A request in the queue."""

    work: _work.Work
    decided: _admission.DecisionCallback
    #: Expected run time when it was queued, seconds.
    expected_s: float


#: Run time charged for a kind without an estimate, seconds.
_UNKNOWN_RUN_S = 0.05


class FairQueue:
    """Start-time fair queueing over teams within each priority.

    A team's virtual time grows by run time over weight with each request
    that is taken. Within a team and priority the order is first come, first
    served. Not thread-safe; the owner holds its lock.
    """

    def __init__(self) -> None:
        self._weights_by_team: dict[str, float] = {}
        self._virtual_by_team: dict[str, float] = {}
        self._virtual_now = 0.0
        self._size = 0
        self._queues: dict[int, dict[str, collections.deque[Waiting]]] = {}
        self._seconds: dict[int, dict[str, float]] = {}

    def __len__(self) -> int:
        return self._size

    def set_weights(self, weights_by_team: Mapping[str, float]) -> None:
        """Sets the teams' weights; others have weight 1."""
        self._weights_by_team = dict(weights_by_team)

    def priorities(self) -> list[int]:
        """Returns the priorities with waiting requests, most urgent first."""
        return sorted(self._queues)

    def append(self, waiting: Waiting) -> None:
        """Adds a request at the end of its team's queue."""
        team, priority = waiting.work.team, waiting.work.priority
        if not self._waits(team):
            # An idle team does not collect credit.
            self._virtual_by_team[team] = max(
                self._virtual_by_team.get(team, 0.0), self._virtual_now
            )
        queues = self._queues.setdefault(priority, {})
        queues.setdefault(team, collections.deque()).append(waiting)
        self._add_seconds(priority, team, waiting.expected_s)
        self._size += 1

    def pop(self, priority: int) -> Waiting:
        """Takes the next request of a priority that has one."""
        queues = self._queues[priority]
        team = min(queues, key=lambda name: (self._virtual_by_team[name], name))
        waiting = queues[team][0]
        self._virtual_now = max(self._virtual_now, self._virtual_by_team[team])
        self.charge(team, waiting.expected_s)
        self.remove(waiting)
        return waiting

    def charge(self, team: str, seconds: float) -> None:
        """Adds run time to what the team has used."""
        used = max(seconds, _UNKNOWN_RUN_S) / self._weight(team)
        self._virtual_by_team[team] = (
            self._virtual_by_team.get(team, self._virtual_now) + used
        )

    def remove(self, waiting: Waiting) -> bool:
        """Removes a request; False if it does not wait."""
        team, priority = waiting.work.team, waiting.work.priority
        queue = self._queues.get(priority, {}).get(team)
        if queue is None or waiting not in queue:
            return False
        queue.remove(waiting)
        self._add_seconds(priority, team, -waiting.expected_s)
        self._size -= 1
        if not queue:
            del self._queues[priority][team]
            del self._seconds[priority][team]
            if not self._queues[priority]:
                del self._queues[priority]
                del self._seconds[priority]
        return True

    def least_urgent(self) -> Waiting:
        """Returns the latest request of the largest user's team.

        The team is the one with the most waiting run time for its weight in
        the least urgent priority.
        """
        priority = max(self._queues)
        seconds = self._seconds[priority]
        team = max(
            seconds, key=lambda name: (seconds[name] / self._weight(name), name)
        )
        return self._queues[priority][team][-1]

    def find(
        self, work: _work.Work, decided: _admission.DecisionCallback
    ) -> Iterator[Waiting]:
        """Yields the waiting request with this callback, if it waits."""
        queue = self._queues.get(work.priority, {}).get(work.team, ())
        for waiting in queue:
            if waiting.decided is decided or waiting.decided == decided:
                yield waiting
                return

    def seconds_ahead(self, team: str, priority: int) -> float:
        """Returns the run time that is served before a new request.

        More urgent work comes first. Within the priority, each second of the
        team's own work passes along with the other teams' fair shares.
        """
        urgent = sum(
            sum(by_team.values())
            for other, by_team in self._seconds.items()
            if other < priority
        )
        same = self._seconds.get(priority, {})
        own = same.get(team, 0.0)
        weight = self._weight(team)
        shared = own + sum(
            min(seconds, own * self._weight(name) / weight)
            for name, seconds in same.items()
            if name != team
        )
        return urgent + shared

    def _waits(self, team: str) -> bool:
        return any(team in by_team for by_team in self._queues.values())

    def _weight(self, team: str) -> float:
        return max(1e-6, self._weights_by_team.get(team, 1.0))

    def _add_seconds(self, priority: int, team: str, seconds: float) -> None:
        by_team = self._seconds.setdefault(priority, {})
        by_team[team] = by_team.get(team, 0.0) + seconds
