"""Tests of endless answers and of many large answers at once."""

import resource
import threading
from collections.abc import Callable
from typing import Any

import pytest

import mulberry_core as core
import mulberry_standins as standins
import mulberry_upstream as upstream

_MIB = 1 << 20
#: Start and repeated part of a response without a length.
_BODY = (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 16_384)


def _send_whole(harness: Any, address: str) -> Any:
    return harness.chat.chat(harness.chat_request(address, streamed=False))


def _send_streamed(harness: Any, address: str) -> Any:
    stream = harness.chat.open_chat(harness.chat_request(address))
    if isinstance(stream, core.Refusal):
        return stream
    list(stream)
    return stream.outcome.refusal


@pytest.mark.parametrize("send", [_send_whole, _send_streamed])
@pytest.mark.parametrize(
    "answer", standins.ENDLESS_ANSWERS, ids=lambda answer: answer.name
)
def test_endless_answer_is_aborted(
    harness: Any,
    send: Callable[[Any, str], Any],
    answer: standins.EndlessAnswer,
) -> None:
    """Guards against running out of memory on an endless answer."""
    before = _peak_bytes()
    refusal = send(harness, standins.serve_endless(answer.start, answer.part))
    assert isinstance(refusal, core.Refusal)
    assert refusal.run is not core.RunState.NOT_RUN
    assert _peak_bytes() - before < 64 * _MIB


def test_whole_answers_share_a_memory_budget(
    harness: Any,
) -> None:
    """Guards against answers that exceed the memory limit only together.

    A small answer must still succeed while the budget is used up.
    """
    limits = core.BodyLimits(
        max_body_bytes=16 * _MIB, max_total_bytes=24 * _MIB
    )
    harness.pool = upstream.HandlePool(body_limits=limits)
    harness.chat = upstream.ChatEngineAdapter(harness.pool)
    requests = [
        harness.chat_request(standins.serve_endless(*_BODY), streamed=False)
        for _ in range(16)
    ]
    results: list[Any] = []
    threads = [
        threading.Thread(
            target=lambda request=request: results.append(
                harness.chat.chat(request)
            )
        )
        for request in requests
    ]
    for thread in threads:
        thread.start()
    engine = harness.start()
    harness.new_request()
    assert isinstance(_send_whole(harness, engine.address), upstream.ChatAnswer)
    for thread in threads:
        thread.join()
    assert [result.kind for result in results] == [
        core.ErrorKind.ANSWER_INCOMPLETE
    ] * len(requests)
    assert limits.peak_bytes <= 24 * _MIB
    assert limits.held_bytes == 0


def _peak_bytes() -> int:
    """Returns the peak resident memory of the process."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
