"""Tests of demand and evidence that no instance of this version would write."""

import json
import types
from typing import Any, cast

import pytest

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_entry as entry
import mulberry_membership as membership
import mulberry_rules as rules
from mulberry_daemon import _shared_counts, _soft_state_sync

DEMAND = membership.RecordKind.DEMAND
EVIDENCE = membership.RecordKind.EVIDENCE
ENTRY = membership.RecordKind.ENTRY

_KEY = ["cedro", "2026-02", "planes", 0]
_COUNTS = [9, 2, 5, 1, 3, 1]
_SOUND_EVIDENCE = {
    "evidence": [[_KEY, _COUNTS, [[1, [0, 0, 0, 0, 0, 0]], [4, _COUNTS]]]],
    "ratings": [[["tiendas", "planes", "cedro", ""], [3.0, 2.0]]],
}

_NO_JSON = {
    "empty": b"",
    "no UTF-8": b"\xff\xfe",
    "truncated": b'{"a": [1.0',
    "nested": b"[" * 30_000,
    "number": b"1",
    "list": b"[1]",
    "null": b"null",
}
ODD_DEMAND = {
    **_NO_JSON,
    "NaN": b'{"a": [NaN, 1]}',
    "infinity": b'{"a": [1, Infinity]}',
    "too large": b'{"a": [1e400, 1]}',
    "many digits": b'{"a": [1, ' + b"9" * 5_000 + b"]}",
    "surrogate": rb'{"\ud800": [1, 1]}',
    **{
        repr(value): json.dumps({"a": value}).encode()
        for value in (1, [1], [1, 2, 3], [1, "2"], [-1, 1], [1, 1e300], None)
    },
}


def _evidence(*path: Any, value: Any) -> bytes:
    content = json.loads(json.dumps(_SOUND_EVIDENCE))
    node = content
    for key in path[:-1]:
        node = node[key]
    node[path[-1]] = value
    return json.dumps(content).encode()


ODD_EVIDENCE = {
    **_NO_JSON,
    "no ratings": b'{"evidence": []}',
    "key too short": _evidence("evidence", 0, 0, value=["a", "b", "c"]),
    "key too long": _evidence("evidence", 0, 0, value=[*_KEY, 1]),
    "key of lists": _evidence("evidence", 0, 0, value=[["a"], "b", "c", 0]),
    "text": _evidence("evidence", 0, 1, 0, value="9"),
    "too large": _evidence("evidence", 0, 1, 0, value=10**30),
    "negative": _evidence("evidence", 0, 1, 1, value=-1),
    "fraction": _evidence("evidence", 0, 1, 0, value=9.5),
    "infinite": _evidence("evidence", 0, 1, 0, value=float("inf")),
    "more failed than ran": _evidence("evidence", 0, 1, 1, value=10),
    "more low than rated": _evidence("evidence", 0, 1, 3, value=6),
    "more slow than timed": _evidence("evidence", 0, 1, 5, value=4),
    "more before than now": _evidence("evidence", 0, 2, 0, 1, 0, value=10),
    "span of text": _evidence("evidence", 0, 2, 0, 0, value="x"),
    "counts too short": _evidence("evidence", 0, 1, value=[1, 2]),
    "spans as object": _evidence("evidence", 0, 2, value={"1": _COUNTS}),
    "rating NaN": _evidence("ratings", 0, 1, 0, value=float("nan")),
    "rating negative": _evidence("ratings", 0, 1, 0, value=-1.0),
    "rating too large": _evidence("ratings", 0, 1, 0, value=1e300),
    "rating key": _evidence("ratings", 0, 0, 0, value=7),
}


class _Sync:
    """The shared state of an entry with real decisions and no network."""

    def __init__(self) -> None:
        clock = core.ManualClock(1_000.0)
        self.state = membership.LocalSoftState("own", clock)
        self.judge = decisions.SequentialJudge(clock)
        self.limiter = decisions.ProportionalLimiter(clock)
        self.chooser = decisions.LearnedCascade(clock)
        self.capacities: list[int] = []
        admission = types.SimpleNamespace(
            running=lambda: 0, set_capacity=self.capacities.append
        )
        parts = types.SimpleNamespace(
            instance="own",
            zone="gent",
            limits=rules.Limits(),
            soft_state=self.state,
            directory=membership.UpstreamDirectory(
                self.state, clock, core.MemoryCounters()
            ),
            decisions=types.SimpleNamespace(
                admission=admission,
                team_limiter=self.limiter,
                version_judge=self.judge,
                model_chooser=self.chooser,
            ),
        )
        self.sync = _soft_state_sync.SoftStateSync(
            cast(entry.EntryComponents, parts), "10.0.0.1:80", list
        )


@pytest.mark.parametrize("payload", ODD_DEMAND.values(), ids=ODD_DEMAND)
def test_odd_demand_stops_nothing(
    payload: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against limits and evidence that are no longer merged."""
    fixture = _Sync()
    fixture.state.publish(DEMAND, "odd", payload)
    fixture.state.publish(EVIDENCE, "x", json.dumps(_SOUND_EVIDENCE).encode())
    fixture.sync.publish()
    fixture.sync.publish()
    assert fixture.judge.exposed("cedro", "2026-02") == 9
    assert len(fixture.capacities) == 2
    assert sum("cannot be read" in line for line in caplog.messages) == 1


@pytest.mark.parametrize("payload", ODD_EVIDENCE.values(), ids=ODD_EVIDENCE)
def test_odd_evidence_stops_nothing(
    payload: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against evidence that nobody merges, or that breaks the tests."""
    fixture = _Sync()
    fixture.state.publish(EVIDENCE, "odd", payload)
    fixture.state.publish(EVIDENCE, "x", json.dumps(_SOUND_EVIDENCE).encode())
    fixture.sync.publish()
    fixture.sync.publish()
    assert fixture.judge.exposed("cedro", "2026-02") == 9
    assert fixture.judge.proposals() == ()
    assert len(fixture.capacities) == 2
    assert sum("cannot be read" in line for line in caplog.messages) == 1


def test_own_records_are_read() -> None:
    """Guards against limits that refuse what instances publish."""
    sender = _Sync()
    clock = core.ManualClock(1_000.0)
    judge = decisions.SequentialJudge(clock)
    for outcome in decisions.Outcome:
        judge.observe(
            decisions.Observation("cedro", "v", "k", outcome, 0.5, 0.6, 0.7)
        )
    payload = _shared_counts.encode_evidence(judge, sender.chooser)
    record = sender.state.publish(EVIDENCE, "i", payload)
    shared = _shared_counts.decode_evidence(record)
    assert isinstance(shared, _shared_counts.SharedCounts)
    assert shared.evidence == judge.export()
    record = sender.state.publish(
        DEMAND, "i", _shared_counts.encode_demand(sender.limiter)
    )
    assert _shared_counts.decode_demand(record) == {}
