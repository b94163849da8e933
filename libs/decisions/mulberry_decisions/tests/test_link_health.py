"""Tests of what an instance knows about its links to upstreams."""

import threading
from collections.abc import Callable, Mapping, Sequence

import pytest

import mulberry_core as core
import mulberry_decisions as decisions

_DIRECT_FIRST = decisions.PathOrder.DIRECT_FIRST
_BOTH = decisions.PathOrder.RELAYS_AND_DIRECT
_RELAYS_FIRST = decisions.PathOrder.RELAYS_FIRST


def _relayed(
    links: decisions.LinkHealth, name: str, did_hang: bool = True
) -> None:
    links.direct_failed(name, did_hang)
    links.relay_opened(name, "r1")


#: How a connection went, and what it records.
_RECORDS: Mapping[str, Callable[[decisions.LinkHealth, str], object]] = {
    "direct": lambda links, name: links.direct_opened(name),
    "relayed": _relayed,
    "refused, relayed": lambda links, name: _relayed(links, name, False),
    "relay only": lambda links, name: links.relay_opened(name, "r1"),
    "dead": lambda links, name: links.direct_failed(name, did_hang=True),
}


def _replay(
    *steps: tuple[float, str, str],
) -> tuple[decisions.LinkHealth, core.ManualClock]:
    """Replays rows of seconds since the last step, upstream and outcome."""
    clock = core.ManualClock()
    links = decisions.LinkHealth(clock)
    for wait_s, name, outcome in steps:
        clock.advance(wait_s)
        _RECORDS[outcome](links, name)
    return links, clock


@pytest.mark.parametrize(
    ("steps", "is_cut_off"),
    [
        pytest.param([], False, id="nothing known"),
        pytest.param([(0, "a", "direct")], False, id="sound"),
        pytest.param(
            [(0, "a", "relayed"), (0, "b", "relayed"), (0, "c", "relayed")],
            True,
            id="a cut of all links",
        ),
        pytest.param(
            [(0, "a", "refused, relayed"), (0, "b", "refused, relayed")],
            True,
            id="all links refuse",
        ),
        pytest.param(
            [(0, "a", "relayed"), (0, "b", "direct")],
            False,
            id="a cut of half of the links",
        ),
        pytest.param(
            [(0, "a", "relayed"), (0, "b", "relayed"), (0, "c", "direct")],
            True,
            id="a cut of most links",
        ),
        pytest.param(
            [(0, "a", "relayed"), (0, "b", "dead"), (0, "c", "dead")],
            True,
            id="lost upstreams do not hide a cut",
        ),
        pytest.param(
            [(0, "a", "direct"), (0, "b", "dead"), (0, "c", "dead")],
            False,
            id="lost upstreams without a cut",
        ),
        pytest.param(
            [(0, "a", "dead"), (0, "b", "dead")],
            False,
            id="only lost upstreams",
        ),
        pytest.param(
            [(0, "a", "direct"), (0, "b", "direct"), (1, "a", "relayed")],
            False,
            id="the first sign of a cut",
        ),
        pytest.param(
            [
                (0, "a", "direct"),
                (0, "b", "direct"),
                (1, "a", "relayed"),
                (0, "b", "relayed"),
            ],
            True,
            id="a cut right after sound connections",
        ),
        pytest.param(
            [(0, "a", "relayed"), (0, "b", "relayed"), (2, "a", "direct")],
            False,
            id="the end of a cut",
        ),
        pytest.param(
            [(0, "a", "relayed"), (4.9, "b", "direct"), (0.2, "b", "direct")],
            False,
            id="an old sign of a cut",
        ),
        pytest.param(
            [(0, "a", "relayed"), (4, "a", "relay only"), (4, "b", "dead")],
            True,
            id="a cut that lasts",
        ),
        pytest.param(
            [(0, "a", "relayed"), (1, "a", "direct"), (1, "a", "relayed")],
            True,
            id="a flapping link fails",
        ),
        pytest.param(
            [(0, "a", "relayed"), (1, "a", "relayed"), (1, "a", "direct")],
            False,
            id="a flapping link works",
        ),
        pytest.param(
            [(0, "a", "relay only")],
            False,
            id="a relay that was used for no reason",
        ),
    ],
)
def test_an_instance_is_cut_off_if_most_upstreams_need_relays(
    steps: Sequence[tuple[float, str, str]], is_cut_off: bool
) -> None:
    """Guards against entries that are listed although their links are cut.

    And against sound ones that are not listed because upstreams are lost.
    """
    links, _ = _replay(*steps)
    assert links.is_cut_off() is is_cut_off


def test_a_sign_of_a_cut_ages_out() -> None:
    """Guards against an idle instance that stays unlisted for good."""
    links, clock = _replay((0, "a", "relayed"))
    assert links.is_cut_off()
    clock.advance(5.0)
    assert not links.is_cut_off()
    assert links.is_relayed("a")


def test_relays_come_first_until_the_direct_path_opens() -> None:
    """Guards against requests that all wait for a link that is cut."""
    links, clock = _replay((0, "a", "dead"))
    assert links.choose_order("a") is _DIRECT_FIRST
    assert links.relay_opened("a", "r1")
    assert not links.relay_opened("a", "r1")
    assert links.is_relayed("a")
    assert links.choose_order("b") is _DIRECT_FIRST
    for retry_s in (1.0, 2.0, 4.0, 4.0):
        clock.advance(retry_s - 0.01)
        assert links.choose_order("a") is _RELAYS_FIRST
        clock.advance(0.01)
        # One connection only tries the direct path again.
        assert links.choose_order("a") is _BOTH
        assert links.choose_order("a") is _RELAYS_FIRST
        links.direct_failed("a", did_hang=True)
        assert not links.relay_opened("a", "r1")
    assert links.direct_opened("a")
    assert not links.direct_opened("a")
    assert links.choose_order("a") is _DIRECT_FIRST


@pytest.mark.parametrize(("works_s", "retry_s"), [(0.5, 2.0), (5.0, 1.0)])
def test_a_flapping_link_is_tried_less_often(
    works_s: float, retry_s: float
) -> None:
    """Guards against a flapping link that delays requests each second."""
    links, clock = _replay((0, "a", "relayed"))
    clock.advance(1.0)
    assert links.choose_order("a") is _BOTH
    links.direct_opened("a")
    clock.advance(works_s)
    links.direct_failed("a", did_hang=True)
    links.relay_opened("a", "r1")
    clock.advance(retry_s - 0.01)
    assert links.choose_order("a") is _RELAYS_FIRST
    clock.advance(0.01)
    assert links.choose_order("a") is _BOTH


def test_relays_that_failed_are_tried_last_for_a_while() -> None:
    """Guards against a suspended relay that delays one request after another."""
    links, clock = _replay()
    links.relay_failed("r1")
    assert links.order_relays(["r1", "r3", "r2"]) == ["r3", "r2", "r1"]
    assert links.has_relay_failed("r1")
    clock.advance(2.0)
    assert links.order_relays(["r1", "r3"]) == ["r1", "r3"]
    links.relay_failed("r1")
    links.relay_opened("a", "r1")
    assert links.order_relays(["r1", "r3"]) == ["r1", "r3"]


@pytest.mark.parametrize(
    ("steps", "vouches"),
    [
        ([], False),
        ([(0, "a", "dead")], False),
        ([(0, "b", "direct")], True),
        ([(0, "b", "direct"), (0, "a", "dead")], True),
        ([(0, "b", "direct"), (0, "c", "dead")], False),
        ([(0, "b", "direct"), (0, "c", "direct"), (0, "d", "dead")], True),
        ([(0, "b", "direct"), (1, "b", "relayed")], False),
        ([(0, "b", "direct"), (5, "a", "dead")], False),
    ],
)
def test_only_an_instance_with_sound_links_blames_an_upstream(
    steps: Sequence[tuple[float, str, str]], vouches: bool
) -> None:
    """Guards against instances of a cut zone that confirm each other's error.

    Each would say that the upstreams are lost, and none would find a relay.
    """
    links, _ = _replay(*steps)
    assert links.vouches_for_links("a") is vouches


@pytest.mark.parametrize(
    ("steps", "is_known_down"),
    [
        ([], False),
        ([(0, "a", "dead")], False),
        ([(0, "a", "dead"), (0, "b", "dead")], True),
        ([(0, "b", "dead"), (0, "c", "dead")], False),
        ([(0, "a", "dead"), (0, "b", "direct")], False),
        ([(0, "a", "dead"), (0, "b", "refused, relayed")], False),
        ([(0, "a", "relayed")], True),
        ([(0, "a", "relayed"), (0, "b", "direct")], True),
        ([(0, "a", "refused, relayed")], False),
        ([(0, "a", "relayed"), (1, "b", "dead")], False),
        ([(0, "a", "dead"), (0.5, "b", "dead"), (0.6, "b", "dead")], False),
    ],
)
def test_links_are_known_to_be_down_if_all_hang(
    steps: Sequence[tuple[float, str, str]], is_known_down: bool
) -> None:
    links, _ = _replay(*steps)
    assert links.is_known_down("a") is is_known_down


def test_state_of_removed_upstreams_is_dropped() -> None:
    """Guards against memory that grows with each replaced upstream."""
    links, clock = _replay((0, "a", "relayed"), (0, "b", "direct"))
    links.relay_failed("r2")
    links.keep_only({"b"})
    assert not links.is_relayed("a")
    assert links.has_relay_failed("r2")
    clock.advance(2.0)
    links.keep_only({"b"})
    assert not links._failed_s_by_relay


def test_one_of_many_threads_tries_the_direct_path_again() -> None:
    """Guards against all requests of an instance trying it at once."""
    links, clock = _replay((0, "a", "relayed"))
    clock.advance(1.0)
    orders: list[decisions.PathOrder] = []
    threads = [
        threading.Thread(target=lambda: orders.append(links.choose_order("a")))
        for _ in range(16)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert orders.count(_BOTH) == 1
    assert orders.count(_RELAYS_FIRST) == 15
