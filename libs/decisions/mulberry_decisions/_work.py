"""A request as a unit of work, and its outcomes."""

import dataclasses
import enum

import mulberry_core as core


class Outcome(enum.Enum):
    """Outcome of a run of a request on an upstream."""

    #: A complete and valid answer arrived.
    COMPLETED = "completed"
    #: The upstream answered with an error.
    FAILED = "failed"
    #: The answer ended early.
    TRUNCATED = "truncated"
    #: The answer broke the protocol or belonged to another request.
    GARBLED = "garbled"
    #: The deadline passed before the answer was complete.
    LATE = "late"
    #: The upstream was lost during the run.
    CRASHED = "crashed"
    #: The caller disconnected.
    CANCELED = "canceled"
    #: The upstream refused the work without running it.
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True)
class Work:
    """Properties of a request on which decisions are based."""

    team: str
    #: Name of the kind in the rules.
    kind: str
    #: 1 is the most urgent.
    priority: int
    #: `core.Clock.now` at which the answer must be complete, seconds.
    deadline_at_s: float
    #: Session id of the caller.
    session: str | core.Missing = core.Missing.UNSET
    #: `core.digest128` of the request body.
    content: str = ""
    #: Digests of prefixes of the prompt, shortest first.
    prefixes: tuple[str, ...] = ()
    #: Digests of the parts of the prompt that other requests may share, the
    #: first part first.
    shared_parts: tuple[str, ...] = ()
    #: Tokens of prompt and answer together.
    expected_tokens: int = 0
    #: Whether the work may run more than once.
    is_idempotent: bool = True
    #: Name of the service that runs the work; empty where there is only one.
    service: str = ""
    #: Whether this is a call of a plain service instead of a model.
    is_call: bool = False
