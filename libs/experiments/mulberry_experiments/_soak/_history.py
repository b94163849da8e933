"""Records of requests, runs, faults and rules numbers during a run."""

import collections
import dataclasses
import threading
from collections.abc import Sequence

from mulberry_experiments import _entry_client

#: Kinds of service requests, values of `Attempt.work`.
DEPOSIT = "deposit"
LOOKUP = "lookup"


@dataclasses.dataclass(frozen=True)
class Attempt:
    """One request of a caller and its reply."""

    work: str
    team: str
    entry: str
    #: Requested model, cascade or path.
    target: str
    prompt: str
    #: Empty if not sent.
    session: str
    #: Empty if not sent.
    idempotency_key: str
    #: Unix time, seconds.
    began_s: float
    ended_s: float
    reply: _entry_client.Reply

    @property
    def request_id(self) -> str:
        """Request id from the entry, empty if the reply was lost."""
        return self.reply.header_by_name.get("x-request-id", "")

    @property
    def key(self) -> str:
        """Key of its runs and bills, empty if unknown."""
        return self.idempotency_key or self.request_id

    @property
    def is_replayed(self) -> bool:
        """Whether the answer was replayed from an earlier run."""
        return "x-mulberry-replayed" in self.reply.header_by_name

    @property
    def outcome(self) -> str:
        """Outcome in the request table of the report."""
        if self.reply.is_success:
            return "replayed" if self.is_replayed else "answered"
        if not self.reply.connected:
            return "not connected"
        return self.reply.error_kind or "broken"

    def __str__(self) -> str:
        """Returns one line for the report of a violation."""
        return (
            f"{self.work} {self.key or '(no id)'} of {self.team} at "
            f"{self.entry}, {self.began_s:.3f} to {self.ended_s:.3f}: "
            f"{self.reply.status} {self.outcome} {self.reply.run_status}"
        )


@dataclasses.dataclass(frozen=True)
class Run:
    """One run reported by an upstream."""

    key: str
    upstream: str
    model: str
    version: str
    #: Lower bound of the start, Unix time, seconds.
    started_after_s: float
    #: Unix time at which the run was first reported, seconds.
    observed_s: float


@dataclasses.dataclass(frozen=True)
class GracefulStop:
    """One graceful stop of an instance."""

    instance: str
    entry: str
    began_s: float
    ended_s: float
    status: int


@dataclasses.dataclass(frozen=True)
class FaultInterval:
    """Interval during which a fault was active."""

    kind: str
    target: str
    #: Unix time, seconds.
    began_s: float
    ended_s: float


@dataclasses.dataclass(frozen=True)
class UpstreamLeave:
    """One upstream that announced leaving and exited."""

    upstream: str
    #: Runs that began more than 3 s after the announcement.
    late_runs: tuple[str, ...]


class History:
    """Thread-safe record of all events of a run."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._attempts: list[Attempt] = []
        self._runs: list[Run] = []
        self._stops: list[GracefulStop] = []
        self._fault_intervals: list[FaultInterval] = []
        self._leaves: list[UpstreamLeave] = []
        self._rules_numbers: list[tuple[str, int, int]] = []
        self._faults: collections.Counter[str] = collections.Counter()
        self._notes: list[str] = []

    def add_attempt(self, attempt: Attempt) -> None:
        """Records a request and its reply."""
        with self._lock:
            self._attempts.append(attempt)

    def add_run(self, run: Run) -> None:
        """Records a run of an upstream."""
        with self._lock:
            self._runs.append(run)

    def add_stop(self, stop: GracefulStop) -> None:
        """Records a graceful stop."""
        with self._lock:
            self._stops.append(stop)

    def add_fault_interval(self, time: FaultInterval) -> None:
        """Records when a fault was active."""
        with self._lock:
            self._fault_intervals.append(time)

    def add_leave(self, leave: UpstreamLeave) -> None:
        """Records an upstream that left."""
        with self._lock:
            self._leaves.append(leave)

    def add_rules_number(self, instance: str, pid: int, number: int) -> None:
        """Records the rules number reported by an instance."""
        with self._lock:
            self._rules_numbers.append((instance, pid, number))

    def add_fault(self, kind: str) -> None:
        """Counts an injected fault."""
        with self._lock:
            self._faults[kind] += 1

    def add_note(self, note: str) -> None:
        """Records an event for the report of violations."""
        with self._lock:
            self._notes.append(note)

    @property
    def attempts(self) -> Sequence[Attempt]:
        """All requests, ordered by their replies."""
        with self._lock:
            return tuple(self._attempts)

    @property
    def runs(self) -> Sequence[Run]:
        """All recorded runs."""
        with self._lock:
            return tuple(self._runs)

    @property
    def stops(self) -> Sequence[GracefulStop]:
        """All graceful stops."""
        with self._lock:
            return tuple(self._stops)

    @property
    def fault_intervals(self) -> Sequence[FaultInterval]:
        """Intervals of all faults."""
        with self._lock:
            return tuple(self._fault_intervals)

    @property
    def leaves(self) -> Sequence[UpstreamLeave]:
        """All upstreams that left."""
        with self._lock:
            return tuple(self._leaves)

    @property
    def rules_numbers(self) -> Sequence[tuple[str, int, int]]:
        """Instance, process id and rules number, in the order read."""
        with self._lock:
            return tuple(self._rules_numbers)

    @property
    def faults(self) -> collections.Counter[str]:
        """Number of injected faults by kind."""
        with self._lock:
            return collections.Counter(self._faults)

    @property
    def notes(self) -> Sequence[str]:
        """All recorded events in order."""
        with self._lock:
            return tuple(self._notes)
