"""Grants the permits that this instance owns."""

import math
from collections.abc import Callable, Iterable

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
from mulberry_gateway import _cold_upstreams

#: Wait for the permit of an upstream that the owner does not know, or of a cold
#: one that has another home, seconds.
_NOT_OWNED_WAIT_S = 0.5


class PermitGranter:
    """Grants permits for the upstreams that this instance is the home of.

    Thread-safe. The limit of a cold upstream is decided here as well, so that
    an instance that has not learned of it cannot raise it.
    """

    def __init__(
        self,
        own_name: str,
        allocator: decisions.RateAllocator,
        find_upstream: Callable[[str], membership.Upstream | core.Missing],
        home_since_s: Callable[[str], float],
        announced_age_s: Callable[[str], float],
        cold: _cold_upstreams.ColdUpstreams,
    ) -> None:
        """Creates a granter.

        Args:
            own_name: Name of this instance.
            allocator: Divides the rates.
            find_upstream: Returns an upstream by name.
            home_since_s: Returns `Clock.now` since when an upstream has its
                home, seconds; -inf if no earlier one is known.
            announced_age_s: Returns the time since an upstream announced
                itself to this instance, seconds.
            cold: Tells which upstreams are cold.
        """
        self._own_name = own_name
        self._allocator = allocator
        self._find_upstream = find_upstream
        self._home_since_s = home_since_s
        self._announced_age_s = announced_age_s
        self._cold = cold

    def reserve(
        self,
        name: str,
        incarnation: int,
        report: decisions.RateReport,
        wants_permit: bool,
        cold_per_s: float,
    ) -> decisions.PermitReply:
        """Takes a permit for one request.

        Args:
            name: Name of the upstream.
            incarnation: Start of the upstream that is asked for.
            report: Newest report that the asking instance knows.
            wants_permit: False only to pass on the report.
            cold_per_s: Rate that the asking instance applies to a cold
                upstream, requests a second; 0 if it takes it for warm.
        """
        upstream = self._find_upstream(name)
        if isinstance(upstream, core.Missing):
            return decisions.PermitReply(_NOT_OWNED_WAIT_S, report)
        limit = self._cold.owner_limit(upstream, cold_per_s)
        owned_since_s = -math.inf
        if not isinstance(limit, core.Missing):
            if wants_permit and not self._is_owner(upstream):
                return decisions.PermitReply(_NOT_OWNED_WAIT_S, report)
            owned_since_s = self._home_since_s(name)
        return self._allocator.reserve(
            name, incarnation, report, wants_permit, limit, owned_since_s
        )

    def refresh(self, names: Iterable[str]) -> None:
        """Lets the permits of cold upstreams go on while nobody asks for any.

        An upstream that is not refreshed counts as warm in the meantime, and
        begins without permits.

        Args:
            names: Upstreams that count as cold, of all homes.
        """
        for name in names:
            upstream = self._find_upstream(name)
            if not isinstance(upstream, core.Missing) and self._is_owner(
                upstream
            ):
                self.reserve(
                    name, upstream.incarnation, decisions.NO_REPORT, False, 0.0
                )

    def _is_owner(self, upstream: membership.Upstream) -> bool:
        """Whether the upstream announces itself here and not elsewhere.

        Two owners of a cold upstream would grant twice what it tolerates.
        """
        return upstream.home == self._own_name and self._cold.is_current_owner(
            self._announced_age_s(upstream.name)
        )
