"""Placement replays the loads that it is meant for."""

import collections
import random

import pytest

import mulberry_core as core
import mulberry_decisions as decisions

Place = decisions.Place


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
    assert _affinity().choose([], "s") is core.Missing.UNSET


def test_all_entries_send_a_session_to_the_same_place() -> None:
    """Guards against prompts with shared parts that are read everywhere."""
    places = _places(*[4.0] * 9)
    for number in range(50):
        names = {
            _name(_affinity().choose(places[::step], f"s{number}"))
            for step in (1, -1)
        }
        assert len(names) == 1


def test_few_sessions_move_when_a_place_is_lost() -> None:
    places = _places(*[4.0] * 9)
    moved = 0
    for number in range(300):
        request = f"s{number}"
        before = _name(_affinity().choose(places, request))
        after = _name(_affinity().choose(places[:-1], request))
        moved += before != after
    assert moved <= 300 / 9 * 1.5


def test_a_hot_session_spills_over() -> None:
    """Guards against one key with much of the traffic filling one place."""
    request = "hot"
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
            decisions.LeastLoad("gent", random.Random(entry)).choose(places, "")
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
    assert _name(placement.choose(places, "")) == "good"


def test_the_own_zone_is_preferred_until_it_is_busier() -> None:
    near, far = Place("a", "gent", 16, 3.0), Place("b", "leuven", 16, 2.0)
    placement = decisions.LeastLoad("gent", random.Random(3))
    assert _name(placement.choose([near, far], "")) == "a"
    busy = Place("a", "gent", 16, 6.0)
    assert _name(placement.choose([busy, far], "")) == "b"


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


def test_what_is_gone_is_forgotten_unless_it_still_runs() -> None:
    """Upstreams get a new name with each start: what is kept must not grow."""
    clock = core.ManualClock()
    health, book = decisions.UpstreamHealth(clock), decisions.LoadBook(clock)
    for name in ("gone", "busy", "here"):
        health.unreachable(name)
        book.started(name)
    book.ended("gone")
    health.keep_only({"here"})
    book.keep_only({"here"})
    assert not health.is_paused("gone")
    assert health.is_paused("here")
    assert [book.own(name) for name in ("busy", "here")] == [1, 1]
