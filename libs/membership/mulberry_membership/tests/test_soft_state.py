"""Contract tests that run against each soft-state implementation.

A record is written by one object and read by another: the same object for the
local soft state, another instance for membership.
"""

import dataclasses
import math
from collections.abc import Callable

import pytest

import mulberry_core as core
import mulberry_membership as membership

ENTRY = membership.RecordKind.ENTRY
UPSTREAM = membership.RecordKind.UPSTREAM
DEMAND = membership.RecordKind.DEMAND


@dataclasses.dataclass
class _States:
    writer: membership.SoftState
    reader: membership.SoftState
    #: Advances the clock by a number of seconds, running due exchanges.
    advance: Callable[[float], None]


def _local() -> _States:
    clock = core.ManualClock()
    state = membership.LocalSoftState("i0", clock)
    return _States(state, state, clock.advance)


def _fake_network() -> _States:
    simulation = membership.Simulation(3)
    simulation.rounds(5)
    return _States(
        simulation.instances_by_name["i0"],
        simulation.instances_by_name["i1"],
        simulation.seconds,
    )


@pytest.fixture(name="states", params=[_local, _fake_network])
def _states(request: pytest.FixtureRequest) -> _States:
    make: Callable[[], _States] = request.param
    return make()


def test_publish_replace_remove(states: _States) -> None:
    """Guards against a stale record that stays listed."""
    states.writer.publish(ENTRY, "e", b"one")
    states.advance(0.5)
    assert states.reader.records(ENTRY)["e"].payload == b"one"
    states.writer.publish(ENTRY, "e", b"two")
    states.advance(0.5)
    assert states.reader.records(ENTRY)["e"].payload == b"two"
    states.writer.remove(ENTRY, "e")
    states.advance(0.5)
    assert "e" not in states.reader.records(ENTRY)
    states.writer.publish(ENTRY, "e", b"three")
    states.advance(0.5)
    assert states.reader.records(ENTRY)["e"].payload == b"three"


def test_fields_arrive(states: _States) -> None:
    """Guards against fields lost in transit."""
    sent = states.writer.publish(ENTRY, "e", b"\x00\xff", urgent=True)
    states.advance(0.5)
    assert states.reader.records(ENTRY)["e"] == sent
    assert sent.owner == states.writer.owner


def test_older_order_changes_nothing(states: _States) -> None:
    """Guards against a delayed announcement that revives an upstream."""
    assert states.writer.put(UPSTREAM, "u", 5, 7, b"new")
    assert not states.writer.put(UPSTREAM, "u", 5, 6, b"late")
    assert not states.writer.put(UPSTREAM, "u", 4, 9, b"late")
    states.advance(0.5)
    assert states.reader.records(UPSTREAM)["u"].payload == b"new"
    assert states.writer.put(UPSTREAM, "u", 5, 7, b"", removed=True)
    assert not states.writer.put(UPSTREAM, "u", 5, 7, b"new")
    states.advance(0.5)
    assert "u" not in states.reader.records(UPSTREAM)
    stored = states.reader.latest(UPSTREAM, "u")
    assert isinstance(stored, membership.Record)
    assert stored.removed


def test_expiry(states: _States) -> None:
    """Guards against demand of a stopped instance that never expires."""
    seen: list[membership.Record] = []
    states.reader.subscribe(DEMAND, seen.append)
    states.writer.publish(DEMAND, "d", b"3", ttl_s=5.0)
    states.advance(1.0)
    assert "d" in states.reader.records(DEMAND)
    states.advance(6.0)
    assert "d" not in states.reader.records(DEMAND)
    assert [record.removed for record in seen] == [False, True]


def test_publishing_again_extends_the_time_to_live(states: _States) -> None:
    """Guards against demand that expires although it is refreshed."""
    for _ in range(4):
        states.writer.publish(DEMAND, "d", b"3", ttl_s=2.0)
        states.advance(1.5)
        assert "d" in states.reader.records(DEMAND)


def test_subscriptions_are_per_kind(states: _States) -> None:
    """Guards against callbacks for records of another kind."""
    seen: list[str] = []
    states.reader.subscribe(ENTRY, lambda record: seen.append(record.id))
    states.writer.publish(UPSTREAM, "u", b"")
    states.writer.publish(ENTRY, "e", b"")
    states.advance(0.5)
    assert seen == ["e"]


def test_age(states: _States) -> None:
    """Guards against load reports that seem newer than they are."""
    assert math.isinf(states.reader.age_s(UPSTREAM, "u"))
    states.writer.put(UPSTREAM, "u", 1, 1, b"")
    states.advance(4.0)
    assert 3.0 <= states.reader.age_s(UPSTREAM, "u") <= 4.0


def test_remove_of_another_owner_changes_nothing() -> None:
    """Guards against an instance that removes another owner's record.

    The local soft state has only one owner, so it is not tested here.
    """
    states = _fake_network()
    states.writer.publish(ENTRY, "e", b"one")
    states.advance(0.5)
    states.reader.remove(ENTRY, "e")
    states.advance(0.5)
    assert "e" in states.writer.records(ENTRY)
    assert "e" in states.reader.records(ENTRY)


def test_staleness_is_zero_while_exchanges_succeed(states: _States) -> None:
    """Guards against hiding upstreams while exchanges succeed."""
    states.advance(5.0)
    assert states.reader.staleness_s(states.writer.owner) == 0.0
