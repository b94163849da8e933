"""Tests of single exchanges: records sent, acknowledged and rejected."""

import mulberry_core as core
import mulberry_membership as membership
from mulberry_membership import _link, _records, _store
from mulberry_wire import peer_pb2

ENTRY = membership.RecordKind.ENTRY


def _record(id: str, owner: str = "x", sequence: int = 1) -> _records.Record:
    return _records.Record(ENTRY, id, owner, 1, 1, sequence, b"")


def _wire(record: _records.Record) -> peer_pb2.WireRecord:
    return peer_pb2.WireRecord(
        kind=f"WIRE_RECORD_KIND_{record.kind.name}",
        id=record.id,
        owner=record.owner,
        epoch=record.epoch,
        incarnation=record.incarnation,
        sequence=record.sequence,
        payload=record.payload,
    )


def _member(name: str, epoch: int) -> peer_pb2.WireRecord:
    payload = peer_pb2.MemberPayload(address=f"address-{name}")
    return _wire(
        _records.Record(
            membership.RecordKind.MEMBER,
            name,
            name,
            epoch,
            epoch,
            1,
            payload.SerializeToString(),
        )
    )


def _ids(
    message: peer_pb2.ExchangeRequest | peer_pb2.ExchangeResponse,
) -> set[str]:
    return {wire.id for wire in message.records}


def _link_and_store() -> tuple[_link.PeerLink, _store.RecordStore]:
    clock = core.ManualClock()
    store = _store.RecordStore(clock)
    return _link.PeerLink("peer", "address", store, clock), store


def _acknowledge(link: _link.PeerLink, sent: _link.SentRequest) -> None:
    link.record_success(peer_pb2.ExchangeResponse(session=7, stamp=3), sent)


def test_records_of_a_lost_request_are_sent_again() -> None:
    """Guards against treating lost records as acknowledged."""
    link, store = _link_and_store()
    _acknowledge(link, link.request("me"))
    store.merge(_record("a"))
    sent = link.request("me")
    link.record_failure(sent)
    store.merge(_record("b"))
    sent = link.request("me")
    assert _ids(sent.request) == {"a", "b"}
    _acknowledge(link, sent)
    assert _ids(link.request("me").request) == set()


def test_record_is_not_returned_to_its_source() -> None:
    """Guards against sending a record back to the peer it came from."""
    link, store = _link_and_store()
    _acknowledge(link, link.request("me"))
    store.merge(_record("a"), source="peer")
    store.merge(_record("b"), source="other")
    assert _ids(link.request("me").request) == {"b"}


def test_record_that_a_peer_sends_too_is_not_sent_to_it() -> None:
    """Guards against sending a record to a peer that has sent it too."""
    link, store = _link_and_store()
    _acknowledge(link, link.request("me"))
    store.merge(_record("a"), source="other")
    store.merge(_record("a"), source="peer")
    assert _ids(link.request("me").request) == set()


def test_acknowledged_record_is_not_in_the_response_to_the_peer() -> None:
    """Guards against sending a record in both a request and a response."""
    link, store = _link_and_store()
    _acknowledge(link, link.request("me"))
    store.merge(_record("a"))
    sent = link.request("me")
    assert len(store.changes_since(0, "peer", 10).stored_records) == 1
    _acknowledge(link, sent)
    assert store.changes_since(0, "peer", 10).stored_records == ()
    store.merge(_record("a", sequence=2))
    sent = link.request("me")
    # Replaces the record while the request is in transit.
    store.merge(_record("a", sequence=3))
    _acknowledge(link, sent)
    assert len(store.changes_since(0, "peer", 10).stored_records) == 1


def test_restarted_peer_gets_everything() -> None:
    """Guards against sending only new changes to a peer that has restarted."""
    link, store = _link_and_store()
    store.merge(_record("a"), source="peer")
    _acknowledge(link, link.request("me"))
    assert _ids(link.request("me").request) == set()
    restarted = peer_pb2.ExchangeResponse(session=8, stamp=1)
    link.record_success(restarted, link.request("me"))
    # The peer first sends its own records; here it has none.
    link.record_success(restarted, link.request("me"))
    assert _ids(link.request("me").request) == {"a"}


def test_first_exchange_sends_own_records_and_the_next_missing_ones() -> None:
    """Guards against sending all records twice over each link at startup."""
    link, store = _link_and_store()
    store.merge(_record("own", owner="me"))
    store.merge(_record("both"))
    store.merge(_record("lacking"))
    sent = link.request("me")
    assert _ids(sent.request) == {"own"}
    assert sent.request.full
    # The records of a response are merged before its success is recorded.
    store.merge(_record("both"), source="peer")
    _acknowledge(link, sent)
    assert link.is_due()
    assert _ids(link.request("me").request) == {"lacking"}


def test_new_link_clears_acknowledgements_of_an_earlier_process() -> None:
    """Guards against records that a restarted peer never receives."""
    clock = core.ManualClock()
    store = _store.RecordStore(clock)
    store.merge(_record("a"), source="peer")
    link = _link.PeerLink("peer", "address", store, clock)
    _acknowledge(link, link.request("me"))
    assert _ids(link.request("me").request) == {"a"}


def _idle_link() -> tuple[_link.PeerLink, _store.RecordStore, core.ManualClock]:
    clock = core.ManualClock()
    store = _store.RecordStore(clock)
    link = _link.PeerLink("peer", "address", store, clock)
    link.idle_period_s = 1.0
    _acknowledge(link, link.request("me"))
    assert not link.is_due()
    return link, store, clock


def test_link_is_due_when_the_idle_period_has_passed() -> None:
    """Guards against failures that go undetected on idle links."""
    link, _, clock = _idle_link()
    clock.advance(1.0)
    assert link.is_due()


def test_link_is_due_for_a_change() -> None:
    """Guards against a change that waits for the idle period."""
    link, store, _ = _idle_link()
    store.merge(_record("a"), source="peer")
    assert not link.is_due()
    store.merge(_record("b"), source="other")
    assert link.is_due()


def test_requested_exchange_is_due_until_it_is_done() -> None:
    """Guards against a request lost between the wait and the exchange."""
    link, _, _ = _idle_link()
    link.request_exchange()
    link.wait(10.0)
    assert link.is_due()
    _acknowledge(link, link.request("me"))
    assert not link.is_due()


def test_link_is_due_after_a_failure_and_for_remaining_records() -> None:
    """Guards against retries and remaining records that wait while idle."""
    link, _, _ = _idle_link()
    link.record_failure(link.request("me"))
    assert link.is_due()
    sent = link.request("me")
    link.record_success(peer_pb2.ExchangeResponse(session=7, more=True), sent)
    assert link.is_due()


def _instance() -> tuple[membership.Simulation, membership.Membership]:
    simulation = membership.Simulation(1)
    return simulation, simulation.instances_by_name["i0"]


def test_restarted_sender_receives_records_it_had_sent() -> None:
    """Guards against records that a restarted instance never receives again."""
    _, instance = _instance()
    request = peer_pb2.ExchangeRequest(sender="x")
    request.records.append(_member("x", 5))
    request.records.append(_wire(_record("a", owner="y")))
    instance.handle_exchange(request)
    response = instance.handle_exchange(peer_pb2.ExchangeRequest(sender="x"))
    assert "a" in _ids(response)
    response = instance.handle_exchange(
        peer_pb2.ExchangeRequest(
            sender="x",
            receiver_session=response.session,
            have_stamp=response.stamp,
        )
    )
    assert _ids(response) == set()


def test_old_copy_of_a_forgotten_member_is_refused() -> None:
    """Guards against dead members that reappear again and again."""
    simulation, instance = _instance()
    request = peer_pb2.ExchangeRequest(sender="y")
    request.records.append(_member("x", 5))
    instance.handle_exchange(request)
    assert "x" in instance.members()
    simulation.seconds(70.0)
    assert "x" not in instance.members()
    instance.handle_exchange(request)
    assert "x" not in instance.members()
    assert "x" in instance.records(membership.RecordKind.SUSPICION)
    newer = peer_pb2.ExchangeRequest(sender="y")
    newer.records.append(_member("x", 6))
    instance.handle_exchange(newer)
    assert "x" in instance.members()


def test_late_copy_of_an_earlier_process_is_not_listed() -> None:
    """Guards against stale upstreams that return after a home restarts."""
    simulation, instance = _instance()
    request = peer_pb2.ExchangeRequest(sender="x")
    request.records.append(_member("x", 1))
    request.records.append(_wire(_record("a")))
    instance.handle_exchange(request)
    assert "a" in instance.records(ENTRY)
    restarted = peer_pb2.ExchangeRequest(sender="x")
    restarted.records.append(_member("x", 2))
    instance.handle_exchange(restarted)
    simulation.clock.advance(3.5)
    instance.tick()
    instance.handle_exchange(request)
    assert "a" not in instance.records(ENTRY)


def test_malformed_records_are_dropped() -> None:
    """Guards against a faulty peer that exhausts memory or breaks exchanges."""
    _, instance = _instance()
    request = peer_pb2.ExchangeRequest(sender="x")
    request.records.append(_member("x", 1))
    for field, value in (
        ("id", ""),
        ("owner", ""),
        ("id", "i" * 1000),
        ("payload", b"p" * 100_000),
        ("kind", 99),
    ):
        wire = _wire(_record("bad"))
        setattr(wire, field, value)
        request.records.append(wire)
    broken = _member("broken", 1)
    broken.payload = b"\xff\xff\xff"
    request.records.append(broken)
    request.records.append(_wire(_record("good")))
    instance.handle_exchange(request)
    assert set(instance.records(ENTRY)) == {"good"}
    assert set(instance.members()) == {"i0", "x"}
