"""Judging versions: interface, evidence and baselines."""

import abc
import dataclasses
import threading
from collections.abc import Mapping

import mulberry_core as core
from mulberry_decisions import _versions, _work

#: Outcomes that count for or against a version. A refusal, a caller who left
#: and a lost upstream say nothing about the quality of the version.
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
    """One run of a version."""

    model: str
    version: str
    kind: str
    outcome: _work.Outcome
    #: Rating of the answer, 0 to 1.
    rating: float | core.Missing = core.Missing.UNSET
    #: Quality target of the work.
    quality: float = 0.0
    #: Seconds to the whole answer.
    latency_s: float | core.Missing = core.Missing.UNSET
    #: Number of the last verdict on the version when the request was sent;
    #: unset for the current one.
    epoch: int | core.Missing = core.Missing.UNSET


@dataclasses.dataclass(frozen=True)
class EvidenceKey:
    """What evidence is counted by."""

    model: str
    version: str
    kind: str
    #: Number of the last verdict on the version when the run was sent.
    epoch: int


@dataclasses.dataclass(frozen=True)
class EvidenceCounts:
    """Counts of runs since the start of the epoch."""

    runs: int = 0
    #: Errors, truncated and garbled answers and missed deadlines.
    failed: int = 0
    rated: int = 0
    #: Ratings below the quality target of runs that did not fail.
    rated_low: int = 0
    #: Completed runs with a latency.
    timed: int = 0
    #: Completed runs slower than nine tenths of the model's runs.
    slow: int = 0


@dataclasses.dataclass(frozen=True)
class EvidenceSeries:
    """Counts of one instance now and at earlier times."""

    now: EvidenceCounts
    #: Counts before the first run in a time span, by number of the span.
    #: Spans divide the time of day and are the same for all instances.
    before_by_span: Mapping[int, EvidenceCounts]


#: Evidence of one instance, published to the others.
Evidence = Mapping[EvidenceKey, EvidenceSeries]


@dataclasses.dataclass(frozen=True)
class Proposal:
    """A verdict to be recorded, valid only directly after `after_number`."""

    model: str
    version: str
    health: _versions.VersionHealth
    reason: str
    #: Counts in words, for the audit trail.
    evidence: str
    #: Number of the verdict that the evidence was counted under.
    after_number: int


class VersionJudge(abc.ABC):
    """Proposes verdicts from the evidence of all instances."""

    @abc.abstractmethod
    def observe(self, observation: Observation) -> None:
        """Takes one run on this instance."""

    @abc.abstractmethod
    def export(self) -> Evidence:
        """Returns the counts of this instance for the others."""

    @abc.abstractmethod
    def merge(self, instance: str, evidence: Evidence) -> None:
        """Replaces what is known of another instance's counts.

        Messages may arrive late, twice or out of order: counts of one
        instance never decrease, so for each key the one with more runs
        holds. `instance` therefore names one life of an instance.
        """

    @abc.abstractmethod
    def verdict_recorded(
        self,
        model: str,
        version: str,
        number: int,
        health: _versions.VersionHealth,
    ) -> None:
        """Starts a new evidence epoch; lower numbers change nothing."""

    @abc.abstractmethod
    def proposals(self) -> tuple[Proposal, ...]:
        """Returns the verdicts that the evidence supports now."""

    @abc.abstractmethod
    def exposed(self, model: str, version: str) -> int:
        """Returns the runs of the version since its last verdict."""

    @abc.abstractmethod
    def is_proven(self, model: str, version: str, reference: str) -> bool:
        """Whether the version is shown to be as good as `reference`."""


class NoJudge(VersionJudge):
    """Counts exposure and proposes nothing."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._runs: dict[tuple[str, str], int] = {}

    def observe(self, observation: Observation) -> None:
        """Counts the run."""
        key = (observation.model, observation.version)
        with self._lock:
            self._runs[key] = self._runs.get(key, 0) + 1

    def export(self) -> Evidence:
        """Returns nothing."""
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
        """Returns nothing."""
        return ()

    def exposed(self, model: str, version: str) -> int:
        """Returns the runs on this instance."""
        with self._lock:
            return self._runs.get((model, version), 0)

    def is_proven(self, model: str, version: str, reference: str) -> bool:
        """Trusts every version."""
        return True
