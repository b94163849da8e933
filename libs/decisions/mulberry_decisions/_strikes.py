"""Crash guard that counts strikes against request contents."""

import functools
import threading
from collections.abc import Mapping, Sequence

import mulberry_core as core
from mulberry_decisions import _crashes, _part_guard, _upstreams, _work

#: Upstream losses after which a content is blocked.
MAX_STRIKES = 2
#: Retry delay for a content without a free upstream, seconds.
_RETRY_AFTER_S = 1.0
#: Time between reassignments if more contents have a strike than there are
#: upstreams, seconds. Contents that are never sent again would otherwise keep
#: an upstream reserved for ever.
_ROTATION_S = 5.0

#: Time for which a cleared content still counts in the assignment, seconds. If
#: its upstream were reassigned at once, the next content could run there
#: beside a third one, which a crash would then give its second strike.
_CLEARED_RETENTION_S = 120.0

_UpstreamKey = tuple[str, int]


class StrikeGuard(_crashes.CrashGuard):
    """Confines a content after one strike and blocks it after two.

    A content gets a strike when an upstream is lost that was running it. With
    one strike it may run on a single upstream, which all entries compute from
    the recorded strikes with the same result. Copies at several entries
    therefore run on the same upstream, while two contents with strikes run on
    different ones, so that the one that crashes its upstream cannot cause the
    second strike of the other. Copies of a content without strikes run on at
    most two upstreams per entry.

    Different contents may crash upstreams by a part of their prompts that they
    share. Such a part is blocked for a time, and the crashes that it has caused
    count against no content.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._parts = _part_guard.PartGuard(clock)
        self._strikes: dict[str, int] = {}
        #: Time at which the strikes of a content were cleared.
        self._cleared_at_s: dict[str, float] = {}
        #: Number of runs in flight by upstream incarnation and content.
        self._running: dict[_UpstreamKey, dict[str, int]] = {}

    def filter(
        self,
        work: _work.Work,
        candidates: Sequence[_upstreams.UpstreamState],
    ) -> tuple[_upstreams.UpstreamState, ...] | core.Refusal:
        """Returns the candidates on which the work may run."""
        self._parts.request_arrived(work)
        block = self._parts.find_block(work)
        if isinstance(block, _part_guard.PartBlock):
            return core.Refusal(
                core.ErrorKind.CONTENT_BLOCKED,
                core.RunState.NOT_RUN,
                f"upstreams were lost while running part {block.position} of "
                "this prompt",
                retry_after_s=block.remaining_s,
            )
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
        """Counts the run unless it may no longer start on the upstream."""
        with self._lock:
            if not self._may_start(work, upstream) or not self._parts.started(
                work, upstream
            ):
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
        """Counts the end of the run; a complete answer clears the strikes."""
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
        cleared_parts = self._parts.finished(work, upstream, outcome)
        return (*((work.content,) if clears_strikes else ()), *cleared_parts)

    def upstream_lost(
        self, upstream: str, incarnation: int
    ) -> _crashes.CrashReport | core.Missing:
        """Returns what was in flight on the upstream."""
        with self._lock:
            contents = self._running.pop((upstream, incarnation), {})
            parts = self._parts.upstream_lost(upstream, incarnation)
            if not contents:
                return core.Missing.UNSET
            for digest in contents:
                # Takes effect here at once, until the recorded strikes arrive.
                self._strikes[digest] = self._strikes.get(digest, 0) + 1
        return _crashes.CrashReport(
            upstream, incarnation, tuple(sorted((*contents, *parts)))
        )

    def strikes_changed(
        self,
        strikes_by_digest: Mapping[str, int],
        crashes_by_digest: Mapping[
            str, Mapping[str, float]
        ] = _crashes.NO_CRASHES,
    ) -> None:
        """Replaces the strikes with the recorded ones."""
        with self._lock:
            now_s = self._clock.now()
            explained = self._parts.crashes_changed(crashes_by_digest)
            new = {}
            for digest, recorded in strikes_by_digest.items():
                crashes = crashes_by_digest.get(digest, ())
                count = recorded - len(explained.intersection(crashes))
                if count > 0 and not _part_guard.is_part(digest):
                    new[digest] = count
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
        """Whether the content may start on the upstream.

        A content with a strike may not run beside another one.
        """
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
        """Returns the allowed upstreams of a content without strikes.

        Once copies run on `MAX_STRIKES` upstreams, only these are allowed.
        """
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
        """Returns the upstream of a content with a strike, empty for none.

        The contents with a strike choose in a fixed order; each gets the free
        upstream with the highest rendezvous hash.
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
        """Returns the contents with one strike in the order of assignment."""
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
    """Rendezvous hash: few contents move when an upstream is lost."""
    return core.ring_position(f"{digest}\x00{upstream}")


def _no_free_upstream(work: _work.Work) -> core.Refusal:
    return core.Refusal(
        core.ErrorKind.NO_UPSTREAM,
        core.RunState.NOT_RUN,
        f"work of kind {work.kind} was running when an upstream was lost "
        "and waits for an upstream without other such work",
        retry_after_s=_RETRY_AFTER_S,
    )
