"""Choice of engines by the schedulers of the zones."""

import random
from collections.abc import Container, Mapping, Sequence

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
import mulberry_routing as routing
from mulberry_gateway import _exchange, _placement_exchange

#: Failure rate of an upstream beyond the lowest one from which it is no
#: candidate. Its other requests may end soon because they fail.
_MAX_EXCESS_FAILURES = 0.15
#: Share of the target latency from which the scheduler of another zone is asked
#: too, and the advantage that it must offer, since traffic between zones costs.
_SPILL_SHARE = 0.5
_SPILL_ADVANTAGE = 0.25
#: Parts of a prompt that are passed on.
_MAX_PARTS = 8


class EngineScheduling:
    """Chooses engines together with the other instances.

    Takes part for services with engines where the settings ask for it, or
    whose upstreams report how long work takes on their machines.
    """

    def __init__(
        self,
        zone: str,
        client: _placement_exchange.PlacementClient,
        ledgers: _placement_exchange.WorkLedgers,
        is_wanted: bool,
    ) -> None:
        """Creates scheduling that knows nothing of any service.

        Args:
            zone: Availability zone of this instance.
            client: Asks the schedulers.
            ledgers: Ledgers of the services that this instance schedules.
            is_wanted: Whether all services with engines take part.
        """
        self._zone = zone
        self._client = client
        self._ledgers = ledgers
        self._is_wanted = is_wanted
        #: Services whose upstreams have reported their pace.
        self._paced_services: frozenset[str] = frozenset()

    def place(
        self,
        exchange: _exchange.Exchange,
        model: str,
        candidates: Sequence[decisions.UpstreamCandidate],
        upstream_by_name: Mapping[str, membership.Upstream],
    ) -> _placement_exchange.PlacementTicket | core.Missing:
        """Returns the engine of a request; unset to choose without schedulers.

        Args:
            exchange: The request.
            model: Model that the attempt will use; empty for the caller's.
            candidates: Upstreams that may run the request.
            upstream_by_name: These upstreams.
        """
        if not candidates or not self._takes_part(exchange):
            return core.Missing.UNSET
        lowest = min(candidate.failure_rate for candidate in candidates)
        engines_by_zone: dict[str, list[decisions.EngineCandidate]] = {}
        for candidate in candidates:
            if candidate.failure_rate > lowest + _MAX_EXCESS_FAILURES:
                continue
            engines_by_zone.setdefault(candidate.zone, []).append(
                decisions.EngineCandidate(
                    candidate.name,
                    upstream_by_name[candidate.name].incarnation,
                    candidate.slots,
                )
            )
        metadata = exchange.metadata
        work = decisions.PromptWork(
            model,
            metadata.prompt_tokens,
            tuple(
                decisions.PromptSize(part.id, part.tokens)
                for part in metadata.shared_parts[:_MAX_PARTS]
            ),
            decisions.urgency(exchange.priority, len(exchange.attempts) + 1),
        )
        return self._place_in_zones(exchange, work, engines_by_zone)

    def reported(
        self,
        service: str,
        ticket: _placement_exchange.PlacementTicket | core.Missing,
        report: decisions.LoadReport,
    ) -> None:
        """Records the load that an upstream reported in a response."""
        is_paced = not isinstance(report.pace, core.Missing)
        if is_paced and service not in self._paced_services:
            self._paced_services |= {service}
        if not isinstance(ticket, core.Missing):
            self._client.reported(ticket, report)

    def began(
        self, ticket: _placement_exchange.PlacementTicket | core.Missing
    ) -> None:
        """Records that the answer to a request has begun."""
        if not isinstance(ticket, core.Missing):
            self._client.began(ticket)

    def released(
        self, ticket: _placement_exchange.PlacementTicket | core.Missing
    ) -> None:
        """Records that a request has ended, or was not sent."""
        if not isinstance(ticket, core.Missing):
            self._client.ended(ticket)

    def keep_only(self, names: Container[str]) -> None:
        """Removes upstreams that are not known any more."""
        self._ledgers.keep_only(lambda name: name in names)

    def _takes_part(self, exchange: _exchange.Exchange) -> bool:
        service = exchange.table.services_by_name.get(exchange.service)
        return (
            (self._is_wanted or exchange.service in self._paced_services)
            and service is not None
            and isinstance(service.engine, routing.Engine)
            and exchange.metadata.prompt_tokens > 0
        )

    def _place_in_zones(
        self,
        exchange: _exchange.Exchange,
        work: decisions.PromptWork,
        engines_by_zone: Mapping[str, Sequence[decisions.EngineCandidate]],
    ) -> _placement_exchange.PlacementTicket | core.Missing:
        """Asks the scheduler of this zone, and of another if it has no room."""
        service = exchange.service
        others = [zone for zone in engines_by_zone if zone != self._zone]
        zone = self._zone if self._zone in engines_by_zone else ""
        if not zone:
            zone = others.pop(random.randrange(len(others)))
        deadline_s = exchange.deadline_s
        ticket = self._client.place(
            service, zone, work, engines_by_zone[zone], deadline_s
        )
        target_s = exchange.route.target_latency_s
        if (
            isinstance(ticket, core.Missing)
            or not others
            or ticket.expected_s < _SPILL_SHARE * target_s
        ):
            return ticket
        other_zone = random.choice(others)
        other = self._client.place(
            service,
            other_zone,
            work,
            engines_by_zone[other_zone],
            deadline_s,
        )
        if isinstance(other, core.Missing):
            return ticket
        if other.expected_s + _SPILL_ADVANTAGE * target_s < ticket.expected_s:
            self._client.ended(ticket)
            return other
        self._client.ended(other)
        return ticket
