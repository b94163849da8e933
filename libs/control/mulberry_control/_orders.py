"""Orders to engines and their outcomes."""

import dataclasses
import enum

import mulberry_core as core

#: Fields of an encoded order, separated by spaces; ids and names contain none.
_FIELD_COUNT = 5


class OrderKind(enum.Enum):
    """Operations that an engine can be ordered to perform."""

    #: Load a model, an adapter or a version.
    LOAD = "load"
    #: Unload a model, an adapter or a version.
    UNLOAD = "unload"
    #: Change the role; the version names the role.
    CHANGE_ROLE = "change_role"


@dataclasses.dataclass(frozen=True)
class Order:
    """One order to one engine."""

    kind: OrderKind
    model: str
    version: str
    #: Unique id; a resent order keeps it.
    order_id: str


@dataclasses.dataclass(frozen=True)
class EngineTarget:
    """An engine that can receive orders."""

    name: str
    #: Base address, for example `http://10.0.0.7:8000`.
    address: str
    #: Whether it rejects orders with an outdated fencing number.
    checks_fencing: bool
    #: (model, version) pairs that it announces as loaded.
    versions: frozenset[tuple[str, str]]


class OrderOutcome(enum.Enum):
    """Result of an attempt to send an order."""

    #: The engine has carried it out.
    DONE = "done"
    #: The engine rejected it and will not carry it out.
    REJECTED = "rejected"
    #: The engine has seen a higher fencing number, so the lease is lost.
    OUTDATED = "outdated"
    #: No byte of the order was sent.
    NOT_SENT = "not_sent"
    #: It was sent without a response, so it may still be carried out.
    UNKNOWN = "unknown"


def encode_order(order: Order, loaded_wall_s: float) -> str:
    """Encodes an order as the text that is recorded.

    Args:
        order: The order.
        loaded_wall_s: Unix time of the engine's last load, 0 if there was
            none within the rate window. Only the newest order of an engine
            is recorded, but the rate limit of the weight store must also
            count a load that an unload followed.
    """
    loaded_ms = int(loaded_wall_s * 1000)
    return (
        f"{order.kind.value} {order.model} {order.version} {order.order_id} "
        f"{loaded_ms}"
    )


def decode_order(text: str) -> tuple[Order, float] | core.Missing:
    """Decodes a recorded order and the Unix time of the last load.

    Returns unset if the text is not a valid order.
    """
    fields = text.split(" ")
    if len(fields) != _FIELD_COUNT:
        return core.Missing.UNSET
    try:
        kind = OrderKind(fields[0])
        loaded_wall_s = int(fields[4]) / 1000
    except (ValueError, OverflowError):
        return core.Missing.UNSET
    return Order(kind, fields[1], fields[2], fields[3]), loaded_wall_s


def inverse(order: Order, order_id: str) -> Order | core.Missing:
    """Returns the order that reverts another, unset if there is none."""
    inverse_by_kind = {
        OrderKind.LOAD: OrderKind.UNLOAD,
        OrderKind.UNLOAD: OrderKind.LOAD,
    }
    kind = inverse_by_kind.get(order.kind)
    if kind is None:
        return core.Missing.UNSET
    return Order(kind, order.model, order.version, order_id)
