"""Tests of the rounds and bytes that it takes to propagate changes."""

import dataclasses
import math

import pytest

import mulberry_core as core
import mulberry_membership as membership

KIND = membership.RecordKind.UPSTREAM
READY = membership.Announcement(
    name="pool-1",
    address="http://127.0.0.1:8000",
    incarnation=1,
    sequence=1,
    state=membership.UpstreamState.READY,
    zone="gent",
    versions=(membership.ServedVersion("cedro-chico", "2026-02"),),
    service=core.Missing.UNSET,
    capacity=8,
    running=0,
    queued=0,
    checks_fencing=True,
    valid_s=30.0,
)


def _joined(count: int, seed: int = 3) -> membership.Simulation:
    simulation = membership.Simulation(count, seed)
    simulation.rounds(2 * math.ceil(math.log2(count)) + 2)
    assert simulation.has_converged()
    return simulation


@pytest.mark.parametrize("count", [12, 64])
def test_leaving_upstream_is_known_within_rounds(count: int) -> None:
    """Guards against changes that propagate too slowly.

    A leaving upstream must get no new requests after 3 s, which are 12 rounds.
    In each round a change covers another of the distances 1, 2, 4, ... on the
    ring, so it reaches all instances in log2(n) rounds.
    """
    simulation = _joined(count)
    directories = [
        membership.UpstreamDirectory(
            instance, simulation.clock, simulation.counters
        )
        for instance in simulation.instances_by_name.values()
    ]
    directories[0].announce(READY)
    simulation.rounds(math.ceil(math.log2(count)))
    for directory in directories:
        assert "pool-1" in directory.upstreams()
    directories[0].announce(
        dataclasses.replace(
            READY, sequence=2, state=membership.UpstreamState.LEAVING
        )
    )
    simulation.rounds(math.ceil(math.log2(count)))
    for directory in directories:
        state = directory.upstreams()["pool-1"].state
        assert state is membership.UpstreamState.LEAVING


def _idle_bytes(count: int) -> float:
    """Returns the bytes that an instance sends per round without changes."""
    simulation = _joined(count)
    simulation.rounds(8)
    before = simulation.counters.count("membership.bytes_out")
    simulation.rounds(10)
    sent = simulation.counters.count("membership.bytes_out") - before
    return sent / count / 10


def test_idle_bytes_grow_with_the_logarithm() -> None:
    """Guards against exchanges that resend acknowledged records."""
    small, large = _idle_bytes(8), _idle_bytes(64)
    # The number of peers grows from 3 to 6, and the stamps in the messages get
    # slightly larger.
    assert large <= small * (6 / 3) * 1.5


def _change_bytes(count: int) -> float:
    """Returns the bytes that an instance sends for one change.

    The traffic of idle exchanges is subtracted.
    """
    simulation = _joined(count)
    simulation.rounds(8)
    rounds = 10
    idle = _idle_bytes(count) * rounds
    before = simulation.counters.count("membership.bytes_out")
    simulation.instances_by_name["i0"].put(KIND, "pool-1", 1, 1, b"x" * 1000)
    simulation.rounds(rounds)
    sent = simulation.counters.count("membership.bytes_out") - before
    return sent / count - idle


@pytest.mark.parametrize("count", [8, 64])
def test_change_is_sent_few_times(count: int) -> None:
    """Guards against traffic that grows with the square of the instances.

    Each pair of peers transfers a change once, in one direction.
    """
    assert _change_bytes(count) <= math.log2(count) * 1100


def test_large_state_passes_in_several_messages() -> None:
    """Guards against records lost when they do not fit into one message."""
    simulation = _joined(3)
    for index in range(2_500):
        simulation.instances_by_name["i0"].put(KIND, f"u{index}", 1, 1, b"")
    simulation.rounds(5)
    simulation.start("i3")
    simulation.rounds(8)
    for instance in simulation.instances_by_name.values():
        assert len(instance.records(KIND)) == 2_500
