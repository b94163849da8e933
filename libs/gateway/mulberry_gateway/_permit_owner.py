"""Who grants the permits for an upstream that names a rate or is cold."""

import abc

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership

#: Longest time until another permit is asked for, seconds. At the lowest rate
#: and after a change of the owner it takes 4.5 s. Other instances may state more.
MAX_WAIT_S = 5.0


class PermitOwner(abc.ABC):
    """Grants permits; implementations are thread-safe."""

    @abc.abstractmethod
    def reserve(
        self,
        upstream: membership.Upstream,
        report: decisions.RateReport,
        wants_permit: bool,
        timeout_s: float,
        cold: decisions.ColdLimit | core.Missing = core.Missing.UNLIMITED,
    ) -> decisions.PermitReply | core.Refusal:
        """Takes a permit for one request.

        Args:
            upstream: The upstream that names a rate or is cold.
            report: Newest report of this instance.
            wants_permit: False only to pass on the report.
            timeout_s: Time limit, seconds.
            cold: Limit of a cold upstream, unlimited if it is warm.

        Returns:
            The reply, or a refusal if the owner cannot be asked.
        """


class LocalPermitOwner(PermitOwner):
    """Owns all rates; for an instance without others."""

    def __init__(self, allocator: decisions.RateAllocator) -> None:
        self._allocator = allocator

    def reserve(
        self,
        upstream: membership.Upstream,
        report: decisions.RateReport,
        wants_permit: bool,
        timeout_s: float,
        cold: decisions.ColdLimit | core.Missing = core.Missing.UNLIMITED,
    ) -> decisions.PermitReply | core.Refusal:
        """Takes a permit from the allocator of this instance."""
        del timeout_s
        return self._allocator.reserve(
            upstream.name, upstream.incarnation, report, wants_permit, cold
        )
