"""Measures gossip dissemination, failure detection and the idle cost.

Up to 12 instances run as processes that use gRPC over loopback. Larger
numbers are simulated; the simulation counts rounds and bytes but has no time.
"""

import dataclasses
import math
import multiprocessing
import random
import time
from collections.abc import Callable, Sequence

import numpy as np

import mulberry_core as core
import mulberry_membership as membership
from mulberry_experiments import _entry, _membership_worker

_INSTANCES = 12
_DISSEMINATION_TARGET = "<= 3000"
#: Targets for all control traffic and control work of a node.
_BYTES_TARGET = "<= 5000"
_CPU_TARGET = "<= 1.8"
#: Range of pauses between leaving upstreams, seconds; randomized so that the
#: events are not synchronized with the gossip exchanges.
_EVENT_INTERVAL_S = (0.1, 0.6)
#: Time after all instances have joined for traffic to settle, seconds.
_SETTLE_S = 4.0
_TIMEOUT_S = 30.0


class Fleet:
    """Instances as separate processes on loopback."""

    def __init__(self, count: int) -> None:
        context = multiprocessing.get_context("spawn")
        self._workers = [
            _membership_worker.WorkerHandle(context, f"i{index}")
            for index in range(count)
        ]

    def __enter__(self) -> "Fleet":
        addresses = [worker.address() for worker in self._workers]
        for worker in self._workers:
            worker.call("join", tuple(addresses[:2]))
        deadline_s = time.monotonic() + _TIMEOUT_S
        while not self._all_joined():
            if time.monotonic() > deadline_s:
                raise TimeoutError(
                    "the instances did not join each other in time"
                )
            time.sleep(0.2)
        time.sleep(_SETTLE_S)
        return self

    def __exit__(self, *_: object) -> None:
        for worker in self._workers:
            worker.stop()

    def __len__(self) -> int:
        return len(self._workers)

    def announce(self, index: int, name: str, leaving: bool) -> float:
        """Announces an upstream at one instance; returns the start time."""
        at_s = self._workers[index].call("announce", name, leaving)
        assert isinstance(at_s, float)
        return at_s

    def leaving_times(self, name: str) -> list[float]:
        """Returns when each instance first listed the upstream as leaving."""
        return self._wait_for_times("leaving_since", name)

    def failure_detection_times(self, name: str) -> list[float]:
        """Returns when each instance declared the named one dead."""
        return self._wait_for_times("dead_since", name)

    def kill_last(self) -> tuple[str, float]:
        """Kills the last instance; returns its name and the start time."""
        started_s = core.SystemClock().now()
        self._workers.pop().kill()
        return f"i{len(self._workers)}", started_s

    def load(self, upstreams: int, changing: bool) -> None:
        """Announces upstreams every second, distributed over the instances."""
        for index, worker in enumerate(self._workers):
            own = len(range(index, upstreams, len(self._workers)))
            worker.call("load", own, changing)

    def usage(self, seconds: float) -> _membership_worker.Usage:
        """Returns the mean usage per instance over an interval."""
        before = [worker.usage() for worker in self._workers]
        time.sleep(seconds)
        after = [worker.usage() for worker in self._workers]
        each = [new.since(old) for new, old in zip(after, before, strict=True)]
        return _membership_worker.mean(each)

    def _wait_for_times(self, command: str, name: str) -> list[float]:
        deadline_s = time.monotonic() + _TIMEOUT_S
        while time.monotonic() < deadline_s:
            times = [worker.call(command, name) for worker in self._workers]
            found = [item for item in times if isinstance(item, float)]
            if len(found) == len(self._workers):
                return found
            time.sleep(0.05)
        raise TimeoutError(f"{command} {name}: not reported by all instances")

    def _all_joined(self) -> bool:
        return all(
            worker.call("members") == len(self._workers)
            for worker in self._workers
        )


def measure_dissemination(events: int, seed: int) -> tuple[_entry.Row, ...]:
    """Measures how fast the announcement of a leaving upstream spreads."""
    rng = random.Random(seed)
    per_instance_ms: list[float] = []
    slowest_ms: list[float] = []
    with Fleet(_INSTANCES) as fleet:
        for event in range(events):
            announcer, name = rng.randrange(_INSTANCES), f"u{event}"
            fleet.announce(announcer, name, leaving=False)
            time.sleep(rng.uniform(*_EVENT_INTERVAL_S))
            started_s = fleet.announce(announcer, name, leaving=True)
            delays_ms = [
                (at_s - started_s) * 1000 for at_s in fleet.leaving_times(name)
            ]
            per_instance_ms += delays_ms
            slowest_ms.append(max(delays_ms))
    rows = []
    for name, values in (
        ("one instance", per_instance_ms),
        ("all instances", slowest_ms),
    ):
        for percent in (50, 99):
            rows.append(
                _entry.Row(
                    f"membership: leaving upstream known to {name} of "
                    f"{_INSTANCES}, {percent}th percentile of {events} events",
                    float(np.percentile(values, percent)),
                    "ms",
                    _DISSEMINATION_TARGET,
                )
            )
    return tuple(rows)


def measure_failure_detection(events: int) -> tuple[_entry.Row, ...]:
    """Measures how fast all instances declare a killed one dead."""
    slowest_s = []
    with Fleet(_INSTANCES) as fleet:
        for _ in range(events):
            name, started_s = fleet.kill_last()
            slowest_s.append(
                max(fleet.failure_detection_times(name)) - started_s
            )
    return (
        _entry.Row(
            f"membership: killed instance of {_INSTANCES} dead everywhere, "
            f"longest of {events}",
            max(slowest_s),
            "s",
            "",
        ),
    )


def measure_idle(
    counts: Sequence[int], seconds: float
) -> tuple[_entry.Row, ...]:
    """Measures the cost of an instance by the number of instances."""
    usages = []
    for count in counts:
        with Fleet(count) as fleet:
            usages.append(fleet.usage(seconds))
    rows = _usage_rows(f"idle, {counts[-1]} instances", usages[-1])
    rows += _slope_rows("for each further instance", counts, usages)
    return tuple(rows)


def measure_upstreams(
    counts: Sequence[int], seconds: float, changing: bool
) -> tuple[_entry.Row, ...]:
    """Measures the cost of one of 12 instances by the number of upstreams.

    Args:
        counts: Numbers of upstreams in ascending order.
        seconds: Length of each measurement interval.
        changing: Whether the load of each upstream changes every second by
            more than the publication threshold, or stays constant.
    """
    usages = []
    with Fleet(_INSTANCES) as fleet:
        for count in counts:
            fleet.load(count, changing)
            time.sleep(_SETTLE_S)
            usages.append(fleet.usage(seconds))
    label = "changing" if changing else "steady"
    rows = _usage_rows(
        f"{_INSTANCES} instances, {counts[-1]} {label} upstreams", usages[-1]
    )
    rows += _slope_rows(f"for each further {label} upstream", counts, usages)
    return tuple(rows)


def measure_simulated(
    counts: Sequence[int], seed: int
) -> tuple[_entry.Row, ...]:
    """Counts gossip rounds and bytes of simulated instances.

    A real instance forwards an urgent change without waiting for its next
    exchange, so the rounds are an upper bound of the exchange periods.
    """
    rows = []
    for count in counts:
        simulation = membership.Simulation(count, seed)
        joined = _rounds_until(simulation, simulation.has_converged)
        simulation.rounds(8)
        before = simulation.counters.count("membership.bytes_out")
        idle_rounds = 8
        simulation.rounds(idle_rounds)
        sent = simulation.counters.count("membership.bytes_out") - before
        period_s = membership.Timing().exchange_period_s
        rows += [
            _entry.Row(
                f"membership: simulated join of {count} instances",
                float(joined),
                "rounds of 250 ms",
            ),
            _entry.Row(
                f"membership: simulated leaving upstream known to all "
                f"{count} instances",
                float(_dissemination_rounds(simulation)),
                "rounds of 250 ms",
                "<= 12",
            ),
            _entry.Row(
                f"membership: simulated idle messages sent by one of "
                f"{count} instances, without HTTP/2 and TCP",
                sent / count / (idle_rounds * period_s),
                "bytes/s",
                _BYTES_TARGET,
            ),
        ]
    return tuple(rows)


def measure(seed: int, quick: bool = False) -> tuple[_entry.Row, ...]:
    """Runs all measurements of this module.

    Args:
        seed: Seed of the events and of the simulation.
        quick: Whether to use shorter intervals and fewer events.
    """
    seconds = 3.0 if quick else 15.0
    upstreams = (0, 60, 120) if quick else (0, 120, 240, 480)
    sizes = (12, 64) if quick else (12, 64, 128, 330)
    return (
        *measure_dissemination(20 if quick else 200, seed),
        *measure_failure_detection(2 if quick else 6),
        *measure_idle((4, 8, 12), seconds),
        *measure_upstreams(upstreams, seconds, changing=False),
        *measure_upstreams(upstreams, seconds, changing=True),
        *measure_simulated(sizes, seed),
    )


def _dissemination_rounds(simulation: membership.Simulation) -> int:
    directories = [
        membership.UpstreamDirectory(
            instance, simulation.clock, simulation.counters
        )
        for instance in simulation.instances_by_name.values()
    ]
    ready = _membership_worker.announcement("u", 1, leaving=False, running=0)
    directories[0].announce(ready)
    simulation.rounds(math.ceil(math.log2(len(directories))) + 2)
    directories[0].announce(
        dataclasses.replace(
            ready, sequence=2, state=membership.UpstreamState.LEAVING
        )
    )
    kind = membership.RecordKind.UPSTREAM
    return _rounds_until(
        simulation,
        lambda: all(
            instance.records(kind)["u"].sequence == 2
            for instance in simulation.instances_by_name.values()
        ),
    )


def _rounds_until(
    simulation: membership.Simulation, predicate: Callable[[], bool]
) -> int:
    rounds = 0
    while not predicate():
        simulation.round()
        rounds += 1
    return rounds


def _usage_rows(
    label: str, usage: _membership_worker.Usage
) -> list[_entry.Row]:
    return [
        _entry.Row(
            f"membership: {label}, sent by one with TCP/IP headers",
            usage.wire_bytes / usage.seconds,
            "bytes/s",
            _BYTES_TARGET,
        ),
        _entry.Row(
            f"membership: {label}, messages sent by one",
            usage.message_bytes / usage.seconds,
            "bytes/s",
        ),
        _entry.Row(
            f"membership: {label}, processor of one",
            100 * usage.cpu_s / usage.seconds,
            "% of a core",
            _CPU_TARGET,
        ),
    ]


def _slope_rows(
    label: str,
    counts: Sequence[int],
    usages: Sequence[_membership_worker.Usage],
) -> list[_entry.Row]:
    wire = [usage.wire_bytes / usage.seconds for usage in usages]
    cpu = [100 * usage.cpu_s / usage.seconds for usage in usages]
    return [
        _entry.Row(
            f"membership: sent by one {label}, {counts[0]} to {counts[-1]}",
            float(np.polyfit(counts, wire, 1)[0]),
            "bytes/s",
        ),
        _entry.Row(
            f"membership: processor of one {label}, {counts[0]} to {counts[-1]}",
            float(np.polyfit(counts, cpu, 1)[0]),
            "% of a core",
        ),
    ]
