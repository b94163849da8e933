"""Requests that upstreams have."""

import dataclasses
import threading
from collections.abc import Callable, Sequence

from mulberry_gateway import _exchange


@dataclasses.dataclass(frozen=True)
class RunningRequest:
    """A request at an upstream."""

    exchange: _exchange.Exchange
    attempt: _exchange.Attempt
    #: Ends the run; may be called from any thread.
    withdraw: Callable[[], None]


class RunningRequests:
    """The requests that this instance has sent to upstreams. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_attempt: dict[int, RunningRequest] = {}

    def add(self, request: RunningRequest) -> None:
        """Adds a request that is about to be sent."""
        with self._lock:
            self._by_attempt[id(request.attempt)] = request

    def remove(self, attempt: _exchange.Attempt) -> None:
        """Removes a request whose attempt has ended."""
        with self._lock:
            self._by_attempt.pop(id(attempt), None)

    def all(self) -> Sequence[RunningRequest]:
        """Returns all requests at upstreams."""
        with self._lock:
            return list(self._by_attempt.values())

    def unanswered(self) -> Sequence[RunningRequest]:
        """Returns the requests without the head of an answer."""
        return [r for r in self.all() if not r.attempt.head_s]
