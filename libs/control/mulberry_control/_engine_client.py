"""Client for the order interface of engines, over HTTP."""

import abc
import dataclasses
import json
import socket
from collections.abc import Callable
from typing import Any

import pycurl

import mulberry_core as core
from mulberry_control import _orders

#: Connect timeout, seconds. The lease is checked once the connection is open.
CONNECT_TIMEOUT_S = 2.0
#: TCP_USER_TIMEOUT, seconds: the kernel drops bytes that are unacknowledged
#: for this long, even if this process has exited.
TCP_USER_TIMEOUT_S = 3.0
#: Longest time between the lease check and the arrival of an order, seconds:
#: the TCP user timeout plus 2 s for an engine that is slow to read its
#: connections.
MAX_IN_FLIGHT_S = TCP_USER_TIMEOUT_S + 2.0
#: Engines respond once the order is carried out; a load takes minutes.
RESPONSE_TIMEOUT_S = 600.0
_LIST_TIMEOUT_S = 5.0
_MAX_RESPONSE_BYTES = 4_194_304
_OK = 200
_CONFLICT = 409
_SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True)
class ReceivedOrder:
    """An order that an engine reports as received."""

    order: _orders.Order
    fencing_number: int
    #: False if the engine rejected it for an outdated fencing number.
    accepted: bool


class EngineClient(abc.ABC):
    """Sends orders to engines and lists the orders they have received."""

    @abc.abstractmethod
    def send(
        self,
        target: _orders.EngineTarget,
        order: _orders.Order,
        fencing_number: int,
        may_send: Callable[[], bool],
    ) -> _orders.OrderOutcome:
        """Sends one order, at most once, and waits until it is carried out.

        Args:
            target: The engine.
            order: The order.
            fencing_number: Fencing number of the lease.
            may_send: Called immediately before the order is written to an
                open connection; if it returns false, nothing is written.
        """

    @abc.abstractmethod
    def received_orders(
        self, target: _orders.EngineTarget
    ) -> tuple[ReceivedOrder, ...] | core.Refusal:
        """Returns the orders that the engine has received, oldest first."""


class HttpEngineClient(EngineClient):
    """Uses the `/control/orders` endpoint of engines."""

    def send(
        self,
        target: _orders.EngineTarget,
        order: _orders.Order,
        fencing_number: int,
        may_send: Callable[[], bool],
    ) -> _orders.OrderOutcome:
        """Posts the order on a new connection."""
        body = _RequestBody(_encode(order, fencing_number), may_send)
        curl = _new_curl(target, RESPONSE_TIMEOUT_S)
        try:
            curl.setopt(pycurl.POST, 1)
            curl.setopt(pycurl.POSTFIELDSIZE, body.size)
            curl.setopt(pycurl.READFUNCTION, body.read)
            curl.setopt(
                pycurl.HTTPHEADER, ["Content-Type: application/json", "Expect:"]
            )
            curl.setopt(pycurl.WRITEFUNCTION, lambda _: None)
            curl.perform()
            status = int(curl.getinfo(pycurl.RESPONSE_CODE))
        except pycurl.error:
            if body.sent:
                return _orders.OrderOutcome.UNKNOWN
            return _orders.OrderOutcome.NOT_SENT
        finally:
            curl.close()
        return _outcome_for_status(status)

    def received_orders(
        self, target: _orders.EngineTarget
    ) -> tuple[ReceivedOrder, ...] | core.Refusal:
        """Requests the list of orders that the engine has received."""
        response = bytearray()

        def collect(data: bytes) -> int:
            response.extend(data)
            # libcurl aborts if the count differs from the data length.
            return len(data) if len(response) <= _MAX_RESPONSE_BYTES else 0

        curl = _new_curl(target, _LIST_TIMEOUT_S)
        try:
            curl.setopt(pycurl.WRITEFUNCTION, collect)
            curl.perform()
            status = int(curl.getinfo(pycurl.RESPONSE_CODE))
        except pycurl.error as error:
            return _refusal(f"{target.name} cannot be reached: {error}")
        finally:
            curl.close()
        if status != _OK:
            return _refusal(f"{target.name} responded with status {status}")
        return _decode_list(bytes(response), target.name)


class _RequestBody:
    """Supplies the body, which libcurl reads once the connection is open."""

    def __init__(self, data: bytes, may_send: Callable[[], bool]) -> None:
        self._remaining = data
        self._may_send = may_send
        self.size = len(data)
        self.sent = False

    def read(self, size: int) -> bytes | int:
        if not self.sent and not self._may_send():
            return pycurl.READFUNC_ABORT
        self.sent = True
        chunk, self._remaining = self._remaining[:size], self._remaining[size:]
        return chunk


def _new_curl(target: _orders.EngineTarget, timeout_s: float) -> pycurl.Curl:
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, f"{target.address}/control/orders")
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.NOPROXY, "*")
    curl.setopt(pycurl.FOLLOWLOCATION, 0)
    # On a reused connection that closes, libcurl would resend the order.
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, int(CONNECT_TIMEOUT_S * 1000))
    curl.setopt(pycurl.TIMEOUT_MS, int(timeout_s * 1000))
    curl.setopt(pycurl.SOCKOPTFUNCTION, _set_user_timeout)
    return curl


def _set_user_timeout(fd: int, _purpose: int) -> int:
    with socket.socket(fileno=fd) as sock:
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(TCP_USER_TIMEOUT_S * 1000),
        )
        # libcurl owns the descriptor, so it must stay open.
        sock.detach()
    return int(pycurl.SOCKOPT_OK)


def _encode(order: _orders.Order, fencing_number: int) -> bytes:
    return json.dumps(
        {
            "order": order.kind.value,
            "model": order.model,
            "version": order.version,
            "fencing_number": fencing_number,
            "order_id": order.order_id,
        }
    ).encode()


def _outcome_for_status(status: int) -> _orders.OrderOutcome:
    if status == _OK:
        return _orders.OrderOutcome.DONE
    if status == _CONFLICT:
        return _orders.OrderOutcome.OUTDATED
    if status >= _SERVER_ERROR:
        return _orders.OrderOutcome.UNKNOWN
    return _orders.OrderOutcome.REJECTED


def _decode_list(
    data: bytes, name: str
) -> tuple[ReceivedOrder, ...] | core.Refusal:
    try:
        return tuple(_decode_received(item) for item in json.loads(data))
    except (
        ValueError,
        TypeError,
        KeyError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as error:
        return _refusal(f"{name} responded with an invalid list: {error!r}")


def _decode_received(item: dict[str, Any]) -> ReceivedOrder:
    return ReceivedOrder(
        order=_orders.Order(
            kind=_orders.OrderKind(item["order"]),
            model=str(item["model"]),
            version=str(item["version"]),
            order_id=str(item.get("order_id", "")),
        ),
        fencing_number=int(item["fencing_number"]),
        accepted=bool(item.get("accepted", True)),
    )


def _refusal(reason: str) -> core.Refusal:
    return core.Refusal(
        core.ErrorKind.UPSTREAM_FAILED, core.RunState.NOT_RUN, reason
    )
