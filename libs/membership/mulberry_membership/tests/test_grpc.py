"""Tests of membership over gRPC connections on loopback."""

import threading
from collections.abc import Iterator
from concurrent import futures

import grpc
import pytest

import mulberry_core as core
import mulberry_membership as membership
from mulberry_wire import peer_pb2

#: Timeout for waiting on another thread, seconds; reached only on a hang.
WAIT_S = 30.0


class _Instance:
    def __init__(self, name: str, seeds: tuple[str, ...]) -> None:
        self.server = grpc.server(futures.ThreadPoolExecutor(max_workers=16))
        port = self.server.add_insecure_port("127.0.0.1:0")
        self.address = f"127.0.0.1:{port}"
        self.transport = membership.GrpcTransport()
        clock = core.SystemClock()
        self.timers = core.TimerService(clock)
        self.counters = core.MemoryCounters()
        self.membership = membership.Membership(
            name=name,
            address=self.address,
            zone="gent",
            region="be-vl",
            seeds=seeds,
            transport=self.transport,
            clock=clock,
            counters=self.counters,
        )
        membership.add_peers_service(self.server, self.membership)
        self.server.start()
        self.timers.start()
        self.membership.start(self.timers)

    def stop(self) -> None:
        self.membership.stop()
        self.timers.stop()
        self.server.stop(grace=None).wait()
        self.transport.close()


@pytest.fixture(name="instances")
def _instances() -> Iterator[list[_Instance]]:
    instances: list[_Instance] = []
    try:
        for index in range(3):
            seeds = tuple(item.address for item in instances[:1])
            instances.append(_Instance(f"i{index}", seeds))
        yield instances
    finally:
        for instance in instances:
            instance.stop()


def _wait_for_record(
    instance: _Instance, kind: membership.RecordKind, id: str, removed: bool
) -> None:
    arrived = threading.Event()

    def check(record: membership.Record) -> None:
        if record.id == id and record.removed is removed:
            arrived.set()

    instance.membership.subscribe(kind, check)
    if (id in instance.membership.records(kind)) is not removed:
        arrived.set()
    assert arrived.wait(WAIT_S)


def test_records_reach_all_instances(instances: list[_Instance]) -> None:
    """Guards against a transport that drops or alters fields of records."""
    kind = membership.RecordKind.UPSTREAM
    instances[0].membership.put(kind, "pool-1", 5, 7, b"load", urgent=True)
    for instance in instances:
        _wait_for_record(instance, kind, "pool-1", removed=False)
        record = instance.membership.records(kind)["pool-1"]
        assert (record.owner, record.incarnation) == ("i0", 5)
        assert (record.sequence, record.payload) == (7, b"load")
    instances[0].membership.remove(kind, "pool-1")
    for instance in instances:
        _wait_for_record(instance, kind, "pool-1", removed=True)
        assert instance.membership.records(kind) == {}


def test_stop_of_one_instance_is_noticed(instances: list[_Instance]) -> None:
    """Guards against an instance that has left but stays listed."""
    for instance in instances:
        for name in ("i0", "i1", "i2"):
            _wait_for_record(
                instance, membership.RecordKind.MEMBER, name, removed=False
            )
    instances[2].membership.leave()
    for instance in instances[:2]:
        _wait_for_record(
            instance, membership.RecordKind.MEMBER, "i2", removed=True
        )
        assert set(instance.membership.members()) == {"i0", "i1"}


def test_peer_with_an_odd_address_is_unreachable() -> None:
    """Guards against exchanges with a process that a member record does not name.

    gRPC takes a port modulo 65,536 and looks up everything that is no address.
    """
    instance = _Instance("i0", ())
    transport = membership.GrpcTransport()
    try:
        host, _, port = instance.address.rpartition(":")
        request = peer_pb2.ExchangeRequest(sender="peer")
        sound = transport.exchange(instance.address, request, WAIT_S)
        assert isinstance(sound, peer_pb2.ExchangeResponse)
        for address in (
            f"{host}:{int(port) + 65_536}",
            f"ipv4:{instance.address}",
            f"dns:///{instance.address}",
            "",
            "\0",
            "unix:/tmp/x",
        ):
            odd = transport.exchange(address, request, WAIT_S)
            assert isinstance(odd, core.Refusal), address
    finally:
        transport.close()
        instance.stop()
