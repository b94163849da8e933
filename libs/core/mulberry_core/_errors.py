"""The closed list of error kinds and the answer for each."""

import dataclasses
import enum
from collections.abc import Mapping

from mulberry_core import _sentinels


class RunState(enum.Enum):
    """Whether an upstream has run a refused request."""

    #: No byte reached an upstream, or the upstream refused the request.
    NOT_RUN = "not_run"
    #: An upstream has run the request, completely or partly.
    RAN = "ran"
    #: The request was sent and its outcome is unknown.
    UNKNOWN = "unknown"


class ErrorKind(enum.Enum):
    """Reasons for which a request can be refused."""

    BAD_REQUEST = "bad_request"
    REQUEST_TOO_LARGE = "request_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    UNAUTHENTICATED = "unauthenticated"
    NOT_ALLOWED = "not_allowed"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    NOT_FOUND = "not_found"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    CLAIM_OPEN = "claim_open"
    ANSWER_NOT_KEPT = "answer_not_kept"
    CONTENT_BLOCKED = "content_blocked"
    LIMIT_EXCEEDED = "limit_exceeded"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_RULES = "no_rules"
    RULES_LEASE_EXPIRED = "rules_lease_expired"
    QUORUM_UNAVAILABLE = "quorum_unavailable"
    NO_UPSTREAM = "no_upstream"
    VERSION_WITHDRAWN = "version_withdrawn"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_FAILED = "upstream_failed"
    ANSWER_INCOMPLETE = "answer_incomplete"
    ANSWER_MISMATCHED = "answer_mismatched"
    BILL_NOT_RECORDED = "bill_not_recorded"
    ENTRY_LEAVING = "entry_leaving"
    CALLER_GONE = "caller_gone"
    RULES_REJECTED = "rules_rejected"
    RULES_CONFLICT = "rules_conflict"
    LEASE_LOST = "lease_lost"
    STORAGE_FAILED = "storage_failed"
    INTERNAL = "internal"


@dataclasses.dataclass(frozen=True)
class ErrorAnswer:
    """The answer to callers for one error kind."""

    #: HTTP status code.
    status: int
    #: Whether a retry of the same request can succeed.
    retryable: bool
    #: Seconds for `Retry-After`; unset if not retryable.
    retry_after_s: float | _sentinels.Missing
    #: One sentence in plain words, for the caller.
    sentence: str


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Returned in place of a result when a request is refused."""

    #: Key of `ANSWER_BY_KIND`.
    kind: ErrorKind
    #: Must be derived from what was sent to upstreams.
    run: RunState
    #: Details of this case, for the caller and the log.
    reason: str
    #: Overrides the value of the answer table if a better one is known.
    retry_after_s: float | _sentinels.Missing = _sentinels.Missing.UNSET

    @property
    def answer(self) -> ErrorAnswer:
        """The row of the answer table for this kind."""
        return ANSWER_BY_KIND[self.kind]

    @property
    def effective_retry_after_s(self) -> float | _sentinels.Missing:
        """Seconds after which to retry, unset if a retry cannot succeed."""
        if self.retry_after_s is not _sentinels.Missing.UNSET:
            return self.retry_after_s
        return self.answer.retry_after_s


def _permanent(status: int, sentence: str) -> ErrorAnswer:
    return ErrorAnswer(status, False, _sentinels.Missing.UNSET, sentence)


def _transient(status: int, after_s: float, sentence: str) -> ErrorAnswer:
    return ErrorAnswer(status, True, after_s, sentence)


ANSWER_BY_KIND: Mapping[ErrorKind, ErrorAnswer] = {
    ErrorKind.BAD_REQUEST: _permanent(
        400, "The request is malformed; correct it before sending it again."
    ),
    ErrorKind.REQUEST_TOO_LARGE: _permanent(
        413, "The request body is larger than this deployment accepts."
    ),
    ErrorKind.HEADERS_TOO_LARGE: _permanent(
        431, "The request headers are larger than this deployment accepts."
    ),
    ErrorKind.REQUEST_TIMEOUT: _transient(
        408, 1.0, "The request did not arrive completely in time."
    ),
    ErrorKind.UNAUTHENTICATED: _permanent(
        401, "The key is missing or belongs to no team."
    ),
    ErrorKind.NOT_ALLOWED: _permanent(
        403, "The rules do not allow this team to use what it asked for."
    ),
    ErrorKind.UNKNOWN_MODEL: _permanent(
        404, "The rules name no model or cascade of this name."
    ),
    ErrorKind.UNKNOWN_SERVICE: _permanent(
        404, "The rules name no service of this name."
    ),
    ErrorKind.NOT_FOUND: _permanent(404, "There is nothing at this address."),
    ErrorKind.IDEMPOTENCY_KEY_REUSED: _permanent(
        422, "The idempotency key was used before with another request."
    ),
    ErrorKind.CLAIM_OPEN: _transient(
        409,
        5.0,
        "An earlier request with this key was sent to the service and its "
        "outcome is not known yet.",
    ),
    ErrorKind.ANSWER_NOT_KEPT: _permanent(
        410, "The request has run; its answer was too large to be kept."
    ),
    ErrorKind.CONTENT_BLOCKED: _permanent(
        422, "This request has crashed upstreams and is blocked."
    ),
    ErrorKind.LIMIT_EXCEEDED: _transient(
        429, 1.0, "The team has used up its limit for now."
    ),
    ErrorKind.OVERLOADED: _transient(
        503, 2.0, "Too many requests are waiting; this one was not taken."
    ),
    ErrorKind.DEADLINE_UNREACHABLE: _transient(
        503, 2.0, "The request could not be answered within its deadline."
    ),
    ErrorKind.DEADLINE_EXCEEDED: _transient(
        504, 1.0, "The deadline passed before the answer was complete."
    ),
    ErrorKind.NO_RULES: _transient(
        503, 0.5, "No rule file has been accepted yet."
    ),
    ErrorKind.RULES_LEASE_EXPIRED: _transient(
        503,
        2.0,
        "This instance cannot confirm that its rules are still in force; "
        "use another entry.",
    ),
    ErrorKind.QUORUM_UNAVAILABLE: _transient(
        503, 2.0, "Too few instances with state can be reached."
    ),
    ErrorKind.NO_UPSTREAM: _transient(
        503, 2.0, "No upstream that may run this request is available."
    ),
    ErrorKind.VERSION_WITHDRAWN: _transient(
        503, 1.0, "The chosen version was withdrawn before the request ran."
    ),
    ErrorKind.UPSTREAM_REFUSED: _transient(
        503, 1.0, "The upstream refused the request without running it."
    ),
    ErrorKind.UPSTREAM_FAILED: _transient(
        502, 1.0, "The upstream failed before it answered."
    ),
    ErrorKind.ANSWER_INCOMPLETE: _transient(
        502, 1.0, "The answer of the upstream was cut or garbled."
    ),
    ErrorKind.ANSWER_MISMATCHED: _transient(
        502, 1.0, "The upstream sent an answer to another request."
    ),
    ErrorKind.BILL_NOT_RECORDED: _transient(
        503, 2.0, "The request ran but could not be billed in time."
    ),
    ErrorKind.ENTRY_LEAVING: _transient(
        503, 1.0, "This entry is stopping; ask for the entry list again."
    ),
    ErrorKind.CALLER_GONE: _permanent(
        499, "The caller closed the connection before the answer ended."
    ),
    ErrorKind.RULES_REJECTED: _permanent(
        422, "The rule file has errors; the rules in force are unchanged."
    ),
    ErrorKind.RULES_CONFLICT: _permanent(
        409, "The rules were changed since this file was edited."
    ),
    ErrorKind.LEASE_LOST: _transient(
        409, 1.0, "Another instance now holds the lease."
    ),
    ErrorKind.STORAGE_FAILED: _transient(
        503, 5.0, "The data folder of this instance cannot be written."
    ),
    ErrorKind.INTERNAL: _transient(
        500, 1.0, "mulberrystage failed; the fault has been counted."
    ),
}
