"""Tests of the exchange of rejection limits and of the instances' order."""

from collections.abc import Mapping

import pytest

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
from mulberry_gateway import _instance_rank, _limit_exchange


class _SoftState(membership.LocalSoftState):
    """Soft state with the entry record of one other instance."""

    def __init__(
        self, clock: core.Clock, other: str, entry: membership.EntryState
    ) -> None:
        super().__init__("m", clock)
        self.publish(membership.RecordKind.ENTRY, "m", entry.encode())
        self._other = membership.Record(
            kind=membership.RecordKind.ENTRY,
            id=other,
            owner=other,
            epoch=1,
            incarnation=1,
            sequence=1,
            payload=entry.encode(),
        )

    def records(
        self, kind: membership.RecordKind
    ) -> Mapping[str, membership.Record]:
        return {**super().records(kind), self._other.id: self._other}


def _exchange(
    other: str, *limits: tuple[str, int]
) -> tuple[decisions.RejectionLimiter, _limit_exchange.LimitExchange]:
    clock = core.ManualClock()
    limiter = decisions.RejectionLimiter(clock)
    entry = membership.EntryState(
        "127.0.0.1:1", "gent", False, 0.0, rejection_limits=limits
    )
    soft_state = _SoftState(clock, other, entry)
    return limiter, _limit_exchange.LimitExchange(
        soft_state, limiter, core.DecisionLog(clock)
    )


def test_limits_of_other_instances_are_applied() -> None:
    """Guards against instances that learn limits only from own answers."""
    limiter, exchange = _exchange("z", ("app", 2))
    assert not exchange.exchange()
    assert limiter.is_limited("app")
    assert not limiter.is_limited("pool")


@pytest.mark.parametrize(
    ("other", "published"),
    [("a", (("pool", 5),)), ("z", (("app", 2), ("pool", 5)))],
)
def test_only_the_first_instance_publishes_a_limit(
    other: str, published: tuple[tuple[str, int], ...]
) -> None:
    """Guards against records of all instances that change at once."""
    limiter, exchange = _exchange(other, ("app", 2))
    limiter.answered("app", "w1", 2)
    limiter.answered("pool", "w2", 5)
    assert exchange.exchange() == published


def test_own_record_does_not_confirm_a_limit() -> None:
    """Guards against a limit that an instance keeps alive by itself."""
    limiter, exchange = _exchange("m", ("app", 2))
    assert not exchange.exchange()
    assert not limiter.is_limited("app")


def test_instances_agree_on_their_order() -> None:
    """Guards against slots that belong to two instances or to a dead one."""
    members = {
        name: membership.Member(name, "", zone, "", 1, 1, state)
        for name, zone, state in (
            ("a", "gent", membership.MemberState.ALIVE),
            ("b", "brugge", membership.MemberState.SUSPECT),
            ("c", "brugge", membership.MemberState.DEAD),
            ("d", "brugge", membership.MemberState.ALIVE),
        )
    }
    ranks = [
        _instance_rank.instance_rank(members, members[name].zone, name)
        for name in ("b", "d", "a")
    ]
    assert ranks == [decisions.InstanceRank(n, 3) for n in range(3)]


def test_leaving_instance_has_a_rank() -> None:
    """Guards against errors of requests while an instance leaves."""
    assert _instance_rank.instance_rank(
        {}, "gent", "a"
    ) == decisions.InstanceRank(0, 1)
