"""The part of the replicated state that every instance holds."""

import dataclasses
from collections.abc import Callable, Iterable, Mapping

from absl import logging

import mulberry_core as core
import mulberry_rules as rules
from mulberry_state import _commands


@dataclasses.dataclass(frozen=True)
class Verdict:
    """The current verdict on one model version, with its number."""

    state: _commands.VerdictState
    number: int
    reason: str


@dataclasses.dataclass(frozen=True)
class RolloutStep:
    """Current step of a model rollout."""

    to_version: str
    #: Index into the steps of the rule, or `NO_STEP`.
    step: int
    #: Unix time of the change, seconds.
    since_s: float
    reason: str


@dataclasses.dataclass(frozen=True)
class RoutingDocument:
    """The operator's routing document in force; opaque to this library."""

    #: 0 before the first document.
    version: int
    document: bytes


@dataclasses.dataclass(frozen=True)
class ServiceRollout:
    """Current state of the rollout of a service."""

    #: Counts the rollouts of the service, from 1.
    number: int
    #: Version to move to.
    target: str
    #: Time in which the rollout should complete, seconds.
    duration_s: float
    phase: _commands.RolloutPhase
    #: Share of the sessions that the target gets, 0 to 1.
    share: float
    reason: str


@dataclasses.dataclass(frozen=True)
class Evacuation:
    """Whether a zone is evacuated; kept after the end of an evacuation."""

    #: Counts the changes of the zone, from 1; never decreases.
    number: int
    is_evacuated: bool
    #: Unix time of the last change from the leader's clock, seconds.
    since_wall_s: float


NO_ROUTING = RoutingDocument(0, b"")


@dataclasses.dataclass(frozen=True)
class View:
    """A consistent, immutable copy of the state that instances need."""

    #: Increases with every change; never decreases on an instance.
    revision: int
    #: Number of the rules in force, 0 before the first.
    rules_number: int
    rules: rules.Rules | core.Missing
    rules_text: str
    #: By (model, version).
    verdicts_by_version: Mapping[tuple[str, str], Verdict]
    rollout_steps_by_model: Mapping[str, RolloutStep]
    #: Number of crashes by content digest. Leaders of earlier versions send
    #: only these counts and no `crashes_by_digest`.
    strikes_by_digest: Mapping[str, int]
    #: gRPC address by instance name.
    voters_by_name: Mapping[str, str]
    routing: RoutingDocument = NO_ROUTING
    service_rollouts_by_service: Mapping[str, ServiceRollout] = (
        dataclasses.field(default_factory=dict)
    )
    #: Ids of the crashes behind the strikes, see `crash_id`.
    crashes_by_digest: Mapping[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    #: Unix time of each crash, in the same order, seconds; 0 if it is unknown.
    crash_wall_s_by_digest: Mapping[str, tuple[float, ...]] = dataclasses.field(
        default_factory=dict
    )
    evacuations_by_zone: Mapping[str, Evacuation] = dataclasses.field(
        default_factory=dict
    )

    def crash_times_by_digest(self) -> Mapping[str, Mapping[str, float]]:
        """Returns the Unix time of each crash by its id, seconds."""
        return {
            digest: dict(
                zip(crashes, self.crash_wall_s_by_digest[digest], strict=True)
            )
            for digest, crashes in self.crashes_by_digest.items()
        }


def notify(callbacks: Iterable[Callable[[View], None]], view: View) -> None:
    """Calls each callback with a new view; logs their errors.

    The task that received the view must go on: it applies later records, or
    renews the lease of the instance.
    """
    for callback in tuple(callbacks):
        try:
            callback(view)
        except Exception:
            logging.exception(
                "a callback for revision %d of the view failed", view.revision
            )


def crash_id(upstream: str, incarnation: int) -> str:
    """Returns an id that is unique for each crash of an upstream."""
    return f"{upstream} {incarnation}"


EMPTY_VIEW = View(
    revision=0,
    rules_number=0,
    rules=core.Missing.UNSET,
    rules_text="",
    verdicts_by_version={},
    rollout_steps_by_model={},
    strikes_by_digest={},
    voters_by_name={},
)
