"""Blocks requests that were running when several upstreams were lost."""

import collections
import dataclasses
import random
import threading
from collections.abc import Mapping

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
import mulberry_state as state
from mulberry_gateway import (
    _exchange,
    _incomplete_runs,
    _strike_ledger,
    _strike_recorder,
    _strike_records,
    _upstream_call,
)

#: Strikes of a content from which they are recorded in the replicated state. A
#: lost upstream adds one strike to every content that it ran; a second strike
#: of the same content is rare.
_MIN_RECORDED_STRIKES = 2
#: Each instance multiplies the block duration by a random factor from 1 to this
#: one, so that the instances do not all unblock a subject at the same time.
_MAX_JITTER = 2.0
#: How long a sound run counts in favor of a subject, seconds.
_SOUND_VALID_S = 60.0
#: Maximum number of subjects whose last sound run is remembered.
_MAX_SOUND = 8_192

#: A part that crashes upstreams does so as they begin to answer. The parts of an
#: answer whose first event came longer ago than this are sound, seconds.
_ANSWER_BEGINS_S = 0.3

#: Outcomes after which a connection attempt tests whether the upstream ended.
PROBED_OUTCOMES = frozenset(
    {
        _upstream_call.Fault.NO_ANSWER.value,
        _upstream_call.Fault.TRUNCATED.value,
    }
)
#: Outcomes that are no evidence about the upstream by themselves.
_WATCHED_OUTCOMES = frozenset(
    {
        _upstream_call.Fault.LOST.value,
        _upstream_call.Fault.SILENT.value,
        _upstream_call.Fault.CALLER_GONE.value,
    }
)


@dataclasses.dataclass(frozen=True)
class Block:
    """Why a request must not run, and for how long."""

    #: The content or prompt part that upstreams were lost with.
    subject: str
    remaining_s: float


class RequestQuarantine:
    """Blocks requests that repeatedly crash upstreams.

    Each of them costs an upstream, and the requests that run beside it, for
    seconds. Callers repeat a request under a new id, and different requests
    may crash upstreams by a prompt part that they share. Strikes are therefore
    counted by content digest and by prompt part. A content is blocked for a
    time from the third strike on, a part if it is the cause of several crashes;
    a crash with a known cause counts against nothing else. A complete run
    clears the strikes of its content and parts; those of the parts are cleared
    as soon as the answer is well under way.

    The replicated state keeps the strikes of contents that have more than one
    and of parts that are causes.
    """

    def __init__(
        self,
        soft_state: membership.SoftState,
        directory: membership.UpstreamDirectory,
        client: state.StateClient,
        clock: core.Clock,
        counters: core.Counters,
        log: core.DecisionLog,
    ) -> None:
        self._clock = clock
        self._counters = counters
        self._log = log
        self._ledger = _strike_ledger.StrikeLedger(
            soft_state, client, clock, counters, log
        )
        self._recorder = _strike_recorder.StrikeRecorder(client, log)
        self._incomplete_runs = _incomplete_runs.IncompleteRuns(
            soft_state, directory, clock
        )
        self._lock = threading.Lock()
        #: `Clock.now` of the last run on this instance that showed a content or
        #: part to be sound, by digest, oldest first.
        self._sound_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        #: Crashes that parts have caused, by digest of the part, and the
        #: revision of the ledger that they were computed from.
        self._crashes_by_cause: Mapping[str, frozenset[str]] = {}
        self._causes_revision = -1
        self._jitter = random.uniform(1.0, _MAX_JITTER)

    def strikes(self, digest: str) -> int:
        """Returns the number of upstreams lost while they ran a content."""
        return len(self._ledger.crashes(digest))

    def find_block(self, exchange: _exchange.Exchange) -> Block | core.Missing:
        """Returns why a request must not run now; unset if it may."""
        for part, digest in zip(
            exchange.metadata.shared_parts, exchange.part_digests, strict=True
        ):
            remaining_s = self.part_blocked_s(digest)
            if remaining_s > 0.0:
                return Block(f"prompt part {part.id}", remaining_s)
        remaining_s = self.blocked_s(exchange.content_digest)
        if remaining_s > 0.0:
            return Block(f"content {exchange.content_digest}", remaining_s)
        return core.Missing.UNSET

    def blocked_s(self, digest: str) -> float:
        """Returns how long a content remains blocked, seconds."""
        strikes = len(self._unexplained(digest))
        if strikes < decisions.BLOCKING_STRIKES:
            return 0.0
        return self._remaining_s(
            digest,
            decisions.block_duration_s(strikes, self._was_sound(digest)),
        )

    def part_blocked_s(self, digest: str) -> float:
        """Returns how long a prompt part remains blocked, seconds."""
        if digest not in self._causes():
            return 0.0
        crashes = len(self._ledger.crashes(digest))
        return self._remaining_s(
            digest, decisions.part_block_duration_s(crashes)
        )

    def answer_continues(
        self, exchange: _exchange.Exchange, attempt: _exchange.Attempt
    ) -> None:
        """Clears the strikes of the parts once the answer is well under way.

        Must be called with each event, before the end of the run.
        """
        if (
            not attempt.are_parts_sound
            and self._clock.now() - attempt.first_event_s > _ANSWER_BEGINS_S
        ):
            attempt.are_parts_sound = True
            for digest in exchange.part_digests:
                self._on_sound_run(digest)

    def run_ended(
        self,
        exchange: _exchange.Exchange,
        attempt: _exchange.Attempt,
        upstream: membership.Upstream,
        is_lost: bool,
    ) -> None:
        """Records the end of a run.

        Args:
            exchange: The request that ran.
            attempt: The attempt, with its outcome.
            upstream: The upstream that ran it.
            is_lost: Whether the upstream refused a connection afterwards.
        """
        if attempt.is_complete:
            for digest in (exchange.content_digest, *exchange.part_digests):
                self._on_sound_run(digest)
            return
        subjects = self._subjects(exchange, attempt)
        request_id = exchange.metadata.request_id
        outcome = attempt.outcome
        if outcome in PROBED_OUTCOMES or outcome in _WATCHED_OUTCOMES:
            self._log_incomplete_run(exchange, attempt)
        if is_lost:
            self._add_strikes(subjects, request_id, upstream, outcome)
        elif outcome in PROBED_OUTCOMES:
            self._counters.increment("gateway.broken_off_without_strike")
            self._log.note(
                "no_strike",
                id=request_id,
                content=exchange.content_digest,
                upstream=upstream.name,
                outcome=outcome,
            )
            for subject in subjects:
                self._publish(
                    subject, upstream, _strike_records.StrikeState.SUSPECTED
                )
            self._incomplete_runs.add(subjects, request_id, upstream)
        elif outcome in _WATCHED_OUTCOMES:
            self._incomplete_runs.add(subjects, request_id, upstream)

    def check_incomplete_runs(self) -> None:
        """Confirms strikes whose upstream has ended since the run.

        Must be called several times per announcement period of an upstream.
        """
        for run in self._incomplete_runs.pop_lost():
            self._add_strikes(
                run.subjects, run.request_id, run.upstream, "ended_since"
            )
        self._set_gauges()

    def _log_incomplete_run(
        self, exchange: _exchange.Exchange, attempt: _exchange.Attempt
    ) -> None:
        """Logs what ran and how far, to find what lost runs share."""
        now_s = self._clock.now()
        answering_s = now_s - attempt.head_s if attempt.head_s else -1.0
        self._log.note(
            "incomplete_run",
            keep=True,
            id=exchange.metadata.request_id,
            content=exchange.content_digest,
            parts=[part.id for part in exchange.metadata.prompt],
            upstream=attempt.upstream,
            outcome=attempt.outcome,
            ran_ms=round((now_s - attempt.began_s) * 1000),
            answering_ms=round(answering_s * 1000),
            events=attempt.events,
        )

    def _subjects(
        self, exchange: _exchange.Exchange, attempt: _exchange.Attempt
    ) -> tuple[_strike_records.Subject, ...]:
        """Returns what may have caused a crash: the content, then the parts."""
        content = exchange.content_digest
        return (
            _strike_records.Subject(content),
            *(
                _strike_records.Subject(digest, content, depth)
                for depth, digest in enumerate(exchange.part_digests)
                if not attempt.are_parts_sound
            ),
        )

    def _add_strikes(
        self,
        subjects: tuple[_strike_records.Subject, ...],
        request_id: str,
        upstream: membership.Upstream,
        reason: str,
    ) -> None:
        """Gives a strike to the content and the parts of a request."""
        new = [
            subject.digest
            for subject in subjects
            if self._publish(
                subject, upstream, _strike_records.StrikeState.CONFIRMED
            )
        ]
        content, *parts = (subject.digest for subject in subjects)
        self._counters.increment("gateway.strikes")
        self._log.note(
            "strike",
            keep=True,
            id=request_id,
            content=content,
            parts=parts,
            upstream=upstream.name,
            incarnation=upstream.incarnation,
            reason=reason,
            strikes=self.strikes(content),
            recorded=len(self._ledger.recorded(content)),
        )
        causes = self._causes()
        for digest in new:
            # Otherwise another request has reported the same loss.
            if _strike_records.is_part(digest):
                must_record = digest in causes
            else:
                must_record = (
                    len(self._unexplained(digest)) >= _MIN_RECORDED_STRIKES
                )
            if must_record:
                self._record(digest)

    def _record(self, digest: str) -> None:
        """Proposes the strikes that are not in the replicated state yet."""
        recorded = self._ledger.recorded(digest)
        for strike in self._ledger.confirmed(digest):
            if strike.crash_id not in recorded:
                self._recorder.record(
                    digest, strike.upstream, strike.incarnation
                )

    def _on_sound_run(self, digest: str) -> None:
        with self._lock:
            self._sound_s[digest] = self._clock.now()
            self._sound_s.move_to_end(digest)
            if len(self._sound_s) > _MAX_SOUND:
                self._sound_s.popitem(last=False)
        uncleared = self._ledger.uncleared(digest)
        recorded = len(self._ledger.recorded(digest))
        if not uncleared and not recorded:
            return
        self._log.note(
            "strikes_cleared",
            keep=True,
            content=digest,
            strikes=len(uncleared),
            recorded=recorded,
        )
        # Commands that record the strikes may still be queued.
        must_clear_record = recorded or (
            len(self._ledger.confirmed(digest)) >= _MIN_RECORDED_STRIKES
        )
        self._ledger.clear(digest)
        if must_clear_record:
            self._recorder.clear(digest)

    def _publish(
        self,
        subject: _strike_records.Subject,
        upstream: membership.Upstream,
        strike_state: _strike_records.StrikeState,
    ) -> bool:
        """Publishes a strike; returns whether its state is new."""
        return self._ledger.publish(
            _strike_records.Strike(
                subject, upstream.name, upstream.incarnation, strike_state
            )
        )

    def _remaining_s(self, digest: str, duration_s: float) -> float:
        """Returns how much of a block is left since the last strike."""
        ends_s = self._ledger.grew_s(digest) + duration_s * self._jitter
        return max(0.0, ends_s - self._clock.now()) if duration_s else 0.0

    def _was_sound(self, digest: str) -> bool:
        """Whether a run of this instance was recently sound."""
        with self._lock:
            sound_s = self._sound_s.get(digest, float("-inf"))
        return self._clock.now() - sound_s < _SOUND_VALID_S

    def _unexplained(self, digest: str) -> frozenset[str]:
        """Returns the crashes of a content that no prompt part has caused."""
        crashes = self._ledger.crashes(digest)
        if not crashes:
            return crashes
        return crashes.difference(*self._causes().values())

    def _causes(self) -> Mapping[str, frozenset[str]]:
        """Returns the crashes that prompt parts have caused, by part."""
        revision = self._ledger.revision
        with self._lock:
            if self._causes_revision == revision:
                return self._crashes_by_cause
            known = self._crashes_by_cause
        parts, contents = [], []
        for digest in self._ledger.digests(decisions.BLOCKING_STRIKES):
            if _strike_records.is_part(digest):
                parts.append(self._part_crashes(digest, digest in known))
            else:
                contents.append(self._ledger.crashes(digest))
        causes = decisions.crash_causes(parts, contents)
        with self._lock:
            before = self._crashes_by_cause
            self._crashes_by_cause = causes
            self._causes_revision = revision
        for digest in causes.keys() ^ before.keys():
            self._log.note(
                "part_blocked" if digest in causes else "part_unblocked",
                keep=True,
                part=digest,
                crashes=len(self._ledger.crashes(digest)),
            )
        return causes

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
            was_sound=self._was_sound(digest)
            or self._ledger.was_cleared(digest),
            was_cause=is_known_cause or bool(recorded),
        )

    def _set_gauges(self) -> None:
        digests = self._ledger.digests()
        contents = [d for d in digests if not _strike_records.is_part(d)]
        self._counters.gauge("gateway.contents_with_strikes", len(contents))
        self._counters.gauge(
            "gateway.contents_blocked",
            sum(self.blocked_s(digest) > 0.0 for digest in contents),
        )
        self._counters.gauge(
            "gateway.parts_blocked",
            sum(self.part_blocked_s(digest) > 0.0 for digest in self._causes()),
        )
