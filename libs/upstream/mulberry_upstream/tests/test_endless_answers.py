"""Answers without end, and many large ones at once."""

import resource
import threading
from collections.abc import Callable
from typing import Any

import pytest

import mulberry_core as core
import mulberry_standins as standins
import mulberry_upstream as upstream

_MIB = 1 << 20
#: Start and repeated part of a body without length.
_BODY = (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 16_384)


def _whole(bench: Any, address: str) -> Any:
    return bench.chat.chat(bench.chat_request(address, streamed=False))


def _stream(bench: Any, address: str) -> Any:
    stream = bench.chat.open_chat(bench.chat_request(address))
    if isinstance(stream, core.Refusal):
        return stream
    list(stream)
    return stream.outcome.refusal


@pytest.mark.parametrize("send", [_whole, _stream])
@pytest.mark.parametrize(
    "answer", standins.ENDLESS_ANSWERS, ids=lambda answer: answer.name
)
def test_answer_without_end_is_given_up(
    bench: Any,
    send: Callable[[Any, str], Any],
    answer: standins.EndlessAnswer,
) -> None:
    """Guards against a process killed for its memory."""
    before = _peak_bytes()
    refusal = send(bench, standins.serve_endless(answer.start, answer.part))
    assert isinstance(refusal, core.Refusal)
    assert refusal.run is not core.RunState.NOT_RUN
    assert _peak_bytes() - before < 64 * _MIB


def test_calls_share_one_budget_and_small_answers_need_none(
    bench: Any,
) -> None:
    """Guards against many endless answers that are each within bounds."""
    limits = core.BodyLimits(
        max_body_bytes=16 * _MIB, max_total_bytes=24 * _MIB
    )
    bench.pool = upstream.HandlePool(body_limits=limits)
    bench.chat = upstream.ChatEngineAdapter(bench.pool)
    requests = [
        bench.chat_request(standins.serve_endless(*_BODY), streamed=False)
        for _ in range(16)
    ]
    results: list[Any] = []
    threads = [
        threading.Thread(
            target=lambda request=request: results.append(
                bench.chat.chat(request)
            )
        )
        for request in requests
    ]
    for thread in threads:
        thread.start()
    engine = bench.start()
    bench.new_request()
    assert isinstance(_whole(bench, engine.address), upstream.ChatAnswer)
    for thread in threads:
        thread.join()
    assert [result.kind for result in results] == [
        core.ErrorKind.ANSWER_INCOMPLETE
    ] * len(requests)
    assert limits.peak_bytes <= 24 * _MIB
    assert limits.held_bytes == 0


def _peak_bytes() -> int:
    """Returns the most memory that the process has had resident."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
