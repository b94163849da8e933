"""Tests of the choice among direct and relayed paths."""

import json
import os
import pathlib
import socket
import threading
import time
from collections.abc import Sequence

import pytest

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_gateway as gateway
import mulberry_membership as membership
from mulberry_gateway import (
    _path_race,
    _upstream_connector,
    _upstream_paths,
)
from mulberry_gateway.tests import relay_harness

Resources = relay_harness.Resources
Cut = relay_harness.Cut
_RESET = gateway.ConnectionFailure.RESET
_TIMEOUT = gateway.ConnectionFailure.TIMEOUT


@pytest.fixture(autouse=True)
def _long_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keeps a busy machine from deciding which path opens."""
    monkeypatch.setattr(_upstream_connector, "CONNECT_TIMEOUT_S", 8.0)
    monkeypatch.setattr(_upstream_connector, "TEST_TIMEOUT_S", 8.0)
    monkeypatch.setattr(_path_race, "STAGGER_S", 0.3)
    monkeypatch.setattr(_path_race, "_RELAY_TIMEOUT_S", 2.0)


def _greet(connection: socket.socket) -> None:
    """Answers at once and waits for the close."""
    connection.sendall(b"hello")
    connection.recv(100)


class _Sender:
    """An instance that connects to one upstream, with relays r1, r2, …."""

    def __init__(self, resources: Resources, relay_count: int = 2) -> None:
        self.server = resources.server(_greet)
        self.upstream = relay_harness.upstream("i-1", self.server.address)
        self.relays = [
            resources.relay(f"r{number}", self.upstream)
            for number in range(1, relay_count + 1)
        ]
        self.source = relay_harness.FixedRelays(
            *(relay.candidate for relay in self.relays)
        )
        self.links = resources.links()
        self.clock = core.ManualClock()
        self.counters = core.MemoryCounters()
        read_fd, write_fd = os.pipe()
        self.log_path = pathlib.Path(f"/proc/self/fd/{read_fd}")
        log = core.DecisionLog(self.clock, write_fd)
        self.recorder = gateway.LinkRecorder(
            decisions.LinkHealth(self.clock), self.counters, log
        )
        self._log = log
        self._fds = (read_fd, write_fd)
        self.connector = gateway.UpstreamConnector(
            self.source, self.recorder, self.links.start_connecting
        )

    def connect(self) -> str:
        """Opens and closes a connection; returns its path or the failure."""
        opened = self.connector.connect(self.upstream)
        if isinstance(opened, gateway.ConnectionFailure):
            return opened.value
        assert opened.receive(relay_harness.LIMIT_S) == b"hello"
        opened.close()
        if isinstance(opened, gateway.RelayedConnection):
            return opened.relay.name
        return "direct"

    def end_upstream(self, cut: Cut) -> None:
        """Makes the upstream itself refuse or ignore all connections."""
        for links in (self.links, *(relay.links for relay in self.relays)):
            links.cut_by_address[self.upstream.address] = cut

    def log_lines(self) -> Sequence[dict[str, object]]:
        read_fd, write_fd = self._fds
        self._log._write()
        os.close(write_fd)
        with os.fdopen(read_fd, "rb") as log:
            return [json.loads(line) for line in log]


def test_a_sound_link_asks_no_relay(resources: Resources) -> None:
    sender = _Sender(resources)
    assert sender.connect() == "direct"
    served = [r.counters.count("gateway.relay.served") for r in sender.relays]
    assert served == [0, 0]


@pytest.mark.parametrize("cut", [Cut.HANG, Cut.REFUSE])
def test_a_relay_is_used_while_the_link_is_cut(
    resources: Resources, cut: Cut
) -> None:
    """Guards against callers of an instance whose links are cut."""
    sender = _Sender(resources, relay_count=1)
    changes: list[bool] = []
    sender.recorder.on_cut_off_change = lambda: changes.append(
        sender.recorder.health.is_cut_off()
    )
    sender.links.cut = cut
    assert sender.connect() == "r1"
    assert changes == [True]
    tried = len(sender.links.started)
    assert [sender.connect() for _ in range(3)] == ["r1"] * 3
    assert len(sender.links.started) == tried
    # The direct path is tried again beside the relay, and fails.
    sender.clock.advance(1.0)
    assert [sender.connect() for _ in range(3)] == ["r1"] * 3
    assert len(sender.links.started) == tried + 1
    sender.links.cut = Cut.NONE
    assert sender.connect() == "r1"
    sender.clock.advance(2.0)
    assert relay_harness.wait_for(lambda: _is_direct_again(sender))
    assert changes == [True, False]
    assert sender.connect() == "direct"
    assert sender.counters.count("gateway.relay.failed") == 0
    lines = sender.log_lines()
    assert {line["event"] for line in lines} == {"link"}
    assert [line.get("path", line.get("cut_off")) for line in lines] == [
        "relay",
        True,
        "direct",
        False,
    ]
    assert lines[0]["relay"] == "r1"


def _is_direct_again(sender: _Sender) -> bool:
    """Connects until the direct path wins a trial against the relay."""
    sender.connect()
    sender.clock.advance(1.0)
    return not sender.recorder.health.is_relayed("i-1")


@pytest.mark.parametrize(
    ("cut", "failure"), [(Cut.HANG, "timeout"), (Cut.REFUSE, "reset")]
)
def test_a_lost_upstream_is_not_taken_for_a_cut_link(
    resources: Resources, cut: Cut, failure: str
) -> None:
    """Guards against an instance that counts as cut off without a cut."""
    sender = _Sender(resources)
    sender.end_upstream(cut)
    assert sender.connect() == failure
    health = sender.recorder.health
    assert not health.is_relayed("i-1")
    assert not health.is_cut_off()
    # The first relay that can tell has settled it.
    refused = [r.counters.count("gateway.relay.refused") for r in sender.relays]
    assert refused == [1, 0]
    assert sender.counters.count("gateway.relay.failed") == 0
    sender.end_upstream(Cut.NONE)
    assert sender.connect() == "direct"


def _make_unusable(relay: relay_harness.Relay, how: str) -> None:
    match how:
        case "leaving":
            relay.server.leave()
        case "unknown":
            relay.upstream_by_name.clear()
        case "cut off":
            relay.recorder.direct_failed(relay_harness.OTHER, _TIMEOUT)
            relay.links.cut = Cut.REFUSE
        case "cut off, slow":
            relay.recorder.direct_failed(relay_harness.OTHER, _TIMEOUT)
            relay.links.cut = Cut.HANG
        case "ended":
            relay.server.stop()


def test_a_hanging_link_is_noticed_if_its_connection_began_late(
    resources: Resources,
) -> None:
    """Guards against a cut that goes unnoticed when the machine is busy.

    The time of the direct path is counted from its own start.
    """
    sender = _Sender(resources)
    sender.links.cut = Cut.HANG
    sender.links.start_delay_s = 0.05
    _make_unusable(sender.relays[0], "ended")
    assert sender.connect() == "r2"
    assert sender.recorder.health.is_cut_off()


def test_a_process_that_stood_still_asks_no_relay(
    resources: Resources, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against relays that add load where processor time is scarce.

    The connection has opened long before the process looks at it.
    """
    sender = _Sender(resources)
    start = _path_race.PathRace._start

    def start_and_stand_still(
        race: _path_race.PathRace,
        path: _upstream_paths.Path | core.Missing | None,
    ) -> bool:
        has_more = start(race, path)
        time.sleep(2 * _path_race.STAGGER_S)
        return has_more

    monkeypatch.setattr(_path_race.PathRace, "_start", start_and_stand_still)
    assert sender.connect() == "direct"
    served = [r.counters.count("gateway.relay.served") for r in sender.relays]
    assert served == [0, 0]
    assert not sender.recorder.health.is_cut_off()


@pytest.mark.parametrize("cut", [Cut.HANG, Cut.REFUSE])
@pytest.mark.parametrize(
    "how", ["leaving", "unknown", "cut off", "cut off, slow", "ended"]
)
def test_another_relay_is_used_if_one_fails(
    resources: Resources, cut: Cut, how: str
) -> None:
    """Guards against a cut that lasts because one relay is no help."""
    sender = _Sender(resources)
    sender.links.cut = cut
    _make_unusable(sender.relays[0], how)
    assert sender.connect() == "r2"
    assert sender.recorder.health.has_relay_failed("r1")
    assert sender.recorder.health.is_cut_off()
    # Tried last from now on.
    assert sender.connect() == "r2"
    assert sender.counters.count("gateway.relay.failed") == 1
    first = sender.relays[0].server
    assert relay_harness.wait_for(lambda: not first.open_connections)


@pytest.mark.parametrize(
    "said", [b"", b"{}\n", b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 4_000, b'{"op']
)
def test_what_is_no_relay_gets_no_request(
    resources: Resources, said: bytes
) -> None:
    """Guards against suspended relays, and ports that serve something else."""
    sender = _Sender(resources, relay_count=1)
    sender.links.cut = Cut.REFUSE
    received: list[bytes] = []

    def speak(connection: socket.socket) -> None:
        connection.sendall(said)
        data = b""
        while part := connection.recv(1_000):
            data += part
        received.append(data)

    impostor = resources.server(speak)
    sender.source.candidates = [
        gateway.Relay("r0", impostor.address),
        *sender.source.candidates,
    ]
    assert sender.connect() == "r1"
    assert sender.recorder.health.has_relay_failed("r0")
    assert impostor.ended.wait(relay_harness.LIMIT_S)
    assert all(data.count(b"\n") <= 1 for data in received)


@pytest.mark.parametrize("relay_count", [0, 3, 5])
@pytest.mark.parametrize(
    ("cut", "failure"), [(Cut.HANG, "timeout"), (Cut.REFUSE, "reset")]
)
def test_an_attempt_fails_if_all_instances_are_cut_off(
    resources: Resources,
    monkeypatch: pytest.MonkeyPatch,
    relay_count: int,
    cut: Cut,
    failure: str,
) -> None:
    """Guards against waits without end, and against more than three relays."""
    monkeypatch.setattr(_upstream_connector, "CONNECT_TIMEOUT_S", 2.0)
    sender = _Sender(resources, relay_count)
    sender.links.cut = cut
    for relay in sender.relays:
        _make_unusable(relay, "cut off")
    assert sender.connect() == failure
    asked = sum(
        relay.counters.count("gateway.relay.refused") for relay in sender.relays
    )
    assert asked == min(relay_count, 3)
    assert not sender.recorder.health.is_cut_off()


def test_links_that_are_known_to_hang_are_not_tried(
    resources: Resources, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests that wait for their refusal."""
    monkeypatch.setattr(_upstream_connector, "CONNECT_TIMEOUT_S", 2.0)
    sender = _Sender(resources)
    sender.links.cut = Cut.HANG
    for relay in sender.relays:
        _make_unusable(relay, "cut off")
    assert sender.connect() == "timeout"
    sender.recorder.direct_failed(relay_harness.OTHER, _TIMEOUT)
    tried = len(sender.links.started)
    assert sender.connect() == "timeout"
    assert len(sender.links.started) == tried
    sender.clock.advance(1.0)
    sender.links.cut = Cut.NONE
    assert sender.connect() == "direct"


def test_the_last_path_is_the_direct_one_if_all_relays_fail(
    resources: Resources,
) -> None:
    """Guards against a link that works again and is not tried."""
    sender = _Sender(resources, relay_count=1)
    sender.links.cut = Cut.REFUSE
    assert sender.connect() == "r1"
    sender.links.cut = Cut.NONE
    for relay in sender.relays:
        _make_unusable(relay, "ended")
    assert sender.connect() == "direct"
    assert not sender.recorder.health.is_relayed("i-1")


@pytest.mark.parametrize("cut", [Cut.NONE, Cut.REFUSE])
def test_a_test_connection_takes_the_path_of_the_open_one(
    resources: Resources, cut: Cut
) -> None:
    """Guards against a run that is kept although its path is gone."""
    sender = _Sender(resources)
    sender.links.cut = cut
    opened = sender.connector.connect(sender.upstream)
    assert not isinstance(opened, gateway.ConnectionFailure)
    accepts = sender.connector.accepts_connections
    assert accepts(sender.upstream, opened)
    if cut is Cut.NONE:
        sender.links.cut = Cut.REFUSE
    else:
        # A direct path that works again is not the one of the run.
        sender.links.cut = Cut.NONE
        _make_unusable(sender.relays[0], "ended")
    assert not accepts(sender.upstream, opened)
    assert sender.connector.is_reachable(sender.upstream)
    sender.end_upstream(Cut.REFUSE)
    assert not accepts(sender.upstream, opened)
    assert not sender.connector.is_reachable(sender.upstream)
    opened.close()


def test_many_threads_connect_at_once(resources: Resources) -> None:
    """Guards against file descriptors that losing paths leave open."""
    sender = _Sender(resources, relay_count=3)
    sender.links.cut = Cut.HANG
    _make_unusable(sender.relays[0], "cut off, slow")
    paths: list[str] = []

    def connect() -> None:
        paths.extend(sender.connect() for _ in range(5))

    assert sender.connect() != "direct"
    sender.clock.advance(1.0)

    def open_files() -> int:
        return len(list(pathlib.Path("/proc/self/fd").iterdir()))

    assert relay_harness.wait_for(
        lambda: not any(r.server.open_connections for r in sender.relays)
    )
    before = open_files()
    threads = [threading.Thread(target=connect) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(paths) == 40
    assert set(paths) <= {"r1", "r2", "r3"}
    assert relay_harness.wait_for(lambda: open_files() <= before)


def test_relays_are_chosen_by_zone_among_the_published() -> None:
    """Guards against a relay that is leaving, cut off, or this instance."""
    clock = core.SystemClock()
    soft_state = _SoftState("here", clock)
    for name, zone, fields in (
        ("a", "brugge", {}),
        ("b", "gent", {}),
        ("c", "gent", {"leaving": True}),
        ("d", "gent", {"cut_off": True}),
        ("e", "gent", {"relay_address": ""}),
        ("f", "gent", {}),
        ("silent", "gent", {}),
        ("here", "gent", {}),
    ):
        soft_state.add(name, zone, **fields)
    source = gateway.PublishedRelays(soft_state, "gent")
    orders = {tuple(r.name for r in source.relays()) for _ in range(50)}
    assert orders == {("b", "f", "a"), ("f", "b", "a")}
    assert source.relays()[2].address == "10.0.0.1:1"
    assert [r.zone for r in source.relays()] == ["gent", "gent", "brugge"]


class _SoftState(membership.LocalSoftState):
    """Soft state with records of other instances."""

    def __init__(self, owner: str, clock: core.Clock) -> None:
        super().__init__(owner, clock)
        self._records: dict[str, membership.Record] = {}

    def add(self, name: str, zone: str, **fields: object) -> None:
        content = {
            "address": "10.0.0.2:80",
            "zone": zone,
            "leaving": False,
            "load": 0.0,
            "relay_address": f"10.0.0.1:{1 + len(self._records)}",
            **fields,
        }
        self._records[name] = membership.Record(
            kind=membership.RecordKind.ENTRY,
            id=name,
            owner=name,
            epoch=1,
            incarnation=1,
            sequence=1,
            payload=json.dumps(content).encode(),
        )

    def records(
        self, kind: membership.RecordKind
    ) -> dict[str, membership.Record]:
        return self._records

    def staleness_s(self, owner: str) -> float:
        return 3.0 if owner == "silent" else 0.0
