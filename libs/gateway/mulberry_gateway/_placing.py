"""Chooses the upstream of an attempt from what the instance knows."""

import dataclasses
import math
from collections.abc import Sequence

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
from mulberry_gateway import _catalog, _exchange, _releases


@dataclasses.dataclass(frozen=True)
class Chosen:
    """Where an attempt goes, with the inputs that decided."""

    upstream: membership.Upstream
    load: float
    candidates: int
    #: Share of the places of all candidates in use.
    load_share: float


class Placer:
    """Joins catalog, load, health and rollouts for the decisions."""

    def __init__(
        self,
        zone: str,
        catalog: _catalog.Catalog,
        releases: _releases.Releases,
        clock: core.Clock,
    ) -> None:
        self._catalog = catalog
        self._releases = releases
        self.load = decisions.LoadEstimator(clock)
        self.health = decisions.UpstreamHealth(clock)
        self._least_load = decisions.PowerOfTwoChoices(zone)
        self._affinity = decisions.SessionAffinity(zone, self._least_load)

    def choose(self, exchange: _exchange.Exchange) -> Chosen | core.Refusal:
        """Returns the upstream of the next attempt, or why there is none."""
        usable_by_name = {
            upstream.name: upstream for upstream in self._usable(exchange)
        }
        loads = self.load.estimates(list(usable_by_name))
        places = [
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
        place = placement.choose(places, exchange.facts.session)
        if isinstance(place, core.Missing):
            return core.Refusal(
                core.ErrorKind.NO_UPSTREAM,
                exchange.run,
                f"service {exchange.service} has no upstream for this request",
                retry_after_s=self._opens_in_s(exchange),
            )
        return Chosen(
            usable_by_name[place.name],
            place.load,
            len(places),
            sum(place.load for place in places)
            / sum(place.slots for place in places),
        )

    def _opens_in_s(self, exchange: _exchange.Exchange) -> float | core.Missing:
        """Returns when the first upstream wants requests again, seconds.

        Unset where that is not known, and for the kind of error to say.
        """
        waits_s = [
            self.health.unavailable_s(upstream.name, upstream.incarnation)
            for upstream in self._catalog.of(exchange.service)
            if upstream.state is membership.UpstreamState.READY
        ]
        soonest_s = min(waits_s, default=math.inf)
        return soonest_s if 0.0 < soonest_s < math.inf else core.Missing.UNSET

    def _is_closed(self, upstream: membership.Upstream) -> bool:
        """Whether the upstream itself wants no request now."""
        return (
            self.health.unavailable_s(upstream.name, upstream.incarnation) > 0.0
        )

    def forget_lost(self) -> None:
        """Drops what is known of upstreams that are gone."""
        names = self._catalog.names()
        self.load.keep_only(names)
        self.health.keep_only(names)

    def _usable(
        self, exchange: _exchange.Exchange
    ) -> Sequence[membership.Upstream]:
        tried = exchange.tried
        ready = [
            upstream
            for upstream in self._catalog.of(exchange.service)
            if upstream.state is membership.UpstreamState.READY
            and upstream.name not in tried
            and not self._is_closed(upstream)
        ]
        allowed = self._releases.filter(
            exchange.service,
            exchange.session or exchange.facts.request_id,
            ready,
        )
        healthy = [
            upstream
            for upstream in allowed
            if not self.health.is_in_backoff(upstream.name)
        ]
        return healthy or allowed
