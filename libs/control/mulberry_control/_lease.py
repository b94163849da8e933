"""The lease that allows one process at a time to send orders."""

import dataclasses
import threading
import uuid

import mulberry_core as core
import mulberry_state as state

#: Largest relative drift between the clocks of two machines.
MAX_CLOCK_DRIFT = 0.01


@dataclasses.dataclass(frozen=True)
class HeldLease:
    """The local view of a lease by its holder."""

    fencing_number: int
    #: Local time until which the holder may treat it as valid, seconds.
    expires_s: float
    #: Local time at which this fencing number was first received, seconds.
    granted_s: float


class ControlLease:
    """Acquires, renews and checks one named lease; thread-safe."""

    def __init__(
        self,
        client: state.StateClient,
        clock: core.Clock,
        name: str,
        holder: str,
        duration_s: float = 10.0,
    ) -> None:
        """Creates a lease that is not yet held.

        Args:
            client: Access to the replicated state.
            clock: Must read CLOCK_BOOTTIME, because a lease also expires
                while the machine is suspended.
            name: Name of the lease.
            holder: Id unique to this process, not only to the instance,
                because orders of an earlier process of the same instance may
                still be in flight.
            duration_s: Term of the lease.
        """
        self._client = client
        self._clock = clock
        self._name = name
        self._holder = holder
        self._duration_s = duration_s
        self._lock = threading.Lock()
        self._held: HeldLease | core.Missing = core.Missing.UNSET

    @property
    def name(self) -> str:
        """Name of the lease."""
        return self._name

    def renew(self) -> HeldLease | core.Refusal:
        """Acquires or renews the lease."""
        # Measured from before the request, which is never after the grant.
        requested_s = self._clock.now()
        result = self._client.propose(
            state.AcquireLease(
                uuid.uuid4().hex, self._name, self._holder, self._duration_s
            ),
            self._duration_s / 2,
        )
        if isinstance(result, core.Refusal):
            return result
        if not isinstance(result, state.LeaseGranted):
            self.drop()
            return lease_lost(f"lease {self._name} is held by another process")
        return self._store_grant(result.fencing_number, requested_s)

    def held(self) -> HeldLease | core.Missing:
        """Returns the lease if it is held and has not expired."""
        with self._lock:
            held = self._held
        if isinstance(held, core.Missing):
            return held
        if self._clock.now() >= held.expires_s:
            return core.Missing.UNSET
        return held

    def may_send(self, fencing_number: int) -> bool:
        """Whether an order with this fencing number may be sent now."""
        held = self.held()
        return (
            not isinstance(held, core.Missing)
            and held.fencing_number == fencing_number
        )

    def drop(self) -> None:
        """Treats the lease as lost from now on."""
        with self._lock:
            self._held = core.Missing.UNSET

    def _store_grant(
        self, fencing_number: int, requested_s: float
    ) -> HeldLease:
        granted_s = self._clock.now()
        with self._lock:
            held = self._held
            if (
                not isinstance(held, core.Missing)
                and held.fencing_number == fencing_number
            ):
                granted_s = held.granted_s
            self._held = HeldLease(
                fencing_number=fencing_number,
                expires_s=requested_s
                + self._duration_s * (1 - MAX_CLOCK_DRIFT),
                granted_s=granted_s,
            )
            return self._held


def lease_lost(reason: str) -> core.Refusal:
    """Returns the refusal for an order without a valid lease."""
    return core.Refusal(
        core.ErrorKind.LEASE_LOST, core.RunState.NOT_RUN, reason
    )
