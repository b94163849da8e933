"""Directory of upstreams: accepts announcements and lists all upstreams."""

import dataclasses
import enum
import math
import threading
from collections.abc import Mapping

import mulberry_core as core
from mulberry_membership import (
    _announcements,
    _records,
    _soft_state,
    _upstreams,
)

#: Minimum interval between publications in which only the load changed,
#: seconds.
MIN_LOAD_INTERVAL_S = 1.0
#: Load changes below both thresholds are not published: refreshing 600
#: upstreams every 1.5 s would cost every instance about 24 KB/s, of a budget of
#: 5 KB/s.
LOAD_CHANGE_SHARE = 0.25
LOAD_CHANGE_REQUESTS = 2
#: How long the order of an expired upstream is kept, seconds. After that, an
#: old announcement would be accepted, but only if it was delayed for this long
#: on its connection.
ORDER_RETENTION_S = 600.0
#: Maximum number of upstreams of one home; limits the memory that faulty
#: announcers can consume.
MAX_UPSTREAMS = 5_000
#: Period of `tick`, seconds.
TICK_PERIOD_S = 0.25
#: Upstreams are not listed once the records of their home may have been out of
#: date for this long, seconds. The home may have learned meanwhile that they
#: are leaving, and a leaving upstream must get no new requests after 3 s.
MAX_STALENESS_S = 2.0

#: Maximum age of a snapshot of all upstreams, seconds. Decoding 600 records for
#: each request took 5 ms; loads are published at most once a second.
SNAPSHOT_MAX_AGE_S = 0.1

#: The end of a cold time is published again if it has moved back by more than
#: this, seconds. Announcements arrive with different delays.
COLD_TOLERANCE_S = 0.1

_KIND = _records.RecordKind.UPSTREAM


class AnnounceOutcome(enum.Enum):
    """How an announcement was handled."""

    #: It is the newest announcement of its upstream.
    ACCEPTED = "accepted"
    #: An announcement at least as new is known; this one is ignored.
    OUTDATED = "outdated"
    #: This instance has reached its maximum number of upstreams.
    FULL = "full"


@dataclasses.dataclass
class _LocalUpstream:
    """An upstream that sends its announcements to this instance."""

    newest: _announcements.Announcement
    #: Local time at which the newest announcement expires, seconds.
    expires_s: float
    #: Local time at which the newest announcement arrived, seconds.
    arrived_s: float
    #: Announcement last published to the soft state.
    published: _announcements.Announcement | core.Missing
    published_s: float
    #: Cleared when the upstream expires. The entry is kept for
    #: `ORDER_RETENTION_S` to reject old announcements.
    live: bool

    @property
    def cold_until_s(self) -> float:
        """Local time until which the upstream is cold; -inf if it is warm."""
        cold_s = self.newest.cold_s
        return self.arrived_s + cold_s if cold_s else -math.inf


@dataclasses.dataclass(frozen=True)
class _Snapshot:
    """Cached list of all upstreams."""

    upstreams_by_name: Mapping[str, _upstreams.Upstream]
    #: Local time until which the snapshot is used, seconds.
    valid_until_s: float
    #: Increases with each reading of the records that was begun.
    number: int


class UpstreamDirectory:
    """Accepts announcements and lists the upstreams of all homes.

    The home of an upstream is the instance that receives its announcements and
    publishes its record.
    """

    def __init__(
        self,
        soft_state: _soft_state.SoftState,
        clock: core.Clock,
        counters: core.Counters,
        snapshot_max_age_s: float = SNAPSHOT_MAX_AGE_S,
    ) -> None:
        """Creates a directory without local upstreams.

        Args:
            soft_state: Replicates the upstream records of all homes.
            clock: Source of local time.
            counters: Receives `membership.*`.
            snapshot_max_age_s: Maximum age of the cached list of all upstreams
                while no record changes, seconds.
        """
        self._soft_state = soft_state
        self._snapshot_max_age_s = snapshot_max_age_s
        self._clock = clock
        self._counters = counters
        self._lock = threading.Lock()
        self._local_by_name: dict[str, _LocalUpstream] = {}
        self._snapshot_lock = threading.Lock()
        self._snapshot = _Snapshot({}, -math.inf, 0)
        self._snapshots_begun = 0
        self._changed = threading.Event()
        soft_state.subscribe(_KIND, lambda record: self._changed.set())

    def start(self, timers: core.TimerService) -> core.Subscription:
        """Starts to call `tick` from the timer service."""
        return timers.every(TICK_PERIOD_S, self.tick, "upstream directory")

    def announce(
        self, announcement: _announcements.Announcement
    ) -> AnnounceOutcome:
        """Handles an announcement that arrived at this instance."""
        with self._lock:
            outcome = self._accept(announcement)
        self._counters.increment(f"membership.announcements.{outcome.value}")
        return outcome

    def tick(self) -> None:
        """Publishes deferred load changes and expires silent upstreams."""
        now_s = self._clock.now()
        with self._lock:
            for name, local in list(self._local_by_name.items()):
                if local.live and local.expires_s <= now_s:
                    self._expire(local)
                elif local.live:
                    self._publish_if_changed(local, now_s)
                elif local.expires_s + ORDER_RETENTION_S <= now_s:
                    del self._local_by_name[name]

    def upstreams(self) -> Mapping[str, _upstreams.Upstream]:
        """Returns the upstreams of all homes by name.

        The mapping is cached. It is rebuilt when a record changes, and after
        `snapshot_max_age_s` to update the ages of load reports. `find` returns
        the current state of one upstream, for use before a request is sent.
        """
        now_s = self._clock.now()
        with self._snapshot_lock:
            snapshot = self._snapshot
            if snapshot.valid_until_s > now_s and not self._changed.is_set():
                return snapshot.upstreams_by_name
            self._changed.clear()
            self._snapshots_begun += 1
            number = self._snapshots_begun
        found = {
            name: upstream
            for name, record in self._soft_state.records(_KIND).items()
            if not isinstance(upstream := self._read(record), core.Missing)
        }
        read = _Snapshot(found, now_s + self._snapshot_max_age_s, number)
        with self._snapshot_lock:
            # Another thread may have read newer records meanwhile.
            if number > self._snapshot.number:
                self._snapshot = read
            return self._snapshot.upstreams_by_name

    def announced_age_s(self, name: str) -> float:
        """Returns the seconds since an upstream announced itself here.

        Infinite if it has not, or its newest announcement has expired.
        """
        with self._lock:
            local = self._local_by_name.get(name)
        if not local or not local.live:
            return math.inf
        return self._clock.now() - local.arrived_s

    def find(self, name: str) -> _upstreams.Upstream | core.Missing:
        """Returns the current state of one upstream; unset if unknown."""
        record = self._soft_state.latest(_KIND, name)
        if isinstance(record, core.Missing) or record.removed:
            return core.Missing.UNSET
        return self._read(record)

    def _read(
        self, record: _records.Record
    ) -> _upstreams.Upstream | core.Missing:
        if self._soft_state.staleness_s(record.owner) > MAX_STALENESS_S:
            return core.Missing.UNSET
        upstream = _upstreams.decode_upstream(
            record,
            self._soft_state.age_s(_KIND, record.id),
            self._clock.now(),
        )
        if isinstance(upstream, core.Missing):
            self._soft_state.report_unreadable(record)
            return upstream
        return self._with_newest_load(upstream)

    def _accept(
        self, announcement: _announcements.Announcement
    ) -> AnnounceOutcome:
        name = announcement.name
        local = self._local_by_name.get(name)
        if local and announcement.order <= local.newest.order:
            return AnnounceOutcome.OUTDATED
        if self._is_outdated(announcement):
            return AnnounceOutcome.OUTDATED
        if not local and len(self._local_by_name) >= MAX_UPSTREAMS:
            return AnnounceOutcome.FULL
        now_s = self._clock.now()
        local = _LocalUpstream(
            newest=announcement,
            expires_s=now_s + announcement.valid_s,
            arrived_s=now_s,
            published=local.published if local else core.Missing.UNSET,
            published_s=local.published_s if local else -MIN_LOAD_INTERVAL_S,
            live=True,
        )
        self._local_by_name[name] = local
        self._publish_if_changed(local, now_s)
        return AnnounceOutcome.ACCEPTED

    def _is_outdated(self, announcement: _announcements.Announcement) -> bool:
        """Whether the soft state has a record at least as new."""
        record = self._soft_state.latest(_KIND, announcement.name)
        if isinstance(record, core.Missing):
            return False
        return announcement.order <= (record.incarnation, record.sequence)

    def _publish_if_changed(self, local: _LocalUpstream, now_s: float) -> None:
        published = local.published
        if (
            isinstance(published, core.Missing)
            or not self._is_listed_as_local(local)
            or not _differs_only_in_load(published, local.newest)
            or _is_cold_for_longer(local, published, now_s)
        ):
            self._publish(local, now_s, urgent=True)
            return
        interval_passed = now_s - local.published_s >= MIN_LOAD_INTERVAL_S
        if interval_passed and (
            _load_changed(published, local.newest)
            or _has_warmed_up(local, published, now_s)
        ):
            self._publish(local, now_s, urgent=False)

    def _is_listed_as_local(self, local: _LocalUpstream) -> bool:
        """Whether the soft state lists this instance as the upstream's home."""
        record = self._soft_state.latest(_KIND, local.newest.name)
        return (
            not isinstance(record, core.Missing)
            and not record.removed
            and record.owner == self._soft_state.owner
        )

    def _publish(
        self, local: _LocalUpstream, now_s: float, urgent: bool
    ) -> None:
        newest = local.newest
        if newest.cold_s:
            # The announcement may have arrived some time ago.
            newest = dataclasses.replace(
                newest, cold_s=max(0.0, local.cold_until_s - now_s)
            )
        self._soft_state.put(
            _KIND,
            newest.name,
            newest.incarnation,
            newest.sequence,
            _upstreams.encode_upstream(newest),
            urgent=urgent,
        )
        local.published = newest
        local.published_s = now_s
        self._counters.increment("membership.upstream_records")

    def _expire(self, local: _LocalUpstream) -> None:
        local.live = False
        local.published = core.Missing.UNSET
        # If the upstream has moved to another home, the record published there
        # has a higher order and this removal is ignored.
        self._soft_state.put(
            _KIND,
            local.newest.name,
            local.newest.incarnation,
            local.newest.sequence,
            b"",
            removed=True,
            urgent=True,
        )
        self._counters.increment("membership.upstreams_expired")

    def _with_newest_load(
        self, upstream: _upstreams.Upstream
    ) -> _upstreams.Upstream:
        """Updates the load from the newest local announcement, if any."""
        with self._lock:
            local = self._local_by_name.get(upstream.name)
        if not local or not local.live:
            return upstream
        newest = local.newest
        if newest.order < (upstream.incarnation, upstream.sequence):
            return upstream
        return dataclasses.replace(
            upstream,
            sequence=newest.sequence,
            running=newest.running,
            queued=newest.queued,
            load_age_s=self._clock.now() - local.arrived_s,
            cold_until_s=local.cold_until_s,
        )


def _differs_only_in_load(
    published: _announcements.Announcement,
    newest: _announcements.Announcement,
) -> bool:
    """Whether at most the load, the sequence and the cold time differ."""
    return published == dataclasses.replace(
        newest,
        sequence=published.sequence,
        running=published.running,
        queued=published.queued,
        cold_s=published.cold_s,
    )


def _is_cold_for_longer(
    local: _LocalUpstream,
    published: _announcements.Announcement,
    now_s: float,
) -> bool:
    """Whether the upstream is cold for longer than published."""
    published_until_s = (
        local.published_s + published.cold_s if published.cold_s else -math.inf
    )
    known_until_s = max(published_until_s, now_s)
    return local.cold_until_s > known_until_s + COLD_TOLERANCE_S


def _has_warmed_up(
    local: _LocalUpstream,
    published: _announcements.Announcement,
    now_s: float,
) -> bool:
    """Whether the upstream is warm, and published as cold.

    An instance that starts later would count from the arrival of the record.
    """
    return published.cold_s > 0.0 and local.cold_until_s <= now_s


def _load_changed(
    published: _announcements.Announcement,
    newest: _announcements.Announcement,
) -> bool:
    old = published.running + published.queued
    change = abs(newest.running + newest.queued - old)
    return change >= LOAD_CHANGE_REQUESTS or (
        change > 0 and change >= LOAD_CHANGE_SHARE * old
    )
