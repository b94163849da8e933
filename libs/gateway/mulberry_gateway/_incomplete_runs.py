"""Tracks runs without a complete answer and detects lost upstreams."""

import collections
import dataclasses
import threading

import mulberry_core as core
import mulberry_membership as membership
from mulberry_gateway import _strike_records

#: How long a run is watched, seconds. Within this time, a crashed upstream
#: either announces its restart or expires for lack of announcements.
WATCH_S = 10.0
#: Runs watched at once; bounds memory if callers keep disconnecting.
MAX_RUNS = 2_000

_KIND = membership.RecordKind.UPSTREAM


@dataclasses.dataclass(frozen=True)
class IncompleteRun:
    """A run during which the upstream may have ended."""

    subjects: tuple[_strike_records.Subject, ...]
    request_id: str
    upstream: membership.Upstream
    #: `Clock.now` at its end, seconds.
    ended_s: float


class IncompleteRuns:
    """Detects from announcements which upstreams ended during a run.

    A connection attempt right after a run does not show a crash if the
    upstream restarts at once or a proxy in front of it accepts connections.
    The announcements do: a restarted upstream has a higher incarnation, or
    another name at the same address, and one that is not restarted stops
    announcing itself.
    """

    def __init__(
        self,
        soft_state: membership.SoftState,
        directory: membership.UpstreamDirectory,
        clock: core.Clock,
    ) -> None:
        self._soft_state = soft_state
        self._directory = directory
        self._clock = clock
        self._lock = threading.Lock()
        self._runs: collections.deque[IncompleteRun] = collections.deque(
            maxlen=MAX_RUNS
        )

    def add(self, run: IncompleteRun) -> None:
        """Watches a run that has just ended."""
        with self._lock:
            self._runs.append(run)

    def pop_lost(self) -> list[IncompleteRun]:
        """Removes and returns the runs whose upstream has ended."""
        with self._lock:
            if not self._runs:
                return []
            runs = list(self._runs)
            self._runs.clear()
        oldest_s = self._clock.now() - WATCH_S
        newest_by_address = self._newest_by_address()
        lost, watched = [], []
        for run in runs:
            if self._has_ended(run.upstream, newest_by_address):
                lost.append(run)
            elif run.ended_s > oldest_s:
                watched.append(run)
        with self._lock:
            added_meanwhile = list(self._runs)
            self._runs.clear()
            self._runs.extend((*watched, *added_meanwhile))
        return lost

    def _newest_by_address(self) -> dict[str, int]:
        """Returns the highest incarnation at each address."""
        newest: dict[str, int] = {}
        for upstream in self._directory.upstreams().values():
            address = upstream.address
            newest[address] = max(newest.get(address, 0), upstream.incarnation)
        return newest

    def _has_ended(
        self,
        upstream: membership.Upstream,
        newest_by_address: dict[str, int],
    ) -> bool:
        """Whether the upstream ended without deregistering."""
        if isinstance(
            self._soft_state.latest(_KIND, upstream.name), core.Missing
        ):
            return False
        return has_ended(
            self._soft_state, upstream.name, upstream.incarnation
        ) or (newest_by_address.get(upstream.address, 0) > upstream.incarnation)


def has_ended(
    soft_state: membership.SoftState, name: str, incarnation: int
) -> bool:
    """Whether announcements show that an upstream was lost.

    It has restarted, or stopped to announce itself without deregistering.
    """
    record = soft_state.latest(_KIND, name)
    if isinstance(record, core.Missing):
        return False
    if record.incarnation > incarnation:
        return True
    return record.removed and record.sequence < membership.LEFT_SEQUENCE
