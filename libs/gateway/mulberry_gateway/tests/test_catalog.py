"""Tests of the list of usable upstreams."""

import dataclasses
from typing import Any

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
