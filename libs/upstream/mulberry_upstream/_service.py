"""Adapter for plain HTTP services."""

import abc
import dataclasses
import re
from collections.abc import Callable, Mapping, Sequence

import mulberry_core as core
from mulberry_upstream import (
    _exchange,
    _failures,
    _gate,
    _send_record,
    _transfer,
)

_METHOD = re.compile(r"[A-Z]{1,16}")
_PATH = re.compile(r"/[!\x22\x24-\x7e]*")
#: Answers that have no body, whatever their headers say.
_NO_BODY_STATUSES = frozenset({204, 304})


def _never() -> bool:
    return False


@dataclasses.dataclass(frozen=True)
class ServiceRequest:
    """One send of a call to one upstream."""

    #: Issued by the gate for this send; names the upstream.
    permit: _gate.SendPermit
    #: Sends of the request over all its attempts.
    record: _send_record.SendRecord
    request_id: str
    method: str
    #: Path below the service with its query, percent-encoded.
    path: str
    #: Headers of the caller that are passed on, `Name: value`.
    headers: Sequence[str]
    body: bytes
    limits: _exchange.ExchangeLimits
    #: Key of the caller, empty if there is none.
    idempotency_key: str = ""
    #: Asked at least every 250 ms whether the caller has gone. A call that
    #: is not idempotent should go on, so that its answer is recorded.
    is_abandoned: Callable[[], bool] = _never


@dataclasses.dataclass(frozen=True)
class ServiceAnswer:
    """The whole answer of a service, whatever its status."""

    status: int
    #: By name in lower case.
    header_by_name: Mapping[str, str]
    body: bytes

    @property
    def content_type(self) -> str:
        """Media type of the body."""
        return self.header_by_name.get(
            "content-type", "application/octet-stream"
        )


class ServiceAdapter(abc.ABC):
    """Calls plain services."""

    @abc.abstractmethod
    def call(self, request: ServiceRequest) -> ServiceAnswer | core.Refusal:
        """Sends one call once and returns its whole answer."""


class HttpServiceAdapter(ServiceAdapter):
    """Plain services over HTTP/1.1."""

    def __init__(self, pool: _transfer.HandlePool) -> None:
        self._pool = pool

    def call(self, request: ServiceRequest) -> ServiceAnswer | core.Refusal:
        """See `ServiceAdapter`."""
        headers = _headers(request)
        fault = _request_fault(request, headers)
        if fault:
            return request.record.refuse(core.ErrorKind.BAD_REQUEST, fault)
        if not request.permit.redeem():
            return request.record.refuse(
                core.ErrorKind.INTERNAL, "the send permit is no longer valid"
            )
        upstream = request.permit.upstream
        http = _exchange.HttpRequest(
            address=upstream.address,
            method=request.method,
            path=request.path,
            headers=headers,
            body=request.body,
            # Answers of services carry no id, so a late copy of the answer
            # before would be taken for this one.
            may_reuse=False,
        )
        attempt = request.record.begin(upstream.name)
        transfer = _transfer.Transfer(
            self._pool, http, request.limits, request.is_abandoned
        )
        return _receive(request, transfer, attempt)


def _receive(
    request: ServiceRequest,
    transfer: _transfer.Transfer,
    attempt: _send_record.SendAttempt,
) -> ServiceAnswer | core.Refusal:
    parts = []
    while transfer.end is None:
        parts.append(transfer.step())
    if _failures.reports_not_run(transfer) or not transfer.status:
        return _failures.refuse(request.record, attempt, transfer, b"")
    attempt.settle(_send_record.AttemptState.ANSWERED)
    if transfer.end is not _exchange.End.COMPLETE:
        fault = _failures.stream_fault(transfer)
        return request.record.refuse(fault.kind, fault.reason)
    if not _has_length(request, transfer):
        return request.record.refuse(
            core.ErrorKind.ANSWER_INCOMPLETE,
            "the answer states no length, so a cut would not show",
        )
    return ServiceAnswer(
        transfer.status, dict(transfer.header_by_name), b"".join(parts)
    )


def _has_length(request: ServiceRequest, transfer: _transfer.Transfer) -> bool:
    headers = transfer.header_by_name
    return (
        request.method == "HEAD"
        or transfer.status in _NO_BODY_STATUSES
        or "content-length" in headers
        or "chunked" in headers.get("transfer-encoding", "").lower()
    )


def _headers(request: ServiceRequest) -> list[str]:
    headers = [*request.headers, f"X-Request-Id: {request.request_id}"]
    if request.idempotency_key:
        headers.append(f"Idempotency-Key: {request.idempotency_key}")
    return headers


def _request_fault(request: ServiceRequest, headers: Sequence[str]) -> str:
    if not _METHOD.fullmatch(request.method):
        return "the method is not valid"
    if not _PATH.fullmatch(request.path):
        return "the path is not percent-encoded"
    if not _exchange.are_valid_header_lines(headers):
        return "a header has control characters"
    return ""
