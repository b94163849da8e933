"""Reads the orders that earlier holders of the lease have recorded."""

import abc
import dataclasses
from collections.abc import Callable

import mulberry_core as core
import mulberry_state as state
from mulberry_control import _orders


@dataclasses.dataclass(frozen=True)
class RecordedOrder:
    """The newest recorded order of one engine."""

    upstream: str
    order: _orders.Order
    fencing_number: int
    state: state.OrderState
    #: Unix time of the record, seconds, by the clock of a leader.
    wall_s: float
    #: Unix time of the last load before this order, 0 if there was none in
    #: the rate window.
    loaded_wall_s: float


class OrderJournal(abc.ABC):
    """The recorded orders; only instances with state can read them."""

    @abc.abstractmethod
    def orders(
        self, lease_name: str, fencing_number: int
    ) -> tuple[RecordedOrder, ...] | core.Refusal:
        """Returns the newest recorded order of each engine.

        Args:
            lease_name: Name of the lease.
            fencing_number: Of the reader's lease; a state that does not hold
                that grant yet may lack orders of the holder before.

        Returns:
            All orders recorded before the grant, or a refusal.
        """


class StateMachineOrderJournal(OrderJournal):
    """Reads the state machine of this process."""

    def __init__(self, machine: Callable[[], state.StateMachine]) -> None:
        """Creates a journal.

        Args:
            machine: Returns the present state machine; a snapshot may
                replace it.
        """
        self._machine = machine

    def orders(
        self, lease_name: str, fencing_number: int
    ) -> tuple[RecordedOrder, ...] | core.Refusal:
        """Returns the newest recorded order of each engine."""
        leases = self._machine().leases
        fencing_number_by_lease = {
            lease.name: lease.fencing_number for lease in leases.leases()
        }
        if fencing_number_by_lease.get(lease_name, 0) < fencing_number:
            return core.Refusal(
                core.ErrorKind.QUORUM_UNAVAILABLE,
                core.RunState.NOT_RUN,
                "the state of this instance is older than its lease",
            )
        found = []
        for item in leases.orders():
            decoded = _orders.decode_order(item.order)
            if item.lease_name != lease_name or isinstance(
                decoded, core.Missing
            ):
                continue
            order, loaded_wall_s = decoded
            found.append(
                RecordedOrder(
                    item.upstream,
                    order,
                    item.fencing_number,
                    item.state,
                    item.wall_s,
                    loaded_wall_s,
                )
            )
        return tuple(found)
