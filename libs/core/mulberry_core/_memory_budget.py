"""Bounds the memory and the number of connections of a process."""

import dataclasses
import enum
import threading
from collections.abc import Callable, Iterator

from mulberry_core import _clock, _sentinels

#: A request that gets no byte for this long makes no progress, seconds. A
#: caller on a slow link sends a packet every few milliseconds.
STALL_S = 0.5
#: Longest wait for room, seconds. Half of it is longer than `STALL_S`, so that
#: a crowd which has just arrived and stalled is found.
_MAX_WAIT_S = 1.5
_POLL_S = 0.05
#: A connection with more than this counts as large, bytes. Its charges leave
#: a share of the budget to requests of the usual size.
_LARGE_BYTES = 262_144
#: Charges are made in steps of this size, so that few of them take the lock.
_STEP_BYTES = 16_384


class Phase(enum.Enum):
    """What a connection is doing."""

    #: No request has begun to arrive.
    IDLE = "idle"
    #: A request has begun to arrive and is not complete.
    READING = "reading"
    #: A complete request is being answered, or an answer is being sent.
    RUNNING = "running"


@dataclasses.dataclass(frozen=True)
class MemoryUsage:
    """State of a budget."""

    limit_bytes: int
    charged_bytes: int
    peak_bytes: int
    connections: int
    #: Connections and charges that were refused so far.
    refused: int
    #: Connections that were closed so far to make room.
    closed: int
    #: Sum of all charges that have been freed so far.
    freed_bytes: int = 0


@dataclasses.dataclass(frozen=True)
class BudgetLimits:
    """What the connections of a process may take together."""

    #: Largest sum of all charges, bytes.
    max_bytes: int
    max_connections: int
    #: Share of both that only connections with `is_reserved` may use, 0 to 1.
    reserved_share: float = 0.125
    #: Share of the bytes that large requests leave to others, 0 to 1.
    small_share: float = 0.25
    #: Charged for each connection, bytes.
    connection_bytes: int = 0
    #: Longest wait for room, seconds. Connections without progress are given up
    #: at once, the newest incomplete request after half of this time.
    max_wait_s: float = _MAX_WAIT_S


class MemoryAccount:
    """What one connection takes; used by one thread at a time.

    Only the budget changes it from other threads, under its lock.
    """

    def __init__(
        self,
        budget: "MemoryBudget",
        stop_reading: Callable[[], None],
        is_reserved: bool,
        now_s: float,
    ) -> None:
        """Creates an account; called by the budget only."""
        self._budget = budget
        self.stop_reading = stop_reading
        self.is_reserved = is_reserved
        #: Charged now, with the fixed amount for the connection.
        self.charged_bytes = 0
        self._request_bytes = 0
        self._answer_bytes = 0
        self.phase = Phase.IDLE
        #: When the request began to arrive, `Clock.now`, seconds.
        self.began_s = now_s
        #: When the last byte arrived, `Clock.now`, seconds.
        self.progress_s = now_s
        #: Whether its thread waits for a charge.
        self.is_waiting = False
        #: Set once; the connection must be refused or closed.
        self.is_evicted = False

    def reading(self, now_s: float) -> None:
        """Notes that bytes of a request have arrived."""
        if self.phase is not Phase.READING:
            self.phase = Phase.READING
            self.began_s = now_s
        self.progress_s = now_s

    def idle(self, now_s: float) -> None:
        """Notes that the next request is awaited; frees the answer's charge."""
        self.progress_s = now_s
        if self._answer_bytes:
            self._charge(self._request_bytes, 0)
        self.phase = Phase.IDLE

    def run(self) -> bool:
        """Notes that a request is complete; false if it must be refused.

        After this the connection is not closed for others.
        """
        return self._budget.run(self)

    def charge_request(self, size_bytes: int) -> bool:
        """Charges for the bytes of requests; returns whether they fit.

        Args:
            size_bytes: All that the requests of the connection take now.
        """
        return self._charge(size_bytes, self._answer_bytes)

    def charge_answer(self, size_bytes: int) -> bool:
        """Charges for an answer until `idle`; returns whether it fits.

        Args:
            size_bytes: What the answer takes; a smaller value than before
                changes nothing.
        """
        return size_bytes <= self._answer_bytes or self._charge(
            self._request_bytes, size_bytes
        )

    def close(self) -> None:
        """Frees everything; the connection is closed."""
        self._budget.close(self)

    def _charge(self, request_bytes: int, answer_bytes: int) -> bool:
        steps = -(-(request_bytes + answer_bytes) // _STEP_BYTES)
        total = steps * _STEP_BYTES + self._budget.limits.connection_bytes
        if total != self.charged_bytes and not self._budget.resize(self, total):
            return False
        self._request_bytes = request_bytes
        self._answer_bytes = answer_bytes
        return True


class MemoryBudget:
    """Shared by all connections of a process; thread-safe.

    If a charge does not fit, room is made in this order: connections without
    progress that have an incomplete request, the oldest first; idle
    connections, the oldest first; then the newest incomplete request, which
    may be the one that is to be charged. Complete requests are never given up.
    """

    def __init__(self, limits: BudgetLimits, clock: _clock.Clock) -> None:
        self.limits = limits
        self._clock = clock
        self._changed = threading.Condition()
        self._accounts: set[MemoryAccount] = set()
        self._charged_bytes = 0
        self._peak_bytes = 0
        self._refused = 0
        self._closed = 0
        self._freed_bytes = 0
        #: When a waiting charge last looked for connections to give up.
        self._searched_s = 0.0

    def usage(self) -> MemoryUsage:
        """Returns the state of the budget."""
        with self._changed:
            return MemoryUsage(
                self.limits.max_bytes,
                self._charged_bytes,
                self._peak_bytes,
                len(self._accounts),
                self._refused,
                self._closed,
                self._freed_bytes,
            )

    def open(
        self,
        stop_reading: Callable[[], None],
        is_reserved: bool = False,
    ) -> MemoryAccount | _sentinels.Missing:
        """Opens the account of a new connection, unset if there is no room.

        Args:
            stop_reading: Ends the waits of the connection's thread for input,
                from any thread and without waiting.
            is_reserved: Whether the connection may use the reserved share.
        """
        account = MemoryAccount(
            self, stop_reading, is_reserved, self._clock.now()
        )
        total = self.limits.connection_bytes
        with self._changed:
            if not self._make_room(account, total):
                self._refused += 1
                return _sentinels.Missing.UNSET
            self._set(account, total)
            self._accounts.add(account)
        return account

    def resize(self, account: MemoryAccount, total_bytes: int) -> bool:
        """Changes what an account is charged; returns whether it fits."""
        with self._changed:
            if account not in self._accounts:
                return False
            if not self._make_room(account, total_bytes):
                self._refused += 1
                return False
            self._set(account, total_bytes)
        return True

    def run(self, account: MemoryAccount) -> bool:
        """Ends the time in which an account may be given up."""
        with self._changed:
            if account.is_evicted:
                return False
            account.phase = Phase.RUNNING
        return True

    def close(self, account: MemoryAccount) -> None:
        """Frees all that an account is charged."""
        with self._changed:
            if account in self._accounts:
                self._accounts.remove(account)
                self._set(account, 0)

    def _set(self, account: MemoryAccount, total_bytes: int) -> None:
        added = total_bytes - account.charged_bytes
        account.charged_bytes = total_bytes
        self._charged_bytes += added
        self._peak_bytes = max(self._peak_bytes, self._charged_bytes)
        if added < 0:
            self._freed_bytes -= added
            self._changed.notify_all()

    def _make_room(self, account: MemoryAccount, total_bytes: int) -> bool:
        """Waits until an account may grow, and gives up others for it."""
        if self._lacking(account, total_bytes) is None:
            return True
        began_s = self._clock.now()
        account.is_waiting = True
        try:
            while not account.is_evicted:
                lacking = self._lacking(account, total_bytes)
                if lacking is None:
                    return True
                waited_s = self._clock.now() - began_s
                # A run goes before all incomplete requests, and its deadline
                # passes meanwhile.
                is_patient = (
                    waited_s < self.limits.max_wait_s / 2
                    and account.phase is not Phase.RUNNING
                )
                if not self._give_up_others(account, lacking, is_patient):
                    return False
                if waited_s >= self.limits.max_wait_s:
                    return False
                self._changed.wait(_POLL_S)
            return False
        finally:
            account.is_waiting = False
            account.progress_s = self._clock.now()

    def _lacking(
        self, account: MemoryAccount, total_bytes: int
    ) -> tuple[int, int] | None:
        """Returns how many bytes and connections are too many, if any are."""
        limits = self.limits
        added = total_bytes - account.charged_bytes
        if account in self._accounts and added <= 0:
            return None
        share = 1.0 if account.is_reserved else 1.0 - limits.reserved_share
        max_bytes = limits.max_bytes * share
        if total_bytes > _LARGE_BYTES:
            max_bytes -= limits.max_bytes * limits.small_share
        lacking_bytes = int(self._charged_bytes + added - max_bytes)
        lacking_connections = (
            len(self._accounts) + 1 - int(limits.max_connections * share)
            if account not in self._accounts
            else 0
        )
        if lacking_bytes <= 0 and lacking_connections <= 0:
            return None
        return max(0, lacking_bytes), max(0, lacking_connections)

    def _give_up_others(
        self,
        account: MemoryAccount,
        lacking: tuple[int, int],
        is_patient: bool,
    ) -> bool:
        """Gives up connections; false if the account itself must be."""
        if is_patient and account in self._accounts:
            # Hundreds of charges may wait, and each would look at all others.
            now_s = self._clock.now()
            if 0.0 <= now_s - self._searched_s < _POLL_S / 2:
                return True
            self._searched_s = now_s
        lacking_bytes, lacking_connections = lacking
        for other in self._accounts:
            if other.is_evicted:
                # It will be closed in a moment.
                lacking_bytes -= other.charged_bytes
                lacking_connections -= 1
        for other in self._without_progress(account):
            if lacking_bytes <= 0 and lacking_connections <= 0:
                return True
            lacking_bytes -= other.charged_bytes
            lacking_connections -= 1
            self._evict(other)
        if is_patient or (lacking_bytes <= 0 and lacking_connections <= 0):
            return True
        if account not in self._accounts:
            return False
        newest = max(
            (
                other
                for other in self._accounts
                if other.phase is Phase.READING
                and not other.is_evicted
                and other.charged_bytes > self.limits.connection_bytes
            ),
            key=lambda other: other.began_s,
            default=account,
        )
        if newest is account:
            return False
        self._evict(newest)
        return True

    def _without_progress(
        self, account: MemoryAccount
    ) -> Iterator[MemoryAccount]:
        """Yields connections that may be given up, in their order."""
        stalled_s = self._clock.now() - STALL_S
        for phase in (Phase.READING, Phase.IDLE):
            yield from sorted(
                (
                    other
                    for other in self._accounts
                    if other.phase is phase
                    and other.progress_s <= stalled_s
                    and not other.is_evicted
                    and not other.is_waiting
                    and other is not account
                ),
                key=lambda other: other.progress_s,
            )

    def _evict(self, account: MemoryAccount) -> None:
        account.is_evicted = True
        self._closed += 1
        account.stop_reading()
