"""Time to first token on a fleet of engines shared by many entries.

The engine model has slots, a priority queue, sequential prefill, a session
prefix cache, and a decode step time that grows with the number of running
requests. As in production, entries know only their own requests and the
loads reported with answers.
"""

import collections
import dataclasses
import functools
import heapq
import itertools
import random
from collections.abc import Callable

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_experiments import _measure

_SECONDS = 40.0
_WARM_UP_S = 6.0
#: Start and end of a burst, seconds, and its factor on the arrival rate.
_BURST = (18.0, 23.0, 1.4)
_ZONES = ("coban-a", "coban-b", "carcha-c")
#: Share of the callers in each zone.
_ZONE_SHARES = (0.30, 0.30, 0.40)
#: Token times of the small and the large model, relative to the engine's
#: step time.
_TOKEN_TIME_FACTORS = (0.3, 3.0)
#: Share of requests that escalate from the small to the large model.
_ESCALATION_SHARE = 0.42
_FIRST_TOKEN_MS = 62.0
_STEP_MS = 3.27
_STEP_MS_PER_RUNNING = 0.0823
_PREFILL_TOKENS_PER_MS = 125.0
#: Number of sessions whose prompt prefix an engine caches.
_CACHED_SESSIONS = 60


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of request, as specified by the users."""

    name: str
    priority: int
    requests_per_s: float
    shared_tokens: int
    unique_tokens: int
    output_tokens: int
    sessions: int
    target_s: float


#: Kinds of the grown site `ajubase`; rates are totals over all entries.
_KINDS = (
    Kind("plan", 1, 61.0, 5382, 1228, 382, 874, 2.045),
    Kind("chat", 0, 58.2, 198, 430, 292, 1246, 1.019),
    Kind("tag", 2, 138.0, 568, 1232, 23, 1318, 1.522),
)


@dataclasses.dataclass(frozen=True)
class Fleet:
    """Size and load of a deployment."""

    name: str
    entries: int
    engines: int
    slots: int
    #: Arrival rate relative to the grown site.
    load: float


FLEETS = (
    Fleet("12 entries, 6 engines", 12, 6, 64, 0.42),
    Fleet("69 entries, 45 engines", 69, 45, 16, 1.0),
)


@dataclasses.dataclass
class _Run:
    kind: Kind
    session: str
    zone: str
    entry: int
    began_s: float
    attempt: int = 1
    token_time_factor: float = _TOKEN_TIME_FACTORS[0]


class _Engine:
    """Runs requests in slots, with sequential prefill."""

    def __init__(self, name: str, zone: str, slots: int) -> None:
        self.name = name
        self.zone = zone
        self.slots = slots
        self.running = 0
        self.waiting: list[tuple[int, int, _Run]] = []
        self.prefill_until_s = 0.0
        self.cached_sessions: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def first_token_s(self, run: _Run, now_s: float) -> float:
        """Starts prefill and returns the time of the first token."""
        tokens = run.kind.unique_tokens
        if run.session not in self.cached_sessions:
            tokens += run.kind.shared_tokens
        self.cached_sessions[run.session] = None
        self.cached_sessions.move_to_end(run.session)
        while len(self.cached_sessions) > _CACHED_SESSIONS:
            self.cached_sessions.popitem(last=False)
        prefill_s = (
            tokens * run.token_time_factor / _PREFILL_TOKENS_PER_MS / 1000
        )
        self.prefill_until_s = max(self.prefill_until_s, now_s) + prefill_s
        return (
            self.prefill_until_s
            + _FIRST_TOKEN_MS * run.token_time_factor / 1000
        )

    def decode_s(self, run: _Run) -> float:
        """Returns the decode time of the tokens after the first."""
        step_ms = _STEP_MS + _STEP_MS_PER_RUNNING * self.running
        return run.kind.output_tokens * step_ms * run.token_time_factor / 1000


class _Entry:
    """Load estimates and engine choice of one entry."""

    def __init__(
        self, zone: str, clock: core.Clock, rng: random.Random
    ) -> None:
        self.load_estimator = decisions.LoadEstimator(clock)
        self.zone = zone
        self._affinity = decisions.SessionAffinity(
            zone, decisions.PowerOfTwoChoices(zone, rng)
        )

    def choose(self, engines: list[_Engine], session: str) -> _Engine:
        """Returns the engine for a request."""
        loads = self.load_estimator.estimates(
            [engine.name for engine in engines]
        )
        candidates = [
            decisions.UpstreamCandidate(
                engine.name, engine.zone, engine.slots, loads[engine.name]
            )
            for engine in engines
        ]
        chosen = self._affinity.choose(candidates, session)
        assert isinstance(chosen, decisions.UpstreamCandidate)
        return next(e for e in engines if e.name == chosen.name)


@dataclasses.dataclass
class Result:
    """Results of a simulated fleet."""

    #: Times to first token as seen by callers, by kind, seconds.
    first_token_s_by_kind: dict[str, list[float]]
    cross_zone: int = 0
    answers: int = 0
    #: Running and waiting requests of the busiest engine, relative to the mean
    #: and averaged over samples.
    peak_to_mean_load: float = 0.0

    def share_in_time(self) -> float:
        """Returns the share of requests whose first token met its target."""
        target_s_by_kind = {kind.name: kind.target_s for kind in _KINDS}
        in_time = sum(
            sum(first <= target_s_by_kind[name] for first in times)
            for name, times in self.first_token_s_by_kind.items()
        )
        return in_time / sum(map(len, self.first_token_s_by_kind.values()))


class _Simulation:
    def __init__(self, fleet: Fleet, seed: int, seconds: float) -> None:
        self._rng = random.Random(seed)
        self._clock = core.ManualClock()
        self._engines = [
            _Engine(f"e{n}", _ZONES[n % len(_ZONES)], fleet.slots)
            for n in range(fleet.engines)
        ]
        self._entries = [
            _Entry(
                _ZONES[n % len(_ZONES)],
                self._clock,
                random.Random(seed * 1000 + n),
            )
            for n in range(fleet.entries)
        ]
        self._fleet = fleet
        self._seconds = seconds
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._result = Result(collections.defaultdict(list))
        self._samples: list[float] = []

    def run(self) -> Result:
        """Simulates the load of the fleet."""
        for kind in _KINDS:
            self._schedule(0.0, functools.partial(self._arrive, kind))
        self._schedule(1.0, self._sample)
        while self._events:
            at_s, _, action = heapq.heappop(self._events)
            self._clock.advance(at_s - self._clock.now())
            action()
        self._result.peak_to_mean_load = sum(self._samples) / len(self._samples)
        return self._result

    def _schedule(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._event_numbers), action))

    def _arrive(self, kind: Kind) -> None:
        now_s = self._clock.now()
        if now_s >= self._seconds:
            return
        began_s, ended_s, factor = _BURST
        rate = kind.requests_per_s * self._fleet.load
        if began_s <= now_s < ended_s:
            rate *= factor
        self._schedule(
            now_s + self._rng.expovariate(rate), lambda: self._arrive(kind)
        )
        zone = self._rng.choices(_ZONES, _ZONE_SHARES)[0]
        local_entries = [
            n for n, entry in enumerate(self._entries) if entry.zone == zone
        ]
        number = int(kind.sessions * self._fleet.load * self._rng.random())
        run = _Run(
            kind,
            f"{kind.name}/{number}",
            zone,
            self._rng.choice(local_entries),
            now_s,
        )
        self._place(run)

    def _place(self, run: _Run) -> None:
        entry = self._entries[run.entry]
        engine = entry.choose(self._engines, run.session)
        entry.load_estimator.started(engine.name)
        self._result.answers += 1
        self._result.cross_zone += engine.zone != run.zone
        level = decisions.urgency(run.kind.priority, run.attempt)
        if engine.running < engine.slots:
            self._begin(engine, run)
        else:
            heapq.heappush(
                engine.waiting, (level, next(self._event_numbers), run)
            )

    def _begin(self, engine: _Engine, run: _Run) -> None:
        engine.running += 1
        at_s = engine.first_token_s(run, self._clock.now())
        self._schedule(at_s, lambda: self._emit_first_token(engine, run))

    def _emit_first_token(self, engine: _Engine, run: _Run) -> None:
        now_s = self._clock.now()
        entry = self._entries[run.entry]
        entry.load_estimator.reported(
            engine.name,
            decisions.LoadReport(
                engine.running, len(engine.waiting), engine.slots
            ),
        )
        if run.attempt == 1 and self._rng.random() < _ESCALATION_SHARE:
            self._end(engine, run)
            self._place(
                dataclasses.replace(
                    run, attempt=2, token_time_factor=_TOKEN_TIME_FACTORS[1]
                )
            )
            return
        if run.began_s >= _WARM_UP_S:
            self._result.first_token_s_by_kind[run.kind.name].append(
                now_s - run.began_s
            )
        self._schedule(
            now_s + engine.decode_s(run), lambda: self._end(engine, run)
        )

    def _end(self, engine: _Engine, run: _Run) -> None:
        self._entries[run.entry].load_estimator.ended(engine.name)
        engine.running -= 1
        if engine.waiting:
            self._begin(engine, heapq.heappop(engine.waiting)[2])

    def _sample(self) -> None:
        loads = [e.running + len(e.waiting) for e in self._engines]
        mean = sum(loads) / len(loads)
        if mean and self._clock.now() >= _WARM_UP_S:
            self._samples.append(max(loads) / mean)
        if self._clock.now() < self._seconds:
            self._schedule(self._clock.now() + 0.5, self._sample)


def simulate(fleet: Fleet, seed: int, seconds: float = _SECONDS) -> Result:
    """Simulates the load of one fleet."""
    return _Simulation(fleet, seed, seconds).run()


def run(seed: int) -> list[_measure.Row]:
    """Measures both fleets at their usual load and at 1.5 times that load."""
    rows = []
    for fleet in FLEETS:
        for factor in (1.0, 1.5):
            scaled_fleet = dataclasses.replace(fleet, load=factor * fleet.load)
            result = simulate(scaled_fleet, seed)
            for name, figure, unit, target in (
                ("in aim", result.share_in_time(), "share", ">= 0.95"),
                ("busiest engine", result.peak_to_mean_load, "x mean", ""),
                (
                    "across zones",
                    result.cross_zone / result.answers,
                    "share",
                    "",
                ),
            ):
                rows.append(
                    _measure.Row(
                        "placement",
                        "affinity",
                        f"{fleet.name}, {factor:g}x: {name}",
                        figure,
                        unit,
                        target,
                    )
                )
    return rows
