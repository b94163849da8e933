"""Commands of the replicated state machine and their results.

Every command carries an id: one that is sent again after a lost answer gets
its first result and changes nothing.
"""

import dataclasses
import enum
from collections.abc import Mapping


@dataclasses.dataclass(frozen=True)
class Bill:
    """One charge for one request."""

    team: str
    #: Idempotency key of the caller, or the request id where there is none.
    key: str
    request_id: str
    kind: str
    #: Model or service name.
    model: str
    #: Empty for a plain service.
    version: str
    tokens_in: int
    tokens_out: int
    #: Money, over all attempts and cascade steps of the request.
    cost: float
    #: Digest of the request body; another body under the key is an error.
    body_digest: str


@dataclasses.dataclass(frozen=True)
class Answer:
    """A recorded answer of a call that may not run twice."""

    status: int
    content_type: str
    #: Empty where `kept` is false.
    body: bytes
    #: False where the body was too large to be kept.
    kept: bool


class VerdictState(enum.Enum):
    """What is held of a version."""

    GOOD = "good"
    #: Gets a small share of new sessions to find a way back.
    PROBATION = "probation"
    BAD = "bad"


class OrderState(enum.Enum):
    """Progress of an order to an engine."""

    BEGUN = "begun"
    DONE = "done"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True)
class SubmitRules:
    """Puts a rule file in force if its number is that of the rules in force."""

    command_id: str
    text: str
    edited_from: int
    operator: str


@dataclasses.dataclass(frozen=True)
class ClaimCall:
    """Claims a call that may run at most once."""

    command_id: str
    team: str
    key: str
    body_digest: str
    kind: str
    request_id: str
    #: Instance that will send the call.
    entry: str


@dataclasses.dataclass(frozen=True)
class SettleClaim:
    """Records the answer and the bill of a claimed call."""

    command_id: str
    team: str
    key: str
    request_id: str
    answer: Answer
    bill: Bill


@dataclasses.dataclass(frozen=True)
class ReleaseClaim:
    """Gives a claim back when provably no byte of the call was sent."""

    command_id: str
    team: str
    key: str
    request_id: str


@dataclasses.dataclass(frozen=True)
class RecordBill:
    """Bills a request; a second bill under the same key changes nothing."""

    command_id: str
    bill: Bill


@dataclasses.dataclass(frozen=True)
class PinSession:
    """Ties a session to a version of a model; the first pin wins."""

    command_id: str
    team: str
    session: str
    model: str
    version: str


@dataclasses.dataclass(frozen=True)
class RecordVerdict:
    """Changes what is held of a version."""

    command_id: str
    model: str
    version: str
    state: VerdictState
    reason: str
    #: Evidence in words, for the audit trail.
    evidence: str
    #: Number of the verdict that this one follows, 0 for the first.
    after_number: int


@dataclasses.dataclass(frozen=True)
class AdvanceRollout:
    """Moves a roll-out to a step; a lower step goes back."""

    command_id: str
    model: str
    to_version: str
    #: Index into the steps of the rule; -1 stops the roll-out.
    step: int
    #: Step that this one follows, -1 for the first.
    after_step: int
    reason: str


@dataclasses.dataclass(frozen=True)
class RecordCrash:
    """Gives a strike to each content that ran on an upstream that died."""

    command_id: str
    upstream: str
    incarnation: int
    digests: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class ClearStrikes:
    """Clears contents that have since completed a run."""

    command_id: str
    digests: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class AcquireLease:
    """Acquires or renews a named lease."""

    command_id: str
    name: str
    holder: str
    duration_s: float


@dataclasses.dataclass(frozen=True)
class RecordOrder:
    """Records the progress of an order to an engine."""

    command_id: str
    lease_name: str
    fencing_number: int
    upstream: str
    #: For example `load cedro-grande 2026-03`.
    order: str
    state: OrderState


class RolloutPhase(enum.Enum):
    """Where the rollout of a service stands."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclasses.dataclass(frozen=True)
class ReplaceRouting:
    """Replaces the routing document if the version is higher."""

    command_id: str
    version: int
    #: As the operator sent it; validated before it is proposed.
    document: bytes
    operator: str


@dataclasses.dataclass(frozen=True)
class BeginServiceRollout:
    """Moves a service to upstreams of another version."""

    command_id: str
    service: str
    #: Version to move to.
    target: str
    #: Seconds in which the operator wants it done.
    duration_s: float


@dataclasses.dataclass(frozen=True)
class MoveServiceRollout:
    """Changes the share of a rollout, or ends it."""

    command_id: str
    service: str
    #: Of the rollout; a later one is not touched.
    number: int
    phase: RolloutPhase
    #: Share of the sessions that the target gets, 0 to 1.
    share: float
    reason: str


Command = (
    SubmitRules
    | ClaimCall
    | SettleClaim
    | ReleaseClaim
    | RecordBill
    | PinSession
    | RecordVerdict
    | AdvanceRollout
    | RecordCrash
    | ClearStrikes
    | AcquireLease
    | RecordOrder
    | ReplaceRouting
    | BeginServiceRollout
    | MoveServiceRollout
)


@dataclasses.dataclass(frozen=True)
class RulesAccepted:
    """The file is accepted as the rules of this number."""

    number: int


@dataclasses.dataclass(frozen=True)
class RulesConflict:
    """Other rules were accepted since the file was edited."""

    #: Number of the rules in force.
    number: int
    changed_by: str
    #: Sentences: what changed between the file's base and the rules in force.
    changes: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class RulesRejected:
    """The file has errors."""

    errors: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class ClaimGranted:
    """The call may be sent, once, by this request."""


@dataclasses.dataclass(frozen=True)
class ClaimRecorded:
    """The call has run; this is its answer."""

    answer: Answer
    request_id: str


@dataclasses.dataclass(frozen=True)
class ClaimOpen:
    """Another request holds the claim; its outcome is not known yet."""

    request_id: str
    entry: str


@dataclasses.dataclass(frozen=True)
class ClaimMismatch:
    """The key was used with another body or kind."""


@dataclasses.dataclass(frozen=True)
class ClaimSettled:
    """Answer and bill are recorded."""


@dataclasses.dataclass(frozen=True)
class ClaimReleased:
    """The claim is gone; the key may be claimed again."""


@dataclasses.dataclass(frozen=True)
class ClaimLost:
    """The claim is not held by this request; nothing changed."""


@dataclasses.dataclass(frozen=True)
class BillRecorded:
    """The request is billed."""

    #: False where it had been billed before.
    first: bool


@dataclasses.dataclass(frozen=True)
class BillMismatch:
    """The key was billed before for another body."""


@dataclasses.dataclass(frozen=True)
class SessionPinned:
    """The version that the session keeps."""

    version: str


@dataclasses.dataclass(frozen=True)
class VerdictRecorded:
    """The verdict holds under this number."""

    number: int


@dataclasses.dataclass(frozen=True)
class VerdictStale:
    """A later verdict exists; nothing changed."""

    number: int


@dataclasses.dataclass(frozen=True)
class RolloutAdvanced:
    """The roll-out is on this step."""

    step: int


@dataclasses.dataclass(frozen=True)
class RolloutStale:
    """The roll-out is not on the expected step; nothing changed."""

    step: int


@dataclasses.dataclass(frozen=True)
class CrashRecorded:
    """Strikes of the contents after this crash."""

    strikes_by_digest: Mapping[str, int]


@dataclasses.dataclass(frozen=True)
class StrikesCleared:
    """The contents have no strike."""


@dataclasses.dataclass(frozen=True)
class LeaseGranted:
    """The holder has the lease for the duration it asked for."""

    fencing_number: int


@dataclasses.dataclass(frozen=True)
class LeaseHeld:
    """Another holder has the lease."""

    holder: str


@dataclasses.dataclass(frozen=True)
class OrderRecorded:
    """The order is recorded."""


@dataclasses.dataclass(frozen=True)
class LeaseLost:
    """The fencing number is not the current one; nothing changed."""

    fencing_number: int


@dataclasses.dataclass(frozen=True)
class RoutingReplaced:
    """A routing document at least as new is in force."""

    #: Version in force.
    version: int
    #: Whether the command put it in force.
    changed: bool


@dataclasses.dataclass(frozen=True)
class ServiceRolloutBegun:
    """The rollout is recorded, now or by an earlier command."""

    number: int


@dataclasses.dataclass(frozen=True)
class ServiceRolloutMoved:
    """The rollout stands as asked for, unless it had ended before."""

    changed: bool


Result = (
    RulesAccepted
    | RulesConflict
    | RulesRejected
    | ClaimGranted
    | ClaimRecorded
    | ClaimOpen
    | ClaimMismatch
    | ClaimSettled
    | ClaimReleased
    | ClaimLost
    | BillRecorded
    | BillMismatch
    | SessionPinned
    | VerdictRecorded
    | VerdictStale
    | RolloutAdvanced
    | RolloutStale
    | CrashRecorded
    | StrikesCleared
    | LeaseGranted
    | LeaseHeld
    | OrderRecorded
    | LeaseLost
    | RoutingReplaced
    | ServiceRolloutBegun
    | ServiceRolloutMoved
)

#: Value of `AdvanceRollout.step` for a roll-out that has not begun or that
#: was stopped.
NO_STEP = -1
