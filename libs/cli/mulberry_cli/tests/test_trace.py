"""Tests of `trace` on a log shared by several processes."""

import json
import pathlib

import pytest

import mulberry_cli as cli

_LINES = [
    ("a", {"at": 1.0, "event": "routing_in_force", "version": 3}),
    ("a", {"at": 2.0, "event": "routing_in_force", "version": 4}),
    ("b", {"at": 2.0, "event": "routing_in_force", "version": 4}),
    ("a", {"at": 2.5, "event": "upstream", "name": "w1", "state": "ready"}),
    ("b", {"at": 2.5, "event": "upstream", "name": "w1", "state": "ready"}),
    ("b", {"at": 2.6, "event": "upstream", "name": "w2", "state": "ready"}),
    ("a", {"at": 3.0, "event": "refused", "id": "r1", "tries": [["w1"]]}),
    ("a", {"at": 3.1, "event": "request", "id": "r2", "tries": []}),
    ("a", {"at": 9.0, "event": "routing_in_force", "version": 5}),
]


def _write(folder: pathlib.Path) -> str:
    path = folder / "day.log"
    lines = [f"  1.25 {name} {json.dumps(event)}" for name, event in _LINES]
    text = "\n".join(lines).replace('{"at": ', '{"at":')
    path.write_text(text + '\n  9.9 a {"at":9.9,"event":"cut\n')
    return str(path)


def test_trace_selects_request_and_state_events(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert cli.main(["trace", "r1", _write(tmp_path), "--json"]) == 0
    events = json.loads(capsys.readouterr().out)["events"]
    assert [
        (event["process"], event["event"], event.get("version"))
        for event in events
    ] == [
        ("a", "routing_in_force", 4),
        ("a", "upstream", None),
        ("a", "refused", None),
    ]


def test_unknown_request_is_refused(tmp_path: pathlib.Path) -> None:
    assert cli.main(["trace", "r9", _write(tmp_path)]) == 1


def test_missing_file_fails() -> None:
    assert cli.main(["trace", "r1", "/nowhere.log"]) == 3
