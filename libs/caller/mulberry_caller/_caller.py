"""Sends requests to the entries of a deployment."""

import dataclasses
import json
import random
import time
import uuid
from collections.abc import Callable, Mapping, Sequence
from typing import Any, TypeVar

from mulberry_caller import _entries, _http, _replies, _stream

T = TypeVar("T")

#: The message of one turn: `role` and `content`.
Message = Mapping[str, Any]


@dataclasses.dataclass(frozen=True)
class Options:
    """How requests are sent."""

    #: Seconds until an answer must be complete; sent along.
    deadline_s: float = 60.0
    #: Sends of one request, the first included.
    max_attempts: int = 4
    #: Shortest wait before a request that may have run is sent again; it
    #: doubles with each send, seconds.
    backoff_s: float = 0.1
    #: Kind of the work, see the rule file; empty for the default.
    kind: str = ""
    #: Requests of one session keep their model version; empty for none.
    session: str = ""


class Caller:
    """Client of one team; may be used from any thread.

    Every request carries an idempotency key, so that the entries bill it
    once, and run a call that is not idempotent at most once, however often
    it is sent. A request is sent again only if it was not run or goes under
    the same key, and only where the answer says that this can help.
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
            entries: `IP:PORT` of some entries.
            key: Key of the team.
            zone: Availability zone of the caller, empty if unknown.
            options: Defaults of all requests.
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
        """Returns a whole chat answer.

        Args:
            model: Model or cascade.
            messages: Turns of the conversation.
            idempotency_key: Key of the request; empty makes a new one.
            options: In place of the defaults.
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
        """Opens a streamed chat answer; see `chat`.

        Once the answer has begun it is not sent for again: `result` of the
        stream then says that it failed.
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
        """Calls a plain service.

        Args:
            service: Name of the service in the rule file.
            method: HTTP method.
            path: Path below the service, percent-encoded, from `/`.
            body: Sent as it is.
            content_type: Media type of the body.
            idempotency_key: Key of the request; empty makes a new one. Keep
                it to ask for the outcome of a call that was interrupted.
            options: In place of the defaults.
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
            wait_s = _retry_delay_s(outcome, options)
            if (
                wait_s is None
                or attempts >= options.max_attempts
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


def _retry_delay_s(failure: _replies.Failure, options: Options) -> float | None:
    """Returns the seconds to wait, `None` if sending again cannot help."""
    if failure.retry_after_s < 0:
        return None
    if failure.status == _replies.NO_RESPONSE and failure.run == "not_run":
        # The entry was not there: the next one can be tried at once.
        return 0.0
    backoff_s = options.backoff_s * 2.0 ** (failure.attempts - 1)
    # Jitter keeps callers that failed together from coming back together.
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
    """Tells a refusal of the entry from an error answer of a service."""
    if exchange.status < 400:
        return False
    try:
        content = json.loads(body)
    except ValueError:
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
    except (ValueError, TypeError, KeyError, IndexError):
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
