"""Tests of failure detection and recovery under instance and network faults.

The bounds follow from the protocol: a failed instance is suspected after 1 s
and dead 3 s later, and records reach all instances within 3 s.
"""

import dataclasses
from collections.abc import Callable

import pytest

import mulberry_membership as membership

ENTRY = membership.RecordKind.ENTRY
DEAD = membership.MemberState.DEAD
COUNT = 8
#: Time until a suspicion, until the death, and for both to reach all instances,
#: seconds.
DETECTION_S = 1.0 + 3.0 + 1.5
SPREAD_S = 3.0

Simulation = membership.Simulation


def _joined(count: int = COUNT, seed: int = 1) -> Simulation:
    simulation = Simulation(count, seed)
    simulation.seconds(SPREAD_S)
    assert simulation.has_converged()
    for name, instance in simulation.instances_by_name.items():
        instance.publish(ENTRY, name, b"", urgent=True)
    simulation.seconds(SPREAD_S)
    _assert_entries(simulation)
    return simulation


def _assert_entries(simulation: Simulation) -> None:
    """Checks that each running instance lists the entries of those running."""
    running = set(simulation.instances_by_name)
    for name, instance in simulation.instances_by_name.items():
        assert set(instance.records(ENTRY)) == running, name


def _crash(simulation: Simulation) -> None:
    simulation.crash("i3")
    simulation.seconds(DETECTION_S)


def _crash_of_half(simulation: Simulation) -> None:
    for name in ("i0", "i1", "i2", "i3"):
        simulation.crash(name)
    # A member that was monitored only by crashed instances is suspected after
    # those are declared dead.
    simulation.seconds(3 * DETECTION_S)


def _leave(simulation: Simulation) -> None:
    simulation.instances_by_name["i3"].leave()
    simulation.crash("i3")
    simulation.seconds(SPREAD_S)


def _one_way_block(simulation: Simulation) -> None:
    simulation.network.block("address-i1", "address-i2")
    simulation.seconds(30.0)


def _pair_partition(simulation: Simulation) -> None:
    simulation.partition(["i1"], ["i2"])
    simulation.seconds(30.0)


def _most_inbound_links_blocked(simulation: Simulation) -> None:
    for name in ("i2", "i3", "i4", "i5"):
        simulation.network.block(f"address-{name}", "address-i1")
    simulation.seconds(30.0)


def _short_pause(simulation: Simulation) -> None:
    paused = simulation.instances_by_name["i4"]
    simulation.crash("i4")
    simulation.seconds(3.0)
    simulation.instances_by_name["i4"] = paused
    simulation.network.attach("address-i4", paused)
    simulation.seconds(SPREAD_S)


def _long_pause(simulation: Simulation) -> None:
    paused = simulation.instances_by_name["i4"]
    simulation.crash("i4")
    simulation.seconds(20.0)
    simulation.instances_by_name["i4"] = paused
    simulation.network.attach("address-i4", paused)
    simulation.seconds(2 * DETECTION_S)


def _very_long_pause(simulation: Simulation) -> None:
    paused = simulation.instances_by_name["i4"]
    simulation.crash("i4")
    simulation.seconds(100.0)
    simulation.instances_by_name["i4"] = paused
    simulation.network.attach("address-i4", paused)
    simulation.seconds(2 * DETECTION_S)


def _partition(seconds: float) -> Callable[[Simulation], None]:
    def run(simulation: Simulation) -> None:
        names = list(simulation.instances_by_name)
        simulation.partition(names[::2], names[1::2])
        simulation.seconds(seconds)
        simulation.network.heal()
        simulation.seconds(3 * DETECTION_S)

    return run


def _restart(wall_offset_s: float) -> Callable[[Simulation], None]:
    def run(simulation: Simulation) -> None:
        simulation.crash("i3")
        simulation.rounds(1)
        simulation.start("i3", wall_offset_s)
        simulation.instances_by_name["i3"].publish(
            ENTRY, "i3", b"new", urgent=True
        )
        simulation.seconds(DETECTION_S)
        for instance in simulation.instances_by_name.values():
            assert instance.records(ENTRY)["i3"].payload == b"new"

    return run


def _restart_with_the_same_incarnation(simulation: Simulation) -> None:
    first_s = simulation.instances_by_name["i3"].incarnation / 1000
    _restart(first_s - simulation.clock.wall())(simulation)


def _restart_of_all(simulation: Simulation) -> None:
    for name in list(simulation.instances_by_name):
        simulation.crash(name)
        simulation.start(name, wall_offset_s=-10.0)
        simulation.instances_by_name[name].publish(ENTRY, name, b"")
        simulation.seconds(1.0)
    simulation.seconds(SPREAD_S)


def _faulty_network(faults: membership.Faults) -> Callable[[Simulation], None]:
    def run(simulation: Simulation) -> None:
        simulation.network.faults = faults
        simulation.seconds(30.0)
        simulation.network.faults = membership.Faults()
        simulation.seconds(2 * SPREAD_S)

    return run


@dataclasses.dataclass(frozen=True)
class _Case:
    name: str
    fault: Callable[[Simulation], None]
    #: Whether a member is expected to be declared dead.
    expects_deaths: bool


CASES = (
    _Case("a crash is detected", _crash, True),
    _Case("half of the instances crash", _crash_of_half, True),
    _Case("a planned stop is not a death", _leave, False),
    _Case("one direction is blocked", _one_way_block, False),
    _Case("a pair is partitioned", _pair_partition, False),
    _Case(
        "messages from most peers to an instance are blocked",
        _most_inbound_links_blocked,
        False,
    ),
    _Case("a pause shorter than the refutation timeout", _short_pause, False),
    _Case("a pause longer than the refutation timeout", _long_pause, True),
    _Case(
        "a pause after which the member is forgotten", _very_long_pause, True
    ),
    _Case("a partition of 2 s", _partition(2.0), False),
    _Case("a partition of 10 s", _partition(10.0), True),
    _Case("a partition of 3 minutes", _partition(180.0), True),
    _Case("a restart", _restart(0.0), False),
    _Case("a restart with a clock set back", _restart(-3600.0), False),
    _Case(
        "a restart with the same incarnation",
        _restart_with_the_same_incarnation,
        False,
    ),
    _Case("a restart with a clock set ahead", _restart(3600.0), False),
    _Case("all restart one after the other", _restart_of_all, False),
    _Case("loss", _faulty_network(membership.Faults(loss=0.2)), False),
    _Case(
        "delayed requests",
        _faulty_network(membership.Faults(delayed=0.3)),
        False,
    ),
    _Case(
        "all faults",
        _faulty_network(membership.Faults(0.1, 0.1, 0.3)),
        False,
    ),
)


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_recovery_from_faults(case: _Case) -> None:
    """Guards against false or missed deaths and lost or stale records."""
    simulation = _joined()
    case.fault(simulation)
    assert simulation.has_converged()
    _assert_entries(simulation)
    deaths = simulation.counters.count("membership.deaths")
    assert (deaths > 0) is case.expects_deaths


def test_no_death_before_the_refutation_timeout() -> None:
    """Guards against declaring a member dead before it can refute."""
    simulation = _joined()
    simulation.crash("i3")
    simulation.seconds(3.5)
    assert simulation.counters.count("membership.suspicions") > 0
    assert simulation.counters.count("membership.deaths") == 0


def test_refutation_needs_a_higher_incarnation() -> None:
    """Guards against a suspicion that is cleared by an old member record."""
    simulation = _joined()
    before = simulation.instances_by_name["i1"].incarnation
    simulation.crash("i3")
    simulation.seconds(2.0)
    member = simulation.instances_by_name["i1"].members()["i3"]
    assert member.state is membership.MemberState.SUSPECT
    # A new instance receives the record of the suspect from its peers.
    simulation.start("i9")
    simulation.seconds(1.0)
    for name in ("i1", "i9"):
        member = simulation.instances_by_name[name].members()["i3"]
        assert member.state is not membership.MemberState.ALIVE
    assert simulation.instances_by_name["i1"].incarnation == before


def test_records_of_an_earlier_process_expire() -> None:
    """Guards against stale upstreams that stay listed after a home restarts."""
    simulation = _joined()
    kind = membership.RecordKind.UPSTREAM
    home = simulation.instances_by_name["i3"]
    home.put(kind, "gone", 1, 1, b"", urgent=True)
    home.put(kind, "moves", 1, 1, b"", urgent=True)
    simulation.seconds(1.0)
    simulation.crash("i3")
    simulation.start("i3")
    simulation.seconds(1.0)
    assert set(simulation.instances_by_name["i0"].records(kind)) == {
        "gone",
        "moves",
    }
    simulation.instances_by_name["i5"].put(
        kind, "moves", 1, 2, b"", urgent=True
    )
    simulation.seconds(2 * SPREAD_S)
    for instance in simulation.instances_by_name.values():
        assert set(instance.records(kind)) == {"moves"}


def test_records_of_a_dead_owner_are_hidden_unless_moved() -> None:
    """Guards against requests to upstreams whose home is dead."""
    simulation = _joined()
    kind = membership.RecordKind.UPSTREAM
    simulation.instances_by_name["i3"].put(kind, "gone", 1, 1, b"")
    simulation.instances_by_name["i3"].put(kind, "moves", 1, 1, b"")
    simulation.seconds(1.0)
    simulation.crash("i3")
    simulation.instances_by_name["i5"].put(kind, "moves", 1, 2, b"")
    simulation.seconds(DETECTION_S)
    for instance in simulation.instances_by_name.values():
        assert set(instance.records(kind)) == {"moves"}


def test_dead_members_and_their_records_are_dropped() -> None:
    """Guards against memory that grows with every instance that ever joined."""
    simulation = _joined()
    for index in range(5):
        name = f"short-{index}"
        simulation.start(name)
        simulation.instances_by_name[name].publish(ENTRY, name, b"")
        simulation.seconds(1.0)
        if index % 2:
            simulation.instances_by_name[name].leave()
        simulation.crash(name)
    simulation.seconds(150.0)
    for instance in simulation.instances_by_name.values():
        assert set(instance.members()) == set(simulation.instances_by_name)
        for index in range(5):
            stored = instance.latest(ENTRY, f"short-{index}")
            assert not isinstance(stored, membership.Record)


def test_isolated_instance_reports_staleness_of_all_others() -> None:
    """Guards against new requests to an upstream more than 3 s after it leaves.

    An isolated instance does not learn that an upstream is leaving.
    """
    simulation = _joined()
    others = [name for name in simulation.instances_by_name if name != "i0"]
    simulation.partition(["i0"], others)
    simulation.seconds(2.75)
    for name in others:
        assert simulation.instances_by_name["i0"].staleness_s(name) > 2.0, name
    assert simulation.instances_by_name["i0"].staleness_s("i0") == 0.0
    simulation.network.heal()
    simulation.seconds(SPREAD_S)
    for name in others:
        assert simulation.instances_by_name["i0"].staleness_s(name) == 0.0, name


def test_staleness_starts_soon_after_isolation_and_not_before() -> None:
    """Guards against isolation that is detected late because links are idle."""
    simulation = _joined()
    instance = simulation.instances_by_name["i0"]
    others = [name for name in simulation.instances_by_name if name != "i0"]
    for _ in range(5):
        for _ in range(9):
            simulation.round()
            assert all(instance.staleness_s(name) == 0.0 for name in others)
        simulation.partition(["i0"], others)
        simulation.rounds(3)
        assert all(instance.staleness_s(name) > 0.0 for name in others)
        simulation.network.heal()
        simulation.seconds(SPREAD_S)


def _leave_only(simulation: Simulation) -> None:
    simulation.instances_by_name["i3"].leave()
    simulation.crash("i3")


def _crash_only(simulation: Simulation) -> None:
    simulation.crash("i3")


def _restart_only(simulation: Simulation) -> None:
    simulation.crash("i3")
    simulation.seconds(1.0)
    simulation.start("i3")


@pytest.mark.parametrize(
    "kind", [membership.RecordKind.STRIKE, membership.RecordKind.SESSION]
)
@pytest.mark.parametrize(
    "stop_owner", [_leave_only, _crash_only, _restart_only]
)
def test_records_outlive_their_owner(
    stop_owner: Callable[[Simulation], None], kind: membership.RecordKind
) -> None:
    """Guards against strikes and sessions lost when their owner stops.

    They are kept until they expire, and instances that join later receive them.
    """
    simulation = _joined()
    simulation.instances_by_name["i3"].publish(kind, "seen", b"", ttl_s=100.0)
    simulation.seconds(SPREAD_S)
    stop_owner(simulation)
    simulation.seconds(80.0)
    simulation.start("i9")
    simulation.seconds(SPREAD_S)
    for name, instance in simulation.instances_by_name.items():
        assert set(instance.records(kind)) == {"seen"}, name
    simulation.seconds(20.0)
    for name, instance in simulation.instances_by_name.items():
        assert not instance.records(kind), name
