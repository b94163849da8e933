"""Interface of the operator service to the rest of the daemon."""

import abc
import dataclasses
import enum

import mulberry_core as core
import mulberry_rules as rules
import mulberry_state as state


@dataclasses.dataclass(frozen=True)
class AcceptedRules:
    """An accepted rule file."""

    number: int
    operator: str
    #: Unix time, seconds.
    accepted_at_s: float
    #: Changes from the previous rules, one sentence each.
    changes: tuple[str, ...]
    text: str


@dataclasses.dataclass(frozen=True)
class InstanceStatus:
    """Status of an instance in the local view of the replying one."""

    name: str
    zone: str
    region: str
    grpc_address: str
    http_address: str
    #: alive, suspect, leaving or dead.
    state: str
    voter: bool
    #: Unix time of the last change of state, seconds.
    since_s: float


@dataclasses.dataclass(frozen=True)
class UpstreamStatus:
    """Status of an upstream in the local view of the replying instance."""

    name: str
    address: str
    zone: str
    #: ready or leaving.
    state: str
    #: Each `MODEL VERSION` pair, or the name of the service.
    serves: tuple[str, ...]
    running: int
    queued: int
    capacity: int
    #: Instance that receives its announcements.
    home: str


@dataclasses.dataclass(frozen=True)
class VersionStatus:
    """Status of a version of a model."""

    model: str
    version: str
    #: live, rollout, withdrawn, probation or bad.
    state: str
    #: Share of new sessions, 0 to 1.
    share: float
    #: Unix time since which the state is in effect, seconds; unset if unknown.
    since_s: float | core.Missing
    reason: str


@dataclasses.dataclass(frozen=True)
class Status:
    """Status of a deployment in the local view of one instance."""

    #: Name of the instance that replies.
    instance: str
    #: Name of the leader; unset if unknown.
    leader: str | core.Missing
    #: 0 before the first rule file.
    rules_number: int
    #: Unix time, seconds; unset if unknown.
    rules_accepted_at_s: float | core.Missing
    #: Unix time since which all serving instances apply the rules, seconds;
    #: unset if unknown.
    rules_everywhere_at_s: float | core.Missing
    lease_remaining_s: float
    instances: tuple[InstanceStatus, ...]
    upstreams: tuple[UpstreamStatus, ...]
    versions: tuple[VersionStatus, ...]


@dataclasses.dataclass(frozen=True)
class AuditEntry:
    """One entry of the audit trail."""

    number: int
    #: Unix time, seconds.
    at_s: float
    who: str
    what: str


class LedgerColumn(enum.Enum):
    """Columns by which the ledger can be grouped."""

    TEAM = "team"
    MODEL = "model"
    VERSION = "version"
    KIND = "kind"


@dataclasses.dataclass(frozen=True)
class LedgerRow:
    """Sums of the bills in one group."""

    #: Values of the columns that the rows are grouped by.
    value_by_column: dict[LedgerColumn, str]
    requests: int
    tokens_in: int
    tokens_out: int
    #: Total cost of the bills, money.
    cost: float


@dataclasses.dataclass(frozen=True)
class Ledger:
    """Sums of the bills and the result of the ledger verification."""

    rows: tuple[LedgerRow, ...]
    #: Inconsistencies found; empty if there are none.
    faults: tuple[str, ...]


class VoterState(enum.Enum):
    """State of a voter."""

    LEADER = "leader"
    FOLLOWER = "follower"
    CATCHING_UP = "catching_up"
    UNREACHABLE = "unreachable"


@dataclasses.dataclass(frozen=True)
class VoterStatus:
    """Status of a voter in the local view of the replying instance."""

    name: str
    grpc_address: str
    state: VoterState


@dataclasses.dataclass(frozen=True)
class AddVoter:
    """Adds a voter, which counts for the quorum once it has caught up."""

    name: str
    grpc_address: str


@dataclasses.dataclass(frozen=True)
class RemoveVoter:
    """Removes a voter."""

    name: str


@dataclasses.dataclass(frozen=True)
class ReplaceVoter:
    """Replaces a lost voter by a new one."""

    name: str
    new_name: str
    new_grpc_address: str


VoterChange = AddVoter | RemoveVoter | ReplaceVoter
SubmitResult = state.RulesAccepted | state.RulesConflict | state.RulesRejected


class OperatorBackend(abc.ABC):
    """Handles operator requests; must be thread-safe.

    Every method may return a refusal instead of its result. Methods do not
    raise exceptions for expected errors.
    """

    @abc.abstractmethod
    def submit_rules(
        self, command_id: str, text: str, operator: str
    ) -> SubmitResult | core.Refusal:
        """Submits a rule file; `edited-from` is read from its text."""

    @abc.abstractmethod
    def accepted_rules(
        self, number: int | core.Missing
    ) -> AcceptedRules | core.Refusal:
        """Returns accepted rules by number, or those in force if unset."""

    @abc.abstractmethod
    def list_rules(
        self, limit: int
    ) -> tuple[AcceptedRules, ...] | core.Refusal:
        """Returns accepted rules, newest first."""

    @abc.abstractmethod
    def status(self) -> Status | core.Refusal:
        """Returns the local view of the deployment."""

    @abc.abstractmethod
    def explain(
        self, team: str, target: str, session: str | core.Missing
    ) -> rules.Explanation | core.Refusal:
        """Explains how the rules in force route a request."""

    @abc.abstractmethod
    def list_audit(
        self, limit: int, before: int | core.Missing
    ) -> tuple[AuditEntry, ...] | core.Refusal:
        """Returns entries numbered below `before`, newest first."""

    @abc.abstractmethod
    def sum_ledger(self, by: tuple[LedgerColumn, ...]) -> Ledger | core.Refusal:
        """Sums the bills grouped by the columns and verifies the ledger."""

    @abc.abstractmethod
    def list_voters(self) -> tuple[VoterStatus, ...] | core.Refusal:
        """Returns the voters."""

    @abc.abstractmethod
    def change_voters(
        self, command_id: str, change: VoterChange, operator: str
    ) -> tuple[VoterStatus, ...] | core.Refusal:
        """Changes the voters and returns the new ones."""
