"""Calls to whichever voter can serve them."""

import threading
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import mulberry_core as core
from mulberry_state import _channels, _peers
from mulberry_wire import state_pb2_grpc

#: A voter that takes longer is passed over; the leader answers in
#: milliseconds, or within a heartbeat after a fault.
ATTEMPT_TIMEOUT_S = 1.0
#: Addresses remembered; those of machines that are gone drop out.
_MAX_ADDRESSES = 16


class VoterClient:
    """Knows the voters, and which of them last said who leads."""

    def __init__(
        self,
        addresses: Iterable[str],
        channels: _channels.Channels,
        clock: core.Clock,
    ) -> None:
        self._channels = channels
        self._clock = clock
        self._lock = threading.Lock()
        self._seed_addresses = tuple(dict.fromkeys(addresses))
        self._addresses = self._seed_addresses
        self._leader = ""
        #: When each address last failed to answer, by `Clock.now`.
        self._failed_at_by_address: dict[str, float] = {}

    def set_voters(self, voters_by_name: Mapping[str, str]) -> None:
        """Takes the voters of a new view.

        The addresses of the settings are kept at the end: they still help if
        all present voters have moved.
        """
        with self._lock:
            self._addresses = tuple(
                dict.fromkeys((*voters_by_name.values(), *self._seed_addresses))
            )

    def add_addresses(self, addresses: Iterable[str]) -> None:
        """Adds addresses that may be those of voters."""
        with self._lock:
            self._seed_addresses = tuple(
                dict.fromkeys((*self._seed_addresses, *addresses))
            )[-_MAX_ADDRESSES:]
            self._addresses = tuple(
                dict.fromkeys((*self._addresses, *self._seed_addresses))
            )[:_MAX_ADDRESSES]

    def set_leader(self, address: str) -> None:
        """Asks this voter first from now on; empty for none."""
        with self._lock:
            self._leader = address

    def attempts(self, deadline_s: float) -> Iterator[tuple[str, float]]:
        """Yields an address and the time for a call, until the deadline.

        The leader comes first, as long as it is known; after one round over
        all voters there is a short pause, because an election is running.
        """
        pause = threading.Event()
        tried: list[str] = []
        while True:
            remaining_s = deadline_s - self._clock.now()
            if remaining_s <= 0:
                return
            address = self._next_address(tried)
            if not address:
                tried.clear()
                pause.wait(min(0.05, remaining_s))
                continue
            tried.append(address)
            yield address, min(ATTEMPT_TIMEOUT_S, remaining_s)

    def call(
        self, address: str, method: str, request: Any, timeout_s: float
    ) -> Any:
        """Returns the reply of one voter, or `Unreachable`."""
        reply = self._channels.call(
            address, state_pb2_grpc.StateStub, method, request, timeout_s
        )
        if isinstance(reply, _peers.Unreachable):
            with self._lock:
                if self._leader == address:
                    self._leader = ""
                self._failed_at_by_address[address] = self._clock.now()
        else:
            with self._lock:
                self._failed_at_by_address.pop(address, None)
            leader = getattr(reply, "leader_address", "")
            if leader:
                self.set_leader(leader)
        return reply

    def _next_address(self, tried: list[str]) -> str:
        with self._lock:
            if self._leader and self._leader not in tried:
                return self._leader
            untried = [a for a in self._addresses if a not in tried]
            # The one that failed longest ago comes first: a call may take
            # all the time that the caller has.
            return min(
                untried,
                key=lambda a: self._failed_at_by_address.get(a, -1.0),
                default="",
            )
