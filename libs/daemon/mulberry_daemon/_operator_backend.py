"""What the operator service needs from the rest of the daemon."""

import abc
import dataclasses
import enum

import mulberry_core as core
import mulberry_rules as rules
import mulberry_state as state


@dataclasses.dataclass(frozen=True)
class AcceptedRules:
    """A rule file that was put in force."""

    number: int
    operator: str
    #: Unix time, seconds.
    accepted_at_s: float
    #: Sentences: changes from the rules before.
    changes: tuple[str, ...]
    text: str


@dataclasses.dataclass(frozen=True)
class InstanceStatus:
    """One instance as the replying instance sees it."""

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
    """One upstream as the replying instance sees it."""

    name: str
    address: str
    zone: str
    #: ready or leaving.
    state: str
    #: `MODEL VERSION` each, or the name of a service.
    serves: tuple[str, ...]
    running: int
    queued: int
    capacity: int
    #: Instance that receives its announcements.
    home: str


@dataclasses.dataclass(frozen=True)
class VersionStatus:
    """One version of a model, and since when its state is in effect."""

    model: str
    version: str
    #: live, rollout, withdrawn, probation or bad.
    state: str
    #: Share of new sessions, 0 to 1.
    share: float
    #: Unix time, seconds; unset if not known.
    since_s: float | core.Missing
    reason: str


@dataclasses.dataclass(frozen=True)
class Status:
    """What an operator sees of a deployment from one instance."""

    #: Name of the instance that replies.
    instance: str
    #: Name of the leader; unset if none is known.
    leader: str | core.Missing
    #: 0 before the first rule file.
    rules_number: int
    #: Unix time, seconds.
    rules_accepted_at_s: float | core.Missing
    #: Unix time since when every serving instance has the rules, seconds;
    #: unset while that is not known.
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
    """By what the ledger can be summed."""

    TEAM = "team"
    MODEL = "model"
    VERSION = "version"
    KIND = "kind"


@dataclasses.dataclass(frozen=True)
class LedgerRow:
    """Sum of the bills that have these values."""

    #: By column; columns that the rows are not split by are left out.
    value_by_column: dict[LedgerColumn, str]
    requests: int
    tokens_in: int
    tokens_out: int
    #: Money.
    cost: float


@dataclasses.dataclass(frozen=True)
class Ledger:
    """Sums of the bills with the result of their verification."""

    rows: tuple[LedgerRow, ...]
    #: What is wrong; empty if all is well.
    faults: tuple[str, ...]


class VoterState(enum.Enum):
    """Standing of a voter."""

    LEADER = "leader"
    FOLLOWER = "follower"
    CATCHING_UP = "catching_up"
    UNREACHABLE = "unreachable"


@dataclasses.dataclass(frozen=True)
class VoterStatus:
    """One voter as the replying instance sees it."""

    name: str
    grpc_address: str
    state: VoterState


@dataclasses.dataclass(frozen=True)
class AddVoter:
    """Adds a voter; it counts once it has caught up."""

    name: str
    grpc_address: str


@dataclasses.dataclass(frozen=True)
class RemoveVoter:
    """Removes a voter."""

    name: str


@dataclasses.dataclass(frozen=True)
class ReplaceVoter:
    """Puts a new voter in the place of one that is lost."""

    name: str
    new_name: str
    new_grpc_address: str


VoterChange = AddVoter | RemoveVoter | ReplaceVoter
SubmitResult = state.RulesAccepted | state.RulesConflict | state.RulesRejected


class OperatorBackend(abc.ABC):
    """Answers operators; called from several threads at once.

    Every method may return a refusal in place of its result. Methods do not
    raise for conditions that an operator can meet.
    """

    @abc.abstractmethod
    def submit_rules(
        self, command_id: str, text: str, operator: str
    ) -> SubmitResult | core.Refusal:
        """Puts a rule file in force; `edited-from` is read from the text."""

    @abc.abstractmethod
    def accepted_rules(
        self, number: int | core.Missing
    ) -> AcceptedRules | core.Refusal:
        """Returns accepted rules by number, unset for those in force."""

    @abc.abstractmethod
    def list_rules(
        self, limit: int
    ) -> tuple[AcceptedRules, ...] | core.Refusal:
        """Returns accepted rules, the newest first."""

    @abc.abstractmethod
    def status(self) -> Status | core.Refusal:
        """Returns what this instance sees of the deployment."""

    @abc.abstractmethod
    def explain(
        self, team: str, target: str, session: str | core.Missing
    ) -> rules.Explanation | core.Refusal:
        """Explains the way of a request by the rules in force."""

    @abc.abstractmethod
    def list_audit(
        self, limit: int, before: int | core.Missing
    ) -> tuple[AuditEntry, ...] | core.Refusal:
        """Returns entries below the number `before`, the newest first."""

    @abc.abstractmethod
    def sum_ledger(self, by: tuple[LedgerColumn, ...]) -> Ledger | core.Refusal:
        """Sums the bills by the columns and verifies the ledger."""

    @abc.abstractmethod
    def list_voters(self) -> tuple[VoterStatus, ...] | core.Refusal:
        """Returns the voters."""

    @abc.abstractmethod
    def change_voters(
        self, command_id: str, change: VoterChange, operator: str
    ) -> tuple[VoterStatus, ...] | core.Refusal:
        """Changes the voters and returns them."""
