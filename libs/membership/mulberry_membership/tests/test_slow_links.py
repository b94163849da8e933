"""Tests of exchanges over links that transfer little within the timeout."""

import pytest

import mulberry_membership as membership
from mulberry_wire import peer_pb2

KIND = membership.RecordKind.UPSTREAM


def _restart_with_slow_links(
    count: int, records: int, max_bytes: int
) -> membership.Simulation:
    """Restarts `i3` while all links transfer `max_bytes` in an exchange."""
    simulation = membership.Simulation(count)
    simulation.rounds(8)
    for index in range(records):
        simulation.instances_by_name["i0"].put(
            KIND, f"pool-{index}", 1, 1, b"x" * 100
        )
    simulation.seconds(5.0)
    for instance in simulation.instances_by_name.values():
        assert len(instance.records(KIND)) == records
    simulation.network.faults.max_bytes = max_bytes
    simulation.crash("i3")
    simulation.seconds(1.0)
    simulation.start("i3")
    return simulation


@pytest.mark.parametrize("max_bytes", [8_000, 40_000, 400_000])
def test_restarted_instance_learns_all_records_over_a_slow_link(
    max_bytes: int,
) -> None:
    """Guards against exchanges that repeat a transfer that cannot end.

    The state of a deployment did not fit through the link of a restarted
    instance within the timeout, and each exchange asked for all of it anew.
    """
    simulation = _restart_with_slow_links(6, 1_000, max_bytes)
    simulation.seconds(20.0)
    restarted = simulation.instances_by_name["i3"]
    assert len(restarted.records(KIND)) == 1_000


def test_restarted_instance_hears_of_changes_over_a_slow_link() -> None:
    """Guards against changes that wait behind a transfer of the whole state."""
    simulation = _restart_with_slow_links(6, 1_000, 40_000)
    simulation.seconds(2.0)
    simulation.instances_by_name["i0"].put(
        KIND, "pool-0", 1, 2, b"y", urgent=True
    )
    simulation.seconds(2.0)
    stored = simulation.instances_by_name["i3"].latest(KIND, "pool-0")
    assert isinstance(stored, membership.Record)
    assert stored.sequence == 2


def test_restarted_instance_returns_no_records_that_a_peer_has() -> None:
    """Guards against a link that is full of records which the peer has.

    Each peer with a link to an instance that had restarted got all of its
    records back.
    """
    simulation = _restart_with_slow_links(6, 1_000, 400_000)
    simulation.seconds(20.0)
    restarted = simulation.instances_by_name["i3"]
    peer = simulation.instances_by_name["i0"]
    request = peer_pb2.ExchangeRequest(
        sender="i0", receiver_session=12_345, have_stamp=900
    )
    first = restarted.handle_exchange(request)
    assert (len(first.records), first.stamp) == (0, 0)
    # The peer sends these since it was told of another session.
    request.receiver_session = first.session
    request.have_stamp = first.stamp
    request.digests.extend(peer._store.digests().by_bucket)
    second = restarted.handle_exchange(request)
    assert second.compared
    assert not [r for r in second.records if r.id.startswith("pool-")]
