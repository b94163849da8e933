"""Tests of the permits for cold upstreams, over many instances."""

import dataclasses
import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_decisions import _cold_limits

_NO_REPORT = decisions.NO_REPORT
_WINDOW_S = 1.0
#: Longest time until an instance learns of a change, seconds.
_LATE_S = 0.5


def _most_in_a_window(times_s: list[float]) -> int:
    times_s = sorted(times_s)
    return max(
        (
            sum(at_s <= other_s < at_s + _WINDOW_S for other_s in times_s)
            for at_s in times_s
        ),
        default=0,
    )


@dataclasses.dataclass(frozen=True)
class _Case:
    """Instances that press on one upstream, which becomes cold at 2 s."""

    per_s: float = 11.0
    overage: float = 1.5
    slack: float = 5.0
    instances: int = 67
    #: Requests a second of all instances together, while it is cold.
    pressure: float = 200.0
    #: Requests a second while it is warm.
    warm_per_s: float = 9.0
    #: Longest time from the choice of the upstream until the arrival, seconds.
    in_flight_s: float = 0.1
    #: When the upstream is announced to another of two instances, seconds.
    owner_changes_s: tuple[float, ...] = ()
    ends_s: float = 8.0

    @property
    def allowed(self) -> float:
        return self.per_s * self.overage + self.slack


class _Simulation:
    """Instances learn of the cold state and of owners up to 0.5 s late."""

    def __init__(
        self, case: _Case, seed: int, refresh_period_s: float = math.inf
    ) -> None:
        self.case = case
        self.refresh_period_s = refresh_period_s
        self.refreshed_s = -math.inf
        self.random = random.Random(seed)
        self.clock = core.ManualClock(0.0)
        self.limit = decisions.cold_limit(case.per_s, case.overage, case.slack)
        self.owners = [decisions.RateAllocator(self.clock) for _ in range(2)]
        self.late_s = [
            self.random.choice((0.0, _LATE_S, self.random.uniform(0, _LATE_S)))
            for _ in range(case.instances)
        ]
        self.arrivals_s: list[float] = []

    def run(self) -> None:
        case = self.case
        while self.clock.now() < case.ends_s:
            is_warm = self.clock.now() < 2.0
            pressure = case.warm_per_s if is_warm else case.pressure
            self.clock.advance(self.random.expovariate(pressure))
            self._refresh()
            instance = self.random.randrange(case.instances)
            known_s = self.clock.now() - self.late_s[instance]
            if known_s >= 2.0:
                is_sent = self._reserve(known_s)
            else:
                # Not told: sends its share of what a warm upstream gets.
                is_sent = self.random.random() * pressure < case.warm_per_s
            if is_sent:
                on_its_way_s = self.random.uniform(0.0, case.in_flight_s)
                self.arrivals_s.append(self.clock.now() + on_its_way_s)

    def _refresh(self) -> None:
        """Lets the owner report the cold upstream, as its home does."""
        now_s = self.clock.now()
        if now_s >= 2.0 and now_s >= self.refreshed_s + self.refresh_period_s:
            self.refreshed_s = now_s
            self._reserve(now_s, wants_permit=False)

    def _reserve(self, known_s: float, wants_permit: bool = True) -> bool:
        """Asks the owner that the instance knows; whether it grants."""
        changes = [s for s in self.case.owner_changes_s if s <= known_s]
        owner = self.owners[len(changes) % 2]
        return owner.reserve(
            "u",
            1,
            _NO_REPORT,
            wants_permit,
            cold=self.limit,
            owned_since_s=changes[-1] if changes else float("-inf"),
        ).is_granted


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(_Case(), id="Litoral"),
        pytest.param(_Case(pressure=2_000.0), id="much pressure"),
        pytest.param(_Case(pressure=30.0), id="little pressure"),
        pytest.param(_Case(in_flight_s=0.6), id="slow links"),
        pytest.param(_Case(owner_changes_s=(4.0,)), id="owner changes"),
        pytest.param(
            _Case(owner_changes_s=(3.0, 3.7, 4.1, 4.3, 5.9)),
            id="owner changes often",
        ),
        pytest.param(
            _Case(owner_changes_s=(2.0, 2.6), in_flight_s=0.3),
            id="owner changes as the upstream becomes cold",
        ),
        pytest.param(
            _Case(per_s=1.0, slack=2.0, warm_per_s=1.0), id="low rate"
        ),
        pytest.param(_Case(per_s=60.0, overage=1.1), id="tight bound"),
        pytest.param(
            _Case(ends_s=32.0, pressure=60.0, owner_changes_s=(9.0, 20.0)),
            id="long",
        ),
    ],
)
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("refresh_period_s", [math.inf, 1.0])
def test_cold_upstream_gets_no_more_than_it_tolerates(
    case: _Case, seed: int, refresh_period_s: float
) -> None:
    """Guards against a cold upstream that crashes under many instances."""
    simulation = _Simulation(case, seed, refresh_period_s)
    simulation.run()
    assert _most_in_a_window(simulation.arrivals_s) <= case.allowed


def test_a_cold_upstream_gets_the_rate_that_it_tolerates() -> None:
    """Guards against a bound that is kept by sending next to nothing."""
    case = _Case(ends_s=22.0)
    simulation = _Simulation(case, 1)
    simulation.run()
    served = sum(3.0 <= at_s < 22.0 for at_s in simulation.arrivals_s)
    assert served >= 0.9 * case.per_s * 19.0


@given(
    per_s=st.floats(0.25, 1e3),
    overage=st.floats(1.0, 3.0),
    slack=st.floats(2.0, 50.0),
    steps=st.lists(
        st.tuples(
            st.floats(0.0, 3.0),
            st.floats(0.0, 1.0),
            st.integers(0, 60),
            st.booleans(),
        ),
        max_size=40,
    ),
)
def test_arrivals_in_each_window_keep_the_bound(
    per_s: float,
    overage: float,
    slack: float,
    steps: list[tuple[float, float, int, bool]],
) -> None:
    """Guards against bursts of requests that were on their way for long.

    Each step is a pause, the share of the longest way, how many requests are
    made at once, and whether the owner reports the upstream before that.
    """
    clock = core.ManualClock(50.0)
    allocator = decisions.RateAllocator(clock)
    limit = decisions.cold_limit(per_s, overage, slack)
    arrivals_s: list[float] = []
    for pause_s, share, count, is_refreshed in steps:
        clock.advance(pause_s)
        if is_refreshed:
            allocator.reserve("u", 1, _NO_REPORT, False, cold=limit)
        for _ in range(count):
            reply = allocator.reserve("u", 1, _NO_REPORT, cold=limit)
            if not reply.is_granted:
                break
            way_s = share * _cold_limits.IN_FLIGHT_S
            arrivals_s.append(clock.now() + way_s)
    allowed = per_s * overage + slack
    assert _most_in_a_window(arrivals_s) <= allowed + 1e-6


@given(
    st.lists(
        st.tuples(st.floats(0.0, 0.7), st.booleans(), st.booleans()),
        max_size=80,
    ),
    st.integers(1, 40),
)
def test_owners_together_keep_the_bound(
    steps: list[tuple[float, bool, bool]], asked: int
) -> None:
    """Guards against owners that each use their permits at a change.

    Each step is a pause, whether the upstream then moves, and whether its
    owner reports it. Until 0.5 s after a move both owners are asked.
    """
    clock = core.ManualClock(50.0)
    owners = [decisions.RateAllocator(clock) for _ in range(2)]
    since_s = [float("-inf"), float("-inf")]
    limit = decisions.cold_limit(11.0, 1.5, 5.0)
    current, moved_s = 0, float("-inf")
    granted_s: list[float] = []
    for pause_s, moves, is_refreshed in steps:
        clock.advance(pause_s)
        now_s = clock.now()
        if moves:
            current = 1 - current
            moved_s = since_s[current] = now_s
        if is_refreshed:
            owners[current].reserve(
                "u",
                1,
                _NO_REPORT,
                False,
                cold=limit,
                owned_since_s=since_s[current],
            )
        both = now_s < moved_s + _LATE_S
        for owner in (0, 1) if both else (current,):
            granted_s += [
                now_s
                for _ in range(asked)
                if owners[owner]
                .reserve(
                    "u",
                    1,
                    _NO_REPORT,
                    cold=limit,
                    owned_since_s=since_s[owner],
                )
                .is_granted
            ]
    assert _most_in_a_window(granted_s) <= 21.5


@pytest.mark.parametrize(
    ("named", "cold_per_s", "expected_per_s"),
    [
        pytest.param(2.0, 11.0, 2.0, id="the named rate is lower"),
        pytest.param(40.0, 11.0, 11.0, id="the cold rate is lower"),
        pytest.param(core.Missing.UNLIMITED, 11.0, 11.0, id="none is named"),
    ],
)
def test_the_lower_rate_applies(
    named: float | core.Missing, cold_per_s: float, expected_per_s: float
) -> None:
    """Guards against a report with which an instance raises the cold rate."""
    clock = core.ManualClock(50.0)
    allocator = decisions.RateAllocator(clock)
    limit = decisions.cold_limit(cold_per_s, 1.5, 5.0)
    granted = 0
    for _ in range(1_000):
        clock.advance(0.01)
        reply = allocator.reserve(
            "u", 1, decisions.RateReport(named, 0.0), cold=limit
        )
        granted += reply.is_granted
    assert 0.9 * expected_per_s * 10 <= granted <= expected_per_s * 10 + 6


def test_upstream_that_becomes_cold_again_begins_without_permits() -> None:
    """Guards against permits saved up while it was warm and got requests."""
    clock = core.ManualClock(50.0)
    allocator = decisions.RateAllocator(clock)
    limit = decisions.cold_limit(11.0, 1.5, 5.0)

    def is_granted() -> bool:
        return allocator.reserve("u", 1, _NO_REPORT, cold=limit).is_granted

    assert not is_granted()
    clock.advance(1.0)
    assert is_granted()
    clock.advance(30.0)
    assert not is_granted()


def test_upstream_that_is_reported_keeps_its_permits() -> None:
    """Guards against a cold service that refuses all of its few requests."""
    clock = core.ManualClock(50.0)
    allocator = decisions.RateAllocator(clock)
    limit = decisions.cold_limit(11.0, 1.5, 5.0)
    granted = 0
    for step in range(40):
        allocator.reserve("u", 1, _NO_REPORT, False, cold=limit)
        clock.advance(1.0)
        if step % 4 == 3:
            reply = allocator.reserve("u", 1, _NO_REPORT, cold=limit)
            granted += reply.is_granted
    assert granted == 10


def test_warm_upstream_needs_no_permit() -> None:
    clock = core.ManualClock(50.0)
    allocator = decisions.RateAllocator(clock)
    for _ in range(100):
        assert allocator.reserve("u", 1, _NO_REPORT).is_granted


def test_block_ends_and_belongs_to_one_incarnation() -> None:
    """Guards against a block of a cold upstream that hits the next start."""
    clock = core.ManualClock(50.0)
    rates = decisions.NamedRates(clock)
    rates.block("u", 1, 0.5)
    assert rates.blocked_s("u", 1) == pytest.approx(0.5)
    assert rates.blocked_s("u", 2) == 0.0
    rates.learn("u", 1, decisions.RateReport(core.Missing.UNLIMITED, 0.0))
    assert rates.blocked_s("u", 1) > 0.0
    clock.advance(0.5)
    assert rates.blocked_s("u", 1) == 0.0


def test_marks_end_with_a_newer_announcement_or_with_time() -> None:
    """Guards against upstreams that stay cold after one broken connection."""
    clock = core.ManualClock(50.0)
    marks = decisions.ColdMarks(clock, announcement_valid_s=6.0)
    assert marks.remaining_s("u", 1, 3) == 0.0
    marks.connection_broke("u", 1, 3)
    assert marks.remaining_s("u", 1, 3) == pytest.approx(6.0)
    assert marks.remaining_s("u", 1, 4) == 0.0
    assert marks.remaining_s("u", 2, 1) == 0.0
    marks.answered("u", 1, 2.0)
    assert marks.remaining_s("u", 1, 4) == pytest.approx(2.0)
    clock.advance(6.0)
    assert marks.remaining_s("u", 1, 3) == 0.0
    marks.keep_only({"u"})
    marks.connection_broke("u", 1, 3)
    marks.keep_only({"v"})
    assert marks.remaining_s("u", 1, 3) == 0.0


def test_late_answer_of_an_earlier_start_changes_no_mark() -> None:
    """Guards against a restarted upstream that counts as warm.

    A request to the earlier start may be answered, or break, after the later
    one was seen.
    """
    clock = core.ManualClock(50.0)
    marks = decisions.ColdMarks(clock, announcement_valid_s=6.0)
    marks.answered("u", 2, 3.0)
    marks.answered("u", 1, 60.0)
    marks.connection_broke("u", 1, 9)
    assert marks.remaining_s("u", 2, 1) == pytest.approx(3.0)
    marks.answered("u", 3, 1.0)
    assert marks.remaining_s("u", 3, 1) == pytest.approx(1.0)
