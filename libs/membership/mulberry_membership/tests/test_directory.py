"""Tests of announcement parsing and the upstream directory."""

import dataclasses
import json
from collections.abc import Callable, Mapping
from typing import Any

import pytest

import mulberry_core as core
import mulberry_membership as membership
from mulberry_membership import _upstreams

BODY: dict[str, Any] = {
    "name": "pool-1",
    "address": "http://127.0.0.1:8000",
    "incarnation": 5,
    "sequence": 1,
    "state": "ready",
    "zone": "coban-a",
    "serves": [{"model": "cedro-chico", "version": "2026-02"}],
    "capacity": 8,
    "load": {"running": 4, "queued": 0},
    "checks_fencing": True,
    "valid_s": 3,
}


def _announcement(**changes: Any) -> membership.Announcement:
    parsed = membership.parse_announcement(json.dumps(BODY).encode())
    assert isinstance(parsed, membership.Announcement)
    return dataclasses.replace(parsed, **changes)


class _DirectoryFixture:
    """An upstream directory over a local soft state with a manual clock."""

    def __init__(self) -> None:
        self.clock = core.ManualClock(100.0)
        self.state = membership.LocalSoftState("home", self.clock)
        self.counters = core.MemoryCounters()
        self.directory = membership.UpstreamDirectory(
            self.state, self.clock, self.counters
        )

    def announce(self, **changes: Any) -> membership.AnnounceOutcome:
        return self.directory.announce(_announcement(**changes))

    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.directory.tick()

    @property
    def published(self) -> int:
        return self.counters.count("membership.upstream_records")


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"name": ""}, "name"),
        ({"name": "x" * 129}, "name"),
        ({"name": "a b"}, "name"),
        ({"name": 7}, "name"),
        ({"address": "file:///etc/passwd"}, "address"),
        ({"address": "http://127.0.0.1:8000/v1"}, "address"),
        ({"address": "http://10.0.0.1:99999"}, "address"),
        ({"address": "http://10.0.0.1:0"}, "address"),
        ({"address": "999.999.1.1:80"}, "address"),
        ({"address": "http://1.......:80"}, "address"),
        ({"address": "http://010.0.0.1:80"}, "address"),
        ({"address": "http://a..b:80"}, "address"),
        ({"address": "http://https://10.0.0.1:80"}, "address"),
        ({"address": "http://10.0.0.1:80//"}, "address"),
        ({"incarnation": -1}, "incarnation"),
        ({"incarnation": 2**63}, "incarnation"),
        ({"sequence": "1"}, "sequence"),
        ({"sequence": True}, "sequence"),
        ({"state": "busy"}, "state"),
        ({"serves": [{"model": "m"}]}, "serves.0.version"),
        ({"serves": [BODY["serves"][0]] * 257}, "serves"),
        ({"service": "taller-app"}, "either serves or service"),
        ({"capacity": 0}, "capacity"),
        ({"capacity": 1.5}, "capacity"),
        ({"load": {"running": -1, "queued": 0}}, "load.running"),
        ({"load": None}, "load"),
        ({"valid_s": 0}, "valid_s"),
        ({"valid_s": 1e9}, "valid_s"),
        ({"valid_s": "NaN"}, "valid_s"),
        ({"checks_fencing": "yes"}, "checks_fencing"),
    ],
)
def test_malformed_announcement_is_refused(
    changes: dict[str, Any], expected: str
) -> None:
    """Guards against malformed announcements that are used for routing."""
    body = json.dumps({**BODY, **changes}).encode()
    refusal = membership.parse_announcement(body)
    assert isinstance(refusal, core.Refusal)
    assert refusal.kind is core.ErrorKind.BAD_REQUEST
    assert expected in refusal.reason


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b"null",
        b"\xff\xfe{}",
        b'{"name":' * 5000,
        json.dumps(BODY).encode()[:-1],
        json.dumps(BODY).replace("3", "NaN").encode(),
    ],
)
def test_unparsable_body_is_refused(body: bytes) -> None:
    """Guards against errors on input that is not a JSON announcement."""
    assert isinstance(membership.parse_announcement(body), core.Refusal)


@pytest.mark.parametrize(
    "address",
    [
        "127.0.0.1:8000",
        "http://127.0.0.1:8000/",
        "https://10.0.0.1:65535",
        "http://[::1]:1",
    ],
)
def test_proper_address_is_accepted(address: str) -> None:
    """Guards against an upstream that is refused for a proper address."""
    body = json.dumps({**BODY, "address": address}).encode()
    parsed = membership.parse_announcement(body)
    assert isinstance(parsed, membership.Announcement)
    assert parsed.address == address.removesuffix("/")


@pytest.mark.parametrize(("name_length", "fits"), [(50, True), (70, False)])
def test_announcement_beyond_the_size_of_a_record_is_refused(
    name_length: int, fits: bool
) -> None:
    """Guards against an upstream that only its home lists.

    The other instances leave out a record above their limit.
    """
    serves = [
        {"model": f"{number:0{name_length}}", "version": "v" * name_length}
        for number in range(256)
    ]
    body = json.dumps({**BODY, "serves": serves}).encode()
    assert len(body) < membership.MAX_ANNOUNCEMENT_BYTES
    parsed = membership.parse_announcement(body)
    assert isinstance(parsed, membership.Announcement) == fits
    if isinstance(parsed, core.Refusal):
        assert parsed.kind is core.ErrorKind.REQUEST_TOO_LARGE


def test_oversized_announcement_is_refused() -> None:
    """Guards against excessive memory use by one announcement."""
    body = b" " * (membership.MAX_ANNOUNCEMENT_BYTES + 1)
    refusal = membership.parse_announcement(body)
    assert isinstance(refusal, core.Refusal)
    assert refusal.kind is core.ErrorKind.REQUEST_TOO_LARGE


def test_announced_upstream_is_listed() -> None:
    """Guards against fields lost between the announcement and the list."""
    fixture = _DirectoryFixture()
    assert fixture.announce() is membership.AnnounceOutcome.ACCEPTED
    upstream = fixture.directory.upstreams()["pool-1"]
    assert upstream.address == "http://127.0.0.1:8000"
    assert upstream.serves("cedro-chico", "2026-02")
    assert upstream.service is core.Missing.UNSET
    assert (upstream.capacity, upstream.running, upstream.queued) == (8, 4, 0)
    assert upstream.checks_fencing
    assert upstream.home == "home"


@pytest.mark.parametrize("order", [(5, 2), (5, 1), (4, 9)])
def test_late_announcement_changes_nothing(order: tuple[int, int]) -> None:
    """Guards against a delayed `ready` that revives a leaving upstream."""
    fixture = _DirectoryFixture()
    fixture.announce(sequence=2, state=membership.UpstreamState.LEAVING)
    outcome = fixture.announce(incarnation=order[0], sequence=order[1])
    assert outcome is membership.AnnounceOutcome.OUTDATED
    state = fixture.directory.upstreams()["pool-1"].state
    assert state is membership.UpstreamState.LEAVING


def test_silent_upstream_expires_and_is_not_revived() -> None:
    """Guards against requests sent to a crashed upstream."""
    fixture = _DirectoryFixture()
    fixture.announce(sequence=7)
    fixture.advance(2.9)
    assert "pool-1" in fixture.directory.upstreams()
    fixture.advance(0.1)
    assert fixture.directory.upstreams() == {}
    assert fixture.announce(sequence=7) is membership.AnnounceOutcome.OUTDATED
    # The tombstone in the soft state has expired; the home keeps the order.
    fixture.advance(120.0)
    assert fixture.announce(sequence=6) is membership.AnnounceOutcome.OUTDATED
    assert fixture.directory.upstreams() == {}
    assert fixture.announce(sequence=8) is membership.AnnounceOutcome.ACCEPTED
    assert "pool-1" in fixture.directory.upstreams()


def test_late_announcement_of_another_home_is_outdated() -> None:
    """Guards against revival through an instance that is a new home."""
    fixture = _DirectoryFixture()
    fixture.announce(sequence=7)
    fixture.advance(3.0)
    other = membership.UpstreamDirectory(
        fixture.state, fixture.clock, fixture.counters
    )
    outcome = other.announce(_announcement(sequence=6))
    assert outcome is membership.AnnounceOutcome.OUTDATED
    assert other.upstreams() == {}


def test_old_home_does_not_remove_a_moved_upstream() -> None:
    """Guards against losing an upstream that moved to another home."""
    fixture = _DirectoryFixture()
    fixture.announce(sequence=7)
    fixture.state.put(
        membership.RecordKind.UPSTREAM,
        "pool-1",
        5,
        8,
        _upstreams.encode_upstream(_announcement(sequence=8)),
        urgent=True,
    )
    fixture.advance(3.0)
    assert "pool-1" in fixture.directory.upstreams()


@pytest.mark.parametrize(
    ("running", "published"),
    [(4, 1), (5, 2), (6, 2), (3, 2), (2, 2)],
)
def test_load_is_published_on_change(running: int, published: int) -> None:
    """Guards against traffic for announcements without a significant change."""
    fixture = _DirectoryFixture()
    fixture.announce(sequence=1, running=4)
    fixture.advance(1.0)
    fixture.announce(sequence=2, running=running)
    assert fixture.published == published


def test_small_relative_change_is_not_published() -> None:
    """Guards against a publication for each request of a busy upstream."""
    fixture = _DirectoryFixture()
    fixture.announce(sequence=1, running=40)
    fixture.advance(1.0)
    fixture.announce(sequence=2, running=41)
    assert fixture.published == 1
    assert fixture.directory.upstreams()["pool-1"].running == 41


def test_load_is_published_at_most_once_a_second() -> None:
    """Guards against excessive publications when the load fluctuates."""
    fixture = _DirectoryFixture()
    fixture.announce(sequence=1, running=0)
    for sequence in range(2, 12):
        fixture.clock.advance(0.05)
        fixture.announce(sequence=sequence, running=10 * sequence)
    assert fixture.published == 1
    fixture.advance(0.6)
    assert fixture.published == 2


def test_leaving_is_published_at_once_and_urgent() -> None:
    """Guards against the rate limit delaying the news that an upstream leaves.

    A leaving upstream must get no new requests after 3 s.
    """
    fixture = _DirectoryFixture()
    records: list[membership.Record] = []
    fixture.state.subscribe(membership.RecordKind.UPSTREAM, records.append)
    fixture.announce(sequence=1)
    fixture.announce(sequence=2, state=membership.UpstreamState.LEAVING)
    assert fixture.published == 2
    assert records[-1].urgent
    state = fixture.directory.upstreams()["pool-1"].state
    assert state is membership.UpstreamState.LEAVING


def test_restarted_upstream_replaces_its_predecessor() -> None:
    """Guards against treating a restart as a delayed announcement."""
    fixture = _DirectoryFixture()
    fixture.announce(sequence=900)
    outcome = fixture.announce(
        incarnation=6, sequence=0, address="127.0.0.1:81"
    )
    assert outcome is membership.AnnounceOutcome.ACCEPTED
    assert fixture.directory.upstreams()["pool-1"].address == "127.0.0.1:81"


class _SlowReader(membership.LocalSoftState):
    """Lets another thread go on after a reader has read the records."""

    def __init__(self, owner: str, clock: core.Clock) -> None:
        super().__init__(owner, clock)
        self.after_next_read: Callable[[], None] = lambda: None

    def records(
        self, kind: membership.RecordKind
    ) -> Mapping[str, membership.Record]:
        found = super().records(kind)
        callback, self.after_next_read = self.after_next_read, lambda: None
        callback()
        return found


def test_list_read_before_a_change_does_not_replace_a_newer_one() -> None:
    """Guards against a leaving upstream that is listed as ready again.

    A thread that was delayed while it read the records replaced the list of
    one that had read them later.
    """
    clock = core.ManualClock(100.0)
    soft_state = _SlowReader("home", clock)
    directory = membership.UpstreamDirectory(
        soft_state, clock, core.MemoryCounters(), snapshot_max_age_s=60.0
    )
    directory.announce(_announcement())

    def leave() -> None:
        directory.announce(
            _announcement(sequence=2, state=membership.UpstreamState.LEAVING)
        )
        assert _state() is membership.UpstreamState.LEAVING

    def _state() -> membership.UpstreamState:
        return directory.upstreams()["pool-1"].state

    soft_state.after_next_read = leave
    directory.upstreams()
    assert _state() is membership.UpstreamState.LEAVING
