"""Tests of streams that go on after a cut."""

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


@pytest.mark.parametrize("cut_after", [0, 1, 5, 9, 10, 11])
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
    [{"duplicate_at": 5}, {"drop_at": 5}, {"garble_at": 5}],
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
