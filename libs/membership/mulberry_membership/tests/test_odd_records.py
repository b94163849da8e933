"""Tests of records that no instance of this version would write.

They come from another writer, or from an instance of another version that
accepted and passed them on.
"""

import threading

import pytest

import mulberry_core as core
import mulberry_membership as membership
from mulberry_wire import peer_pb2

ENTRY = membership.RecordKind.ENTRY
MEMBER = membership.RecordKind.MEMBER
SUSPICION = membership.RecordKind.SUSPICION
UPSTREAM = membership.RecordKind.UPSTREAM

_MAX_UINT64 = 2**64 - 1


class _Instance:
    """An instance without threads that receives records from a fake peer."""

    def __init__(self) -> None:
        self.clock = core.ManualClock(1_000.0)
        self.counters = core.MemoryCounters()
        network = membership.FakeNetwork(self.clock)
        self.membership = membership.Membership(
            "own",
            "address-own",
            "zone",
            "region",
            (),
            network.transport("address-own"),
            self.clock,
            self.counters,
        )

    def receive(
        self, *records: peer_pb2.WireRecord
    ) -> peer_pb2.ExchangeResponse:
        """Handles an exchange of a peer and returns the response."""
        response = self.membership.handle_exchange(
            peer_pb2.ExchangeRequest(sender="peer", records=records, full=True)
        )
        # The response passes through the network.
        return peer_pb2.ExchangeResponse.FromString(
            response.SerializeToString()
        )


def _record(
    kind: membership.RecordKind,
    id: str = "x",
    owner: str = "peer",
    **fields: int,
) -> peer_pb2.WireRecord:
    wire = peer_pb2.WireRecord(
        kind=list(membership.RecordKind).index(kind) + 1,  # type: ignore[arg-type]
        id=id,
        owner=owner,
        epoch=5,
        incarnation=5,
        sequence=1,
        payload=b"{}",
    )
    for name, value in fields.items():
        setattr(wire, name, value)
    return wire


def _peer_member() -> peer_pb2.WireRecord:
    record = _record(MEMBER, "peer")
    record.payload = peer_pb2.MemberPayload(
        address="address-peer", zone="z", region="r"
    ).SerializeToString()
    return record


@pytest.mark.parametrize(
    "odd",
    [
        _record(SUSPICION, "own", incarnation=_MAX_UINT64),
        _record(SUSPICION, "own", incarnation=2**62 + 1),
        _record(MEMBER, "own", "own", incarnation=_MAX_UINT64),
        _record(MEMBER, "own", "own", epoch=_MAX_UINT64),
        _record(ENTRY, "own", "own", epoch=_MAX_UINT64),
        _record(ENTRY, "own", "own", incarnation=_MAX_UINT64),
        _record(ENTRY, "x", sequence=_MAX_UINT64),
        _record(UPSTREAM, "x", "own", epoch=_MAX_UINT64),
        _record(UPSTREAM, "x", incarnation=_MAX_UINT64),
        _record(UPSTREAM, "x", sequence=_MAX_UINT64),
    ],
    ids=str,
)
def test_number_too_large_ends_no_exchange(odd: peer_pb2.WireRecord) -> None:
    """Guards against an instance that no peer can exchange with any more.

    It answered such a number with the next one, which fits no message, also
    after a restart, when its peers sent it the record again.
    """
    instance = _Instance()
    before = instance.membership.incarnation
    response = instance.receive(_peer_member(), odd, _record(ENTRY, "sound"))
    own = [record for record in response.records if record.owner == "own"]
    assert [record.incarnation for record in own] == [before]
    assert instance.receive().records
    assert "sound" in instance.membership.records(ENTRY)
    assert instance.counters.count("membership.invalid_records") == 1


def test_number_of_an_earlier_process_is_overruled() -> None:
    """Guards against a limit below the numbers that an instance overrules."""
    instance = _Instance()
    response = instance.receive(
        _record(MEMBER, "own", "own", epoch=2**53, incarnation=2**53)
    )
    own = [record for record in response.records if record.owner == "own"]
    assert own[0].epoch > 2**53


@pytest.mark.parametrize(
    "odd",
    [
        peer_pb2.WireRecord(),
        peer_pb2.WireRecord(kind=99, id="x", owner="peer"),  # type: ignore[arg-type]
        _record(ENTRY, ""),
        _record(ENTRY, owner=""),
        _record(ENTRY, "x" * 513),
        _record(ENTRY, "x", payload=bytes(32_769)),  # type: ignore[arg-type]
        _record(MEMBER, "x", payload=b"\xff\xff"),  # type: ignore[arg-type]
    ],
    ids=lambda wire: str(wire)[:40],
)
def test_invalid_record_is_counted(odd: peer_pb2.WireRecord) -> None:
    """Guards against records that are dropped without a trace."""
    instance = _Instance()
    instance.receive(_peer_member(), odd, _record(ENTRY, "sound"))
    assert instance.counters.count("membership.invalid_records") == 1
    assert set(instance.membership.records(ENTRY)) == {"sound"}
    assert set(instance.membership.members()) == {"own", "peer"}


def _raise(record: membership.Record) -> None:
    raise RecursionError(f"cannot decode {record.id}")


def test_failing_callback_stops_no_other() -> None:
    """Guards against one record that ends the exchange which brought it.

    The other callbacks and the records after it were left out, and the task of
    the link to the peer ended for good.
    """
    instance = _Instance()
    seen: list[str] = []
    instance.membership.subscribe(ENTRY, _raise)
    instance.membership.subscribe(ENTRY, lambda record: seen.append(record.id))
    instance.receive(_peer_member(), _record(ENTRY, "a"), _record(ENTRY, "b"))
    assert seen == ["a", "b"]
    assert set(instance.membership.records(ENTRY)) == {"a", "b"}
    assert instance.counters.count("membership.callbacks_failed") == 2


def test_failing_callback_stops_no_publication() -> None:
    """Guards against a publisher that fails because of another component."""
    instance = _Instance()
    instance.membership.subscribe(ENTRY, _raise)
    instance.membership.publish(ENTRY, "own", b"{}", ttl_s=1.0)
    instance.clock.advance(2.0)
    instance.membership.tick()
    assert instance.membership.records(ENTRY) == {}
    assert instance.counters.count("membership.callbacks_failed") == 2


class _FailingTransport(membership.PeerTransport):
    """Raises at the first exchanges, then reports that the peer is down."""

    def __init__(self, failures: int) -> None:
        self.failures = failures
        self.answered = threading.Event()

    def exchange(
        self, address: str, request: peer_pb2.ExchangeRequest, timeout_s: float
    ) -> peer_pb2.ExchangeResponse | core.Refusal:
        if self.failures:
            self.failures -= 1
            raise OverflowError("value out of range")
        self.answered.set()
        return core.Refusal(
            core.ErrorKind.UPSTREAM_FAILED, core.RunState.UNKNOWN, "down"
        )

    def disconnect(self, address: str) -> None:
        pass


@pytest.mark.parametrize("has_link", [False, True])
def test_tasks_outlive_an_error(has_link: bool) -> None:
    """Guards against a peer, or all new ones, not followed until a restart."""
    transport = _FailingTransport(failures=2)
    counters = core.MemoryCounters()
    clock = core.SystemClock()
    instance = membership.Membership(
        "own",
        "address-own",
        "zone",
        "region",
        () if has_link else ("address-seed",),
        transport,
        clock,
        counters,
        membership.Timing(exchange_period_s=0.01),
    )
    if has_link:
        instance.handle_exchange(
            peer_pb2.ExchangeRequest(sender="peer", records=[_peer_member()])
        )
    timers = core.TimerService(clock)
    instance.start(timers)
    try:
        instance.tick()
        assert transport.answered.wait(10.0)
    finally:
        instance.stop()
    assert counters.count("membership.tasks_failed") == 2


_ODD_PAYLOADS = {
    "empty": b"",
    "nested": b"[" * 30_000,
    "no UTF-8": b"\xff\xfe\xff",
    "many digits": b"9" * 5_000,
}


@pytest.mark.parametrize("payload", _ODD_PAYLOADS.values(), ids=_ODD_PAYLOADS)
@pytest.mark.parametrize("kind", membership.RecordKind)
def test_odd_record_comes_back_and_stops_nothing(
    kind: membership.RecordKind, payload: bytes
) -> None:
    """Guards against an instance that an odd record stops at each start.

    An earlier version has accepted the record and passes it on, also to an
    instance that has just started.
    """
    simulation = membership.Simulation(3)
    simulation.rounds(10)
    old = simulation.instances_by_name["i0"]
    old.put(kind, "odd", 7, 1, payload, ttl_s=600.0)
    old.publish(ENTRY, "sound", b"{}")
    for _ in range(2):
        simulation.rounds(20)
        for name in ("i1", "i2"):
            instance = simulation.instances_by_name[name]
            assert "sound" in instance.records(ENTRY)
            assert {"i0", "i1", "i2"} <= set(instance.members())
        simulation.crash("i1")
        simulation.rounds(30)
        simulation.start("i1")
    simulation.rounds(20)
    assert {"i0", "i1", "i2"} <= simulation.alive_members("i2")
    directory = membership.UpstreamDirectory(
        simulation.instances_by_name["i1"],
        simulation.clock,
        core.MemoryCounters(),
    )
    assert directory.upstreams() == {}
    assert membership.read_entries(simulation.instances_by_name["i2"]) == {}


def test_large_records_fit_into_messages() -> None:
    """Guards against exchanges that gRPC refuses for ever.

    It refuses messages of more than 4 MiB; 200 records at the limit take 6 MiB.
    """
    simulation = membership.Simulation(2)
    simulation.rounds(10)
    writer, reader = simulation.instances_by_name.values()
    for number in range(200):
        writer.publish(ENTRY, f"e{number}", bytes([number]) * 32_768)
    response = writer.handle_exchange(
        peer_pb2.ExchangeRequest(sender="late", full=True)
    )
    assert response.more
    assert response.ByteSize() < 4 << 20
    simulation.seconds(10)
    assert len(reader.records(ENTRY)) == 200
