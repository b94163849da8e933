"""Tests of permits between instances, over gRPC on loopback."""

import dataclasses
from collections.abc import Callable, Iterator
from concurrent import futures

import grpc
import pytest

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_gateway as gateway
import mulberry_membership as membership
import mulberry_standins as standins
import mulberry_state as state

_UNLIMITED = core.Missing.UNLIMITED
_TIMEOUT_S = 5.0
_RATE_PER_S = 2.0
#: Whole permits in the 3.99 s between the first and the last of 400 requests.
_PERMITS = 7


class _Instance:
    """An instance that owns rates, or runs a build without permits."""

    def __init__(
        self,
        name: str,
        members: dict[str, membership.Member],
        clock: core.Clock,
        has_permits: bool = True,
    ) -> None:
        self.name = name
        self.members = members
        self.server = grpc.server(futures.ThreadPoolExecutor(4))
        port = self.server.add_insecure_port("127.0.0.1:0")
        granter = _granter(name, clock)
        if has_permits:
            gateway.add_permits_service(
                self.server, gateway.PermitsServicer(granter)
            )
        self.server.start()
        members[name] = membership.Member(
            name,
            f"127.0.0.1:{port}",
            "gent",
            "be",
            1,
            1,
            membership.MemberState.ALIVE,
        )
        self.channels = state.Channels(state.open_insecure)
        self.owner = gateway.SharedPermitOwner(
            name, lambda: members, granter, self.channels, clock
        )

    def stop(self) -> None:
        self.channels.close()
        self.server.stop(0)


def _granter(name: str, clock: core.Clock) -> gateway.PermitGranter:
    """Returns the granter of an instance without rules for cold upstreams."""
    soft_state = membership.LocalSoftState(name, clock)
    directory = membership.UpstreamDirectory(
        soft_state, clock, core.MemoryCounters()
    )
    catalog = gateway.UpstreamCatalog(
        directory, soft_state, clock, core.DecisionLog(clock)
    )
    rules = gateway.ColdRules(
        lambda: core.Missing.UNSET, gateway.GatewayBounds()
    )
    return gateway.PermitGranter(
        name,
        decisions.RateAllocator(clock),
        lambda _: _upstream("a"),
        catalog.home_since_s,
        directory.announced_age_s,
        gateway.ColdUpstreams(rules, catalog, clock, 1.2),
    )


def _upstream(home: str) -> membership.Upstream:
    return membership.Upstream(
        name="w",
        address="127.0.0.1:1",
        incarnation=1,
        sequence=1,
        state=membership.UpstreamState.READY,
        zone="gent",
        versions=(),
        service="s",
        capacity=4,
        running=0,
        queued=0,
        checks_fencing=False,
        home=home,
        load_age_s=0.0,
    )


MakeInstances = Callable[..., list[_Instance]]


@pytest.fixture
def clock() -> core.ManualClock:
    return core.ManualClock(100.0)


@pytest.fixture
def make_instances(clock: core.ManualClock) -> Iterator[MakeInstances]:
    made: list[_Instance] = []

    def make(names: str, old: str = "") -> list[_Instance]:
        members: dict[str, membership.Member] = {}
        made.extend(
            _Instance(name, members, clock, has_permits=name not in old)
            for name in names
        )
        return made

    yield make
    for instance in made:
        instance.stop()


def _granted(instance: _Instance, rate: float, home: str) -> bool:
    reply = instance.owner.reserve(
        _upstream(home), decisions.RateReport(rate, 0.0), True, _TIMEOUT_S
    )
    assert isinstance(reply, decisions.PermitReply)
    return reply.is_granted


def test_instances_share_the_permits_of_the_home(
    make_instances: MakeInstances, clock: core.ManualClock
) -> None:
    """Guards against a rate that each instance uses for itself."""
    instances = make_instances("abc")
    granted = 0
    for step in range(400):
        clock.advance(0.01)
        granted += _granted(instances[step % 3], _RATE_PER_S, "a")
    assert granted == _PERMITS


def test_home_of_an_older_build_is_replaced_by_the_same_instance(
    make_instances: MakeInstances, clock: core.ManualClock
) -> None:
    """Guards against several owners, or none, while builds are mixed."""
    instances = make_instances("abcd", old="a")
    granted = 0
    for step in range(400):
        clock.advance(0.01)
        granted += _granted(instances[1 + step % 3], _RATE_PER_S, "a")
    assert granted == _PERMITS


def test_home_that_cannot_be_reached_is_not_replaced(
    make_instances: MakeInstances,
) -> None:
    """Guards against two owners beside each other on a cut link."""
    instances = make_instances("abc")
    instances[0].server.stop(0).wait()
    report = decisions.RateReport(2.0, 0.0)
    for instance in instances[1:]:
        reply = instance.owner.reserve(_upstream("a"), report, True, 0.5)
        assert isinstance(reply, core.Refusal)
    reply = instances[1].owner.reserve(_upstream("x"), report, True, 0.5)
    assert isinstance(reply, core.Refusal)


def test_end_of_a_rate_reaches_the_other_instances(
    make_instances: MakeInstances, clock: core.ManualClock
) -> None:
    """Guards against instances that keep to a rate that has ended."""
    instances = make_instances("abc")
    assert not _granted(instances[1], 2.0, "a")
    clock.advance(1.0)
    instances[1].owner.reserve(
        _upstream("a"),
        decisions.RateReport(_UNLIMITED, 0.0),
        False,
        _TIMEOUT_S,
    )
    reply = instances[2].owner.reserve(
        _upstream("a"), decisions.RateReport(2.0, 0.9), True, _TIMEOUT_S
    )
    assert isinstance(reply, decisions.PermitReply)
    assert reply.is_granted
    assert reply.report.rate_per_s is _UNLIMITED


def test_permits_are_granted_again_after_connections_have_gone_silent(
    make_instances: MakeInstances,
) -> None:
    """Guards against upstreams that get no requests for good.

    The open connection to the home drops all bytes; new ones work.
    """
    home, other = make_instances("ab")
    members = dict(other.members)
    relay = standins.Relay(members[home.name].address)
    other.members[home.name] = dataclasses.replace(
        members[home.name], address=relay.address
    )

    def reserve(timeout_s: float) -> decisions.PermitReply | core.Refusal:
        return other.owner.reserve(
            _upstream(home.name),
            decisions.RateReport(1_000.0, 0.0),
            True,
            timeout_s,
        )

    while isinstance(reserve(_TIMEOUT_S), core.Refusal):
        pass
    relay.blackhole()
    timeouts = 0
    while isinstance(reply := reserve(0.25), core.Refusal):
        timeouts += "DEADLINE_EXCEEDED" in reply.reason
        assert timeouts <= 2
    relay.close()


def test_instance_that_names_a_tiny_rate_gets_a_reply(
    make_instances: MakeInstances,
) -> None:
    """Guards against a wait that does not fit into the reply."""
    instances = make_instances("ab")
    for rate_per_s in (1e-300, 5e-324):
        reply = instances[1].owner.reserve(
            _upstream("a"),
            decisions.NO_REPORT,
            False,
            _TIMEOUT_S,
            decisions.ColdLimit(rate_per_s, 1.0),
        )
        assert isinstance(reply, decisions.PermitReply)
        assert not reply.is_granted
