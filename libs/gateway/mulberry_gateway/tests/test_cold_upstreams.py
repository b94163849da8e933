"""Tests of cold upstreams over several instances, without a network."""

import dataclasses
import math
from collections.abc import Callable, Mapping

import pytest

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_gateway as gateway
import mulberry_membership as membership
import mulberry_routing as routing
import mulberry_state as state
from mulberry_wire import peer_pb2

_UNLIMITED = core.Missing.UNLIMITED
_PERIOD_S = 1.2
_PER_S = 11.0
_ALLOWED = 1.5 * _PER_S + 5
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
    valid_s=4 * _PERIOD_S,
    cold_s=3.0,
)


def _table(per_s: float | core.Missing, version: int) -> routing.RoutingTable:
    return routing.RoutingTable(
        version=version,
        routes=(),
        services_by_name={
            "app": routing.Service("app", cold_s=2.0, cold_rate_per_s=per_s)
        },
        teams_by_name={},
        limits=routing.Limits(),
    )


class _Owner(gateway.PermitOwner):
    """Asks the granter of the home directly."""

    def __init__(self, deployment: "_Deployment") -> None:
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


class _Instance:
    def __init__(
        self,
        name: str,
        deployment: "_Deployment",
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
            _PERIOD_S,
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


class _Deployment:
    """Instances that share the soft state; `w` announces itself to `i0`."""

    def __init__(
        self, per_s: float | core.Missing = _PER_S, size: int = 4
    ) -> None:
        self.table: routing.RoutingTable | core.Missing = _table(per_s, 1)
        self.simulation = membership.Simulation(size)
        self.simulation.rounds(4)
        self.clock = self.simulation.clock
        self.evacuation_ended_s: dict[str, float] = {}
        self.crashed: set[str] = set()
        bounds = gateway.GatewayBounds(cold_overage=1.5, cold_slack=5.0)
        self.instances: Mapping[str, _Instance] = {
            name: _Instance(name, self, bounds)
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
    def others(self) -> list[_Instance]:
        """All instances but the first home."""
        return [i for n, i in self.instances.items() if n != "i0"]


def test_every_instance_knows_a_cold_upstream_from_its_first_record() -> None:
    """Guards against a new upstream that only its home takes for cold."""
    deployment = _Deployment()
    deployment.announce("i0", 3.0)
    deployment.spread()
    assert all(i.is_cold() for i in deployment.instances.values())
    deployment.clock.advance(3.0)
    deployment.announce("i0", 0.0)
    deployment.spread()
    assert not any(i.is_cold() for i in deployment.instances.values())


def _press(
    deployment: _Deployment, seconds: float, announce: Callable[[], None]
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


def test_instances_together_keep_the_bound() -> None:
    """Guards against a rate that each instance uses for itself."""
    deployment = _Deployment()
    deployment.announce("i0", 60.0)
    deployment.spread()
    sent_s = _press(deployment, 6.0, lambda: deployment.announce("i0", 30.0))
    for at_s in sent_s:
        inside = sum(at_s <= other_s < at_s + 1.0 for other_s in sent_s)
        assert inside <= _ALLOWED
    assert len(sent_s) >= 0.8 * _PER_S * 6.0


def test_without_a_cold_rate_nothing_changes() -> None:
    """Guards against calls and bytes where no service has a cold rate."""
    deployment = _Deployment(per_s=_UNLIMITED)
    deployment.announce("i0", 3.0)
    deployment.spread()
    deployment.evacuation_ended_s["gent"] = deployment.clock.now()
    for instance in deployment.instances.values():
        instance.gate.connection_broke("app", "w")
        instance.gate.answered(instance.upstream, _UNLIMITED, 9.0)
        upstream = instance.upstream
        assert upstream.cold_until_s == -math.inf
        assert instance.gate.admit(upstream, 1.0) is gateway.Admission.FREE
        assert instance.gate.renew(upstream, -math.inf, 1.0) == -math.inf
        instance.reports.report()
        assert not instance.owner.asked
        assert not instance.log.said
    record = deployment.simulation.instances_by_name["i1"].latest(
        membership.RecordKind.UPSTREAM, "w"
    )
    assert isinstance(record, membership.Record)
    payload = peer_pb2.UpstreamPayload()
    payload.ParseFromString(record.payload)
    assert not payload.cold_ms


def test_cold_time_is_kept_while_the_routing_is_unknown() -> None:
    """Guards against a home that starts and drops what it cannot judge."""
    deployment = _Deployment()
    table, deployment.table = deployment.table, core.Missing.UNSET
    deployment.announce("i0", 3.0)
    deployment.table = table
    deployment.spread()
    assert deployment.instances["i1"].is_cold()


def test_removed_rule_ends_the_limit() -> None:
    """Guards against limits of an earlier routing document."""
    deployment = _Deployment()
    deployment.announce("i0", 30.0)
    deployment.spread()
    deployment.table = _table(_UNLIMITED, 2)
    assert not any(i.is_cold() for i in deployment.instances.values())


@pytest.mark.parametrize(
    ("asked_per_s", "most"),
    [
        pytest.param(0.0, _PER_S + 1, id="takes it for warm"),
        pytest.param(1e6, _PER_S + 1, id="names a higher rate"),
        pytest.param(math.inf, _PER_S + 1, id="names an infinite rate"),
        pytest.param(math.nan, _PER_S + 1, id="names no number"),
        pytest.param(2.0, 3.0, id="names a lower rate"),
    ],
)
def test_asking_instance_cannot_raise_the_rate(
    asked_per_s: float, most: float
) -> None:
    """Guards against instances with an older report or routing document."""
    deployment = _Deployment()
    deployment.announce("i0", 60.0)
    deployment.spread()
    granted = 0
    for _ in range(200):
        deployment.clock.advance(0.005)
        reply = deployment.instances["i0"].granter.reserve(
            "w", 7, decisions.RateReport(_UNLIMITED, 0.0), True, asked_per_s
        )
        granted += reply.is_granted
    assert 1 <= granted <= most


def test_home_that_takes_an_upstream_for_warm_obeys_the_asking_instance() -> (
    None
):
    """Guards against a broken connection that only the asking one has seen."""
    deployment = _Deployment()
    deployment.announce("i0", 0.0)
    deployment.spread()
    asking = deployment.instances["i1"]
    asking.gate.connection_broke("app", "w")
    assert not deployment.instances["i0"].is_cold()
    admitted = 0
    for _ in range(200):
        deployment.clock.advance(0.005)
        admitted += asking.is_admitted()
    assert 1 <= admitted <= _PER_S + 1


def test_broken_connection_counts_until_the_next_announcement() -> None:
    """Guards against a restarted upstream that counts as warm."""
    deployment = _Deployment()
    deployment.announce("i0", 0.0)
    deployment.spread()
    home, other = deployment.instances["i0"], deployment.instances["i1"]
    for instance in (home, other):
        instance.gate.connection_broke("app", "w")
        assert instance.is_cold()
    deployment.clock.advance(1.0)
    deployment.announce("i0", 0.0)
    assert not home.is_cold()
    # No record says so, but a silent upstream would no longer be listed.
    assert other.is_cold()
    for _ in range(5):
        deployment.clock.advance(_PERIOD_S)
        deployment.announce("i0", 0.0)
        deployment.spread()
    assert not other.is_cold()


def test_answer_says_that_the_upstream_is_cold() -> None:
    """Guards against a cold time that only a late announcement tells."""
    deployment = _Deployment()
    deployment.announce("i0", 0.0)
    deployment.spread()
    instance = deployment.instances["i1"]
    instance.gate.answered(instance.upstream, _UNLIMITED, 0.8)
    assert instance.is_cold()
    instance.gate.answered(instance.upstream, _UNLIMITED, 0.0)
    assert instance.is_cold()
    deployment.clock.advance(0.8)
    assert not instance.is_cold()


def test_evacuated_upstreams_are_cold_after_the_end() -> None:
    """Guards against full load on upstreams that others left cold.

    `ColdStartS` is 2 s here, less than the 3 s that apply at least.
    """
    deployment = _Deployment()
    deployment.announce("i0", 0.0)
    deployment.spread()
    instance = deployment.instances["i1"]
    deployment.evacuation_ended_s["leuven"] = deployment.clock.now()
    assert not instance.is_cold()
    deployment.evacuation_ended_s["gent"] = deployment.clock.now()
    assert instance.is_cold()
    deployment.clock.advance(2.9)
    assert instance.is_cold()
    deployment.clock.advance(0.2)
    assert not instance.is_cold()


def test_upstream_of_a_lost_home_gets_nothing_until_it_has_another() -> None:
    """Guards against instances that each use what the lost home granted."""
    deployment = _Deployment()
    deployment.announce("i0", 0.0)
    deployment.spread()
    assert all(i.is_admitted() for i in deployment.others)
    deployment.simulation.crash("i0")
    deployment.crashed.add("i0")
    deployment.simulation.seconds(6.0)
    asked = deployment.instances["i1"]
    assert asked.catalog.is_retained(asked.upstream.name)
    assert asked.is_cold()
    assert not any(i.is_admitted() for i in deployment.others)
    blocked_s = asked.rates.blocked_s("w", 7)
    assert 0.0 < blocked_s <= 0.5
    deployment.announce("i1", 0.0)
    deployment.spread()
    deployment.clock.advance(0.6)
    assert not asked.is_cold()
    assert all(i.is_admitted() for i in deployment.others)


def test_upstream_that_moves_has_one_owner() -> None:
    """Guards against two homes that each grant the whole rate."""
    deployment = _Deployment()
    deployment.announce("i0", 60.0)
    deployment.spread()
    sent_s = _press(deployment, 2.0, lambda: deployment.announce("i0", 30.0))
    deployment.announce("i1", 30.0)
    moved_s = deployment.clock.now()
    reply = deployment.instances["i1"].granter.reserve(
        "w", 7, decisions.RateReport(_UNLIMITED, 0.0), True, _PER_S
    )
    assert reply.wait_s >= 0.5
    # The others have not yet learned of the move.
    sent_s += _press(deployment, 0.5, lambda: None)
    deployment.spread()
    sent_s += _press(deployment, 2.0, lambda: deployment.announce("i1", 30.0))
    assert max(sent_s) > moved_s + 1.0
    for at_s in sent_s:
        inside = sum(at_s <= other_s < at_s + 1.0 for other_s in sent_s)
        assert inside <= _ALLOWED
    reply = deployment.instances["i0"].granter.reserve(
        "w", 7, decisions.RateReport(_UNLIMITED, 0.0), True, _PER_S
    )
    assert not reply.is_granted


def test_home_that_hears_nothing_grants_nothing() -> None:
    """Guards against a second owner beside a home that is cut off.

    The upstream announces itself elsewhere one period after its last
    announcement to this home, and the records do not reach it.
    """
    deployment = _Deployment()
    deployment.announce("i0", 60.0)
    granter = deployment.instances["i0"].granter

    def is_granted() -> bool:
        return granter.reserve(
            "w", 7, decisions.RateReport(_UNLIMITED, 0.0), True, _PER_S
        ).is_granted

    assert not is_granted()
    deployment.clock.advance(0.5)
    assert is_granted()
    deployment.clock.advance(1.5 * _PERIOD_S)
    assert not is_granted()


def test_old_permit_is_not_used() -> None:
    """Guards against requests that wait with a permit and then come at once.

    A replacement for a slow run is connected long before it is used.
    """
    deployment = _Deployment()
    deployment.announce("i0", 60.0)
    deployment.spread()
    instance = deployment.instances["i1"]
    _press(deployment, 1.0, lambda: deployment.announce("i0", 60.0))
    asked = instance.owner.asked
    now_s = deployment.clock.now()
    valid_s = instance.gate.renew(instance.upstream, now_s - 0.2, 1.0)
    assert valid_s == now_s - 0.2
    assert instance.owner.asked == asked
    renewed = [
        instance.gate.renew(instance.upstream, permit_s, 1.0)
        for permit_s in (now_s - 0.4, -math.inf) * 4
    ]
    assert instance.owner.asked == asked + 8
    assert core.Missing.UNSET in renewed
    assert set(renewed) <= {now_s, core.Missing.UNSET}


def _send_rarely(
    deployment: _Deployment, cold_s: float, steps: int = 100
) -> list[float]:
    """Sends a request every 2.5 s; returns when they were sent.

    All instances report their cold upstreams once a second, and the upstream
    announces itself once a second.
    """
    sent_s = []
    for step in range(steps):
        deployment.clock.advance(0.25)
        if step % 4 == 0:
            deployment.announce("i0", cold_s)
            for instance in deployment.instances.values():
                instance.reports.report()
        if step % 10 == 9 and deployment.instances["i1"].is_admitted():
            sent_s.append(deployment.clock.now())
    return sent_s


def test_rare_requests_to_a_cold_upstream_get_permits() -> None:
    """Guards against a cold service that refuses all of its few requests."""
    deployment = _Deployment()
    deployment.announce("i0", 600.0)
    deployment.spread()
    assert len(_send_rarely(deployment, 600.0)) == 10


def test_upstream_that_was_warm_begins_without_permits() -> None:
    """Guards against permits that add up with the requests to a warm one."""
    deployment = _Deployment()
    deployment.announce("i0", 600.0)
    deployment.spread()
    assert _send_rarely(deployment, 600.0, steps=40)
    deployment.announce("i0", 0.0)
    for _ in range(5):
        deployment.spread()
        deployment.clock.advance(0.5)
        deployment.announce("i0", 0.0)
        for instance in deployment.instances.values():
            instance.reports.report()
    assert not deployment.instances["i0"].is_cold()
    deployment.announce("i0", 600.0)
    deployment.spread()
    assert not deployment.instances["i1"].is_admitted()


def test_home_that_hears_nothing_refreshes_no_permits() -> None:
    """Guards against permits that add up beside those of another home.

    The home that is cut off from the upstream still takes it for cold.
    """
    deployment = _Deployment()
    deployment.announce("i0", 600.0)
    home = deployment.instances["i0"]
    home.reports.report()
    for _ in range(5):
        deployment.clock.advance(1.0)
        home.reports.report()
    assert home.is_cold()
    deployment.announce("i0", 590.0)
    assert not home.is_admitted()


def test_wait_of_another_instance_is_bounded() -> None:
    """Guards against an upstream that is blocked for weeks by one reply."""
    deployment = _Deployment()
    deployment.announce("i0", 60.0)
    deployment.spread()
    instance = deployment.instances["i1"]
    # The longest wait that a reply can state.
    instance.owner.odd_wait_s = (2**32 - 1) / 1000
    assert not instance.is_admitted()
    assert instance.gate.blocked_s(instance.upstream) > 0.0
    deployment.clock.advance(5.0)
    assert instance.gate.blocked_s(instance.upstream) == 0.0


@pytest.mark.parametrize(
    ("left_s", "is_asked"),
    [(0.02, True), (0.019, False), (0.0, False), (-1.0, False)],
)
def test_owner_is_not_asked_without_time_for_an_answer(
    left_s: float, is_asked: bool
) -> None:
    """Guards against time-outs that drop the channel to a healthy home.

    Only what the home says blocks the upstream for requests with more time.
    """
    deployment = _Deployment()
    deployment.announce("i0", 60.0)
    deployment.spread()
    instance = deployment.instances["i1"]
    admission = instance.gate.admit(instance.upstream, left_s)
    assert admission is gateway.Admission.DENIED
    assert instance.owner.asked == is_asked
    assert bool(instance.gate.blocked_s(instance.upstream)) is is_asked


def test_changes_are_logged_and_counted() -> None:
    """Guards against a limit that operators cannot see."""
    deployment = _Deployment()
    deployment.announce("i0", 3.0)
    deployment.spread()
    instance = deployment.instances["i1"]
    instance.reports.report()
    instance.reports.report()
    assert instance.log.said == [("cold", "announced")]
    assert instance.counters.snapshot()["gateway.cold_upstreams"] == 1
    deployment.clock.advance(3.1)
    deployment.announce("i0", 0.0)
    deployment.spread()
    instance.reports.report()
    assert instance.log.said[1:] == [("warm", "")]
    assert instance.counters.snapshot()["gateway.cold_upstreams"] == 0
