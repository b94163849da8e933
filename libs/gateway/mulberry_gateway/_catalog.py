"""Lists the usable upstreams of each service."""

import dataclasses
import math
import threading
from collections.abc import Mapping, Sequence

import mulberry_core as core
import mulberry_membership as membership

#: How long an upstream stays in use after the instance that published its
#: record was lost, seconds. The upstream announces itself to another instance
#: within two announcement periods.
RETAIN_S = 8.0
#: Upper bound of times in the log, which has no infinite numbers, seconds.
_MAX_LOGGED_S = 999.0

#: Incarnation and sequence of a record.
_Order = tuple[int, int]
#: Less than the order of every record.
_NEVER: _Order = (-1, -1)


@dataclasses.dataclass(frozen=True)
class _CatalogEntry:
    upstream: membership.Upstream
    #: `Clock.now` when it was last listed, seconds.
    listed_s: float
    #: `Clock.now` since when its home is another one than before, seconds; -inf
    #: if this instance knows no earlier home.
    home_since_s: float = -math.inf


class UpstreamCatalog:
    """Lists upstreams by service; retains those whose publisher was lost.

    The records that an instance published disappear with it. Without the
    retention, the loss of many instances would leave the others without
    upstreams although all upstreams run. What an upstream said of leaving
    holds whatever became of the instance that published it.
    """

    def __init__(
        self,
        directory: membership.UpstreamDirectory,
        soft_state: membership.SoftState,
        clock: core.Clock,
        log: core.DecisionLog,
    ) -> None:
        self._directory = directory
        self._soft_state = soft_state
        self._clock = clock
        self._log = log
        self._lock = threading.Lock()
        self._directory_snapshot: Mapping[str, membership.Upstream] = {}
        self._entry_by_name: dict[str, _CatalogEntry] = {}
        #: Upstreams that were in use although not listed at the last rebuild.
        self._retained_names: frozenset[str] = frozenset()
        self._by_service: dict[str, tuple[membership.Upstream, ...]] = {}
        #: Guards the departures. Separate from `_lock`, which is held while the
        #: directory is asked: the directory publishes, and so calls
        #: `_on_record`, with a lock held that it needs to answer.
        self._departure_lock = threading.Lock()
        #: Order of the newest record with which an upstream said that it
        #: leaves. Kept here because a record is purged after its home has
        #: restarted.
        self._departure_by_name: dict[str, _Order] = {}
        soft_state.subscribe(membership.RecordKind.UPSTREAM, self._on_record)

    def for_service(self, service: str) -> Sequence[membership.Upstream]:
        """Returns the upstreams of a service, including leaving ones."""
        with self._lock:
            self._refresh()
            return self._by_service.get(service, ())

    def by_service(self) -> Mapping[str, Sequence[membership.Upstream]]:
        """Returns the upstreams of all services, including leaving ones."""
        with self._lock:
            self._refresh()
            return self._by_service

    def find(self, name: str) -> membership.Upstream | core.Missing:
        """Returns the upstream with this name; unset if there is none."""
        with self._lock:
            self._refresh()
            entry = self._entry_by_name.get(name)
        return core.Missing.UNSET if entry is None else entry.upstream

    def is_retained(self, name: str) -> bool:
        """Whether an upstream is in use although it is no longer listed."""
        return name in self._retained_names

    def home_since_s(self, name: str) -> float:
        """Returns `Clock.now` since when an upstream has its home, seconds.

        It is -inf if this instance knows no earlier home.
        """
        with self._lock:
            entry = self._entry_by_name.get(name)
        return -math.inf if entry is None else entry.home_since_s

    def names(self) -> frozenset[str]:
        """Returns the names of all upstreams in use."""
        with self._lock:
            return frozenset(self._entry_by_name)

    def has_departed(self, upstream: membership.Upstream) -> bool:
        """Whether an upstream of this list leaves or has left by now.

        Unlike the list, also uses records that are not listed because of the
        state of their home.
        """
        order = (upstream.incarnation, upstream.sequence)
        with self._departure_lock:
            departure = self._departure_by_name.get(upstream.name, _NEVER)
        if departure >= order:
            return True
        record = self._soft_state.latest(
            membership.RecordKind.UPSTREAM, upstream.name
        )
        return (
            not isinstance(record, core.Missing)
            and (record.incarnation, record.sequence) >= order
            and membership.says_departed(record)
        )

    def prune_departures(self) -> None:
        """Drops the departures of upstreams that are not in use."""
        names = self.names()
        with self._departure_lock:
            self._departure_by_name = {
                name: order
                for name, order in self._departure_by_name.items()
                if name in names
            }

    def _on_record(self, changed: membership.Record) -> None:
        """Notes and logs an upstream's departure when its record arrives.

        The change also tells that a record is no longer listed, so what it
        says is read from the stored one.
        """
        record = self._soft_state.latest(changed.kind, changed.id)
        if isinstance(record, core.Missing):
            return
        if membership.says_leaving(record):
            order = (record.incarnation, record.sequence)
            with self._departure_lock:
                self._departure_by_name[record.id] = max(
                    order, self._departure_by_name.get(record.id, _NEVER)
                )
        if membership.says_departed(record):
            self._log.note(
                "departure",
                name=record.id,
                incarnation=record.incarnation,
                home=record.owner,
                state="left" if record.removed else "leaving",
            )

    def _refresh(self) -> None:
        snapshot = self._directory.upstreams()
        if snapshot is not self._directory_snapshot or any(
            self.has_departed(self._entry_by_name[name].upstream)
            for name in self._retained_names
        ):
            self._rebuild(snapshot)

    def _rebuild(self, snapshot: Mapping[str, membership.Upstream]) -> None:
        now_s = self._clock.now()
        self._directory_snapshot = snapshot
        for name, listed in snapshot.items():
            upstream = listed
            if self.has_departed(listed):
                upstream = dataclasses.replace(
                    listed, state=membership.UpstreamState.LEAVING
                )
            old = self._entry_by_name.get(name)
            if old is None or old.upstream.state is not upstream.state:
                self._log.note(
                    "upstream",
                    name=name,
                    service=_service_name(upstream),
                    address=upstream.address,
                    state=upstream.state.value,
                    release=upstream.release,
                    incarnation=upstream.incarnation,
                    home=upstream.home,
                )
            home_since_s = -math.inf if old is None else old.home_since_s
            if old is not None and old.upstream.home != upstream.home:
                home_since_s = now_s
            self._entry_by_name[name] = _CatalogEntry(
                upstream, now_s, home_since_s
            )
        for name in [n for n in self._entry_by_name if n not in snapshot]:
            self._drop_if_expired(name, now_s)
        self._retained_names = frozenset(self._entry_by_name) - set(snapshot)
        by_service: dict[str, list[membership.Upstream]] = {}
        for entry in self._entry_by_name.values():
            by_service.setdefault(_service_name(entry.upstream), []).append(
                entry.upstream
            )
        self._by_service = {
            service: tuple(upstreams)
            for service, upstreams in by_service.items()
        }

    def _drop_if_expired(self, name: str, now_s: float) -> None:
        entry = self._entry_by_name[name]
        record = self._soft_state.latest(membership.RecordKind.UPSTREAM, name)
        removed = not isinstance(record, core.Missing) and record.removed
        leaving = (
            entry.upstream.state is membership.UpstreamState.LEAVING
            or self.has_departed(entry.upstream)
        )
        if removed or leaving or now_s - entry.listed_s > RETAIN_S:
            del self._entry_by_name[name]
            self._log.note(
                "upstream",
                name=name,
                service=_service_name(entry.upstream),
                state="removed" if removed else "left" if leaving else "lost",
                listed_age_s=round(now_s - entry.listed_s, 2),
            )
        elif name not in self._retained_names:
            self._log_retained(entry.upstream, record)

    def _log_retained(
        self,
        upstream: membership.Upstream,
        record: membership.Record | core.Missing,
    ) -> None:
        """Logs that an upstream stays in use, and what its home is now."""
        home, departed = upstream.home, False
        if not isinstance(record, core.Missing):
            home, departed = record.owner, membership.says_departed(record)
        self._log.note(
            "upstream",
            name=upstream.name,
            service=_service_name(upstream),
            state="retained",
            incarnation=upstream.incarnation,
            home=home,
            departed=departed,
            stale_s=round(
                min(self._soft_state.staleness_s(home), _MAX_LOGGED_S), 2
            ),
        )


def _service_name(upstream: membership.Upstream) -> str:
    service = upstream.service
    return "" if isinstance(service, core.Missing) else service
