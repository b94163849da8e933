"""Requests that were running when upstreams were lost, on all instances."""

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

#: Strikes from which a content's are recorded in the replicated state. Each
#: loss gives one strike to all that ran there, seldom a second.
_MIN_RECORDED_STRIKES = 2
#: How long the soft state keeps a strike, seconds. Callers that send such a
#: request again do so within seconds.
_CONFIRMED_TTL_S = 120.0
#: The same for one whose upstream takes connections, seconds: until its
#: announcements show whether it was lost.
_SUSPECTED_TTL_S = _incomplete_runs.WATCH_S
#: Instances let a blocked content run again after one to this many times its
#: block, so that not all of them do at the same moment.
_MAX_JITTER = 2.0
#: How long a complete run speaks for a content, seconds.
_COMPLETED_VALID_S = 60.0
#: Contents of the last complete runs that are remembered.
_MAX_COMPLETED = 4_096

_KIND = membership.RecordKind.STRIKE


class StrikeState(enum.IntEnum):
    """What is known of a strike; a higher standing replaces a lower one."""

    #: The run broke off, but its upstream takes connections.
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

#: Content, upstream and incarnation.
_RECORD_ID = re.compile(r"[^/]+/(.+)\.([0-9]+)")

#: Outcomes after which a connection attempt shows whether the upstream ended.
PROBED_OUTCOMES = frozenset(
    {
        _upstream_call.Fault.NO_ANSWER.value,
        _upstream_call.Fault.TRUNCATED.value,
    }
)
#: Outcomes that say nothing of the upstream by themselves.
_WATCHED_OUTCOMES = frozenset(
    {
        _upstream_call.Fault.LOST.value,
        _upstream_call.Fault.SILENT.value,
        _upstream_call.Fault.CALLER_GONE.value,
    }
)


class RequestQuarantine:
    """Counts strikes by content, since callers come again under new ids.

    Answers a request that crashes each upstream that begins to run it: every
    repeat takes away an upstream, and the runs beside it, for seconds. A
    content gets a strike for each upstream that is lost during its run, and
    is blocked for a while from the third on; a complete run clears the strikes
    that it has by then.

    The soft state tells the others within milliseconds. The replicated state
    keeps the strikes of contents with more than one over restarts of all
    instances; it has them before an instance serves its first request.
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
        #: Standing of each strike by its record's id, by content.
        self._states_by_digest: dict[str, dict[str, StrikeState]] = (
            collections.defaultdict(dict)
        )
        #: Crashes in the replicated state, by content.
        self._recorded: Mapping[str, tuple[str, ...]] = {}
        #: `Clock.now` of the last strike, by content with enough of them.
        self._last_strike_s: dict[str, float] = {}
        #: `Clock.now` of the last complete run here, by content, oldest first.
        self._completed_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._jitter = random.uniform(1.0, _MAX_JITTER)
        soft_state.subscribe(_KIND, self._on_record)
        client.subscribe(self._on_view)
        self._on_view(client.view())

    def strikes(self, digest: str) -> int:
        """Returns how many upstreams were lost while they ran a content."""
        with self._lock:
            return self._count_strikes(digest)

    def blocked_s(self, digest: str) -> float:
        """Returns for how long the content must not be sent, seconds."""
        with self._lock:
            last_s = self._last_strike_s.get(digest)
            if last_s is None:
                return 0.0
            now_s = self._clock.now()
            completed_s = self._completed_s.get(digest, float("-inf"))
            term_s = decisions.block_s(
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
        """Notes the end of a run.

        Args:
            exchange: Whose run it was.
            attempt: With its outcome.
            upstream: Where it ran.
            is_lost: Whether the upstream was seen to take no connections.
        """
        if attempt.is_complete:
            self._on_completed(exchange.content_digest)
            return
        digest, request_id = (
            exchange.content_digest,
            exchange.metadata.request_id,
        )
        outcome = attempt.outcome
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
        """Confirms strikes of upstreams that have ended since.

        To be called a few times between two announcements of an upstream.
        """
        for run in self._incomplete_runs.pop_lost():
            self._add_strike(
                run.digest, run.request_id, run.upstream, "ended_since"
            )
        self._set_gauges()

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
            # Another request of the content has told of the same loss.
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
            # The commands that record them may still wait.
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
        """Publishes a strike; returns whether the standing is news."""
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

    def _record_ids(self, digest: str, least: StrikeState) -> list[str]:
        """Returns the strikes of the soft state with this standing or more."""
        return [
            record_id
            for record_id, strike_state in self._states_by_digest.get(
                digest, {}
            ).items()
            if least <= strike_state < StrikeState.CLEARED
        ]

    def _count_strikes(self, digest: str) -> int:
        """Returns the strikes; one that is in both states counts once.

        Either state may be the first to tell of a strike.
        """
        soft = {
            state.crash_id(*_parse_record_id(record_id))
            for record_id in self._record_ids(digest, StrikeState.SUSPECTED)
        }
        return len(soft.union(self._recorded.get(digest, ())))

    def _update_block(self, digest: str, before: int) -> None:
        """Keeps the time of the last strike of a content that may run no more."""
        count = self._count_strikes(digest)
        if count < decisions.BLOCKING_STRIKES:
            self._last_strike_s.pop(digest, None)
        elif count > before:
            self._last_strike_s[digest] = self._clock.now()

    def _on_record(self, record: membership.Record) -> None:
        if record.sequence not in _TTL_S_BY_STATE or not _RECORD_ID.fullmatch(
            record.id
        ):
            # Of a version that numbers or names strikes in another way.
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
    """Returns upstream and incarnation of a strike."""
    found = _RECORD_ID.fullmatch(record_id)
    assert found, record_id
    name, incarnation = found.groups()
    return name, int(incarnation)
