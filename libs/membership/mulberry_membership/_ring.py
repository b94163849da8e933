"""Selection of the peers of an instance on a hash ring."""

from collections.abc import Iterable

import mulberry_core as core

#: Maximum number of peers with which an instance starts exchanges.
MAX_PEERS = 5


def ring_peers(own_name: str, names: Iterable[str]) -> tuple[str, ...]:
    """Returns the members at distances 1, b, b**2, ... on the hash ring.

    The ring orders names by their hash. This mixes zones and numbered names, so
    that neighbours rarely fail together. The base b is the smallest power of
    two with which no instance has more than `MAX_PEERS` peers, because every
    peer adds another copy of each change. The base, and with it most of the
    links, stays the same under small changes of the number of members.

    Args:
        own_name: Name of this instance.
        names: Names of the members, with or without this instance.
    """
    ring = sorted(
        {own_name, *names}, key=lambda name: (core.ring_position(name), name)
    )
    own_index = ring.index(own_name)
    base = 2
    while base**MAX_PEERS < len(ring):
        base *= 2
    peers = []
    distance = 1
    while distance < len(ring):
        peers.append(ring[(own_index + distance) % len(ring)])
        distance *= base
    return tuple(peers)
