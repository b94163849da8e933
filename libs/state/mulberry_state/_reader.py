"""Client for the reports of the voters and for voter changes."""

from collections.abc import Callable
from typing import Any, TypeVar

import mulberry_core as core
from mulberry_state import (
    _audit,
    _peers,
    _reports,
    _rulebook,
    _voter_client,
)
from mulberry_wire import state_pb2

_T = TypeVar("_T")


class StateReader:
    """Reads ledger, audit trail and status over gRPC, and changes voters.

    Asks the leader first, and any other voter if it does not answer. Such a
    report may lack the newest records, as its log index shows.
    """

    def __init__(
        self, voter_client: _voter_client.VoterClient, clock: core.Clock
    ) -> None:
        self._voter_client = voter_client
        self._clock = clock

    def ledger(self, timeout_s: float) -> _reports.LedgerReport | core.Refusal:
        """Returns the sums of the bills and the result of verifying them."""
        return self._read(
            "Ledger",
            state_pb2.LedgerRequest(),
            _reports.decode_ledger,
            timeout_s,
        )

    def audit(
        self, timeout_s: float, before_index: int = 0, max_records: int = 0
    ) -> tuple[_audit.AuditRecord, ...] | core.Refusal:
        """Returns audit records, newest first; a limit of 0 means no limit."""
        request = state_pb2.AuditRequest(
            before_index=before_index, max_records=max_records
        )
        return self._read("Audit", request, _reports.decode_audit, timeout_s)

    def history(
        self, timeout_s: float
    ) -> tuple[_rulebook.RulesText, ...] | core.Refusal:
        """Returns the retained rule files, newest first."""
        return self._read(
            "History",
            state_pb2.HistoryRequest(),
            _reports.decode_history,
            timeout_s,
        )

    def status(self, timeout_s: float) -> _reports.NodeStatus | core.Refusal:
        """Returns the status of the leader, or of another voter."""
        request = state_pb2.StatusRequest()
        decode = _reports.decode_status
        return self._read("Status", request, decode, timeout_s)

    def status_of(
        self, address: str, timeout_s: float
    ) -> _reports.NodeStatus | core.Refusal:
        """Returns the status of one voter."""
        request = state_pb2.StatusRequest()
        reply = self._voter_client.call(address, "Status", request, timeout_s)
        if isinstance(reply, _peers.Unreachable):
            return _unavailable(f"{address}: {reply.reason}")
        return _reports.decode_status(reply)

    def change_voters(
        self,
        add_name: str,
        add_address: str,
        remove_name: str,
        operator: str,
        timeout_s: float,
    ) -> str | core.Refusal:
        """Adds, removes or replaces a voter.

        Args:
            add_name: Name of the new voter, empty for a removal.
            add_address: Its gRPC address.
            remove_name: Name of the voter to remove, empty for an addition.
            operator: Operator's name for the audit trail.
            timeout_s: How long the new voter may take to catch up.

        Returns:
            A sentence that says what was done, or a refusal with the reason.
        """
        request = state_pb2.ChangeVotersRequest(
            add_name=add_name,
            add_address=add_address,
            remove_name=remove_name,
            operator=operator,
            timeout_s=timeout_s,
        )
        reason = "no voter is known"
        deadline_s = self._clock.now() + timeout_s
        for address, _ in self._voter_client.attempts(deadline_s):
            remaining_s = deadline_s - self._clock.now()
            reply = self._voter_client.call(
                address, "ChangeVoters", request, remaining_s
            )
            if isinstance(reply, _peers.Unreachable):
                reason = f"{address}: {reply.reason}"
            elif reply.accepted:
                return str(reply.reason)
            else:
                return core.Refusal(
                    core.ErrorKind.BAD_REQUEST,
                    core.RunState.NOT_RUN,
                    reply.reason,
                )
        return _unavailable(reason)

    def _read(
        self,
        method: str,
        request: Any,
        decode: Callable[[Any], _T],
        timeout_s: float,
    ) -> _T | core.Refusal:
        reason = "no voter is known"
        deadline_s = self._clock.now() + timeout_s
        for address, _ in self._voter_client.attempts(deadline_s):
            # Not limited to the attempt's timeout: summing a large ledger takes
            # longer.
            remaining_s = deadline_s - self._clock.now()
            reply = self._voter_client.call(
                address, method, request, remaining_s
            )
            if not isinstance(reply, _peers.Unreachable):
                return decode(reply)
            reason = f"{address}: {reply.reason}"
        return _unavailable(reason)


def _unavailable(reason: str) -> core.Refusal:
    return core.Refusal(
        core.ErrorKind.QUORUM_UNAVAILABLE, core.RunState.NOT_RUN, reason
    )
