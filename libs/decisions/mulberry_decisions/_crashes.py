"""Protection against requests that crash upstreams: interface and baseline."""

import abc
import dataclasses
import types
from collections.abc import Mapping, Sequence

import mulberry_core as core
from mulberry_decisions import _upstreams, _work

#: No crashes are known by their ids.
NO_CRASHES: Mapping[str, Mapping[str, float]] = types.MappingProxyType({})


@dataclasses.dataclass(frozen=True)
class CrashReport:
    """What was in flight on a lost upstream, to be recorded."""

    upstream: str
    incarnation: int
    #: Digests of contents and of parts of their prompts, sorted, without
    #: duplicates.
    digests: tuple[str, ...]


class CrashGuard(abc.ABC):
    """Prevents requests from crashing upstream after upstream.

    An entry records a `CrashReport` before it retries any of the work or
    answers its callers; otherwise the work could be sent again before the
    strike is recorded.
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
            work has to wait for an upstream of its own, `NO_UPSTREAM`.
        """

    @abc.abstractmethod
    def started(
        self, work: _work.Work, upstream: _upstreams.UpstreamState
    ) -> bool:
        """Called before the request is sent.

        Returns:
            False if the request may not be sent, because another thread has
            just started one on the upstream; the caller chooses again.
        """

    @abc.abstractmethod
    def finished(
        self,
        work: _work.Work,
        upstream: _upstreams.UpstreamState,
        outcome: _work.Outcome,
    ) -> tuple[str, ...]:
        """Called when a run ends other than by the loss of the upstream.

        Returns:
            Digests whose strikes are to be cleared.
        """

    @abc.abstractmethod
    def upstream_lost(
        self, upstream: str, incarnation: int
    ) -> CrashReport | core.Missing:
        """Called when an upstream is lost; returns unset if nothing ran on it.

        Ends all runs on it; later `finished` calls have no effect.
        """

    @abc.abstractmethod
    def strikes_changed(
        self,
        strikes_by_digest: Mapping[str, int],
        crashes_by_digest: Mapping[str, Mapping[str, float]] = NO_CRASHES,
    ) -> None:
        """Called with the recorded strikes of all entries.

        Args:
            strikes_by_digest: Number of crashes.
            crashes_by_digest: Unix time of each of these crashes, by its id,
                seconds; empty where they are not known.
        """


class NoCrashGuard(CrashGuard):
    """Allows every content on every upstream."""

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

    def strikes_changed(
        self,
        strikes_by_digest: Mapping[str, int],
        crashes_by_digest: Mapping[str, Mapping[str, float]] = NO_CRASHES,
    ) -> None:
        """Ignores the strikes."""
