"""Tests of streams that are resumed or rerun, and of `forward`."""

import time
from collections.abc import Callable
from typing import Any

import pytest

import mulberry_core as core
import mulberry_upstream as upstream

_SetFaults = Callable[..., None]


class ReopenStub:
    """Resumes on the first engine and reruns on the second."""

    def __init__(self, harness: Any, first: str, second: str) -> None:
        self._harness = harness
        self.first = first
        self._second = second
        self.second_version = "2026-02"
        self.plans: list[upstream.ReopenPlan] = []

    def __call__(
        self, plan: upstream.ReopenPlan
    ) -> upstream.ChatStream | core.Refusal:
        self.plans.append(plan)
        opened: upstream.ChatStream | core.Refusal = (
            self._harness.chat.open_chat(
                self._harness.chat_request(
                    self.first if plan.resume else self._second,
                    version="2026-02" if plan.resume else self.second_version,
                    resume_from=plan.resume_from,
                    checker=plan.checker,
                )
            )
        )
        return opened


class EnginePair:
    """Two engines, and the expected answer of the first."""

    def __init__(self, harness: Any, set_faults: _SetFaults) -> None:
        self.harness = harness
        serves = (("cedro", "2026-02"), ("cedro", "2026-03"))
        self.first = harness.start(serves=serves).address
        self.second = harness.start(serves=serves).address
        self.reopen = ReopenStub(harness, self.first, self.second)
        self.set_faults = set_faults
        stream = harness.chat.open_chat(harness.chat_request(self.first))
        assert isinstance(stream, upstream.ChatStream)
        self.expected = b"".join(stream) + stream.outcome.tail
        harness.new_request()

    def stream(self, max_reopens: int = 2) -> upstream.ResumingStream:
        """Opens a stream on the first engine."""
        first = self.harness.chat.open_chat(
            self.harness.chat_request(self.first)
        )
        assert isinstance(first, upstream.ChatStream)
        return upstream.ResumingStream(first, self.reopen, max_reopens)

    def same_answer(self, received: bytes) -> bool:
        """Compares answers except for ids and times, which always differ."""
        return _strip_ids(received) == _strip_ids(self.expected)


def _strip_ids(events: bytes) -> list[bytes]:
    return [
        line.partition(b'"choices"')[2] or line for line in events.split(b"\n")
    ]


@pytest.fixture
def engines(harness: Any, set_faults: _SetFaults) -> EnginePair:
    return EnginePair(harness, set_faults)


@pytest.mark.parametrize("cut_after", [1, 5, 9, 10, 11])
def test_resumes_on_the_same_upstream_after_a_cut(
    engines: EnginePair, cut_after: int
) -> None:
    """Guards against lost or repeated chunks after a lost connection."""
    engines.set_faults(engines.first, cut_after=cut_after, times=1)
    stream = engines.stream()
    received = b"".join(stream)
    assert stream.outcome.complete, stream.outcome.refusal
    assert engines.same_answer(received + stream.outcome.tail)
    assert [plan.resume for plan in engines.reopen.plans] == [True]
    assert engines.reopen.plans[0].resume_from == cut_after
    assert stream.outcome.tokens_out == 8


@pytest.mark.parametrize(
    "faults",
    [{"duplicate_at": 5}, {"drop_at": 5}, {"garble_at": 5}, {"cut_after": 0}],
    ids=lambda faults: next(iter(faults)),
)
def test_reruns_on_another_upstream_after_a_fault(
    engines: EnginePair, faults: dict[str, Any]
) -> None:
    """Guards against forwarding a chunk of both runs."""
    engines.set_faults(engines.first, **faults)
    stream = engines.stream()
    received = b"".join(stream)
    assert stream.outcome.complete, stream.outcome.refusal
    assert engines.same_answer(received + stream.outcome.tail)
    assert [plan.resume for plan in engines.reopen.plans] == [False]


def test_reruns_when_the_upstream_cannot_resume(
    engines: EnginePair,
) -> None:
    """Guards against failing when the engine cannot resume the stream."""
    engines.set_faults(engines.first, cut_after=4)
    # Simulates a restart of the first engine, which loses its streams.
    engines.reopen.first = engines.second
    stream = engines.stream()
    received = b"".join(stream)
    assert stream.outcome.complete, stream.outcome.refusal
    assert engines.same_answer(received + stream.outcome.tail)
    assert [plan.resume for plan in engines.reopen.plans] == [True, False]


def test_rerun_with_other_chunks_is_refused(engines: EnginePair) -> None:
    """Guards against an answer composed of two different runs."""
    engines.set_faults(engines.first, garble_at=7)
    engines.reopen.second_version = "2026-03"
    stream = engines.stream()
    list(stream)
    refusal = stream.outcome.refusal
    assert isinstance(refusal, core.Refusal)
    assert refusal.kind is core.ErrorKind.ANSWER_INCOMPLETE
    assert "differs" in refusal.reason


def test_attempts_are_bounded(engines: EnginePair) -> None:
    """Guards against unlimited attempts if both engines are faulty."""
    engines.set_faults(engines.first, cut_after=1)
    engines.set_faults(engines.second, cut_after=1)
    stream = engines.stream(max_reopens=3)
    list(stream)
    assert isinstance(stream.outcome.refusal, core.Refusal)
    assert len(engines.reopen.plans) == 3


def test_resume_without_progress_switches_upstream(engines: EnginePair) -> None:
    """Guards against spending all attempts on an engine that cannot resume."""
    engines.set_faults(engines.first, cut_after=5)
    stream = engines.stream()
    next(stream)
    engines.set_faults(engines.first, cut_after=0)
    received = list(stream)
    assert stream.outcome.complete, stream.outcome.refusal
    assert [plan.resume for plan in engines.reopen.plans] == [True, False]
    assert received


@pytest.mark.parametrize(
    "faults",
    [{}, {"cut_after": 5, "times": 1}, {"garble_at": 5}, {"cut_after": 0}],
    ids=["none", "cut", "malformed", "cut before the first chunk"],
)
@pytest.mark.parametrize("slow_reader", [False, True])
def test_forward_and_iteration_deliver_the_same_bytes(
    engines: EnginePair, faults: dict[str, Any], slow_reader: bool
) -> None:
    """Guards against bytes lost between the loop and the reading thread."""
    engines.set_faults(engines.first, **faults)
    stream = engines.stream()
    received: list[bytes] = []

    def write(block: bytes) -> bool:
        received.append(block)
        return not slow_reader

    # A slow reader alternates between `forward` and iteration.
    while not stream.forward(write):
        received.append(next(stream, b""))
    assert stream.outcome.complete, stream.outcome.refusal
    assert engines.same_answer(b"".join(received) + stream.outcome.tail)


def test_slow_reader_pauses_the_upstream(harness: Any) -> None:
    """Guards against unlimited buffering for a slow reader."""
    engine = harness.start(tokens=9_000, tokens_per_s=1e6, first_token_ms=0.0)
    stream = harness.chat.open_chat(harness.chat_request(engine.address))
    assert isinstance(stream, upstream.ChatStream)
    assert not stream.forward(lambda block: False)
    # About 1.5 MB follow, far more than may be buffered.
    for _ in range(100):
        if harness.pool.stream_loop().paused_streams == 1:
            break
        time.sleep(0.05)
    assert harness.pool.stream_loop().paused_streams == 1
    list(stream)
    assert stream.outcome.complete, stream.outcome.refusal
    assert stream.outcome.tokens_out == 9_000


def test_stopped_pool_ends_streams(harness: Any) -> None:
    """Guards against threads that wait forever when an entry stops."""
    engine = harness.start(tokens=10_000, tokens_per_s=50.0)
    stream = harness.chat.open_chat(harness.chat_request(engine.address))
    assert isinstance(stream, upstream.ChatStream)
    harness.pool.close()
    list(stream)
    refusal = stream.outcome.refusal
    assert isinstance(refusal, core.Refusal)
    assert refusal.kind is core.ErrorKind.CALLER_GONE


def test_failing_write_ends_only_its_own_stream(harness: Any) -> None:
    """Guards against one failed caller ending the streams of others."""
    engine = harness.start(tokens=200, tokens_per_s=400.0)
    opened = [
        harness.chat.open_chat(harness.chat_request(engine.address))
        for _ in range(2)
    ]

    def fail(block: bytes) -> bool:
        raise BrokenPipeError

    assert opened[0].forward(fail)
    assert opened[0].outcome.refusal.kind is core.ErrorKind.CALLER_GONE
    assert opened[1].forward(lambda block: True)
    assert opened[1].outcome.complete
