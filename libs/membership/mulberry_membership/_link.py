"""State of the exchanges with one peer."""

import dataclasses
import math
import threading

import mulberry_core as core
from mulberry_membership import _codec, _record_index, _records, _store
from mulberry_wire import peer_pb2

#: Maximum number of records in one message. With records of about 150 bytes
#: this is 150 KB, well under gRPC's limit of 4 MB for a message.
MAX_RECORDS_PER_MESSAGE = 1_000
#: Sizes of a message on a link, bytes: at first, and at least. The links of an
#: instance that has just started transfer the state of all others at once, and
#: with 5 Mbit/s four messages of 80 KB each do not arrive within the timeout.
INITIAL_MESSAGE_BYTES = 32 << 10
MIN_MESSAGE_BYTES = 4 << 10
#: Tolerance for rounding errors when periods are added up, seconds.
_ROUNDING_S = 1e-6
#: Maximum factor by which repeated suspicions of one peer are delayed. A peer
#: that refutes every suspicion of this instance is reachable by others.
MAX_SUSPICION_BACKOFF = 8


def add_records(
    message: peer_pb2.ExchangeRequest | peer_pb2.ExchangeResponse,
    changes: _store.Changes,
    now_s: float,
) -> None:
    """Adds the changes that have not expired to a message."""
    for stored in changes.stored_records:
        if stored.expires_s > now_s:
            _codec.to_wire(stored, now_s, message.records.add())


def decode_records(
    message: peer_pb2.ExchangeRequest | peer_pb2.ExchangeResponse,
    counters: core.Counters,
) -> list[tuple[_records.Record, float]]:
    """Decodes the valid records of a message, with their times to live.

    Invalid ones are left out and counted.
    """
    decoded = [_codec.from_wire(wire) for wire in message.records]
    valid = [item for item in decoded if not isinstance(item, core.Missing)]
    if len(valid) < len(decoded):
        counters.increment(
            "membership.invalid_records", len(decoded) - len(valid)
        )
    return valid


@dataclasses.dataclass(frozen=True)
class SentRequest:
    """A request and the state to record once it has succeeded."""

    request: peer_pb2.ExchangeRequest
    #: Stamp of the newest change that the peer then has.
    stamp: int
    #: Whether there were more records than fit into the request.
    more: bool
    #: Records in the request.
    stored_records: tuple[_record_index.StoredRecord, ...]
    #: Local time at which the exchange started, seconds.
    started_s: float
    #: Stamp of the newest change that the digests of the request cover; 0 if
    #: it carries none.
    digests_stamp: int = 0


class PeerLink:
    """Tracks what a peer has acknowledged and whether its exchanges fail.

    Only one thread runs the exchanges of a link; other threads may read
    `failing` and call `request_exchange`, `wake` and `close`.
    """

    def __init__(
        self,
        name: str,
        address: str,
        store: _store.RecordStore,
        clock: core.Clock,
    ) -> None:
        """Creates a link without any exchange so far.

        Args:
            name: Name of the peer; empty if not known yet.
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
        #: Whether to send only this instance's own records, which is the case
        #: until the first response. The response contains what the peer
        #: stores, and the peer mostly lacks little else: sending everything in
        #: both directions doubled the bytes when all instances start at once.
        self._is_introducing = True
        self._requests_all = True
        #: Maximum size of requests and responses. It adapts to what the link
        #: transfers within the timeout, so that a transfer of many records gets
        #: on however slow the link is.
        self._max_bytes = INITIAL_MESSAGE_BYTES
        #: Buckets that differed in the last comparison of digests; unset once
        #: the peer has acknowledged the records that it lacked.
        self._differing: _store.StoreDifference | core.Missing = (
            core.Missing.UNSET
        )
        # The peer may have restarted since it sent or acknowledged records,
        # and lost them.
        store.clear_known(name)
        self._failing_since_s = math.inf
        #: Local time from which failures count towards the next suspicion,
        #: seconds.
        self._suspect_from_s = math.inf
        self._suspicion_backoff = 1
        #: Whether to exchange even without changes for the peer.
        self._exchange_requested = False
        #: Period of exchanges without changes for the peer, seconds.
        self.idle_period_s = 0.0
        #: Local time at which the last successful exchange started, seconds.
        self._exchanged_s = -math.inf

    @property
    def closed(self) -> bool:
        """Whether the link was closed."""
        return self._closed.is_set()

    def close(self) -> None:
        """Closes the link, which ends its task."""
        self._closed.set()
        self._wake.set()

    def request_exchange(self) -> None:
        """Makes the task exchange immediately, even without changes."""
        with self._lock:
            self._exchange_requested = True
        self._wake.set()

    def wake(self) -> None:
        """Makes the task check immediately for changes to send."""
        self._wake.set()

    def wait(self, timeout_s: float) -> None:
        """Waits until woken or until the timeout has passed."""
        self._wake.wait(timeout_s)
        self._wake.clear()

    def idle_remaining_s(self) -> float:
        """Returns the time until the next idle exchange, seconds."""
        with self._lock:
            due_s = self._exchanged_s + self.idle_period_s
        return max(0.0, due_s - self._clock.now())

    def is_due(self) -> bool:
        """Whether an exchange is due.

        It is due if there are changes for the peer, an exchange was requested,
        the last one failed or could not transfer all records, or the idle
        period has passed.
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
            return bool(changes.stored_records)

    @property
    def failing(self) -> bool:
        """Whether the last exchange failed."""
        with self._lock:
            return not math.isinf(self._failing_since_s)

    def should_suspect(self, suspect_after_s: float) -> bool:
        """Whether exchanges have failed for long enough to suspect the peer."""
        with self._lock:
            threshold_s = suspect_after_s * self._suspicion_backoff
            return self._clock.now() - self._suspect_from_s >= threshold_s

    def start_suspicion_backoff(self) -> None:
        """Doubles the delay before the next suspicion of the same peer."""
        with self._lock:
            self._suspect_from_s = self._clock.now()
            self._suspicion_backoff = min(
                2 * self._suspicion_backoff, MAX_SUSPICION_BACKOFF
            )

    def request(self, sender: str) -> SentRequest:
        """Builds the next request, with the state to record on success."""
        with self._lock:
            self._exchange_requested = False
            changes = self._store.changes_since(
                self._acknowledged_stamp,
                self.name,
                MAX_RECORDS_PER_MESSAGE,
                owner=sender if self._is_introducing else "",
                differing=self._differing,
                max_bytes=self._max_bytes,
            )
            request = peer_pb2.ExchangeRequest(
                sender=sender,
                receiver_session=self._session,
                have_stamp=self._have_stamp,
                full=self._requests_all,
                max_bytes=self._max_bytes,
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
            stored_records=changes.stored_records,
            started_s=self._clock.now(),
            digests_stamp=digests_stamp,
        )

    def record_success(
        self, response: peer_pb2.ExchangeResponse, sent: SentRequest
    ) -> None:
        """Records a successful exchange.

        The records of the response must have been merged before.
        """
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
            if response.more or sent.more:
                self._max_bytes = min(
                    2 * self._max_bytes, _store.MAX_MESSAGE_BYTES
                )
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
                self._store.mark_known(sent.stored_records, self.name)
        if response.more or sent.more or new_session:
            self.request_exchange()

    def record_failure(self, sent: SentRequest) -> bool:
        """Records a failed exchange; returns whether it is the first in a row.

        The time until a suspicion counts from the first failure, not from the
        last success: a process that was suspended must not suspect its peers
        when it resumes.
        """
        with self._lock:
            is_first = math.isinf(self._failing_since_s)
            self._max_bytes = max(self._max_bytes // 2, MIN_MESSAGE_BYTES)
            self._failing_since_s = min(self._failing_since_s, sent.started_s)
            self._suspect_from_s = min(self._suspect_from_s, sent.started_s)
            return is_first
