"""The gRPC service for operators: maps messages to backend calls."""

from collections.abc import Mapping
from typing import Any, NoReturn, TypeVar

import grpc
from absl import logging

import mulberry_core as core
import mulberry_rules as rules
import mulberry_state as state
from mulberry_daemon import _operator_backend
from mulberry_daemon._operator_backend import OperatorBackend
from mulberry_wire import operator_pb2, operator_pb2_grpc

_T = TypeVar("_T")

__all__ = ["OperatorBackend", "OperatorService"]

#: Rows per reply if the request sets no limit.
_DEFAULT_LIMIT = 50
#: Largest number of rows per reply; keeps it below gRPC's limit of 4 MiB.
_MAX_LIMIT = 1000
#: Largest rule file, bytes; the parser also has a limit, in characters.
_MAX_TEXT_BYTES = 2_000_000

#: gRPC status codes by error kind; others map to UNAVAILABLE, which clients may
#: retry.
_CODE_BY_KIND: Mapping[core.ErrorKind, grpc.StatusCode] = {
    core.ErrorKind.BAD_REQUEST: grpc.StatusCode.INVALID_ARGUMENT,
    core.ErrorKind.REQUEST_TOO_LARGE: grpc.StatusCode.INVALID_ARGUMENT,
    core.ErrorKind.NOT_FOUND: grpc.StatusCode.NOT_FOUND,
    core.ErrorKind.NO_RULES: grpc.StatusCode.NOT_FOUND,
    core.ErrorKind.NOT_ALLOWED: grpc.StatusCode.PERMISSION_DENIED,
    core.ErrorKind.STORAGE_FAILED: grpc.StatusCode.INTERNAL,
    core.ErrorKind.INTERNAL: grpc.StatusCode.INTERNAL,
}


class OperatorService(operator_pb2_grpc.OperatorServicer):
    """Serves operator requests through a backend."""

    def __init__(self, backend: OperatorBackend) -> None:
        self._backend = backend

    def SubmitRules(  # noqa: N802
        self,
        request: operator_pb2.SubmitRulesRequest,
        context: grpc.ServicerContext,
    ) -> operator_pb2.SubmitRulesReply:
        """Submits a rule file."""
        _require(context, command_id=request.command_id)
        _require(context, operator=request.operator)
        if len(request.text.encode()) > _MAX_TEXT_BYTES:
            _abort(
                context,
                core.ErrorKind.REQUEST_TOO_LARGE,
                f"the rule file is larger than {_MAX_TEXT_BYTES} bytes",
            )
        result = self._backend.submit_rules(
            request.command_id, request.text, request.operator
        )
        match _result_or_abort(context, result):
            case state.RulesAccepted(number):
                return operator_pb2.SubmitRulesReply(
                    accepted=operator_pb2.SubmitRulesReply.Accepted(
                        number=number
                    )
                )
            case state.RulesConflict(number, changed_by, changes):
                return operator_pb2.SubmitRulesReply(
                    conflict=operator_pb2.SubmitRulesReply.Conflict(
                        number=number, changed_by=changed_by, changes=changes
                    )
                )
            case state.RulesRejected(errors):
                return operator_pb2.SubmitRulesReply(
                    rejected=operator_pb2.SubmitRulesReply.Rejected(
                        errors=errors
                    )
                )
        raise TypeError(f"unexpected result of a submission: {result!r}")

    def ShowRules(  # noqa: N802
        self,
        request: operator_pb2.ShowRulesRequest,
        context: grpc.ServicerContext,
    ) -> operator_pb2.ShowRulesReply:
        """Returns accepted rules."""
        number = request.number or core.Missing.UNSET
        accepted = _result_or_abort(
            context, self._backend.accepted_rules(number)
        )
        return operator_pb2.ShowRulesReply(
            rules=_accepted_message(accepted), text=accepted.text
        )

    def ListRules(  # noqa: N802
        self,
        request: operator_pb2.ListRulesRequest,
        context: grpc.ServicerContext,
    ) -> operator_pb2.ListRulesReply:
        """Lists accepted rules."""
        listed = self._backend.list_rules(_limit(request.limit))
        return operator_pb2.ListRulesReply(
            rules=map(_accepted_message, _result_or_abort(context, listed))
        )

    def GetStatus(  # noqa: N802
        self,
        request: operator_pb2.GetStatusRequest,
        context: grpc.ServicerContext,
    ) -> operator_pb2.GetStatusReply:
        """Returns the status of the deployment."""
        status = _result_or_abort(context, self._backend.status())
        return operator_pb2.GetStatusReply(
            instance=status.instance,
            leader=_text(status.leader),
            rules_number=status.rules_number,
            rules_accepted_at_s=_seconds(status.rules_accepted_at_s),
            rules_everywhere_at_s=_seconds(status.rules_everywhere_at_s),
            lease_remaining_s=status.lease_remaining_s,
            instances=map(_instance_message, status.instances),
            upstreams=map(_upstream_message, status.upstreams),
            versions=map(_version_message, status.versions),
        )

    def Explain(  # noqa: N802
        self,
        request: operator_pb2.ExplainRequest,
        context: grpc.ServicerContext,
    ) -> operator_pb2.ExplainReply:
        """Explains how a request is routed."""
        _require(context, team=request.team)
        _require(context, target=request.target)
        explained = self._backend.explain(
            request.team, request.target, request.session or core.Missing.UNSET
        )
        explanation = _result_or_abort(context, explained)
        return operator_pb2.ExplainReply(
            allowed=explanation.allowed,
            targets=explanation.targets,
            steps=map(_step_message, explanation.steps),
        )

    def ListAudit(  # noqa: N802
        self,
        request: operator_pb2.ListAuditRequest,
        context: grpc.ServicerContext,
    ) -> operator_pb2.ListAuditReply:
        """Lists entries of the audit trail."""
        entries = self._backend.list_audit(
            _limit(request.limit), request.before or core.Missing.UNSET
        )
        return operator_pb2.ListAuditReply(
            entries=[
                operator_pb2.ListAuditReply.Entry(
                    number=entry.number,
                    at_s=entry.at_s,
                    who=entry.who,
                    what=entry.what,
                )
                for entry in _result_or_abort(context, entries)
            ]
        )

    def SumLedger(  # noqa: N802
        self,
        request: operator_pb2.SumLedgerRequest,
        context: grpc.ServicerContext,
    ) -> operator_pb2.SumLedgerReply:
        """Sums the bills of the ledger."""
        columns = _columns(context, request.by)
        ledger = _result_or_abort(context, self._backend.sum_ledger(columns))
        return operator_pb2.SumLedgerReply(
            rows=map(_row_message, ledger.rows), faults=ledger.faults
        )

    def ListVoters(  # noqa: N802
        self,
        request: operator_pb2.ListVotersRequest,
        context: grpc.ServicerContext,
    ) -> operator_pb2.ListVotersReply:
        """Lists the voters."""
        return _voters_message(
            _result_or_abort(context, self._backend.list_voters())
        )

    def UpdateVoters(  # noqa: N802
        self,
        request: operator_pb2.UpdateVotersRequest,
        context: grpc.ServicerContext,
    ) -> operator_pb2.ListVotersReply:
        """Changes the voters."""
        _require(context, command_id=request.command_id)
        _require(context, operator=request.operator)
        change = _voter_change(context, request)
        result = self._backend.change_voters(
            request.command_id, change, request.operator
        )
        return _voters_message(_result_or_abort(context, result))


def _abort(
    context: grpc.ServicerContext, kind: core.ErrorKind, reason: str
) -> NoReturn:
    code = _CODE_BY_KIND.get(kind, grpc.StatusCode.UNAVAILABLE)
    logging.info("operator request refused: %s: %s", kind.value, reason)
    context.abort(code, f"{kind.value}: {reason}")
    raise AssertionError("context.abort() did not raise")


def _require(context: grpc.ServicerContext, **value_by_name: str) -> None:
    for name, value in value_by_name.items():
        if not value:
            _abort(context, core.ErrorKind.BAD_REQUEST, f"`{name}` is missing")


def _result_or_abort(
    context: grpc.ServicerContext, result: _T | core.Refusal
) -> _T:
    """Returns the result, or aborts the call with the refusal's code."""
    if isinstance(result, core.Refusal):
        _abort(context, result.kind, result.reason)
    return result


def _limit(limit: int) -> int:
    return min(limit or _DEFAULT_LIMIT, _MAX_LIMIT)


def _seconds(at_s: float | core.Missing) -> float:
    return 0.0 if isinstance(at_s, core.Missing) else at_s


def _text(text: str | core.Missing) -> str:
    return "" if isinstance(text, core.Missing) else text


def _columns(
    context: grpc.ServicerContext, names: Any
) -> tuple[_operator_backend.LedgerColumn, ...]:
    known = {col.value: col for col in _operator_backend.LedgerColumn}
    for name in names:
        if name not in known:
            _abort(
                context,
                core.ErrorKind.BAD_REQUEST,
                f"the ledger has no column {name}; use {', '.join(known)}",
            )
    return tuple(known[name] for name in names) or tuple(known.values())


def _voter_change(
    context: grpc.ServicerContext, request: operator_pb2.UpdateVotersRequest
) -> _operator_backend.VoterChange:
    match request.WhichOneof("change"):
        case "add":
            _require(context, name=request.add.name)
            _require(context, grpc_address=request.add.grpc_address)
            return _operator_backend.AddVoter(
                request.add.name, request.add.grpc_address
            )
        case "remove":
            _require(context, name=request.remove.name)
            return _operator_backend.RemoveVoter(request.remove.name)
        case "replace":
            _require(context, name=request.replace.name)
            _require(context, new_name=request.replace.new_name)
            _require(context, address=request.replace.new_grpc_address)
            return _operator_backend.ReplaceVoter(
                request.replace.name,
                request.replace.new_name,
                request.replace.new_grpc_address,
            )
    _abort(context, core.ErrorKind.BAD_REQUEST, "`change` is missing")


def _accepted_message(
    accepted: _operator_backend.AcceptedRules,
) -> operator_pb2.AcceptedRules:
    return operator_pb2.AcceptedRules(
        number=accepted.number,
        operator=accepted.operator,
        accepted_at_s=accepted.accepted_at_s,
        changes=accepted.changes,
    )


def _instance_message(
    status: _operator_backend.InstanceStatus,
) -> operator_pb2.GetStatusReply.Instance:
    return operator_pb2.GetStatusReply.Instance(
        name=status.name,
        zone=status.zone,
        region=status.region,
        grpc_address=status.grpc_address,
        http_address=status.http_address,
        state=status.state,
        voter=status.voter,
        since_s=status.since_s,
    )


def _upstream_message(
    status: _operator_backend.UpstreamStatus,
) -> operator_pb2.GetStatusReply.Upstream:
    return operator_pb2.GetStatusReply.Upstream(
        name=status.name,
        address=status.address,
        zone=status.zone,
        state=status.state,
        serves=status.serves,
        running=status.running,
        queued=status.queued,
        capacity=status.capacity,
        home=status.home,
    )


def _version_message(
    status: _operator_backend.VersionStatus,
) -> operator_pb2.GetStatusReply.Version:
    return operator_pb2.GetStatusReply.Version(
        model=status.model,
        version=status.version,
        state=status.state,
        share=status.share,
        since_s=_seconds(status.since_s),
        reason=status.reason,
    )


def _step_message(step: rules.ExplainStep) -> operator_pb2.ExplainReply.Step:
    return operator_pb2.ExplainReply.Step(
        sentence=step.sentence,
        lines=[
            operator_pb2.ExplainReply.Line(
                number=line.number, text=line.text, asked_by=line.asked_by
            )
            for line in step.lines
        ],
    )


def _row_message(
    row: _operator_backend.LedgerRow,
) -> operator_pb2.SumLedgerReply.Row:
    return operator_pb2.SumLedgerReply.Row(
        requests=row.requests,
        tokens_in=row.tokens_in,
        tokens_out=row.tokens_out,
        cost=row.cost,
        **{column.value: text for column, text in row.value_by_column.items()},
    )


def _voters_message(
    voters: tuple[_operator_backend.VoterStatus, ...],
) -> operator_pb2.ListVotersReply:
    return operator_pb2.ListVotersReply(
        voters=[
            operator_pb2.ListVotersReply.Voter(
                name=voter.name,
                grpc_address=voter.grpc_address,
                state=voter.state.value,
            )
            for voter in voters
        ]
    )
