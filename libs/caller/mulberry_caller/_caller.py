"""Client that sends requests to a deployment and retries them."""

import dataclasses
import json
import random
import time
import uuid
from collections.abc import Callable, Mapping, Sequence
from typing import Any, TypeVar

from mulberry_caller import _entries, _http, _replies, _stream

T = TypeVar("T")

#: One chat message with the fields `role` and `content`.
Message = Mapping[str, Any]


@dataclasses.dataclass(frozen=True)
class Options:
    """Deadline, retry and routing options of a request."""

    #: Seconds until an answer must be complete. The time left is sent with
    #: every attempt.
    deadline_s: float = 60.0
    #: Maximum attempts for one request, including the first. The first one at
    #: each entry that cannot be reached does not count.
    max_attempts: int = 4
    #: Minimum delay in seconds before retrying a request that may have run;
    #: doubles with each attempt.
    backoff_s: float = 0.1
    #: Kind of work as defined in the rule file; empty for the default.
    kind: str = ""
    #: Requests of one session are served by the same model version; empty
    #: for no session.
    session: str = ""


class Caller:
    """Thread-safe client of one team.

    Every request carries an idempotency key, so that the entries bill it
    once and run a non-idempotent call at most once, however many attempts
    are made. All attempts of a request use the same key. A request is
    retried only if it was not answered or the refusal has a `Retry-After`.
    """

    def __init__(
        self,
        entries: Sequence[str],
        key: str,
        zone: str = "",
        options: Options | None = None,
    ) -> None:
        """Creates a client.

        Args:
            entries: `IP:PORT` of entries to fetch the full list from.
            key: Key of the team.
            zone: Availability zone of the caller, empty if unknown.
            options: Options of requests that have none of their own.
        """
        self._entries = _entries.EntryList(entries, zone)
        self._key = key
        self._options = options or Options()

    def chat(
        self,
        model: str,
        messages: Sequence[Message],
        idempotency_key: str = "",
        options: Options | None = None,
        **parameters: Any,
    ) -> _replies.ChatReply | _replies.Failure:
        """Sends a chat request and returns the complete answer.

        Args:
            model: Model or cascade.
            messages: Turns of the conversation.
            idempotency_key: Key of the request; generated if empty.
            options: Replaces the client's options for this request.
            **parameters: Further fields of the body, such as `max_tokens`.
        """
        body = {"model": model, "messages": list(messages), **parameters}
        reply = self._send(
            self._chat_request(body),
            idempotency_key,
            options or self._options,
            _read_reply,
        )
        return (
            reply
            if isinstance(reply, _replies.Failure)
            else _to_chat_reply(reply)
        )

    def stream_chat(
        self,
        model: str,
        messages: Sequence[Message],
        idempotency_key: str = "",
        options: Options | None = None,
        **parameters: Any,
    ) -> _stream.ChatStream | _replies.Failure:
        """Opens a streamed chat answer; the arguments are those of `chat`.

        The request is not retried once the answer has begun. If the stream
        breaks, its `result` is a `Failure`.
        """
        body = {
            "model": model,
            "messages": list(messages),
            "stream": True,
            **parameters,
        }
        return self._send(
            self._chat_request(body),
            idempotency_key,
            options or self._options,
            _open_stream,
        )

    def call(
        self,
        service: str,
        method: str,
        path: str,
        body: bytes = b"",
        content_type: str = "application/json",
        idempotency_key: str = "",
        options: Options | None = None,
    ) -> _replies.Reply | _replies.Failure:
        """Calls an HTTP service.

        Args:
            service: Name of the service in the rule file.
            method: HTTP method.
            path: Percent-encoded path within the service, starting with `/`.
            body: Request body, sent unchanged.
            content_type: Media type of the body.
            idempotency_key: Key of the request; generated if empty. Repeat
                the call with the same key to get the outcome of a call that
                was interrupted.
            options: Replaces the client's options for this request.
        """
        request = _http.HttpRequest(
            method,
            f"/services/{service}{path}",
            {"Content-Type": content_type} if body else {},
            body,
        )
        return self._send(
            request, idempotency_key, options or self._options, _read_reply
        )

    def _chat_request(self, body: Mapping[str, Any]) -> _http.HttpRequest:
        return _http.HttpRequest(
            "POST",
            "/v1/chat/completions",
            {"Content-Type": "application/json"},
            json.dumps(body).encode(),
        )

    def _send(
        self,
        request: _http.HttpRequest,
        key: str,
        options: Options,
        receive: Callable[[_http.Exchange, int], T | _replies.Failure],
    ) -> T | _replies.Failure:
        key = key or uuid.uuid4().hex
        give_up_at_s = time.monotonic() + options.deadline_s
        attempts = 0
        unreachable: set[str] = set()
        while True:
            attempts += 1
            entry = self._entries.ordered_entries()[0]
            remaining_s = max(0.001, give_up_at_s - time.monotonic())
            complete_request = self._with_headers(
                request, key, options, remaining_s
            )
            outcome = receive(
                _http.Exchange(entry, complete_request, remaining_s), attempts
            )
            if not isinstance(outcome, _replies.Failure):
                return outcome
            if outcome.status == _replies.NO_RESPONSE or outcome.status >= 500:
                self._entries.demote(entry)
            if _is_unreachable(outcome):
                unreachable.add(entry)
            wait_s = _retry_delay_s(outcome, options)
            if (
                wait_s is None
                or attempts - len(unreachable) >= options.max_attempts
                or time.monotonic() + wait_s >= give_up_at_s
            ):
                return outcome
            time.sleep(wait_s)

    def _with_headers(
        self,
        request: _http.HttpRequest,
        key: str,
        options: Options,
        remaining_s: float,
    ) -> _http.HttpRequest:
        headers = {
            **request.header_by_name,
            "Authorization": f"Bearer {self._key}",
            "Idempotency-Key": key,
            "X-Mulberry-Deadline": f"{remaining_s:.3f}",
        }
        if options.kind:
            headers["X-Mulberry-Kind"] = options.kind
        if options.session:
            headers["Session-Id"] = options.session
        return dataclasses.replace(request, header_by_name=headers)


def _is_unreachable(failure: _replies.Failure) -> bool:
    """Whether no connection to the entry was opened."""
    return failure.status == _replies.NO_RESPONSE and failure.run == "not_run"


def _retry_delay_s(failure: _replies.Failure, options: Options) -> float | None:
    """Returns the delay before a retry, `None` if it must not be retried."""
    if failure.retry_after_s < 0:
        return None
    if _is_unreachable(failure):
        # The next entry can be tried at once.
        return 0.0
    backoff_s = options.backoff_s * 2.0 ** (failure.attempts - 1)
    # Jitter keeps callers that failed at the same time from retrying at the
    # same time.
    return max(failure.retry_after_s, backoff_s) * random.uniform(1.0, 1.25)


def _read_reply(
    exchange: _http.Exchange, attempts: int
) -> _replies.Reply | _replies.Failure:
    try:
        body = exchange.read()
    finally:
        exchange.close()
    if exchange.error or not exchange.status:
        return _replies.connection_failure(
            exchange.error, exchange.sent, attempts
        )
    if _is_refusal(exchange, body):
        return _replies.parse_failure(
            exchange.status, exchange.header_by_name, body, attempts
        )
    return _replies.Reply(
        status=exchange.status,
        header_by_name=exchange.header_by_name,
        body=body,
        request_id=exchange.header_by_name.get("x-request-id", ""),
        attempts=attempts,
    )


def _is_refusal(exchange: _http.Exchange, body: bytes) -> bool:
    """Whether an entry refused the request; false if a service answered."""
    if exchange.status < 400:
        return False
    try:
        content = json.loads(body)
    except (ValueError, RecursionError):
        return False
    return isinstance(content, dict) and "run" in content and "kind" in content


def _open_stream(
    exchange: _http.Exchange, attempts: int
) -> _stream.ChatStream | _replies.Failure:
    exchange.wait_for_status()
    if exchange.status == 200:
        return _stream.ChatStream(exchange, attempts)
    answer = _read_reply(exchange, attempts)
    if isinstance(answer, _replies.Failure):
        return answer
    return _replies.parse_failure(
        answer.status, answer.header_by_name, answer.body, attempts
    )


def _to_chat_reply(
    reply: _replies.Reply,
) -> _replies.ChatReply | _replies.Failure:
    try:
        content = reply.json()
        choice = content["choices"][0]
        text = str(choice["message"]["content"] or "")
        finish_reason = str(choice["finish_reason"])
    except (ValueError, TypeError, KeyError, IndexError, RecursionError):
        return _replies.parse_failure(
            reply.status, reply.header_by_name, reply.body, reply.attempts
        )
    return _replies.build_chat_reply(
        reply.header_by_name,
        [text],
        finish_reason,
        content.get("usage"),
        reply.attempts,
    )
