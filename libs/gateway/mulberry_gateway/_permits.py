"""Wires what grants and takes permits for requests."""

from collections.abc import Callable, Mapping

import grpc

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
import mulberry_state as state
from mulberry_gateway import (
    _catalog,
    _cold_reports,
    _cold_upstreams,
    _permit_exchange,
    _permit_granter,
    _rate_gate,
    _settings,
)

#: Interval between reports of the cold upstreams, seconds. One report may be
#: late: the allocator keeps the permits of an upstream for 2 s after each.
_REPORT_PERIOD_S = 1.0


class Permits:
    """The parts of one instance that limit the requests to an upstream."""

    def __init__(
        self,
        settings: _settings.GatewaySettings,
        rules: _cold_upstreams.ColdRules,
        catalog: _catalog.UpstreamCatalog,
        directory: membership.UpstreamDirectory,
        members: Callable[[], Mapping[str, membership.Member]],
        named_rates: decisions.NamedRates,
        clock: core.Clock,
        counters: core.Counters,
        log: core.DecisionLog,
        evacuation_ended_s: Callable[[str], float | core.Missing] = (
            _cold_upstreams.never_evacuated
        ),
    ) -> None:
        """Creates the parts; see `ColdUpstreams` for `evacuation_ended_s`."""
        self._catalog = catalog
        self._allocator = decisions.RateAllocator(clock)
        self._channels = state.Channels(state.open_insecure)
        self.cold = _cold_upstreams.ColdUpstreams(
            rules,
            catalog,
            clock,
            settings.bounds.announce_period_s,
            evacuation_ended_s,
        )
        self._granter = _permit_granter.PermitGranter(
            settings.name,
            self._allocator,
            catalog.find,
            catalog.home_since_s,
            directory.announced_age_s,
            self.cold,
        )
        self.rate_gate = _rate_gate.RateGate(
            named_rates,
            _permit_exchange.SharedPermitOwner(
                settings.name, members, self._granter, self._channels, clock
            ),
            self.cold,
            clock,
            counters,
            log,
        )
        self._reports = _cold_reports.ColdReports(
            self.cold, self._granter, counters, log
        )

    def add_to(self, server: grpc.Server) -> None:
        """Registers the service for other instances on a server."""
        _permit_exchange.add_permits_service(
            server, _permit_exchange.PermitsServicer(self._granter)
        )

    def start(self, timers: core.TimerService) -> None:
        """Starts to report the cold upstreams."""
        timers.every(_REPORT_PERIOD_S, self._reports.report, "cold upstreams")

    def prune(self) -> None:
        """Removes the state of upstreams that no longer exist."""
        self._allocator.keep_only(self._catalog.names())
        self.cold.prune()

    def close(self) -> None:
        """Closes the connections to other instances."""
        self._channels.close()
