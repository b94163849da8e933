"""Tests of streams that go on after a cut."""

import time
from collections.abc import Callable
from typing import Any

import pytest

import mulberry_core as core
import mulberry_upstream as upstream

_SetFaults = Callable[..., None]


class Reopener:
    """Resumes at the first engine and re-runs at the second."""

    def __init__(self, bench: Any, first: str, second: str) -> None:
        self._bench = bench
        self.first = first
        self._second = second
        self.second_version = "2026-02"
        self.plans: list[upstream.ReopenPlan] = []

    def __call__(
        self, plan: upstream.ReopenPlan
    ) -> upstream.ChatStream | core.Refusal:
        self.plans.append(plan)
        opened: upstream.ChatStream | core.Refusal = self._bench.chat.open_chat(
            self._bench.chat_request(
                self.first if plan.resume else self._second,
                version="2026-02" if plan.resume else self.second_version,
                resume_from=plan.resume_from,
                checker=plan.checker,
            )
        )
        return opened


class Pair:
    """Two engines and a stream from the first of them."""

    def __init__(self, bench: Any, set_faults: _SetFaults) -> None:
        self.bench = bench
        serves = (("cedro", "2026-02"), ("cedro", "2026-03"))
        self.first = bench.start(serves=serves).address
        self.second = bench.start(serves=serves).address
        self.reopener = Reopener(bench, self.first, self.second)
        self.set_faults = set_faults
        stream = bench.chat.open_chat(bench.chat_request(self.first))
        assert isinstance(stream, upstream.ChatStream)
        self.expected = b"".join(stream) + stream.outcome.tail
        bench.new_request()

    def stream(self, max_reopens: int = 2) -> upstream.ResumingStream:
        """Opens a stream at the first engine."""
        first = self.bench.chat.open_chat(self.bench.chat_request(self.first))
        assert isinstance(first, upstream.ChatStream)
        return upstream.ResumingStream(first, self.reopener, max_reopens)

    def same_answer(self, received: bytes) -> bool:
        """Compares answers without ids and times, which differ by request."""
        return _contents(received) == _contents(self.expected)


def _contents(events: bytes) -> list[bytes]:
    return [
        line.partition(b'"choices"')[2] or line for line in events.split(b"\n")
    ]


@pytest.fixture
def pair(bench: Any, set_faults: _SetFaults) -> Pair:
    return Pair(bench, set_faults)


@pytest.mark.parametrize("cut_after", [1, 5, 9, 10, 11])
def test_resumes_on_the_same_upstream(pair: Pair, cut_after: int) -> None:
    """Guards against lost or repeated chunks after a cut."""
    pair.set_faults(pair.first, cut_after=cut_after, times=1)
    stream = pair.stream()
    received = b"".join(stream)
    assert stream.outcome.complete, stream.outcome.refusal
    assert pair.same_answer(received + stream.outcome.tail)
    assert [plan.resume for plan in pair.reopener.plans] == [True]
    assert pair.reopener.plans[0].resume_from == cut_after
    assert stream.outcome.tokens_out == 8


@pytest.mark.parametrize(
    "faults",
    [{"duplicate_at": 5}, {"drop_at": 5}, {"garble_at": 5}, {"cut_after": 0}],
    ids=lambda faults: next(iter(faults)),
)
def test_runs_again_elsewhere_after_a_fault(
    pair: Pair, faults: dict[str, Any]
) -> None:
    """Guards against chunks that the caller gets twice from two runs."""
    pair.set_faults(pair.first, **faults)
    stream = pair.stream()
    received = b"".join(stream)
    assert stream.outcome.complete, stream.outcome.refusal
    assert pair.same_answer(received + stream.outcome.tail)
    assert [plan.resume for plan in pair.reopener.plans] == [False]


def test_runs_again_elsewhere_when_the_first_refuses_to_resume(
    pair: Pair,
) -> None:
    """Guards against giving up when the engine has lost the stream."""
    pair.set_faults(pair.first, cut_after=4)
    # Stands for the first engine after a restart: it knows no stream.
    pair.reopener.first = pair.second
    stream = pair.stream()
    received = b"".join(stream)
    assert stream.outcome.complete, stream.outcome.refusal
    assert pair.same_answer(received + stream.outcome.tail)
    assert [plan.resume for plan in pair.reopener.plans] == [True, False]


def test_differing_second_run_is_refused(pair: Pair) -> None:
    """Guards against an answer put together from two different ones."""
    pair.set_faults(pair.first, garble_at=7)
    pair.reopener.second_version = "2026-03"
    stream = pair.stream()
    list(stream)
    refusal = stream.outcome.refusal
    assert isinstance(refusal, core.Refusal)
    assert refusal.kind is core.ErrorKind.ANSWER_INCOMPLETE
    assert "differs" in refusal.reason


def test_attempts_are_bounded(pair: Pair) -> None:
    """Guards against endless attempts at a faulty pair of engines."""
    pair.set_faults(pair.first, cut_after=1)
    pair.set_faults(pair.second, cut_after=1)
    stream = pair.stream(max_reopens=3)
    list(stream)
    assert isinstance(stream.outcome.refusal, core.Refusal)
    assert len(pair.reopener.plans) == 3


def test_upstream_that_adds_nothing_is_left(pair: Pair) -> None:
    """Guards against all attempts going to an engine that cannot resume."""
    pair.set_faults(pair.first, cut_after=5)
    stream = pair.stream()
    next(stream)
    pair.set_faults(pair.first, cut_after=0)
    received = list(stream)
    assert stream.outcome.complete, stream.outcome.refusal
    assert [plan.resume for plan in pair.reopener.plans] == [True, False]
    assert received


@pytest.mark.parametrize(
    "faults",
    [{}, {"cut_after": 5, "times": 1}, {"garble_at": 5}, {"cut_after": 0}],
    ids=["none", "cut", "garbled", "cut at once"],
)
@pytest.mark.parametrize("held_back", [False, True])
def test_forwarded_blocks_are_the_iterated_ones(
    pair: Pair, faults: dict[str, Any], held_back: bool
) -> None:
    """Guards against bytes lost between the loop and the stream's thread."""
    pair.set_faults(pair.first, **faults)
    stream = pair.stream()
    received: list[bytes] = []

    def write(block: bytes) -> bool:
        received.append(block)
        return not held_back

    # A reader that takes one block at a time gets every other one itself.
    while not stream.forward(write):
        received.append(next(stream, b""))
    assert stream.outcome.complete, stream.outcome.refusal
    assert pair.same_answer(b"".join(received) + stream.outcome.tail)


def test_slow_reader_holds_the_engine_back(bench: Any) -> None:
    """Guards against an answer that fills the memory of the entry."""
    engine = bench.start(tokens=9_000, tokens_per_s=1e6, first_token_ms=0.0)
    stream = bench.chat.open_chat(bench.chat_request(engine.address))
    assert isinstance(stream, upstream.ChatStream)
    assert not stream.forward(lambda block: False)
    # About 1.5 MB follow; far less than that may wait here.
    for _ in range(100):
        if bench.pool.stream_loop().held_back == 1:
            break
        time.sleep(0.05)
    assert bench.pool.stream_loop().held_back == 1
    list(stream)
    assert stream.outcome.complete, stream.outcome.refusal
    assert stream.outcome.tokens_out == 9_000


def test_stopped_pool_ends_streams(bench: Any) -> None:
    """Guards against threads that wait for ever when an entry stops."""
    engine = bench.start(tokens=10_000, tokens_per_s=50.0)
    stream = bench.chat.open_chat(bench.chat_request(engine.address))
    assert isinstance(stream, upstream.ChatStream)
    bench.pool.close()
    list(stream)
    refusal = stream.outcome.refusal
    assert isinstance(refusal, core.Refusal)
    assert refusal.kind is core.ErrorKind.CALLER_GONE


def test_failing_write_ends_only_its_own_stream(bench: Any) -> None:
    """Guards against one broken caller stopping the other streams."""
    engine = bench.start(tokens=200, tokens_per_s=400.0)
    opened = [
        bench.chat.open_chat(bench.chat_request(engine.address))
        for _ in range(2)
    ]

    def fail(block: bytes) -> bool:
        raise BrokenPipeError

    assert opened[0].forward(fail)
    assert opened[0].outcome.refusal.kind is core.ErrorKind.CALLER_GONE
    assert opened[1].forward(lambda block: True)
    assert opened[1].outcome.complete
