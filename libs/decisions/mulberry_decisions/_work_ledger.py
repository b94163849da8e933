"""Places requests on engines by the time until their answers begin."""

import dataclasses
import random
import threading
from collections.abc import Callable, Sequence

import mulberry_core as core
from mulberry_decisions import (
    _kept_prompts,
    _load_estimator,
    _reading_rates,
    _upstream_pace,
)

#: Tokens of shared prompt parts that an engine is taken to keep. Below the
#: memory of engines, part of which running requests use.
_KEPT_TOKENS = 200_000
#: Share of the work of less urgent requests that counts as waiting time: the
#: engine reads it later, but its callers then wait for this request.
_LESS_URGENT_SHARE = 0.25
#: Run time of a request after its answer has begun, until some were measured,
#: seconds.
_INITIAL_RUN_S = 1.0
#: Weight of each request in moving means.
_MEAN_WEIGHT = 0.02
#: Time after which a request without news counts as ended, seconds. The
#: instance that sent it may be lost.
_MAX_AGE_S = 30.0
#: A request whose answer should have begun stops counting as work to read
#: after this multiple of the expected time and this many seconds.
_OVERDUE_FACTOR = 2.0
_OVERDUE_S = 1.0
#: Longest prompt and most shared parts that count. The numbers are the
#: callers' word, and no engine has memory for more.
_MAX_TOKENS = 1_000_000
_MAX_PARTS = 8
#: Time after which half of the requests that a report shows beyond the known
#: ones still count, seconds.
_UNKNOWN_HALF_LIFE_S = 1.0
#: Most of these requests, as a multiple of the slots, and the number below
#: which they do not matter. The queues of engines are about as long as twice
#: their slots; a larger number is false.
_MAX_UNKNOWN_FACTOR = 2
_MIN_UNKNOWN = 0.05
#: Differences of the expected time that do not matter, seconds. Among
#: upstreams that are as good as each other, the choice is random.
_INDIFFERENT_S = 0.005


@dataclasses.dataclass(frozen=True)
class EngineCandidate:
    """An engine that may run a request."""

    name: str
    #: Increases with each start of the upstream.
    incarnation: int
    #: Number of requests that it runs at once.
    slots: int


@dataclasses.dataclass(frozen=True)
class PromptWork:
    """What a request asks of an engine."""

    model: str
    prompt_tokens: int
    #: Parts that other requests may share, in order.
    shared_parts: tuple[_kept_prompts.PromptSize, ...] = ()
    #: 0 is the most urgent.
    urgency: int = 0


@dataclasses.dataclass(frozen=True)
class EnginePlacement:
    """The engine chosen for a request."""

    name: str
    #: Identifies the request at the ledger.
    ticket: int
    #: Expected time until the engine begins to read the prompt, seconds.
    wait_s: float
    #: Expected time that it reads, seconds.
    read_s: float


@dataclasses.dataclass
class _Entry:
    model: str
    urgency: int
    tokens: int
    #: Time to read the prompt at the usual pace, seconds.
    work_s: float
    placed_s: float
    #: `Clock.now` after which the prompt counts as read, seconds.
    overdue_s: float
    #: `Clock.now` when the answer began or was overdue, seconds; 0 before.
    began_s: float = 0.0


@dataclasses.dataclass
class _Engine:
    incarnation: int
    slots: int
    pace: _upstream_pace.UpstreamPace
    kept: _kept_prompts.KeptPrompts
    #: Requests whose prompt is not read yet, by ticket, oldest first.
    reading_by_ticket: dict[int, _Entry]
    running_by_ticket: dict[int, _Entry]
    #: `Clock.now` when it last began to read a prompt, seconds.
    reading_since_s: float = 0.0
    #: Waiting requests that a report showed beyond the known ones.
    unknown_waiting: float = 0.0
    reported_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class _Option:
    """A candidate, with what the request would cost there."""

    name: str
    tokens: int
    #: Time to read the prompt at the usual pace, seconds.
    work_s: float
    #: Expected times there, seconds.
    wait_s: float
    read_s: float
    cost_s: float


class WorkLedger:
    """Keeps the work at each engine of a service in a zone; thread-safe.

    Load pattern: requests whose work differs a hundred times, engines whose
    speed differs several times, and many instances, none of which sees more
    than a few percent of the requests. Each instance would place by its own
    requests only; here all of them are entered, so the next request goes where
    its answer begins first, and no two instances choose the same idle engine.

    The ledger is an estimate. An engine is taken to read one prompt after the
    other; reports of its queue and the answers that begin correct that.
    """

    def __init__(
        self, clock: core.Clock, rng: random.Random | None = None
    ) -> None:
        self._clock = clock
        self._random = rng or random.Random()
        self._lock = threading.Lock()
        self._rates = _reading_rates.ReadingRates()
        #: Moving mean of run times at the usual pace, seconds.
        self._run_s = _INITIAL_RUN_S
        #: Moving mean of the work of a request, seconds at the usual pace.
        self._mean_work_s = _reading_rates.START_S
        self._engine_by_name: dict[str, _Engine] = {}
        self._engine_by_ticket: dict[int, _Engine] = {}

    def __len__(self) -> int:
        with self._lock:
            return len(self._engine_by_name)

    def place(
        self,
        work: PromptWork,
        candidates: Sequence[EngineCandidate],
        ticket: int,
    ) -> EnginePlacement | core.Missing:
        """Chooses an engine and enters the request; unset without candidates.

        Args:
            work: The request.
            candidates: Engines that may run it.
            ticket: Identifies the request; chosen by the caller, so that it can
                end a request whose placement it has not heard of.
        """
        if not candidates:
            return core.Missing.UNSET
        work = dataclasses.replace(
            work,
            prompt_tokens=min(work.prompt_tokens, _MAX_TOKENS),
            shared_parts=work.shared_parts[:_MAX_PARTS],
        )
        with self._lock:
            now_s = self._clock.now()
            options = [
                self._option(work, candidate, now_s) for candidate in candidates
            ]
            best_s = min(option.cost_s for option in options)
            best = self._random.choice(
                [
                    option
                    for option in options
                    if option.cost_s <= best_s + _INDIFFERENT_S
                ]
            )
            self._enter(best, work, ticket, now_s)
        return EnginePlacement(best.name, ticket, best.wait_s, best.read_s)

    def began(self, ticket: int, age_s: float = 0.0) -> None:
        """Records that the answer to a request began some time ago."""
        with self._lock:
            engine = self._engine_by_ticket.get(ticket)
            if engine is None:
                return
            entry = engine.reading_by_ticket.pop(ticket, None)
            if entry is None:
                return
            at_s = max(entry.placed_s, self._clock.now() - age_s)
            started_s = max(entry.placed_s, engine.reading_since_s)
            if started_s < at_s:
                self._rates.measured(
                    entry.model,
                    entry.tokens,
                    (at_s - started_s) / engine.pace.at(at_s),
                )
            engine.reading_since_s = max(engine.reading_since_s, at_s)
            entry.began_s = at_s
            engine.running_by_ticket[ticket] = entry

    def ended(self, ticket: int, age_s: float = 0.0) -> None:
        """Records that a request ended, or was not sent."""
        with self._lock:
            engine = self._engine_by_ticket.pop(ticket, None)
            if engine is None:
                return
            engine.reading_by_ticket.pop(ticket, None)
            entry = engine.running_by_ticket.pop(ticket, None)
            if entry is not None:
                took_s = max(0.0, self._clock.now() - age_s - entry.began_s)
                self._run_s += _MEAN_WEIGHT * (
                    took_s / engine.pace.usual - self._run_s
                )

    def reported(
        self, name: str, report: _load_estimator.LoadReport, age_s: float = 0.0
    ) -> None:
        """Records a report that an engine sent some time ago."""
        with self._lock:
            engine = self._engine_by_name.get(name)
            if engine is None:
                return
            at_s = self._clock.now() - age_s
            if not isinstance(report.pace, core.Missing):
                engine.pace.reported(report.pace, at_s)
            if at_s >= engine.reported_s:
                engine.reported_s = at_s
                engine.unknown_waiting = min(
                    max(0.0, report.waiting - len(engine.reading_by_ticket)),
                    float(_MAX_UNKNOWN_FACTOR * engine.slots),
                )

    def keep_only(self, is_known: Callable[[str], bool]) -> None:
        """Removes the engines that are not known any more."""
        with self._lock:
            for name in [n for n in self._engine_by_name if not is_known(n)]:
                engine = self._engine_by_name.pop(name)
                self._forget(engine)

    def paces(self) -> dict[str, float]:
        """Returns the usual pace of each engine by name."""
        with self._lock:
            return {
                name: engine.pace.usual
                for name, engine in self._engine_by_name.items()
            }

    def _engine(self, candidate: EngineCandidate) -> _Engine:
        engine = self._engine_by_name.get(candidate.name)
        if engine is None or engine.incarnation < candidate.incarnation:
            if engine is not None:
                self._forget(engine)
            engine = _Engine(
                candidate.incarnation,
                candidate.slots,
                _upstream_pace.UpstreamPace(),
                _kept_prompts.KeptPrompts(_KEPT_TOKENS),
                {},
                {},
            )
            self._engine_by_name[candidate.name] = engine
        return engine

    def _forget(self, engine: _Engine) -> None:
        for ticket in (*engine.reading_by_ticket, *engine.running_by_ticket):
            self._engine_by_ticket.pop(ticket, None)

    def _option(
        self, work: PromptWork, candidate: EngineCandidate, now_s: float
    ) -> _Option:
        engine = self._engine(candidate)
        self._drop_overdue(engine, now_s)
        kept = engine.kept.kept_tokens(work.model, work.shared_parts)
        tokens = max(0, work.prompt_tokens - kept)
        work_s = self._rates.reading_s(work.model, tokens)
        pace = engine.pace.at(now_s)
        before_s, after_s = self._work_around(engine, work.urgency, pace, now_s)
        wait_s = (before_s + self._slot_work_s(engine)) * pace
        read_s = work_s * pace
        return _Option(
            candidate.name,
            tokens,
            work_s,
            wait_s,
            read_s,
            wait_s + read_s + _LESS_URGENT_SHARE * after_s * pace,
        )

    def _enter(
        self, option: _Option, work: PromptWork, ticket: int, now_s: float
    ) -> None:
        engine = self._engine_by_name[option.name]
        if not engine.reading_by_ticket:
            engine.reading_since_s = now_s
        engine.kept.read(work.model, work.shared_parts)
        self._mean_work_s += _MEAN_WEIGHT * (option.work_s - self._mean_work_s)
        overdue_s = (
            _OVERDUE_FACTOR * (option.wait_s + option.read_s) + _OVERDUE_S
        )
        engine.reading_by_ticket[ticket] = _Entry(
            work.model,
            work.urgency,
            option.tokens,
            option.work_s,
            now_s,
            now_s + min(overdue_s, _MAX_AGE_S),
        )
        self._engine_by_ticket[ticket] = engine

    def _work_around(
        self, engine: _Engine, urgency: int, pace: float, now_s: float
    ) -> tuple[float, float]:
        """Returns the work before a request and after it.

        Both in seconds at the usual pace.
        """
        before_s = after_s = 0.0
        for entry in engine.reading_by_ticket.values():
            if entry.urgency <= urgency:
                before_s += entry.work_s
            else:
                after_s += entry.work_s
        if engine.reading_by_ticket:
            first = next(iter(engine.reading_by_ticket.values()))
            done_s = min(first.work_s, (now_s - engine.reading_since_s) / pace)
            # Whatever its urgency, what is being read is before the request.
            before_s = max(0.0, before_s - done_s)
        return before_s + self._unknown_work_s(engine, now_s), after_s

    def _unknown_work_s(self, engine: _Engine, now_s: float) -> float:
        """Returns the work of requests that only a report has shown."""
        if not engine.unknown_waiting:
            return 0.0
        age_s = now_s - engine.reported_s
        count = engine.unknown_waiting * 0.5 ** (age_s / _UNKNOWN_HALF_LIFE_S)
        if count < _MIN_UNKNOWN:
            engine.unknown_waiting = 0.0
        return float(count * self._mean_work_s)

    def _slot_work_s(self, engine: _Engine) -> float:
        """Returns the time until a slot is free, seconds at the usual pace."""
        occupied = len(engine.reading_by_ticket) + len(engine.running_by_ticket)
        excess = occupied + 1 - engine.slots
        return max(0, excess) * self._run_s / engine.slots

    def _drop_overdue(self, engine: _Engine, now_s: float) -> None:
        for ticket, entry in list(engine.reading_by_ticket.items()):
            if now_s > entry.overdue_s:
                del engine.reading_by_ticket[ticket]
                entry.began_s = now_s
                engine.running_by_ticket[ticket] = entry
        for ticket, entry in list(engine.running_by_ticket.items()):
            if now_s > entry.placed_s + _MAX_AGE_S:
                del engine.running_by_ticket[ticket]
                self._engine_by_ticket.pop(ticket, None)
