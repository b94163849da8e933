"""Tests of one version against others or against its own past."""

import dataclasses
import enum
from collections.abc import Sequence

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
#: Log of the evidence at which the reference counts as worse than before.
_DOUBT_LOG_EVIDENCE = 1.1
#: A version counts as proven if it is at most this much worse.
_PROOF_TOLERANCE = 0.15
#: Log of the evidence for that, an error of at most 1 in 10.
_PROOF_LOG_EVIDENCE = 2.3


class Signal(enum.Enum):
    """What a version can be bad at: fields of the hits and of the total."""

    ERRORS = ("failed", "runs")
    RATINGS = ("rated_low", "rated")
    LATENCY = ("slow", "timed")

    def of(self, counts: _judge.EvidenceCounts) -> tuple[int, int]:
        """Returns hits and total."""
        hits, total = self.value
        return getattr(counts, hits), getattr(counts, total)

    def counts(self, hits: int, total: int) -> _judge.EvidenceCounts:
        """Returns counts of this signal only."""
        names = self.value
        return dataclasses.replace(
            _judge.EvidenceCounts(), **{names[0]: hits, names[1]: total}
        )


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

    def sentence(self) -> str:
        """Returns the counts in words."""
        name = self.signal.name.lower()
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
        bound = _bound(signal, comparison)
        if isinstance(bound, core.Missing) or total == 0:
            continue
        log_evidence = _statistics.evidence_above(hits, total, bound)
        logs.append(log_evidence)
        if log_evidence > best.log_evidence:
            best = Finding(log_evidence, signal, kind, hits, total, bound)
    return dataclasses.replace(best, log_evidence=_statistics.log_sum(logs))


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


def is_proven(comparisons: Sequence[Comparison]) -> bool:
    """Whether the version is shown not to be much worse.

    Errors must be shown; ratings only where the reference has ratings, so
    that a rater that is away does not stop a rollout for ever.

    Args:
        comparisons: One for each kind.
    """
    ratings = pool(Signal.RATINGS, comparisons)
    return _is_close(Signal.ERRORS, pool(Signal.ERRORS, comparisons)) and (
        ratings.reference.rated < FEWEST_REFERENCE
        or _is_close(Signal.RATINGS, ratings)
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
