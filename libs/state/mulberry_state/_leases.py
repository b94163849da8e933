"""Named leases with fencing numbers, and engine orders issued under them."""

import dataclasses

from mulberry_state import _codec, _commands, _invariants
from mulberry_wire import state_pb2


@dataclasses.dataclass(frozen=True)
class NamedLease:
    """A lease, as last granted or renewed."""

    name: str
    holder: str
    fencing_number: int
    #: Log time in seconds, see `Stamp`.
    expires_s: float


@dataclasses.dataclass(frozen=True)
class EngineOrder:
    """The latest order to an engine, with its progress."""

    upstream: str
    lease_name: str
    fencing_number: int
    order: str
    state: _commands.OrderState
    #: Unix time, seconds.
    wall_s: float


class Leases:
    """Leases by name, and the latest order of each upstream.

    Expired leases are never removed, so that fencing numbers keep increasing.
    """

    def __init__(self) -> None:
        self._lease_by_name: dict[str, NamedLease] = {}
        self._order_by_upstream: dict[str, EngineOrder] = {}

    def acquire(
        self, command: _commands.AcquireLease, log_s: float
    ) -> _commands.LeaseGranted | _commands.LeaseHeld:
        """Grants a free lease, or renews it for its current holder."""
        old = self._lease_by_name.get(command.name)
        is_active = old is not None and log_s < old.expires_s
        if old and is_active and old.holder != command.holder:
            return _commands.LeaseHeld(old.holder)
        fencing_number = old.fencing_number if old else 0
        if not is_active:
            fencing_number += 1
        _invariants.require(
            old is None
            or fencing_number > old.fencing_number
            or (fencing_number, command.holder)
            == (old.fencing_number, old.holder),
            f"fencing number of lease {command.name} would not increase",
        )
        expires_s = log_s + command.duration_s
        if old and is_active:
            expires_s = max(expires_s, old.expires_s)
        self._lease_by_name[command.name] = NamedLease(
            command.name, command.holder, fencing_number, expires_s
        )
        return _commands.LeaseGranted(fencing_number)

    def record_order(
        self, command: _commands.RecordOrder, log_s: float, wall_s: float
    ) -> _commands.OrderRecorded | _commands.LeaseLost:
        """Records an order issued by the holder of a lease.

        An order may begin only before the lease expires. Its completion may be
        reported later, unless the lease was granted again in the meantime.
        """
        lease = self._lease_by_name.get(command.lease_name)
        fencing_number = lease.fencing_number if lease else 0
        is_expired = lease is None or lease.expires_s <= log_s
        is_begin = command.state is _commands.OrderState.BEGUN
        if fencing_number != command.fencing_number or (
            is_begin and is_expired
        ):
            return _commands.LeaseLost(fencing_number)
        self._order_by_upstream[command.upstream] = EngineOrder(
            upstream=command.upstream,
            lease_name=command.lease_name,
            fencing_number=command.fencing_number,
            order=command.order,
            state=command.state,
            wall_s=wall_s,
        )
        return _commands.OrderRecorded()

    def orders(self) -> tuple[EngineOrder, ...]:
        """Returns the latest order of each upstream."""
        return tuple(self._order_by_upstream.values())

    def leases(self) -> tuple[NamedLease, ...]:
        """Returns all leases, including expired ones."""
        return tuple(self._lease_by_name.values())

    def write(self, snapshot: state_pb2.StateSnapshot) -> None:
        """Copies leases and orders into a snapshot."""
        for lease in self._lease_by_name.values():
            _codec.fill(lease, snapshot.leases.add())
        for order in self._order_by_upstream.values():
            _codec.fill(order, snapshot.orders.add())

    def restore(self, snapshot: state_pb2.StateSnapshot) -> None:
        """Replaces leases and orders by those of a snapshot."""
        leases = [_codec.read(NamedLease, item) for item in snapshot.leases]
        orders = [_codec.read(EngineOrder, item) for item in snapshot.orders]
        self._lease_by_name = {lease.name: lease for lease in leases}
        self._order_by_upstream = {order.upstream: order for order in orders}
