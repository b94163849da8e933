"""Placement replays the loads that it is meant for."""

import collections
import random
from collections.abc import Sequence

import pytest

import mulberry_core as core
import mulberry_decisions as decisions

Place = decisions.Place
Request = decisions.PlacementRequest


def _places(*loads: float, zone: str = "gent") -> list[Place]:
    return [
        Place(f"w{number}", zone, slots=16, load=load)
        for number, load in enumerate(loads)
    ]


def _name(place: Place | core.Missing) -> str:
    assert isinstance(place, Place)
    return place.name


def _affinity() -> decisions.SessionAffinity:
    return decisions.SessionAffinity(
        decisions.LeastLoad("gent", random.Random(1))
    )


def test_no_place() -> None:
    assert _affinity().choose([], Request("s")) is core.Missing.UNSET


def test_all_entries_send_a_session_to_the_same_place() -> None:
    """Guards against prompts with shared parts that are read everywhere."""
    places = _places(*[4.0] * 9)
    for number in range(50):
        names = {
            _name(_affinity().choose(places[::step], Request(f"s{number}")))
            for step in (1, -1)
        }
        assert len(names) == 1


def test_few_sessions_move_when_a_place_is_lost() -> None:
    places = _places(*[4.0] * 9)
    moved = 0
    for number in range(300):
        request = Request(f"s{number}")
        before = _name(_affinity().choose(places, request))
        after = _name(_affinity().choose(places[:-1], request))
        moved += before != after
    assert moved <= 300 / 9 * 1.5


def test_a_hot_session_spills_over() -> None:
    """Guards against one key with much of the traffic filling one place."""
    request = Request("hot")
    loads = collections.Counter[str]()
    for _ in range(90):
        places = [
            Place(f"w{n}", "gent", 16, float(loads[f"w{n}"])) for n in range(9)
        ]
        loads[_name(_affinity().choose(places, request))] += 1
    assert max(loads.values()) <= 2 * 90 / 9


def test_stale_reports_do_not_herd() -> None:
    """Guards against all entries choosing the place that reported least."""
    places = _places(0.0, *[8.0] * 8)
    chosen = collections.Counter(
        _name(
            decisions.LeastLoad("gent", random.Random(entry)).choose(
                places, Request()
            )
        )
        for entry in range(300)
    )
    assert chosen["w0"] < 300 / 3


def test_a_failing_place_gets_less_although_it_is_idle() -> None:
    places = [
        Place("bad", "gent", 16, 0.0, failed_share=0.4),
        Place("good", "gent", 16, 6.0),
    ]
    placement = decisions.LeastLoad("gent", random.Random(2))
    assert _name(placement.choose(places, Request())) == "good"


def test_the_own_zone_is_preferred_until_it_is_busier() -> None:
    near, far = Place("a", "gent", 16, 3.0), Place("b", "leuven", 16, 2.0)
    placement = decisions.LeastLoad("gent", random.Random(3))
    assert _name(placement.choose([near, far], Request())) == "a"
    busy = Place("a", "gent", 16, 6.0)
    assert _name(placement.choose([busy, far], Request())) == "b"


def test_short_prompts_do_not_wait_behind_long_ones() -> None:
    """Replays a day's prompts: one in four is long and has most tokens.

    Guards against short chats that are late because their engine reads a
    long prompt; every engine reads one prompt after the other.
    """
    mixed = _short_waits(_affinity())
    lanes = _short_waits(decisions.PromptLanes(_affinity()))
    assert _percentile(lanes, 0.95) < 0.6 * _percentile(mixed, 0.95)


def test_a_lane_that_is_overloaded_is_left() -> None:
    lanes = decisions.PromptLanes(_affinity())
    busy = [Place(f"w{n}", "gent", 16, 12.0) for n in range(9)]
    ordered = sorted(
        busy, key=lambda place: core.ring_position(f"lane/{place.name}")
    )
    idle = {place.name for place in ordered[4:]}
    places = [
        Place(p.name, p.zone, 16, 1.0 if p.name in idle else 12.0) for p in busy
    ]
    chosen = {
        _name(lanes.choose(places, Request(f"s{n}", 9_000))) for n in range(40)
    }
    assert chosen & idle


def _short_waits(placement: decisions.Placement) -> list[float]:
    """Returns the seconds until short prompts are read."""
    rng = random.Random(5)
    tokens_per_s, engines = 42_000.0, 6
    busy_until_s = [0.0] * engines
    waits = []
    now_s = 0.0
    for _ in range(6_000):
        now_s += rng.expovariate(20.0)
        is_long = rng.random() < 0.25
        tokens = int(rng.lognormvariate(8.9 if is_long else 6.9, 0.6))
        places = [
            Place(f"w{n}", "gent", 64, max(0.0, (until_s - now_s) * 8))
            for n, until_s in enumerate(busy_until_s)
        ]
        request = Request(f"s{rng.randrange(600)}", tokens)
        engine = int(_name(placement.choose(places, request))[1:])
        begins_s = max(now_s, busy_until_s[engine])
        busy_until_s[engine] = begins_s + tokens / tokens_per_s
        if tokens < 4_096:
            waits.append(busy_until_s[engine] - now_s)
    return waits


def _percentile(values: Sequence[float], share: float) -> float:
    return sorted(values)[int(len(values) * share)]


@pytest.mark.parametrize(
    ("report_age_s", "wanted"), [(0.0, 9.0), (1.0, 6.0), (5.0, 3.0)]
)
def test_reports_fade(report_age_s: float, wanted: float) -> None:
    """A report of 6 others and 2 own; one own request began since."""
    clock = core.ManualClock()
    book = decisions.LoadBook(clock)
    for _ in range(2):
        book.started("w")
    book.reported("w", decisions.LoadReport(running=7, waiting=1, slots=8))
    book.started("w")
    clock.advance(report_age_s)
    assert book.estimate("w") == pytest.approx(wanted)


def test_an_upstream_that_cannot_be_reached_pauses_ever_longer() -> None:
    clock = core.ManualClock()
    health = decisions.UpstreamHealth(clock)
    pauses = []
    for _ in range(4):
        health.unreachable("w")
        began_s = clock.now()
        while health.is_paused("w"):
            clock.advance(0.125)
        pauses.append(clock.now() - began_s)
    assert pauses == [0.5, 1.0, 2.0, 4.0]
    health.succeeded("w")
    assert not health.is_paused("w")
