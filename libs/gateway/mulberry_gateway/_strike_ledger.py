"""All strikes that are known, of the soft and of the replicated state."""

import collections
import dataclasses
import itertools
import threading
from collections.abc import Mapping, Sequence

import mulberry_core as core
import mulberry_membership as membership
import mulberry_state as state
from mulberry_gateway import _incomplete_runs, _strike_records

#: How long the soft state keeps a confirmed strike, seconds. Callers repeat a
#: failed request within seconds.
_CONFIRMED_TTL_S = 120.0
#: How long the soft state keeps a strike whose upstream still accepts
#: connections, seconds: until announcements show whether it was lost.
SUSPECTED_TTL_S = _incomplete_runs.WATCH_S

#: Maximum number of crashes whose time is remembered.
_MAX_CRASHES = 1_024

_KIND = membership.RecordKind.STRIKE
_StrikeState = _strike_records.StrikeState

_TTL_S_BY_STATE = {
    _StrikeState.SUSPECTED: SUSPECTED_TTL_S,
    _StrikeState.CONFIRMED: _CONFIRMED_TTL_S,
    _StrikeState.CLEARED: _CONFIRMED_TTL_S,
}


@dataclasses.dataclass(frozen=True)
class SeenStrike:
    """A strike, and when this instance heard of its crash."""

    strike: _strike_records.Strike
    #: `Clock.now` of the first strike by the same crash, seconds.
    seen_s: float
    #: Whether this instance gave the strike.
    is_own: bool
    #: `Clock.now` of the last strike before this one, seconds.
    grew_before_s: float


class StrikeLedger:
    """Merges the strikes of the soft state and of the replicated state.

    The soft state spreads strikes to other instances within milliseconds. The
    replicated state keeps some of them across a restart of all instances; it is
    loaded before an instance serves its first request. Either may receive a
    strike first, so a strike in both counts once.
    """

    def __init__(
        self,
        soft_state: membership.SoftState,
        client: state.StateClient,
        clock: core.Clock,
        counters: core.Counters,
        log: core.DecisionLog,
    ) -> None:
        self._soft_state = soft_state
        self._clock = clock
        self._counters = counters
        self._log = log
        self._lock = threading.Lock()
        #: By digest and record id.
        self._seen_by_digest: dict[str, dict[str, SeenStrike]] = (
            collections.defaultdict(dict)
        )
        #: Crashes recorded in the replicated state, by digest.
        self._recorded: Mapping[str, tuple[str, ...]] = {}
        #: Number of strikes, by digest; at least 1.
        self._count_by_digest: dict[str, int] = {}
        #: `Clock.now` when this number last grew, by digest.
        self._grew_s: dict[str, float] = {}
        #: `Clock.now` of the first strike, by crash id, oldest first.
        self._seen_by_crash: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._revision = 0
        soft_state.subscribe(_KIND, self._on_record)
        client.subscribe(self._on_view)
        self._on_view(client.view())

    @property
    def revision(self) -> int:
        """Number that changes with each change of a strike."""
        return self._revision

    def crashes(self, digest: str) -> frozenset[str]:
        """Returns the ids of the crashes with an uncleared strike."""
        with self._lock:
            return self._crashes(digest)

    def confirmed(self, digest: str) -> Sequence[_strike_records.Strike]:
        """Returns the confirmed, uncleared strikes of the soft state."""
        return [
            seen.strike
            for seen in self.uncleared(digest)
            if seen.strike.state is _StrikeState.CONFIRMED
        ]

    def suspected(self) -> Sequence[_strike_records.Strike]:
        """Returns the suspected strikes of all subjects."""
        with self._lock:
            return [
                seen.strike
                for seen_by_id in self._seen_by_digest.values()
                for seen in seen_by_id.values()
                if seen.strike.state is _StrikeState.SUSPECTED
            ]

    def own_confirmed(self, digest: str) -> Sequence[_strike_records.Strike]:
        """Returns those of the confirmed strikes that this instance gave."""
        return [
            seen.strike
            for seen in self.uncleared(digest)
            if seen.is_own and seen.strike.state is _StrikeState.CONFIRMED
        ]

    def uncleared(self, digest: str) -> Sequence[SeenStrike]:
        """Returns the uncleared strikes of the soft state."""
        with self._lock:
            return self._uncleared(digest)

    def was_cleared(self, digest: str) -> bool:
        """Whether a run has cleared strikes that are still remembered."""
        with self._lock:
            return any(
                seen.strike.state is _StrikeState.CLEARED
                for seen in self._seen_by_digest.get(digest, {}).values()
            )

    def recorded(self, digest: str) -> Sequence[str]:
        """Returns the crash ids in the replicated state."""
        return self._recorded.get(digest, ())

    def grew_s(self, digest: str) -> float:
        """Returns `Clock.now` when the last strike became known, seconds."""
        with self._lock:
            return self._grew_s.get(digest, 0.0)

    def digests(self, min_strikes: int = 1) -> Sequence[str]:
        """Returns the digests with at least this many strikes."""
        with self._lock:
            return [
                digest
                for digest, count in self._count_by_digest.items()
                if count >= min_strikes
            ]

    def publish(self, strike: _strike_records.Strike) -> bool:
        """Publishes a strike; returns whether its state is new."""
        record_id = strike.record_id
        with self._lock:
            seen = self._seen_by_digest.get(strike.subject.digest, {}).get(
                record_id
            )
        if seen is not None and seen.strike.state >= strike.state:
            return False
        return self._soft_state.put(
            _KIND,
            record_id,
            incarnation=0,
            sequence=strike.state,
            payload=strike.payload,
            ttl_s=_TTL_S_BY_STATE[strike.state],
            urgent=True,
        )

    def withdraw(self, strike: _strike_records.Strike) -> None:
        """Removes a suspected strike that this instance has published."""
        self._soft_state.remove(_KIND, strike.record_id)

    def clear(self, digest: str) -> None:
        """Clears the strikes of the soft state held now."""
        for seen in self.uncleared(digest):
            self.publish(
                dataclasses.replace(seen.strike, state=_StrikeState.CLEARED)
            )

    def crash_seen_s(
        self, upstream: str, incarnation: int
    ) -> float | core.Missing:
        """Returns `Clock.now` of the first strike by a crash, seconds.

        Unset if no strike by it is known.
        """
        crash_id = state.crash_id(upstream, incarnation)
        with self._lock:
            return self._seen_by_crash.get(crash_id, core.Missing.UNSET)

    def has_open_trial(self, digest: str) -> bool:
        """Whether a trial of a subject has begun and not ended."""
        return any(seen.strike.is_open_trial for seen in self.uncleared(digest))

    def crashes_since(self, since_s: float) -> Mapping[str, float]:
        """Returns `Clock.now` of the first strike of recent crashes, by id."""
        with self._lock:
            return dict(
                itertools.takewhile(
                    lambda crash: crash[1] > since_s,
                    reversed(self._seen_by_crash.items()),
                )
            )

    # Called with the lock held.

    def _uncleared(self, digest: str) -> list[SeenStrike]:
        return [
            seen
            for seen in self._seen_by_digest.get(digest, {}).values()
            if seen.strike.state < _StrikeState.CLEARED
        ]

    def _crashes(self, digest: str) -> frozenset[str]:
        soft = (seen.strike.crash_id for seen in self._uncleared(digest))
        return frozenset((*soft, *self._recorded.get(digest, ())))

    def _update(self, digest: str) -> None:
        """Updates the number of strikes after a change."""
        self._revision += 1
        before = self._count_by_digest.pop(digest, 0)
        count = len(self._crashes(digest))
        if count:
            self._count_by_digest[digest] = count
        else:
            self._grew_s.pop(digest, None)
        if count > before:
            self._grew_s[digest] = self._clock.now()

    def _crash_seen_s(self, strike: _strike_records.Strike) -> float:
        """Returns when the first strike by a crash became known, seconds."""
        now_s = self._clock.now()
        if strike.is_open_trial:
            return now_s
        seen_s = self._seen_by_crash.setdefault(strike.crash_id, now_s)
        if len(self._seen_by_crash) > _MAX_CRASHES:
            self._seen_by_crash.popitem(last=False)
        return seen_s

    def _on_record(self, record: membership.Record) -> None:
        strike = _strike_records.decode(record)
        if isinstance(strike, core.Missing):
            self._counters.increment("gateway.strikes_not_understood")
            return
        digest = strike.subject.digest
        with self._lock:
            seen_by_id = self._seen_by_digest[digest]
            old = seen_by_id.pop(record.id, None)
            if not record.removed:
                seen_by_id[record.id] = SeenStrike(
                    strike,
                    self._crash_seen_s(strike),
                    record.owner == self._soft_state.owner,
                    self._grew_s.get(digest, 0.0),
                )
            if not seen_by_id:
                del self._seen_by_digest[digest]
            self._update(digest)
            if record.removed and old is not None and old.strike.is_open_trial:
                # The trial showed nothing, so the next one may follow.
                self._grew_s[digest] = old.grew_before_s
            left = len(self._uncleared(digest))
        if record.removed and strike.state is _StrikeState.CONFIRMED:
            self._log.note(
                "strike_dropped",
                keep=True,
                content=digest,
                upstream=f"{strike.upstream}.{strike.incarnation}",
                owner=record.owner,
                left=left,
            )

    def _on_view(self, view: state.View) -> None:
        with self._lock:
            if view.crashes_by_digest == self._recorded:
                return
            changed = {*self._recorded, *view.crashes_by_digest}
            self._recorded = view.crashes_by_digest
            for digest in changed:
                self._update(digest)
