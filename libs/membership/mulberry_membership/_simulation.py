"""Simulation of many instances in one process, over a fake network."""

import random

import mulberry_core as core
from mulberry_membership import _fake_network, _members, _membership, _peers


class Simulation:
    """Instances named `i0`, `i1`, ... that run exchanges in rounds.

    The order of the instances within a round is random, because real instances
    do not exchange in a fixed order.
    """

    def __init__(
        self,
        count: int,
        seed: int = 0,
        timing: _peers.Timing = _peers.DEFAULT_TIMING,
        seed_count: int = 2,
    ) -> None:
        """Creates instances that have not joined each other yet.

        Args:
            count: Number of instances.
            seed: Random seed for the order of exchanges and the faults of the
                network.
            timing: Periods and timeouts; a round takes the exchange period.
            seed_count: Number of instances through which the others join.
        """
        self.clock = core.ManualClock(1_000.0)
        self.network = _fake_network.FakeNetwork(self.clock, seed)
        self.counters = core.MemoryCounters()
        self.instances_by_name: dict[str, _membership.Membership] = {}
        self._timing = timing
        self._random = random.Random(seed)
        self._seeds = tuple(f"address-i{index}" for index in range(seed_count))
        for index in range(count):
            self.start(f"i{index}")

    def start(self, name: str, wall_offset_s: float = 0.0) -> None:
        """Starts an instance, or restarts one that was stopped.

        Args:
            name: Name of the instance.
            wall_offset_s: Error of its wall clock at the start, seconds.
        """
        wall_s = self.clock.wall()
        self.clock.set_wall(wall_s + wall_offset_s)
        instance = _membership.Membership(
            name=name,
            address=f"address-{name}",
            zone=f"zone-{len(self.instances_by_name) % 3}",
            region="region",
            seeds=self._seeds,
            transport=self.network.transport(f"address-{name}"),
            clock=self.clock,
            counters=self.counters,
            timing=self._timing,
        )
        self.clock.set_wall(wall_s)
        self.instances_by_name[name] = instance
        self.network.attach(f"address-{name}", instance)

    def crash(self, name: str) -> None:
        """Stops an instance abruptly, without announcing it."""
        self.network.detach(f"address-{name}")
        del self.instances_by_name[name]

    def partition(self, left: list[str], right: list[str]) -> None:
        """Partitions the network between two groups of instances."""
        self.network.partition(
            [f"address-{name}" for name in left],
            [f"address-{name}" for name in right],
        )

    def round(self) -> None:
        """Advances the clock by one exchange period and runs all exchanges."""
        self.clock.advance(self._timing.exchange_period_s)
        self.network.deliver_due()
        names = list(self.instances_by_name)
        self._random.shuffle(names)
        for name in names:
            self.instances_by_name[name].run_once()

    def rounds(self, count: int) -> None:
        """Runs several rounds."""
        for _ in range(count):
            self.round()

    def seconds(self, seconds: float) -> None:
        """Runs as many rounds as the given time takes."""
        self.rounds(round(seconds / self._timing.exchange_period_s))

    def alive_members(self, name: str) -> set[str]:
        """Returns the names of the members that an instance lists as alive."""
        return {
            member.name
            for member in self.instances_by_name[name].members().values()
            if member.state is _members.MemberState.ALIVE
        }

    def has_converged(self) -> bool:
        """Whether each instance lists exactly the running ones as alive."""
        running = set(self.instances_by_name)
        return all(self.alive_members(name) == running for name in running)
