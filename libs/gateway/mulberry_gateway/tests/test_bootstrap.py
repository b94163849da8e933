"""Tests of the first voter group beside records of another writer."""

import json
import pathlib
from typing import Any, cast

import pytest

import mulberry_core as core
import mulberry_gateway as gateway
import mulberry_membership as membership
import mulberry_state as state
from mulberry_gateway import _bootstrap

STORAGE = membership.RecordKind.STORAGE
FOUNDING = membership.RecordKind.FOUNDING

_NO_JSON = {
    "empty": b"",
    "no UTF-8": b"\xff\xfe",
    "truncated": b'["10.0.0.2:1", "x',
    "nested": b"[" * 30_000,
    "many digits": b"9" * 5_000,
    "null": b"null",
    "number": b"1",
    "text": b'"own"',
}
ODD_CANDIDATES = {
    **_NO_JSON,
    **{
        repr(value): json.dumps(value).encode()
        for value in (
            [],
            ["10.0.0.2:1"],
            ["10.0.0.2:1", "id", 3],
            {"10.0.0.2:1": "id"},
            [7, "id"],
            ["10.0.0.2:1", 7],
            ["10.0.0.2:1", None],
            ["10.0.0.2:1", ""],
            ["10.0.0.2:99999", "id"],
            ["999.0.0.2:1", "id"],
            ["x" * 600, "id"],
        )
    },
    "surrogate": rb'["10.0.0.2:1", "\ud800"]',
}
ODD_VOTERS = {
    **_NO_JSON,
    **{
        repr(value): json.dumps(value).encode()
        for value in (
            ["own"],
            [["own", "10.0.0.1:1"]],
            {"own": 7},
            {"own": None},
            {"own": "10.0.0.1:99999"},
            {"own": "10.0.0.1:1", "": "10.0.0.2:1"},
            {"own": "10.0.0.1:1", "other": ["10.0.0.2:1"]},
        )
    },
}


class _Node:
    candidate = state.VoterCandidate("own", "10.0.0.1:1", "id-own")

    def __init__(self) -> None:
        self.first_voters: list[Any] = []
        self.get_candidates: Any = None

    def reconcile_voters(self, get_candidates: Any, min_voters: int) -> None:
        self.get_candidates = get_candidates

    def bootstrap_with(self, initial_voters: Any) -> None:
        self.first_voters.append(initial_voters)


class _Fixture:
    def __init__(self, tmp_path: pathlib.Path) -> None:
        self.clock = core.ManualClock(1_000.0)
        self.state = membership.LocalSoftState("own", self.clock)
        self.node = _Node()
        self.client = state.RemoteStateClient(
            "own", (), self.clock, gateway.GatewayBounds().timing
        )
        self.bootstrap = _bootstrap.ClusterBootstrap(
            gateway.GatewaySettings(
                name="own",
                zone="z",
                region="r",
                grpc_address="10.0.0.1:1",
                entry_address="10.0.0.1:2",
                data_dir=tmp_path,
                seeds=("10.0.0.1:1",),
                is_first_start=True,
                min_voters=2,
            ),
            self.state,
            cast(state.StateNode, self.node),
            self.client,
            self.clock,
        )
        self.bootstrap.start(core.TimerService(self.clock))

    def tick(self) -> None:
        self.clock.advance(_bootstrap.PERIOD_S)
        self.bootstrap.tick()


@pytest.mark.parametrize("payload", ODD_CANDIDATES.values(), ids=ODD_CANDIDATES)
def test_odd_candidate_stops_no_bootstrap(
    payload: bytes, tmp_path: pathlib.Path, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a deployment without voters, or whose voters stay lost.

    The check for the first voters failed at each of its calls, and the task
    that replaces voters ended.
    """
    fixture = _Fixture(tmp_path)
    fixture.state.publish(STORAGE, "odd", payload)
    fixture.state.publish(STORAGE, "sound", b'["10.0.0.3:1", "id-sound"]')
    assert set(fixture.node.get_candidates()) == {"own", "sound"}
    for _ in range(10):
        fixture.tick()
    assert fixture.node.first_voters[-1] == {
        "own": "10.0.0.1:1",
        "sound": "10.0.0.3:1",
    }
    assert sum("cannot be read" in line for line in caplog.messages) == 1


@pytest.mark.parametrize("payload", ODD_VOTERS.values(), ids=ODD_VOTERS)
def test_odd_first_voters_are_left_out(
    payload: bytes, tmp_path: pathlib.Path, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a task that ends before the group was formed."""
    fixture = _Fixture(tmp_path)
    fixture.state.publish(FOUNDING, "voters", payload)
    for _ in range(3):
        fixture.tick()
    assert fixture.node.first_voters == []
    assert sum("cannot be read" in line for line in caplog.messages) == 1
    fixture.state.publish(FOUNDING, "voters", b'{"own": "10.0.0.1:1"}')
    fixture.tick()
    assert fixture.node.first_voters == [{"own": "10.0.0.1:1"}]
