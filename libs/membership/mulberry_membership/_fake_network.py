"""In-process network with fault injection, for tests and experiments."""

import dataclasses
import math
import random

import mulberry_core as core
from mulberry_membership import _transport
from mulberry_wire import peer_pb2


@dataclasses.dataclass
class Faults:
    """Probabilities of message faults, 0 to 1."""

    #: The message is lost. Applies to requests and responses.
    loss: float = 0.0
    #: The request arrives only after the sender has timed out.
    delayed: float = 0.0
    #: The request is delivered a second time, later.
    duplicate: float = 0.0
    #: Bytes that a link transfers within the timeout of an exchange. A larger
    #: message is lost.
    max_bytes: float = math.inf


@dataclasses.dataclass(frozen=True)
class _DelayedRequest:
    due_s: float
    sender: str
    receiver: str
    data: bytes


class FakeNetwork:
    """Connects handlers by address; not thread-safe."""

    #: Maximum delay of a delayed or duplicated request, seconds.
    MAX_DELAY_S = 5.0

    def __init__(self, clock: core.Clock, seed: int = 0) -> None:
        self._clock = clock
        self._random = random.Random(seed)
        self._handlers_by_address: dict[str, _transport.PeerHandler] = {}
        self._blocked: set[tuple[str, str]] = set()
        self._delayed: list[_DelayedRequest] = []
        self.faults = Faults()

    def attach(self, address: str, handler: _transport.PeerHandler) -> None:
        """Makes a handler reachable, replacing any at the same address."""
        self._handlers_by_address[address] = handler

    def detach(self, address: str) -> None:
        """Makes an address unreachable, as after a crash."""
        self._handlers_by_address.pop(address, None)

    def transport(self, address: str) -> "FakeTransport":
        """Returns a transport for the instance at this address."""
        return FakeTransport(self, address)

    def block(self, sender: str, receiver: str) -> None:
        """Drops all messages from the sender to the receiver."""
        self._blocked.add((sender, receiver))

    def partition(self, left: list[str], right: list[str]) -> None:
        """Drops all messages between two groups of addresses."""
        for first in left:
            for second in right:
                self.block(first, second)
                self.block(second, first)

    def heal(self) -> None:
        """Removes all blocks and partitions."""
        self._blocked.clear()

    def deliver_due(self) -> None:
        """Delivers the delayed requests that are due, in random order."""
        now_s = self._clock.now()
        due = [item for item in self._delayed if item.due_s <= now_s]
        self._delayed = [item for item in self._delayed if item.due_s > now_s]
        self._random.shuffle(due)
        for item in due:
            handler = self._handlers_by_address.get(item.receiver)
            if handler and (item.sender, item.receiver) not in self._blocked:
                handler.handle_exchange(
                    peer_pb2.ExchangeRequest.FromString(item.data)
                )

    def deliver(
        self, sender: str, receiver: str, data: bytes
    ) -> bytes | core.Refusal:
        """Delivers a request and returns its response or a refusal."""
        handler = self._handlers_by_address.get(receiver)
        if handler is None or self._is_lost(sender, receiver):
            return _refusal(receiver)
        if len(data) > self.faults.max_bytes:
            return _refusal(receiver)
        if self._random.random() < self.faults.delayed:
            self._schedule_delivery(sender, receiver, data)
            return _refusal(receiver)
        if self._random.random() < self.faults.duplicate:
            self._schedule_delivery(sender, receiver, data)
        response = handler.handle_exchange(
            peer_pb2.ExchangeRequest.FromString(data)
        )
        answer = bytes(response.SerializeToString())
        if self._is_lost(receiver, sender) or (
            len(answer) > self.faults.max_bytes
        ):
            return _refusal(receiver)
        return answer

    def _is_lost(self, sender: str, receiver: str) -> bool:
        if (sender, receiver) in self._blocked:
            return True
        return self._random.random() < self.faults.loss

    def _schedule_delivery(
        self, sender: str, receiver: str, data: bytes
    ) -> None:
        due_s = self._clock.now() + self._random.uniform(0.0, self.MAX_DELAY_S)
        self._delayed.append(_DelayedRequest(due_s, sender, receiver, data))


class FakeTransport(_transport.PeerTransport):
    """Transport of one instance over a fake network."""

    def __init__(self, network: FakeNetwork, address: str) -> None:
        self._network = network
        self._address = address

    def exchange(
        self,
        address: str,
        request: peer_pb2.ExchangeRequest,
        timeout_s: float,
    ) -> peer_pb2.ExchangeResponse | core.Refusal:
        """Delivers the request immediately; the timeout is ignored."""
        data = self._network.deliver(
            self._address, address, request.SerializeToString()
        )
        if isinstance(data, core.Refusal):
            return data
        return peer_pb2.ExchangeResponse.FromString(data)

    def disconnect(self, address: str) -> None:
        """Does nothing, because there are no connections."""


def _refusal(receiver: str) -> core.Refusal:
    return core.Refusal(
        core.ErrorKind.UPSTREAM_FAILED,
        core.RunState.UNKNOWN,
        f"no response from {receiver}",
    )
