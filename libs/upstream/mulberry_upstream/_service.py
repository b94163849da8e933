"""Adapters for plain services."""

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
#: Responses without a body, regardless of their headers.
_NO_BODY_STATUSES = frozenset({204, 304})


def _never() -> bool:
    return False


@dataclasses.dataclass(frozen=True)
class ServiceRequest:
    """One attempt to send a service call to an upstream."""

    #: Issued by the gate for this attempt; contains the upstream.
    permit: _gate.SendPermit
    #: All attempts to send the request.
    record: _send_record.SendRecord
    request_id: str
    method: str
    #: Path and query relative to the service, percent-encoded.
    path: str
    #: Header lines of the caller to forward, `Name: value`.
    headers: Sequence[str]
    body: bytes
    limits: _exchange.ExchangeLimits
    #: Idempotency key of the caller; empty if there is none.
    idempotency_key: str = ""
    #: Whether the caller has disconnected; polled at least every 250 ms. It
    #: should stay false for a call that is not idempotent, so that its answer
    #: is recorded.
    is_abandoned: Callable[[], bool] = _never


@dataclasses.dataclass(frozen=True)
class ServiceAnswer:
    """The complete response of a service, with any status."""

    status: int
    #: Response headers by name in lower case.
    header_by_name: Mapping[str, str]
    body: bytes

    @property
    def content_type(self) -> str:
        """Media type of the body."""
        return self.header_by_name.get(
            "content-type", "application/octet-stream"
        )


class ServiceAdapter(abc.ABC):
    """Client for plain services."""

    @abc.abstractmethod
    def call(self, request: ServiceRequest) -> ServiceAnswer | core.Refusal:
        """Sends the call once and returns its complete response."""


class HttpServiceAdapter(ServiceAdapter):
    """Adapter for plain services over HTTP/1.1."""

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
            # Service responses have no id, so a late duplicate of the previous
            # response could not be told from the response to this call.
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
    body = _exchange.read_rest(transfer)
    if _failures.reports_not_run(transfer) or not transfer.status:
        return _failures.refuse(request.record, attempt, transfer, b"")
    attempt.settle(_send_record.AttemptState.ANSWERED)
    if transfer.end is not _exchange.End.COMPLETE:
        fault = _failures.stream_fault(transfer)
        return request.record.refuse(fault.kind, fault.reason)
    if not _has_length(request, transfer):
        return request.record.refuse(
            core.ErrorKind.ANSWER_INCOMPLETE,
            "the answer has no length, so truncation cannot be detected",
        )
    return ServiceAnswer(transfer.status, dict(transfer.header_by_name), body)


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
