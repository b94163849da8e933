"""Rules leases that the leader has granted to instances."""

import dataclasses
import threading

import mulberry_core as core

#: Maximum relative drift between the clocks of two instances.
MAX_CLOCK_DRIFT = 0.01


@dataclasses.dataclass(frozen=True)
class RulesLease:
    """The rules lease of one instance."""

    #: Revision that the instance reported with its last renewal.
    revision: int
    #: `Clock.now()` of the leader by which the lease has surely expired.
    expires_s: float


class RulesLeaseTable:
    """Leases granted by this leader.

    Leases of earlier leaders are not in the table; they expire on their own.
    """

    def __init__(self, clock: core.Clock, lease_term_s: float) -> None:
        self._clock = clock
        self._max_lease_s = lease_term_s * (1 + MAX_CLOCK_DRIFT)
        self._lock = threading.Lock()
        self._lease_by_instance: dict[str, RulesLease] = {}

    def renew(self, instance: str, revision: int, arrived_s: float) -> None:
        """Records a lease that expires one lease term after `arrived_s`.

        The instance counts the lease term from when it sent the request, which
        is earlier.
        """
        expires_s = arrived_s + self._max_lease_s
        with self._lock:
            known = self._lease_by_instance.get(instance)
            if known:
                # Requests may arrive out of order.
                expires_s = max(expires_s, known.expires_s)
                revision = max(revision, known.revision)
            self._lease_by_instance[instance] = RulesLease(revision, expires_s)

    def all_have_revision(self, revision: int, elected_s: float) -> bool:
        """Whether every unexpired lease has `revision` or a later one.

        Args:
            revision: Revision of the view, committed and applied here.
            elected_s: Start of the leadership. Leases of earlier leaders are
                unknown, but have expired one lease term later.
        """
        now_s = self._clock.now()
        if now_s < elected_s + self._max_lease_s:
            return False
        with self._lock:
            self._remove_expired(now_s)
            return all(
                lease.revision >= revision
                for lease in self._lease_by_instance.values()
            )

    def _remove_expired(self, now_s: float) -> None:
        expired = [
            instance
            for instance, lease in self._lease_by_instance.items()
            if lease.expires_s <= now_s
        ]
        for instance in expired:
            del self._lease_by_instance[instance]
