"""Commands of the replicated state machine and their results.

Every command carries an id. A command that is resent after a lost reply
returns its first result and changes nothing.
"""

import dataclasses
import enum
from collections.abc import Mapping


@dataclasses.dataclass(frozen=True)
class Bill:
    """The charge for one request."""

    team: str
    #: Idempotency key of the caller, or the request id where there is none.
    key: str
    request_id: str
    kind: str
    #: Model or service name.
    model: str
    #: Model version, empty for a plain service.
    version: str
    tokens_in: int
    tokens_out: int
    #: Cost of all attempts and cascade steps of the request.
    cost: float
    #: Digest of the request body; reusing the key for another body is an error.
    body_digest: str


@dataclasses.dataclass(frozen=True)
class Answer:
    """The recorded response to a call that may run at most once."""

    status: int
    content_type: str
    #: Empty where `kept` is false.
    body: bytes
    #: False where the body was too large to be kept.
    kept: bool


class VerdictState(enum.Enum):
    """Verdict on the quality of a model version."""

    GOOD = "good"
    #: Gets a small share of new sessions, so that it can prove itself again.
    PROBATION = "probation"
    BAD = "bad"


class OrderState(enum.Enum):
    """Progress of an order to an engine."""

    BEGUN = "begun"
    DONE = "done"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True)
class SubmitRules:
    """Puts a rule file in force if it was edited from the rules in force."""

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
    """Releases a claim when provably no byte of the call was sent."""

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
    """Pins a session to a version of a model; the first pin wins."""

    command_id: str
    team: str
    session: str
    model: str
    version: str


@dataclasses.dataclass(frozen=True)
class RecordVerdict:
    """Records a verdict on a model version."""

    command_id: str
    model: str
    version: str
    state: VerdictState
    reason: str
    #: Evidence as text, for the audit trail.
    evidence: str
    #: Number of the verdict that this one replaces, 0 for the first.
    after_number: int


@dataclasses.dataclass(frozen=True)
class AdvanceRollout:
    """Moves a model rollout to another step, forwards or backwards."""

    command_id: str
    model: str
    to_version: str
    #: Index into the steps of the rule; -1 stops the rollout.
    step: int
    #: Step that the rollout must be on, -1 before the first.
    after_step: int
    reason: str


@dataclasses.dataclass(frozen=True)
class RecordCrash:
    """Gives a strike to what was in flight on a crashed upstream."""

    command_id: str
    upstream: str
    incarnation: int
    #: Of contents and of parts of their prompts.
    digests: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class ClearStrikes:
    """Removes the strikes of what has since run to completion."""

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
    """Phase of the rollout of a service."""

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
    """Starts to move a service to upstreams of another version."""

    command_id: str
    service: str
    #: Version to move to.
    target: str
    #: Time in which the rollout should complete, seconds.
    duration_s: float


@dataclasses.dataclass(frozen=True)
class MoveServiceRollout:
    """Changes the share of a service rollout, or ends it."""

    command_id: str
    service: str
    #: Number of the rollout; the command has no effect on a later one.
    number: int
    phase: RolloutPhase
    #: Share of the sessions that the target gets, 0 to 1.
    share: float
    reason: str


@dataclasses.dataclass(frozen=True)
class ChangeEvacuation:
    """Starts or ends the evacuation of a zone."""

    command_id: str
    zone: str
    #: Whether the zone is to be evacuated; false ends the evacuation.
    is_evacuated: bool
    operator: str
    #: Change count of the zone that the command is based on, 0 for a zone that
    #: was never evacuated. With another count the command has no effect, so
    #: that a late copy cannot undo an order that was acknowledged since.
    after_number: int


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
    | ChangeEvacuation
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
    #: One sentence per change from the file's base to the rules in force.
    changes: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class RulesRejected:
    """The file has errors."""

    errors: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class ClaimGranted:
    """This request may send the call, once."""


@dataclasses.dataclass(frozen=True)
class ClaimRecorded:
    """The call has run; its answer is recorded."""

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
    """The claim is released; the key may be claimed again."""


@dataclasses.dataclass(frozen=True)
class ClaimLost:
    """This request does not hold the claim; nothing changed."""


@dataclasses.dataclass(frozen=True)
class BillRecorded:
    """The request is billed."""

    #: False if it had been billed before.
    first: bool


@dataclasses.dataclass(frozen=True)
class BillMismatch:
    """The key was billed before for another body."""


@dataclasses.dataclass(frozen=True)
class SessionPinned:
    """The session is pinned to this version."""

    version: str


@dataclasses.dataclass(frozen=True)
class VerdictRecorded:
    """The verdict is recorded under this number."""

    number: int


@dataclasses.dataclass(frozen=True)
class VerdictStale:
    """A later verdict exists; nothing changed."""

    number: int


@dataclasses.dataclass(frozen=True)
class RolloutAdvanced:
    """The rollout is on this step."""

    step: int


@dataclasses.dataclass(frozen=True)
class RolloutStale:
    """The rollout is not on the expected step; nothing changed."""

    step: int


@dataclasses.dataclass(frozen=True)
class CrashRecorded:
    """The crash is recorded; holds the resulting strike counts."""

    strikes_by_digest: Mapping[str, int]


@dataclasses.dataclass(frozen=True)
class StrikesCleared:
    """The contents have no strikes any more."""


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
    """The submitted routing document, or one at least as new, is in force."""

    #: Version in force.
    version: int
    #: Whether this command put it in force.
    changed: bool


@dataclasses.dataclass(frozen=True)
class ServiceRolloutBegun:
    """The rollout is recorded, by this or an earlier command."""

    number: int


@dataclasses.dataclass(frozen=True)
class ServiceRolloutMoved:
    """The rollout was updated, unless it is over or another one began."""

    changed: bool


@dataclasses.dataclass(frozen=True)
class EvacuationChanged:
    """State of the zone after the command."""

    #: Whether this command changed it.
    changed: bool
    #: Change count of the zone.
    number: int
    #: Differs from the command if that was based on another change count.
    is_evacuated: bool


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
    | EvacuationChanged
)

#: Value of `AdvanceRollout.step` for a rollout that has not begun or that
#: was stopped.
NO_STEP = -1
