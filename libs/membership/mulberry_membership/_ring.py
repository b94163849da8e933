"""Choice of the peers that an instance exchanges with."""

from collections.abc import Iterable

import mulberry_core as core


def ring_peers(own_name: str, names: Iterable[str]) -> tuple[str, ...]:
    """Returns the members at distances 1, 2, 4, 8 ... on the ring.

    The ring orders names by their hash, so that zones and numbered names are
    mixed: neighbours rarely fail together.

    Args:
        own_name: Name of this instance.
        names: Names of the members, with or without this instance.
    """
    ring = sorted(
        {own_name, *names}, key=lambda name: (core.ring_position(name), name)
    )
    own_index = ring.index(own_name)
    peers = []
    distance = 1
    while distance < len(ring):
        peers.append(ring[(own_index + distance) % len(ring)])
        distance *= 2
    return tuple(peers)
