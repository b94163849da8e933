"""Transport of exchanges between instances."""

import abc

import mulberry_core as core
from mulberry_wire import peer_pb2


class PeerTransport(abc.ABC):
    """Sends one exchange to a peer and returns its response.

    Implementations may be called from any thread.
    """

    @abc.abstractmethod
    def exchange(
        self,
        address: str,
        request: peer_pb2.ExchangeRequest,
        timeout_s: float,
    ) -> peer_pb2.ExchangeResponse | core.Refusal:
        """Returns the response, or a refusal when none arrived in time.

        After a refusal the peer may still have handled the request, or may
        handle it later.
        """

    @abc.abstractmethod
    def disconnect(self, address: str) -> None:
        """Closes what is open to an address that is no longer used."""


class PeerHandler(abc.ABC):
    """Handles the exchanges that peers send to this instance."""

    @abc.abstractmethod
    def handle_exchange(
        self, request: peer_pb2.ExchangeRequest
    ) -> peer_pb2.ExchangeResponse:
        """Merges the records of the request and returns those it lacks."""
