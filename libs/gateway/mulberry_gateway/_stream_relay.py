"""Forwards server-sent events as they arrive, only complete ones."""

import dataclasses
import re
from collections.abc import Callable

import mulberry_core as core
from mulberry_gateway import (
    _body_limits,
    _dialect,
    _exchange,
    _messages,
    _upstream_call,
)

#: Ids with more digits are compared with no other.
_MAX_ID_DIGITS = 100
#: Reads of at most this size are covered by the charge of the connection. Only
#: a caller that reads slower than its upstream sends makes larger ones.
_SMALL_READ_BYTES = 8_192
#: Copies of the bytes of one read that exist while a caller is written to.
_EVENT_COPIES = 5
_EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
#: Events with content. Comments only keep a connection open and do not count.
_CONTENT = re.compile(rb"^(?:data|id)\b", re.MULTILINE)


@dataclasses.dataclass(frozen=True)
class Relayed:
    """The answer was sent to the caller."""

    #: Whether the caller's connection can be used for another request.
    keep_alive: bool


@dataclasses.dataclass(frozen=True)
class StreamFailure:
    """The stream ended early."""

    fault: _upstream_call.Fault


class StreamRelay:
    """Copies events from an upstream to the caller."""

    def __init__(self, dialect: _dialect.Dialect, clock: core.Clock) -> None:
        self._dialect = dialect
        self._clock = clock

    def relay(
        self,
        exchange: _exchange.Exchange,
        attempt: _exchange.Attempt,
        read: Callable[[], bytes | _upstream_call.Fault],
        head: _messages.ResponseHead,
        on_progress: Callable[[int], None],
    ) -> Relayed | StreamFailure:
        """Forwards the stream until it ends or fails.

        A stream that resumes at another upstream keeps the head of the first
        response; events that the caller already has are dropped.

        Args:
            exchange: The request.
            attempt: The attempt that produced the response.
            read: Returns the next part of the body, empty at the end.
            head: Head of the attempt's response.
            on_progress: Called with the number of events with content that
                arrived together.
        """
        event_splitter = core.SseSplitter()
        has_content = False
        if not exchange.answered and not self._send_head(exchange, head):
            return StreamFailure(_upstream_call.Fault.CALLER_GONE)
        while True:
            data = read()
            if isinstance(data, _upstream_call.Fault):
                return StreamFailure(data)
            if not data:
                break
            if len(
                data
            ) > _SMALL_READ_BYTES and not exchange.caller.charge_answer(
                len(data) * _EVENT_COPIES + _body_limits.MAX_EVENT_BYTES
            ):
                return StreamFailure(_upstream_call.Fault.EXCESSIVE)
            arrived = event_splitter.feed(data)
            with_content = sum(
                _CONTENT.search(event) is not None for event in arrived
            )
            if with_content:
                has_content = True
                on_progress(with_content)
            events = _drop_forwarded(exchange, arrived)
            if event_splitter.pending_bytes > _body_limits.MAX_EVENT_BYTES:
                return StreamFailure(_upstream_call.Fault.EXCESSIVE)
            if events and not self._forward(exchange, events):
                return StreamFailure(_upstream_call.Fault.CALLER_GONE)
        # An upstream that ends before its first event also ends its connection.
        may_have_ended_early = not head.has_framing and not has_content
        if event_splitter.pending_bytes or may_have_ended_early:
            return StreamFailure(_upstream_call.Fault.TRUNCATED)
        attempt.outcome = str(head.status)
        sent = exchange.caller.send_all(_messages.LAST_CHUNK)
        return Relayed(sent and exchange.keep_alive)

    def _send_head(
        self, exchange: _exchange.Exchange, head: _messages.ResponseHead
    ) -> bool:
        headers = [
            *self._dialect.caller_response_headers(head),
            ("Transfer-Encoding", "chunked"),
        ]
        if not exchange.keep_alive:
            headers.append(("Connection", "close"))
        exchange.status = head.status
        exchange.answered = True
        data = _messages.write_head(head.status, head.reason, headers)
        return exchange.caller.send_all(data)

    def _forward(self, exchange: _exchange.Exchange, events: bytes) -> bool:
        if not exchange.first_byte_s:
            exchange.first_byte_s = self._clock.now()
        return exchange.caller.send_all(_messages.write_chunk(events))


def _drop_forwarded(exchange: _exchange.Exchange, events: list[bytes]) -> bytes:
    """Returns the events after the last forwarded one."""
    kept = []
    for event in events:
        found = _EVENT_ID.search(event)
        event_id = found.group(1).decode("latin-1") if found else ""
        last = exchange.last_event_id
        if _is_forwarded(event_id, last):
            continue
        if event_id:
            exchange.last_event_id = event_id
        kept.append(event)
    return b"".join(kept)


def _is_forwarded(event_id: str, last_event_id: str) -> bool:
    """Whether an event with a number is not after the last forwarded one."""
    number = core.parse_count(event_id, _MAX_ID_DIGITS)
    last = core.parse_count(last_event_id, _MAX_ID_DIGITS)
    return isinstance(number, int) and isinstance(last, int) and number <= last
