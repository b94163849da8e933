"""Instances that share a cold upstream, without a network."""

import dataclasses
from collections.abc import Callable, Mapping

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_gateway as gateway
import mulberry_membership as membership
import mulberry_routing as routing
import mulberry_state as state

_UNLIMITED = core.Missing.UNLIMITED
PERIOD_S = 1.2
PER_S = 11.0
ALLOWED = 1.5 * PER_S + 5
_ANNOUNCEMENT = membership.Announcement(
    name="w",
    address="10.0.0.9:8080",
    incarnation=7,
    sequence=1,
    state=membership.UpstreamState.READY,
    zone="gent",
    versions=(),
    service="app",
    capacity=8,
    running=0,
    queued=0,
    checks_fencing=False,
    valid_s=4 * PERIOD_S,
    cold_s=3.0,
)


def create_table(
    per_s: float | core.Missing, version: int
) -> routing.RoutingTable:
    return routing.RoutingTable(
        version=version,
        routes=(),
        services_by_name={
            "app": routing.Service("app", cold_s=2.0, cold_rate_per_s=per_s)
        },
        limits=routing.Limits(),
    )


class _Owner(gateway.PermitOwner):
    """Asks the granter of the home directly."""

    def __init__(self, deployment: "Deployment") -> None:
        self._deployment = deployment
        self.asked = 0
        #: Wait of all replies instead of what the home says, seconds.
        self.odd_wait_s: float | core.Missing = core.Missing.UNSET

    def reserve(
        self,
        upstream: membership.Upstream,
        report: decisions.RateReport,
        wants_permit: bool,
        timeout_s: float,
        cold: decisions.ColdLimit | core.Missing = _UNLIMITED,
    ) -> decisions.PermitReply | core.Refusal:
        self.asked += 1
        if not isinstance(self.odd_wait_s, core.Missing):
            return decisions.PermitReply(self.odd_wait_s, report)
        home = self._deployment.instances.get(upstream.home)
        if home is None or upstream.home in self._deployment.crashed:
            return core.Refusal(
                core.ErrorKind.NO_UPSTREAM, core.RunState.NOT_RUN, "home lost"
            )
        return home.granter.reserve(
            upstream.name,
            upstream.incarnation,
            report,
            wants_permit,
            0.0 if isinstance(cold, core.Missing) else cold.rate_per_s,
        )


class Instance:
    """The parts of one instance that decide on cold upstreams."""

    def __init__(
        self,
        name: str,
        deployment: "Deployment",
        bounds: gateway.GatewayBounds,
    ) -> None:
        simulation = deployment.simulation
        clock = simulation.clock
        soft_state = simulation.instances_by_name[name]
        self.log = _Log(clock)
        self.counters = core.MemoryCounters()
        self.directory = membership.UpstreamDirectory(
            soft_state, clock, self.counters
        )
        self.catalog = gateway.UpstreamCatalog(
            self.directory, soft_state, clock, self.log
        )
        rules = gateway.ColdRules(lambda: deployment.table, bounds)
        self.cold = gateway.ColdUpstreams(
            rules,
            self.catalog,
            clock,
            PERIOD_S,
            lambda zone: deployment.evacuation_ended_s.get(
                zone, core.Missing.UNSET
            ),
        )
        self.granter = gateway.PermitGranter(
            name,
            decisions.RateAllocator(clock),
            self.catalog.find,
            self.catalog.home_since_s,
            self.directory.announced_age_s,
            self.cold,
        )
        self.rates = decisions.NamedRates(clock)
        self.owner = _Owner(deployment)
        self.gate = gateway.RateGate(
            self.rates, self.owner, self.cold, clock, self.counters, self.log
        )
        self.reports = gateway.ColdReports(
            self.cold, self.granter, self.counters, self.log
        )
        self.control = gateway.Control(
            state.LocalStateClient(state.FileRulesParser(), clock),
            self.directory,
            soft_state,
            self.log,
            rules.may_apply,
        )

    @property
    def upstream(self) -> membership.Upstream:
        """The upstream as a request would choose it."""
        (upstream,) = self.catalog.for_service("app")
        return upstream

    def is_cold(self) -> bool:
        return isinstance(self.cold.limit(self.upstream), decisions.ColdLimit)

    def is_admitted(self) -> bool:
        """Whether a request may be sent now."""
        upstream = self.upstream
        return (
            self.rates.blocked_s(upstream.name, upstream.incarnation) == 0.0
            and self.gate.admit(upstream, 1.0) is not gateway.Admission.DENIED
        )


class _Log(core.DecisionLog):
    """Keeps the events instead of writing them."""

    def __init__(self, clock: core.Clock) -> None:
        super().__init__(clock, fd=-1)
        self.said: list[object] = []

    def note(
        self, event: str, /, *, keep: bool = False, **fields: object
    ) -> None:
        if event == "upstream" and "said" in fields:
            self.said.append((fields["said"], fields.get("reason", "")))


class Deployment:
    """Instances that share the soft state; `w` announces itself to `i0`."""

    def __init__(
        self, per_s: float | core.Missing = PER_S, size: int = 4
    ) -> None:
        self.table: routing.RoutingTable | core.Missing = create_table(per_s, 1)
        self.simulation = membership.Simulation(size)
        self.simulation.rounds(4)
        self.clock = self.simulation.clock
        self.evacuation_ended_s: dict[str, float] = {}
        self.crashed: set[str] = set()
        bounds = gateway.GatewayBounds(cold_overage=1.5, cold_slack=5.0)
        self.instances: Mapping[str, Instance] = {
            name: Instance(name, self, bounds)
            for name in self.simulation.instances_by_name
        }
        self.sequence = 0

    def announce(self, home: str, cold_s: float) -> None:
        self.sequence += 1
        self.instances[home].control.announce(
            dataclasses.replace(
                _ANNOUNCEMENT, sequence=self.sequence, cold_s=cold_s
            )
        )

    def spread(self) -> None:
        """Lets records pass on to all instances."""
        self.simulation.rounds(2)

    @property
    def others(self) -> list[Instance]:
        """All instances but the first home."""
        return [i for n, i in self.instances.items() if n != "i0"]


def press(
    deployment: Deployment, seconds: float, announce: Callable[[], None]
) -> list[float]:
    """Requests at all instances in turn, 200 a second; when they were sent."""
    sent_s = []
    names = sorted(deployment.instances)
    for step in range(round(seconds * 200)):
        if step % 200 == 0:
            announce()
        deployment.clock.advance(0.005)
        if deployment.instances[names[step % len(names)]].is_admitted():
            sent_s.append(deployment.clock.now())
    return sent_s
