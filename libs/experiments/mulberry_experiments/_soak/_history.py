"""What callers and operators were told and what upstreams ran."""

import collections
import dataclasses
import threading
from collections.abc import Sequence

from mulberry_experiments import _entry_client

#: Kinds of work that callers send.
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
    #: Empty where none was given.
    session: str
    #: Empty where none was given.
    idempotency_key: str
    #: Unix time, seconds.
    began_s: float
    ended_s: float
    reply: _entry_client.Reply

    @property
    def request_id(self) -> str:
        """Id that the entry gave, empty if the reply was lost."""
        return self.reply.header_by_name.get("x-request-id", "")

    @property
    def key(self) -> str:
        """What runs and bills are kept under, empty if it is not known."""
        return self.idempotency_key or self.request_id

    @property
    def is_replayed(self) -> bool:
        """Whether the answer is that of an earlier run."""
        return "x-mulberry-replayed" in self.reply.header_by_name

    @property
    def outcome(self) -> str:
        """Word for the table."""
        if self.reply.is_success:
            return "replayed" if self.is_replayed else "answered"
        if not self.reply.connected:
            return "not connected"
        return self.reply.error_kind or "broken"

    def __str__(self) -> str:
        """One line for the details of a violation."""
        return (
            f"{self.work} {self.key or '(no id)'} of {self.team} at "
            f"{self.entry}, {self.began_s:.3f} to {self.ended_s:.3f}: "
            f"{self.reply.status} {self.outcome} {self.reply.run_status}"
        )


@dataclasses.dataclass(frozen=True)
class Run:
    """One run that an upstream has reported."""

    key: str
    upstream: str
    model: str
    version: str
    #: The run began after this Unix time, seconds.
    started_after_s: float
    #: The run was known at this Unix time, seconds.
    observed_s: float


@dataclasses.dataclass(frozen=True)
class GracefulStop:
    """One planned stop of an instance."""

    instance: str
    entry: str
    began_s: float
    ended_s: float
    status: int


@dataclasses.dataclass(frozen=True)
class FaultInterval:
    """When a fault was at work."""

    kind: str
    target: str
    #: Unix time, seconds.
    began_s: float
    ended_s: float


@dataclasses.dataclass(frozen=True)
class UpstreamLeave:
    """One upstream that announced to leave and ended."""

    upstream: str
    #: Runs that began more than 3 s after the announcement.
    late: tuple[str, ...]


class History:
    """Collects the records of all threads."""

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
        """Notes a request and its reply."""
        with self._lock:
            self._attempts.append(attempt)

    def add_run(self, run: Run) -> None:
        """Notes a run of an upstream."""
        with self._lock:
            self._runs.append(run)

    def add_stop(self, stop: GracefulStop) -> None:
        """Notes a planned stop."""
        with self._lock:
            self._stops.append(stop)

    def add_fault_interval(self, time: FaultInterval) -> None:
        """Notes when a fault was at work."""
        with self._lock:
            self._fault_intervals.append(time)

    def add_leave(self, leave: UpstreamLeave) -> None:
        """Notes an upstream that left."""
        with self._lock:
            self._leaves.append(leave)

    def add_rules_number(self, instance: str, pid: int, number: int) -> None:
        """Notes the number of the rules that an instance reported."""
        with self._lock:
            self._rules_numbers.append((instance, pid, number))

    def add_fault(self, kind: str) -> None:
        """Counts an injected fault."""
        with self._lock:
            self._faults[kind] += 1

    def add_note(self, note: str) -> None:
        """Notes an event for the details of a violation."""
        with self._lock:
            self._notes.append(note)

    @property
    def attempts(self) -> Sequence[Attempt]:
        """All requests in the order of their replies."""
        with self._lock:
            return tuple(self._attempts)

    @property
    def runs(self) -> Sequence[Run]:
        """All runs that were seen."""
        with self._lock:
            return tuple(self._runs)

    @property
    def stops(self) -> Sequence[GracefulStop]:
        """All planned stops."""
        with self._lock:
            return tuple(self._stops)

    @property
    def fault_intervals(self) -> Sequence[FaultInterval]:
        """When each fault was at work."""
        with self._lock:
            return tuple(self._fault_intervals)

    @property
    def leaves(self) -> Sequence[UpstreamLeave]:
        """All upstreams that left."""
        with self._lock:
            return tuple(self._leaves)

    @property
    def rules_numbers(self) -> Sequence[tuple[str, int, int]]:
        """Instance, process id and rules number, in the order seen."""
        with self._lock:
            return tuple(self._rules_numbers)

    @property
    def faults(self) -> collections.Counter[str]:
        """Injected faults by kind."""
        with self._lock:
            return collections.Counter(self._faults)

    @property
    def notes(self) -> Sequence[str]:
        """Events in order."""
        with self._lock:
            return tuple(self._notes)
