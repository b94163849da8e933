"""Tests of the list of usable upstreams."""

import dataclasses
from collections.abc import Callable
from typing import Any

import pytest

import mulberry_core as core
import mulberry_gateway as gateway
import mulberry_membership as membership
from mulberry_wire import peer_pb2

UPSTREAM = membership.Announcement(
    name="pool-1",
    address="10.0.0.9:8080",
    incarnation=7,
    sequence=1,
    state=membership.UpstreamState.READY,
    zone="gent",
    versions=(),
    service="app",
    capacity=8,
    running=0,
    queued=0,
    checks_fencing=False,
    valid_s=60.0,
)
LEAVING = dataclasses.replace(
    UPSTREAM, sequence=2, state=membership.UpstreamState.LEAVING
)


class RecordingLog(core.DecisionLog):
    """Keeps the events instead of writing them."""

    def __init__(self, clock: core.Clock) -> None:
        super().__init__(clock, fd=-1)
        self.events: list[dict[str, Any]] = []

    def note(self, event: str, /, *, keep: bool = False, **fields: Any) -> None:
        self.events.append({"event": event, **fields})


class Deployment:
    """Instances `i0` to `i2`; the catalog is that of `i1`."""

    def __init__(self) -> None:
        self.simulation = membership.Simulation(3)
        self.simulation.rounds(4)
        clock = self.simulation.clock
        instances = self.simulation.instances_by_name
        self.directory_by_instance = {
            name: membership.UpstreamDirectory(
                instance, clock, self.simulation.counters
            )
            for name, instance in instances.items()
        }
        self.own = instances["i1"]
        self.log = RecordingLog(clock)
        self.catalog = gateway.UpstreamCatalog(
            self.directory_by_instance["i1"], self.own, clock, self.log
        )

    def announce(
        self, home: str, announcement: membership.Announcement
    ) -> None:
        """Announces an upstream at its home and lets the record pass on."""
        self.directory_by_instance[home].announce(announcement)
        self.simulation.round()

    def receive(self, *records: peer_pb2.WireRecord) -> None:
        """Passes records on to `i1`, as by another instance."""
        self.own.handle_exchange(
            peer_pb2.ExchangeRequest(sender="i2", records=records)
        )

    def usable(self) -> set[str]:
        """Returns the upstreams that may be chosen."""
        return {
            upstream.name
            for upstream in self.catalog.for_service("app")
            if upstream.state is membership.UpstreamState.READY
        }

    def events(self, event: str) -> list[dict[str, Any]]:
        """Returns the fields of all events of a kind."""
        return [line for line in self.log.events if line["event"] == event]


def test_departures_are_logged_when_their_record_arrives() -> None:
    """Guards against logs that show a departure only at the next request."""
    deployment = Deployment()
    deployment.announce("i0", UPSTREAM)
    assert not deployment.events("departure")
    deployment.announce("i0", LEAVING)
    assert deployment.events("departure") == [
        {
            "event": "departure",
            "name": "pool-1",
            "incarnation": 7,
            "home": "i0",
            "state": "leaving",
        }
    ]


def test_retained_upstreams_are_logged_once() -> None:
    """Guards against logs that hide how old the state of an upstream is."""
    deployment = Deployment()
    deployment.announce("i0", UPSTREAM)
    assert deployment.usable() == {"pool-1"}
    deployment.simulation.crash("i0")
    deployment.simulation.seconds(6.0)
    for _ in range(2):
        assert deployment.usable() == {"pool-1"}
        deployment.simulation.round()
    lines = [
        line
        for line in deployment.events("upstream")
        if line["state"] == "retained"
    ]
    assert len(lines) == 1
    assert lines[0]["home"] == "i0"
    assert lines[0]["departed"] is False
    assert lines[0]["stale_s"] > 2.0


def _wire(
    deployment: Deployment, kind: membership.RecordKind, id: str, **changes: Any
) -> peer_pb2.WireRecord:
    """Returns the record that `i1` has, with changes, as on the wire."""
    record = deployment.own.latest(kind, id)
    assert isinstance(record, membership.Record)
    fields = {
        "kind": f"WIRE_RECORD_KIND_{kind.name}",
        "id": record.id,
        "owner": record.owner,
        "epoch": record.epoch,
        "incarnation": record.incarnation,
        "sequence": record.sequence,
        "payload": record.payload,
        **changes,
    }
    return peer_pb2.WireRecord(**fields)


def _leaving(deployment: Deployment, **changes: Any) -> peer_pb2.WireRecord:
    record = deployment.own.latest(membership.RecordKind.UPSTREAM, "pool-1")
    assert isinstance(record, membership.Record)
    payload = peer_pb2.UpstreamPayload.FromString(record.payload)
    payload.leaving = True
    return _wire(
        deployment,
        membership.RecordKind.UPSTREAM,
        "pool-1",
        sequence=2,
        payload=payload.SerializeToString(),
        **changes,
    )


def _suspect_home(deployment: Deployment) -> None:
    home = _wire(deployment, membership.RecordKind.MEMBER, "i0")
    deployment.receive(
        peer_pb2.WireRecord(
            kind=peer_pb2.WIRE_RECORD_KIND_SUSPICION,
            id="i0",
            owner="i2",
            epoch=1,
            incarnation=home.incarnation,
            sequence=1,
            payload=peer_pb2.SuspicionPayload(accuser="i2").SerializeToString(),
        )
    )


def _wait(deployment: Deployment, seconds: float) -> None:
    deployment.simulation.clock.advance(seconds)
    deployment.own.tick()


def _leaves_while_home_is_suspected(deployment: Deployment) -> None:
    _suspect_home(deployment)
    _wait(deployment, 1.5)
    deployment.receive(_leaving(deployment))


def _leaves_while_home_counts_as_dead(deployment: Deployment) -> None:
    _suspect_home(deployment)
    _wait(deployment, 3.5)
    deployment.receive(_leaving(deployment))


def _leaves_before_home_leaves(deployment: Deployment) -> None:
    home = _wire(deployment, membership.RecordKind.MEMBER, "i0", removed=True)
    deployment.receive(_leaving(deployment), home)


def _leaves_at_an_unknown_home(deployment: Deployment) -> None:
    home = _wire(deployment, membership.RecordKind.MEMBER, "i0", removed=True)
    deployment.receive(home)
    deployment.receive(_leaving(deployment, owner="i9"))


def _leaves_before_home_restarts(deployment: Deployment) -> None:
    home = _wire(deployment, membership.RecordKind.MEMBER, "i0")
    leaving = _leaving(deployment)
    home.epoch += 1
    home.incarnation += 1
    deployment.receive(home)
    _wait(deployment, 2.0)
    deployment.receive(leaving)
    _wait(deployment, 2.0)


@pytest.mark.parametrize(
    "leave",
    [
        _leaves_while_home_is_suspected,
        _leaves_while_home_counts_as_dead,
        _leaves_before_home_leaves,
        _leaves_at_an_unknown_home,
        _leaves_before_home_restarts,
    ],
)
@pytest.mark.parametrize("is_listed_between", [False, True])
def test_upstream_that_leaves_is_not_retained_as_ready(
    leave: Callable[[Deployment], None], is_listed_between: bool
) -> None:
    """Guards against requests to a leaving upstream whose home is unsound."""
    deployment = Deployment()
    deployment.announce("i0", UPSTREAM)
    assert deployment.usable() == {"pool-1"}
    if is_listed_between:
        _suspect_home(deployment)
        _wait(deployment, 1.5)
        assert deployment.usable() == {"pool-1"}
    leave(deployment)
    assert deployment.usable() == set()
