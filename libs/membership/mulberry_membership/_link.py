"""One side of the exchanges with one peer."""

import dataclasses
import math
import threading

import mulberry_core as core
from mulberry_membership import _codec, _record_index, _records, _store
from mulberry_wire import peer_pb2

#: Most records in one message. With records of about 150 bytes this is
#: 150 KB, well under gRPC's limit of 4 MB for a message.
MAX_RECORDS_PER_MESSAGE = 1_000
#: Sums of periods differ from their product by less than this, seconds.
_ROUNDING_S = 1e-6
#: A peer that refutes each suspicion of this instance can be reached by
#: others; suspicions of it become rarer up to this factor.
MAX_SUSPICION_BACKOFF = 8


def add_records(
    message: peer_pb2.ExchangeRequest | peer_pb2.ExchangeResponse,
    changes: _store.Changes,
    now_s: float,
) -> None:
    """Adds the records that have not expired to a message."""
    for stored in changes.stored:
        if stored.expires_s > now_s:
            _codec.to_wire(stored, now_s, message.records.add())


def decode_records(
    message: peer_pb2.ExchangeRequest | peer_pb2.ExchangeResponse,
) -> list[tuple[_records.Record, float]]:
    """Returns the valid records of a message with their times to live."""
    decoded = (_codec.from_wire(wire) for wire in message.records)
    return [item for item in decoded if not isinstance(item, core.Missing)]


@dataclasses.dataclass(frozen=True)
class SentRequest:
    """A request with what is known once it has succeeded."""

    request: peer_pb2.ExchangeRequest
    #: The peer then holds all changes up to this one.
    stamp: int
    #: Whether there were more records than fit the request.
    more: bool
    #: The records of the request.
    stored: tuple[_record_index.StoredRecord, ...]
    #: Local time at which the exchange began, seconds.
    started_s: float
    #: Number of the newest change that the digests of the request cover; 0
    #: where it carries none.
    digests_stamp: int = 0


class PeerLink:
    """Remembers what a peer has acknowledged and whether it answers.

    Only one thread exchanges; the others read `failing` and call `request_exchange`.
    """

    def __init__(
        self,
        name: str,
        address: str,
        store: _store.RecordStore,
        clock: core.Clock,
    ) -> None:
        """Creates a link that has exchanged nothing yet.

        Args:
            name: Name of the peer; empty where it is not known yet.
            address: gRPC address of the peer.
            store: Records of this instance.
            clock: Source of local time.
        """
        self.name = name
        self.address = address
        self._store = store
        self._clock = clock
        self._wake = threading.Event()
        self._closed = threading.Event()
        self._lock = threading.Lock()
        self._session = 0
        self._acknowledged_stamp = 0
        self._have_stamp = 0
        #: Until the first answer only the sender's own records are sent. The
        #: peer then holds what its answer brought, and most often lacks
        #: little else: sending everything both ways doubled the bytes of a
        #: start of all instances.
        self._is_introducing = True
        self._requests_all = True
        #: Where the stores differed when they were compared; unset once the
        #: peer has acknowledged what it lacked.
        self._differing: _store.StoreDifference | core.Missing = (
            core.Missing.UNSET
        )
        # The peer may have restarted since it sent or acknowledged records.
        store.clear_known(name)
        self._failing_since_s = math.inf
        #: Begin of the wait for the next suspicion, seconds.
        self._suspect_from_s = math.inf
        self._suspicion_backoff = 1
        #: Whether to exchange although nothing is new for the peer.
        self._exchange_requested = False
        #: Between exchanges while there is nothing new for the peer, seconds.
        self.idle_period_s = 0.0
        #: When the last successful exchange began, seconds.
        self._exchanged_s = -math.inf

    @property
    def closed(self) -> bool:
        """Whether the link is no longer used."""
        return self._closed.is_set()

    def close(self) -> None:
        """Ends the task of the link."""
        self._closed.set()
        self._wake.set()

    def request_exchange(self) -> None:
        """Makes the task exchange without waiting for its period."""
        with self._lock:
            self._exchange_requested = True
        self._wake.set()

    def wake(self) -> None:
        """Makes the task look now whether there is something to send."""
        self._wake.set()

    def wait(self, timeout_s: float) -> None:
        """Waits until the next exchange is due."""
        self._wake.wait(timeout_s)
        self._wake.clear()

    def idle_remaining_s(self) -> float:
        """Returns the time until an exchange is due without any change."""
        with self._lock:
            due_s = self._exchanged_s + self.idle_period_s
        return max(0.0, due_s - self._clock.now())

    def is_due(self) -> bool:
        """Whether there is a reason to exchange now.

        Something is new for the peer, the last exchange failed or left
        records over, or the idle period has passed.
        """
        with self._lock:
            if not math.isinf(self._failing_since_s) or self._is_introducing:
                return True
            if self._requests_all or self._exchange_requested:
                return True
            idle_s = self._clock.now() - self._exchanged_s
            if idle_s >= self.idle_period_s - _ROUNDING_S:
                return True
            changes = self._store.changes_since(
                self._acknowledged_stamp, self.name, 1, "", self._differing
            )
            return bool(changes.stored)

    @property
    def failing(self) -> bool:
        """Whether the last exchange failed."""
        with self._lock:
            return not math.isinf(self._failing_since_s)

    def should_suspect(self, suspect_after_s: float) -> bool:
        """Whether the peer has failed for so long that it is suspected."""
        with self._lock:
            threshold_s = suspect_after_s * self._suspicion_backoff
            return self._clock.now() - self._suspect_from_s >= threshold_s

    def start_suspicion_backoff(self) -> None:
        """Starts the wait for the next suspicion of the same peer."""
        with self._lock:
            self._suspect_from_s = self._clock.now()
            self._suspicion_backoff = min(
                2 * self._suspicion_backoff, MAX_SUSPICION_BACKOFF
            )

    def request(self, sender: str) -> SentRequest:
        """Returns the next request with what its success will prove."""
        with self._lock:
            self._exchange_requested = False
            changes = self._store.changes_since(
                self._acknowledged_stamp,
                self.name,
                MAX_RECORDS_PER_MESSAGE,
                owner=sender if self._is_introducing else "",
                differing=self._differing,
            )
            request = peer_pb2.ExchangeRequest(
                sender=sender,
                receiver_session=self._session,
                have_stamp=self._have_stamp,
                full=self._requests_all,
            )
            digests_stamp = 0
            if self._requests_all or self._is_introducing:
                digests = self._store.digests()
                digests_stamp = digests.stamp
                request.digests.extend(digests.by_bucket)
        add_records(request, changes, self._clock.now())
        return SentRequest(
            request=request,
            stamp=changes.stamp,
            more=changes.more,
            stored=changes.stored,
            started_s=self._clock.now(),
            digests_stamp=digests_stamp,
        )

    def record_success(
        self, response: peer_pb2.ExchangeResponse, sent: SentRequest
    ) -> None:
        """Notes what both sides hold; the records must be merged before."""
        with self._lock:
            new_session = self._session not in (0, response.session)
            peer_lost_state = new_session or response.resend
            restarts = peer_lost_state or self._is_introducing
            self._acknowledged_stamp = 0 if restarts else sent.stamp
            if restarts or not sent.more:
                self._differing = core.Missing.UNSET
            if restarts and response.compared and not peer_lost_state:
                self._differing = _store.StoreDifference(
                    frozenset(response.differing), sent.digests_stamp
                )
                if not self._differing.buckets:
                    self._acknowledged_stamp = sent.digests_stamp
            self._is_introducing = peer_lost_state
            self._session = response.session
            self._have_stamp = response.stamp
            self._requests_all = response.more and self._requests_all
            self._exchanged_s = sent.started_s
            self._failing_since_s = self._suspect_from_s = math.inf
            self._suspicion_backoff = 1
        if self.name:
            if peer_lost_state:
                self._store.clear_known(self.name)
            else:
                self._store.mark_known(sent.stored, self.name)
        if response.more or sent.more or new_session:
            self.request_exchange()

    def record_failure(self, sent: SentRequest) -> bool:
        """Notes a failed exchange; returns whether it is the first in a row.

        Time counts from the first failure, not from the last success: a
        process that was suspended must not suspect its peers on waking.
        """
        with self._lock:
            is_first = math.isinf(self._failing_since_s)
            self._failing_since_s = min(self._failing_since_s, sent.started_s)
            self._suspect_from_s = min(self._suspect_from_s, sent.started_s)
            return is_first
