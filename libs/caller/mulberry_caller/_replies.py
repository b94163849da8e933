"""Results that the client returns."""

import dataclasses
import json
import re
from collections.abc import Mapping, Sequence
from typing import Any

#: `Retry-After` in seconds; `str.isdigit` also holds for `²`, which is no float.
_SECONDS = re.compile(r"[0-9]{1,9}")
#: `Failure.status` of a request that received no HTTP response.
NO_RESPONSE = 0


@dataclasses.dataclass(frozen=True)
class Failure:
    """A refused or failed request."""

    #: HTTP status; 0 if no response was received.
    status: int
    #: Error kind from the entry, for example `overloaded`.
    kind: str
    #: Whether the request was executed: `not_run`, `ran` or `unknown`.
    run: str
    message: str
    request_id: str
    #: Minimum seconds before a retry; negative if a retry cannot help.
    retry_after_s: float
    #: Attempts made, including the first.
    attempts: int = 1


@dataclasses.dataclass(frozen=True)
class Reply:
    """A complete answer of an HTTP service."""

    status: int
    #: Header names are in lower case.
    header_by_name: Mapping[str, str]
    body: bytes
    request_id: str
    #: Attempts made, including the first.
    attempts: int

    def json(self) -> Any:
        """Parses the body as JSON."""
        return json.loads(self.body)


@dataclasses.dataclass(frozen=True)
class ChatReply:
    """A complete chat answer."""

    text: str
    finish_reason: str
    #: Model and version that answered.
    model: str
    version: str
    tokens_in: int
    tokens_out: int
    request_id: str
    attempts: int


def parse_failure(
    status: int, header_by_name: Mapping[str, str], body: bytes, attempts: int
) -> Failure:
    """Parses the error response of an entry."""
    try:
        content = json.loads(body)
    except (ValueError, RecursionError):
        content = {}
    if not isinstance(content, dict):
        content = {}
    error = content.get("error")
    message = error.get("message", "") if isinstance(error, dict) else ""
    retry_after = header_by_name.get("retry-after", "")
    return Failure(
        status=status,
        kind=str(content.get("kind", "")),
        # Without this field, the request may or may not have run.
        run=str(content.get("run", "unknown")),
        message=str(message) or f"status {status}",
        request_id=header_by_name.get("x-request-id", ""),
        retry_after_s=float(retry_after)
        if _SECONDS.fullmatch(retry_after)
        else -1.0,
        attempts=attempts,
    )


def connection_failure(message: str, sent: bool, attempts: int) -> Failure:
    """Returns the failure of a request whose connection failed."""
    return Failure(
        status=NO_RESPONSE,
        kind="connection_failed",
        run="unknown" if sent else "not_run",
        message=message,
        request_id="",
        retry_after_s=0.0,
        attempts=attempts,
    )


def build_chat_reply(
    header_by_name: Mapping[str, str],
    texts: Sequence[str],
    finish_reason: str,
    usage: Any,
    attempts: int,
) -> ChatReply:
    """Builds a chat answer from its text, headers and token counts."""
    counts = usage if isinstance(usage, dict) else {}
    return ChatReply(
        text="".join(texts),
        finish_reason=finish_reason,
        model=header_by_name.get("x-mulberry-model", ""),
        version=header_by_name.get("x-mulberry-version", ""),
        tokens_in=_count(counts.get("prompt_tokens")),
        tokens_out=_count(counts.get("completion_tokens")),
        request_id=header_by_name.get("x-request-id", ""),
        attempts=attempts,
    )


def _count(value: object) -> int:
    """Returns a count of an answer, 0 if it is none."""
    return value if isinstance(value, int) else 0
