"""Blocks requests that were running when several upstreams were lost."""

import collections
import enum
import random
import re
import threading
from collections.abc import Mapping

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
import mulberry_state as state
from mulberry_gateway import (
    _exchange,
    _incomplete_runs,
    _strike_recorder,
    _upstream_call,
)

#: Strikes of a content from which they are recorded in the replicated state. A
#: lost upstream adds one strike to every content that it ran; a second strike
#: of the same content is rare.
_MIN_RECORDED_STRIKES = 2
#: How long the soft state keeps a confirmed strike, seconds. Callers repeat a
#: failed request within seconds.
_CONFIRMED_TTL_S = 120.0
#: How long the soft state keeps a strike whose upstream still accepts
#: connections, seconds: until announcements show whether it was lost.
_SUSPECTED_TTL_S = _incomplete_runs.WATCH_S
#: Each instance multiplies the block duration by a random factor from 1 to this
#: one, so that the instances do not all unblock a content at the same time.
_MAX_JITTER = 2.0
#: How long a complete run counts in favor of a content, seconds.
_COMPLETED_VALID_S = 60.0
#: Maximum number of contents whose last complete run is remembered.
_MAX_COMPLETED = 4_096

_KIND = membership.RecordKind.STRIKE


class StrikeState(enum.IntEnum):
    """State of a strike; a higher state replaces a lower one."""

    #: The run ended early, but its upstream accepts connections.
    SUSPECTED = 1
    #: The upstream was lost.
    CONFIRMED = 2
    #: The content has completed a run since.
    CLEARED = 3


_TTL_S_BY_STATE = {
    StrikeState.SUSPECTED: _SUSPECTED_TTL_S,
    StrikeState.CONFIRMED: _CONFIRMED_TTL_S,
    StrikeState.CLEARED: _CONFIRMED_TTL_S,
}

#: Record id: content digest, upstream and incarnation.
_RECORD_ID = re.compile(r"[^/]+/(.+)\.([0-9]+)")

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


class RequestQuarantine:
    """Blocks requests whose content repeatedly crashes upstreams.

    Each repetition of such a request costs an upstream, and the requests that
    run beside it, for seconds. Strikes are counted by content digest because
    callers repeat a request under a new id. A content gets a strike for each
    upstream that is lost while running it and is blocked for a time from the
    third strike on; a complete run clears its strikes.

    The soft state spreads strikes to other instances within milliseconds. The
    replicated state keeps the strikes of contents that have more than one, so
    that they survive a restart of all instances; it is loaded before an
    instance serves its first request.
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
        self._soft_state = soft_state
        self._clock = clock
        self._counters = counters
        self._log = log
        self._recorder = _strike_recorder.StrikeRecorder(client, log)
        self._incomplete_runs = _incomplete_runs.IncompleteRuns(
            soft_state, directory, clock
        )
        self._lock = threading.Lock()
        #: State of each strike by its record id, by content digest.
        self._states_by_digest: dict[str, dict[str, StrikeState]] = (
            collections.defaultdict(dict)
        )
        #: Crashes recorded in the replicated state, by content digest.
        self._recorded: Mapping[str, tuple[str, ...]] = {}
        #: `Clock.now` of the last strike, by digest of the contents with enough
        #: strikes to be blocked.
        self._last_strike_s: dict[str, float] = {}
        #: `Clock.now` of the last complete run on this instance, by content
        #: digest, oldest first.
        self._completed_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._jitter = random.uniform(1.0, _MAX_JITTER)
        soft_state.subscribe(_KIND, self._on_record)
        client.subscribe(self._on_view)
        self._on_view(client.view())

    def strikes(self, digest: str) -> int:
        """Returns the number of upstreams lost while they ran a content."""
        with self._lock:
            return self._count_strikes(digest)

    def blocked_s(self, digest: str) -> float:
        """Returns how long a content remains blocked, seconds."""
        with self._lock:
            last_s = self._last_strike_s.get(digest)
            if last_s is None:
                return 0.0
            now_s = self._clock.now()
            completed_s = self._completed_s.get(digest, float("-inf"))
            term_s = decisions.block_duration_s(
                self._count_strikes(digest),
                now_s - completed_s < _COMPLETED_VALID_S,
            )
        return max(0.0, last_s + term_s * self._jitter - now_s)

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
            self._on_completed(exchange.content_digest)
            return
        digest, request_id = (
            exchange.content_digest,
            exchange.metadata.request_id,
        )
        outcome = attempt.outcome
        if outcome in PROBED_OUTCOMES or outcome in _WATCHED_OUTCOMES:
            self._log_incomplete_run(exchange, attempt)
        if is_lost:
            self._add_strike(digest, request_id, upstream, outcome)
        elif outcome in PROBED_OUTCOMES:
            self._counters.increment("gateway.broken_off_without_strike")
            self._log.note(
                "no_strike",
                id=request_id,
                content=digest,
                upstream=upstream.name,
                outcome=outcome,
            )
            self._publish(digest, upstream, StrikeState.SUSPECTED)
            self._incomplete_runs.add(digest, request_id, upstream)
        elif outcome in _WATCHED_OUTCOMES:
            self._incomplete_runs.add(digest, request_id, upstream)

    def check_incomplete_runs(self) -> None:
        """Confirms strikes whose upstream has ended since the run.

        Must be called several times per announcement period of an upstream.
        """
        for run in self._incomplete_runs.pop_lost():
            self._add_strike(
                run.digest, run.request_id, run.upstream, "ended_since"
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

    def _add_strike(
        self,
        digest: str,
        request_id: str,
        upstream: membership.Upstream,
        reason: str,
    ) -> None:
        is_new = self._publish(digest, upstream, StrikeState.CONFIRMED)
        with self._lock:
            confirmed = self._record_ids(digest, StrikeState.CONFIRMED)
            recorded = len(self._recorded.get(digest, ()))
        self._counters.increment("gateway.strikes")
        self._log.note(
            "strike",
            keep=True,
            id=request_id,
            content=digest,
            upstream=upstream.name,
            incarnation=upstream.incarnation,
            reason=reason,
            strikes=self.strikes(digest),
            recorded=recorded,
        )
        if not is_new:
            # Another request with this content has reported the same loss.
            return
        if recorded:
            self._recorder.record(digest, upstream.name, upstream.incarnation)
        elif len(confirmed) >= _MIN_RECORDED_STRIKES:
            for record_id in confirmed:
                name, incarnation = _parse_record_id(record_id)
                self._recorder.record(digest, name, incarnation)

    def _on_completed(self, digest: str) -> None:
        with self._lock:
            self._completed_s[digest] = self._clock.now()
            self._completed_s.move_to_end(digest)
            if len(self._completed_s) > _MAX_COMPLETED:
                self._completed_s.popitem(last=False)
            ids = self._record_ids(digest, StrikeState.SUSPECTED)
            confirmed = self._record_ids(digest, StrikeState.CONFIRMED)
            recorded = len(self._recorded.get(digest, ()))
        if ids or recorded:
            self._log.note(
                "strikes_cleared",
                keep=True,
                content=digest,
                strikes=len(ids),
                recorded=recorded,
            )
        for record_id in ids:
            self._publish_id(record_id, StrikeState.CLEARED)
        if recorded or len(confirmed) >= _MIN_RECORDED_STRIKES:
            # Commands that record the strikes may still be queued.
            self._recorder.clear(digest)

    def _publish(
        self,
        digest: str,
        upstream: membership.Upstream,
        strike_state: StrikeState,
    ) -> bool:
        return self._publish_id(
            f"{digest}/{upstream.name}.{upstream.incarnation}", strike_state
        )

    def _publish_id(self, record_id: str, strike_state: StrikeState) -> bool:
        """Publishes a strike; returns whether its state is new."""
        return self._soft_state.put(
            _KIND,
            record_id,
            incarnation=0,
            sequence=strike_state,
            payload=b"",
            ttl_s=_TTL_S_BY_STATE[strike_state],
            urgent=True,
        )

    # Called with the lock held.

    def _record_ids(self, digest: str, min_state: StrikeState) -> list[str]:
        """Returns the ids of uncleared strikes in this state or higher."""
        return [
            record_id
            for record_id, strike_state in self._states_by_digest.get(
                digest, {}
            ).items()
            if min_state <= strike_state < StrikeState.CLEARED
        ]

    def _count_strikes(self, digest: str) -> int:
        """Counts the strikes; one in both states counts once.

        Either the soft or the replicated state may receive a strike first.
        """
        soft = {
            state.crash_id(*_parse_record_id(record_id))
            for record_id in self._record_ids(digest, StrikeState.SUSPECTED)
        }
        return len(soft.union(self._recorded.get(digest, ())))

    def _update_block(self, digest: str, before: int) -> None:
        """Updates the time of the last strike if the content is blocked."""
        count = self._count_strikes(digest)
        if count < decisions.BLOCKING_STRIKES:
            self._last_strike_s.pop(digest, None)
        elif count > before:
            self._last_strike_s[digest] = self._clock.now()

    def _on_record(self, record: membership.Record) -> None:
        if record.sequence not in _TTL_S_BY_STATE or not _RECORD_ID.fullmatch(
            record.id
        ):
            # Written by a version with another record format.
            self._counters.increment("gateway.strikes_not_understood")
            return
        digest, _, crash = record.id.partition("/")
        with self._lock:
            before = self._count_strikes(digest)
            state_by_id = self._states_by_digest[digest]
            if record.removed:
                state_by_id.pop(record.id, None)
            else:
                state_by_id[record.id] = StrikeState(record.sequence)
            if not state_by_id:
                del self._states_by_digest[digest]
            self._update_block(digest, before)
            left = len(self._record_ids(digest, StrikeState.SUSPECTED))
        if record.removed and record.sequence == StrikeState.CONFIRMED:
            self._log.note(
                "strike_dropped",
                keep=True,
                content=digest,
                upstream=crash,
                owner=record.owner,
                left=left,
            )

    def _on_view(self, view: state.View) -> None:
        with self._lock:
            digests = {*self._recorded, *view.crashes_by_digest}
            before = {digest: self._count_strikes(digest) for digest in digests}
            self._recorded = view.crashes_by_digest
            for digest, count in before.items():
                self._update_block(digest, count)

    def _set_gauges(self) -> None:
        with self._lock:
            suspected = len({*self._states_by_digest, *self._recorded})
            blocked = len(self._last_strike_s)
        self._counters.gauge("gateway.contents_with_strikes", suspected)
        self._counters.gauge("gateway.contents_blocked", blocked)


def _parse_record_id(record_id: str) -> tuple[str, int]:
    """Returns the upstream and incarnation of a strike."""
    found = _RECORD_ID.fullmatch(record_id)
    assert found, record_id
    name, incarnation = found.groups()
    return name, int(incarnation)
