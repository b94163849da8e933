"""Decoding of the answer counts that instances report to the leader."""

import functools
from collections.abc import Mapping
from typing import Annotated, Any

import pydantic
from absl import logging

import mulberry_core as core
import mulberry_decisions as decisions

#: Key prefix of the duration histograms of a rollout in a report. They have
#: keys of their own because earlier versions read only the answer counts.
DURATIONS_PREFIX = "paces "
#: Limit of a count. They are added up, and far larger ones hide the others.
_MAX_COUNT = 10**12
#: Limit of the numbers of duration buckets, above and below zero.
_MAX_BUCKET = 10_000
#: Number of unreadable reports that are remembered as logged.
_MAX_LOGGED = 1_000

_Count = Annotated[int, pydantic.Field(ge=0, le=_MAX_COUNT)]
_Bucket = Annotated[int, pydantic.Field(ge=-_MAX_BUCKET, le=_MAX_BUCKET)]
#: By version and route.
_Counts = dict[str, dict[str, tuple[_Count, _Count]]]
_Durations = dict[str, dict[str, dict[_Bucket, _Count]]]
#: Version, route and counts.
Row = tuple[str, str, decisions.AnswerCounts]


@functools.cache
def _document_adapter() -> pydantic.TypeAdapter[dict[str, Any]]:
    return pydantic.TypeAdapter(dict[str, Any])


@functools.cache
def _counts_adapter() -> pydantic.TypeAdapter[_Counts]:
    return pydantic.TypeAdapter(_Counts)


@functools.cache
def _durations_adapter() -> pydantic.TypeAdapter[_Durations]:
    return pydantic.TypeAdapter(_Durations)


def parse_report(report: bytes, key: str) -> list[Row] | core.Missing:
    """Returns the counts of one rollout; unset if they cannot be decoded.

    Another software version may have written the report. Each unreadable report
    is logged once, although it is read at each decision.

    Args:
        report: Report of one instance.
        key: `SERVICE/NUMBER` of the rollout.
    """
    try:
        document = _document_adapter().validate_json(report)
        counts = _counts_adapter().validate_python(document.get(key, {}))
        durations = _durations_adapter().validate_python(
            document.get(f"{DURATIONS_PREFIX}{key}", {})
        )
    except pydantic.ValidationError:
        _log_unreadable(report)
        return core.Missing.UNSET
    rows = list(_rows(counts, durations))
    if any(row[2].bad > row[2].answers for row in rows):
        _log_unreadable(report)
        return core.Missing.UNSET
    return rows


def _rows(counts: _Counts, durations: _Durations) -> list[Row]:
    return [
        (
            version,
            route,
            decisions.AnswerCounts(
                answers, bad, _histogram(durations, version, route)
            ),
        )
        for version, by_route in counts.items()
        for route, (answers, bad) in by_route.items()
    ]


def _histogram(
    durations: _Durations, version: str, route: str
) -> Mapping[int, int]:
    return durations.get(version, {}).get(route, {})


@functools.lru_cache(_MAX_LOGGED)
def _log_unreadable(report: bytes) -> None:
    logging.warning(
        "ignoring a rollout report of %d bytes that cannot be parsed",
        len(report),
    )
