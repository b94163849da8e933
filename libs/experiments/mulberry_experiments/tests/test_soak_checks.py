"""Tests that each check of the soak run detects its violation."""

import dataclasses
from typing import Any

import pytest

from mulberry_experiments import _entry_client
from mulberry_experiments._soak import (
    _checks,
    _evidence,
    _history,
    _soak_deployment,
)
from mulberry_wire import state_pb2

_TEAM = "ventas"


def _attempt(status: int = 200, **changes: Any) -> _history.Attempt:
    headers = changes.pop("headers", {})
    reply = _entry_client.Reply(
        status,
        {"x-request-id": "req-1", **headers},
        changes.pop("body", b"{}"),
        changes.pop("connected", True),
    )
    values: dict[str, Any] = {
        "work": _history.DEPOSIT,
        "team": _TEAM,
        "entry": "127.0.0.1:1",
        "target": "deposits",
        "prompt": "",
        "session": "",
        "idempotency_key": "key-1",
        "began_s": 10.0,
        "ended_s": 11.0,
        "reply": reply,
    }
    return _history.Attempt(**{**values, **changes})


def _run(**changes: Any) -> _history.Run:
    run = _history.Run(
        "key-1",
        "engine-1",
        _soak_deployment.MODEL,
        _soak_deployment.OLD_VERSION,
        10.0,
        10.2,
    )
    return dataclasses.replace(run, **changes)


def _evidence_of(
    attempts: list[_history.Attempt],
    runs: list[_history.Run],
    **changes: Any,
) -> _evidence.Evidence:
    history = _history.History()
    for attempt in attempts:
        history.add_attempt(attempt)
    for run in runs:
        history.add_run(run)
    for stop in changes.pop("stops", ()):
        history.add_stop(stop)
    return dataclasses.replace(
        _evidence.Evidence(history, (), {}, (), (), (), frozenset(), {}, {}),
        **changes,
    )


def _bill(request_id: str) -> state_pb2.BillRow:
    return state_pb2.BillRow(bill=state_pb2.Bill(request_id=request_id))


_REFUSED: dict[str, Any] = {
    "status": 503,
    "body": b'{"kind":"overloaded","run":"not_run"}',
}
_STREAM: dict[str, Any] = {
    "work": "chat",
    "session": "s",
    "idempotency_key": "",
}


def _versioned(version: str, began_s: float) -> _history.Attempt:
    return _attempt(
        **_STREAM,
        headers={
            "x-mulberry-model": _soak_deployment.MODEL,
            "x-mulberry-version": version,
        },
        began_s=began_s,
        ended_s=began_s + 1.0,
    )


_WITHDRAWAL = _evidence.Withdrawal(
    _soak_deployment.OLD_VERSION, 100.0, 103.0, 200.0
)
_STOP = _history.GracefulStop("a", "127.0.0.1:1", 9.0, 20.0, 0)


@pytest.mark.parametrize(
    ("check", "evidence", "violations"),
    [
        (_checks.answered_is_billed, _evidence_of([_attempt()], []), 1),
        (
            _checks.answered_is_billed,
            _evidence_of(
                [_attempt()], [], bill_by_key={(_TEAM, "key-1"): _bill("r")}
            ),
            0,
        ),
        (
            _checks.no_bill_twice,
            _evidence_of(
                [],
                [],
                bill_by_key={
                    (_TEAM, "1"): _bill("r"),
                    (_TEAM, "2"): _bill("r"),
                },
            ),
            1,
        ),
        (
            _checks.no_bill_without_run,
            _evidence_of(
                [_attempt(**_REFUSED)],
                [],
                bill_by_key={(_TEAM, "key-1"): _bill("r")},
            ),
            1,
        ),
        (
            _checks.not_run_is_accurate,
            _evidence_of([_attempt(**_REFUSED)], [_run()]),
            1,
        ),
        (
            _checks.not_run_is_accurate,
            _evidence_of(
                [_attempt(**_REFUSED), _attempt(began_s=12.0)],
                [_run(started_after_s=12.0, observed_s=12.2)],
            ),
            0,
        ),
        (
            _checks.deposit_runs_once,
            _evidence_of([_attempt()], [_run(), _run()]),
            1,
        ),
        (
            _checks.deposit_keeps_answer,
            _evidence_of([_attempt(), _attempt(body=b"[]")], []),
            1,
        ),
        (
            _checks.session_keeps_version,
            _evidence_of([_versioned("1", 10.0), _versioned("2", 12.0)], []),
            1,
        ),
        (
            _checks.session_keeps_version,
            _evidence_of([_versioned("1", 10.0), _versioned("1", 12.0)], []),
            0,
        ),
        (
            _checks.withdrawn_runs_end,
            _evidence_of(
                [],
                [_run(started_after_s=103.5, observed_s=104.0)],
                withdrawals=(_WITHDRAWAL,),
            ),
            1,
        ),
        (
            _checks.withdrawn_runs_end,
            _evidence_of(
                [],
                [_run(started_after_s=102.5, observed_s=103.5)],
                withdrawals=(_WITHDRAWAL,),
            ),
            0,
        ),
        (
            _checks.graceful_stop_breaks_no_request,
            _evidence_of([_attempt(0)], [], stops=(_STOP,)),
            1,
        ),
        (
            _checks.graceful_stop_breaks_no_request,
            _evidence_of([_attempt(0, connected=False)], [], stops=(_STOP,)),
            1,
        ),
        (
            _checks.logs_contain_no_program_error,
            _evidence_of([], [], log_by_name={"a": "Traceback (most recent"}),
            1,
        ),
        (
            _checks.versions_are_allowed,
            _evidence_of(
                [_attempt(team=_soak_deployment.RESTRICTED_TEAM)],
                [_run(version=_soak_deployment.NEW_VERSION)],
            ),
            1,
        ),
    ],
)
def test_check_detects_its_violation(
    check: Any, evidence: _evidence.Evidence, violations: int
) -> None:
    """Guards against a soak run that passes because a check detects nothing."""
    found = [text for text in check(evidence) if text]
    assert len(found) == violations, found
