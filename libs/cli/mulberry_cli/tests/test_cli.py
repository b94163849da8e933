"""Tests of the command line against a fake operator service."""

import json
import os
import pathlib
import subprocess
import sys
from collections.abc import Iterator
from concurrent import futures
from typing import Any

import grpc
import pytest

import mulberry_cli as cli
from mulberry_wire import operator_pb2, operator_pb2_grpc

_EXAMPLES = pathlib.Path(__file__).parents[4] / "examples"
_COLMENAS = str(_EXAMPLES / "colmenas.rules")


class _FakeOperatorService(operator_pb2_grpc.OperatorServicer):
    """Returns the replies set by the test and records the requests."""

    def __init__(self) -> None:
        self.requests: list[Any] = []
        self.reply_by_method: dict[str, Any] = {}
        self.unavailable_calls = 0

    def __getattribute__(self, name: str) -> Any:
        if not name[0].isupper():
            return super().__getattribute__(name)
        return lambda request, context: self._answer(name, request, context)

    def _answer(self, name: str, request: Any, context: Any) -> Any:
        self.requests.append(request)
        if len(self.requests) <= self.unavailable_calls:
            context.abort(grpc.StatusCode.UNAVAILABLE, "no leader")
        if name not in self.reply_by_method:
            context.abort(grpc.StatusCode.NOT_FOUND, "no_rules: none yet")
        return self.reply_by_method[name]


@pytest.fixture
def operator_service(
    monkeypatch: pytest.MonkeyPatch,
) -> Iterator[_FakeOperatorService]:
    """A running fake service that the command line connects to."""
    servicer = _FakeOperatorService()
    server = grpc.server(futures.ThreadPoolExecutor(max_workers=2))
    register: Any = operator_pb2_grpc.add_OperatorServicer_to_server
    register(servicer, server)
    port = server.add_insecure_port("127.0.0.1:0")
    server.start()
    monkeypatch.setenv("MULBERRYSTAGE_INSTANCE", f"127.0.0.1:{port}")
    yield servicer
    server.stop(None).wait()


def _json(capsys: pytest.CaptureFixture[str], *arguments: str) -> Any:
    capsys.readouterr()
    cli.main([*arguments, "--json"])
    return json.loads(capsys.readouterr().out)


def test_check_prints_every_error_with_its_position(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a check that omits errors or needs an instance."""
    path = tmp_path / "faulty.rules"
    path.write_text("edited-from 0\nteem a # asked by x\nservice b\n")
    assert cli.main(["rules", "check", str(path)]) == 1
    printed = capsys.readouterr().out
    assert f"{path}:2:1: this is not a rule at 'teem'" in printed
    assert f"{path}:3:10: " in printed
    assert cli.main(["rules", "check", _COLMENAS]) == 0
    document = _json(capsys, "rules", "check", str(path))
    assert [error["line"] for error in document["errors"]] == [2, 3]


def test_diff_of_two_files_is_offline(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a diff that needs an instance for two files."""
    path = tmp_path / "new.rules"
    text = pathlib.Path(_COLMENAS).read_text()
    path.write_text(text.replace("weight 4", "weight 5"))
    assert cli.main(["rules", "diff", _COLMENAS, str(path)]) == 0
    assert "weight changes from 4 to 5" in capsys.readouterr().out
    assert cli.main(["rules", "diff", _COLMENAS, str(tmp_path)]) == 3


def test_diff_and_show_use_the_rules_in_force(
    operator_service: _FakeOperatorService, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against shown rules that conflict when submitted unchanged."""
    text = pathlib.Path(_COLMENAS).read_text()
    operator_service.reply_by_method["ShowRules"] = operator_pb2.ShowRulesReply(
        rules=operator_pb2.AcceptedRules(number=7), text=text
    )
    assert cli.main(["rules", "show"]) == 0
    shown = capsys.readouterr().out
    assert shown == text.replace("edited-from 0", "edited-from 7")
    assert cli.main(["rules", "diff", _COLMENAS]) == 0
    assert "No rule changes." in capsys.readouterr().out


_SUBMIT_CASES = [
    ({"accepted": {"number": 4}}, 0, "edited-from 4"),
    (
        {"conflict": {"number": 9, "changed_by": "Inés", "changes": ["X."]}},
        1,
        "Inés has changed the rules",
    ),
    ({"rejected": {"errors": ["line 3: wrong"]}}, 1, "line 3: wrong"),
    ({}, 3, ""),
]


@pytest.mark.parametrize(("fields", "code", "text"), _SUBMIT_CASES)
def test_submit_reports_the_outcome(
    operator_service: _FakeOperatorService,
    capsys: pytest.CaptureFixture[str],
    fields: dict[str, Any],
    code: int,
    text: str,
) -> None:
    """Guards against reporting a refused file as accepted."""
    reply = operator_pb2.SubmitRulesReply(**fields)
    operator_service.reply_by_method["SubmitRules"] = reply
    arguments = ["rules", "submit", _COLMENAS, "--operator", "Marta Ajú"]
    assert cli.main(arguments) == code
    assert text in capsys.readouterr().out
    assert operator_service.requests[0].operator == "Marta Ajú"
    assert (
        operator_service.requests[0].text == pathlib.Path(_COLMENAS).read_text()
    )


def test_a_resent_submission_has_the_same_command_id(
    operator_service: _FakeOperatorService,
) -> None:
    """Guards against applying a submission twice after a lost reply."""
    operator_service.unavailable_calls = 1
    operator_service.reply_by_method["SubmitRules"] = (
        operator_pb2.SubmitRulesReply(
            accepted=operator_pb2.SubmitRulesReply.Accepted(number=1)
        )
    )
    assert cli.main(["rules", "submit", _COLMENAS]) == 0
    command_ids = {request.command_id for request in operator_service.requests}
    assert len(operator_service.requests) == 2
    assert len(command_ids) == 1


def test_history_and_audit(
    operator_service: _FakeOperatorService, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against lists that omit the operator or the change."""
    operator_service.reply_by_method["ListRules"] = operator_pb2.ListRulesReply(
        rules=[
            operator_pb2.AcceptedRules(
                number=2, operator="Inés", accepted_at_s=1e9, changes=["A."]
            )
        ]
    )
    operator_service.reply_by_method["ListAudit"] = operator_pb2.ListAuditReply(
        entries=[
            operator_pb2.ListAuditReply.Entry(
                number=5, at_s=1e9, who="Inés", what="rules 2"
            )
        ]
    )
    assert cli.main(["rules", "history", "-n", "3"]) == 0
    assert cli.main(["audit", "--before", "6"]) == 0
    printed = capsys.readouterr().out
    assert "rules 2, 2001-09-0" in printed
    assert "rules 2" in printed.splitlines()[-1]
    assert [r.limit for r in operator_service.requests] == [3, 50]
    assert operator_service.requests[1].before == 6
    assert _json(capsys, "audit")["entries"][0]["who"] == "Inés"


def test_status(
    operator_service: _FakeOperatorService, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a status that omits a section or fields that are 0."""
    operator_service.reply_by_method["GetStatus"] = operator_pb2.GetStatusReply(
        instance="coban-a-1",
        rules_number=4,
        rules_accepted_at_s=1e9,
        instances=[
            operator_pb2.GetStatusReply.Instance(name="coban-a-1", voter=True)
        ],
        upstreams=[
            operator_pb2.GetStatusReply.Upstream(
                name="pool-1", running=2, serves=["cedro-chico 2026-01"]
            )
        ],
        versions=[
            operator_pb2.GetStatusReply.Version(model="cedro-chico", share=0.05)
        ],
    )
    assert cli.main(["status"]) == 0
    printed = capsys.readouterr().out
    for expected in ("rules 4, accepted", "coban-a-1", "pool-1", "5%"):
        assert expected in printed
    document = _json(capsys, "status")
    assert document["rules_number"] == 4
    assert document["leader"] == ""
    assert document["upstreams"][0]["queued"] == 0


def test_explain(
    operator_service: _FakeOperatorService, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against an explanation without its rule lines."""
    line = operator_pb2.ExplainReply.Line(
        number=12, text="allow a b", asked_by="Inés"
    )
    step = operator_pb2.ExplainReply.Step(sentence="Yes.", lines=[line])
    operator_service.reply_by_method["Explain"] = operator_pb2.ExplainReply(
        allowed=True, targets=["m 1", "m 2"], steps=[step]
    )
    arguments = ["explain", "a", "quote", "--session", "s"]
    assert cli.main(arguments) == 0
    printed = capsys.readouterr().out
    assert "line 12: allow a b  (asked by Inés)" in printed
    assert "Would go to: m 1, then m 2" in printed
    assert operator_service.requests[0].session == "s"
    document = _json(capsys, *arguments)
    assert document["steps"][0]["lines"][0]["number"] == 12
    operator_service.reply_by_method["Explain"] = operator_pb2.ExplainReply()
    assert cli.main(arguments) == 1


def test_ledger(
    operator_service: _FakeOperatorService, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against reporting a faulty ledger as verified."""
    row = operator_pb2.SumLedgerReply.Row(team="a", requests=3, cost=0.1 + 0.2)
    operator_service.reply_by_method["SumLedger"] = operator_pb2.SumLedgerReply(
        rows=[row]
    )
    assert cli.main(["ledger", "--by", "team"]) == 0
    assert "verified" in capsys.readouterr().out
    assert list(operator_service.requests[0].by) == ["team"]
    document = _json(capsys, "ledger", "--by", "team")
    assert document["rows"][0] == {
        "team": "a",
        "requests": 3,
        "tokens_in": 0,
        "tokens_out": 0,
        "cost": 0.3,
    }
    operator_service.reply_by_method["SumLedger"] = operator_pb2.SumLedgerReply(
        faults=["team a: sum differs"]
    )
    assert cli.main(["ledger"]) == 1


_VOTER_CASES = [
    (["list"], None),
    (["add", "n", "10.0.0.1:1"], "add"),
    (["remove", "n"], "remove"),
    (["replace", "n", "m", "10.0.0.2:1"], "replace"),
]


@pytest.mark.parametrize(("arguments", "change"), _VOTER_CASES)
def test_voters(
    operator_service: _FakeOperatorService,
    arguments: list[str],
    change: str | None,
) -> None:
    """Guards against a change request with the wrong voter."""
    reply = operator_pb2.ListVotersReply(
        voters=[operator_pb2.ListVotersReply.Voter(name="m", state="leader")]
    )
    operator_service.reply_by_method = {
        "ListVoters": reply,
        "UpdateVoters": reply,
    }
    assert cli.main(["voters", *arguments]) == 0
    request = operator_service.requests[0]
    if change is not None:
        assert request.WhichOneof("change") == change
        assert getattr(request, change).name == "n"
        assert request.command_id


def test_failed_calls_exit_with_failure(
    operator_service: _FakeOperatorService, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a traceback or success when a call fails."""
    commands = [
        ["status"],
        ["audit"],
        ["ledger"],
        ["explain", "a", "b"],
        ["rules", "show"],
        ["rules", "history"],
        ["rules", "diff", _COLMENAS],
        ["rules", "submit", _COLMENAS],
        ["voters", "list"],
    ]
    for command in commands:
        assert cli.main(command) == 3
        assert "no_rules: none yet" in capsys.readouterr().err
    assert cli.main(["status", "--tls-key", "x"]) == 3
    assert cli.main(["status", "--tls-ca", "/nonexistent"]) == 3


def test_completion_script_is_not_wrapped() -> None:
    """Guards against line wrapping that breaks the script for shells."""
    program = [sys.executable, "-c", "import mulberry_cli; mulberry_cli.main()"]
    generated = subprocess.run(
        [*program, "--completion", "generate"],
        env={**os.environ, "SHELL": "/bin/bash", "COLUMNS": "60"},
        capture_output=True,
        text=True,
        check=True,
    )
    response = [
        line
        for line in generated.stdout.splitlines()
        if "COMPLETION_LINE" in line
    ]
    assert response[0].rstrip().endswith("--completion=complete)")
    completed = subprocess.run(
        [*program, "--completion=complete"],
        env={
            **os.environ,
            "SHELL": "/bin/bash",
            "COMPLETION_LINE": "mulberrystage rules s",
            "COMPLETION_LOCATION": "3",
        },
        capture_output=True,
        text=True,
        check=True,
    )
    words = {line.split(":")[0] for line in completed.stdout.splitlines()}
    assert {"show", "submit"} <= words


def test_manifest_check_without_a_format_fails(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a document that passes because nothing checks it."""
    monkeypatch.setattr(
        "importlib.metadata.entry_points", lambda **selection: ()
    )
    path = tmp_path / "routes.json"
    path.write_text("{}")
    assert cli.main(["manifest", "check", str(path)]) == 3
    assert "no package that checks manifests" in capsys.readouterr().err
