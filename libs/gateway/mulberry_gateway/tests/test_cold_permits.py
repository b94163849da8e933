"""Tests of the permits for cold upstreams over several instances."""

import math

import pytest

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_gateway as gateway
from mulberry_gateway.tests import cold_harness

_UNLIMITED = core.Missing.UNLIMITED


def test_instances_together_keep_the_bound() -> None:
    """Guards against a rate that each instance uses for itself."""
    deployment = cold_harness.Deployment()
    deployment.announce("i0", 60.0)
    deployment.spread()
    sent_s = cold_harness.press(
        deployment, 6.0, lambda: deployment.announce("i0", 30.0)
    )
    for at_s in sent_s:
        inside = sum(at_s <= other_s < at_s + 1.0 for other_s in sent_s)
        assert inside <= cold_harness.ALLOWED
    assert len(sent_s) >= 0.8 * cold_harness.PER_S * 6.0


@pytest.mark.parametrize(
    ("asked_per_s", "most"),
    [
        pytest.param(0.0, cold_harness.PER_S + 1, id="takes it for warm"),
        pytest.param(1e6, cold_harness.PER_S + 1, id="names a higher rate"),
        pytest.param(
            math.inf, cold_harness.PER_S + 1, id="names an infinite rate"
        ),
        pytest.param(math.nan, cold_harness.PER_S + 1, id="names no number"),
        pytest.param(2.0, 3.0, id="names a lower rate"),
    ],
)
def test_asking_instance_cannot_raise_the_rate(
    asked_per_s: float, most: float
) -> None:
    """Guards against instances with an older report or routing document."""
    deployment = cold_harness.Deployment()
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
    deployment = cold_harness.Deployment()
    deployment.announce("i0", 0.0)
    deployment.spread()
    asking = deployment.instances["i1"]
    asking.gate.connection_broke("app", "w")
    assert not deployment.instances["i0"].is_cold()
    admitted = 0
    for _ in range(200):
        deployment.clock.advance(0.005)
        admitted += asking.is_admitted()
    assert 1 <= admitted <= cold_harness.PER_S + 1


def test_upstream_of_a_lost_home_gets_nothing_until_it_has_another() -> None:
    """Guards against instances that each use what the lost home granted."""
    deployment = cold_harness.Deployment()
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
    deployment = cold_harness.Deployment()
    deployment.announce("i0", 60.0)
    deployment.spread()
    sent_s = cold_harness.press(
        deployment, 2.0, lambda: deployment.announce("i0", 30.0)
    )
    deployment.announce("i1", 30.0)
    moved_s = deployment.clock.now()
    reply = deployment.instances["i1"].granter.reserve(
        "w", 7, decisions.RateReport(_UNLIMITED, 0.0), True, cold_harness.PER_S
    )
    assert reply.wait_s >= 0.5
    # The others have not yet learned of the move.
    sent_s += cold_harness.press(deployment, 0.5, lambda: None)
    deployment.spread()
    sent_s += cold_harness.press(
        deployment, 2.0, lambda: deployment.announce("i1", 30.0)
    )
    assert max(sent_s) > moved_s + 1.0
    for at_s in sent_s:
        inside = sum(at_s <= other_s < at_s + 1.0 for other_s in sent_s)
        assert inside <= cold_harness.ALLOWED
    reply = deployment.instances["i0"].granter.reserve(
        "w", 7, decisions.RateReport(_UNLIMITED, 0.0), True, cold_harness.PER_S
    )
    assert not reply.is_granted


def test_home_that_hears_nothing_grants_nothing() -> None:
    """Guards against a second owner beside a home that is cut off.

    The upstream announces itself elsewhere one period after its last
    announcement to this home, and the records do not reach it.
    """
    deployment = cold_harness.Deployment()
    deployment.announce("i0", 60.0)
    granter = deployment.instances["i0"].granter

    def is_granted() -> bool:
        return granter.reserve(
            "w",
            7,
            decisions.RateReport(_UNLIMITED, 0.0),
            True,
            cold_harness.PER_S,
        ).is_granted

    assert not is_granted()
    deployment.clock.advance(0.5)
    assert is_granted()
    deployment.clock.advance(1.5 * cold_harness.PERIOD_S)
    assert not is_granted()


def test_old_permit_is_not_used() -> None:
    """Guards against requests that wait with a permit and then come at once.

    A replacement for a slow run is connected long before it is used.
    """
    deployment = cold_harness.Deployment()
    deployment.announce("i0", 60.0)
    deployment.spread()
    instance = deployment.instances["i1"]
    cold_harness.press(deployment, 1.0, lambda: deployment.announce("i0", 60.0))
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
    deployment: cold_harness.Deployment, cold_s: float, steps: int = 100
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
    deployment = cold_harness.Deployment()
    deployment.announce("i0", 600.0)
    deployment.spread()
    assert len(_send_rarely(deployment, 600.0)) == 10


def test_upstream_that_was_warm_begins_without_permits() -> None:
    """Guards against permits that add up with the requests to a warm one."""
    deployment = cold_harness.Deployment()
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
    deployment = cold_harness.Deployment()
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
    deployment = cold_harness.Deployment()
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
    deployment = cold_harness.Deployment()
    deployment.announce("i0", 60.0)
    deployment.spread()
    instance = deployment.instances["i1"]
    admission = instance.gate.admit(instance.upstream, left_s)
    assert admission is gateway.Admission.DENIED
    assert instance.owner.asked == is_asked
    assert bool(instance.gate.blocked_s(instance.upstream)) is is_asked
