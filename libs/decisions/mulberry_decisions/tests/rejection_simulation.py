"""Simulates upstreams that fail if they reject too many requests a second."""

import collections
import dataclasses
import heapq
import random
from collections.abc import Callable
from typing import Any

import mulberry_core as core
import mulberry_decisions as decisions

_SERVICE = "s"
#: One-way delay between instances and upstreams, seconds.
_DELAY_S = 0.001
#: Time from the first announcement of the limit until it applies, seconds.
_ANNOUNCED_BEFORE_S = 3.5
_ANNOUNCED_AT_S = 2.0
_RESTART_S = 4.0
_BACKOFF_S = 1.0
#: Interval at which instances publish limits, and the time until the others
#: receive them, seconds.
_PUBLICATION_PERIOD_S = 1.0
_PUBLICATION_DELAY_S = 1.0


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A service, its callers and the limit of its upstreams."""

    instances: int
    upstreams: int
    limit: int
    slots: int = 8
    #: Mean run time, seconds.
    run_s: float = 0.5
    #: Arrivals as a multiple of what the upstreams can run, and from
    #: `burst_from_s` until `burst_until_s`.
    load: float = 0.5
    burst: float = 2.5
    burst_from_s: float = 8.0
    burst_until_s: float = 18.0
    end_s: float = 30.0
    #: Requests that may wait at an upstream, before and while the limit
    #: applies, as a multiple of the slots.
    queue: float = 2.0
    short_queue: float = 0.5
    #: Share of the instances that callers use.
    used_instances: float = 1.0
    #: Share of the upstreams that are lost by another cause, and when.
    lost_share: float = 0.0
    lost_at_s: float = 10.0
    reports_load: bool = False


class LimitingInstance:
    """Chooses upstreams as an instance of the router does."""

    def __init__(self, simulation: "Simulation", position: int) -> None:
        scenario = simulation.scenario
        self.load = decisions.LoadEstimator(simulation.clock)
        self.limiter = decisions.RejectionLimiter(
            simulation.clock, simulation.random
        )
        self.unreachable_until_s: dict[str, float] = {}
        self._placement = decisions.PowerOfTwoChoices("z", simulation.random)
        self._scenario = scenario
        self._names = simulation.names
        self._clock = simulation.clock
        self._shares = decisions.slot_shares(
            [
                decisions.SharedUpstream(name, "z", "", scenario.slots)
                for name in self._names
            ],
            decisions.InstanceRank(position, scenario.instances),
        )

    def choose(self, failed: frozenset[str]) -> str | core.Missing:
        """Returns the upstream of the next attempt; unset for none."""
        now_s = self._clock.now()
        loads = self.load.estimates(self._names)
        candidates = [
            decisions.UpstreamCandidate(name, "z", self._scenario.slots, load)
            for name, load in loads.items()
            if name not in failed
            and self.unreachable_until_s.get(name, 0.0) <= now_s
        ]
        admitted = self.admit(candidates)
        if isinstance(admitted, float):
            return core.Missing.UNSET
        chosen = self._placement.choose(admitted, "")
        return chosen if isinstance(chosen, core.Missing) else chosen.name

    def admit(self, candidates: list[decisions.UpstreamCandidate]) -> Any:
        return self.limiter.admit(
            _SERVICE,
            candidates,
            self._shares,
            self.load.own_requests,
            self._scenario.instances,
            self._scenario.upstreams,
        )

    def answered(self, name: str, limit: int | core.Missing) -> None:
        self.limiter.answered(_SERVICE, name, limit)

    def rejected(self, name: str) -> None:
        self.limiter.rejected(_SERVICE, name)


class UnlimitedInstance(LimitingInstance):
    """Ignores the limit, as upstreams without one are treated."""

    def admit(self, candidates: list[decisions.UpstreamCandidate]) -> Any:
        return candidates


@dataclasses.dataclass
class _Upstream:
    running: int = 0
    queue: collections.deque[Callable[[], None]] = dataclasses.field(
        default_factory=collections.deque
    )
    rejected_s: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    starts: int = 0
    down_until_s: float = 0.0


class Simulation:
    """Runs a scenario and counts what callers and operators would see."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        instance_type: type[LimitingInstance] = LimitingInstance,
    ) -> None:
        self.scenario = scenario
        self.clock = core.ManualClock()
        self.random = random.Random(seed)
        self.names = [f"w{n:03d}" for n in range(scenario.upstreams)]
        self.upstreams = {name: _Upstream() for name in self.names}
        self.instances = [
            instance_type(self, position)
            for position in range(scenario.instances)
        ]
        self.arrived = 0
        self.served = 0
        self.served_in_burst = 0
        self.rejections = 0
        self.failures = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._now_s = 0.0

    def run(self) -> "Simulation":
        """Runs the scenario to its end."""
        self._after(0.0, self._arrive)
        self._after(self.scenario.lost_at_s, self._lose_upstreams)
        self._after(0.0, self._publish)
        while self._events:
            at_s, _, event = heapq.heappop(self._events)
            if at_s > self.scenario.end_s:
                break
            self.clock.advance(at_s - self._now_s)
            self._now_s = at_s
            event()
        return self

    @property
    def served_share(self) -> float:
        """Share of all requests that were served."""
        return self.served / self.arrived

    @property
    def burst_throughput(self) -> float:
        """Requests served in the burst, relative to what slots allow."""
        scenario = self.scenario
        duration_s = scenario.burst_until_s - scenario.burst_from_s
        return self.served_in_burst / (self._capacity_per_s() * duration_s)

    @property
    def allowed_failures(self) -> float:
        return 2.0 + 0.1 * self.scenario.upstreams

    def _capacity_per_s(self) -> float:
        scenario = self.scenario
        return scenario.upstreams * scenario.slots / scenario.run_s

    def _after(self, delay_s: float, event: Callable[[], None]) -> None:
        self._event_count += 1
        heapq.heappush(
            self._events, (self._now_s + delay_s, self._event_count, event)
        )

    def _in_burst(self) -> bool:
        scenario = self.scenario
        return scenario.burst_from_s <= self._now_s < scenario.burst_until_s

    def _arrive(self) -> None:
        scenario = self.scenario
        load = scenario.burst if self._in_burst() else scenario.load
        self._after(
            self.random.expovariate(load * self._capacity_per_s()), self._arrive
        )
        self.arrived += 1
        used = max(1, round(scenario.instances * scenario.used_instances))
        # Not the first ones, whose shares are adjacent.
        position = self.random.randrange(used) * scenario.instances // used
        self._try(self.instances[position], frozenset())

    def _try(self, instance: LimitingInstance, failed: frozenset[str]) -> None:
        """Tries up to three upstreams, as routes of the platform allow."""
        if len(failed) == 3:
            return
        name = instance.choose(failed)
        if isinstance(name, core.Missing):
            return
        instance.load.started(name)
        self._after(_DELAY_S, lambda: self._reach(instance, name, failed))

    def _reach(
        self, instance: LimitingInstance, name: str, failed: frozenset[str]
    ) -> None:
        scenario, upstream = self.scenario, self.upstreams[name]
        if upstream.down_until_s > self._now_s:
            instance.load.ended(name)
            instance.unreachable_until_s[name] = self._now_s + _BACKOFF_S
            self._try(instance, failed | {name})
            return
        applies = self._now_s >= _ANNOUNCED_AT_S + _ANNOUNCED_BEFORE_S
        queue = scenario.short_queue if applies else scenario.queue
        if upstream.running < scenario.slots:
            self._start(instance, name)
        elif len(upstream.queue) < queue * scenario.slots:
            upstream.queue.append(lambda: self._start(instance, name))
        else:
            self._reject(instance, name, failed)

    def _reject(
        self, instance: LimitingInstance, name: str, failed: frozenset[str]
    ) -> None:
        upstream = self.upstreams[name]
        self.rejections += 1
        rejected_s = upstream.rejected_s
        rejected_s.append(self._now_s)
        while rejected_s[0] <= self._now_s - 1.0:
            rejected_s.popleft()
        applies = self._now_s >= _ANNOUNCED_AT_S + _ANNOUNCED_BEFORE_S
        if applies and len(rejected_s) > self.scenario.limit:
            self.failures += 1
            self._fail(upstream)

        def receive() -> None:
            self._receive(instance, name)
            instance.rejected(name)
            self._try(instance, failed | {name})

        self._after(_DELAY_S, receive)

    def _start(self, instance: LimitingInstance, name: str) -> None:
        upstream = self.upstreams[name]
        upstream.running += 1
        start = upstream.starts

        def end() -> None:
            if upstream.starts != start:
                instance.load.ended(name)
                return
            upstream.running -= 1
            if upstream.queue:
                upstream.queue.popleft()()
            self.served += 1
            self.served_in_burst += self._in_burst()
            self._receive(instance, name)

        run_s = self.random.gammavariate(2.0, self.scenario.run_s / 2.0)
        self._after(run_s, end)

    def _receive(self, instance: LimitingInstance, name: str) -> None:
        """Handles the head of an answer."""
        announced = self._now_s >= _ANNOUNCED_AT_S
        limit = self.scenario.limit if announced else core.Missing.UNSET
        if self.scenario.reports_load:
            upstream = self.upstreams[name]
            instance.load.reported(
                name,
                decisions.LoadReport(
                    upstream.running, len(upstream.queue), self.scenario.slots
                ),
            )
        instance.load.ended(name)
        instance.answered(name, limit)

    def _publish(self) -> None:
        limits: dict[str, int] = {}
        for instance in self.instances:
            limits.update(instance.limiter.confirmed_limits())

        def receive() -> None:
            for service, limit in limits.items():
                for instance in self.instances:
                    instance.limiter.heard_elsewhere(service, limit)

        self._after(_PUBLICATION_DELAY_S, receive)
        self._after(_PUBLICATION_PERIOD_S, self._publish)

    def _lose_upstreams(self) -> None:
        scenario = self.scenario
        lost = round(scenario.lost_share * scenario.upstreams)
        for name in self.random.sample(self.names, lost):
            self._fail(self.upstreams[name])

    def _fail(self, upstream: _Upstream) -> None:
        upstream.starts += 1
        upstream.running = 0
        for start in upstream.queue:
            # Ends as a run of the earlier start, without an answer.
            start()
        upstream.queue.clear()
        upstream.starts += 1
        upstream.running = 0
        upstream.rejected_s.clear()
        upstream.down_until_s = self._now_s + _RESTART_S
