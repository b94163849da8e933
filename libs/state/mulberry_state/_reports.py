"""Reports of a voter on its state, and their conversion to protobuf."""

import dataclasses
from collections.abc import Iterable
from typing import Any, TypeVar

import mulberry_core as core
from mulberry_state import _audit, _codec, _ledger, _rulebook
from mulberry_wire import state_pb2

_T = TypeVar("_T")


@dataclasses.dataclass(frozen=True)
class LedgerReport:
    """The sums of the ledger, with the result of recomputing them."""

    #: Log index up to which the sums are complete.
    index: int
    sums: tuple[_ledger.LedgerSum, ...]
    #: Differences between sums and records; empty if they agree.
    differences: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class VoterStatus:
    """One voter, from the point of view of the reporting voter."""

    name: str
    address: str
    #: Identity of its data folder.
    identity: str
    #: Newest record known to be synced there; 0 unless the leader reports.
    match_index: int
    #: Seconds since its last reply to the leader, or since the election if it
    #: has not replied since; -1 unless the leader reports.
    silent_s: float


@dataclasses.dataclass(frozen=True)
class NodeStatus:
    """Status of the reporting voter."""

    name: str
    identity: str
    #: `follower`, `candidate`, `leader` or `failed`.
    role: str
    term: int
    #: Empty while no leader is known.
    leader_name: str
    leader_address: str
    last_index: int
    commit_index: int
    applied_index: int
    snapshot_index: int
    voters: tuple[VoterStatus, ...]
    #: Newest revision known to be in effect everywhere, 0 for none.
    in_effect_revision: int
    #: Unix time when that revision took effect, seconds.
    in_effect_s: float
    #: Unix time when the rules in force took effect everywhere, 0 while that
    #: is not known.
    rules_in_effect_s: float
    revision: int
    rules_number: int
    #: Why the voter stopped using its data folder, empty while it uses it.
    failure: str


@dataclasses.dataclass(frozen=True)
class GroupStatus:
    """The fault tolerance of the group, as one voter sees it."""

    #: Number of voters in the newest set.
    voters: int
    #: Seconds without a confirmed leader.
    leaderless_s: float
    #: Voters that have answered the leader recently, with the leader itself;
    #: unset unless the leader reports.
    answering: int | core.Missing
    #: Further voters that the group can lose; below 0 if it has no quorum.
    #: Unset unless the leader reports.
    tolerated_losses: int | core.Missing


def encode_ledger(report: LedgerReport) -> state_pb2.LedgerReply:
    """Converts a ledger report to its message."""
    reply = state_pb2.LedgerReply(
        index=report.index, differences=report.differences
    )
    _fill_all(report.sums, reply.sums)
    return reply


def decode_ledger(reply: state_pb2.LedgerReply) -> LedgerReport:
    """Reads a ledger report."""
    return LedgerReport(
        index=reply.index,
        sums=_read_all(_ledger.LedgerSum, reply.sums),
        differences=tuple(reply.differences),
    )


def encode_audit(
    records: Iterable[_audit.AuditRecord],
) -> state_pb2.AuditReply:
    """Converts audit records to their message."""
    reply = state_pb2.AuditReply()
    _fill_all(records, reply.records)
    return reply


def decode_audit(
    reply: state_pb2.AuditReply,
) -> tuple[_audit.AuditRecord, ...]:
    """Reads audit records."""
    return _read_all(_audit.AuditRecord, reply.records)


def encode_history(
    texts: Iterable[_rulebook.RulesText],
) -> state_pb2.HistoryReply:
    """Converts accepted rule files to their message."""
    reply = state_pb2.HistoryReply()
    _fill_all(texts, reply.texts)
    return reply


def decode_history(
    reply: state_pb2.HistoryReply,
) -> tuple[_rulebook.RulesText, ...]:
    """Reads accepted rule files."""
    return _read_all(_rulebook.RulesText, reply.texts)


def encode_status(status: NodeStatus) -> state_pb2.StatusReply:
    """Converts a status to its message."""
    reply = state_pb2.StatusReply()
    for field in dataclasses.fields(status):
        if field.name != "voters":
            setattr(reply, field.name, getattr(status, field.name))
    _fill_all(status.voters, reply.voters)
    return reply


def decode_status(reply: state_pb2.StatusReply) -> NodeStatus:
    """Reads a status."""
    fields: dict[str, Any] = {
        field.name: getattr(reply, field.name)
        for field in dataclasses.fields(NodeStatus)
    }
    fields["voters"] = _read_all(VoterStatus, reply.voters)
    return NodeStatus(**fields)


def _fill_all(items: Iterable[Any], target: Any) -> None:
    for item in items:
        _codec.fill(item, target.add())


def _read_all(cls: type[_T], source: Iterable[Any]) -> tuple[_T, ...]:
    return tuple(_codec.read(cls, item) for item in source)
