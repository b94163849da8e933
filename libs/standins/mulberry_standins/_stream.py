"""Streams a chat answer as server-sent events and injects faults."""

import dataclasses
import json
import time
from collections.abc import Iterator, Sequence

from mulberry_standins import _faults, _http

_GARBLED_EVENT = b'data: {"id":"chatcmpl-\xff\xfe'
_LAST_CHUNK = b"0\r\n\r\n"


@dataclasses.dataclass(frozen=True)
class Answer:
    """The content of a chat answer."""

    answer_id: str
    model: str
    tokens: Sequence[str]
    prompt_tokens: int
    #: Creation time as Unix time, seconds.
    created_s: int

    @property
    def usage(self) -> dict[str, int]:
        """Token counts as a chat answer reports them."""
        count = len(self.tokens)
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": count,
            "total_tokens": self.prompt_tokens + count,
        }

    def events(self) -> Iterator[bytes]:
        """Yields the encoded events, numbered from 1, without `[DONE]`."""
        head = json.dumps(
            {
                "id": self.answer_id,
                "object": "chat.completion.chunk",
                "created": self.created_s,
                "model": self.model,
            },
            separators=(",", ":"),
        )[:-1]

        def event(number: int, rest: str) -> bytes:
            return f"id: {number}\ndata: {head},{rest}}}\n\n".encode()

        def choice(delta: str, finish: str) -> str:
            return (
                f'"choices":[{{"index":0,"delta":{delta},'
                f'"finish_reason":{finish}}}]'
            )

        yield event(1, choice('{"role":"assistant","content":""}', "null"))
        number = 2
        for token in self.tokens:
            delta = f'{{"content":{json.dumps(token)}}}'
            yield event(number, choice(delta, "null"))
            number += 1
        yield event(number, choice("{}", '"stop"'))
        usage = json.dumps(self.usage, separators=(",", ":"))
        yield event(number + 1, f'"choices":[],"usage":{usage}')


@dataclasses.dataclass(frozen=True)
class TokenTiming:
    """Delays that determine when each chunk is sent."""

    first_token_s: float
    token_s: float
    delay_end_s: float

    def due_s(self, number: int, tokens: int) -> float:
        """Returns the seconds from the start until chunk `number` (from 1)."""
        # Chunk 1 carries the role and is sent with the first token.
        position = min(max(0, number - 2), max(0, tokens - 1))
        due_s = self.first_token_s + position * self.token_s
        return due_s + (self.delay_end_s if number > tokens + 1 else 0.0)


def send_stream(
    exchange: _http.Exchange,
    answer: Answer,
    timing: TokenTiming,
    faults: _faults.Faults,
    resume_from: int,
) -> None:
    """Streams the answer, without the chunks up to `resume_from`."""
    exchange.send_response(200)
    exchange.send_header("Content-Type", "text/event-stream")
    exchange.send_header("Cache-Control", "no-store")
    exchange.send_header("Transfer-Encoding", "chunked")
    exchange.end_headers()
    tokens = len(answer.tokens)
    start_s = time.monotonic()
    if resume_from:
        start_s -= timing.due_s(resume_from, tokens)
    sent = 0
    number = 0
    for number, event in enumerate(answer.events(), 1):
        if number <= resume_from:
            continue
        if sent == faults.cut_after:
            exchange.drop()
            return
        wait_s = start_s + timing.due_s(number, tokens) - time.monotonic()
        if wait_s > 0:
            time.sleep(wait_s)
        for block in _inject_faults(event, number, faults):
            exchange.send(b"%x\r\n%s\r\n" % (len(block), block))
        sent += 1
    if sent == faults.cut_after:
        exchange.drop()
        return
    done = b"id: %d\ndata: [DONE]\n\n" % (number + 1)
    exchange.send(b"%x\r\n%s\r\n" % (len(done), done) + _LAST_CHUNK)


def _inject_faults(
    event: bytes, number: int, faults: _faults.Faults
) -> Iterator[bytes]:
    if number == faults.drop_at:
        return
    if number == faults.garble_at:
        yield _GARBLED_EVENT + b"\n\n"
        return
    yield event
    if number == faults.duplicate_at:
        yield event
    if number == 1 and faults.oversize_bytes:
        yield b": " + b"x" * faults.oversize_bytes + b"\n\n"
