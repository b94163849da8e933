"""Tests of one version against others or against its own past."""

import dataclasses
import enum
from collections.abc import Callable, Mapping, Sequence

import mulberry_core as core
from mulberry_decisions import _judge, _statistics

#: A version counts as worse only if its share of bad runs is this much
#: above the reference; smaller differences are not worth a roll back.
TOLERANCE = 0.05
#: Error of the upper bound of the reference, as -log(probability).
_REFERENCE_LOG_ERROR = 7.0
#: Fewest runs that a reference is taken from.
FEWEST_REFERENCE = 30
#: Fewest runs of the reference over the same time.
_FEWEST_CONCURRENT = 10
#: Largest share of bad runs that a change of the rater or of the work is
#: tested for. By chance all of a few runs may be bad; against a share of 1
#: every good run elsewhere would prove that nothing else has changed.
_CHANGED_SHARE = 0.5
#: Log of the evidence at which the reference counts as worse than before.
_DOUBT_LOG_EVIDENCE = 1.1
#: A version counts as proven if it is at most this much worse. With 0.15 a
#: sound version took about 37 runs, and two in five rollouts stood still at
#: the 40 runs that a rule with `expose 50` gives; with 0.2 it takes about 23.
_PROOF_TOLERANCE = 0.2
#: Log of the evidence for that, an error of at most 1 in 10.
_PROOF_LOG_EVIDENCE = 2.3


class Signal(enum.Enum):
    """What a version can be bad at: fields of the hits and of the total."""

    ERRORS = "errors"
    RATINGS = "ratings"
    LATENCY = "latency"
    #: Errors and low ratings together, which exclude each other.
    BAD_RUNS = "bad runs"

    def of(self, counts: _judge.EvidenceCounts) -> tuple[int, int]:
        """Returns hits and total."""
        return _READ[self](counts)

    def counts(self, hits: int, total: int) -> _judge.EvidenceCounts:
        """Returns counts of this signal only."""
        return _WRITE[self](hits, total)


_READ: Mapping[Signal, Callable[[_judge.EvidenceCounts], tuple[int, int]]] = {
    Signal.ERRORS: lambda counts: (counts.failed, counts.runs),
    Signal.RATINGS: lambda counts: (counts.rated_low, counts.rated),
    Signal.LATENCY: lambda counts: (counts.slow, counts.timed),
    Signal.BAD_RUNS: lambda counts: (
        counts.failed + counts.rated_low,
        counts.runs,
    ),
}
_WRITE: Mapping[Signal, Callable[[int, int], _judge.EvidenceCounts]] = {
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
    """The evidence of one test."""

    #: Log of the summed evidence over all starts.
    log_evidence: float
    signal: Signal
    kind: str
    hits: int
    total: int
    #: Share of bad runs that the reference makes plausible.
    bound: float
    #: Span from which the evidence is strongest.
    start: int = 0

    def sentence(self) -> str:
        """Returns the counts in words."""
        name = self.signal.value
        kind = f" of kind {self.kind}" if self.kind else ""
        return (
            f"{name}: {self.hits} of {self.total} runs{kind} bad, at most "
            f"{self.bound:.0%} expected"
        )


def reference_bound(hits: int, total: int) -> float:
    """Returns the largest share of bad runs that is not held against it."""
    upper = _statistics.upper_bound(hits, total, _REFERENCE_LOG_ERROR)
    return min(0.99, max(upper, hits / max(1, total) + TOLERANCE))


@dataclasses.dataclass(frozen=True)
class Comparison:
    """Counts of a version and of its reference from one start on."""

    version: _judge.EvidenceCounts
    #: The reference over the same time.
    reference: _judge.EvidenceCounts
    #: The reference since the start of its epoch.
    history: _judge.EvidenceCounts
    #: Span from which is counted.
    start: int = 0


def _bound(signal: Signal, comparison: Comparison) -> float | core.Missing:
    """Returns the share of bad runs to be exceeded, unset if unknown.

    The whole history gives the narrower bound. It is used unless the
    reference itself is now worse than that, which points to the rater or to
    the work and not to the version.
    """
    hits, total = signal.of(comparison.reference)
    past_hits, past_total = signal.of(comparison.history)
    if total < _FEWEST_CONCURRENT or past_total < FEWEST_REFERENCE:
        return core.Missing.UNSET
    bound = reference_bound(past_hits, past_total)
    if _statistics.evidence_above(hits, total, bound) < _DOUBT_LOG_EVIDENCE:
        return bound
    return max(bound, reference_bound(hits, total))


def worse(
    signal: Signal, kind: str, comparisons: Sequence[Comparison]
) -> Finding:
    """Adds up the evidence over the starts that a change may have had.

    The sum over starts (Shiryaev-Roberts) grows by at most 1 per start on
    average while the version is no worse, so the mean number of starts to a
    false alarm is at least the threshold.
    """
    logs: list[float] = []
    best = Finding(float("-inf"), signal, kind, 0, 0, 1.0)
    for comparison in comparisons:
        hits, total = signal.of(comparison.version)
        past_hits, past_total = signal.of(comparison.history)
        usual = past_hits / max(1, past_total) + TOLERANCE
        # Without the tests that cannot succeed the sum is only smaller.
        if total == 0 or hits <= usual * total:
            continue
        bound = _bound(signal, comparison)
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
    """Sums kinds, with the reference weighted by the version's own runs.

    Unweighted, a version that happens to meet more of a hard kind would look
    worse than it is.
    """
    used = [
        comparison
        for comparison in comparisons
        if signal.of(comparison.reference)[1] > 0
    ]
    hits = sum(signal.of(each.version)[0] for each in used)
    total = sum(signal.of(each.version)[1] for each in used)
    weights = [signal.of(each.version)[1] for each in used]
    return Comparison(
        signal.counts(hits, total),
        _weighted(signal, weights, [each.reference for each in used]),
        _weighted(signal, weights, [each.history for each in used]),
        comparisons[0].start if comparisons else 0,
    )


def _weighted(
    signal: Signal,
    weights: Sequence[int],
    counts: Sequence[_judge.EvidenceCounts],
) -> _judge.EvidenceCounts:
    total = sum(signal.of(each)[1] for each in counts)
    share = 0.0
    for weight, each in zip(weights, counts, strict=True):
        hits, kind_total = signal.of(each)
        share += weight / max(1, sum(weights)) * hits / max(1, kind_total)
    return signal.counts(round(share * total), total)


def all_findings(
    by_kind: Mapping[str, Sequence[Comparison]],
) -> list[Finding]:
    """Tests each kind, and all kinds together; the starts are the same."""
    together = list(zip(*by_kind.values(), strict=True))
    findings = []
    for signal in Signal:
        findings += [
            worse(signal, kind, comparisons)
            for kind, comparisons in by_kind.items()
        ]
        # Without bad runs there is nothing to find.
        pooled = [
            pool(signal, each)
            for each in together
            if any(signal.of(kind.version)[0] for kind in each)
        ]
        findings.append(worse(signal, "", pooled))
    return findings


def is_proven(comparisons: Sequence[Comparison]) -> bool:
    """Whether the version is shown not to be much worse.

    Args:
        comparisons: One for each kind.
    """
    return all(
        _is_close(signal, pool(signal, comparisons))
        for signal in (Signal.ERRORS, Signal.BAD_RUNS)
    )


def soundness(
    finding: Finding,
    recent: _judge.EvidenceCounts,
    past: _judge.EvidenceCounts,
) -> float:
    """Returns the log of the evidence that something else is as before.

    It compares the recent runs under the past share of bad runs, or the
    share of all runs if there is hardly any past, with those under the share
    in the finding.
    """
    hits, total = finding.signal.of(recent)
    past_hits, past_total = finding.signal.of(past)
    if past_total < FEWEST_REFERENCE:
        past_hits, past_total = past_hits + hits, past_total + total
    if past_total == 0:
        return 0.0
    changed = min(_CHANGED_SHARE, finding.hits / finding.total)
    return _statistics.log_likelihood_ratio(
        hits, total, past_hits / past_total, changed
    )


def _is_close(signal: Signal, comparison: Comparison) -> bool:
    reference_hits, reference_total = signal.of(comparison.reference)
    if reference_total < FEWEST_REFERENCE:
        return False
    hits, total = signal.of(comparison.version)
    expected = reference_hits / reference_total
    bound = min(0.95, expected + _PROOF_TOLERANCE)
    evidence = _statistics.evidence_below(hits, total, bound, expected)
    return evidence >= _PROOF_LOG_EVIDENCE
