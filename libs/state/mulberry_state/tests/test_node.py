"""Voters and clients over gRPC on loopback."""

import os
import pathlib
import shutil
import threading
import time
from collections.abc import Callable, Iterator
from concurrent import futures
from typing import Any, NoReturn

import grpc
import pytest

import mulberry_core as core
import mulberry_rules as rules
import mulberry_state as state
from mulberry_state import _log

_TIMING = rules.Timing(
    lease_renew_period_s=0.1,
    lease_term_s=1.0,
    heartbeat_period_s=0.05,
    election_timeout_s=0.25,
)


class _Deployment:
    """Three voters and four clients."""

    def __init__(self, folder: pathlib.Path, parser: state.RulesParser) -> None:
        self.folder = folder
        self.parser = parser
        self.clock = core.SystemClock()
        self.server_by_name: dict[str, grpc.Server] = {}
        self.node_by_name: dict[str, state.StateNode] = {}
        self.address_by_name: dict[str, str] = {}
        for name in "abc":
            server = self._server()
            port = server.add_insecure_port("127.0.0.1:0")
            self.server_by_name[name] = server
            self.address_by_name[name] = f"127.0.0.1:{port}"
        for name in "abc":
            self._start(name)
        self.clients = [self.client(f"i{number}") for number in range(4)]

    def client(self, instance: str) -> state.RemoteStateClient:
        client = state.RemoteStateClient(
            instance,
            self.address_by_name.values(),
            self.clock,
            _TIMING,
            self.parser,
        )
        client.start()
        return client

    def leader(self) -> state.StateNode:
        for _ in range(1000):
            for node in self.node_by_name.values():
                if node.replica.confirm_leadership(0.2):
                    return node
            time.sleep(0.01)
        raise AssertionError("timed out waiting for a leader")

    def stop_voter(self, name: str, transfer_timeout_s: float) -> None:
        self.server_by_name.pop(name).stop(0)
        self.node_by_name.pop(name).stop(transfer_timeout_s)

    def add_machine(self, name: str) -> state.StateNode:
        """Starts a node at a new address, with an empty folder."""
        server = self._server()
        port = server.add_insecure_port("127.0.0.1:0")
        self.server_by_name[name] = server
        self.address_by_name[name] = f"127.0.0.1:{port}"
        self._start(name)
        return self.node_by_name[name]

    def restart_voter(self, name: str) -> None:
        server = self._server()
        server.add_insecure_port(self.address_by_name[name])
        self.server_by_name[name] = server
        self._start(name)

    def stop(self) -> None:
        for client in self.clients:
            client.stop()
        for name in list(self.node_by_name):
            self.stop_voter(name, 0.0)

    def _server(self) -> grpc.Server:
        threads = futures.ThreadPoolExecutor(state.SERVER_THREADS)
        return grpc.server(threads, options=state.CHANNEL_OPTIONS)

    def _start(self, name: str) -> None:
        node = state.StateNode(
            name,
            self.address_by_name[name],
            self.address_by_name,
            self.folder / name,
            self.clock,
            _TIMING,
            self.parser,
        )
        node.add_to(self.server_by_name[name])
        self.server_by_name[name].start()
        node.start()
        self.node_by_name[name] = node


@pytest.fixture
def deployment(
    tmp_path: pathlib.Path, parser: state.RulesParser
) -> Iterator[_Deployment]:
    made = _Deployment(tmp_path, parser)
    yield made
    made.stop()


def _wait_for(condition: Callable[[], object], what: str) -> None:
    end_s = time.monotonic() + 30
    while not condition():
        assert time.monotonic() < end_s, f"timed out waiting for {what}"
        time.sleep(0.005)


def _bill(number: int) -> state.RecordBill:
    bill = state.Bill(
        "t", f"k{number}", f"r{number}", "chat", "m", "1", 1, 1, 0.5, "d"
    )
    return state.RecordBill(state.new_command_id(), bill)


def _has_rules(client: state.RemoteStateClient) -> Callable[[], bool]:
    return lambda: client.view().rules_number == 1


def test_rules_reach_every_instance(deployment: _Deployment) -> None:
    """Guards against instances that keep using outdated rules."""
    seen: list[int] = []
    deployment.clients[3].subscribe(lambda view: seen.append(view.revision))
    submit = state.SubmitRules("c1", "m:1", 0, "marta")
    assert deployment.clients[0].propose(submit, 10) == state.RulesAccepted(1)
    for client in deployment.clients:
        _wait_for(_has_rules(client), "the rules")
        assert client.lease_remaining_s() > 0
        assert set(client.view().voters_by_name) == set("abc")
    assert seen == sorted(set(seen))
    node = deployment.leader()
    revision = deployment.clients[0].view().revision
    _wait_for(lambda: node.in_effect_everywhere(revision), "in effect")
    _wait_for(lambda: node.status().rules_in_effect_s, "the mark in the log")
    assert node.audit()[0].who == "marta"
    assert node.audit()[0].in_effect_s > 0


def test_reports_reach_the_leader(deployment: _Deployment) -> None:
    """Guards against a new leader without the reports of instances."""
    for number, client in enumerate(deployment.clients):
        client.set_report_source(f"from {number}".encode)
    wanted = {f"from {number}".encode() for number in range(4)}
    first = deployment.leader()
    _wait_for(lambda: set(first.reports.all()) >= wanted, "the reports")
    deployment.stop_voter(first.replica.raft.name, 0.0)
    second = deployment.leader()
    _wait_for(lambda: set(second.reports.all()) >= wanted, "the reports again")


def test_isolated_instance_delays_in_effect(deployment: _Deployment) -> None:
    """Guards against reporting a withdrawal before all instances have it."""
    slow = state.RemoteStateClient(
        "slow",
        deployment.address_by_name.values(),
        deployment.clock,
        _TIMING,
        deployment.parser,
    )
    node = deployment.leader()
    _wait_for(
        lambda: node.in_effect_everywhere(node.replica.view().revision),
        "the end of the lease term after the election",
    )
    assert slow.renew_once(5.0)
    held = slow.view().revision
    deployment.clients[0].propose(state.SubmitRules("c1", "m:1", 0, "o"), 10)
    while slow.lease_remaining_s() > 0:
        revision = node.replica.view().revision
        still_held = slow.lease_remaining_s() > 0
        assert not (node.in_effect_everywhere(held + 1) and still_held)
        assert revision >= held
    _wait_for(lambda: node.in_effect_everywhere(held + 1), "in effect")
    slow.stop()


def test_commands_survive_a_leader_change(
    deployment: _Deployment,
) -> None:
    """Guards against lost or repeated bills during a leader change."""
    client = deployment.clients[0]
    total = 60
    results: list[Any] = []

    def bill_all() -> None:
        results.extend(
            client.propose(_bill(number), 20) for number in range(total)
        )

    worker = threading.Thread(target=bill_all)
    worker.start()
    stopped = deployment.leader().status().name
    deployment.stop_voter(stopped, 2.0)
    worker.join()
    assert results == [state.BillRecorded(True)] * total
    deployment.restart_voter(stopped)
    node = deployment.leader()
    report = node.ledger()
    assert report.sums[0].bills == total
    assert not report.differences
    _wait_for(
        lambda: (
            deployment.node_by_name[stopped].status().applied_index
            >= node.status().commit_index
        ),
        "the restarted voter",
    )
    assert deployment.node_by_name[stopped].ledger().sums == report.sums


def test_lease_ends_without_a_quorum(deployment: _Deployment) -> None:
    """Guards against instances that keep unconfirmed rules without a quorum."""
    client = deployment.clients[0]
    _wait_for(lambda: client.lease_remaining_s() > 0, "a lease")
    leader = deployment.leader().status().name
    for name in "abc":
        if name != leader:
            deployment.stop_voter(name, 0.0)
    _wait_for(lambda: client.lease_remaining_s() == 0, "the end of the lease")
    refusal = client.propose(_bill(1), 0.5)
    assert isinstance(refusal, core.Refusal)
    assert refusal.kind is core.ErrorKind.QUORUM_UNAVAILABLE
    for name in "abc":
        if name != leader:
            deployment.restart_voter(name)
    _wait_for(lambda: client.lease_remaining_s() > 0, "the lease again")


def test_renewal_needs_a_confirmed_leader(
    deployment: _Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against leases granted by a leader that has been replaced."""
    _wait_for(lambda: deployment.clients[0].lease_remaining_s() > 0, "a lease")
    for node in deployment.node_by_name.values():
        monkeypatch.setattr(
            node.replica, "confirm_leadership", lambda timeout_s: False
        )
    assert not deployment.clients[0].renew_once(0.5)


def test_reports_over_grpc(deployment: _Deployment) -> None:
    """Guards against reports that differ from the state of the voters."""
    client = deployment.clients[0]
    client.propose(state.SubmitRules("c1", "m:1", 0, "marta"), 10)
    client.propose(_bill(1), 10)
    reader = state.StateReader(client.voter_client, deployment.clock)
    node = deployment.leader()
    ledger = reader.ledger(5)
    assert isinstance(ledger, state.LedgerReport)
    assert ledger.sums == node.ledger().sums
    assert reader.audit(5, max_records=1) == node.audit()[:1]
    assert reader.history(5) == node.history()
    status = reader.status(5)
    assert isinstance(status, state.NodeStatus)
    assert status.role == "leader"
    assert {voter.name for voter in status.voters} == set("abc")
    refusal = reader.change_voters("", "", "zz", "marta", 5)
    assert isinstance(refusal, core.Refusal)
    assert refusal.reason == "there is no voter zz"
    follower = next(n for n in "abc" if n != status.name)
    sentence = reader.change_voters("", "", follower, "marta", 10)
    assert sentence == f"removed voter {follower}"


def test_replaced_leader_leaves_the_group(deployment: _Deployment) -> None:
    """Guards against a voter that stays although its machine is gone for good.

    The next leader has never heard from the leader before it, and the group
    needs three of four voters as long as that one counts.
    """
    candidates = {}
    for node in deployment.node_by_name.values():
        candidates[node.candidate.name] = node.candidate
        node.reconcile_voters(lambda: dict(candidates), 3)
    replaced = deployment.leader().candidate.name
    candidates.pop(replaced)
    deployment.stop_voter(replaced, transfer_timeout_s=0.0)
    candidates["d"] = deployment.add_machine("d").candidate
    expected = {*"abcd"} - {replaced}
    _wait_for(
        lambda: (
            {v.name for v in deployment.leader().status().voters} == expected
        ),
        "the new group",
    )


def test_group_survives_a_lost_disk_after_a_replaced_leader(
    deployment: _Deployment,
) -> None:
    """Guards against a replaced leader that still counts at the next loss."""
    candidates = {}
    for node in deployment.node_by_name.values():
        candidates[node.candidate.name] = node.candidate
        node.reconcile_voters(lambda: dict(candidates), 3)
    replaced = deployment.leader().candidate.name
    candidates.pop(replaced)
    deployment.stop_voter(replaced, transfer_timeout_s=0.0)
    added = deployment.add_machine("d")
    candidates["d"] = added.candidate
    added.reconcile_voters(lambda: dict(candidates), 3)
    _wait_for(
        lambda: deployment.leader().group_status().tolerated_losses == 1,
        "the full tolerance",
    )
    lost = deployment.leader().candidate.name
    deployment.stop_voter(lost, transfer_timeout_s=0.0)
    shutil.rmtree(deployment.folder / lost)
    assert not isinstance(
        deployment.clients[0].propose(_bill(1), 20.0), core.Refusal
    )


@pytest.mark.parametrize("errno", [5, 28])
def test_voters_return_once_their_disks_take_data_again(
    deployment: _Deployment, monkeypatch: pytest.MonkeyPatch, errno: int
) -> None:
    """Guards against voters that leave for good after one failed write."""
    client = deployment.clients[0]
    assert not isinstance(client.propose(_bill(1), 20.0), core.Refusal)

    def fail(descriptor: int) -> NoReturn:
        raise OSError(errno, "injected fault")

    def fail_unexpectedly(log: _log.Log) -> NoReturn:
        raise RuntimeError("unexpected")

    with monkeypatch.context() as patch:
        patch.setattr(os, "fdatasync", fail)
        refusal = client.propose(_bill(2), 1.0)
        assert isinstance(refusal, core.Refusal)
        _wait_for(
            lambda: any(
                node.status().role == "failed"
                for node in deployment.node_by_name.values()
            ),
            "a voter whose disk failed",
        )
        # No error may end the attempts.
        with monkeypatch.context() as other_patch:
            other_patch.setattr(_log.Log, "rewrite", fail_unexpectedly)
            patch.undo()
            time.sleep(1.2)
    for number in range(3, 6):
        outcome = client.propose(_bill(number), 20.0)
        assert not isinstance(outcome, core.Refusal)
    _wait_for(
        lambda: all(
            not node.status().failure
            for node in deployment.node_by_name.values()
        ),
        "all voters",
    )
    report = deployment.leader().ledger()
    assert not report.differences
    assert sum(row.bills for row in report.sums) in (4, 5)


def test_group_outlives_leaders_that_are_replaced_one_after_the_other(
    deployment: _Deployment,
) -> None:
    """Guards against changes that are no longer confirmed, and expired leases.

    A group that kept each replaced leader as a voter had no quorum after the
    second of three voters, or the fifth of six.
    """
    candidates = {}
    for node in deployment.node_by_name.values():
        candidates[node.candidate.name] = node.candidate
        node.reconcile_voters(lambda: dict(candidates), 3)
    client = deployment.client("i9")
    for number, added in enumerate("def"):
        replaced = deployment.leader().candidate.name
        candidates.pop(replaced)
        deployment.stop_voter(replaced, transfer_timeout_s=0.0)
        node = deployment.add_machine(added)
        candidates[added] = node.candidate
        node.reconcile_voters(lambda: dict(candidates), 3)
        _wait_for(
            lambda: (
                {v.name for v in deployment.leader().status().voters}
                == set(candidates)
            ),
            f"the group without {replaced}",
        )
        client.voter_client.add_addresses(
            candidate.address for candidate in candidates.values()
        )
        assert not isinstance(client.propose(_bill(number), 20.0), core.Refusal)
    assert client.lease_remaining_s() > 0.0
    client.stop()
