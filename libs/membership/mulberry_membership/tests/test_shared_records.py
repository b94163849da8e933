"""Tests of waiting until a record no longer depends on one instance."""

import concurrent.futures

import mulberry_membership as membership

KIND = membership.RecordKind.UPSTREAM


def _put(simulation: membership.Simulation, sequence: int) -> None:
    simulation.instances_by_name["i0"].put(
        KIND, "pool-1", 1, sequence, b"x", urgent=True
    )


def _is_shared(simulation: membership.Simulation) -> bool:
    instance = simulation.instances_by_name["i0"]
    return instance.wait_until_shared(KIND, "pool-1", 0.0)


def test_record_is_shared_once_a_peer_has_acknowledged_it() -> None:
    """Guards against confirming what is lost with this instance."""
    simulation = membership.Simulation(4)
    simulation.rounds(8)
    _put(simulation, 1)
    assert not _is_shared(simulation)
    simulation.round()
    assert _is_shared(simulation)
    _put(simulation, 2)
    assert not _is_shared(simulation)


def test_record_of_an_isolated_instance_is_not_shared() -> None:
    """Guards against confirming what cannot be passed on."""
    simulation = membership.Simulation(4)
    simulation.rounds(8)
    simulation.partition(["i0"], ["i1", "i2", "i3"])
    _put(simulation, 1)
    simulation.seconds(2.0)
    assert not _is_shared(simulation)
    simulation.network.heal()
    simulation.seconds(1.0)
    assert _is_shared(simulation)


def test_record_of_the_only_instance_counts_as_shared() -> None:
    """Guards against a single instance that confirms no departure."""
    simulation = membership.Simulation(1)
    _put(simulation, 1)
    assert _is_shared(simulation)


def test_record_of_the_last_live_instance_counts_as_shared() -> None:
    """Guards against waiting for instances that are gone."""
    simulation = membership.Simulation(2)
    simulation.rounds(8)
    simulation.crash("i1")
    simulation.seconds(6.0)
    _put(simulation, 1)
    assert _is_shared(simulation)


def test_waiting_ends_with_the_exchange() -> None:
    """Guards against confirmations that wait for their timeout."""
    simulation = membership.Simulation(2)
    simulation.rounds(8)
    _put(simulation, 1)
    instance = simulation.instances_by_name["i0"]
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(instance.wait_until_shared, KIND, "pool-1", 30.0)
        simulation.round()
        assert waiting.result(10.0)
