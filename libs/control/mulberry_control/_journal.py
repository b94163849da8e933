"""Reads the recorded orders of earlier lease holders."""

import abc
import dataclasses
from collections.abc import Callable

from absl import logging

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
    #: Unix time of the record by the clock of the leader, seconds.
    wall_s: float
    #: Unix time of the last load before this order, seconds; 0 if there was
    #: none in the rate window.
    loaded_wall_s: float


class OrderJournal(abc.ABC):
    """Reads recorded orders; needs a local copy of the replicated state."""

    @abc.abstractmethod
    def orders(
        self, lease_name: str, fencing_number: int
    ) -> tuple[RecordedOrder, ...] | core.Refusal:
        """Returns the newest recorded order of each engine.

        Args:
            lease_name: Name of the lease.
            fencing_number: Fencing number of the reader's lease. A local
                state that lacks this grant may also lack orders of the
                previous holder.

        Returns:
            The newest order of each engine, or a refusal if the local state is
            older than the grant.
        """


class StateMachineOrderJournal(OrderJournal):
    """Reads recorded orders from the state machine of this process."""

    def __init__(self, machine: Callable[[], state.StateMachine]) -> None:
        """Creates a journal.

        Args:
            machine: Returns the current state machine, which the
                installation of a snapshot replaces.
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
            if item.lease_name != lease_name:
                continue
            decoded = _orders.decode_order(item.order)
            if isinstance(decoded, core.Missing):
                logging.warning(
                    "leaving out a recorded order to %r that cannot be read",
                    item.upstream,
                )
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
