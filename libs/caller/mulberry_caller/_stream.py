"""Streamed chat answers."""

import json
from collections.abc import Iterator
from typing import Any

from mulberry_caller import _http, _replies


class ChatStream:
    """Iterates over the text of one answer as it arrives.

    After the end, `result` is the complete answer or a failure. Text that
    was yielded before a failure is not a complete answer.
    """

    def __init__(self, exchange: _http.Exchange, attempts: int) -> None:
        self._exchange = exchange
        self._sends = attempts
        self._texts: list[str] = []
        self._finish_reason = ""
        self._usage: Any = None
        self._done_received = False
        self._result: _replies.ChatReply | _replies.Failure | None = None

    @property
    def result(self) -> _replies.ChatReply | _replies.Failure:
        """The answer or a failure; raises `RuntimeError` before the end."""
        if self._result is None:
            raise RuntimeError("the stream has not ended")
        return self._result

    def __iter__(self) -> Iterator[str]:
        """Yields the text as it arrives."""
        try:
            for event in _iter_event_data(self._exchange):
                text = self._process_event(event)
                if text:
                    yield text
        finally:
            self._exchange.close()
            if self._result is None:
                self._result = self._final_result()

    def close(self) -> None:
        """Closes the connection, which makes the entry cancel the request."""
        self._exchange.close()
        if self._result is None:
            self._result = self._final_result()

    def _process_event(self, event: bytes) -> str:
        if event == b"[DONE]":
            self._done_received = True
            return ""
        try:
            chunk = json.loads(event)
        except (ValueError, RecursionError):
            return ""
        if not isinstance(chunk, dict):
            return ""
        if "error" in chunk:
            headers = self._exchange.header_by_name
            self._result = _replies.parse_failure(
                self._exchange.status, headers, event, self._sends
            )
            return ""
        self._usage = chunk.get("usage") or self._usage
        choices = chunk.get("choices")
        return self._process_choices(
            choices if isinstance(choices, list) else []
        )

    def _process_choices(self, choices: Any) -> str:
        text = ""
        for choice in choices:
            if not isinstance(choice, dict):
                continue
            if choice.get("index", 0) == 0:
                delta = choice.get("delta")
                content = (
                    delta.get("content") if isinstance(delta, dict) else ""
                )
                text += content if isinstance(content, str) else ""
                self._finish_reason = (
                    choice.get("finish_reason") or self._finish_reason
                )
        self._texts.append(text)
        return text

    def _final_result(self) -> _replies.ChatReply | _replies.Failure:
        if not (self._done_received and self._finish_reason):
            message = (
                self._exchange.error
                or "the stream ended before the answer was complete"
            )
            return _replies.connection_failure(message, True, self._sends)
        return _replies.build_chat_reply(
            self._exchange.header_by_name,
            self._texts,
            self._finish_reason,
            self._usage,
            self._sends,
        )


def _iter_event_data(exchange: _http.Exchange) -> Iterator[bytes]:
    """Yields the data of each complete server-sent event."""
    rest = b""
    for piece in exchange.iter_body():
        *lines, rest = (rest + piece).split(b"\n")
        for line in lines:
            if line.startswith(b"data:"):
                yield line[5:].strip()
