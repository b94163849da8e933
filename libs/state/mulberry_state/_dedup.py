"""Deduplication of resent commands by their stored results."""

from collections.abc import Iterable
from typing import Any

from mulberry_state import _codec, _commands
from mulberry_wire import state_pb2

#: Retention of results whose command may safely be applied again, such as
#: lease renewals and refused claims. Clients retry a command for seconds, so
#: an hour covers every copy that may still be in flight. Seconds.
SHORT_RETENTION_S = 3600.0

SHORT_RETENTION_RESULTS = (
    _commands.LeaseGranted,
    _commands.LeaseHeld,
    _commands.LeaseLost,
    _commands.OrderRecorded,
    _commands.ClaimOpen,
    _commands.ClaimMismatch,
    _commands.ClaimLost,
    # A copy applied later is based on an outdated change count.
    _commands.EvacuationChanged,
)

#: Results that are not stored: a repeated command is recognized by the claim,
#: bill or pin that the first one created.
DEDUPLICATED_BY_KEY = (
    _commands.ClaimGranted,
    _commands.ClaimRecorded,
    _commands.ClaimSettled,
    _commands.BillRecorded,
    _commands.SessionPinned,
)


class ResultTable:
    """Results by command id, with a fixed retention."""

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        # Ordered by time, so that expiry checks only the front.
        self._row_by_id: dict[str, tuple[float, bytes]] = {}

    def __len__(self) -> int:
        return len(self._row_by_id)

    def find(self, command_id: str) -> _commands.Result | None:
        """Returns the first result of the command, or `None`."""
        row = self._row_by_id.get(command_id)
        if row is None:
            return None
        return _codec.read_result(state_pb2.Result.FromString(row[1]))

    def store(
        self, command_id: str, result: _commands.Result, wall_s: float
    ) -> None:
        """Stores the result of a command."""
        data = _codec.result_message(result).SerializeToString()
        self._row_by_id[command_id] = (wall_s, data)

    def expire(self, wall_s: float) -> None:
        """Drops results past their retention."""
        while self._row_by_id:
            command_id, row = next(iter(self._row_by_id.items()))
            if row[0] + self._retention_s > wall_s:
                break
            del self._row_by_id[command_id]

    def write(self, target: Any) -> None:
        """Copies the table into a repeated field of a snapshot."""
        for command_id, (wall_s, data) in self._row_by_id.items():
            row = target.add(command_id=command_id, wall_s=wall_s)
            row.result.ParseFromString(data)

    def restore(self, messages: Iterable[state_pb2.StoredResult]) -> None:
        """Replaces the table by that of a snapshot."""
        self._row_by_id = {
            item.command_id: (item.wall_s, item.result.SerializeToString())
            for item in messages
        }
