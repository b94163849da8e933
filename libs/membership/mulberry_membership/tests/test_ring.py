"""Tests of the selection of peers."""

import collections

import pytest

from mulberry_membership import _ring

_ZONES = ("gent-a", "gent-b", "gent-c")


def _fleet(size: int, zones: tuple[str, ...] = _ZONES) -> dict[str, str]:
    return {
        f"front-{zones[n % len(zones)]}-{n}": zones[n % len(zones)]
        for n in range(size)
    }


def _peers(fleet: dict[str, str]) -> dict[str, tuple[str, ...]]:
    return {name: _ring.ring_peers(name, fleet) for name in fleet}


@pytest.mark.parametrize("size", [1, 2, 3, 12, 32, 33, 65, 76, 200, 330])
def test_peers_are_few_and_others(size: int) -> None:
    for name, peers in _peers(_fleet(size)).items():
        assert name not in peers
        assert len(set(peers)) == len(peers) <= _ring.MAX_PEERS
        assert bool(peers) == (size > 1)


def _hops(peers: dict[str, tuple[str, ...]], start: str) -> dict[str, int]:
    hops = {start: 0}
    queue = collections.deque([start])
    while queue:
        name = queue.popleft()
        for peer in peers[name]:
            if peer in peers and peer not in hops:
                hops[peer] = hops[name] + 1
                queue.append(peer)
    return hops


@pytest.mark.parametrize("size", [12, 33, 65, 200, 330])
@pytest.mark.parametrize("lost_zone", ["", "gent-b"])
def test_changes_reach_all_that_are_left(size: int, lost_zone: str) -> None:
    """Guards against zones that hear nothing while another one is lost."""
    fleet = _fleet(size)
    peers = _peers(fleet)
    left = {n: p for n, p in peers.items() if fleet[n] != lost_zone}
    for name in list(left)[:5]:
        hops = _hops(left, name)
        assert hops.keys() == left.keys()
        assert max(hops.values()) <= 14


@pytest.mark.parametrize("size", [65, 200])
def test_most_copies_of_a_change_stay_in_the_zone(size: int) -> None:
    """Guards against exchanges that fill the links between zones."""
    fleet = _fleet(size)
    links = [(a, b) for a, peers in _peers(fleet).items() for b in peers]
    between = sum(fleet[a] != fleet[b] for a, b in links)
    # Two of five peers are from the ring of all zones.
    assert between <= 0.4 * len(links)


@pytest.mark.parametrize("size", [65, 200])
def test_lost_zone_is_watched_from_the_others(size: int) -> None:
    """Guards against members whose watchers all fail with them."""
    fleet = _fleet(size)
    watchers = collections.Counter(
        peer
        for name, peers in _peers(fleet).items()
        for peer in peers[:2]
        if fleet[name] != "gent-b"
    )
    zone = [name for name in fleet if fleet[name] == "gent-b"]
    assert sum(name in watchers for name in zone) >= 0.8 * len(zone)


def test_one_zone_is_one_ring() -> None:
    fleet = _fleet(65, ("gent-a",))
    peers = _ring.ring_peers("front-gent-a-0", fleet)
    assert len(peers) == 4
