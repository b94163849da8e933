"""Strikes for contents that were in flight on lost upstreams."""

import functools
import threading
from collections.abc import Mapping, Sequence

import mulberry_core as core
from mulberry_decisions import _crashes, _upstreams, _work

#: Upstreams that one content may take down.
MAX_STRIKES = 2
#: Seconds after which a content that waits for a place should come again.
_RETRY_AFTER_S = 1.0
#: Time for which contents keep their places if there are more contents with
#: a strike than upstreams, seconds. Some never come again and would hold a
#: place for ever.
_ROTATION_S = 5.0

#: Time for which a cleared content still counts when places are computed,
#: seconds. If its place went to another content at once, that one could meet
#: the run of a third, which would then get its second strike.
_CLEARED_RETENTION_S = 120.0

_UpstreamKey = tuple[str, int]


class StrikeGuard(_crashes.CrashGuard):
    """Blocks a content after two strikes; one strike confines it.

    A content with a strike may run on one upstream only, which every entry
    computes alike from the recorded strikes. So copies at several entries
    meet on the same upstream, and two contents with strikes never do: the
    one that crashes cannot give the other its second strike. Copies of a
    content without strikes stay on two upstreams at most per entry.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._strikes: dict[str, int] = {}
        #: Contents whose strikes were cleared, with the time.
        self._cleared_at_s: dict[str, float] = {}
        #: Runs in flight: number by content, by upstream and incarnation.
        self._running: dict[_UpstreamKey, dict[str, int]] = {}

    def filter(
        self,
        work: _work.Work,
        candidates: Sequence[_upstreams.UpstreamState],
    ) -> tuple[_upstreams.UpstreamState, ...] | core.Refusal:
        """Returns the candidates on which the work may run."""
        with self._lock:
            strikes = self._strikes.get(work.content, 0)
            if strikes >= MAX_STRIKES:
                return core.Refusal(
                    core.ErrorKind.CONTENT_BLOCKED,
                    core.RunState.NOT_RUN,
                    f"this content was running when {strikes} upstreams "
                    "were lost",
                )
            if strikes:
                names = {self._assigned_upstream(work.content, candidates)}
            else:
                names = self._upstreams_without_strike(work.content, candidates)
            usable = tuple(
                state
                for state in candidates
                if state.name in names and self._may_start(work, state)
            )
        if candidates and not usable:
            return _no_free_upstream(work)
        return usable

    def started(
        self, work: _work.Work, upstream: _upstreams.UpstreamState
    ) -> bool:
        """Counts the run unless it may no longer start there."""
        with self._lock:
            if not self._may_start(work, upstream):
                return False
            key = (upstream.name, upstream.incarnation)
            contents = self._running.setdefault(key, {})
            contents[work.content] = contents.get(work.content, 0) + 1
            return True

    def finished(
        self,
        work: _work.Work,
        upstream: _upstreams.UpstreamState,
        outcome: _work.Outcome,
    ) -> tuple[str, ...]:
        """Takes the run off; a complete answer clears the strikes."""
        with self._lock:
            key = (upstream.name, upstream.incarnation)
            contents = self._running.get(key, {})
            if work.content not in contents:
                return ()
            contents[work.content] -= 1
            if not contents[work.content]:
                del contents[work.content]
            if not contents:
                del self._running[key]
            clears_strikes = (
                outcome is _work.Outcome.COMPLETED
                and work.content in self._strikes
            )
        return (work.content,) if clears_strikes else ()

    def upstream_lost(
        self, upstream: str, incarnation: int
    ) -> _crashes.CrashReport | core.Missing:
        """Returns the contents that were in flight on it."""
        with self._lock:
            contents = self._running.pop((upstream, incarnation), {})
            if not contents:
                return core.Missing.UNSET
            for digest in contents:
                # Counted here at once; the recorded strikes replace it.
                self._strikes[digest] = self._strikes.get(digest, 0) + 1
        return _crashes.CrashReport(
            upstream, incarnation, tuple(sorted(contents))
        )

    def strikes_changed(self, strikes_by_digest: Mapping[str, int]) -> None:
        """Replaces the strikes by the recorded ones."""
        with self._lock:
            now_s = self._clock.now()
            new = {
                digest: count
                for digest, count in strikes_by_digest.items()
                if count > 0
            }
            for digest, count in self._strikes.items():
                if digest not in new and count < MAX_STRIKES:
                    self._cleared_at_s[digest] = now_s
            self._cleared_at_s = {
                digest: at_s
                for digest, at_s in self._cleared_at_s.items()
                if now_s - at_s < _CLEARED_RETENTION_S and digest not in new
            }
            self._strikes = new

    def _may_start(
        self, work: _work.Work, upstream: _upstreams.UpstreamState
    ) -> bool:
        """Whether no other content with strikes runs on the upstream."""
        strikes = self._strikes.get(work.content, 0)
        if strikes >= MAX_STRIKES:
            return False
        key = (upstream.name, upstream.incarnation)
        return not strikes or not any(
            other != work.content and other in self._strikes
            for other in self._running.get(key, ())
        )

    def _upstreams_without_strike(
        self, content: str, candidates: Sequence[_upstreams.UpstreamState]
    ) -> set[str]:
        """All candidates, or those that run copies if they are enough."""
        running = {
            name
            for (name, _), contents in self._running.items()
            if content in contents
        }
        names = {state.name for state in candidates}
        return running & names if len(running) >= MAX_STRIKES else names

    def _assigned_upstream(
        self, content: str, candidates: Sequence[_upstreams.UpstreamState]
    ) -> str:
        """Returns the one upstream for a content with a strike, or an empty name.

        The contents with a strike take their places in the order of their
        digests; each takes the free upstream that ranks highest for it.
        """
        free = {state.name for state in candidates}
        for digest in self._assignment_order(len(free)):
            if not free:
                break
            best = max(free, key=functools.partial(_rank, digest))
            if digest == content:
                return best
            free.discard(best)
        return ""

    def _assignment_order(self, upstream_count: int) -> list[str]:
        """Returns the contents with one strike in the order of choice."""
        digests = sorted(
            digest
            for digest, count in self._strikes.items()
            if count < MAX_STRIKES
        )
        oldest_s = self._clock.now() - _CLEARED_RETENTION_S
        cleared = [
            digest
            for digest, at_s in self._cleared_at_s.items()
            if at_s > oldest_s
        ]
        if len(digests) + len(cleared) <= upstream_count:
            return sorted(digests + cleared)
        if len(digests) > upstream_count:
            rotation = str(int(self._clock.wall() / _ROTATION_S))
            digests.sort(key=functools.partial(_rank, rotation))
        return digests


def _rank(digest: str, upstream: str) -> int:
    """Highest-random-weight hashing: few places move when one is lost."""
    return core.ring_position(f"{digest}\x00{upstream}")


def _no_free_upstream(work: _work.Work) -> core.Refusal:
    return core.Refusal(
        core.ErrorKind.NO_UPSTREAM,
        core.RunState.NOT_RUN,
        f"work of kind {work.kind} was running when an upstream was lost "
        "and waits for a place apart from other such work",
        retry_after_s=_RETRY_AFTER_S,
    )
