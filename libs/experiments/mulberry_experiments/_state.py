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
    """One measured figure."""

    name: str
    figure: float
    unit: str
    #: `<= NUMBER`, or empty if the design sets no target.
    target: str = ""


_RECORD_BYTES = 300
_APPEND_BATCHES = (1, 16, 128)
_APPENDS = 200
_SEQUENTIAL_PROPOSALS = 300
_WORKERS = 16
_PROPOSALS_PER_WORKER = 100
_LEADER_KILLS = 5
_IDLE_INTERVAL_S = 10.0
_INSTANCES = 12
_RESTART_BILLS = (1_000, 30_000, 300_000)


def measure_state(seed: int) -> list[StateRow]:
    """Runs all measurements of the state, in about two minutes."""
    rows: list[StateRow] = []
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        rows += measure_appends(folder / "append", seed)
        rows += measure_restart(folder / "restart", seed)
        rows += measure_cluster(folder / "cluster")
    return rows


def run(seed: int) -> list[_measure.Row]:
    """Returns all measurements as rows of `scripts/measure`."""
    return [
        _measure.Row("state", "log", row.name, row.figure, row.unit, row.target)
        for row in measure_state(seed)
    ]


def measure_appends(folder: pathlib.Path, seed: int) -> list[StateRow]:
    """Measures synced appends to one log without replication, by batch size."""
    data = random.Random(seed).randbytes(_RECORD_BYTES)
    rows = []
    for batch in _APPEND_BATCHES:
        log = _log.Log(_disk.OsDisk(folder / str(batch)), "a")
        log.save_vote(1, "")
        times = [
            _elapsed_s(lambda: _append_records(log, data, batch))  # noqa: B023
            for _ in range(_APPENDS)
        ]
        log.close()
        rate = batch * _APPENDS / sum(times)
        rows.append(StateRow(f"appends, batch of {batch}", rate, "records/s"))
        rows += _latency_rows(f"append, batch of {batch}", times)
    return rows


def measure_restart(folder: pathlib.Path, seed: int) -> list[StateRow]:
    """Measures the time from a start until the whole log is applied."""
    rows = []
    for bills in _RESTART_BILLS:
        path = folder / str(bills)
        with _SingleVoter(path, seed) as voter:
            voter.fill(bills)
        started_s = time.perf_counter()
        with _SingleVoter(path, seed) as voter:
            voter.wait_applied()
            duration_s = time.perf_counter() - started_s
            applied = len(voter.replica.applier.machine.ledger)
        if applied != bills:
            raise AssertionError(
                f"{applied} of {bills} bills were applied after a restart"
            )
        rows.append(StateRow(f"restart after {bills} bills", duration_s, "s"))
    return rows


def measure_cluster(folder: pathlib.Path) -> list[StateRow]:
    """Measures three voter processes: load, idle cost and leader kills."""
    voters = _state_cluster.VoterProcesses(folder)
    clients = [voters.client(f"i{number}") for number in range(_INSTANCES)]
    try:
        voters.wait_for_leader(clients[0])
        _propose(clients[0], _record_bill("warm-up"))
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
    for number in range(_SEQUENTIAL_PROPOSALS):
        command = _record_bill(f"idle-{number}")
        times.append(_elapsed_s(lambda: _propose(client, command)))  # noqa: B023
        time.sleep(0.005)
    rows = list(_latency_rows("propose, one at a time", times))
    rate = _jobs_per_s(client, lambda name: [_record_bill(name)])
    rows.append(StateRow(f"bills, {_WORKERS} at once", rate, "bills/s"))
    rate = _jobs_per_s(client, _deposit_commands)
    rows.append(
        StateRow(f"claims settled, {_WORKERS} at once", rate, "claims/s")
    )
    return rows


def _measure_idle(
    voters: _state_cluster.VoterProcesses,
    clients: Sequence[state.RemoteStateClient],
) -> list[StateRow]:
    leader = voters.wait_for_leader(clients[0])
    follower = next(name for name in voters.voters if name != leader)
    names = (("leader", leader), ("follower", follower))
    before = {
        name: (voters.cpu_s(name), voters.relay_by_voter[name].bytes)
        for _, name in names
    }
    time.sleep(_IDLE_INTERVAL_S)
    rows = []
    for role, name in names:
        cpu_s = voters.cpu_s(name) - before[name][0]
        received = voters.relay_by_voter[name].bytes - before[name][1]
        label = f"idle {role}, {len(clients)} instances"
        rows += [
            StateRow(
                f"{label}: processor",
                100 * cpu_s / _IDLE_INTERVAL_S,
                "%",
                "<= 1.8",
            ),
            StateRow(
                f"{label}: bytes of its server",
                received / _IDLE_INTERVAL_S / 1000,
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
    for number in range(_LEADER_KILLS):
        leader = voters.wait_for_leader(client)
        _propose(client, _record_bill(f"before-{number}"))
        started_s = time.perf_counter()
        voters.kill(leader)
        _propose(client, _record_bill(f"after-{number}"))
        times.append(time.perf_counter() - started_s)
        voters.start(leader)
        time.sleep(2.0)
    return [
        StateRow(
            "no leader after a kill, median", statistics.median(times), "s"
        ),
        StateRow("no leader after a kill, longest", max(times), "s", "<= 2"),
    ]


class _SingleVoter:
    """A group of one voter with a real data folder and a fake network."""

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

    def fill(self, bills: int) -> None:
        """Appends bills and waits until they are applied."""
        raft = self.replica.raft
        with raft.lock:
            while raft.role is not _raft.Role.LEADER:
                raft.lock.wait(0.1)
        for start in range(0, bills, 1000):
            with raft.lock:
                for number in range(start, min(start + 1000, bills)):
                    data = _codec.encode_command(_record_bill(str(number)))
                    raft.append(log_pb2.LogRecord.COMMAND, data)
            self.wait_applied()

    def wait_applied(self) -> None:
        """Waits until all records of the log are applied."""
        raft = self.replica.raft
        with raft.lock:
            while raft.applied_index < raft.log.last.index:
                raft.lock.wait(1.0)


def _append_records(log: _log.Log, data: bytes, count: int) -> None:
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


def _record_bill(name: str) -> state.RecordBill:
    return state.RecordBill(f"bill-{name}", _sample_bill(name))


def _sample_bill(name: str) -> state.Bill:
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


def _deposit_commands(name: str) -> list[state.Command]:
    answer = state.Answer(201, "application/json", b'{"deposit": 17}', True)
    key, request_id = f"deposit-{name}", f"request-{name}"
    charge = _sample_bill(f"deposit-{name}")
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


def _jobs_per_s(
    client: state.RemoteStateClient,
    commands: Callable[[str], Sequence[state.Command]],
) -> float:
    """Returns jobs per second with `_WORKERS` concurrent clients."""

    def work(worker: int) -> None:
        for number in range(_PROPOSALS_PER_WORKER):
            for command in commands(f"{worker}-{number}"):
                _propose(client, command)

    threads = [
        threading.Thread(target=work, args=(worker,))
        for worker in range(_WORKERS)
    ]
    started_s = time.perf_counter()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return _WORKERS * _PROPOSALS_PER_WORKER / (time.perf_counter() - started_s)


def _elapsed_s(call: Callable[[], None]) -> float:
    started_s = time.perf_counter()
    call()
    return time.perf_counter() - started_s


def _latency_rows(name: str, times: Sequence[float]) -> Iterator[StateRow]:
    ordered = sorted(times)
    for percent in (50, 95):
        figure = ordered[len(ordered) * percent // 100] * 1000
        yield StateRow(f"{name}, {percent}th percentile", figure, "ms")
