"""Interfaces for sending and handling exchanges between peers."""

import abc

import mulberry_core as core
from mulberry_wire import peer_pb2


class PeerTransport(abc.ABC):
    """Sends exchange requests to peers.

    Implementations are thread-safe.
    """

    @abc.abstractmethod
    def exchange(
        self,
        address: str,
        request: peer_pb2.ExchangeRequest,
        timeout_s: float,
    ) -> peer_pb2.ExchangeResponse | core.Refusal:
        """Sends a request; returns the response, or a refusal on failure.

        The refusal also covers a timeout. The peer may have handled the request
        nevertheless, or may handle it later.
        """

    @abc.abstractmethod
    def disconnect(self, address: str) -> None:
        """Closes the connection to an address that is no longer used."""


class PeerHandler(abc.ABC):
    """Handles the exchanges that peers send to this instance."""

    @abc.abstractmethod
    def handle_exchange(
        self, request: peer_pb2.ExchangeRequest
    ) -> peer_pb2.ExchangeResponse:
        """Merges the records of a request; returns those the peer lacks."""
