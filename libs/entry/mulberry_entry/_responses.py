"""Building answers for callers."""

import json
import math
from collections.abc import Iterable, Mapping
from typing import Any

import werkzeug

import mulberry_core as core
from mulberry_entry import _server

JSON_TYPE = "application/json"
EVENT_STREAM_TYPE = "text/event-stream"


def json_response(
    status: int, content: Any, headers: Mapping[str, str] | None = None
) -> werkzeug.Response:
    """Returns `content` as JSON."""
    return werkzeug.Response(
        json.dumps(content), status, dict(headers or {}), mimetype=JSON_TYPE
    )


def refusal_response(
    refusal: core.Refusal, request_id: str
) -> werkzeug.Response:
    """Returns the answer of the error table for `refusal`."""
    headers = {"X-Request-Id": request_id}
    after_s = refusal.effective_retry_after_s
    if not isinstance(after_s, core.Missing):
        headers["Retry-After"] = str(max(1, math.ceil(after_s)))
    return werkzeug.Response(
        _server.refusal_body(refusal, request_id),
        refusal.answer.status,
        headers,
        mimetype=JSON_TYPE,
    )


def refusal_event(refusal: core.Refusal, request_id: str) -> bytes:
    """Returns the event that ends a stream which cannot be completed.

    No `[DONE]` follows, so that no client takes the answer for whole.
    """
    return b"data: " + _server.refusal_body(refusal, request_id) + b"\n\n"


def stream_response(
    events: Iterable[bytes], headers: Mapping[str, str]
) -> werkzeug.Response:
    """Returns a response whose events are passed on as they come."""
    return werkzeug.Response(
        events,
        200,
        {**headers, "Cache-Control": "no-cache"},
        mimetype=EVENT_STREAM_TYPE,
    )
