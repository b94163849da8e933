"""The validated content of a rule file as frozen data classes."""

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
    #: Who asked for the rule.
    asked_by: str
    #: Why, if the line says so after the name.
    reason: str = ""


@dataclasses.dataclass(frozen=True)
class Team:
    """A customer of the deployment."""

    name: str
    #: SHA-256 of the keys in hex; a team may have two while it changes keys.
    key_hashes: tuple[str, ...]
    #: Share among the teams when there is not enough for all.
    weight: float
    line: RuleLine


@dataclasses.dataclass(frozen=True)
class Model:
    """A language model."""

    name: str
    #: Money for 1,000 tokens.
    cost_per_1k_tokens: float
    #: Expected share of answers that are good enough, 0 to 1.
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
    """What a team may use: one model, one of its versions, or a service."""

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
    """Models tried in order, cheapest first, until the quality is met."""

    name: str
    models: tuple[str, ...]
    #: Share of answers that must be good enough, 0 to 1.
    quality: float
    line: RuleLine


@dataclasses.dataclass(frozen=True)
class Rollout:
    """Moves new sessions of a model step by step to another version."""

    model: str
    from_version: str
    to_version: str
    #: Shares of new sessions, 0 to 1, growing.
    steps: tuple[float, ...]
    #: Shortest time on one step, seconds.
    step_s: float
    #: Requests that may meet the new version before it has proved itself.
    max_exposed: int
    #: A held rollout stays on its step.
    held: bool
    line: RuleLine


@dataclasses.dataclass(frozen=True)
class Service:
    """A plain service beside the engines."""

    name: str
    line: RuleLine


@dataclasses.dataclass(frozen=True)
class ChatTarget:
    """Chat work: the name of a model or a cascade."""

    name: str


@dataclasses.dataclass(frozen=True)
class CallTarget:
    """A call of a plain service."""

    service: str
    method: str
    #: Path pattern below the service, `*` stands for any text.
    path: str


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of work with its priority, deadline and idempotency."""

    name: str
    target: ChatTarget | CallTarget
    #: 1 is the most urgent.
    priority: int
    #: Seconds from arrival to the end of the answer.
    deadline_s: float
    #: Whether the work may run more than once.
    idempotent: bool
    line: RuleLine


@dataclasses.dataclass(frozen=True)
class Limit:
    """Limits of one team over all entries."""

    team: str
    requests_per_s: float | core.Missing
    tokens_per_s: float | core.Missing
    line: RuleLine


#: Used where a request of chat names no kind and no rule fits.
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
    """A whole accepted rule file."""

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
        """Whether the version may get no new work; unknown ones may not."""
        return not any(
            declared.version == version and not declared.withdrawn
            for declared in self.versions_by_model.get(model, ())
        )

    def default_version(self, model: str) -> str | core.Missing:
        """Returns the version that new sessions get outside a rollout.

        It is the `from` version of a rollout, otherwise the first version
        in the file that is not withdrawn.
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
        """Returns the kind of a call, unset if no rule names it."""
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
