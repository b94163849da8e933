"""Says where a request would go and which rule lines decide."""

import dataclasses
from collections.abc import Iterator, Mapping
from typing import Protocol

import mulberry_core as core
from mulberry_rules import _cursor, _model


class _Ruled(Protocol):
    """Something that one rule line declares."""

    @property
    def line(self) -> _model.RuleLine: ...


@dataclasses.dataclass(frozen=True)
class ExplainContext:
    """What decides besides the rules, as plain data."""

    #: Reason by (model, version) of the versions that are held to be bad.
    reason_by_bad_version: Mapping[tuple[str, str], str] = dataclasses.field(
        default_factory=dict
    )
    #: Share of new sessions, 0 to 1, that the rollout of a model has reached.
    share_by_model: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    #: Versions that the session has kept from earlier requests.
    pinned_version_by_model: Mapping[str, str] = dataclasses.field(
        default_factory=dict
    )
    #: Versions that the version chooser draws for the session.
    assigned_version_by_model: Mapping[str, str] = dataclasses.field(
        default_factory=dict
    )
    #: Names of the ready upstreams by (model, version), or (service, "").
    upstreams_by_target: Mapping[tuple[str, str], tuple[str, ...]] = (
        dataclasses.field(default_factory=dict)
    )


@dataclasses.dataclass(frozen=True)
class ExplainStep:
    """One decision on the way of a request."""

    sentence: str
    #: Rules that decide it; none where no rule does.
    lines: tuple[_model.RuleLine, ...]


@dataclasses.dataclass(frozen=True)
class Explanation:
    """Where a request would go and why."""

    #: Whether it would be sent to an upstream.
    allowed: bool
    #: `MODEL VERSION` each, or a service, in the order they are tried.
    targets: tuple[str, ...]
    steps: tuple[ExplainStep, ...]


def explain(
    rules: _model.Rules,
    team: str,
    target: str,
    situation: ExplainContext | core.Missing = core.Missing.UNSET,
) -> Explanation:
    """Explains the way of a request.

    Args:
        rules: The rules in force.
        team: Name of the team.
        target: Name of a kind, or of a model or cascade that a request asks
            for without naming a kind.
        situation: What else decides; unset to look at the rules alone.

    Returns:
        The decisions in their order, up to the first one that refuses.
    """
    known = (
        ExplainContext() if isinstance(situation, core.Missing) else situation
    )
    return _Explainer(rules, team, known).run(target)


class _Explainer:
    """Collects the steps of one explanation."""

    def __init__(
        self, rules: _model.Rules, team: str, situation: ExplainContext
    ) -> None:
        self._rules = rules
        self._team = team
        self._situation = situation
        self._steps: list[ExplainStep] = []

    def run(self, target: str) -> Explanation:
        team = self._rules.teams_by_name.get(self._team)
        if team is None:
            hint = _cursor.did_you_mean(self._team, self._rules.teams_by_name)
            return self._refused(f"There is no team {self._team}; {hint}")
        self._step(f"The team is {team.name}, weight {team.weight:g}.", team)
        limit = self._rules.limits_by_team.get(self._team)
        if limit is not None:
            self._step("Its limit applies before anything is sent.", limit)
        kind = self._kind(target)
        if isinstance(kind, core.Missing):
            return self._refused(
                f"There is no kind, model or cascade {target}; "
                + _cursor.did_you_mean(target, self._names())
            )
        self._describe(kind)
        if isinstance(kind.target, _model.CallTarget):
            return self._explain_call(kind.target)
        return self._explain_chat(kind.target.name or target)

    def _names(self) -> list[str]:
        return [
            *self._rules.kinds_by_name,
            *self._rules.models_by_name,
            *self._rules.cascades_by_name,
        ]

    def _kind(self, target: str) -> _model.Kind | core.Missing:
        kind = self._rules.kinds_by_name.get(target)
        if kind is not None:
            return kind
        if target in (
            *self._rules.models_by_name,
            *self._rules.cascades_by_name,
        ):
            return self._rules.kind_for_chat(target)
        return core.Missing.UNSET

    def _describe(self, kind: _model.Kind) -> None:
        again = "may be sent again" if kind.idempotent else "runs at most once"
        self._step(
            f"The kind is {kind.name}: priority {kind.priority}, deadline "
            f"{kind.deadline_s:g} s, {again}.",
            *([] if kind is _model.DEFAULT_KIND else [kind]),
        )

    def _explain_call(self, target: _model.CallTarget) -> Explanation:
        service = self._rules.services_by_name[target.service]
        allowed = [
            allowance
            for allowance in self._rules.allowed_by_team.get(self._team, ())
            if allowance.service == target.service
        ]
        if not allowed:
            return self._refused(
                f"No rule allows {self._team} to use service {target.service}.",
                service,
            )
        self._step(
            f"{self._team} may use service {target.service}.",
            service,
            *allowed,
        )
        self._upstreams(target.service, "")
        return Explanation(True, (target.service,), tuple(self._steps))

    def _explain_chat(self, target: str) -> Explanation:
        models: tuple[str, ...] = (target,)
        cascade = self._rules.cascades_by_name.get(target)
        if cascade is not None:
            models = cascade.models
            self._step(
                f"Cascade {target} tries {', then '.join(models)} until the "
                f"rating reaches {cascade.quality:g}; the chooser may begin "
                "at a later model.",
                cascade,
            )
        targets = [
            f"{model} {version}"
            for model in models
            for version in self._versions(model)
        ]
        return Explanation(bool(targets), tuple(targets), tuple(self._steps))

    def _versions(self, model: str) -> Iterator[str]:
        """Yields the versions that a request may get, the likeliest first."""
        open_versions = self._open_versions(model)
        if not open_versions:
            self._step(f"No version of {model} can take the request.")
            return
        chosen = self._chosen(model, open_versions)
        for version in chosen:
            self._upstreams(model, version)
        yield from chosen

    def _open_versions(self, model: str) -> list[str]:
        """Returns the versions that rules and verdicts leave open."""
        open_versions = []
        allowances = [
            allowance
            for allowance in self._rules.allowed_by_team.get(self._team, ())
            if allowance.model == model
        ]
        if not allowances:
            self._step(
                f"No rule allows {self._team} to use {model}.",
                self._rules.models_by_name[model],
            )
            return []
        for known in self._rules.versions_by_model.get(model, ()):
            bad = self._situation.reason_by_bad_version.get(
                (model, known.version)
            )
            if known.withdrawn:
                self._step(f"{model} {known.version} is withdrawn.", known)
            elif not self._rules.allows(self._team, model, known.version):
                self._step(
                    f"{self._team} may not use {model} {known.version}.",
                    *allowances,
                )
            elif bad is not None:
                self._step(
                    f"{model} {known.version} is held to be bad: {bad}.", known
                )
            else:
                open_versions.append(known.version)
        if open_versions:
            self._step(f"{self._team} may use {model}.", *allowances)
        return open_versions

    def _chosen(self, model: str, open_versions: list[str]) -> list[str]:
        pinned = self._situation.pinned_version_by_model.get(model)
        if pinned in open_versions:
            self._step(f"The session keeps {model} {pinned} from before.")
            return [pinned]
        rollout = self._rules.rollouts_by_model.get(model)
        default = self._rules.default_version(model)
        if rollout is None or rollout.to_version not in open_versions:
            return [self._default(model, default, open_versions)]
        share = self._situation.share_by_model.get(model, 0.0)
        self._step(
            f"The rollout from {rollout.from_version} to "
            f"{rollout.to_version} gives {share * 100:g}% of new sessions the "
            "new version.",
            rollout,
        )
        drawn = self._situation.assigned_version_by_model.get(model)
        if drawn in open_versions:
            self._step(f"This session gets {model} {drawn}.")
            return [drawn]
        first = self._default(model, default, open_versions)
        reached = share > 0 and rollout.to_version != first
        return [first, rollout.to_version] if reached else [first]

    def _default(
        self,
        model: str,
        default: str | core.Missing,
        open_versions: list[str],
    ) -> str:
        """Returns the version outside a rollout, or what is left of it."""
        chosen = open_versions[0]
        if isinstance(default, str) and default in open_versions:
            chosen = default
        self._step(
            f"Outside a rollout, sessions get {model} {chosen}.",
            *(
                known
                for known in self._rules.versions_by_model[model]
                if known.version == chosen
            ),
        )
        return chosen

    def _upstreams(self, target: str, version: str) -> None:
        names = self._situation.upstreams_by_target.get((target, version), ())
        what = f"{target} {version}".strip()
        if names:
            self._step(f"{what} is served by {', '.join(names)}.")
        elif self._situation.upstreams_by_target:
            self._step(f"No upstream is ready for {what}.")

    def _step(self, sentence: str, *rules: _Ruled) -> None:
        lines = tuple(rule.line for rule in rules)
        self._steps.append(ExplainStep(sentence, lines))

    def _refused(self, sentence: str, *rules: _Ruled) -> Explanation:
        self._step(sentence, *rules)
        return Explanation(False, (), tuple(self._steps))
