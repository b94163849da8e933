"""Maps a failed exchange to the refusal that the caller receives."""

from collections.abc import Mapping

import mulberry_core as core
from mulberry_upstream import _checker, _exchange, _send_record

#: Ends after which the same upstream may be able to resume the answer.
RESUMABLE_ENDS = frozenset(
    {_exchange.End.COMPLETE, _exchange.End.FAILED, _exchange.End.READ_TIMEOUT}
)

_KIND_BY_END: Mapping[_exchange.End, core.ErrorKind] = {
    _exchange.End.COMPLETE: core.ErrorKind.UPSTREAM_FAILED,
    _exchange.End.FAILED: core.ErrorKind.UPSTREAM_FAILED,
    _exchange.End.OVERSIZE: core.ErrorKind.ANSWER_INCOMPLETE,
    _exchange.End.CONNECT_TIMEOUT: core.ErrorKind.UPSTREAM_FAILED,
    _exchange.End.READ_TIMEOUT: core.ErrorKind.UPSTREAM_FAILED,
    _exchange.End.DEADLINE: core.ErrorKind.DEADLINE_EXCEEDED,
    _exchange.End.CANCELED: core.ErrorKind.CALLER_GONE,
}

_REASON_BY_END: Mapping[_exchange.End, str] = {
    _exchange.End.COMPLETE: "the answer ended early",
    _exchange.End.FAILED: "the connection failed",
    _exchange.End.OVERSIZE: "the answer is larger than allowed",
    _exchange.End.CONNECT_TIMEOUT: "connecting timed out",
    _exchange.End.READ_TIMEOUT: "no data received in time",
    _exchange.End.DEADLINE: "the deadline passed",
    _exchange.End.CANCELED: "the caller disconnected",
}

#: Kind for an answer that was cut after it had begun.
_TRUNCATED_KIND = core.ErrorKind.ANSWER_INCOMPLETE
#: Bytes of an upstream's error body that are quoted in a reason.
_MAX_QUOTED_BYTES = 200


def reports_not_run(transfer: _exchange.Exchange) -> bool:
    """Whether the upstream refused the request and did not run it."""
    return (
        transfer.status == 503
        and transfer.header_by_name.get("x-not-run") == "1"
        and transfer.is_own_response
    )


def refuse(
    record: _send_record.SendRecord,
    attempt: _send_record.SendAttempt,
    transfer: _exchange.Exchange,
    body: bytes,
) -> core.Refusal:
    """Settles the attempt and returns the refusal for a failed exchange."""
    if transfer.no_byte_sent:
        attempt.settle(_send_record.AttemptState.NOT_SENT)
    elif reports_not_run(transfer):
        attempt.settle(_send_record.AttemptState.REFUSED)
        return record.refuse(
            core.ErrorKind.UPSTREAM_REFUSED,
            f"upstream {attempt.upstream} refused to run the request",
            _retry_after(transfer),
        )
    end = transfer.end or _exchange.End.FAILED
    if end is _exchange.End.COMPLETE and transfer.status != 200:
        return _refuse_error(record, attempt, transfer.status, body)
    kind = _KIND_BY_END[end]
    if transfer.status == 200 and kind is core.ErrorKind.UPSTREAM_FAILED:
        kind = _TRUNCATED_KIND
    return record.refuse(kind, _reason(attempt.upstream, transfer))


def stream_fault(transfer: _exchange.Exchange) -> _checker.Fault:
    """Returns the fault of a stream that ended before `[DONE]`."""
    end = transfer.end or _exchange.End.FAILED
    kind = _KIND_BY_END[end]
    if kind is core.ErrorKind.UPSTREAM_FAILED:
        kind = _TRUNCATED_KIND
    return _checker.Fault(kind, _reason("", transfer))


def _refuse_error(
    record: _send_record.SendRecord,
    attempt: _send_record.SendAttempt,
    status: int,
    body: bytes,
) -> core.Refusal:
    quoted = body[:_MAX_QUOTED_BYTES].decode("utf-8", "replace")
    kind = (
        core.ErrorKind.BAD_REQUEST
        if status in (400, 413, 422)
        else core.ErrorKind.UPSTREAM_FAILED
    )
    return record.refuse(
        kind, f"upstream {attempt.upstream} answered {status}: {quoted}"
    )


def _reason(upstream: str, transfer: _exchange.Exchange) -> str:
    end = transfer.end or _exchange.End.FAILED
    parts = [f"upstream {upstream}" if upstream else "", _REASON_BY_END[end]]
    detail = transfer.error if end is _exchange.End.FAILED else ""
    return ": ".join(part for part in (*parts, detail) if part)


def _retry_after(transfer: _exchange.Exchange) -> float | core.Missing:
    seconds = core.parse_count(transfer.header_by_name.get("retry-after", ""))
    return seconds if isinstance(seconds, core.Missing) else float(seconds)
