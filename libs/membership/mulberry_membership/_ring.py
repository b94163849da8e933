"""Choice of the peers that an instance exchanges with."""

from collections.abc import Iterable

import mulberry_core as core

#: Most peers that an instance begins exchanges with.
MAX_PEERS = 5


def ring_peers(own_name: str, names: Iterable[str]) -> tuple[str, ...]:
    """Returns the members at distances 1, b, b**2 ... on the ring.

    The ring orders names by their hash, so that zones and numbered names are
    mixed: neighbours rarely fail together. The base b is the least power of
    two with which no instance has more than `MAX_PEERS` peers: every peer
    brings another copy of each change. It stays the same while the number of
    members changes little, and with it most of the links.

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
