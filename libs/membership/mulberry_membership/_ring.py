"""Selection of the peers of an instance on hash rings."""

from collections.abc import Mapping, Sequence

import mulberry_core as core

#: Maximum number of peers with which an instance starts exchanges.
MAX_PEERS = 5
#: Number of members above which most peers are of the same availability zone.
#: Every peer gets a copy of nearly each change, and traffic between zones costs
#: money: with all peers on one ring, exchanges were nine tenths of the bytes
#: between the zones of a fleet of 65.
_MIXED_MEMBERS = 32
#: Peers on the ring of the own zone.
_ZONE_PEERS = 3


def ring_peers(
    own_name: str, zone_by_name: Mapping[str, str]
) -> tuple[str, ...]:
    """Returns the peers of an instance, those that it must watch first.

    The ring orders names by their hash. This mixes zones and numbered names, so
    that neighbours rarely fail together. The peers are at distances 1, b, b**2,
    ... on the ring. The base b is the smallest power of two with which no
    instance has more than `MAX_PEERS` peers, because every peer adds another
    copy of each change. The base, and with it most of the links, stays the same
    under small changes of the number of members.

    In a large fleet of several zones only two peers are from that ring. They
    connect the zones, and watch members of all zones, so that the loss of a
    whole zone is noticed. The others are from the ring of the own zone.

    Args:
        own_name: Name of this instance.
        zone_by_name: Zone of each member, including this instance.
    """
    ring = _order(zone_by_name)
    distances = _distances(len(ring), MAX_PEERS)
    zone = zone_by_name[own_name]
    zone_ring = [name for name in ring if zone_by_name[name] == zone]
    if len(ring) <= _MIXED_MEMBERS or len(zone_ring) in (1, len(ring)):
        return _at(ring, own_name, distances)
    mixed = (distances[0], distances[len(distances) // 2])
    peers = _at(ring, own_name, mixed) + _at(
        zone_ring, own_name, _distances(len(zone_ring), _ZONE_PEERS)
    )
    return tuple(dict.fromkeys(peers))


def _order(names: Mapping[str, str]) -> list[str]:
    return sorted(names, key=lambda name: (core.ring_position(name), name))


def _distances(size: int, max_peers: int) -> list[int]:
    """Returns 1, b, b**2, ... below the size of a ring."""
    base = 2
    while base**max_peers < size:
        base *= 2
    distances = []
    distance = 1
    while distance < size:
        distances.append(distance)
        distance *= base
    return distances


def _at(
    ring: Sequence[str], own_name: str, distances: Sequence[int]
) -> tuple[str, ...]:
    own_index = ring.index(own_name)
    return tuple(
        ring[(own_index + distance) % len(ring)] for distance in distances
    )
