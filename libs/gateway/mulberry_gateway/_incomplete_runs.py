"""Runs that ended without a whole answer, until their upstream's fate is known."""

import collections
import dataclasses
import threading

import mulberry_core as core
import mulberry_membership as membership

#: For how long a run is watched, seconds. An upstream that crashed announces
#: its next start, or is dropped for its silence, within this time.
WATCH_S = 10.0
#: Runs watched at once; bounds memory against callers that always leave.
MAX_RUNS = 2_000

_KIND = membership.RecordKind.UPSTREAM


@dataclasses.dataclass(frozen=True)
class IncompleteRun:
    """One run whose upstream may have ended during it."""

    digest: str
    request_id: str
    upstream: membership.Upstream
    #: `Clock.now` at its end, seconds.
    ended_s: float


class IncompleteRuns:
    """Finds out later which upstreams ended, from their announcements.

    A connection attempt right after the end of a run tells nothing where an
    upstream is back at once, or a proxy in front of it accepts connections.
    Its announcements tell: the next start has a higher incarnation or another
    name at the same address, and one that is not started again falls silent.
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

    def add(
        self, digest: str, request_id: str, upstream: membership.Upstream
    ) -> None:
        """Begins to watch a run that has just ended."""
        run = IncompleteRun(digest, request_id, upstream, self._clock.now())
        with self._lock:
            self._runs.append(run)

    def pop_lost(self) -> list[IncompleteRun]:
        """Returns the runs whose upstream has ended since, each once."""
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
        """Whether the upstream ended without saying that it leaves."""
        record = self._soft_state.latest(_KIND, upstream.name)
        if isinstance(record, core.Missing):
            return False
        if record.incarnation > upstream.incarnation:
            return True
        if record.removed:
            return record.sequence < membership.LEFT_SEQUENCE
        return newest_by_address.get(upstream.address, 0) > upstream.incarnation
