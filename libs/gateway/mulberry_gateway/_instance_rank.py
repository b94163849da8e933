"""Position of this instance among those that share the upstreams."""

from collections.abc import Mapping

import mulberry_decisions as decisions
import mulberry_membership as membership


def instance_rank(
    members: Mapping[str, membership.Member], own_zone: str, own_name: str
) -> decisions.InstanceRank:
    """Returns the position among the instances that are not known dead.

    The order is by zone, as that of the upstreams whose slots are divided.
    The members may lack this instance while it leaves.
    """
    others = [
        (member.zone, member.name)
        for member in members.values()
        if member.name != own_name
        and member.state is not membership.MemberState.DEAD
    ]
    return decisions.InstanceRank(
        sum(key < (own_zone, own_name) for key in others), len(others) + 1
    )
