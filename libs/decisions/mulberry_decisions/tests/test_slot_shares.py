"""Tests of the division of slots among instances."""

import collections
import random

import hypothesis
from hypothesis import strategies as st

import mulberry_decisions as decisions

_UPSTREAMS = st.lists(
    st.builds(
        decisions.SharedUpstream,
        name=st.uuids().map(str),
        zone=st.sampled_from(["brugge", "gent"]),
        release=st.sampled_from(["", "v1", "v2"]),
        slots=st.integers(0, 9),
    ),
    max_size=12,
    unique_by=lambda upstream: upstream.name,
)


@hypothesis.given(_UPSTREAMS, st.integers(1, 40), st.randoms())
def test_each_slot_belongs_to_one_instance(
    upstreams: list[decisions.SharedUpstream],
    instances: int,
    rng: random.Random,
) -> None:
    """Guards against slots that two instances use, and against unused ones."""
    total_by_name: collections.Counter[str] = collections.Counter()
    for position in range(instances):
        shuffled = rng.sample(upstreams, len(upstreams))
        total_by_name.update(
            decisions.slot_shares(
                shuffled, decisions.InstanceRank(position, instances)
            )
        )
    assert total_by_name == {
        upstream.name: upstream.slots
        for upstream in upstreams
        if upstream.slots
    }


@hypothesis.given(_UPSTREAMS, st.integers(1, 40))
def test_shares_of_a_release_differ_by_one_slot(
    upstreams: list[decisions.SharedUpstream], instances: int
) -> None:
    """Guards against instances without any slot of a release that has many."""
    for release in ("", "v1", "v2"):
        names = {u.name for u in upstreams if u.release == release}
        shares = []
        for position in range(instances):
            slots_by_name = decisions.slot_shares(
                upstreams, decisions.InstanceRank(position, instances)
            )
            shares.append(sum(slots_by_name.get(name, 0) for name in names))
        assert max(shares) - min(shares) <= 1


def test_instances_get_slots_of_their_zone() -> None:
    """Guards against traffic between zones where the order avoids it."""
    upstreams = [
        decisions.SharedUpstream(name, zone, "", 8)
        for name, zone in (("a", "gent"), ("b", "brugge"))
    ]
    first = decisions.slot_shares(upstreams, decisions.InstanceRank(0, 2))
    second = decisions.slot_shares(upstreams, decisions.InstanceRank(1, 2))
    assert (first, second) == ({"b": 8}, {"a": 8})
