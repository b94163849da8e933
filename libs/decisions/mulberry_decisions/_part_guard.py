"""Blocks prompt parts that crash upstreams, by the crashes of all entries."""

import collections
import dataclasses
import random
import re
import threading
from collections.abc import Mapping

import mulberry_core as core
from mulberry_decisions import (
    _crash_causes,
    _part_blocks,
    _sound_runs,
    _upstreams,
    _work,
)

#: Prefix of the digest under which crashes by trials of a part are recorded, in
#: addition to that of the part.
_TRIAL_PREFIX = "trial:"
#: Digest under which the crashes of a part are recorded, with the part's
#: position in the prompt.
_PART = re.compile(rf"({_TRIAL_PREFIX})?shared:([0-9]{{1,6}}):[0-9a-f]+")

#: Entries record the crash of an upstream within this time, each for its own
#: requests, seconds. A cause that was found meanwhile may be replaced.
_CRASH_SETTLES_S = 0.3
#: Each instance multiplies the block duration by a random factor from 1 to this
#: one, so that their trials do not come at the same time.
_MAX_JITTER = 2.0
#: Time after which callers may come back while a trial runs, seconds.
_TRIAL_RESULT_S = 2.0
#: A trial that runs for longer than this shows nothing, seconds.
_MAX_TRIAL_S = 10.0

_UpstreamKey = tuple[str, int]


@dataclasses.dataclass(frozen=True)
class _Trial:
    """A run that tests a block."""

    upstream: _UpstreamKey
    #: `Clock.now` at its start, seconds.
    began_s: float


@dataclasses.dataclass(frozen=True)
class PartBlock:
    """Why a request must not run, and for how long."""

    #: Position of the part in the prompt, from 1.
    position: int
    remaining_s: float


class PartGuard:
    """Blocks the prompt parts that are the cause of several crashes.

    Requests of which no two are alike may crash upstreams by a part that they
    share. All entries compute the causes from the same recorded crashes. When
    the time of a block is over, one request of an entry may run as a trial; a
    complete run with a part clears its crashes. Thread-safe.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._jitter = random.uniform(1.0, _MAX_JITTER)
        self._reach = _part_blocks.PartReach()
        self._sound_runs = _sound_runs.SoundRuns(clock)
        self._lock = threading.Lock()
        #: Unix time of the recorded crashes, by id, by digest, seconds.
        self._crashes_by_digest: Mapping[str, Mapping[str, float]] = {}
        #: `Clock.now` when a crash became known here, by crash id, seconds.
        self._seen_s_by_crash: dict[str, float] = {}
        #: `Clock.now` when a cause was found, by part, seconds.
        self._found_s_by_cause: dict[str, float] = {}
        #: Crashes that have one of the causes.
        self._explained: frozenset[str] = frozenset()
        self._trial_by_part: dict[str, _Trial] = {}
        #: Number of runs in flight by upstream incarnation and part.
        self._running: dict[_UpstreamKey, collections.Counter[str]] = {}

    def request_arrived(self, work: _work.Work) -> None:
        """Counts a request towards the reach of its parts."""
        if work.shared_parts:
            self._reach.add(work.kind, work.content, _parts(work))

    def find_block(self, work: _work.Work) -> PartBlock | core.Missing:
        """Returns why a request must not run now; unset if it may."""
        with self._lock:
            return self._find_block(work)

    def started(
        self, work: _work.Work, upstream: _upstreams.UpstreamState
    ) -> bool:
        """Counts a run, as a trial of the parts whose block has ended.

        Returns:
            False if the request may not be sent, because another thread has
            just started a trial.
        """
        key = (upstream.name, upstream.incarnation)
        with self._lock:
            if isinstance(self._find_block(work), PartBlock):
                return False
            trial = _Trial(key, self._clock.now())
            for part in _parts(work):
                if part in self._found_s_by_cause:
                    self._trial_by_part[part] = trial
            running = self._running.setdefault(key, collections.Counter())
            running.update(_parts(work))
        return True

    def finished(
        self,
        work: _work.Work,
        upstream: _upstreams.UpstreamState,
        outcome: _work.Outcome,
    ) -> tuple[str, ...]:
        """Counts the end of a run; returns the digests to be cleared."""
        key = (upstream.name, upstream.incarnation)
        with self._lock:
            running = self._running.pop(key, collections.Counter())
            running.subtract(_parts(work))
            if +running:
                self._running[key] = +running
            for part in _parts(work):
                trial = self._trial_by_part.get(part)
                if trial is not None and trial.upstream == key:
                    del self._trial_by_part[part]
            if outcome is not _work.Outcome.COMPLETED:
                return ()
            for part in _parts(work):
                self._sound_runs.add(part)
            return tuple(
                digest
                for part in _parts(work)
                for digest in (part, _TRIAL_PREFIX + part)
                if digest in self._crashes_by_digest
            )

    def upstream_lost(self, upstream: str, incarnation: int) -> tuple[str, ...]:
        """Ends all runs on an upstream; returns the digests to be recorded."""
        key = (upstream, incarnation)
        with self._lock:
            parts = self._running.pop(key, collections.Counter())
            trials = [
                part
                for part, trial in self._trial_by_part.items()
                if trial.upstream == key
            ]
            for part in trials:
                del self._trial_by_part[part]
            return (*parts, *(_TRIAL_PREFIX + part for part in trials))

    def crashes_changed(
        self, crashes_by_digest: Mapping[str, Mapping[str, float]]
    ) -> frozenset[str]:
        """Finds the causes anew from the recorded crashes of all entries.

        Args:
            crashes_by_digest: Unix time of each crash, by its id, seconds.

        Returns:
            The crashes that have one of the causes.
        """
        by_digest = {
            digest: crashes
            for digest, crashes in crashes_by_digest.items()
            if is_part(digest)
        }
        with self._lock:
            if by_digest != self._crashes_by_digest:
                self._crashes_by_digest = by_digest
                self._find_causes()
            return self._explained

    # Called with the lock held.

    def _find_causes(self) -> None:
        now_s = self._clock.now()
        self._seen_s_by_crash = {
            crash: self._seen_s_by_crash.get(crash, now_s)
            for crashes in self._crashes_by_digest.values()
            for crash in crashes
        }
        causes = _crash_causes.crash_causes(
            self._part_crashes(part, now_s)
            for part in self._crashes_by_digest
            if not part.startswith(_TRIAL_PREFIX)
        )
        self._found_s_by_cause = {
            part: self._found_s_by_cause.get(part, now_s) for part in causes
        }
        self._explained = frozenset[str]().union(*causes.values())

    def _part_crashes(
        self, part: str, now_s: float
    ) -> _crash_causes.PartCrashes:
        found = _PART.fullmatch(part)
        found_s = self._found_s_by_cause.get(part, now_s)
        return _crash_causes.PartCrashes(
            part,
            depth=int(found[2]) if found else 0,
            # A content is blocked after two crashes, so that those of a cause
            # come from different contents.
            run_by_crash={
                crash: _crash_causes.CrashedRun(crash, wall_s)
                for crash, wall_s in self._crashes_by_digest[part].items()
            },
            was_sound=self._sound_runs.was_recent(part),
            was_cause=now_s - found_s > _CRASH_SETTLES_S,
        )

    def _find_block(self, work: _work.Work) -> PartBlock | core.Missing:
        for position, part in enumerate(_parts(work), start=1):
            if part in self._found_s_by_cause:
                remaining_s = self._remaining_s(work.kind, part)
                if remaining_s > 0.0:
                    return PartBlock(position, remaining_s)
        return core.Missing.UNSET

    def _remaining_s(self, kind: str, part: str) -> float:
        """Returns how long a cause remains blocked, seconds."""
        now_s = self._clock.now()
        trial = self._trial_by_part.get(part)
        if trial is not None and now_s - trial.began_s < _MAX_TRIAL_S:
            return _TRIAL_RESULT_S
        failed_trials = self._crashes_by_digest.get(_TRIAL_PREFIX + part, ())
        duration_s = _part_blocks.part_block_duration_s(
            len(failed_trials), self._reach.is_broad(kind, part)
        )
        last_s = max(
            self._seen_s_by_crash[crash]
            for crash in self._crashes_by_digest[part]
        )
        return max(0.0, last_s + duration_s * self._jitter - now_s)


def is_part(digest: str) -> bool:
    """Whether a recorded digest is that of a prompt part, not of a content."""
    return _PART.fullmatch(digest) is not None


def _parts(work: _work.Work) -> list[str]:
    """Returns the digests under which crashes of the parts are recorded."""
    return [
        f"shared:{depth}:{digest}"
        for depth, digest in enumerate(work.shared_parts)
    ]
