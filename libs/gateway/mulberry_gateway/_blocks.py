"""Which subjects of a request are blocked, and until when."""

import dataclasses
import random
from collections.abc import Sequence

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_gateway import (
    _cause_finder,
    _exchange,
    _strike_ledger,
)

#: Each instance multiplies the block duration by a random factor from 1 to this
#: one, so that the instances do not all unblock a subject at the same time.
_MAX_JITTER = 2.0
#: Factor of the time until a request whose other subjects have strikes may be a
#: trial: its crash would not tell which of them caused it.
_UNCLEAR_TRIAL_FACTOR = 2.0
#: Time after which callers may come back while a trial runs, seconds.
_TRIAL_RESULT_S = 2.0


@dataclasses.dataclass(frozen=True)
class Block:
    """Why a request must not run, and for how long."""

    #: The content or prompt part that upstreams were lost with.
    subject: str
    remaining_s: float


@dataclasses.dataclass(frozen=True)
class BlockedSubject:
    """A subject of a request that may run as a trial only."""

    digest: str
    #: What the subject is, for the caller's error message.
    label: str
    #: How long it is blocked after its last strike, seconds.
    duration_s: float


class Blocks:
    """Tells from all strikes which requests are blocked."""

    def __init__(
        self,
        ledger: _strike_ledger.StrikeLedger,
        causes: _cause_finder.CauseFinder,
        sound_runs: decisions.SoundRuns,
        clock: core.Clock,
    ) -> None:
        self._ledger = ledger
        self._causes = causes
        self._sound_runs = sound_runs
        self._clock = clock
        self._reach = decisions.PartReach()
        self._jitter = random.uniform(1.0, _MAX_JITTER)

    def request_arrived(self, exchange: _exchange.Exchange) -> None:
        """Counts a request towards the reach of its parts."""
        if exchange.part_digests:
            self._reach.add(
                exchange.route.name,
                exchange.content_digest,
                exchange.part_digests,
            )

    def is_broad(self, exchange: _exchange.Exchange, part: str) -> bool:
        """Whether most requests of the same route have the part."""
        return self._reach.is_broad(exchange.route.name, part)

    def subjects(
        self, exchange: _exchange.Exchange
    ) -> Sequence[BlockedSubject]:
        """Returns the request's subjects that may run as a trial only."""
        causes = self._causes.causes()
        blocked = [
            BlockedSubject(
                digest,
                f"prompt part {part.id}",
                self._part_duration_s(exchange.route.name, digest),
            )
            for part, digest in zip(
                exchange.metadata.shared_parts,
                exchange.part_digests,
                strict=True,
            )
            if digest in causes
        ]
        content = exchange.content_digest
        duration_s = self._content_duration_s(content)
        if duration_s > 0.0:
            blocked.append(
                BlockedSubject(content, f"content {content}", duration_s)
            )
        return blocked

    def find(self, exchange: _exchange.Exchange) -> Block | core.Missing:
        """Returns why a request must not run now; unset if it may."""
        for subject in self.subjects(exchange):
            duration_s = subject.duration_s
            if self._has_other_suspects(exchange, subject.digest):
                duration_s *= _UNCLEAR_TRIAL_FACTOR
            remaining_s = self._remaining_s(subject.digest, duration_s)
            if self._ledger.has_open_trial(subject.digest):
                remaining_s = min(remaining_s, _TRIAL_RESULT_S)
            if remaining_s > 0.0:
                return Block(subject.label, remaining_s)
        return core.Missing.UNSET

    def content_remaining_s(self, digest: str) -> float:
        """Returns how long a content remains blocked, seconds."""
        return self._remaining_s(digest, self._content_duration_s(digest))

    def _has_other_suspects(
        self, exchange: _exchange.Exchange, digest: str
    ) -> bool:
        """Whether anything else in the request has strikes."""
        return any(
            self._ledger.crashes(other)
            for other in (exchange.content_digest, *exchange.part_digests)
            if other != digest
        )

    def _content_duration_s(self, digest: str) -> float:
        """Returns the duration of a content's block, seconds; 0 for none."""
        strikes = len(self._causes.unexplained(digest))
        if strikes < decisions.BLOCKING_STRIKES:
            return 0.0
        return decisions.block_duration_s(
            strikes, self._sound_runs.was_recent(digest)
        )

    def _part_duration_s(self, route: str, digest: str) -> float:
        """Returns the duration of a part's block, seconds."""
        uncleared = self._ledger.uncleared(digest)
        known = {seen.strike.crash_id for seen in uncleared}
        # Of crashes that only the replicated state remembers, those beyond the
        # first ones happened in trials.
        others = set(self._ledger.recorded(digest)) - known
        failed_trials = sum(
            seen.strike.subject.is_trial for seen in uncleared
        ) + max(0, len(others) - decisions.BLOCKING_STRIKES)
        return decisions.part_block_duration_s(
            failed_trials, self._reach.is_broad(route, digest)
        )

    def _remaining_s(self, digest: str, duration_s: float) -> float:
        """Returns how much of a block is left since the last strike."""
        ends_s = self._ledger.grew_s(digest) + duration_s * self._jitter
        return max(0.0, ends_s - self._clock.now()) if duration_s else 0.0
