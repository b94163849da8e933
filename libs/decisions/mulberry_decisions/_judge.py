"""Canary analysis of versions: interface, evidence and baselines."""

import abc
import dataclasses
import threading
from collections.abc import Mapping

import mulberry_core as core
from mulberry_decisions import _versions, _work

#: Outcomes that count against a version. Refusals, canceled requests and lost
#: upstreams are left out, because the version does not cause them.
FAILURES = frozenset(
    {
        _work.Outcome.FAILED,
        _work.Outcome.TRUNCATED,
        _work.Outcome.GARBLED,
        _work.Outcome.LATE,
    }
)


@dataclasses.dataclass(frozen=True)
class Observation:
    """Outcome, rating and latency of one run of a version."""

    model: str
    version: str
    kind: str
    outcome: _work.Outcome
    #: Rating of the answer, from 0 to 1.
    rating: float | core.Missing = core.Missing.UNSET
    #: Lowest rating that meets the quality target of the request.
    quality: float = 0.0
    #: Time to the end of the answer, seconds.
    latency_s: float | core.Missing = core.Missing.UNSET
    #: Number of the last verdict on the version when the request was sent;
    #: unset for the current one.
    epoch: int | core.Missing = core.Missing.UNSET


@dataclasses.dataclass(frozen=True)
class EvidenceKey:
    """Key under which runs are counted."""

    model: str
    version: str
    kind: str
    #: Number of the last verdict on the version when the request was sent.
    epoch: int


@dataclasses.dataclass(frozen=True)
class EvidenceCounts:
    """Counts of runs since the start of the epoch."""

    runs: int = 0
    #: Runs whose outcome is one of `FAILURES`.
    failed: int = 0
    rated: int = 0
    #: Runs that did not fail but were rated below the quality target.
    rated_low: int = 0
    #: Completed runs whose latency was compared with the estimate.
    timed: int = 0
    #: Completed runs above the estimated 90th percentile of the model's
    #: latency.
    slow: int = 0


@dataclasses.dataclass(frozen=True)
class EvidenceSeries:
    """Current and earlier cumulative counts of one instance."""

    now: EvidenceCounts
    #: Cumulative counts before the first run in a time span, by number of the
    #: span. Spans divide wall-clock time and are the same for all instances.
    before_by_span: Mapping[int, EvidenceCounts]


#: Evidence of one instance, as published to the others.
Evidence = Mapping[EvidenceKey, EvidenceSeries]


@dataclasses.dataclass(frozen=True)
class Proposal:
    """A proposed verdict, valid only if the last one is `after_number`."""

    model: str
    version: str
    health: _versions.VersionHealth
    reason: str
    #: Description of the counts, for the audit trail.
    evidence: str
    #: Number of the last verdict when the evidence was counted.
    after_number: int


class VersionJudge(abc.ABC):
    """Proposes verdicts from the evidence of all instances."""

    @abc.abstractmethod
    def observe(self, observation: Observation) -> None:
        """Records one run on this instance."""

    @abc.abstractmethod
    def export(self) -> Evidence:
        """Returns the counts of this instance, for the others."""

    @abc.abstractmethod
    def merge(self, instance: str, evidence: Evidence) -> None:
        """Merges the counts of another instance.

        Messages may arrive late, twice or out of order. Counts of one process
        never decrease, so for each key the one with more runs is kept. They
        restart from zero with the process, so `instance` must be a different
        name after a restart.
        """

    @abc.abstractmethod
    def verdict_recorded(
        self,
        model: str,
        version: str,
        number: int,
        health: _versions.VersionHealth,
    ) -> None:
        """Starts a new evidence epoch; ignores numbers that are not higher."""

    @abc.abstractmethod
    def proposals(self) -> tuple[Proposal, ...]:
        """Returns the verdicts that the current evidence supports."""

    @abc.abstractmethod
    def exposed(self, model: str, version: str) -> int:
        """Returns the runs of the version since its last verdict."""

    @abc.abstractmethod
    def is_proven(self, model: str, version: str, reference: str) -> bool:
        """Whether the version is statistically not inferior to `reference`."""


class NoJudge(VersionJudge):
    """Counts runs and proposes no verdicts."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._runs: dict[tuple[str, str], int] = {}

    def observe(self, observation: Observation) -> None:
        """Counts the run."""
        key = (observation.model, observation.version)
        with self._lock:
            self._runs[key] = self._runs.get(key, 0) + 1

    def export(self) -> Evidence:
        """Returns no evidence."""
        return {}

    def merge(self, instance: str, evidence: Evidence) -> None:
        """Ignores the evidence."""

    def verdict_recorded(
        self,
        model: str,
        version: str,
        number: int,
        health: _versions.VersionHealth,
    ) -> None:
        """Ignores the verdict."""

    def proposals(self) -> tuple[Proposal, ...]:
        """Returns no proposals."""
        return ()

    def exposed(self, model: str, version: str) -> int:
        """Returns the runs on this instance."""
        with self._lock:
            return self._runs.get((model, version), 0)

    def is_proven(self, model: str, version: str, reference: str) -> bool:
        """Accepts every version."""
        return True
