"""Selects the upstream of an attempt."""

import dataclasses
import math
from collections.abc import Callable, Sequence

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
from mulberry_gateway import (
    _catalog,
    _engine_scheduling,
    _evacuations,
    _exchange,
    _placement_exchange,
    _regions,
    _rollout_filter,
)


@dataclasses.dataclass(frozen=True)
class Selection:
    """The selected upstream, with the inputs of the decision."""

    upstream: membership.Upstream
    load: float
    candidates: int
    #: Share of the slots of all candidates that is in use.
    load_share: float
    #: Set if a scheduler has chosen the upstream.
    ticket: _placement_exchange.PlacementTicket | core.Missing = (
        core.Missing.UNSET
    )


class UpstreamSelector:
    """Selects upstreams by availability, rollout, health and load."""

    def __init__(
        self,
        zone: str,
        catalog: _catalog.UpstreamCatalog,
        rollout_filter: _rollout_filter.RolloutFilter,
        clock: core.Clock,
        rank: Callable[[], decisions.InstanceRank],
        scheduling: _engine_scheduling.EngineScheduling,
        evacuations: _evacuations.Evacuations,
        regions: _regions.RegionPolicy,
    ) -> None:
        """Creates a selector without knowledge of any upstream.

        Args:
            zone: Availability zone of this instance.
            catalog: Lists the upstreams.
            rollout_filter: Selects the releases of a session.
            clock: Source of time.
            rank: Returns the position of this instance among all that share
                the upstreams.
            scheduling: Chooses engines together with the other instances.
            evacuations: Knows the zones that get no requests.
            regions: Knows the regions of the zones.
        """
        self._scheduling = scheduling
        self._catalog = catalog
        self._rank = rank
        self._rollout_filter = rollout_filter
        self._evacuations = evacuations
        self._regions = regions
        self.load = decisions.LoadEstimator(clock)
        self.health = decisions.UpstreamHealth(clock)
        self.rejection_limiter = decisions.RejectionLimiter(clock)
        self.named_rates = decisions.NamedRates(clock)
        self._least_load = decisions.PowerOfTwoChoices(zone)
        self._affinity = decisions.SessionAffinity(zone, self._least_load)

    def choose(
        self, exchange: _exchange.Exchange, model: str = ""
    ) -> Selection | core.Refusal:
        """Returns the upstream of the next attempt, or why there is none.

        A selection that is not used must be given back with `released`.

        Args:
            exchange: The request.
            model: Model that the attempt will use; empty for the caller's.
        """
        usable = self._usable(exchange)
        usable_by_name = {
            upstream.name: upstream
            for upstream in usable
            if not self._blocked_s(upstream)
        }
        if usable and not usable_by_name:
            return core.Refusal(
                core.ErrorKind.NO_UPSTREAM,
                exchange.run,
                f"the upstreams of {exchange.service} take no more requests "
                "at present",
                retry_after_s=min(map(self._blocked_s, usable)),
            )
        loads = self.load.estimates(list(usable_by_name))
        candidates = [
            decisions.UpstreamCandidate(
                name=name,
                zone=upstream.zone,
                slots=upstream.capacity,
                load=loads[name],
                failure_rate=self.health.failure_rate(name),
            )
            for name, upstream in usable_by_name.items()
        ]
        placement = (
            self._affinity if exchange.route.is_sticky else self._least_load
        )
        is_limited = bool(candidates) and self.rejection_limiter.is_limited(
            exchange.service
        )
        admitted: Sequence[decisions.UpstreamCandidate] | float = candidates
        if is_limited:
            admitted = self._admit(exchange.service, candidates)
        if isinstance(admitted, float):
            return core.Refusal(
                core.ErrorKind.NO_UPSTREAM,
                exchange.run,
                f"service {exchange.service} limits its rejections, and the "
                "share of this instance is in use",
                retry_after_s=admitted,
            )
        ticket = (
            core.Missing.UNSET
            if is_limited
            else self._scheduling.place(
                exchange, model, candidates, usable_by_name
            )
        )
        chosen = (
            placement.choose(admitted, exchange.metadata.session)
            if isinstance(ticket, core.Missing)
            else next(c for c in candidates if c.name == ticket.upstream)
        )
        if isinstance(chosen, core.Missing):
            return core.Refusal(
                core.ErrorKind.NO_UPSTREAM,
                exchange.run,
                self._no_upstream_reason(exchange),
                retry_after_s=self._next_available_in_s(exchange),
            )
        if is_limited:
            self.load.chosen(chosen.name)
        return Selection(
            usable_by_name[chosen.name],
            chosen.load,
            len(candidates),
            sum(candidate.load for candidate in candidates)
            / sum(candidate.slots for candidate in candidates),
            ticket,
        )

    def reported(
        self,
        selection: Selection,
        service: str,
        report: decisions.LoadReport | core.Missing,
    ) -> None:
        """Records the load that a selected upstream reported, if it did."""
        if not isinstance(report, core.Missing):
            self.load.reported(selection.upstream.name, report)
            self._scheduling.reported(service, selection.ticket, report)

    def began(self, selection: Selection) -> None:
        """Records that the answer of a selected upstream has begun."""
        self._scheduling.began(selection.ticket)

    def released(self, selection: Selection) -> None:
        """Records that an attempt at a selected upstream ended or was not made.

        May be called more than once.
        """
        self._scheduling.released(selection.ticket)

    def _admit(
        self, service: str, candidates: Sequence[decisions.UpstreamCandidate]
    ) -> Sequence[decisions.UpstreamCandidate] | float:
        """Returns the candidates within the limits of the service.

        If there are none, returns the delay for the caller, seconds.
        """
        rank = self._rank()
        # Also those that this instance cannot reach: instances must agree.
        upstreams = [
            upstream
            for upstream in self._catalog.for_service(service)
            if upstream.state is membership.UpstreamState.READY
            and not self._evacuations.is_evacuated(upstream.zone)
        ]
        shares = decisions.slot_shares(
            [
                decisions.SharedUpstream(
                    upstream.name,
                    upstream.zone,
                    upstream.release,
                    upstream.capacity,
                )
                for upstream in upstreams
            ],
            rank,
        )
        return self.rejection_limiter.admit(
            service,
            candidates,
            shares,
            self.load.own_requests,
            rank.count,
            len(upstreams),
        )

    def _next_available_in_s(
        self, exchange: _exchange.Exchange
    ) -> float | core.Missing:
        """Returns the time until an upstream accepts requests, seconds.

        Unset if it is unknown; the default of the error kind then applies.
        """
        waits_s = [
            self.health.unavailable_s(upstream.name, upstream.incarnation)
            for upstream in self._candidates(exchange)
        ]
        soonest_s = min(waits_s, default=math.inf)
        return soonest_s if 0.0 < soonest_s < math.inf else core.Missing.UNSET

    def _candidates(
        self, exchange: _exchange.Exchange
    ) -> Sequence[membership.Upstream]:
        """Returns the ready upstreams in zones that may get the request."""
        return [
            upstream
            for upstream in self._catalog.for_service(exchange.service)
            if upstream.state is membership.UpstreamState.READY
            and not self._evacuations.is_evacuated(upstream.zone)
            and self._regions.permits(exchange.allowed_regions, upstream.zone)
        ]

    def _no_upstream_reason(self, exchange: _exchange.Exchange) -> str:
        """Explains that no upstream remains, naming the zones left out."""
        reason = f"service {exchange.service} has no upstream for this request"
        zones = {
            upstream.zone
            for upstream in self._catalog.for_service(exchange.service)
        }
        allowed = {
            zone
            for zone in zones
            if self._regions.permits(exchange.allowed_regions, zone)
        }
        evacuated = filter(self._evacuations.is_evacuated, allowed)
        for text, left_out in (
            ("zones outside the allowed regions", zones - allowed),
            ("evacuated zones", evacuated),
        ):
            if names := ", ".join(sorted(left_out)):
                reason += f"; {text}: {names}"
        return reason

    def _blocked_s(self, upstream: membership.Upstream) -> float:
        """Returns for how long a rate that was named allows no request."""
        return self.named_rates.blocked_s(upstream.name, upstream.incarnation)

    def _is_refusing(self, upstream: membership.Upstream) -> bool:
        """Whether the upstream asked for no requests at present."""
        return (
            self.health.unavailable_s(upstream.name, upstream.incarnation) > 0.0
        )

    def may_send(self, upstream: membership.Upstream) -> bool:
        """Whether an upstream that was chosen may still get the request.

        False if it has said since then that it leaves, in an announcement or
        an answer, or that it wants no requests for a time, or if its zone has
        been evacuated.
        """
        return not (
            self._catalog.has_departed(upstream)
            or self._is_refusing(upstream)
            or self._evacuations.is_evacuated(upstream.zone)
        )

    def prune_removed(self) -> None:
        """Drops load and health of upstreams that no longer exist."""
        names = self._catalog.names()
        self.load.keep_only(names)
        self.health.keep_only(names)
        self.rejection_limiter.keep_only(names)
        self.named_rates.keep_only(names)
        self._scheduling.keep_only(names)

    def _usable(
        self, exchange: _exchange.Exchange
    ) -> Sequence[membership.Upstream]:
        failed_upstreams = exchange.failed_upstreams | {
            name
            for name in exchange.unreached_upstreams
            if self.health.is_in_backoff(name)
        }
        ready = [
            upstream
            for upstream in self._candidates(exchange)
            if upstream.name not in failed_upstreams
            and not self._is_refusing(upstream)
        ]
        allowed = self._rollout_filter.filter(
            exchange.service,
            exchange.session or exchange.metadata.request_id,
            ready,
        )
        healthy = [
            upstream
            for upstream in allowed
            if not self.health.is_in_backoff(upstream.name)
        ]
        return healthy or allowed
