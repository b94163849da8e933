"""gRPC client of the voters, with failover between them."""

import threading
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import mulberry_core as core
from mulberry_state import _channels, _peers
from mulberry_wire import state_pb2_grpc

#: Timeout of one attempt, after which the next voter is tried. The leader
#: answers in milliseconds, or within a heartbeat after a fault.
ATTEMPT_TIMEOUT_S = 1.0
#: Bounds the addresses beside those of the voters in the view, so that those
#: of removed machines drop out.
_MAX_SEED_ADDRESSES = 16


class VoterClient:
    """Calls voters, the last known leader first."""

    def __init__(
        self,
        addresses: Iterable[str],
        channels: _channels.Channels,
        clock: core.Clock,
    ) -> None:
        self._channels = channels
        self._clock = clock
        self._lock = threading.Lock()
        #: Addresses of the voters in the newest view.
        self._voter_addresses: tuple[str, ...] = ()
        #: Other possible addresses of voters, oldest first.
        self._seed_addresses = tuple(dict.fromkeys(addresses))
        self._leader = ""
        #: `Clock.now` of the last failed call, for addresses that fail.
        self._failed_at_by_address: dict[str, float] = {}

    def set_voters(self, voters_by_name: Mapping[str, str]) -> None:
        """Replaces the addresses by those of the voters in a new view.

        The seed addresses are tried as well, in case all voters of the view
        have moved.
        """
        with self._lock:
            self._voter_addresses = tuple(voters_by_name.values())

    def add_addresses(self, addresses: Iterable[str]) -> None:
        """Adds possible addresses of voters to the seed addresses.

        The newest are kept: of machines that were replaced, they are the ones
        that answer.
        """
        with self._lock:
            newest = tuple(dict.fromkeys(addresses))
            older = [a for a in self._seed_addresses if a not in newest]
            self._seed_addresses = (*older, *newest)[-_MAX_SEED_ADDRESSES:]

    def set_leader(self, address: str) -> None:
        """Sets the voter to try first; empty if the leader is unknown."""
        with self._lock:
            self._leader = address

    def attempts(self, deadline_s: float) -> Iterator[tuple[str, float]]:
        """Yields the address and timeout of each attempt until the deadline.

        The leader comes first if it is known. After all voters were tried,
        waits briefly, as an election is probably in progress.
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
            # The newest seed address first.
            addresses = (
                *self._voter_addresses,
                *reversed(self._seed_addresses),
            )
            untried = [a for a in addresses if a not in tried]
            # Prefer the voter whose last failure is oldest: an unresponsive
            # voter may use up all the time until the deadline.
            return min(
                untried,
                key=lambda a: self._failed_at_by_address.get(a, -1.0),
                default="",
            )
