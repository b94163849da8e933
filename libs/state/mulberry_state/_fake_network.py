"""An in-process network that drops, duplicates and delays messages."""

import dataclasses
import random
import threading
import time
from concurrent import futures
from typing import TypeVar

from google.protobuf import message

from mulberry_state import _disk, _peers

_Q = TypeVar("_Q", bound=message.Message)
_R = TypeVar("_R", bound=message.Message)

#: Seconds that the sender of a lost message waits; shorter than a real timeout
#: to keep tests fast.
_LOSS_DELAY_S = 0.02


@dataclasses.dataclass(frozen=True)
class Faults:
    """Faults that apply to each message, as probabilities from 0 to 1."""

    loss: float = 0.0
    #: The receiver handles the message a second time later.
    duplicate: float = 0.0
    #: Maximum delay of a message in seconds; unequal delays cause reordering.
    delay_s: float = 0.0


class FakeNetwork:
    """Connects handlers by address."""

    def __init__(self, seed: int) -> None:
        self._lock = threading.Lock()
        self._rng = random.Random(seed)
        self._handler_by_address: dict[str, _peers.PeerHandler] = {}
        self._blocked_links: set[tuple[str, str]] = set()
        self._duplicate_pool = futures.ThreadPoolExecutor(4, "late-messages")
        #: Current faults; may be replaced at any time.
        self.faults = Faults()

    def transport(self, address: str) -> _peers.PeerTransport:
        """Returns the transport of the voter at `address`."""
        return _FakeTransport(self, address)

    def attach(self, address: str, handler: _peers.PeerHandler) -> None:
        """Connects a voter."""
        with self._lock:
            self._handler_by_address[address] = handler

    def detach(self, address: str) -> None:
        """Disconnects a voter, as if it had stopped."""
        with self._lock:
            self._handler_by_address.pop(address, None)

    def block(self, source: str, target: str) -> None:
        """Drops all messages from `source` to `target`, one way."""
        with self._lock:
            self._blocked_links.add((source, target))

    def isolate(self, address: str) -> None:
        """Isolates one voter in both directions."""
        with self._lock:
            for other in self._handler_by_address:
                if other != address:
                    self._blocked_links |= {(address, other), (other, address)}

    def heal(self) -> None:
        """Removes all blocks and faults."""
        with self._lock:
            self._blocked_links.clear()
        self.faults = Faults()

    def close(self) -> None:
        """Waits for duplicated messages still in transit."""
        self._duplicate_pool.shutdown(wait=True)

    def deliver(
        self,
        source: str,
        target: str,
        method: _peers.Method[_Q, _R],
        request: _Q,
    ) -> _R | _peers.Unreachable:
        """Delivers a request and its reply, or loses one of them."""
        data = request.SerializeToString()
        if self._is_lost(source, target):
            return self._report_loss()
        if self._chance(self.faults.duplicate):
            self._duplicate_pool.submit(
                self._handle, target, method, data, 0.05
            )
        reply = self._handle(target, method, data, 0.0)
        if isinstance(reply, _peers.Unreachable) or self._is_lost(
            target, source
        ):
            return self._report_loss()
        return reply

    def _handle(
        self,
        target: str,
        method: _peers.Method[_Q, _R],
        data: bytes,
        delay_s: float,
    ) -> _R | _peers.Unreachable:
        with self._lock:
            handler = self._handler_by_address.get(target)
            delay_s += self._rng.random() * self.faults.delay_s
        if delay_s:
            time.sleep(delay_s)
        if handler is None:
            return _peers.Unreachable("not attached")
        try:
            request = method.request_type.FromString(data)
            reply = handler.handle(method.name, request)
        except _disk.StorageError as error:
            return _peers.Unreachable(str(error))
        return method.reply_type.FromString(reply.SerializeToString())

    def _is_lost(self, source: str, target: str) -> bool:
        with self._lock:
            blocked = (source, target) in self._blocked_links
        return blocked or self._chance(self.faults.loss)

    def _chance(self, chance: float) -> bool:
        with self._lock:
            return self._rng.random() < chance

    def _report_loss(self) -> _peers.Unreachable:
        time.sleep(_LOSS_DELAY_S)
        return _peers.Unreachable("lost")


class _FakeTransport(_peers.PeerTransport):
    def __init__(self, network: FakeNetwork, address: str) -> None:
        self._network = network
        self._address = address

    def call(
        self,
        address: str,
        method: _peers.Method[_Q, _R],
        request: _Q,
        timeout_s: float,
    ) -> _R | _peers.Unreachable:
        return self._network.deliver(self._address, address, method, request)
