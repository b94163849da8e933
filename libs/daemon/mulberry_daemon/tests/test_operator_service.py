"""Tests of the operator service over gRPC with a fake backend."""

from collections.abc import Iterator
from concurrent import futures
from typing import Any

import grpc
import pytest

import mulberry_core as core
import mulberry_rules as rules
import mulberry_state as state
from mulberry_daemon import _operator_backend, _operator_service
from mulberry_wire import operator_pb2, operator_pb2_grpc

_ACCEPTED = _operator_backend.AcceptedRules(
    number=3,
    operator="Inés",
    accepted_at_s=1e9,
    changes=("A.",),
    text="edited-from 2\n",
)
_STATUS = _operator_backend.Status(
    instance="coban-a-1",
    leader=core.Missing.UNSET,
    rules_number=3,
    rules_accepted_at_s=1e9,
    rules_everywhere_at_s=core.Missing.UNSET,
    lease_remaining_s=7.5,
    instances=(
        _operator_backend.InstanceStatus(
            "coban-a-1", "coban-a", "r", "g", "h", "alive", True, 1e9
        ),
    ),
    upstreams=(
        _operator_backend.UpstreamStatus(
            "pool-1", "a", "coban-a", "ready", ("m 1",), 1, 2, 3, "coban-a-1"
        ),
    ),
    versions=(
        _operator_backend.VersionStatus(
            "m", "1", "live", 1.0, core.Missing.UNSET, ""
        ),
    ),
)


class _Backend(_operator_backend.OperatorBackend):
    """Records calls and returns `result`, or a default if it is unset."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []
        self.result: Any = core.Missing.UNSET

    def _return(self, default: Any, *call: Any) -> Any:
        self.calls.append(call)
        return default if self.result is core.Missing.UNSET else self.result

    def submit_rules(self, command_id: str, text: str, operator: str) -> Any:
        accepted = state.RulesAccepted(4)
        return self._return(accepted, command_id, text, operator)

    def accepted_rules(self, number: int | core.Missing) -> Any:
        return self._return(_ACCEPTED, number)

    def list_rules(self, limit: int) -> Any:
        return self._return((_ACCEPTED,), limit)

    def status(self) -> Any:
        return self._return(_STATUS)

    def explain(
        self, team: str, target: str, session: str | core.Missing
    ) -> Any:
        line = rules.RuleLine(5, "allow a b", "Inés")
        step = rules.ExplainStep("Yes.", (line,))
        explanation = rules.Explanation(True, ("m 1",), (step,))
        return self._return(explanation, team, target, session)

    def list_audit(self, limit: int, before: int | core.Missing) -> Any:
        entry = _operator_backend.AuditEntry(9, 1e9, "Inés", "rules 3")
        return self._return((entry,), limit, before)

    def sum_ledger(self, by: tuple[_operator_backend.LedgerColumn, ...]) -> Any:
        row = _operator_backend.LedgerRow({by[0]: "a"}, 1, 2, 3, 0.5)
        return self._return(_operator_backend.Ledger((row,), ("f",)), by)

    def list_voters(self) -> Any:
        voter = _operator_backend.VoterStatus(
            "v", "g", _operator_backend.VoterState.CATCHING_UP
        )
        return self._return((voter,))

    def change_voters(
        self,
        command_id: str,
        change: _operator_backend.VoterChange,
        operator: str,
    ) -> Any:
        return self._return((), command_id, change, operator)


@pytest.fixture
def backend() -> _Backend:
    return _Backend()


@pytest.fixture
def stub(backend: _Backend) -> Iterator[Any]:
    """Returns a client of the service."""
    server = grpc.server(futures.ThreadPoolExecutor(max_workers=2))
    register: Any = operator_pb2_grpc.add_OperatorServicer_to_server
    register(_operator_service.OperatorService(backend), server)
    port = server.add_insecure_port("127.0.0.1:0")
    server.start()
    make_stub: Any = operator_pb2_grpc.OperatorStub
    with grpc.insecure_channel(f"127.0.0.1:{port}") as channel:
        yield make_stub(channel)
    server.stop(None).wait()


_SUBMITTED = operator_pb2.SubmitRulesRequest(
    command_id="c", text="t", operator="o"
)
_RESULTS = [
    (state.RulesAccepted(4), "accepted"),
    (state.RulesConflict(4, "Inés", ("A.",)), "conflict"),
    (state.RulesRejected(("line 1",)), "rejected"),
]


@pytest.mark.parametrize(("result", "outcome"), _RESULTS)
def test_submission(
    stub: Any, backend: _Backend, result: Any, outcome: str
) -> None:
    """Guards against a rejected file reported as accepted."""
    backend.result = result
    reply = stub.SubmitRules(_SUBMITTED)
    assert reply.WhichOneof("outcome") == outcome
    assert backend.calls == [("c", "t", "o")]


def test_replies_contain_the_results_of_the_backend(
    stub: Any, backend: _Backend
) -> None:
    """Guards against fields lost between the backend and the reply."""
    shown = stub.ShowRules(operator_pb2.ShowRulesRequest())
    assert (shown.text, shown.rules.number) == (_ACCEPTED.text, 3)
    listed = stub.ListRules(operator_pb2.ListRulesRequest())
    assert listed.rules[0].changes == ["A."]
    status = stub.GetStatus(operator_pb2.GetStatusRequest())
    assert status.instances[0].voter
    assert status.upstreams[0].serves == ["m 1"]
    assert status.versions[0].since_s == 0.0
    explained = stub.Explain(operator_pb2.ExplainRequest(team="a", target="m"))
    assert explained.steps[0].lines[0].number == 5
    audit = stub.ListAudit(operator_pb2.ListAuditRequest(limit=9_999))
    assert audit.entries[0].who == "Inés"
    ledger = stub.SumLedger(operator_pb2.SumLedgerRequest(by=["kind"]))
    assert (ledger.rows[0].kind, ledger.rows[0].team) == ("a", "")
    assert ledger.faults == ["f"]
    voters = stub.ListVoters(operator_pb2.ListVotersRequest())
    assert voters.voters[0].state == "catching_up"
    unset = core.Missing.UNSET
    assert backend.calls[0] == (unset,)
    assert backend.calls[3] == ("a", "m", unset)
    assert backend.calls[4] == (1000, unset)


def test_voter_changes(stub: Any, backend: _Backend) -> None:
    """Guards against one kind of change executed as another."""
    request = operator_pb2.UpdateVotersRequest
    changes: list[dict[str, Any]] = [
        {"add": request.Add(name="n", grpc_address="g")},
        {"remove": request.Remove(name="n")},
        {
            "replace": request.Replace(
                name="n", new_name="m", new_grpc_address="g"
            )
        },
    ]
    for change in changes:
        stub.UpdateVoters(request(command_id="c", operator="o", **change))
    assert [call[1] for call in backend.calls] == [
        _operator_backend.AddVoter("n", "g"),
        _operator_backend.RemoveVoter("n"),
        _operator_backend.ReplaceVoter("n", "m", "g"),
    ]


_INVALID_REQUESTS = [
    ("SubmitRules", operator_pb2.SubmitRulesRequest(operator="o")),
    ("SubmitRules", operator_pb2.SubmitRulesRequest(command_id="c")),
    (
        "SubmitRules",
        operator_pb2.SubmitRulesRequest(
            command_id="c", operator="o", text="x" * 2_000_001
        ),
    ),
    ("Explain", operator_pb2.ExplainRequest(team="a")),
    ("SumLedger", operator_pb2.SumLedgerRequest(by=["colour"])),
    (
        "UpdateVoters",
        operator_pb2.UpdateVotersRequest(command_id="c", operator="o"),
    ),
]


@pytest.mark.parametrize(("method", "request_"), _INVALID_REQUESTS)
def test_invalid_requests_do_not_reach_the_backend(
    stub: Any, backend: _Backend, method: str, request_: Any
) -> None:
    """Guards against requests without a command id or operator."""
    with pytest.raises(grpc.RpcError) as raised:
        getattr(stub, method)(request_)
    error: Any = raised.value
    assert error.code() is grpc.StatusCode.INVALID_ARGUMENT
    assert not backend.calls


_REFUSALS = [
    (core.ErrorKind.NO_RULES, grpc.StatusCode.NOT_FOUND),
    (core.ErrorKind.QUORUM_UNAVAILABLE, grpc.StatusCode.UNAVAILABLE),
    (core.ErrorKind.STORAGE_FAILED, grpc.StatusCode.INTERNAL),
]


@pytest.mark.parametrize(("kind", "code"), _REFUSALS)
def test_refusals_become_status_codes(
    stub: Any,
    backend: _Backend,
    kind: core.ErrorKind,
    code: grpc.StatusCode,
) -> None:
    """Guards against a refusal reported as an empty result."""
    backend.result = core.Refusal(kind, core.RunState.NOT_RUN, "why")
    with pytest.raises(grpc.RpcError) as raised:
        stub.ListVoters(operator_pb2.ListVotersRequest())
    error: Any = raised.value
    assert error.code() is code
    assert error.details() == f"{kind.value}: why"
