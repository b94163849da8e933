"""Orders to engines and their outcomes."""

import dataclasses
import enum

import mulberry_core as core

#: Order ids and names have no spaces, so that a recorded order can be read.
_FIELD_COUNT = 5


class OrderKind(enum.Enum):
    """What an engine can be ordered to do."""

    #: Load a model, an adapter or a version.
    LOAD = "load"
    #: Drop what was loaded.
    UNLOAD = "unload"
    #: Change the role; the version names the role.
    CHANGE_ROLE = "change_role"


@dataclasses.dataclass(frozen=True)
class Order:
    """One order to one engine."""

    kind: OrderKind
    model: str
    version: str
    #: Unique; the same when an order is sent again.
    order_id: str


@dataclasses.dataclass(frozen=True)
class EngineTarget:
    """What must be known of an engine to give it orders."""

    name: str
    #: Base address, for example `http://10.0.0.7:8000`.
    address: str
    #: Whether it rejects orders with an outdated fencing number.
    checks_fencing: bool
    #: (model, version) pairs that it announces.
    versions: frozenset[tuple[str, str]]


class OrderOutcome(enum.Enum):
    """What is known of an order after an attempt to place it."""

    #: The engine has carried it out.
    DONE = "done"
    #: The engine refused it and will not carry it out.
    REJECTED = "rejected"
    #: The engine knows a newer fencing number: the lease is lost.
    OUTDATED = "outdated"
    #: No byte of the order was sent.
    NOT_SENT = "not_sent"
    #: It was sent without an answer; it may still arrive.
    UNKNOWN = "unknown"


def encode_order(order: Order, loaded_wall_s: float) -> str:
    """Returns the text under which an order is recorded.

    Args:
        order: The order.
        loaded_wall_s: Unix time of the last load of the engine, 0 if there
            is none to remember. Only the newest order of an engine is
            recorded, and the rate of the weight store must count the load
            before an unload.
    """
    loaded_ms = int(loaded_wall_s * 1000)
    return (
        f"{order.kind.value} {order.model} {order.version} {order.order_id} "
        f"{loaded_ms}"
    )


def decode_order(text: str) -> tuple[Order, float] | core.Missing:
    """Returns the order of a recorded text and the time of the last load.

    Unset if the text is no order.
    """
    fields = text.split(" ")
    if len(fields) != _FIELD_COUNT:
        return core.Missing.UNSET
    try:
        kind = OrderKind(fields[0])
        loaded_wall_s = int(fields[4]) / 1000
    except ValueError:
        return core.Missing.UNSET
    return Order(kind, fields[1], fields[2], fields[3]), loaded_wall_s


def inverse(order: Order, order_id: str) -> Order | core.Missing:
    """Returns the order that undoes another, unset if there is none."""
    inverse_by_kind = {
        OrderKind.LOAD: OrderKind.UNLOAD,
        OrderKind.UNLOAD: OrderKind.LOAD,
    }
    kind = inverse_by_kind.get(order.kind)
    if kind is None:
        return core.Missing.UNSET
    return Order(kind, order.model, order.version, order_id)
