"""Consensus under lost messages, crashes and restarts."""

import threading
import time
from collections.abc import Callable
from typing import Any

import pytest

import mulberry_rules as rules
import mulberry_state as state
from mulberry_state import _fake_network, _group, _memory_disk, _raft

MakeCluster = Callable[..., Any]


def _bill(number: int) -> state.RecordBill:
    bill = state.Bill(
        "t", f"k{number}", f"r{number}", "chat", "m", "1", 1, 1, 0.5, "d"
    )
    return state.RecordBill(f"c{number}", bill)


def _bill_keys(replica: Any) -> list[str]:
    with replica.raft.machine_lock:
        return [r.bill.key for r in replica.applier.machine.ledger.rows()]


def _encoded_state(replica: Any) -> bytes:
    with replica.raft.machine_lock:
        return bytes(replica.applier.machine.snapshot())


def test_commands_reach_all_voters(make_cluster: MakeCluster) -> None:
    """Guards against diverging states of the voters."""
    cluster = make_cluster()
    cluster.wait_for_leader()
    assert cluster.propose(_bill(1), 100) == state.BillRecorded(True)
    cluster.wait_for_convergence()
    assert (
        len({_encoded_state(r) for r in cluster.replica_by_name.values()}) == 1
    )


def test_commands_survive_a_power_loss_everywhere(
    make_cluster: MakeCluster,
) -> None:
    """Guards against acknowledging a command before it is synced."""
    cluster = make_cluster()
    cluster.wait_for_leader()
    for number in range(5):
        assert cluster.propose(_bill(number), 100)
    old = cluster.leader().raft.name
    for name in "abc":
        cluster.crash(name)
    # The old leader stays down: what it acknowledged must be on another disk.
    for name in "abc":
        if name != old:
            cluster.start(name)
    leader = cluster.wait_for_leader()
    assert _bill_keys(leader) == [f"k{number}" for number in range(5)]


def test_first_election_comes_soon_after_a_start(
    make_cluster: MakeCluster,
) -> None:
    """Guards against recovery from a power loss that waits a full timeout."""
    cluster = make_cluster()
    cluster.wait_for_leader()
    for name in "abc":
        cluster.crash(name)
    delays_s = []
    for name in "abc":
        cluster.start(name)
        raft = cluster.replica_by_name[name].raft
        delays_s.append(raft.election_due_s - raft.clock.now())
    timeout_s = raft.timing.election_timeout_s
    assert max(delays_s) < timeout_s
    cluster.wait_for_leader()


def test_restarted_voter_does_not_disrupt_the_leader(
    make_cluster: MakeCluster,
) -> None:
    """Guards against an election caused by the restart of one voter."""
    cluster = make_cluster()
    leader = cluster.wait_for_leader()
    term = leader.raft.log.term
    name = next(n for n in "abc" if n != leader.raft.name)
    cluster.crash(name)
    cluster.start(name)
    time.sleep(2 * leader.raft.timing.election_timeout_s)
    assert cluster.leader() is leader
    assert leader.raft.log.term == term


def test_isolated_leader_cannot_confirm_leadership(
    make_cluster: MakeCluster,
) -> None:
    """Guards against leases granted by a leader that has been replaced."""
    cluster = make_cluster()
    old = cluster.wait_for_leader()
    cluster.network.isolate(old.raft.address)
    assert not old.confirm_leadership(0.3)
    cluster.wait_for(
        lambda: cluster.leader() not in (None, old), "a new leader"
    )
    new = cluster.wait_for_leader()
    assert new is not old
    assert cluster.propose(_bill(1), 100)
    cluster.network.heal()
    cluster.wait_for_convergence()
    assert _bill_keys(old) == ["k1"]


@pytest.mark.parametrize("direction", ["in", "out"])
def test_one_way_partition_of_the_leader(
    make_cluster: MakeCluster, direction: str
) -> None:
    """Guards against a leader that can only send or only receive."""
    cluster = make_cluster()
    old = cluster.wait_for_leader()
    for name in "abc":
        if name != old.raft.name:
            pair = (name, old.raft.name)
            cluster.network.block(*(pair if direction == "in" else pair[::-1]))
    cluster.wait_for(
        lambda: cluster.leader() not in (None, old), "a new leader"
    )
    assert cluster.propose(_bill(1), 200)


def test_rejoining_voter_does_not_disrupt_the_leader(
    make_cluster: MakeCluster,
) -> None:
    """Guards against elections started by a voter after a long isolation."""
    # Long timeouts, so that a busy machine causes no election.
    cluster = make_cluster(
        timing=rules.Timing(heartbeat_period_s=0.05, election_timeout_s=1.0)
    )
    leader = cluster.wait_for_leader()
    other = next(n for n in "abc" if n != leader.raft.name)
    term = leader.raft.log.term
    cluster.network.isolate(other)
    replica = cluster.replica_by_name[other]
    for _ in range(3):
        before_s = replica.raft.election_due_s
        cluster.wait_for(
            lambda before_s=before_s: replica.raft.election_due_s > before_s,
            "an attempt at an election",
        )
    assert replica.raft.log.term == term
    cluster.network.heal()
    assert cluster.propose(_bill(1), 100)
    cluster.wait_for_convergence()
    assert leader.raft.role is _raft.Role.LEADER
    assert leader.raft.log.term == term


def test_lagging_voter_catches_up_by_snapshot(
    make_cluster: MakeCluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a voter that can never catch up after compaction."""
    monkeypatch.setattr("mulberry_state._log._TRAILING_RECORDS", 2)
    cluster = make_cluster()
    leader = cluster.wait_for_leader()
    other = next(n for n in "abc" if n != leader.raft.name)
    cluster.crash(other)
    for number in range(20):
        assert cluster.propose(_bill(number), 100)
    leader.applier.take_snapshot()
    assert leader.raft.log.first_index > 10
    restarted = cluster.start(other)
    cluster.wait_for_convergence()
    assert _bill_keys(restarted) == _bill_keys(leader)
    assert restarted.raft.log.snapshot.index > 10
    # The snapshot, including the voters, is on its disk too.
    cluster.crash(other)
    restarted = cluster.start(other)
    assert len(_bill_keys(restarted)) >= 10
    assert len(restarted.raft.log.snapshot.voters.voters) == 3
    assert restarted.raft.is_voter


def test_planned_shutdown_transfers_leadership(
    make_cluster: MakeCluster,
) -> None:
    """Guards against a planned stop that waits for an election timeout."""
    cluster = make_cluster()
    for _ in range(3):
        leader = cluster.wait_for_leader()
        term = leader.raft.log.term
        cluster.wait_for_convergence()
        assert leader.transfer_leadership(10.0)
        new = cluster.wait_for_leader()
        assert new is not leader
        assert new.raft.log.term == term + 1


def test_wiped_disk_never_votes_under_its_old_identity(
    make_cluster: MakeCluster,
) -> None:
    """Guards against two quorums through a voter that lost its vote."""
    cluster = make_cluster()
    leader = cluster.wait_for_leader()
    assert cluster.propose(_bill(1), 100)
    cluster.wait_for_convergence()
    others = [n for n in "abc" if n != leader.raft.name]
    lost, survivor_name = others
    cluster.crash(lost)
    cluster.disk_by_name[lost] = _memory_disk.MemoryDisk()
    wiped = cluster.start(lost)
    cluster.crash(leader.raft.name)
    # Only one of the three voters is left: the wiped disk does not count.
    survivor = cluster.replica_by_name[survivor_name]
    term = survivor.raft.log.term
    for _ in range(4):
        before_s = survivor.raft.election_due_s
        cluster.wait_for(
            lambda before_s=before_s: survivor.raft.election_due_s > before_s,
            "an attempt at an election",
        )
    assert cluster.leader() is None
    assert survivor.raft.log.term == term
    assert not wiped.raft.is_voter
    cluster.start(leader.raft.name)
    leader = cluster.wait_for_leader()
    done = leader.group.change({lost: lost}, lost, "marta", 20.0)
    assert done == f"removed voter {lost} and added voter {lost} {lost}"
    cluster.wait_for_convergence()
    assert wiped.raft.is_voter
    assert _bill_keys(wiped) == ["k1"]
    assert set(leader.view().voters_by_name) == set("abc")


def test_new_voter_counts_only_when_caught_up(
    make_cluster: MakeCluster,
) -> None:
    """Guards against a quorum that depends on a voter without the log."""
    cluster = make_cluster()
    leader = cluster.wait_for_leader()
    assert cluster.propose(_bill(1), 100)
    cluster.start("d")
    cluster.network.block("d", leader.raft.name)
    with pytest.raises(_group.ChangeRefused, match="does not answer"):
        leader.group.change({"d": "d"}, "", "marta", 0.5)
    assert len(leader.raft.voters.message.voters) == 3
    cluster.network.heal()
    # The new voter answers but syncs nothing.
    cluster.disk_by_name["d"].fail_at = 0
    with pytest.raises(_group.ChangeRefused, match="not caught up"):
        leader.group.change({"d": "d"}, "", "marta", 0.5)
    assert len(leader.raft.voters.message.voters) == 3
    cluster.crash("d")
    cluster.disk_by_name["d"] = _memory_disk.MemoryDisk()
    cluster.start("d")
    leader.group.change({"d": "d"}, "", "marta", 20.0)
    for refused in ({"d": "d"}, {"a": "d"}):
        with pytest.raises(_group.ChangeRefused):
            leader.group.change(refused, "", "marta", 1.0)
    other = next(n for n in "abc" if n != leader.raft.name)
    leader.group.change({}, other, "marta", 20.0)
    assert set(leader.view().voters_by_name) == set("abcd") - {other}


def test_failed_disk_stops_the_voter(make_cluster: MakeCluster) -> None:
    """Guards against a leader acknowledging what it cannot sync."""
    cluster = make_cluster()
    leader = cluster.wait_for_leader()
    disk = cluster.disk_by_name[leader.raft.name]
    disk.error = OSError(28, "full")
    disk.fail_at = 0
    leader.propose(_bill(1), 0.5)
    cluster.wait_for(
        lambda: leader.raft.role is _raft.Role.FAILED, "the failure"
    )
    assert "disk is full" in leader.raft.failure
    refusal = leader.propose(_bill(2), 0.5)
    assert refusal.kind.value == "storage_failed"
    cluster.wait_for(
        lambda: cluster.leader() not in (None, leader), "a new leader"
    )
    assert cluster.propose(_bill(3), 100)


@pytest.mark.parametrize("seed", range(4))
def test_acknowledged_commands_are_neither_lost_nor_repeated(
    make_cluster: MakeCluster, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against lost or repeated bills under combined faults."""
    monkeypatch.setattr("mulberry_state._log._TRAILING_RECORDS", 5)
    cluster = make_cluster(seed=seed)
    cluster.snapshot_bytes = 1500
    for replica in cluster.replica_by_name.values():
        replica.applier.snapshot_bytes = 1500
    cluster.wait_for_leader()
    acknowledged: list[int] = []
    stop = threading.Event()

    def propose_bills(start: int) -> None:
        number = start
        while not stop.is_set():
            if cluster.propose(_bill(number), 5):
                acknowledged.append(number)
            number += 1

    workers = [
        threading.Thread(target=propose_bills, args=(start,))
        for start in (0, 10_000, 20_000)
    ]
    for worker in workers:
        worker.start()
    for _ in range(8):
        _inject_fault(cluster)
        time.sleep(0.25)
    stop.set()
    for worker in workers:
        worker.join()
    cluster.network.heal()
    for name in "abc":
        if name not in cluster.replica_by_name:
            cluster.start(name)
    cluster.wait_for_leader()
    assert cluster.propose(_bill(99_999), 200)
    cluster.wait_for_convergence()
    replicas = list(cluster.replica_by_name.values())
    assert [r.raft.failure for r in replicas] == ["", "", ""]
    keys = _bill_keys(replicas[0])
    assert len(keys) == len(set(keys))
    assert {f"k{number}" for number in acknowledged} <= set(keys)
    assert len({_encoded_state(r) for r in replicas}) == 1
    assert not replicas[0].applier.machine.ledger.check()


def _inject_fault(cluster: Any) -> None:
    rng = cluster.rng
    name = rng.choice("abc")
    fault = rng.choice(["crash", "cut", "isolate", "noise", "heal"])
    if fault == "crash":
        if name in cluster.replica_by_name:
            cluster.crash(name)
        for other in "abc":
            if other != name and other not in cluster.replica_by_name:
                cluster.start(other)
    elif fault == "cut":
        cluster.network.block(name, rng.choice("abc"))
    elif fault == "isolate":
        cluster.network.isolate(name)
    elif fault == "noise":
        cluster.network.faults = _fake_network.Faults(0.1, 0.2, 0.02)
    else:
        cluster.network.heal()
