"""Measurements of the replicated state, for `scripts/measure state`."""

import pathlib
import random
import statistics
import tempfile
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

import mulberry_core as core
import mulberry_rules as rules
import mulberry_state as state
from mulberry_experiments import _measure, _state_cluster
from mulberry_state import (
    _codec,
    _disk,
    _fake_network,
    _log,
    _raft,
    _replica,
)
from mulberry_wire import log_pb2


class StateRow(NamedTuple):
    """One figure."""

    name: str
    figure: float
    unit: str
    #: `<= NUMBER`, or empty where the design names no target.
    target: str = ""


_RECORD_BYTES = 300
_APPEND_BATCHES = (1, 16, 128)
_APPENDS = 200
_IDLE_PROPOSALS = 300
_WORKERS = 16
_PROPOSALS_EACH = 100
_KILLS = 5
_IDLE_S = 10.0
_INSTANCES = 12
_RESTART_CHANGES = (1_000, 30_000, 300_000)


def measure_state(seed: int) -> list[StateRow]:
    """Runs all measurements of the state; takes about two minutes."""
    rows: list[StateRow] = []
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        rows += measure_appends(folder / "append", seed)
        rows += measure_restart(folder / "restart", seed)
        rows += measure_cluster(folder / "cluster")
    return rows


def run(seed: int) -> list[_measure.Row]:
    """All measurements as rows of `scripts/measure`."""
    return [
        _measure.Row("state", "log", row.name, row.figure, row.unit, row.target)
        for row in measure_state(seed)
    ]


def measure_appends(folder: pathlib.Path, seed: int) -> list[StateRow]:
    """Synced appends of one log without consensus, by batch."""
    data = random.Random(seed).randbytes(_RECORD_BYTES)
    rows = []
    for batch in _APPEND_BATCHES:
        log = _log.Log(_disk.OsDisk(folder / str(batch)), "a")
        log.save_vote(1, "")
        times = [
            _timed(lambda: _append(log, data, batch))  # noqa: B023
            for _ in range(_APPENDS)
        ]
        log.close()
        rate = batch * _APPENDS / sum(times)
        rows.append(StateRow(f"appends, batch of {batch}", rate, "records/s"))
        rows += _latency(f"append, batch of {batch}", times)
    return rows


def measure_restart(folder: pathlib.Path, seed: int) -> list[StateRow]:
    """Time from the opening of a folder until all changes are applied."""
    rows = []
    for changes in _RESTART_CHANGES:
        path = folder / str(changes)
        with _SingleVoter(path, seed) as voter:
            voter.fill(changes)
        begun_s = time.perf_counter()
        with _SingleVoter(path, seed) as voter:
            voter.wait_applied()
            took_s = time.perf_counter() - begun_s
            held = len(voter.replica.applier.machine.ledger)
        if held != changes:
            raise AssertionError(f"{held} of {changes} bills after a restart")
        rows.append(StateRow(f"restart after {changes} bills", took_s, "s"))
    return rows


def measure_cluster(folder: pathlib.Path) -> list[StateRow]:
    """Three voter processes on loopback: load, a killed leader, idleness."""
    voters = _state_cluster.VoterProcesses(folder)
    clients = [voters.client(f"i{number}") for number in range(_INSTANCES)]
    try:
        voters.leader(clients[0])
        _propose(clients[0], _bill("warm-up"))
        rows = _measure_proposals(clients[0])
        rows += _measure_idle(voters, clients)
        rows += _measure_kills(voters, clients[0])
        return rows
    finally:
        for client in clients:
            client.stop()
        voters.stop()


def _measure_proposals(client: state.RemoteStateClient) -> list[StateRow]:
    times = []
    for number in range(_IDLE_PROPOSALS):
        command = _bill(f"idle-{number}")
        times.append(_timed(lambda: _propose(client, command)))  # noqa: B023
        time.sleep(0.005)
    rows = list(_latency("propose, one at a time", times))
    rate = _load(client, lambda name: [_bill(name)])
    rows.append(StateRow(f"bills, {_WORKERS} at once", rate, "bills/s"))
    rate = _load(client, _deposit)
    rows.append(
        StateRow(f"claims settled, {_WORKERS} at once", rate, "claims/s")
    )
    return rows


def _measure_idle(
    voters: _state_cluster.VoterProcesses,
    clients: Sequence[state.RemoteStateClient],
) -> list[StateRow]:
    leader = voters.leader(clients[0])
    follower = next(name for name in voters.voters if name != leader)
    names = (("leader", leader), ("follower", follower))
    before = {
        name: (voters.cpu_s(name), voters.relay_by_name[name].bytes)
        for _, name in names
    }
    time.sleep(_IDLE_S)
    rows = []
    for role, name in names:
        cpu_s = voters.cpu_s(name) - before[name][0]
        received = voters.relay_by_name[name].bytes - before[name][1]
        label = f"idle {role}, {len(clients)} instances"
        rows += [
            StateRow(
                f"{label}: processor", 100 * cpu_s / _IDLE_S, "%", "<= 1.8"
            ),
            StateRow(
                f"{label}: bytes of its server",
                received / _IDLE_S / 1000,
                "KB/s",
            ),
            StateRow(
                f"{label}: memory", voters.resident_bytes(name) / 1e6, "MB"
            ),
        ]
    return rows


def _measure_kills(
    voters: _state_cluster.VoterProcesses, client: state.RemoteStateClient
) -> list[StateRow]:
    times = []
    for number in range(_KILLS):
        leader = voters.leader(client)
        _propose(client, _bill(f"before-{number}"))
        begun_s = time.perf_counter()
        voters.kill(leader)
        _propose(client, _bill(f"after-{number}"))
        times.append(time.perf_counter() - begun_s)
        voters.start(leader)
        time.sleep(2.0)
    return [
        StateRow(
            "no leader after a kill, median", statistics.median(times), "s"
        ),
        StateRow("no leader after a kill, longest", max(times), "s", "<= 2"),
    ]


class _SingleVoter:
    """One voter that needs no network, with a real folder."""

    def __init__(self, folder: pathlib.Path, seed: int) -> None:
        self._network = _fake_network.FakeNetwork(seed)
        self.replica = _replica.Replica(
            "a",
            "a",
            {"a": "a"},
            _disk.OsDisk(folder),
            self._network.transport("a"),
            state.StateMachine(state.FileRulesParser()),
            core.SystemClock(),
            rules.Timing(),
        )

    def __enter__(self) -> "_SingleVoter":
        self.replica.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.replica.stop()
        self._network.close()

    def fill(self, changes: int) -> None:
        """Appends bills and waits until they are applied."""
        raft = self.replica.raft
        with raft.lock:
            while raft.role is not _raft.Role.LEADER:
                raft.lock.wait(0.1)
        for start in range(0, changes, 1000):
            with raft.lock:
                for number in range(start, min(start + 1000, changes)):
                    data = _codec.encode_command(_bill(str(number)))
                    raft.append(log_pb2.LogRecord.COMMAND, data)
            self.wait_applied()

    def wait_applied(self) -> None:
        """Waits until all records of the log are applied."""
        raft = self.replica.raft
        with raft.lock:
            while raft.applied_index < raft.log.last.index:
                raft.lock.wait(1.0)


def _append(log: _log.Log, data: bytes, count: int) -> None:
    first = log.last.index + 1
    log.stage(
        [
            log_pb2.LogRecord(
                index=first + number,
                term=1,
                kind=log_pb2.LogRecord.COMMAND,
                data=data,
            )
            for number in range(count)
        ]
    )
    log.flush()


def _bill(name: str) -> state.RecordBill:
    return state.RecordBill(f"bill-{name}", _charge(name))


def _charge(name: str) -> state.Bill:
    return state.Bill(
        team="cooperativas",
        key=f"key-{name}",
        request_id=f"request-{name}",
        kind="stand-plan",
        model="cedro-grande",
        version="2026-02",
        tokens_in=512,
        tokens_out=256,
        cost=9.2,
        body_digest="0123456789abcdef" * 2,
    )


def _deposit(name: str) -> list[state.Command]:
    answer = state.Answer(201, "application/json", b'{"deposit": 17}', True)
    key, request_id = f"deposit-{name}", f"request-{name}"
    charge = _charge(f"deposit-{name}")
    return [
        state.ClaimCall(
            f"claim-{name}",
            charge.team,
            charge.key,
            charge.body_digest,
            "deposit",
            request_id,
            "coban-a-1",
        ),
        state.SettleClaim(
            f"settle-{key}", charge.team, charge.key, request_id, answer, charge
        ),
    ]


def _propose(client: state.RemoteStateClient, command: state.Command) -> None:
    result = client.propose(command, 30.0)
    if isinstance(result, core.Refusal):
        raise AssertionError(f"{command.command_id}: {result.reason}")


def _load(
    client: state.RemoteStateClient,
    commands: Callable[[str], Sequence[state.Command]],
) -> float:
    """Returns jobs per second with several workers."""

    def work(worker: int) -> None:
        for number in range(_PROPOSALS_EACH):
            for command in commands(f"{worker}-{number}"):
                _propose(client, command)

    threads = [
        threading.Thread(target=work, args=(worker,))
        for worker in range(_WORKERS)
    ]
    begun_s = time.perf_counter()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return _WORKERS * _PROPOSALS_EACH / (time.perf_counter() - begun_s)


def _timed(call: Callable[[], None]) -> float:
    begun_s = time.perf_counter()
    call()
    return time.perf_counter() - begun_s


def _latency(name: str, times: Sequence[float]) -> Iterator[StateRow]:
    ordered = sorted(times)
    for percent in (50, 95):
        figure = ordered[len(ordered) * percent // 100] * 1000
        yield StateRow(f"{name}, {percent}th percentile", figure, "ms")
