"""Fixtures and helpers shared by the tests of this library."""

import random
import time
from collections.abc import Callable, Iterator

import pytest

import mulberry_core as core
import mulberry_rules as rules
import mulberry_state as state
from mulberry_state import _fake_network, _memory_disk, _raft, _replica

_LINE = rules.RuleLine(1, "", "test")


class WordParser(state.RulesParser):
    """Parses `MODEL:VERSION` words; a `-` prefix withdraws the version.

    `MODEL:VERSION>TO` is a rollout with two steps. The word `error` makes the
    parser report an error.
    """

    def parse(self, text: str) -> rules.Rules | tuple[str, ...]:
        if "error" in text:
            return ("line 1: error is no rule",)
        versions: dict[str, tuple[rules.Version, ...]] = {}
        rollouts = {}
        for word in text.split():
            model, _, rest = word.lstrip("-").partition(":")
            version, _, target = rest.partition(">")
            row = rules.Version(model, version, word.startswith("-"), _LINE)
            versions[model] = (*versions.get(model, ()), row)
            if target:
                rollouts[model] = rules.Rollout(
                    model, version, target, (0.1, 1.0), 1.0, 5, False, _LINE
                )
        return _rules(versions, rollouts)

    def diff(self, old: rules.Rules, new: rules.Rules) -> tuple[str, ...]:
        return (
            f"{sorted(old.versions_by_model)} to "
            f"{sorted(new.versions_by_model)}",
        )


def _rules(
    versions: dict[str, tuple[rules.Version, ...]],
    rollouts: dict[str, rules.Rollout],
) -> rules.Rules:
    return rules.Rules(
        edited_from=0,
        teams_by_name={},
        team_name_by_key_hash={},
        models_by_name={},
        versions_by_model=versions,
        allowed_by_team={},
        cascades_by_name={},
        rollouts_by_model=rollouts,
        services_by_name={},
        kinds_by_name={},
        limits_by_team={},
        lines_by_number={},
    )


@pytest.fixture
def parser() -> state.RulesParser:
    return WordParser()


@pytest.fixture
def clock() -> core.ManualClock:
    return core.ManualClock(start_s=100.0)


@pytest.fixture
def client(
    parser: state.RulesParser, clock: core.ManualClock
) -> state.LocalStateClient:
    return state.LocalStateClient(parser, clock)


#: Short timeouts keep tests with many elections fast.
_SHORT_TIMING = rules.Timing(heartbeat_period_s=0.03, election_timeout_s=0.15)


class Cluster:
    """Voters in one process, connected by a fake network."""

    def __init__(self, names: str, seed: int, timing: rules.Timing) -> None:
        self.timing = timing
        self.rng = random.Random(seed)
        self.network = _fake_network.FakeNetwork(seed)
        self.clock = core.SystemClock()
        self.initial_voters = {name: name for name in names}
        self.disk_by_name: dict[str, _memory_disk.MemoryDisk] = {}
        self.replica_by_name: dict[str, _replica.Replica] = {}
        self.snapshot_bytes = 1 << 30
        for name in names:
            self.start(name)

    def start(self, name: str) -> _replica.Replica:
        """Starts a voter on its disk, which is empty at the first start."""
        disk = self.disk_by_name.setdefault(name, _memory_disk.MemoryDisk())
        replica = _replica.Replica(
            name,
            name,
            self.initial_voters,
            disk,
            self.network.transport(name),
            state.StateMachine(WordParser()),
            self.clock,
            self.timing,
            random.Random(self.rng.random()),
        )
        replica.applier.snapshot_bytes = self.snapshot_bytes
        self.replica_by_name[name] = replica
        self.network.attach(name, replica)
        replica.start()
        return replica

    def crash(self, name: str) -> None:
        """Stops a voter as if by a power loss."""
        replica = self.replica_by_name.pop(name)
        self.network.detach(name)
        disk = self.disk_by_name[name]
        # Later writes must not reach the disk.
        self.disk_by_name[name] = disk.after_crash(self.rng)
        disk.fail_at = 0
        replica.stop()

    def stop(self) -> None:
        """Stops all voters and the network."""
        self.network.heal()
        for replica in self.replica_by_name.values():
            replica.stop()
        self.network.close()

    def leader(self) -> _replica.Replica | None:
        """Returns the voter that leads in the latest term, if any."""
        leaders = [
            replica
            for replica in self.replica_by_name.values()
            if replica.raft.role is _raft.Role.LEADER
        ]
        return max(leaders, key=lambda r: r.raft.log.term, default=None)

    def wait_for(self, condition: Callable[[], object], what: str) -> None:
        """Waits for a condition; the time limit only ends a hung test."""
        end_s = time.monotonic() + 30
        while not condition():
            assert time.monotonic() < end_s, f"timed out waiting for {what}"
            time.sleep(0.005)

    def wait_for_leader(self) -> _replica.Replica:
        """Waits until a quorum confirms a leader."""
        found: list[_replica.Replica] = []

        def confirmed() -> bool:
            leader = self.leader()
            if leader and leader.confirm_leadership(0.5):
                found.append(leader)
            return bool(found)

        self.wait_for(confirmed, "a leader")
        return found[0]

    def propose(self, command: state.Command, tries: int) -> object:
        """Retries the same command at the current leader, as a client."""
        for _ in range(tries):
            leader = self.leader()
            if leader is None:
                time.sleep(0.01)
                continue
            result = leader.propose(command, 0.5)
            if not isinstance(result, (core.Refusal, _replica.NotLeader)):
                return result
        return None

    def wait_for_convergence(self) -> None:
        """Waits until all voters have applied the whole, same log."""

        def converged() -> bool:
            found = {
                (r.raft.applied_index, r.raft.log.last.index)
                for r in self.replica_by_name.values()
            }
            return len(found) == 1 and len(set(found.pop())) == 1

        self.wait_for(converged, "equal logs")


@pytest.fixture
def make_cluster() -> Iterator[Callable[..., Cluster]]:
    made: list[Cluster] = []

    def make(
        names: str = "abc", seed: int = 0, timing: rules.Timing = _SHORT_TIMING
    ) -> Cluster:
        made.append(Cluster(names, seed, timing))
        return made[-1]

    yield make
    for cluster in made:
        cluster.stop()
