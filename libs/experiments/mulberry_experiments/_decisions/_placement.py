"""Time to the first token on a fleet of engines that many entries share.

A small model of engines: places, a queue by urgency, prompts read one after
another, prompt parts kept for sessions, tokens that slow down as more
requests run. Entries see their own requests and the loads that answers
report, as on the users' platform.
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
#: A burst in the middle of the run multiplies the arrivals.
_BURST = (18.0, 23.0, 1.4)
_ZONES = ("coban-a", "coban-b", "carcha-c")
#: Share of the callers in each zone.
_ZONE_SHARES = (0.30, 0.30, 0.40)
#: Sizes of models by their time for a token against the engine's step.
_PACES = (0.3, 3.0)
#: Share of requests whose first answer is dropped for one of the large model.
_ESCALATE_SHARE = 0.42
_FIRST_MS = 62.0
_STEP_MS = 3.27
_STEP_MS_PER_PLACE = 0.0823
_TOKENS_PER_MS = 125.0
#: Session parts that one engine keeps.
_KEPT_SESSIONS = 60


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of request, by the users' sheet."""

    name: str
    priority: int
    per_s: float
    shared_tokens: int
    own_tokens: int
    out_tokens: int
    sessions: int
    aim_s: float


#: Kinds of the grown site `ajubase`, for all of its entries.
_KINDS = (
    Kind("plan", 1, 61.0, 5382, 1228, 382, 874, 2.045),
    Kind("chat", 0, 58.2, 198, 430, 292, 1246, 1.019),
    Kind("tag", 2, 138.0, 568, 1232, 23, 1318, 1.522),
)


@dataclasses.dataclass(frozen=True)
class Fleet:
    """Sizes of a deployment."""

    name: str
    entries: int
    engines: int
    places: int
    #: Arrivals against those of the grown site.
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
    pace: float = _PACES[0]


class _Engine:
    """Runs requests in places; reads prompts one after another."""

    def __init__(self, name: str, zone: str, places: int) -> None:
        self.name = name
        self.zone = zone
        self.places = places
        self.running = 0
        self.waiting: list[tuple[int, int, _Run]] = []
        self.reads_until_s = 0.0
        self.kept: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def first_token_s(self, run: _Run, now_s: float) -> float:
        """Begins to read the prompt; returns when the first token is there."""
        tokens = run.kind.own_tokens
        if run.session not in self.kept:
            tokens += run.kind.shared_tokens
        self.kept[run.session] = None
        self.kept.move_to_end(run.session)
        while len(self.kept) > _KEPT_SESSIONS:
            self.kept.popitem(last=False)
        read_s = tokens * run.pace / _TOKENS_PER_MS / 1000
        self.reads_until_s = max(self.reads_until_s, now_s) + read_s
        return self.reads_until_s + _FIRST_MS * run.pace / 1000

    def rest_s(self, run: _Run) -> float:
        """Returns the time for the tokens after the first."""
        step_ms = _STEP_MS + _STEP_MS_PER_PLACE * self.running
        return run.kind.out_tokens * step_ms * run.pace / 1000


class _Entry:
    """What one entry knows, and how it places."""

    def __init__(
        self, zone: str, clock: core.Clock, rng: random.Random
    ) -> None:
        self.book = decisions.LoadEstimator(clock)
        self.zone = zone
        self._affinity = decisions.SessionAffinity(
            zone, decisions.PowerOfTwoChoices(zone, rng)
        )

    def choose(self, engines: list[_Engine], session: str) -> _Engine:
        """Returns the engine for a request."""
        loads = self.book.estimates([engine.name for engine in engines])
        places = [
            decisions.UpstreamCandidate(
                engine.name, engine.zone, engine.places, loads[engine.name]
            )
            for engine in engines
        ]
        chosen = self._affinity.choose(places, session)
        assert isinstance(chosen, decisions.UpstreamCandidate)
        return next(e for e in engines if e.name == chosen.name)


@dataclasses.dataclass
class Result:
    """What callers saw."""

    #: Times to the first token that callers get, by kind, seconds.
    first_s: dict[str, list[float]]
    crossed: int = 0
    answers: int = 0
    #: Peak of running and waiting requests of one engine against the mean.
    unevenness: float = 0.0

    def in_aim(self) -> float:
        """Returns the share of requests whose first token was in time."""
        aims = {kind.name: kind.aim_s for kind in _KINDS}
        good = sum(
            sum(first <= aims[name] for first in times)
            for name, times in self.first_s.items()
        )
        return good / sum(map(len, self.first_s.values()))


class _Simulation:
    def __init__(self, fleet: Fleet, seed: int, seconds: float) -> None:
        self._rng = random.Random(seed)
        self._clock = core.ManualClock()
        self._engines = [
            _Engine(f"e{n}", _ZONES[n % len(_ZONES)], fleet.places)
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
        self._order = itertools.count()
        self._result = Result(collections.defaultdict(list))
        self._samples: list[float] = []

    def run(self) -> Result:
        """Plays the fleet's load."""
        for kind in _KINDS:
            self._at(0.0, functools.partial(self._arrive, kind))
        self._at(1.0, self._sample)
        while self._events:
            at_s, _, action = heapq.heappop(self._events)
            self._clock.advance(at_s - self._clock.now())
            action()
        self._result.unevenness = sum(self._samples) / len(self._samples)
        return self._result

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def _arrive(self, kind: Kind) -> None:
        now_s = self._clock.now()
        if now_s >= self._seconds:
            return
        began_s, ended_s, factor = _BURST
        rate = kind.per_s * self._fleet.load
        if began_s <= now_s < ended_s:
            rate *= factor
        self._at(
            now_s + self._rng.expovariate(rate), lambda: self._arrive(kind)
        )
        zone = self._rng.choices(_ZONES, _ZONE_SHARES)[0]
        near = [
            n for n, entry in enumerate(self._entries) if entry.zone == zone
        ]
        number = int(kind.sessions * self._fleet.load * self._rng.random())
        run = _Run(
            kind,
            f"{kind.name}/{number}",
            zone,
            self._rng.choice(near),
            now_s,
        )
        self._place(run)

    def _place(self, run: _Run) -> None:
        entry = self._entries[run.entry]
        engine = entry.choose(self._engines, run.session)
        entry.book.started(engine.name)
        self._result.answers += 1
        self._result.crossed += engine.zone != run.zone
        level = decisions.urgency(run.kind.priority, run.attempt)
        if engine.running < engine.places:
            self._begin(engine, run)
        else:
            heapq.heappush(engine.waiting, (level, next(self._order), run))

    def _begin(self, engine: _Engine, run: _Run) -> None:
        engine.running += 1
        at_s = engine.first_token_s(run, self._clock.now())
        self._at(at_s, lambda: self._first(engine, run))

    def _first(self, engine: _Engine, run: _Run) -> None:
        now_s = self._clock.now()
        entry = self._entries[run.entry]
        entry.book.reported(
            engine.name,
            decisions.LoadReport(
                engine.running, len(engine.waiting), engine.places
            ),
        )
        if run.attempt == 1 and self._rng.random() < _ESCALATE_SHARE:
            self._end(engine, run)
            self._place(dataclasses.replace(run, attempt=2, pace=_PACES[1]))
            return
        if run.began_s >= _WARM_UP_S:
            self._result.first_s[run.kind.name].append(now_s - run.began_s)
        self._at(now_s + engine.rest_s(run), lambda: self._end(engine, run))

    def _end(self, engine: _Engine, run: _Run) -> None:
        self._entries[run.entry].book.ended(engine.name)
        engine.running -= 1
        if engine.waiting:
            self._begin(engine, heapq.heappop(engine.waiting)[2])

    def _sample(self) -> None:
        loads = [e.running + len(e.waiting) for e in self._engines]
        mean = sum(loads) / len(loads)
        if mean and self._clock.now() >= _WARM_UP_S:
            self._samples.append(max(loads) / mean)
        if self._clock.now() < self._seconds:
            self._at(self._clock.now() + 0.5, self._sample)


def simulate(fleet: Fleet, seed: int, seconds: float = _SECONDS) -> Result:
    """Plays the load of one fleet."""
    return _Simulation(fleet, seed, seconds).run()


def run(seed: int) -> list[_measure.Row]:
    """Measures both fleets at their usual load and at 1.5 times that."""
    rows = []
    for fleet in FLEETS:
        for factor in (1.0, 1.5):
            loaded = dataclasses.replace(fleet, load=factor * fleet.load)
            result = simulate(loaded, seed)
            for name, figure, unit, target in (
                ("in aim", result.in_aim(), "share", ">= 0.95"),
                ("busiest engine", result.unevenness, "x mean", ""),
                ("across zones", result.crossed / result.answers, "share", ""),
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
