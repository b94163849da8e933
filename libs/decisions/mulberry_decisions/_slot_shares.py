"""Division of the upstreams' slots among the instances that share them."""

import collections
import dataclasses
from collections.abc import Iterable, Mapping


@dataclasses.dataclass(frozen=True)
class InstanceRank:
    """Position of an instance in the order of all instances."""

    #: From 0.
    position: int
    count: int


@dataclasses.dataclass(frozen=True)
class SharedUpstream:
    """An upstream whose slots are divided."""

    name: str
    zone: str
    #: Version of the software that it runs; empty if it is unknown.
    release: str
    #: Number of requests that it runs at once.
    slots: int


def slot_shares(
    upstreams: Iterable[SharedUpstream], rank: InstanceRank
) -> Mapping[str, int]:
    """Returns the slots of each upstream that belong to this instance.

    Instances that agree on the upstreams and on their own order never assign
    a slot twice, without exchanging messages. The slots of each release are
    divided separately, since a session may be confined to one release. If
    there are fewer slots than instances, some instances get none.

    Args:
        upstreams: All upstreams of a service, in any order.
        rank: Position of this instance. If instances are ordered by zone, most
            of their slots are in their own zone.
    """
    by_release = collections.defaultdict(list)
    for upstream in upstreams:
        by_release[upstream.release].append(upstream)
    slots_by_name = {}
    for group in by_release.values():
        group.sort(key=lambda upstream: (upstream.zone, upstream.name))
        total = sum(max(0, upstream.slots) for upstream in group)
        # Rounded up, so that the end of one share is the start of the next.
        first = -(-rank.position * total // rank.count)
        end = -(-(rank.position + 1) * total // rank.count)
        offset = 0
        for upstream in group:
            next_offset = offset + max(0, upstream.slots)
            slots = min(end, next_offset) - max(first, offset)
            if slots > 0:
                slots_by_name[upstream.name] = slots
            offset = next_offset
    return slots_by_name
