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
    _broken_runs,
    _exchange,
    _strike_recorder,
    _upstream_call,
)

#: Strikes from which a content's are recorded in the replicated state. Each
#: loss gives one strike to all that ran there, seldom a second.
_RECORDED_FROM = 2
#: How long the soft state keeps a strike, seconds. Callers that send such a
#: request again do so within seconds.
_STRIKE_S = 120.0
#: The same for one whose upstream takes connections, seconds: until its
#: announcements show whether it was lost.
_SUSPECTED_S = _broken_runs.WATCH_S
#: Instances let a blocked content run again after one to this many times its
#: block, so that not all of them do at the same moment.
_MOST_SPREAD = 2.0
#: How long a complete run speaks for a content, seconds.
_SOUND_S = 60.0
#: Contents of the last complete runs that are remembered.
_MAX_SOUND = 4_096

_KIND = membership.RecordKind.STRIKE


class Standing(enum.IntEnum):
    """What is known of a strike; a higher standing replaces a lower one."""

    #: The run broke off, but its upstream takes connections.
    SUSPECTED = 1
    #: The upstream was lost.
    CONFIRMED = 2
    #: The content has completed a run since.
    CLEARED = 3


_TTL_S_BY_STANDING = {
    Standing.SUSPECTED: _SUSPECTED_S,
    Standing.CONFIRMED: _STRIKE_S,
    Standing.CLEARED: _STRIKE_S,
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


class Suspects:
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
        self._broken = _broken_runs.BrokenRuns(soft_state, directory, clock)
        self._lock = threading.Lock()
        #: Standing of each strike by its record's id, by content.
        self._standing_by_id: dict[str, dict[str, Standing]] = (
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
        self._spread = random.uniform(1.0, _MOST_SPREAD)
        soft_state.subscribe(_KIND, self._on_record)
        client.subscribe(self._take_view)
        self._take_view(client.view())

    def strikes(self, content: str) -> int:
        """Returns how many upstreams were lost while they ran a content."""
        with self._lock:
            return self._count(content)

    def blocked_s(self, content: str) -> float:
        """Returns for how long the content must not be sent, seconds."""
        with self._lock:
            last_s = self._last_strike_s.get(content)
            if last_s is None:
                return 0.0
            now_s = self._clock.now()
            completed_s = self._completed_s.get(content, float("-inf"))
            term_s = decisions.block_duration_s(
                self._count(content), now_s - completed_s < _SOUND_S
            )
        return max(0.0, last_s + term_s * self._spread - now_s)

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
            self._completed(exchange.content)
            return
        content, request_id = exchange.content, exchange.facts.request_id
        outcome = attempt.outcome
        if is_lost:
            self._strike(content, request_id, upstream, outcome)
        elif outcome in PROBED_OUTCOMES:
            self._counters.increment("gateway.broken_off_without_strike")
            self._log.note(
                "no_strike",
                id=request_id,
                content=content,
                upstream=upstream.name,
                outcome=outcome,
            )
            self._put(content, upstream, Standing.SUSPECTED)
            self._broken.add(content, request_id, upstream)
        elif outcome in _WATCHED_OUTCOMES:
            self._broken.add(content, request_id, upstream)

    def look(self) -> None:
        """Confirms strikes of upstreams that have ended since.

        To be called a few times between two announcements of an upstream.
        """
        for run in self._broken.take_lost():
            self._strike(
                run.content, run.request_id, run.upstream, "ended_since"
            )
        self._set_gauges()

    def _strike(
        self,
        content: str,
        request_id: str,
        upstream: membership.Upstream,
        reason: str,
    ) -> None:
        is_news = self._put(content, upstream, Standing.CONFIRMED)
        with self._lock:
            confirmed = self._ids(content, Standing.CONFIRMED)
            recorded = len(self._recorded.get(content, ()))
        self._counters.increment("gateway.strikes")
        self._log.note(
            "strike",
            keep=True,
            id=request_id,
            content=content,
            upstream=upstream.name,
            incarnation=upstream.incarnation,
            reason=reason,
            strikes=self.strikes(content),
            recorded=recorded,
        )
        if not is_news:
            # Another request of the content has told of the same loss.
            return
        if recorded:
            self._recorder.record(content, upstream.name, upstream.incarnation)
        elif len(confirmed) >= _RECORDED_FROM:
            for record_id in confirmed:
                name, incarnation = _crash_of(record_id)
                self._recorder.record(content, name, incarnation)

    def _completed(self, content: str) -> None:
        with self._lock:
            self._completed_s[content] = self._clock.now()
            self._completed_s.move_to_end(content)
            if len(self._completed_s) > _MAX_SOUND:
                self._completed_s.popitem(last=False)
            ids = self._ids(content, Standing.SUSPECTED)
            confirmed = self._ids(content, Standing.CONFIRMED)
            recorded = len(self._recorded.get(content, ()))
        if ids or recorded:
            self._log.note(
                "strikes_cleared",
                keep=True,
                content=content,
                strikes=len(ids),
                recorded=recorded,
            )
        for record_id in ids:
            self._put_id(record_id, Standing.CLEARED)
        if recorded or len(confirmed) >= _RECORDED_FROM:
            # The commands that record them may still wait.
            self._recorder.clear(content)

    def _put(
        self, content: str, upstream: membership.Upstream, standing: Standing
    ) -> bool:
        return self._put_id(
            f"{content}/{upstream.name}.{upstream.incarnation}", standing
        )

    def _put_id(self, record_id: str, standing: Standing) -> bool:
        """Publishes a strike; returns whether the standing is news."""
        return self._soft_state.put(
            _KIND,
            record_id,
            incarnation=0,
            sequence=standing,
            payload=b"",
            ttl_s=_TTL_S_BY_STANDING[standing],
            urgent=True,
        )

    # Called with the lock held.

    def _ids(self, content: str, least: Standing) -> list[str]:
        """Returns the strikes of the soft state with this standing or more."""
        return [
            record_id
            for record_id, standing in self._standing_by_id.get(
                content, {}
            ).items()
            if least <= standing < Standing.CLEARED
        ]

    def _count(self, content: str) -> int:
        """Returns the strikes; one that is in both states counts once.

        Either state may be the first to tell of a strike.
        """
        soft = {
            state.crash_id(*_crash_of(record_id))
            for record_id in self._ids(content, Standing.SUSPECTED)
        }
        return len(soft.union(self._recorded.get(content, ())))

    def _note_change(self, content: str, before: int) -> None:
        """Keeps the time of the last strike of a content that may run no more."""
        count = self._count(content)
        if count < decisions.BLOCKING_STRIKES:
            self._last_strike_s.pop(content, None)
        elif count > before:
            self._last_strike_s[content] = self._clock.now()

    def _on_record(self, record: membership.Record) -> None:
        if (
            record.sequence not in _TTL_S_BY_STANDING
            or not _RECORD_ID.fullmatch(record.id)
        ):
            # Of a version that numbers or names strikes in another way.
            self._counters.increment("gateway.strikes_not_understood")
            return
        content, _, crash = record.id.partition("/")
        with self._lock:
            before = self._count(content)
            standing_by_id = self._standing_by_id[content]
            if record.removed:
                standing_by_id.pop(record.id, None)
            else:
                standing_by_id[record.id] = Standing(record.sequence)
            if not standing_by_id:
                del self._standing_by_id[content]
            self._note_change(content, before)
            left = len(self._ids(content, Standing.SUSPECTED))
        if record.removed and record.sequence == Standing.CONFIRMED:
            self._log.note(
                "strike_dropped",
                keep=True,
                content=content,
                upstream=crash,
                owner=record.owner,
                left=left,
            )

    def _take_view(self, view: state.View) -> None:
        with self._lock:
            contents = {*self._recorded, *view.crashes_by_digest}
            before = {content: self._count(content) for content in contents}
            self._recorded = view.crashes_by_digest
            for content, count in before.items():
                self._note_change(content, count)

    def _set_gauges(self) -> None:
        with self._lock:
            suspected = len({*self._standing_by_id, *self._recorded})
            blocked = len(self._last_strike_s)
        self._counters.gauge("gateway.contents_with_strikes", suspected)
        self._counters.gauge("gateway.contents_blocked", blocked)


def _crash_of(record_id: str) -> tuple[str, int]:
    """Returns upstream and incarnation of a strike."""
    found = _RECORD_ID.fullmatch(record_id)
    assert found, record_id
    name, incarnation = found.groups()
    return name, int(incarnation)
