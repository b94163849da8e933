"""Tests of the cost of joining, and of comparing stores by digests."""

import pytest

import mulberry_core as core
import mulberry_membership as membership
from mulberry_membership import _link, _ring, _store
from mulberry_wire import peer_pb2

ENTRY = membership.RecordKind.ENTRY
UPSTREAM = membership.RecordKind.UPSTREAM


def _start_all(count: int) -> membership.Simulation:
    simulation = membership.Simulation(count, seed=5, seed_count=3)
    for name, instance in simulation.instances_by_name.items():
        instance.publish(ENTRY, name, b"x" * 60, urgent=True)
    simulation.rounds(12)
    assert simulation.has_converged()
    return simulation


@pytest.mark.parametrize("count", [12, 100])
def test_start_of_all_sends_each_record_few_times(count: int) -> None:
    """Guards against a startup cost that grows faster than the members.

    200 instances that started together each sent 5,000 records to propagate
    400.
    """
    simulation = _start_all(count)
    sent = simulation.counters.count("membership.records_out")
    records = 2 * count
    assert sent / count <= 6 * records


def test_start_of_all_opens_few_links(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against replacing links for every newly discovered member.

    200 instances that started together opened 285 links each.
    """
    opened = []
    init = _link.PeerLink.__init__

    def count_links(link: _link.PeerLink, *args: object) -> None:
        opened.append(link)
        init(link, *args)  # type: ignore[arg-type]

    monkeypatch.setattr(_link.PeerLink, "__init__", count_links)
    count = 100
    _start_all(count)
    assert len(opened) / count <= 4 * _ring.MAX_PEERS


@pytest.mark.parametrize("count", [2, 9, 33, 200, 330, 1_000])
def test_number_of_peers_is_bounded(count: int) -> None:
    """Guards against a cost per change that grows with the instances."""
    names = [f"i{index}" for index in range(count)]
    for name in names[:50]:
        peers = _ring.ring_peers(name, dict.fromkeys(names, "gent"))
        assert 1 <= len(peers) <= _ring.MAX_PEERS
        assert name not in peers


def _pair() -> tuple[membership.Simulation, str, str]:
    simulation = _start_all(2)
    return simulation, "i0", "i1"


def test_new_link_between_equal_stores_sends_nothing() -> None:
    """Guards against sending the whole state over every new link."""
    simulation, one, other = _pair()
    instance = simulation.instances_by_name[one]
    for index in range(300):
        instance.put(UPSTREAM, f"u{index}", 1, 1, b"x")
    simulation.rounds(8)
    before = simulation.counters.count("membership.records_out")
    link = _link.PeerLink(
        other, f"address-{other}", instance._store, simulation.clock
    )
    assert instance._peers.exchange(link)
    assert instance._peers.exchange(link)
    sent = simulation.counters.count("membership.records_out") - before
    # The sender first sends the records that it has published itself.
    assert sent <= len(instance._store._index.of_owner(one))


def test_change_after_the_comparison_is_sent() -> None:
    """Guards against losing a change in a bucket that was equal before."""
    simulation, one, other = _pair()
    instance = simulation.instances_by_name[one]
    link = _link.PeerLink(
        other, f"address-{other}", instance._store, simulation.clock
    )
    assert instance._peers.exchange(link)
    instance.put(UPSTREAM, "late", 1, 1, b"x")
    assert link.is_due()
    assert instance._peers.exchange(link)
    assert "late" in simulation.instances_by_name[other].records(UPSTREAM)


def test_digests_of_an_unknown_size_differ_everywhere() -> None:
    """Guards against withholding records from a version with other buckets."""
    store = _store.RecordStore(core.ManualClock(1_000.0))
    differing = store.compare([1, 2, 3])
    assert len(differing.buckets) == len(store.digests().by_bucket)


def test_removal_is_sent_over_a_new_link() -> None:
    """Guards against a removed record that stays on one of two instances."""
    simulation, one, other = _pair()
    instance = simulation.instances_by_name[one]
    instance.put(UPSTREAM, "u", 1, 1, b"x")
    simulation.rounds(4)
    instance.remove(UPSTREAM, "u")
    link = _link.PeerLink(
        other, f"address-{other}", instance._store, simulation.clock
    )
    assert instance._peers.exchange(link)
    assert instance._peers.exchange(link)
    assert "u" not in simulation.instances_by_name[other].records(UPSTREAM)


def test_peer_of_an_earlier_version_gets_everything() -> None:
    """Guards against records withheld from peers during a rolling upgrade."""
    simulation, one, _ = _pair()
    instance = simulation.instances_by_name[one]
    instance.put(UPSTREAM, "u", 1, 1, b"x")
    request = peer_pb2.ExchangeRequest(sender="earlier", full=True)
    response = instance.handle_exchange(request)
    assert not response.compared
    assert {wire.id for wire in response.records} >= {"u", "i0", "i1"}


def test_peer_that_compares_no_digests_gets_everything() -> None:
    """Guards against records withheld from a version without digests."""
    simulation = _start_all(3)
    instance = simulation.instances_by_name["i0"]
    link = _link.PeerLink("i1", "address-i1", instance._store, simulation.clock)
    sent = link.request("i0")
    assert sent.request.digests
    assert {wire.id for wire in sent.request.records} == {"i0"}
    link.record_success(peer_pb2.ExchangeResponse(session=7, stamp=1), sent)
    again = link.request("i0")
    assert {wire.id for wire in again.request.records} >= {"i1", "i2"}
