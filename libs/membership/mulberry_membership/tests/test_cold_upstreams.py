"""Tests of the records of upstreams that say that they are cold."""

import math

import pytest

import mulberry_core as core
import mulberry_membership as membership
from mulberry_wire import peer_pb2

_KIND = membership.RecordKind.UPSTREAM


def _announcement(
    sequence: int, cold_s: float, incarnation: int = 7
) -> membership.Announcement:
    return membership.Announcement(
        name="w",
        address="10.0.0.9:8080",
        incarnation=incarnation,
        sequence=sequence,
        state=membership.UpstreamState.READY,
        zone="gent",
        versions=(),
        service="app",
        capacity=8,
        running=0,
        queued=0,
        checks_fencing=False,
        valid_s=60.0,
        cold_s=cold_s,
    )


class _Home:
    """The home of an upstream, over a local soft state."""

    def __init__(self) -> None:
        self.clock = core.ManualClock(100.0)
        self.state = membership.LocalSoftState("home", self.clock)
        self.counters = core.MemoryCounters()
        self.directory = membership.UpstreamDirectory(
            self.state, self.clock, self.counters
        )

    def announce(
        self, sequence: int, cold_s: float, incarnation: int = 7
    ) -> None:
        outcome = self.directory.announce(
            _announcement(sequence, cold_s, incarnation)
        )
        assert outcome is membership.AnnounceOutcome.ACCEPTED

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.25)):
            self.clock.advance(0.25)
            self.directory.tick()

    @property
    def published(self) -> int:
        return self.counters.count("membership.upstream_records")

    @property
    def record(self) -> membership.Record:
        record = self.state.latest(_KIND, "w")
        assert isinstance(record, membership.Record)
        return record

    @property
    def cold_ms(self) -> int:
        payload = peer_pb2.UpstreamPayload()
        payload.ParseFromString(self.record.payload)
        return payload.cold_ms


@pytest.fixture
def home() -> _Home:
    return _Home()


def test_first_record_says_that_the_upstream_is_cold(home: _Home) -> None:
    """Guards against a new upstream that others take for warm."""
    home.announce(1, 3.0)
    assert home.record.urgent
    assert home.cold_ms == 3_000
    home.clock.advance(1.0)
    (upstream,) = home.directory.upstreams().values()
    assert upstream.cold_until_s == pytest.approx(103.0)


def test_count_down_publishes_nothing_until_the_end(home: _Home) -> None:
    """Guards against a record for each announcement of a cold upstream."""
    home.announce(1, 3.0)
    home.run(1.25)
    home.announce(2, 1.7)
    home.run(1.25)
    home.announce(3, 0.55)
    assert home.published == 1
    home.run(2.0)
    assert home.published == 2
    assert home.cold_ms == 0
    home.run(5.0)
    home.announce(4, 0.0)
    home.run(5.0)
    assert home.published == 2


def test_warm_upstream_that_becomes_cold_is_published_at_once(
    home: _Home,
) -> None:
    """Guards against others that learn of it with the next load change."""
    home.announce(1, 0.0)
    home.announce(2, 2.0)
    assert home.published == 2
    assert home.record.urgent
    assert home.cold_ms == 2_000


def test_longer_cold_time_is_published_at_once(home: _Home) -> None:
    """Guards against an upstream that counts as warm after the first time."""
    home.announce(1, 2.0)
    home.run(1.0)
    home.announce(2, 3.0)
    assert home.published == 2
    assert home.record.urgent
    assert home.cold_ms == 3_000


def test_earlier_end_is_published(home: _Home) -> None:
    """Guards against a limit that outlasts the cold time."""
    home.announce(1, 300.0)
    home.run(1.25)
    home.announce(2, 0.0)
    home.run(1.0)
    assert home.cold_ms == 0
    (upstream,) = home.directory.upstreams().values()
    assert upstream.cold_until_s == -math.inf


def test_restart_within_the_cold_time_is_published(home: _Home) -> None:
    home.announce(1, 3.0)
    home.run(1.0)
    home.announce(1, 3.0, incarnation=8)
    assert home.published == 2
    assert home.cold_ms == 3_000


def test_warm_upstreams_take_no_more_bytes() -> None:
    """Guards against records that grow where no upstream is ever cold."""
    home = _Home()
    home.announce(1, 0.0)
    payload = peer_pb2.UpstreamPayload()
    payload.ParseFromString(home.record.payload)
    assert {field.name for field, _ in payload.ListFields()} == {
        "address",
        "zone",
        "service",
        "capacity",
    }


def test_home_tells_when_an_upstream_announced_itself(home: _Home) -> None:
    """Guards against permits of a home that the upstream has left."""
    assert home.directory.announced_age_s("w") == math.inf
    home.announce(1, 3.0)
    home.clock.advance(0.5)
    assert home.directory.announced_age_s("w") == pytest.approx(0.5)


def test_receivers_count_from_the_arrival() -> None:
    """Guards against a cold time that ends early where the record is late."""
    simulation = membership.Simulation(3)
    simulation.rounds(4)
    directories = {
        name: membership.UpstreamDirectory(
            instance, simulation.clock, simulation.counters
        )
        for name, instance in simulation.instances_by_name.items()
    }
    directories["i0"].announce(_announcement(1, 3.0))
    announced_s = simulation.clock.now()
    simulation.rounds(4)
    for directory in directories.values():
        upstream = directory.find("w")
        assert isinstance(upstream, membership.Upstream)
        assert announced_s + 3.0 <= upstream.cold_until_s
        assert upstream.cold_until_s <= simulation.clock.now() + 3.0


def test_cold_time_of_another_instance_is_bounded() -> None:
    """Guards against an upstream that is cold for weeks by one odd record."""
    home = _Home()
    payload = peer_pb2.UpstreamPayload(
        address="10.0.0.9:8080", zone="gent", capacity=8, cold_ms=2**32 - 1
    )
    home.state.put(_KIND, "w", 7, 1, payload.SerializeToString())
    upstream = home.directory.find("w")
    assert isinstance(upstream, membership.Upstream)
    assert upstream.cold_until_s == pytest.approx(home.clock.now() + 600.0)
