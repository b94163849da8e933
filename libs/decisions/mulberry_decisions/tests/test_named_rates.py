"""Tests of the rates that upstreams name, over many instances."""

import dataclasses
import heapq
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

import mulberry_core as core
import mulberry_decisions as decisions

_UNLIMITED = core.Missing.UNLIMITED
#: One-way delay between instances, and to upstreams, seconds.
_DELAY_S = 0.001
_WINDOW_S = 4.0


@dataclasses.dataclass(frozen=True)
class _Load:
    """Callers' requests, and upstreams that name a rate for a time."""

    rate_per_s: float
    #: Requests a second, as a multiple of what the upstreams take.
    load: float
    instances: int = 12
    upstreams: int = 3
    #: Instances that callers use.
    used: int = 12
    begins_s: float = 2.0
    ends_s: float = 32.0
    #: When the owner of all rates changes, seconds.
    owner_changes_s: tuple[float, ...] = ()


class _Simulation:
    """Instances that ask the owner of a rate before they send."""

    def __init__(self, load: _Load, seed: int) -> None:
        self.load = load
        self.clock = core.ManualClock(0.0)
        self.random = random.Random(seed)
        self.rates = [
            decisions.NamedRates(self.clock) for _ in range(load.instances)
        ]
        self.allocator = decisions.RateAllocator(self.clock)
        #: Arrival and sender, by upstream.
        self.arrivals: dict[str, list[tuple[float, int]]] = {
            f"u{number}": [] for number in range(load.upstreams)
        }
        #: When each instance first got an answer with a rate, by upstream.
        self.told_s: dict[tuple[int, str], float] = {}
        self.refused_s: list[float] = []

    def run(self, end_s: float) -> None:
        load = self.load
        per_s = load.load * load.rate_per_s * load.upstreams
        changes = list(load.owner_changes_s)
        events = [(0.0, 0)]
        number = 0
        while events:
            now_s, _ = heapq.heappop(events)
            if now_s > end_s:
                return
            self.clock.advance(now_s - self.clock.now())
            while changes and changes[0] <= now_s:
                changes.pop(0)
                self.allocator = decisions.RateAllocator(self.clock)
            self._request(self.random.randrange(load.used))
            number += 1
            heapq.heappush(
                events, (now_s + self.random.expovariate(per_s), number)
            )

    def _request(self, instance: int) -> None:
        rates = self.rates[instance]
        upstreams = sorted(self.arrivals, key=lambda _: self.random.random())
        for upstream in upstreams:
            if rates.blocked_s(upstream, 1) > 0.0:
                continue
            report = rates.report(upstream, 1)
            if rates.is_limited(upstream, 1):
                assert isinstance(report, decisions.RateReport)
                reply = self.allocator.reserve(upstream, 1, report)
                rates.learn(upstream, 1, reply.report)
                if not reply.is_granted:
                    rates.block(upstream, 1, reply.wait_s)
                    continue
            self._send(instance, upstream)
            return
        self.refused_s.append(self.clock.now())

    def _send(self, instance: int, upstream: str) -> None:
        now_s = self.clock.now()
        load = self.load
        self.arrivals[upstream].append((now_s + _DELAY_S, instance))
        named = load.begins_s <= now_s < load.ends_s
        rate = load.rate_per_s if named else _UNLIMITED
        if named:
            self.told_s.setdefault((instance, upstream), now_s)
        rates = self.rates[instance]
        before = rates.is_limited(upstream, 1)
        rates.learn(upstream, 1, decisions.RateReport(rate, 0.0))
        if before and not named:
            report = rates.report(upstream, 1)
            assert isinstance(report, decisions.RateReport)
            self.allocator.reserve(upstream, 1, report, wants_permit=False)

    def most_in_a_window(self) -> int:
        """Returns the most requests in 4 s at one upstream while limited.

        Only those of instances that it had told half a second before.
        """
        most = 0
        for upstream, arrivals in self.arrivals.items():
            counted = [
                at_s
                for at_s, instance in arrivals
                if at_s < self.load.ends_s
                and self.told_s.get((instance, upstream), at_s) + 0.5 <= at_s
            ]
            for first, at_s in enumerate(counted):
                inside = [t for t in counted[first:] if t <= at_s + _WINDOW_S]
                most = max(most, len(inside))
        return most

    def served_per_s(self, begin_s: float, end_s: float) -> float:
        """Returns the requests a second at all upstreams."""
        return sum(
            begin_s <= at_s < end_s
            for arrivals in self.arrivals.values()
            for at_s, _ in arrivals
        ) / (end_s - begin_s)


def _allowed(rate_per_s: float) -> float:
    return 1.5 * rate_per_s * _WINDOW_S + 5


@pytest.mark.parametrize(
    "load",
    [
        pytest.param(_Load(1.8, 3.0), id="three times the rate"),
        pytest.param(_Load(1.8, 3.0, used=2), id="pressure on two instances"),
        pytest.param(
            _Load(2.5, 4.0, instances=40, upstreams=4, used=40),
            id="forty instances",
        ),
        pytest.param(
            _Load(2.5, 4.0, instances=200, upstreams=4, used=200),
            id="two hundred instances",
        ),
        pytest.param(_Load(0.3, 20.0), id="less than one a second"),
        pytest.param(_Load(20.0, 2.0), id="many a second"),
        pytest.param(
            _Load(1.8, 3.0, owner_changes_s=(10.0, 10.6, 11.2, 20.0)),
            id="owners change",
        ),
    ],
)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_sum_of_all_instances_keeps_the_rate(load: _Load, seed: int) -> None:
    """Guards against a rate that each instance keeps and the sum exceeds."""
    simulation = _Simulation(load, seed)
    simulation.run(load.ends_s + 10.0)
    assert simulation.most_in_a_window() <= _allowed(load.rate_per_s)
    total_per_s = load.rate_per_s * load.upstreams
    if not load.owner_changes_s:
        served_per_s = simulation.served_per_s(10.0, load.ends_s)
        assert served_per_s >= 0.8 * total_per_s
    last_refused_s = max(simulation.refused_s, default=0.0)
    assert last_refused_s <= load.ends_s + 5.0


def test_load_below_the_rate_is_not_refused() -> None:
    """Guards against refusals that no upstream asked for."""
    load = _Load(2.5, 0.6, instances=4, used=4)
    simulation = _Simulation(load, 1)
    simulation.run(load.ends_s)
    refused = len(simulation.refused_s)
    served = sum(map(len, simulation.arrivals.values()))
    assert refused <= 0.1 * (served + refused)


def test_rate_of_zero_allows_a_trial_now_and_then() -> None:
    """Guards against a rate of 0 whose end nobody sees."""
    clock = core.ManualClock(0.0)
    allocator = decisions.RateAllocator(clock)
    granted = 0
    for _ in range(400):
        clock.advance(0.1)
        reply = allocator.reserve("u", 1, decisions.RateReport(0.0, 0.0))
        granted += reply.is_granted
    assert 5 <= granted <= 11


def test_restarted_upstream_has_named_no_rate() -> None:
    clock = core.ManualClock(0.0)
    rates = decisions.NamedRates(clock)
    assert rates.learn("u", 1, decisions.RateReport(2.0, 0.0))
    rates.block("u", 1, 5.0)
    assert rates.is_limited("u", 1)
    assert not rates.is_limited("u", 2)
    assert rates.blocked_s("u", 2) == 0.0


def test_older_report_does_not_bring_a_rate_back() -> None:
    """Guards against a limit that another instance has not seen end."""
    clock = core.ManualClock(10.0)
    rates = decisions.NamedRates(clock)
    rates.learn("u", 1, decisions.RateReport(2.0, 0.0))
    clock.advance(1.0)
    assert rates.learn("u", 1, decisions.RateReport(_UNLIMITED, 0.0))
    assert not rates.learn("u", 1, decisions.RateReport(2.0, 0.5))
    assert not rates.is_limited("u", 1)


@given(
    st.floats(0.0, 1e6),
    st.lists(st.floats(0.0, 30.0), max_size=60),
)
def test_permits_never_exceed_the_rate(
    rate_per_s: float, pauses_s: list[float]
) -> None:
    clock = core.ManualClock(0.0)
    allocator = decisions.RateAllocator(clock)
    report = decisions.RateReport(rate_per_s, 0.0)
    granted = 0
    for pause_s in pauses_s:
        clock.advance(pause_s)
        reply = allocator.reserve("u", 1, report)
        assert reply.wait_s >= 0.0
        granted += reply.is_granted
    rate_per_s = max(rate_per_s, 0.25)
    burst = max(1.0, 0.5 * rate_per_s)
    assert granted <= rate_per_s * sum(pauses_s) + burst + 1e-6
