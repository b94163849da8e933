"""Demand and evidence as soft-state records."""

import dataclasses
import functools
import json
from collections.abc import Mapping
from typing import Annotated

import pydantic

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership

#: Limit of counts and rates. They are added up over all entries as floats, in
#: which a far larger number would hide the others.
_MAX_NUMBER = 1e12
#: Limit of the numbers of time spans and of verdicts.
_MAX_SPAN = 2**53

_Rate = Annotated[float, pydantic.Field(ge=0.0, le=_MAX_NUMBER)]
_Count = Annotated[int, pydantic.Field(ge=0, le=int(_MAX_NUMBER))]
_Span = Annotated[int, pydantic.Field(ge=0, le=_MAX_SPAN)]
#: The fields of the data classes, in their order.
_EvidenceKey = tuple[str, str, str, _Span]
_EvidenceCounts = tuple[_Count, _Count, _Count, _Count, _Count, _Count]
_EvidenceRow = tuple[
    _EvidenceKey, _EvidenceCounts, list[tuple[_Span, _EvidenceCounts]]
]
_RatingRow = tuple[tuple[str, str, str, str], tuple[_Rate, _Rate]]


class _SharedMessage(pydantic.BaseModel):
    """Ignores unknown fields, which later versions may publish."""

    model_config = pydantic.ConfigDict(
        strict=True, frozen=True, extra="ignore", allow_inf_nan=False
    )

    evidence: list[_EvidenceRow]
    ratings: list[_RatingRow]


@dataclasses.dataclass(frozen=True)
class SharedCounts:
    """Evidence and ratings that one process has counted."""

    #: Each process of an instance counts from zero.
    process: str
    evidence: decisions.Evidence
    ratings: decisions.RatingExport


@functools.cache
def _demand_adapter() -> pydantic.TypeAdapter[dict[str, tuple[_Rate, _Rate]]]:
    return pydantic.TypeAdapter(
        dict[str, tuple[_Rate, _Rate]],
        config=pydantic.ConfigDict(strict=True, allow_inf_nan=False),
    )


@functools.cache
def _shared_adapter() -> pydantic.TypeAdapter[_SharedMessage]:
    return pydantic.TypeAdapter(_SharedMessage)


def encode_demand(limiter: decisions.TeamLimiter) -> bytes:
    """Returns the payload of a demand record."""
    return json.dumps(
        {
            team: [round(demand.requests_per_s, 1), round(demand.tokens_per_s)]
            for team, demand in limiter.demand().items()
        }
    ).encode()


def decode_demand(
    record: membership.Record,
) -> Mapping[str, decisions.Demand] | core.Missing:
    """Returns the demand by team; unset if the record cannot be decoded."""
    parsed = membership.parse_json(_demand_adapter(), record.payload)
    if isinstance(parsed, core.Missing):
        return parsed
    return {team: decisions.Demand(*rates) for team, rates in parsed.items()}


def encode_evidence(
    judge: decisions.VersionJudge, chooser: decisions.ModelChooser
) -> bytes:
    """Returns the payload of an evidence record."""
    evidence = [
        [
            dataclasses.astuple(key),
            dataclasses.astuple(series.now),
            [
                [span, dataclasses.astuple(counts)]
                for span, counts in series.before_by_span.items()
            ],
        ]
        for key, series in judge.export().items()
    ]
    ratings = [
        [dataclasses.astuple(key), dataclasses.astuple(counts)]
        for key, counts in chooser.export().items()
    ]
    return json.dumps({"evidence": evidence, "ratings": ratings}).encode()


def decode_evidence(
    record: membership.Record,
) -> SharedCounts | core.Missing:
    """Returns the counts of a record; unset if it cannot be decoded."""
    parsed = membership.parse_json(_shared_adapter(), record.payload)
    if isinstance(parsed, core.Missing):
        return parsed
    evidence = {
        decisions.EvidenceKey(*key): decisions.EvidenceSeries(
            decisions.EvidenceCounts(*now),
            {
                span: decisions.EvidenceCounts(*counts)
                for span, counts in before
            },
        )
        for key, now, before in parsed.evidence
    }
    if not all(map(_is_consistent, evidence.values())):
        return core.Missing.UNSET
    return SharedCounts(
        f"{record.id}/{record.epoch}",
        evidence,
        {
            decisions.RatingKey(*key): decisions.RatingCounts(*counts)
            for key, counts in parsed.ratings
        },
    )


def _is_consistent(series: decisions.EvidenceSeries) -> bool:
    """Whether a part never exceeds its whole, and counts never decrease.

    The tests of versions compute with the logarithms of the differences.
    """
    now = series.now
    return _are_parts_of_wholes(now) and all(
        _are_parts_of_wholes(before)
        and all(
            earlier <= later
            for earlier, later in zip(
                dataclasses.astuple(before),
                dataclasses.astuple(now),
                strict=True,
            )
        )
        for before in series.before_by_span.values()
    )


def _are_parts_of_wholes(counts: decisions.EvidenceCounts) -> bool:
    return (
        counts.failed <= counts.runs
        and counts.rated_low <= counts.rated <= counts.runs
        and counts.slow <= counts.timed <= counts.runs
    )
