"""Continues a streamed answer after its connection or upstream failed."""

import dataclasses
from collections.abc import Callable

import mulberry_core as core
from mulberry_upstream import _adapter, _checker


@dataclasses.dataclass(frozen=True)
class ReopenPlan:
    """How the next attempt continues a stream."""

    #: True to resume on the same upstream, false to rerun on another.
    resume: bool
    #: Value for `ChatRequest.resume_from`.
    resume_from: int
    #: Value for `ChatRequest.checker`.
    checker: _checker.AnswerChecker
    #: Refusal that ended the previous attempt.
    cause: core.Refusal


#: Chooses an upstream, gets a new permit from the gate and sends.
Reopen = Callable[[ReopenPlan], "_adapter.ChatStream | core.Refusal"]


class ResumingStream(_adapter.ChatStream):
    """A stream that is resumed or rerun when an attempt fails.

    After a lost connection it first resumes on the same upstream. If that
    fails, or if the answer was invalid, it reruns the request on another
    upstream, verifies that the run repeats the chunks already forwarded, and
    drops those.
    """

    def __init__(
        self,
        first: _adapter.ChatStream,
        reopen: Reopen,
        max_reopens: int = 2,
    ) -> None:
        self._stream = first
        self._reopen = reopen
        self._reopens_left = max_reopens
        #: Number of accepted chunks when the current attempt began.
        self._chunks_at_start = 0
        self._canceled = False
        self._outcome: _adapter.ChatOutcome | None = None

    @property
    def checker(self) -> _checker.AnswerChecker:
        """See `ChatStream`."""
        return self._stream.checker

    @property
    def outcome(self) -> _adapter.ChatOutcome:
        """See `ChatStream`."""
        if self._canceled and self._outcome is None:
            return self._stream.outcome
        if self._outcome is None:
            raise RuntimeError("the stream has not ended")
        return self._outcome

    def cancel(self) -> None:
        """See `ChatStream`."""
        self._canceled = True
        self._stream.cancel()

    def __next__(self) -> bytes:
        """See `ChatStream`."""
        while self._outcome is None:
            block = next(self._stream, b"")
            if block:
                return block
            if not self._open_next_attempt():
                self._outcome = self._stream.outcome
        raise StopIteration

    def forward(self, write: Callable[[bytes], bool]) -> bool:
        """See `ChatStream`."""
        while self._outcome is None:
            if not self._stream.forward(write):
                return False
            if not self._open_next_attempt():
                self._outcome = self._stream.outcome
        return True

    def _open_next_attempt(self) -> bool:
        """Opens the next attempt; false if none is left or possible."""
        outcome = self._stream.outcome
        recovery = outcome.recovery
        if self._stream.checker.chunks == self._chunks_at_start:
            # An attempt without progress is not resumed on the same upstream.
            recovery = _without_resume(recovery)
        cause = outcome.refusal
        while (
            recovery is not _adapter.Recovery.NONE
            and isinstance(cause, core.Refusal)
            and self._reopens_left > 0
            and not self._canceled
        ):
            self._reopens_left -= 1
            opened = self._reopen(self._plan_attempt(recovery, cause))
            if not isinstance(opened, core.Refusal):
                self._stream = opened
                return True
            if (
                recovery is _adapter.Recovery.RESUME
                and opened.kind is core.ErrorKind.NO_UPSTREAM
            ):
                # Nothing was sent, as the upstream takes no new work. Whether
                # to rerun depends on why the stream ended.
                self._reopens_left += 1
            else:
                cause = opened
            recovery = _adapter.Recovery.RERUN
        return False

    def _plan_attempt(
        self, recovery: _adapter.Recovery, cause: core.Refusal
    ) -> ReopenPlan:
        checker = self._stream.checker
        if recovery is _adapter.Recovery.RESUME:
            self._chunks_at_start = checker.chunks
            return ReopenPlan(True, checker.chunks, checker, cause)
        self._chunks_at_start = 0
        return ReopenPlan(False, 0, checker.for_rerun(), cause)


def _without_resume(recovery: _adapter.Recovery) -> _adapter.Recovery:
    if recovery is _adapter.Recovery.RESUME:
        return _adapter.Recovery.RERUN
    return recovery
