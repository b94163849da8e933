"""Blocks requests that were running when several upstreams were lost."""

import dataclasses
import threading
from collections.abc import Iterable

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
import mulberry_state as state
from mulberry_gateway import (
    _blocks,
    _cause_finder,
    _dropped_runs,
    _exchange,
    _incomplete_runs,
    _orphaned_strikes,
    _running_requests,
    _strike_ledger,
    _strike_recorder,
    _strike_records,
    _upstream_call,
)

#: Strikes of a content from which they are recorded in the replicated state. A
#: lost upstream adds one strike to every content that it ran; a second strike
#: of the same content is rare.
_MIN_RECORDED_STRIKES = 2

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
#: Outcomes of runs that the router ended.
_DROPPED_OUTCOMES = frozenset(
    {_exchange.UNSURE, _upstream_call.Fault.WITHDRAWN.value}
)
#: Outcomes that are no evidence about the upstream by themselves.
_WATCHED_OUTCOMES = frozenset(
    {
        _upstream_call.Fault.LOST.value,
        _upstream_call.Fault.SILENT.value,
        _upstream_call.Fault.CALLER_GONE.value,
    }
)


class RequestQuarantine:
    """Blocks requests that repeatedly crash upstreams.

    Each of them costs an upstream, and the requests that run beside it, for
    seconds. Callers repeat a request under a new id, and different requests
    may crash upstreams by a prompt part that they share. Strikes are therefore
    counted by content digest and by prompt part. A content is blocked for a
    time from the third strike on, a part if it is the cause of several crashes;
    a crash with a known cause counts against no content. A complete run
    clears the strikes of its content and parts; those of the parts are cleared
    as soon as the answer is well under way. When the time of a block is over,
    one request in the whole deployment may run as its trial.

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
        self._sound_runs = decisions.SoundRuns(clock)
        self._causes = _cause_finder.CauseFinder(
            self._ledger, self._sound_runs, clock, log
        )
        self._blocks = _blocks.Blocks(
            self._ledger, self._causes, self._sound_runs, clock
        )
        self._incomplete_runs = _incomplete_runs.IncompleteRuns(
            soft_state, directory, clock
        )
        #: Ids of the crashes proposed for the replicated state, by digest.
        self._proposed: dict[str, set[str]] = {}
        self._trial_lock = threading.Lock()
        self._dropped_runs = _dropped_runs.DroppedRuns(self._ledger, clock)
        self._orphaned_strikes = _orphaned_strikes.OrphanedStrikes(
            self._ledger, soft_state, clock
        )
        self._running = _running_requests.RunningRequests()
        self._lock = threading.Lock()
        #: Causes that were recorded and whose requests were withdrawn.
        self._handled_causes: frozenset[str] = frozenset()

    def strikes(self, digest: str) -> int:
        """Returns the number of upstreams lost while they ran a content."""
        return len(self._ledger.crashes(digest))

    def find_block(
        self, exchange: _exchange.Exchange
    ) -> _blocks.Block | core.Missing:
        """Returns why a request must not run now; unset if it may."""
        self._blocks.request_arrived(exchange)
        self._handle_new_causes()
        return self._blocks.find(exchange)

    def run_begins(
        self,
        request: _running_requests.RunningRequest,
        upstream: membership.Upstream,
    ) -> _blocks.Block | core.Missing:
        """Must be called right before a request is sent.

        Returns:
            Why the request must not run, if it has been blocked meanwhile.
        """
        if self._blocks.subjects(request.exchange):
            block = self._begin_trial(
                request.exchange, request.attempt, upstream
            )
            if isinstance(block, _blocks.Block):
                return block
        self._running.add(request)
        return core.Missing.UNSET

    def withdraw_all(self) -> None:
        """Ends all runs; callers without a response get an error response."""
        for request in self._running.all():
            request.withdraw()

    def run_left(self, attempt: _exchange.Attempt) -> None:
        """Must be called when an attempt is over, however it ended."""
        self._running.remove(attempt)

    def _begin_trial(
        self,
        exchange: _exchange.Exchange,
        attempt: _exchange.Attempt,
        upstream: membership.Upstream,
    ) -> _blocks.Block | core.Missing:
        """Claims the trials of the request's blocked subjects.

        Each of them gets a suspected strike before the request is sent, so that
        no instance begins another trial until the end of this one is known.
        """
        with self._trial_lock:
            block = self._blocks.find(exchange)
            if isinstance(block, _blocks.Block):
                return block
            digests = frozenset(
                subject.digest for subject in self._blocks.subjects(exchange)
            )
            exchange.trial_digests = digests
            strikes = (
                _strike_records.Strike(
                    subject,
                    upstream.name,
                    upstream.incarnation,
                    _strike_records.StrikeState.SUSPECTED,
                )
                for subject in self._subjects(exchange, attempt)
                if subject.digest in digests
            )
            attempt.trials = tuple(
                strike for strike in strikes if self._ledger.publish(strike)
            )
        self._log.note(
            "trial",
            keep=True,
            id=exchange.metadata.request_id,
            upstream=upstream.name,
            subjects=sorted(digests),
        )
        return core.Missing.UNSET

    def blocked_s(self, digest: str) -> float:
        """Returns how long a content remains blocked, seconds."""
        return self._blocks.content_remaining_s(digest)

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
        subjects = self._subjects(exchange, attempt)
        self._trial_ended(exchange, attempt)
        if attempt.is_complete:
            for digest in (exchange.content_digest, *exchange.part_digests):
                self._on_sound_run(digest)
            return
        request_id = exchange.metadata.request_id
        outcome = attempt.outcome
        run = _incomplete_runs.IncompleteRun(
            subjects, request_id, upstream, self._clock.now()
        )
        if outcome in PROBED_OUTCOMES or outcome in _WATCHED_OUTCOMES:
            self._log_incomplete_run(exchange, attempt)
        if is_lost:
            self._add_strikes(run, outcome)
            self._add_strikes_of_dropped_runs()
        elif outcome in _DROPPED_OUTCOMES:
            self._dropped_runs.add(run)
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
            self._incomplete_runs.add(run)
        elif outcome in _WATCHED_OUTCOMES:
            self._incomplete_runs.add(run)

    def check_incomplete_runs(self) -> None:
        """Confirms strikes whose upstream has ended since the run.

        Must be called several times per announcement period of an upstream.
        """
        for run in self._incomplete_runs.pop_lost():
            self._add_strikes(run, "ended_since")
        self._add_strikes_of_dropped_runs()
        self._confirm_orphaned_strikes()
        self._forget_proposed()
        self._record_causes()
        self._handle_new_causes()
        self._set_gauges()

    def _handle_new_causes(self) -> None:
        causes = frozenset(self._causes.causes())
        with self._lock:
            new = causes - self._handled_causes
            self._handled_causes = causes
        if new:
            self._record_causes()
            self._withdraw_requests(new)

    def _withdraw_requests(self, new: frozenset[str]) -> None:
        """Ends the runs of requests with a part that was found to be a cause.

        Each of them would crash one more upstream. Requests with a part of most
        requests run on: they show soonest whether the part is sound.
        """
        for request in self._running.unanswered():
            exchange = request.exchange
            if any(
                digest in new
                and digest not in exchange.trial_digests
                and not self._blocks.is_broad(exchange, digest)
                for digest in exchange.part_digests
            ):
                request.withdraw()

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
        trials = exchange.trial_digests
        return (
            _strike_records.Subject(
                content,
                is_trial=content in trials,
                part_keys=frozenset(
                    map(_strike_records.part_key, exchange.part_digests)
                ),
            ),
            *(
                _strike_records.Subject(
                    digest,
                    content,
                    depth,
                    is_trial=digest in trials,
                    was_sound=self._sound_runs.was_recent(digest),
                )
                for depth, digest in enumerate(exchange.part_digests)
                if not attempt.are_parts_sound
            ),
        )

    def _add_strikes_of_dropped_runs(self) -> None:
        for run in self._dropped_runs.pop_lost():
            self._add_strikes(run, "dropped")

    def _confirm_orphaned_strikes(self) -> None:
        for strike in self._orphaned_strikes.find_lost():
            confirmed = dataclasses.replace(
                strike, state=_strike_records.StrikeState.CONFIRMED
            )
            if self._ledger.publish(confirmed):
                self._log.note(
                    "strike_adopted",
                    keep=True,
                    content=strike.subject.digest,
                    upstream=strike.upstream,
                    incarnation=strike.incarnation,
                )
                self._record_repeated(strike.subject.digest)

    def _add_strikes(
        self, run: _incomplete_runs.IncompleteRun, reason: str
    ) -> None:
        """Gives a strike to the content and the parts of a request."""
        subjects, upstream = run.subjects, run.upstream
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
            id=run.request_id,
            content=content,
            parts=parts,
            upstream=upstream.name,
            incarnation=upstream.incarnation,
            reason=reason,
            strikes=self.strikes(content),
            recorded=len(self._ledger.recorded(content)),
        )
        if content in new:
            # Otherwise another request has reported the same loss.
            self._record_repeated(content)
        self._record_causes()

    def _record_repeated(self, content: str) -> None:
        """Records the strikes of a content that has more than one."""
        if _strike_records.is_part(content):
            return
        if len(self._causes.unexplained(content)) >= _MIN_RECORDED_STRIKES:
            self._record(content, self._ledger.confirmed(content))

    def _record(
        self, digest: str, strikes: Iterable[_strike_records.Strike]
    ) -> None:
        """Proposes the strikes that are not in the replicated state yet."""
        crashes = {strike.crash_id: strike for strike in strikes}
        with self._lock:
            proposed = self._proposed.setdefault(digest, set())
            new = crashes.keys() - proposed - set(self._ledger.recorded(digest))
            proposed |= new
        for crash_id in sorted(new):
            strike = crashes[crash_id]
            self._recorder.record(digest, strike.upstream, strike.incarnation)

    def _forget_proposed(self) -> None:
        """Drops what is known of subjects that have no strikes any more."""
        struck = set(self._ledger.digests())
        with self._lock:
            for digest in self._proposed.keys() - struck:
                del self._proposed[digest]

    def _record_causes(self) -> None:
        """Records the strikes that this instance gave to causes."""
        for digest in self._causes.causes():
            self._record(digest, self._ledger.own_confirmed(digest))

    def _on_sound_run(self, digest: str) -> None:
        self._sound_runs.add(digest)
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
        with self._lock:
            self._proposed.pop(digest, None)
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

    def _trial_ended(
        self, exchange: _exchange.Exchange, attempt: _exchange.Attempt
    ) -> None:
        """Withdraws the strikes of a trial that shows nothing."""
        exchange.trial_digests = frozenset()
        has_failed = attempt.may_have_run and not attempt.is_answered
        if not has_failed and not attempt.is_complete:
            for strike in attempt.trials:
                self._ledger.withdraw(strike)

    def _set_gauges(self) -> None:
        digests = self._ledger.digests()
        contents = [d for d in digests if not _strike_records.is_part(d)]
        self._counters.gauge("gateway.contents_with_strikes", len(contents))
        self._counters.gauge(
            "gateway.contents_blocked",
            sum(self.blocked_s(digest) > 0.0 for digest in contents),
        )
        self._counters.gauge(
            "gateway.parts_blocked", len(self._causes.causes())
        )
