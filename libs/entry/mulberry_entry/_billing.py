"""Commits bills and claim settlements before an answer is completed."""

import uuid

from absl import logging

import mulberry_core as core
import mulberry_state as state

#: Settlements and releases that may wait for a quorum. Each settlement holds
#: one answer, limited to the size that is kept for replay.
_MAX_PENDING = 10_000

_RELEASE_TIMEOUT_S = 1.0


_ClaimCommand = state.SettleClaim | state.ReleaseClaim


class Biller:
    """Commits bills and settles claims through the replicated state."""

    def __init__(
        self,
        client: state.StateClient,
        tasks: core.TaskPool,
        counters: core.Counters,
    ) -> None:
        self._client = client
        self._counters = counters
        self._queue = state.ProposalQueue(client, tasks, _MAX_PENDING)

    def bill(
        self, bill: state.Bill, timeout_s: float
    ) -> core.Refusal | core.Missing:
        """Commits a bill; on a refusal the answer must not be completed."""
        command = state.RecordBill(uuid.uuid4().hex, bill)
        result = self._client.propose(command, timeout_s)
        if isinstance(result, state.BillRecorded):
            self._counters.increment("entry.bills")
            return core.Missing.UNSET
        if isinstance(result, state.BillMismatch):
            return core.Refusal(
                core.ErrorKind.IDEMPOTENCY_KEY_REUSED,
                core.RunState.RAN,
                f"key {bill.key} is already billed for another request body",
            )
        self._counters.increment("entry.bills_failed")
        return core.Refusal(
            core.ErrorKind.BILL_NOT_RECORDED,
            core.RunState.RAN,
            _reason(result),
        )

    def settle(
        self, command: state.SettleClaim, timeout_s: float
    ) -> core.Refusal | core.Missing:
        """Records an answer and its bill.

        The call has run and must not run again. A settlement that fails for
        lack of a quorum is therefore retried until it is recorded; a caller
        that repeats the call then gets the recorded answer.
        """
        result = self._client.propose(command, timeout_s)
        if isinstance(result, state.ClaimSettled):
            self._counters.increment("entry.bills")
            return core.Missing.UNSET
        self._counters.increment("entry.settlements_delayed")
        self._enqueue(command)
        return core.Refusal(
            core.ErrorKind.BILL_NOT_RECORDED,
            core.RunState.RAN,
            _reason(result),
        )

    def release(self, command: state.ReleaseClaim) -> None:
        """Releases a claim, retrying until a quorum records it."""
        result = self._client.propose(command, _RELEASE_TIMEOUT_S)
        if isinstance(result, core.Refusal):
            self.release_later(command)

    def release_later(self, command: state.ReleaseClaim) -> None:
        """Queues the release of a claim whose commit is uncertain."""
        self._enqueue(command)

    def pending(self) -> int:
        """Returns the number of settlements and releases not yet recorded."""
        return self._queue.waiting()

    def _enqueue(self, command: _ClaimCommand) -> None:
        if not self._queue.add(command):
            # An open claim is safe: repeated calls are refused with run state
            # "unknown" and never run again.
            logging.error(
                "queue full, or the command cannot be encoded: dropped a claim "
                "settlement or release; the claim stays open"
            )


def _reason(result: state.Result | core.Refusal) -> str:
    if isinstance(result, core.Refusal):
        return result.reason
    return type(result).__name__
