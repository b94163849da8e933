"""Frozen data classes for the validated content of a rule file."""

import dataclasses
import fnmatch
from collections.abc import Mapping

import mulberry_core as core


@dataclasses.dataclass(frozen=True)
class RuleLine:
    """One line of the rule file."""

    #: Line number, from 1.
    number: int
    #: The rule without its comment.
    text: str
    #: Name of the person who requested the rule.
    asked_by: str
    #: Reason given after the name, if any.
    reason: str = ""


@dataclasses.dataclass(frozen=True)
class Team:
    """A customer of the deployment."""

    name: str
    #: SHA-256 of the keys in hex; two while the team rotates its key.
    key_hashes: tuple[str, ...]
    #: Relative share of capacity under contention.
    weight: float
    line: RuleLine


@dataclasses.dataclass(frozen=True)
class Model:
    """A language model."""

    name: str
    #: Price of 1,000 tokens.
    cost_per_1k_tokens: float
    #: Expected share of acceptable answers, 0 to 1.
    quality: float
    line: RuleLine


@dataclasses.dataclass(frozen=True)
class Version:
    """One version of a model."""

    model: str
    version: str
    #: A withdrawn version receives no new work.
    withdrawn: bool
    line: RuleLine


@dataclasses.dataclass(frozen=True)
class Allowance:
    """Permission of a team for a model, one of its versions, or a service."""

    team: str
    #: Model name; unset for a service.
    model: str | core.Missing
    #: Version; unset for all versions of the model.
    version: str | core.Missing
    #: Service name; unset for a model.
    service: str | core.Missing
    line: RuleLine


@dataclasses.dataclass(frozen=True)
class Cascade:
    """Models tried from cheapest to most expensive until the quality is met."""

    name: str
    models: tuple[str, ...]
    #: Required share of acceptable answers, 0 to 1.
    quality: float
    line: RuleLine


@dataclasses.dataclass(frozen=True)
class Rollout:
    """Gradual move of a model's new sessions to another version."""

    model: str
    from_version: str
    to_version: str
    #: Shares of new sessions, 0 to 1, strictly increasing.
    steps: tuple[float, ...]
    #: Minimum time on one step, seconds.
    step_s: float
    #: Maximum requests sent to the new version before its evidence suffices.
    max_exposed: int
    #: Whether the rollout is paused on its current step.
    held: bool
    line: RuleLine


@dataclasses.dataclass(frozen=True)
class Service:
    """A service that is called over HTTP and runs no model."""

    name: str
    line: RuleLine


@dataclasses.dataclass(frozen=True)
class ChatTarget:
    """Target of chat requests: the name of a model or a cascade."""

    name: str


@dataclasses.dataclass(frozen=True)
class CallTarget:
    """Target of service calls: a service, a method and a path pattern."""

    service: str
    method: str
    #: Path pattern below the service; `*` matches any text.
    path: str


@dataclasses.dataclass(frozen=True)
class Kind:
    """A class of requests with its priority, deadline and idempotency."""

    name: str
    target: ChatTarget | CallTarget
    #: 1 is the most urgent.
    priority: int
    #: Seconds from arrival to the end of the answer.
    deadline_s: float
    #: Whether a request may run more than once.
    idempotent: bool
    line: RuleLine


@dataclasses.dataclass(frozen=True)
class Limit:
    """Rate limits of one team, summed over all entries."""

    team: str
    requests_per_s: float | core.Missing
    tokens_per_s: float | core.Missing
    line: RuleLine


#: Kind of chat requests that name no kind and match no rule.
DEFAULT_KIND = Kind(
    name="default",
    target=ChatTarget(""),
    priority=2,
    deadline_s=60.0,
    idempotent=True,
    line=RuleLine(0, "", "built in"),
)


@dataclasses.dataclass(frozen=True)
class Rules:
    """The validated content of a rule file."""

    #: Number of the rules that the file was edited from.
    edited_from: int
    teams_by_name: Mapping[str, Team]
    team_name_by_key_hash: Mapping[str, str]
    models_by_name: Mapping[str, Model]
    #: In the order of the file; withdrawn versions are included.
    versions_by_model: Mapping[str, tuple[Version, ...]]
    allowed_by_team: Mapping[str, tuple[Allowance, ...]]
    cascades_by_name: Mapping[str, Cascade]
    rollouts_by_model: Mapping[str, Rollout]
    services_by_name: Mapping[str, Service]
    kinds_by_name: Mapping[str, Kind]
    limits_by_team: Mapping[str, Limit]
    lines_by_number: Mapping[int, RuleLine]

    def allows(self, team: str, model: str, version: str) -> bool:
        """Whether `team` may use this version of `model`."""
        return any(
            allowance.model == model
            and allowance.version in (core.Missing.UNSET, version)
            for allowance in self.allowed_by_team.get(team, ())
        )

    def allows_service(self, team: str, service: str) -> bool:
        """Whether `team` may call `service`."""
        return any(
            allowance.service == service
            for allowance in self.allowed_by_team.get(team, ())
        )

    def is_withdrawn(self, model: str, version: str) -> bool:
        """Whether the version must not get new work; true if it is unknown."""
        return not any(
            declared.version == version and not declared.withdrawn
            for declared in self.versions_by_model.get(model, ())
        )

    def default_version(self, model: str) -> str | core.Missing:
        """Returns the version that new sessions get outside a rollout.

        It is the `from` version of a rollout unless that is withdrawn,
        otherwise the first version in the file that is not withdrawn; the
        target of the rollout comes last.
        """
        rollout = self.rollouts_by_model.get(model)
        if rollout and not self.is_withdrawn(model, rollout.from_version):
            return rollout.from_version
        target = rollout.to_version if rollout else core.Missing.UNSET
        live = [
            declared.version
            for declared in self.versions_by_model.get(model, ())
            if not declared.withdrawn
        ]
        preferred = [version for version in live if version != target]
        return next(iter(preferred or live), core.Missing.UNSET)

    def kind_for_chat(self, requested: str) -> Kind:
        """Returns the first kind whose target is `requested`."""
        for kind in self.kinds_by_name.values():
            if kind.target == ChatTarget(requested):
                return kind
        return DEFAULT_KIND

    def kind_for_call(
        self, service: str, method: str, path: str
    ) -> Kind | core.Missing:
        """Returns the first kind that matches a call; unset if none does."""
        for kind in self.kinds_by_name.values():
            target = kind.target
            if (
                isinstance(target, CallTarget)
                and target.service == service
                and target.method == method
                and fnmatch.fnmatchcase(path, target.path)
            ):
                return kind
        return core.Missing.UNSET
