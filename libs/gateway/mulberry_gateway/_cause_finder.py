"""Finds the prompt parts that cause crashes, from all known strikes."""

import dataclasses
import math
import threading
from collections.abc import Iterable, Mapping

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_gateway import _strike_ledger, _strike_records

#: Strikes by one crash come from several instances over this time, seconds.
_CRASH_SETTLES_S = 0.25


class CauseFinder:
    """Keeps the causes up to date with the strikes. Thread-safe."""

    def __init__(
        self,
        ledger: _strike_ledger.StrikeLedger,
        sound_runs: decisions.SoundRuns,
        clock: core.Clock,
        log: core.DecisionLog,
    ) -> None:
        self._ledger = ledger
        self._sound_runs = sound_runs
        self._clock = clock
        self._log = log
        self._lock = threading.Lock()
        #: Crashes by the digest of the part that caused them.
        self._crashes_by_cause: Mapping[str, frozenset[str]] = {}
        #: Revision of the ledger that they were computed from.
        self._revision = -1
        #: `Clock.now` when they must be computed again, seconds.
        self._valid_until_s = 0.0

    def causes(self) -> Mapping[str, frozenset[str]]:
        """Returns the crashes that prompt parts have caused, by part."""
        revision = self._ledger.revision
        now_s = self._clock.now()
        with self._lock:
            known = self._crashes_by_cause
            if self._revision == revision and now_s < self._valid_until_s:
                return known
        unsettled = self._ledger.crashes_since(now_s - _CRASH_SETTLES_S)
        causes = self._find(known, unsettled)
        with self._lock:
            before = self._crashes_by_cause
            self._crashes_by_cause = causes
            self._revision = revision
            self._valid_until_s = (
                max(unsettled.values(), default=math.inf) + _CRASH_SETTLES_S
            )
        for digest in causes.keys() ^ before.keys():
            self._log.note(
                "part_blocked" if digest in causes else "part_unblocked",
                keep=True,
                part=digest,
                crashes=len(self._ledger.crashes(digest)),
            )
        return causes

    def unexplained(self, digest: str) -> frozenset[str]:
        """Returns the crashes of a content that no prompt part has caused."""
        crashes = self._ledger.crashes(digest)
        if not crashes:
            return crashes
        return crashes.difference(*self.causes().values())

    def _find(
        self,
        known: Mapping[str, frozenset[str]],
        unsettled: Mapping[str, float],
    ) -> Mapping[str, frozenset[str]]:
        """Returns the parts that are causes whatever strikes may still come."""
        digests = self._ledger.digests(decisions.BLOCKING_STRIKES - 1)
        names = [d for d in digests if _strike_records.is_part(d)]
        parts = [self._part_crashes(name, name in known) for name in names]
        contents = [
            self._content_crashes(digest, names)
            for digest in digests
            if not _strike_records.is_part(digest)
        ]
        causes = decisions.crash_causes(parts, contents)
        if not unsettled or not causes:
            return causes
        may_come = {
            crash: decisions.CrashedRun("", seen_s)
            for crash, seen_s in unsettled.items()
        }
        still_causes = decisions.crash_causes(
            [
                dataclasses.replace(
                    part, run_by_crash={**may_come, **part.run_by_crash}
                )
                for part in parts
            ],
            contents,
        )
        return {
            part: crashes
            for part, crashes in causes.items()
            if part in still_causes
        }

    def _part_crashes(
        self, digest: str, is_known_cause: bool
    ) -> decisions.PartCrashes:
        uncleared = self._ledger.uncleared(digest)
        recorded = self._ledger.recorded(digest)
        run_by_crash = {
            crash: decisions.CrashedRun("", self._ledger.grew_s(digest))
            for crash in recorded
        }
        run_by_crash |= {
            seen.strike.crash_id: decisions.CrashedRun(
                seen.strike.subject.content, seen.seen_s
            )
            for seen in uncleared
        }
        return decisions.PartCrashes(
            digest,
            max((seen.strike.subject.depth for seen in uncleared), default=0),
            run_by_crash,
            was_sound=self._sound_runs.was_recent(digest)
            or self._ledger.was_cleared(digest)
            or any(seen.strike.subject.was_sound for seen in uncleared),
            was_cause=is_known_cause or bool(recorded),
        )

    def _content_crashes(
        self, digest: str, parts: Iterable[str]
    ) -> decisions.ContentCrashes:
        """Returns the crashes of a content, with those parts that it has.

        A content whose parts are unknown may have all of them.
        """
        part_keys = frozenset[str]().union(
            *(
                seen.strike.subject.part_keys
                for seen in self._ledger.uncleared(digest)
            )
        )
        return decisions.ContentCrashes(
            self._ledger.crashes(digest),
            frozenset(
                part
                for part in parts
                if not part_keys or _strike_records.part_key(part) in part_keys
            ),
        )
