"""Gossip membership: the soft state of a deployment with several instances."""

import secrets
import threading
import time
from collections.abc import Callable, Mapping

from absl import logging
from google.protobuf import message

import mulberry_core as core
from mulberry_membership import (
    _forgotten,
    _identity,
    _link,
    _local,
    _member_table,
    _members,
    _peers,
    _records,
    _soft_state,
    _store,
    _transport,
    _unreadable,
)
from mulberry_wire import peer_pb2

#: Period of `tick`, seconds; changes that are not urgent are sent by it.
TICK_PERIOD_S = 0.25
#: Suspicions are kept for longer than they take to lead to a death.
SUSPICION_TTL_S = _member_table.FORGET_AFTER_S
#: Interval between purges of records whose owner has left, seconds.
PURGE_PERIOD_S = 10.0

_MEMBER = _records.RecordKind.MEMBER
_SUSPICION = _records.RecordKind.SUSPICION
#: Kinds whose records are kept after their owner is forgotten.
_RETAINED_KINDS = _member_table.OWNER_INDEPENDENT_KINDS - {_MEMBER}
_Order = tuple[int, int]


class Membership(_soft_state.SoftState, _transport.PeerHandler):
    """Joins the cluster, detects failures and replicates soft-state records.

    `start` runs the exchanges on threads; `run_once` runs them without threads.
    """

    def __init__(
        self,
        name: str,
        address: str,
        zone: str,
        region: str,
        seeds: tuple[str, ...],
        transport: _transport.PeerTransport,
        clock: core.Clock,
        counters: core.Counters,
        timing: _peers.Timing = _peers.DEFAULT_TIMING,
    ) -> None:
        """Creates the membership of one instance, which has not joined yet.

        Args:
            name: Unique among the instances.
            address: gRPC address at which peers reach this instance.
            zone: Availability zone.
            region: Region.
            seeds: gRPC addresses of instances through which to join; may
                include this instance's own address.
            transport: Sends the exchanges.
            clock: Source of local and wall-clock time.
            counters: Receives `membership.*`.
            timing: Periods and timeouts.
        """
        self._name = name
        self._payload = peer_pb2.MemberPayload(
            address=address, zone=zone, region=region
        ).SerializeToString()
        self._clock = clock
        self._counters = counters
        self._timing = timing
        self._lock = threading.RLock()
        self._identity = _identity.Identity(name, clock)
        self._session = secrets.randbits(63) + 1
        self._forgotten = _forgotten.ForgottenMembers()
        self._unreadable = _unreadable.UnreadableRecords(counters)
        self._member_callbacks: list[Callable[[_members.Member], None]] = []
        self._leaving = False
        #: Notified after each successful exchange.
        self._exchanged = threading.Condition()
        #: Stamp of the newest change when the links were last woken.
        self._pushed_stamp = 0
        self._purged_s = clock.now()
        #: `tick` updates the links, once for all members that changed since.
        #: With an update for each member, a start of 200 instances opened 285
        #: links in each.
        self._members_changed = threading.Event()
        self._subscription: core.Subscription | core.Missing = (
            core.Missing.UNSET
        )
        self._table = _member_table.MemberTable(clock, timing.dead_after_s)
        self._store = _store.RecordStore(
            clock, self._table.is_owner_valid, counters
        )
        self._store.subscribe(_MEMBER, self._on_member)
        self._store.subscribe(_SUSPICION, self._on_suspicion)
        self._peers = _peers.Peers(
            name,
            address,
            zone,
            seeds,
            self._store,
            transport,
            clock,
            counters,
            timing,
            self._merge_received,
            self._suspect,
            self._on_exchanged,
        )
        self._publish_self()

    @property
    def owner(self) -> str:
        """Name of this instance."""
        return self._name

    @property
    def incarnation(self) -> int:
        """Current incarnation of this instance."""
        return self._identity.incarnation

    def start(self, timers: core.TimerService) -> None:
        """Starts the exchanges and calls `tick` from the timer service."""
        self._subscription = timers.every(
            TICK_PERIOD_S, self.tick, "membership"
        )
        self._peers.start()

    def leave(self) -> None:
        """Announces the planned stop of this instance to its peers."""
        self._leaving = True
        self._publish_self()
        self._peers.run_once()

    def stop(self) -> None:
        """Stops the exchanges.

        Without a preceding `leave`, the other instances detect a failure and
        declare this one dead.
        """
        if not isinstance(self._subscription, core.Missing):
            self._subscription.cancel()
        self._peers.stop()

    def members(self) -> Mapping[str, _members.Member]:
        """Returns the members by name, including recently dead ones."""
        return self._table.members()

    def subscribe_members(
        self, callback: Callable[[_members.Member], None]
    ) -> None:
        """Registers a callback for changes of a member's state or record."""
        with self._lock:
            self._member_callbacks.append(callback)

    def publish(
        self,
        kind: _records.RecordKind,
        id: str,
        payload: bytes,
        ttl_s: float | core.Missing = core.Missing.UNLIMITED,
        urgent: bool = False,
    ) -> _records.Record:
        """Publishes a record of this instance."""
        record = self._identity.record(kind, id, payload, urgent=urgent)
        self._merge_own(record, _local.ttl_seconds(ttl_s))
        return record

    def put(
        self,
        kind: _records.RecordKind,
        id: str,
        incarnation: int,
        sequence: int,
        payload: bytes,
        ttl_s: float | core.Missing = core.Missing.UNLIMITED,
        removed: bool = False,
        urgent: bool = False,
    ) -> bool:
        """Publishes a record whose order is given by the caller."""
        record = _records.Record(
            kind=kind,
            id=id,
            owner=self._name,
            epoch=self._identity.epoch,
            incarnation=incarnation,
            sequence=sequence,
            payload=payload,
            removed=removed,
            urgent=urgent,
        )
        # The store limits the lifetime of a tombstone to the longest delay of a
        # message.
        ttl_s = core.Missing.UNLIMITED if removed else ttl_s
        return self._merge_own(record, _local.ttl_seconds(ttl_s))

    def remove(
        self, kind: _records.RecordKind, id: str, urgent: bool = True
    ) -> None:
        """Removes a record published by this instance, if it exists."""
        stored = self._store.latest((kind, id))
        if isinstance(stored, core.Missing) or stored.owner != self._name:
            return
        self.put(
            kind,
            id,
            stored.incarnation,
            stored.sequence,
            b"",
            removed=True,
            urgent=urgent,
        )

    def records(
        self, kind: _records.RecordKind
    ) -> Mapping[str, _records.Record]:
        """Returns the live records of a kind by id."""
        return self._store.records(kind)

    def latest(
        self, kind: _records.RecordKind, id: str
    ) -> _records.Record | core.Missing:
        """Returns the newest record of an id, even if it is a removal."""
        return self._store.latest((kind, id))

    def age_s(self, kind: _records.RecordKind, id: str) -> float:
        """Returns the seconds since the newest record arrived here."""
        return self._store.age_s((kind, id))

    def staleness_s(self, owner: str) -> float:
        """Returns how long an owner's records may have been out of date."""
        if owner == self._name:
            return 0.0
        staleness_s = self._peers.isolated_s()
        suspected_s = self._table.suspected_s(owner)
        if suspected_s > 0.0:
            staleness_s = max(
                staleness_s, suspected_s + self._timing.suspect_after_s
            )
        return staleness_s

    def isolated_s(self) -> float:
        """Returns how long all exchanges of this instance have failed."""
        return self._peers.isolated_s()

    def wait_until_shared(
        self, kind: _records.RecordKind, id: str, timeout_s: float
    ) -> bool:
        """Waits until another instance has the newest record of an id."""
        until_s = time.monotonic() + timeout_s
        with self._exchanged:
            while not self._is_shared((kind, id)):
                left_s = until_s - time.monotonic()
                if left_s <= 0.0:
                    return False
                self._exchanged.wait(left_s)
        return True

    def subscribe(
        self, kind: _records.RecordKind, callback: _soft_state.RecordCallback
    ) -> None:
        """Registers a callback for changes of records of this kind."""
        self._store.subscribe(kind, callback)

    def report_unreadable(self, record: _records.Record) -> None:
        """Logs and counts a record that a reader cannot decode, once."""
        self._unreadable.report(record)

    def handle_exchange(
        self, request: peer_pb2.ExchangeRequest
    ) -> peer_pb2.ExchangeResponse:
        """Merges the records of a peer and returns those it lacks."""
        self._peers.record_contact()
        self._merge_received(
            _link.decode_records(request, self._counters), request.sender
        )
        differing: _store.StoreDifference | core.Missing = core.Missing.UNSET
        if request.digests:
            differing = self._store.compare(request.digests)
        changes = self._changes_for(request, differing)
        response = peer_pb2.ExchangeResponse(
            session=self._session,
            stamp=changes.stamp,
            more=changes.more,
            resend=self._is_unknown(request.sender),
        )
        if not isinstance(differing, core.Missing):
            response.compared = True
            response.differing.extend(sorted(differing.buckets))
        _link.add_records(response, changes, self._clock.now())
        self._counters.increment("membership.bytes_in", request.ByteSize())
        self._counters.increment("membership.bytes_out", response.ByteSize())
        self._counters.increment(
            "membership.records_out", len(response.records)
        )
        return response

    def _changes_for(
        self,
        request: peer_pb2.ExchangeRequest,
        differing: _store.StoreDifference | core.Missing,
    ) -> _store.Changes:
        """Returns the changes that the sender of a request lacks."""
        is_current_session = request.receiver_session == self._session
        knows_earlier_process = (
            request.receiver_session and not is_current_session
        )
        if knows_earlier_process and isinstance(differing, core.Missing):
            # The sender has most of the records, and sends digests as soon as
            # it knows of this process.
            return _store.Changes((), 0, False)
        return self._store.changes_since(
            request.have_stamp if is_current_session else 0,
            request.sender if is_current_session and not request.full else "",
            _link.MAX_RECORDS_PER_MESSAGE,
            differing=differing,
            max_bytes=min(
                request.max_bytes or _store.MAX_MESSAGE_BYTES,
                _store.MAX_MESSAGE_BYTES,
            ),
        )

    def run_once(self) -> None:
        """Runs the exchanges that are due and one probe, then calls `tick`."""
        self._peers.run_once()
        self.tick()

    def tick(self) -> None:
        """Sends changes, expires records, and declares members dead."""
        self._push_changes()
        self._store.expire()
        changes = self._table.tick()
        for name in changes.died:
            logging.info(
                "member %s is dead: it did not refute a suspicion in time", name
            )
            self._counters.increment("membership.deaths")
            self._members_changed.set()
            self._store.update_visibility(name)
            self._notify_member_callbacks(name)
        if changes.orphans_expired:
            self._store.purge(
                lambda stored: self._table.is_orphan(stored.record)
            )
        for name in changes.forgotten:
            self._members_changed.set()
            self._forget(name)
        if self._members_changed.is_set():
            self._members_changed.clear()
            self._peers.update_links(self._table.members)
        self._purge_ownerless()

    def _is_shared(self, key: tuple[_records.RecordKind, str]) -> bool:
        return self._store.is_known_elsewhere(key) or not any(
            member.state is not _members.MemberState.DEAD
            for name, member in self._table.members().items()
            if name != self._name
        )

    def _on_exchanged(self) -> None:
        with self._exchanged:
            self._exchanged.notify_all()

    def _push_changes(self) -> None:
        """Wakes the links if the store has changed since the last call."""
        stamp = self._store.stamp
        if stamp != self._pushed_stamp:
            self._pushed_stamp = stamp
            self._peers.push()

    def _merge_received(
        self, received: list[tuple[_records.Record, float]], source: str
    ) -> None:
        """Merges the records received from a peer."""
        urgent = False
        for record, ttl_s in received:
            if self._forgotten.is_old_copy(record):
                self._publish_suspicion(record.id, record.incarnation)
                continue
            if record.owner == self._name and self._identity.is_superseded_by(
                record, self._store.latest(record.key)
            ):
                self._begin_new_epoch(record)
            if self._store.merge(record, ttl_s, source):
                urgent = urgent or record.urgent
        if urgent:
            self._peers.push(except_name=source)

    def _is_unknown(self, sender: str) -> bool:
        """Whether a sender must send all of its records again.

        A process that was suspended for a long time does not know that it was
        forgotten, and would send only the changes since then.
        """
        record = self._store.latest((_MEMBER, sender))
        return isinstance(record, core.Missing)

    def _begin_new_epoch(self, record: _records.Record) -> None:
        old_epoch, epoch = self._identity.raise_epoch_above(record)
        logging.info(
            "received a record of an earlier process of %s with epoch %d; "
            "raised the epoch of this instance from %d to %d",
            self._name,
            record.epoch,
            old_epoch,
            epoch,
        )
        self._counters.increment("membership.epochs_raised")
        self._publish_self()
        self._store.republish(self._name, old_epoch, epoch)

    def _publish_self(self) -> None:
        record = self._identity.record(
            _MEMBER,
            self._name,
            self._payload,
            removed=self._leaving,
            urgent=True,
        )
        self._store.merge(record)

    def _merge_own(self, record: _records.Record, ttl_s: float) -> bool:
        # Runs without the lock, because callbacks may take locks of their own.
        if not self._store.merge(record, ttl_s):
            return False
        epoch = self._identity.epoch
        if record.epoch != epoch:
            # The epoch was raised after the record was created.
            self._store.republish(self._name, record.epoch, epoch)
        if record.urgent:
            self._peers.push()
        return True

    def _on_member(self, record: _records.Record) -> None:
        order = (record.incarnation, record.sequence)
        if record.removed:
            self._on_member_left(record, order)
            return
        payload = peer_pb2.MemberPayload()
        try:
            payload.ParseFromString(record.payload)
        except message.DecodeError:
            self._counters.increment("membership.invalid_records")
            return
        member = _members.Member(
            name=record.id,
            address=payload.address,
            zone=payload.zone,
            region=payload.region,
            incarnation=record.incarnation,
            epoch=record.epoch,
            state=_members.MemberState.ALIVE,
        )
        if self._table.update(member, order):
            self._on_member_updated(member)

    def _on_member_updated(self, member: _members.Member) -> None:
        suspicion = self._store.latest((_SUSPICION, member.name))
        if not isinstance(suspicion, core.Missing) and not suspicion.removed:
            self._table.suspect(member.name, suspicion.incarnation)
        self._forgotten.drop(member.name)
        self._store.update_visibility(member.name)
        self._members_changed.set()
        self._notify_member_callbacks(member.name)

    def _on_member_left(self, record: _records.Record, order: _Order) -> None:
        if record.id == self._name or not self._table.remove(record.id, order):
            return
        logging.info("member %s has left", record.id)
        self._store.update_visibility(record.id)
        self._members_changed.set()

    def _on_suspicion(self, record: _records.Record) -> None:
        if record.removed:
            return
        if record.id == self._name:
            self._refute(record.incarnation)
        elif self._table.suspect(record.id, record.incarnation):
            logging.info(
                "member %s is suspected by %s", record.id, record.owner
            )
            self._counters.increment("membership.suspicions")
            self._notify_member_callbacks(record.id)

    def _refute(self, incarnation: int) -> None:
        if not self._identity.refute(incarnation):
            return
        self._counters.increment("membership.refutations")
        self._publish_self()
        self._peers.request_exchange()

    def _suspect(self, name: str) -> None:
        """Publishes a suspicion of a member whose exchanges fail."""
        member = self._table.get(name)
        if (
            isinstance(member, core.Missing)
            or member.state is not _members.MemberState.ALIVE
        ):
            return
        self._publish_suspicion(name, member.incarnation)

    def _publish_suspicion(self, name: str, incarnation: int) -> None:
        stored = self._store.latest((_SUSPICION, name))
        sequence = 1
        if (
            not isinstance(stored, core.Missing)
            and stored.incarnation == incarnation
        ):
            if not stored.removed:
                return
            # An earlier suspicion has expired; the new one needs a higher
            # sequence to replace its tombstone.
            sequence = stored.sequence + 1
        payload = peer_pb2.SuspicionPayload(accuser=self._name)
        self.put(
            _SUSPICION,
            name,
            incarnation,
            sequence,
            payload.SerializeToString(),
            ttl_s=SUSPICION_TTL_S,
            urgent=True,
        )

    def _purge_ownerless(self) -> None:
        """Drops the records of owners that left and did not return."""
        now_s = self._clock.now()
        with self._lock:
            if now_s - self._purged_s < PURGE_PERIOD_S:
                return
            self._purged_s = now_s
        known = self._table.members()
        cutoff_s = now_s - _member_table.FORGET_AFTER_S
        self._store.purge(
            lambda stored: (
                stored.record.owner not in known
                and stored.arrived_s < cutoff_s
                and stored.record.kind
                not in _member_table.OWNER_INDEPENDENT_KINDS
            )
        )

    def _forget(self, name: str) -> None:
        member = self._store.latest((_MEMBER, name))
        if not isinstance(member, core.Missing):
            self._forgotten.add(member)
        self._store.purge(
            lambda stored: (
                stored.record.owner == name
                and stored.record.kind not in _RETAINED_KINDS
            )
        )

    def _notify_member_callbacks(self, name: str) -> None:
        member = self._table.get(name)
        with self._lock:
            callbacks = tuple(self._member_callbacks)
        if not isinstance(member, core.Missing):
            for callback in callbacks:
                callback(member)
