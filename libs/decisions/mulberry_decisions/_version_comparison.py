"""Sequential tests of a version against other versions or its own past."""

import dataclasses
import enum
from collections.abc import Callable, Mapping, Sequence

import mulberry_core as core
from mulberry_decisions import _judge, _statistics

#: A version counts as worse only if its share of bad runs exceeds that of the
#: reference by more than this; smaller differences do not justify a rollback.
TOLERANCE = 0.05
#: Error probability of the reference's upper bound, as -log(probability).
_REFERENCE_LOG_ERROR = 7.0
#: Number of runs that a reference must have.
MIN_REFERENCE_RUNS = 30
#: Number of runs that a reference must have over the same time.
_MIN_CONCURRENT_RUNS = 10
#: Upper limit of the share of bad runs that the test for a changed rater or
#: changed requests assumes. All of a few runs may be bad by chance; with an
#: assumed share of 1, a single good run of another version would show that
#: nothing else has changed.
_MAX_CHANGED_SHARE = 0.5
#: Log evidence from which the reference itself counts as worse than before.
_REFERENCE_WORSE_LOG_EVIDENCE = 1.1
#: A version counts as proven if its share of bad runs is at most this much
#: higher. With 0.15, a healthy version needed about 37 runs to pass, and two in
#: five rollouts stalled at the 40 runs that a rule with `expose 50` allows;
#: with 0.2 it needs about 23.
_NON_INFERIORITY_MARGIN = 0.2
#: Log evidence from which it counts as proven, an error of at most 1 in 10.
_NON_INFERIORITY_LOG_EVIDENCE = 2.3


class Signal(enum.Enum):
    """A measure of bad runs, with the counts of hits and total it uses."""

    ERRORS = "errors"
    RATINGS = "ratings"
    LATENCY = "latency"
    #: Errors and low ratings; a run is counted as one of them at most.
    BAD_RUNS = "bad runs"

    def read(self, counts: _judge.EvidenceCounts) -> tuple[int, int]:
        """Returns the hits and the total of this signal."""
        return _READERS[self](counts)

    def counts(self, hits: int, total: int) -> _judge.EvidenceCounts:
        """Returns counts with only the fields of this signal set."""
        return _WRITERS[self](hits, total)


_READERS: Mapping[
    Signal, Callable[[_judge.EvidenceCounts], tuple[int, int]]
] = {
    Signal.ERRORS: lambda counts: (counts.failed, counts.runs),
    Signal.RATINGS: lambda counts: (counts.rated_low, counts.rated),
    Signal.LATENCY: lambda counts: (counts.slow, counts.timed),
    Signal.BAD_RUNS: lambda counts: (
        counts.failed + counts.rated_low,
        counts.runs,
    ),
}
_WRITERS: Mapping[Signal, Callable[[int, int], _judge.EvidenceCounts]] = {
    Signal.ERRORS: lambda hits, total: _judge.EvidenceCounts(total, hits),
    Signal.RATINGS: lambda hits, total: _judge.EvidenceCounts(
        rated=total, rated_low=hits
    ),
    Signal.LATENCY: lambda hits, total: _judge.EvidenceCounts(
        timed=total, slow=hits
    ),
    Signal.BAD_RUNS: lambda hits, total: _judge.EvidenceCounts(total, hits),
}


@dataclasses.dataclass(frozen=True)
class Finding:
    """Result of one test."""

    #: Log of the evidence summed over all starts.
    log_evidence: float
    signal: Signal
    kind: str
    hits: int
    total: int
    #: Largest share of bad runs that the reference makes plausible.
    bound: float
    #: Time span from whose start the evidence is strongest.
    start: int = 0

    def describe(self) -> str:
        """Returns a description of the counts, for the audit trail."""
        name = self.signal.value
        kind = f" of kind {self.kind}" if self.kind else ""
        return (
            f"{name}: {self.hits} of {self.total} runs{kind} bad, at most "
            f"{self.bound:.0%} expected"
        )


def reference_bound(hits: int, total: int) -> float:
    """Returns the largest share of bad runs that does not count as worse."""
    upper = _statistics.upper_bound(hits, total, _REFERENCE_LOG_ERROR)
    return min(0.99, max(upper, hits / max(1, total) + TOLERANCE))


@dataclasses.dataclass(frozen=True)
class Comparison:
    """Counts of a version and its reference since one start."""

    version: _judge.EvidenceCounts
    #: Counts of the reference over the same time.
    reference: _judge.EvidenceCounts
    #: Counts of the reference since the start of its epoch.
    history: _judge.EvidenceCounts
    #: Time span from which runs are counted.
    start: int = 0


def _bound_to_exceed(
    signal: Signal, comparison: Comparison
) -> float | core.Missing:
    """Returns the share of bad runs to exceed, unset if there are too few runs.

    The bound from the whole history is tighter. It is used unless the
    reference itself has become worse, which indicates a change of the rater
    or the requests rather than of the version.
    """
    hits, total = signal.read(comparison.reference)
    past_hits, past_total = signal.read(comparison.history)
    if total < _MIN_CONCURRENT_RUNS or past_total < MIN_REFERENCE_RUNS:
        return core.Missing.UNSET
    bound = reference_bound(past_hits, past_total)
    if (
        _statistics.evidence_above(hits, total, bound)
        < _REFERENCE_WORSE_LOG_EVIDENCE
    ):
        return bound
    return max(bound, reference_bound(hits, total))


def sum_evidence(
    signal: Signal, kind: str, comparisons: Sequence[Comparison]
) -> Finding:
    """Sums the evidence over all possible starts of a change.

    This is the Shiryaev-Roberts statistic: it grows by at most 1 per start on
    average while the version is no worse, so the mean number of starts before
    a false alarm is at least the threshold.
    """
    logs: list[float] = []
    best = Finding(float("-inf"), signal, kind, 0, 0, 1.0)
    for comparison in comparisons:
        hits, total = signal.read(comparison.version)
        past_hits, past_total = signal.read(comparison.history)
        tolerated = past_hits / max(1, past_total) + TOLERANCE
        # Skipping tests that cannot succeed only makes the sum smaller.
        if total == 0 or hits <= tolerated * total:
            continue
        bound = _bound_to_exceed(signal, comparison)
        if isinstance(bound, core.Missing):
            continue
        log_evidence = _statistics.evidence_above(hits, total, bound)
        logs.append(log_evidence)
        if log_evidence > best.log_evidence:
            best = Finding(
                log_evidence,
                signal,
                kind,
                hits,
                total,
                bound,
                comparison.start,
            )
    return dataclasses.replace(best, log_evidence=_statistics.log_sum_exp(logs))


def pool(signal: Signal, comparisons: Sequence[Comparison]) -> Comparison:
    """Pools all kinds, weighting the reference by the runs of the version.

    Without the weights, a version that receives more requests of a difficult
    kind would appear worse than it is.
    """
    used = [
        comparison
        for comparison in comparisons
        if signal.read(comparison.reference)[1] > 0
    ]
    hits = sum(signal.read(each.version)[0] for each in used)
    total = sum(signal.read(each.version)[1] for each in used)
    weights = [signal.read(each.version)[1] for each in used]
    return Comparison(
        signal.counts(hits, total),
        _weighted_counts(signal, weights, [each.reference for each in used]),
        _weighted_counts(signal, weights, [each.history for each in used]),
        comparisons[0].start if comparisons else 0,
    )


def _weighted_counts(
    signal: Signal,
    weights: Sequence[int],
    counts: Sequence[_judge.EvidenceCounts],
) -> _judge.EvidenceCounts:
    total = sum(signal.read(each)[1] for each in counts)
    share = 0.0
    for weight, each in zip(weights, counts, strict=True):
        hits, kind_total = signal.read(each)
        share += weight / max(1, sum(weights)) * hits / max(1, kind_total)
    return signal.counts(round(share * total), total)


def all_findings(
    by_kind: Mapping[str, Sequence[Comparison]],
) -> list[Finding]:
    """Tests each kind and all kinds pooled; all kinds have the same starts."""
    by_start = list(zip(*by_kind.values(), strict=True))
    findings = []
    for signal in Signal:
        findings += [
            sum_evidence(signal, kind, comparisons)
            for kind, comparisons in by_kind.items()
        ]
        # A start without bad runs adds no evidence.
        pooled = [
            pool(signal, each)
            for each in by_start
            if any(signal.read(kind.version)[0] for kind in each)
        ]
        findings.append(sum_evidence(signal, "", pooled))
    return findings


def is_proven(comparisons: Sequence[Comparison]) -> bool:
    """Whether the version passes the non-inferiority tests.

    Args:
        comparisons: One comparison for each kind.
    """
    return all(
        _signal_is_non_inferior(signal, pool(signal, comparisons))
        for signal in (Signal.ERRORS, Signal.BAD_RUNS)
    )


def log_evidence_unchanged(
    finding: Finding,
    recent: _judge.EvidenceCounts,
    past: _judge.EvidenceCounts,
) -> float:
    """Returns the log evidence that another version has not changed.

    It is the log likelihood ratio of the recent runs under two shares of bad
    runs: the past one, or that of all runs if there are too few past ones,
    and the one in the finding.
    """
    hits, total = finding.signal.read(recent)
    past_hits, past_total = finding.signal.read(past)
    if past_total < MIN_REFERENCE_RUNS:
        past_hits, past_total = past_hits + hits, past_total + total
    if past_total == 0:
        return 0.0
    changed = min(_MAX_CHANGED_SHARE, finding.hits / finding.total)
    return _statistics.log_likelihood_ratio(
        hits, total, past_hits / past_total, changed
    )


def _signal_is_non_inferior(signal: Signal, comparison: Comparison) -> bool:
    reference_hits, reference_total = signal.read(comparison.reference)
    if reference_total < MIN_REFERENCE_RUNS:
        return False
    hits, total = signal.read(comparison.version)
    expected = reference_hits / reference_total
    bound = min(0.95, expected + _NON_INFERIORITY_MARGIN)
    evidence = _statistics.evidence_below(hits, total, bound, expected)
    return evidence >= _NON_INFERIORITY_LOG_EVIDENCE
