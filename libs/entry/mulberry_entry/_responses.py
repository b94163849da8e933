"""Builds responses to callers."""

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
    """Returns a response with `content` as JSON."""
    return werkzeug.Response(
        json.dumps(content), status, dict(headers or {}), mimetype=JSON_TYPE
    )


def refusal_response(
    refusal: core.Refusal, request_id: str
) -> werkzeug.Response:
    """Returns the error response for `refusal`."""
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
    """Returns the error event that ends an incomplete stream.

    No `[DONE]` follows it, so that clients do not treat the answer as complete.
    """
    return b"data: " + _server.refusal_body(refusal, request_id) + b"\n\n"


def stream_response(
    events: Iterable[bytes], headers: Mapping[str, str]
) -> werkzeug.Response:
    """Returns a response that streams `events` as they arrive."""
    return werkzeug.Response(
        events,
        200,
        {**headers, "Cache-Control": "no-cache"},
        mimetype=EVENT_STREAM_TYPE,
    )
