"""Latency of upstream choosers at ten entries with delayed load reports."""

import collections
import dataclasses
import random

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_experiments import _measure
from mulberry_experiments._decisions import _simulation

_ENTRIES = 10
_ENGINES = 9
_ZONES = 3
_SLOTS_PER_ENGINE = 8
_SECONDS = 240.0
_WARM_UP_S = 30.0
#: Time at which one engine restarts with an empty cache, seconds.
_RESTART_AT_S = 120.0
#: Time at half speed after the restart, seconds.
_COLD_S = 20.0
_REPORT_PERIOD_S = 1.0
_SESSIONS = 150
_MAX_BLOCKS = 10
#: Prefill time of one prompt block that is not cached, seconds.
_PREFILL_S_PER_BLOCK = 0.2
#: Capacity of the prefix cache of an engine, blocks.
_CACHE_CAPACITY_BLOCKS = 150
#: Maximum delay of cache events, seconds, and their loss rate.
_MAX_EVENT_DELAY_S = 3.0
_EVENT_LOSS_RATE = 0.1
_REQUESTS_PER_S = 27.0


@dataclasses.dataclass
class _Request:
    work: decisions.Work
    entry: int
    at_s: float
    decode_s: float


class _Engine:
    """An engine with slots, a queue and an LRU prefix cache."""

    def __init__(self, number: int, simulation: _simulation.Simulation) -> None:
        self.name = f"u{number}"
        self.zone = f"z{number % _ZONES}"
        self.incarnation = 1
        self.started_at_s = float("-inf")
        self.sequence = 0
        self.running = 0
        self.queue: collections.deque[_Request] = collections.deque()
        self.cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._simulation = simulation

    def restart(self) -> None:
        """Clears the cache and starts the slow phase; running requests continue."""
        self.incarnation += 1
        self.sequence = 0
        self.started_at_s = self._simulation.now_s
        self.cache.clear()

    def run_s(self, request: _Request) -> tuple[float, int]:
        """Returns the run time and the number of cached blocks."""
        prefixes = request.work.prefixes
        cached = 0
        for index, digest in enumerate(prefixes):
            if digest in self.cache:
                cached = index + 1
        seconds = request.decode_s + _PREFILL_S_PER_BLOCK * (
            len(prefixes) - cached
        )
        cold = self._simulation.now_s - self.started_at_s < _COLD_S
        return seconds * (2.0 if cold else 1.0), cached

    def store(self, prefixes: tuple[str, ...]) -> decisions.CacheEvent:
        """Caches the blocks and returns the cache event to publish."""
        for digest in prefixes:
            self.cache[digest] = None
            self.cache.move_to_end(digest)
        dropped = []
        while len(self.cache) > _CACHE_CAPACITY_BLOCKS:
            dropped.append(self.cache.popitem(last=False)[0])
        self.sequence += 1
        return decisions.CacheEvent(
            self.name,
            self.incarnation,
            self.sequence,
            prefixes,
            tuple(dropped),
        )


class _Cluster:
    """Entries and engines; load reports reach the entries after a delay."""

    def __init__(self, policy: str, lag_s: float, seed: int) -> None:
        self._simulation = _simulation.Simulation()
        self._rng = random.Random(f"{seed} upstreams")
        self._engines = [
            _Engine(index, self._simulation) for index in range(_ENGINES)
        ]
        self._engine_by_name = {engine.name: engine for engine in self._engines}
        self._choosers = [
            _chooser(policy, self._simulation.clock, index, seed)
            for index in range(_ENTRIES)
        ]
        self._reports: dict[str, tuple[int, int, float]] = {}
        self._in_flight: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )
        self._lag_s = lag_s
        self.latencies: list[float] = []
        self.blocks = self.blocks_cached = 0
        self.same_zone = 0

    def run(self) -> None:
        """Serves sessions whose prompts grow with each turn."""
        for engine in self._engines:
            offset = self._rng.random() * _REPORT_PERIOD_S
            self._simulation.after(
                offset,
                lambda engine=engine: self._simulation.every(  # type: ignore[misc]
                    _REPORT_PERIOD_S, lambda: self._report(engine)
                ),
            )
        self._simulation.after(_RESTART_AT_S, self._engines[0].restart)
        turns: collections.Counter[int] = collections.Counter()
        at_s = 0.0
        while at_s < _SECONDS:
            at_s += self._rng.expovariate(_REQUESTS_PER_S)
            self._simulation.run(at_s)
            session = self._rng.randrange(_SESSIONS)
            turns[session] += 1
            self._arrive(session, turns[session])
        self._simulation.run(_SECONDS + 60.0)

    def _report(self, engine: _Engine) -> None:
        load = (engine.running, len(engine.queue), self._simulation.now_s)
        self._simulation.after(
            self._lag_s,
            lambda: self._reports.__setitem__(engine.name, load),
        )

    def _arrive(self, session: int, turn: int) -> None:
        conversation, blocks = divmod(turn, _MAX_BLOCKS)
        prefixes = tuple(
            f"{session}/{conversation}/{block}" for block in range(blocks + 1)
        )
        now_s = self._simulation.now_s
        work = decisions.Work(
            "a",
            "k",
            2,
            now_s + 60.0,
            f"{session}",
            f"{session}/{turn}",
            prefixes,
        )
        entry = self._rng.randrange(_ENTRIES)
        decode_s = self._rng.uniform(0.5, 2.0)
        request = _Request(work, entry, now_s, decode_s)
        states = [self._state(engine, entry) for engine in self._engines]
        chosen = self._choosers[entry].choose(work, states)
        assert isinstance(chosen, decisions.UpstreamState)
        self._choosers[entry].started(work, chosen)
        self._in_flight[entry, chosen.name] += 1
        self.same_zone += chosen.zone == f"z{entry % _ZONES}"
        engine = self._engine_by_name[chosen.name]
        engine.queue.append(request)
        self._start_queued(engine)

    def _state(self, engine: _Engine, entry: int) -> decisions.UpstreamState:
        now_s = self._simulation.now_s
        running, queued, at_s = self._reports.get(engine.name, (0, 0, 0.0))
        return decisions.UpstreamState(
            engine.name,
            engine.name,
            engine.zone,
            engine.incarnation,
            capacity=_SLOTS_PER_ENGINE,
            running=running,
            queued=queued,
            report_age_s=now_s - at_s,
            own_in_flight=self._in_flight[entry, engine.name],
            since_start_s=now_s - engine.started_at_s,
        )

    def _start_queued(self, engine: _Engine) -> None:
        while engine.queue and engine.running < _SLOTS_PER_ENGINE:
            request = engine.queue.popleft()
            engine.running += 1
            seconds, cached = engine.run_s(request)
            self.blocks += len(request.work.prefixes)
            self.blocks_cached += cached
            event = engine.store(request.work.prefixes)
            if self._rng.random() >= _EVENT_LOSS_RATE:
                self._publish(event)
            self._simulation.after(
                seconds,
                lambda request=request: self._complete(  # type: ignore[misc]
                    engine, request
                ),
            )

    def _publish(self, event: decisions.CacheEvent) -> None:
        def apply() -> None:
            for chooser in self._choosers:
                chooser.cache_changed(event)

        self._simulation.after(self._rng.random() * _MAX_EVENT_DELAY_S, apply)

    def _complete(self, engine: _Engine, request: _Request) -> None:
        engine.running -= 1
        latency_s = self._simulation.now_s - request.at_s
        if request.at_s >= _WARM_UP_S:
            self.latencies.append(latency_s)
        self._in_flight[request.entry, engine.name] -= 1
        self._choosers[request.entry].finished(
            request.work,
            self._state(engine, request.entry),
            decisions.Outcome.COMPLETED,
            latency_s,
        )
        self._start_queued(engine)


def _chooser(
    policy: str, clock: core.Clock, entry: int, seed: int
) -> decisions.UpstreamChooser:
    if policy == "two_choices":
        zone = f"z{entry % _ZONES}"
        return decisions.TwoChoices(clock, zone, seed * 100 + entry)
    if policy == "two_random":
        return decisions.TwoRandomChoices(seed * 100 + entry)
    return decisions.UPSTREAM_CHOOSERS[policy](clock, "")


def run(seed: int) -> list[_measure.Row]:
    """Measures all choosers with reports delayed by 0.1 s and by 2 s."""
    rows = []
    for lag_s in (0.1, 2.0):
        for policy in decisions.UPSTREAM_CHOOSERS:
            cluster = _Cluster(policy, lag_s, seed)
            cluster.run()
            for name, figure, unit in (
                (
                    "latency, mean",
                    sum(cluster.latencies) / len(cluster.latencies),
                    "s",
                ),
                (
                    "latency, 95th",
                    _simulation.percentile(cluster.latencies, 0.95),
                    "s",
                ),
                (
                    "latency, 99th",
                    _simulation.percentile(cluster.latencies, 0.99),
                    "s",
                ),
                (
                    "prompt blocks from cache",
                    100.0 * cluster.blocks_cached / cluster.blocks,
                    "%",
                ),
            ):
                rows.append(
                    _measure.Row(
                        "upstreams",
                        policy,
                        f"reports {lag_s:g} s late: {name}",
                        figure,
                        unit,
                    )
                )
    return rows
