"""Protection from requests that crash upstreams: interface and baseline."""

import abc
import dataclasses
from collections.abc import Mapping, Sequence

import mulberry_core as core
from mulberry_decisions import _upstreams, _work


@dataclasses.dataclass(frozen=True)
class CrashReport:
    """Contents that were in flight on a lost upstream, to be recorded."""

    upstream: str
    incarnation: int
    #: Sorted, without repeats.
    digests: tuple[str, ...]


class CrashGuard(abc.ABC):
    """Keeps one content from taking down upstream after upstream.

    An entry records a `CrashReport` before it retries any of the work or
    answers its callers; otherwise a resend could overtake the strike.
    """

    @abc.abstractmethod
    def filter(
        self,
        work: _work.Work,
        candidates: Sequence[_upstreams.UpstreamState],
    ) -> tuple[_upstreams.UpstreamState, ...] | core.Refusal:
        """Returns the candidates on which the work may run.

        Returns:
            Candidates, or a refusal of kind `CONTENT_BLOCKED` or, if the
            work has to wait for a suspect place, `NO_UPSTREAM`.
        """

    @abc.abstractmethod
    def started(
        self, work: _work.Work, upstream: _upstreams.UpstreamState
    ) -> bool:
        """Tells that the request is about to be sent.

        Returns:
            False if it may not be sent after all, because another thread
            has just taken the place; the caller chooses again.
        """

    @abc.abstractmethod
    def finished(
        self,
        work: _work.Work,
        upstream: _upstreams.UpstreamState,
        outcome: _work.Outcome,
    ) -> tuple[str, ...]:
        """Tells that the run ended other than by the loss of the upstream.

        Returns:
            Contents whose strikes are to be cleared.
        """

    @abc.abstractmethod
    def upstream_lost(
        self, upstream: str, incarnation: int
    ) -> CrashReport | core.Missing:
        """Tells that an upstream was lost; unset if nothing ran on it.

        Ends all runs on it; `finished` calls that follow change nothing.
        """

    @abc.abstractmethod
    def strikes_changed(self, strikes_by_digest: Mapping[str, int]) -> None:
        """Takes the recorded strikes of all entries."""


class NoCrashGuard(CrashGuard):
    """Runs everything everywhere."""

    def filter(
        self,
        work: _work.Work,
        candidates: Sequence[_upstreams.UpstreamState],
    ) -> tuple[_upstreams.UpstreamState, ...] | core.Refusal:
        """Returns all candidates."""
        return tuple(candidates)

    def started(
        self, work: _work.Work, upstream: _upstreams.UpstreamState
    ) -> bool:
        """Allows the send."""
        return True

    def finished(
        self,
        work: _work.Work,
        upstream: _upstreams.UpstreamState,
        outcome: _work.Outcome,
    ) -> tuple[str, ...]:
        """Clears nothing."""
        return ()

    def upstream_lost(
        self, upstream: str, incarnation: int
    ) -> CrashReport | core.Missing:
        """Reports nothing."""
        return core.Missing.UNSET

    def strikes_changed(self, strikes_by_digest: Mapping[str, int]) -> None:
        """Ignores the strikes."""
