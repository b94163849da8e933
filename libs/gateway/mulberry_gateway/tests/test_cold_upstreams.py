"""Tests of which upstreams instances take for cold, without a network."""

import math

import mulberry_core as core
import mulberry_gateway as gateway
import mulberry_membership as membership
from mulberry_gateway.tests import cold_harness
from mulberry_wire import peer_pb2

_UNLIMITED = core.Missing.UNLIMITED


def test_every_instance_knows_a_cold_upstream_from_its_first_record() -> None:
    """Guards against a new upstream that only its home takes for cold."""
    deployment = cold_harness.Deployment()
    deployment.announce("i0", 3.0)
    deployment.spread()
    assert all(i.is_cold() for i in deployment.instances.values())
    deployment.clock.advance(3.0)
    deployment.announce("i0", 0.0)
    deployment.spread()
    assert not any(i.is_cold() for i in deployment.instances.values())


def test_without_a_cold_rate_nothing_changes() -> None:
    """Guards against calls and bytes where no service has a cold rate."""
    deployment = cold_harness.Deployment(per_s=_UNLIMITED)
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
    deployment = cold_harness.Deployment()
    table, deployment.table = deployment.table, core.Missing.UNSET
    deployment.announce("i0", 3.0)
    deployment.table = table
    deployment.spread()
    assert deployment.instances["i1"].is_cold()


def test_removed_rule_ends_the_limit() -> None:
    """Guards against limits of an earlier routing document."""
    deployment = cold_harness.Deployment()
    deployment.announce("i0", 30.0)
    deployment.spread()
    deployment.table = cold_harness.create_table(_UNLIMITED, 2)
    assert not any(i.is_cold() for i in deployment.instances.values())


def test_broken_connection_counts_until_the_next_announcement() -> None:
    """Guards against a restarted upstream that counts as warm."""
    deployment = cold_harness.Deployment()
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
        deployment.clock.advance(cold_harness.PERIOD_S)
        deployment.announce("i0", 0.0)
        deployment.spread()
    assert not other.is_cold()


def test_answer_says_that_the_upstream_is_cold() -> None:
    """Guards against a cold time that only a late announcement tells."""
    deployment = cold_harness.Deployment()
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
    deployment = cold_harness.Deployment()
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


def test_changes_are_logged_and_counted() -> None:
    """Guards against a limit that operators cannot see."""
    deployment = cold_harness.Deployment()
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
