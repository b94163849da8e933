"""Verdicts from sequential tests on the evidence of all instances."""

import dataclasses
import threading

import mulberry_core as core
from mulberry_decisions import (
    _evidence,
    _judge,
    _version_comparison,
    _versions,
)

#: Log evidence from which a version is judged bad. It bounds the false alarms
#: of one test to one in two million starts; a start is a time span of 2 s with
#: runs. Three kinds need 28 tests per version, so two versions with 10 runs in
#: a span have at most 2.8 false alarms per million runs, and fewer with more
#: runs.
_ALARM_LOG_EVIDENCE = 14.5
#: The same threshold on probation, one in 20: the version was bad before, and
#: a false alarm only delays the next probation.
_PROBATION_LOG_EVIDENCE = 3.0
#: Log evidence from which the other versions count as unchanged, odds of 20
#: to 1.
_UNCHANGED_LOG_EVIDENCE = 3.0
#: Log evidence below which they count as changed, odds of 1 to 7.
_CHANGED_LOG_EVIDENCE = -2.0
#: Delay between a bad verdict and the first probation, seconds; it doubles
#: with each relapse.
_FIRST_PROBATION_DELAY_S = 900.0
_MAX_PROBATION_DELAY_S = 14_400.0

_VersionName = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class _RecordedVerdict:
    """The last recorded verdict on a version."""

    number: int = 0
    health: _versions.VersionHealth = _versions.VersionHealth.GOOD
    #: When this instance received it, seconds.
    since_s: float = 0.0
    #: Number of bad verdicts since the last good one.
    relapses: int = 0


_NO_VERDICT = _RecordedVerdict()


class SequentialJudge(_judge.VersionJudge):
    """Compares each version with concurrent runs of its sibling versions.

    Siblings are other versions of the same model. A version is also compared
    with its own past, which finds faults when it runs alone. It is judged bad
    only if another version or model runs at the same time and has not become
    worse; otherwise the rater or the requests may have changed.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._local = _evidence.LocalEvidence()
        self._merged = _evidence.MergedEvidence()
        self._recorded: dict[_VersionName, _RecordedVerdict] = {}

    def observe(self, observation: _judge.Observation) -> None:
        """Counts one run in the epoch in which its request was sent."""
        with self._lock:
            name = (observation.model, observation.version)
            current = self._recorded.get(name, _NO_VERDICT).number
            epoch = observation.epoch
            if isinstance(epoch, core.Missing):
                epoch = current
            if epoch < current:
                return
            span = int(self._clock.wall() / _evidence.SPAN_S)
            self._local.observe(observation, epoch, span)

    def export(self) -> _judge.Evidence:
        """Returns the counts of this instance."""
        with self._lock:
            return self._local.export()

    def merge(self, instance: str, evidence: _judge.Evidence) -> None:
        """Merges the counts of another instance."""
        with self._lock:
            self._merged.merge(instance, evidence)

    def verdict_recorded(
        self,
        model: str,
        version: str,
        number: int,
        health: _versions.VersionHealth,
    ) -> None:
        """Starts a new epoch and discards evidence of earlier ones."""
        with self._lock:
            name = (model, version)
            old = self._recorded.get(name, _NO_VERDICT)
            if number <= old.number:
                return
            relapses = old.relapses
            if health is _versions.VersionHealth.BAD:
                relapses += 1
            elif health is _versions.VersionHealth.GOOD:
                relapses = 0
            self._recorded[name] = _RecordedVerdict(
                number, health, self._clock.now(), relapses
            )
            self._local.forget(model, version, number)
            self._merged.forget(model, version, number)

    def proposals(self) -> tuple[_judge.Proposal, ...]:
        """Returns the verdicts that the current evidence supports."""
        with self._lock:
            self._merge_local()
            names = {
                (key.model, key.version) for key in self._merged.all_keys()
            }
            names |= set(self._recorded)
            candidates = [self._propose(name) for name in sorted(names)]
        return tuple(
            proposal
            for proposal in candidates
            if not isinstance(proposal, core.Missing)
        )

    def exposed(self, model: str, version: str) -> int:
        """Returns the runs since the last verdict, over all instances."""
        with self._lock:
            self._merge_local()
            return self._runs((model, version))

    def is_proven(self, model: str, version: str, reference: str) -> bool:
        """Whether the version is statistically not inferior to `reference`."""
        with self._lock:
            self._merge_local()
            return self._is_proven((model, version), (model, reference))

    def _merge_local(self) -> None:
        self._merged.merge("", self._local.export())

    def _propose(self, name: _VersionName) -> _judge.Proposal | core.Missing:
        recorded = self._recorded.get(name, _NO_VERDICT)
        if recorded.health is _versions.VersionHealth.BAD:
            return self._propose_probation(name, recorded)
        threshold = (
            _PROBATION_LOG_EVIDENCE
            if recorded.health is _versions.VersionHealth.PROBATION
            else _ALARM_LOG_EVIDENCE
        )
        finding = self._strongest_finding(name)
        if finding.log_evidence >= threshold:
            return _proposal(
                name,
                recorded,
                _versions.VersionHealth.BAD,
                f"worse in {finding.signal.value}",
                finding.describe(),
            )
        if recorded.health is _versions.VersionHealth.PROBATION and any(
            self._is_proven(name, other) for other in self._siblings(name)
        ):
            return _proposal(
                name,
                recorded,
                _versions.VersionHealth.GOOD,
                "as good as the other versions on probation",
                f"{self._runs(name)} runs on probation",
            )
        return core.Missing.UNSET

    def _propose_probation(
        self, name: _VersionName, recorded: _RecordedVerdict
    ) -> _judge.Proposal | core.Missing:
        wait_s = min(
            _MAX_PROBATION_DELAY_S,
            _FIRST_PROBATION_DELAY_S * 2.0 ** (recorded.relapses - 1),
        )
        if self._clock.now() - recorded.since_s < wait_s:
            return core.Missing.UNSET
        return _proposal(
            name,
            recorded,
            _versions.VersionHealth.PROBATION,
            f"{wait_s:.0f} s without work since the last verdict",
            "none yet",
        )

    def _strongest_finding(
        self, name: _VersionName
    ) -> _version_comparison.Finding:
        """Returns the strongest evidence against the version."""
        findings = self._compare_with_siblings(
            name, self._siblings_with_more_runs(name)
        )
        findings += self._compare_with_past(name)
        best = max(findings, key=lambda finding: finding.log_evidence)
        if best.log_evidence < _PROBATION_LOG_EVIDENCE:
            return best
        # If all versions and models become worse at once, the rater or the
        # requests have changed. Comparisons with siblings need this check too:
        # a sibling with hardly any new runs is compared by its older ones.
        if self._others_unchanged(name, best):
            return best
        return dataclasses.replace(best, log_evidence=float("-inf"))

    def _compare_with_siblings(
        self, name: _VersionName, siblings: list[_VersionName]
    ) -> list[_version_comparison.Finding]:
        """Compares a version with other versions over the same time."""
        keys = self._keys(name)
        starts = self._merged.starts(keys)
        by_kind = {}
        for key in keys:
            others = self._reference_keys(siblings, key.kind)
            if not others:
                continue
            history = self._merged.total(others)
            by_kind[key.kind] = [
                _version_comparison.Comparison(
                    version, reference, history, start
                )
                for start, version, reference in zip(
                    starts,
                    self._merged.since([key], starts),
                    self._merged.since(others, starts),
                    strict=True,
                )
            ]
        return _version_comparison.all_findings(by_kind)

    def _compare_with_past(
        self, name: _VersionName
    ) -> list[_version_comparison.Finding]:
        """Compares a version with its own past."""
        keys = self._keys(name)
        starts = self._merged.starts(keys)
        by_kind = {}
        for key in keys:
            total = self._merged.total([key])
            recents = self._merged.since([key], starts)
            pasts = [_evidence.add(total, recent, -1) for recent in recents]
            by_kind[key.kind] = [
                _version_comparison.Comparison(recent, past, past, start)
                for start, recent, past in zip(
                    starts, recents, pasts, strict=True
                )
            ]
        return _version_comparison.all_findings(by_kind)

    def _others_unchanged(
        self, name: _VersionName, finding: _version_comparison.Finding
    ) -> bool:
        """Whether other versions and models run and have not become worse.

        Testing only from the start of the finding is not enough: it may be
        long ago, and good runs from then would hide that all versions have
        become bad since. So all later starts are tested as well, for all
        kinds together and for the kind of the finding.
        """
        starts = [
            start
            for start in self._merged.starts(self._keys(name))
            if start >= finding.start
        ]
        logs = [0.0] * len(starts)
        logs_of_kind = [0.0] * len(starts)
        for key in self._merged.all_keys():
            if (key.model, key.version) == name or not self._is_current(key):
                continue
            recents = self._merged.since([key], starts)
            past = _evidence.add(self._merged.total([key]), recents[0], -1)
            for index, recent in enumerate(recents):
                log = _version_comparison.log_evidence_unchanged(
                    finding, recent, past
                )
                logs[index] += log
                if key.kind == finding.kind:
                    logs_of_kind[index] += log
        return (
            logs[0] >= _UNCHANGED_LOG_EVIDENCE
            and min(logs + logs_of_kind) >= _CHANGED_LOG_EVIDENCE
        )

    def _is_proven(self, name: _VersionName, reference: _VersionName) -> bool:
        others = self._counts_by_kind(reference)
        return _version_comparison.is_proven(
            [
                _version_comparison.Comparison(
                    counts, others[kind], others[kind]
                )
                for kind, counts in self._counts_by_kind(name).items()
                if kind in others
            ]
        )

    def _siblings_with_more_runs(
        self, name: _VersionName
    ) -> list[_VersionName]:
        """Returns siblings with at least as many runs.

        The old version is thus not compared with the new one; it would be
        judged bad whenever the new one is better.
        """
        own = self._runs(name)
        return [
            other for other in self._siblings(name) if self._runs(other) >= own
        ]

    def _runs(self, name: _VersionName) -> int:
        return sum(each.runs for each in self._counts_by_kind(name).values())

    def _siblings(self, name: _VersionName) -> list[_VersionName]:
        """Returns other versions of the model whose last verdict is good."""
        names = {
            (key.model, key.version)
            for key in self._merged.all_keys()
            if key.model == name[0] and key.version != name[1]
        }
        return [
            other
            for other in sorted(names)
            if self._recorded.get(other, _NO_VERDICT).health
            is _versions.VersionHealth.GOOD
        ]

    def _keys(self, name: _VersionName) -> list[_judge.EvidenceKey]:
        return sorted(
            (
                key
                for key in self._merged.all_keys()
                if (key.model, key.version) == name and self._is_current(key)
            ),
            key=lambda key: key.kind,
        )

    def _reference_keys(
        self, siblings: list[_VersionName], kind: str
    ) -> list[_judge.EvidenceKey]:
        return [
            key
            for sibling in siblings
            for key in self._keys(sibling)
            if key.kind == kind
        ]

    def _counts_by_kind(
        self, name: _VersionName
    ) -> dict[str, _judge.EvidenceCounts]:
        return {key.kind: self._merged.total([key]) for key in self._keys(name)}

    def _is_current(self, key: _judge.EvidenceKey) -> bool:
        name = (key.model, key.version)
        return key.epoch == self._recorded.get(name, _NO_VERDICT).number


def _proposal(
    name: _VersionName,
    recorded: _RecordedVerdict,
    health: _versions.VersionHealth,
    reason: str,
    evidence: str,
) -> _judge.Proposal:
    return _judge.Proposal(
        name[0], name[1], health, reason, evidence, recorded.number
    )
