"""The gRPC service of a voter for instances and operators."""

import threading
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TypeVar

import grpc

import mulberry_core as core
from mulberry_state import (
    _channels,
    _codec,
    _group,
    _peers,
    _replica,
    _reports,
    _view_codec,
)
from mulberry_wire import state_pb2, state_pb2_grpc

if TYPE_CHECKING:
    from mulberry_state import _node

_R = TypeVar("_R")

#: Maximum number of calls that wait for a quorum at the same time. Further
#: calls are rejected, so that threads remain for the calls of other voters.
MAX_WAITING_CALLS = 48

#: Timeout for confirming leadership. A leader that takes longer is most likely
#: partitioned from the quorum.
_CONFIRM_TIMEOUT_S = 1.0
_MAX_PROPOSE_TIMEOUT_S = 30.0
#: Share of the remaining time that a forwarded call gets; the rest is left for
#: returning the reply.
_FORWARD_TIMEOUT_SHARE = 0.9


class StateServicer(state_pb2_grpc.StateServicer):
    """Serves the state, and forwards to the leader what only it can do."""

    def __init__(
        self,
        node: "_node.StateNode",
        channels: _channels.Channels,
        clock: core.Clock,
    ) -> None:
        self._node = node
        self._channels = channels
        self._clock = clock
        self._quorum_call_slots = threading.BoundedSemaphore(MAX_WAITING_CALLS)

    def Propose(  # noqa: N802 (name of the gRPC method)
        self,
        request: state_pb2.ProposeRequest,
        context: grpc.ServicerContext,
    ) -> state_pb2.ProposeReply:
        """Proposes a command and returns its result."""
        return self._run_in_slot(
            context, lambda: self._propose(request, context)
        )

    def Renew(  # noqa: N802
        self, request: state_pb2.RenewRequest, context: grpc.ServicerContext
    ) -> state_pb2.RenewReply:
        """Renews the rules lease of an instance."""
        return self._run_in_slot(context, lambda: self._renew(request, context))

    def Ledger(  # noqa: N802
        self, request: state_pb2.LedgerRequest, context: grpc.ServicerContext
    ) -> state_pb2.LedgerReply:
        """Returns the sums of the ledger and verifies them."""
        return _reports.encode_ledger(self._node.ledger())

    def Audit(  # noqa: N802
        self, request: state_pb2.AuditRequest, context: grpc.ServicerContext
    ) -> state_pb2.AuditReply:
        """Returns audit records."""
        return _reports.encode_audit(
            self._node.audit(request.before_index, request.max_records)
        )

    def History(  # noqa: N802
        self, request: state_pb2.HistoryRequest, context: grpc.ServicerContext
    ) -> state_pb2.HistoryReply:
        """Returns accepted rule files."""
        return _reports.encode_history(self._node.history())

    def Status(  # noqa: N802
        self, request: state_pb2.StatusRequest, context: grpc.ServicerContext
    ) -> state_pb2.StatusReply:
        """Returns the status of this voter."""
        return _reports.encode_status(self._node.status())

    def ChangeVoters(  # noqa: N802
        self,
        request: state_pb2.ChangeVotersRequest,
        context: grpc.ServicerContext,
    ) -> state_pb2.ChangeVotersReply:
        """Adds, removes or replaces a voter."""
        return self._run_in_slot(
            context, lambda: self._change_voters(request, context)
        )

    def _propose(
        self,
        request: state_pb2.ProposeRequest,
        context: grpc.ServicerContext,
    ) -> state_pb2.ProposeReply:
        command = _codec.decode_command(request.command.SerializeToString())
        timeout_s = min(request.timeout_s, _MAX_PROPOSE_TIMEOUT_S)
        outcome = self._node.replica.propose(command, timeout_s)
        leader = self._leader_address()
        if isinstance(outcome, _replica.NotLeader):
            reply = self._forward("Propose", request, context)
            if reply is not None:
                return reply  # type: ignore[no-any-return]
            return state_pb2.ProposeReply(
                leader_address=outcome.leader_address,
                refusal=state_pb2.StateRefusal(
                    kind=core.ErrorKind.QUORUM_UNAVAILABLE.value,
                    reason="this voter knows no reachable leader",
                ),
            )
        reply = state_pb2.ProposeReply(leader_address=leader)
        if isinstance(outcome, core.Refusal):
            reply.refusal.kind = outcome.kind.value
            reply.refusal.reason = outcome.reason
        else:
            _codec.fill_result(outcome, reply.result)
        return reply

    def _renew(
        self, request: state_pb2.RenewRequest, context: grpc.ServicerContext
    ) -> state_pb2.RenewReply:
        received_s = self._clock.now()
        remaining_s = context.time_remaining()
        timeout_s = min(_CONFIRM_TIMEOUT_S, remaining_s or _CONFIRM_TIMEOUT_S)
        if not self._node.replica.confirm_leadership(timeout_s):
            reply = self._forward("Renew", request, context)
            if reply is not None:
                return reply  # type: ignore[no-any-return]
            return state_pb2.RenewReply(
                leader_address=self._leader_address(),
                refusal=state_pb2.StateRefusal(
                    kind=core.ErrorKind.QUORUM_UNAVAILABLE.value,
                    reason="no leader is confirmed by a quorum",
                ),
            )
        # The lease is recorded before the view is read. Otherwise a revision
        # could be reported as in effect everywhere and yet be missing from this
        # reply.
        self._node.rules_leases.renew(
            request.instance, request.revision, received_s
        )
        self._node.reports.store(
            request.instance, request.process, request.report
        )
        self._node.lease_renewed_event.set()
        view = self._node.replica.view()
        reply = state_pb2.RenewReply(
            granted=True, leader_address=self._leader_address()
        )
        if request.revision != view.revision:
            message = _view_codec.encode_view(
                view, request.rules_number, request.routing_version
            )
            reply.view.CopyFrom(message)
        return reply

    def _change_voters(
        self,
        request: state_pb2.ChangeVotersRequest,
        context: grpc.ServicerContext,
    ) -> state_pb2.ChangeVotersReply:
        if self._leader_address() != self._node.replica.raft.address:
            reply = self._forward("ChangeVoters", request, context)
            if reply is not None:
                return reply  # type: ignore[no-any-return]
        add = (
            {request.add_name: request.add_address} if request.add_name else {}
        )
        try:
            reason = self._node.change_voters(
                add, request.remove_name, request.operator, request.timeout_s
            )
        except _group.ChangeRefused as error:
            return state_pb2.ChangeVotersReply(
                reason=str(error), leader_address=self._leader_address()
            )
        return state_pb2.ChangeVotersReply(
            accepted=True, reason=reason, leader_address=self._leader_address()
        )

    def _forward(
        self, method: str, request: Any, context: grpc.ServicerContext
    ) -> Any:
        """Forwards a call to the leader.

        Returns:
            The reply, or `None` if the call was forwarded before, the leader is
            unknown or this voter, or the leader cannot be reached.
        """
        leader = self._leader_address()
        if request.forwarded or leader in ("", self._node.replica.raft.address):
            return None
        copy = type(request)()
        copy.CopyFrom(request)
        copy.forwarded = True
        remaining_s = context.time_remaining()
        timeout_s = _CONFIRM_TIMEOUT_S if remaining_s is None else remaining_s
        reply = self._channels.call(
            leader,
            state_pb2_grpc.StateStub,
            method,
            copy,
            timeout_s * _FORWARD_TIMEOUT_SHARE,
        )
        return None if isinstance(reply, _peers.Unreachable) else reply

    def _leader_address(self) -> str:
        return self._node.replica.raft.leader_address

    def _run_in_slot(
        self, context: grpc.ServicerContext, call: Callable[[], _R]
    ) -> _R:
        if not self._quorum_call_slots.acquire(blocking=False):
            context.abort(
                grpc.StatusCode.RESOURCE_EXHAUSTED,
                "too many calls are waiting for a quorum",
            )
        try:
            return call()
        finally:
            self._quorum_call_slots.release()
