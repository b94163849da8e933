"""Explains where a request would be sent and which rule lines decide it."""

import dataclasses
from collections.abc import Iterator, Mapping
from typing import Protocol

import mulberry_core as core
from mulberry_rules import _cursor, _model


class _HasRuleLine(Protocol):
    """Any object that is declared by one rule line."""

    @property
    def line(self) -> _model.RuleLine: ...


@dataclasses.dataclass(frozen=True)
class ExplainContext:
    """Runtime state that affects the decisions besides the rules."""

    #: Reason by (model, version) for each version with a bad verdict.
    reason_by_bad_version: Mapping[tuple[str, str], str] = dataclasses.field(
        default_factory=dict
    )
    #: Share of new sessions, 0 to 1, that a model's rollout has reached.
    share_by_model: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    #: Versions that earlier requests pinned the session to.
    pinned_version_by_model: Mapping[str, str] = dataclasses.field(
        default_factory=dict
    )
    #: Versions that the version chooser assigns to the session.
    assigned_version_by_model: Mapping[str, str] = dataclasses.field(
        default_factory=dict
    )
    #: Names of the ready upstreams by (model, version), or (service, "").
    upstreams_by_target: Mapping[tuple[str, str], tuple[str, ...]] = (
        dataclasses.field(default_factory=dict)
    )


@dataclasses.dataclass(frozen=True)
class ExplainStep:
    """One routing decision for a request."""

    sentence: str
    #: Rule lines that determine the decision; empty if none does.
    lines: tuple[_model.RuleLine, ...]


@dataclasses.dataclass(frozen=True)
class Explanation:
    """Where a request would be sent and why."""

    #: Whether it would be sent to an upstream.
    allowed: bool
    #: `MODEL VERSION` or a service name, in the order of attempts.
    targets: tuple[str, ...]
    steps: tuple[ExplainStep, ...]


def explain(
    rules: _model.Rules,
    team: str,
    target: str,
    context: ExplainContext | core.Missing = core.Missing.UNSET,
) -> Explanation:
    """Explains how a request would be routed.

    Args:
        rules: The rules in force.
        team: Name of the team.
        target: Name of a kind, or of a model or cascade that a request asks
            for without naming a kind.
        context: Runtime state; unset to consider only the rules.

    Returns:
        The decisions in their order, up to the first refusal.
    """
    effective_context = (
        ExplainContext() if isinstance(context, core.Missing) else context
    )
    return _Explainer(rules, team, effective_context).run(target)


class _Explainer:
    """Collects the steps of one explanation."""

    def __init__(
        self, rules: _model.Rules, team: str, context: ExplainContext
    ) -> None:
        self._rules = rules
        self._team = team
        self._context = context
        self._steps: list[ExplainStep] = []

    def run(self, target: str) -> Explanation:
        team = self._rules.teams_by_name.get(self._team)
        if team is None:
            suggestion = _cursor.did_you_mean(
                self._team, self._rules.teams_by_name
            )
            return self._refuse(f"There is no team {self._team}; {suggestion}")
        self._add_step(
            f"The team is {team.name}, weight {team.weight:g}.", team
        )
        limit = self._rules.limits_by_team.get(self._team)
        if limit is not None:
            self._add_step(
                "Its rate limit applies before anything is sent.", limit
            )
        kind = self._find_kind(target)
        if isinstance(kind, core.Missing):
            return self._refuse(
                f"There is no kind, model or cascade {target}; "
                + _cursor.did_you_mean(target, self._target_names())
            )
        self._add_kind_step(kind)
        if isinstance(kind.target, _model.CallTarget):
            return self._explain_call(kind.target)
        return self._explain_chat(kind.target.name or target)

    def _target_names(self) -> list[str]:
        return [
            *self._rules.kinds_by_name,
            *self._rules.models_by_name,
            *self._rules.cascades_by_name,
        ]

    def _find_kind(self, target: str) -> _model.Kind | core.Missing:
        kind = self._rules.kinds_by_name.get(target)
        if kind is not None:
            return kind
        if target in (
            *self._rules.models_by_name,
            *self._rules.cascades_by_name,
        ):
            return self._rules.kind_for_chat(target)
        return core.Missing.UNSET

    def _add_kind_step(self, kind: _model.Kind) -> None:
        repetition = (
            "may be sent again" if kind.idempotent else "runs at most once"
        )
        self._add_step(
            f"The kind is {kind.name}: priority {kind.priority}, deadline "
            f"{kind.deadline_s:g} s, {repetition}.",
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
            return self._refuse(
                f"No rule allows {self._team} to use service {target.service}.",
                service,
            )
        self._add_step(
            f"{self._team} may use service {target.service}.",
            service,
            *allowed,
        )
        self._add_upstreams_step(target.service, "")
        return Explanation(True, (target.service,), tuple(self._steps))

    def _explain_chat(self, target: str) -> Explanation:
        models: tuple[str, ...] = (target,)
        cascade = self._rules.cascades_by_name.get(target)
        if cascade is not None:
            models = cascade.models
            self._add_step(
                f"Cascade {target} tries {', then '.join(models)} until the "
                f"rating reaches {cascade.quality:g}; the chooser may begin "
                "at a later model.",
                cascade,
            )
        targets = [
            f"{model} {version}"
            for model in models
            for version in self._versions_to_try(model)
        ]
        return Explanation(bool(targets), tuple(targets), tuple(self._steps))

    def _versions_to_try(self, model: str) -> Iterator[str]:
        """Yields the versions a request may get, the most likely first."""
        eligible = self._eligible_versions(model)
        if not eligible:
            self._add_step(f"No version of {model} can serve the request.")
            return
        selected = self._select_versions(model, eligible)
        for version in selected:
            self._add_upstreams_step(model, version)
        yield from selected

    def _eligible_versions(self, model: str) -> list[str]:
        """Returns the versions that neither rules nor verdicts exclude."""
        eligible = []
        allowances = [
            allowance
            for allowance in self._rules.allowed_by_team.get(self._team, ())
            if allowance.model == model
        ]
        if not allowances:
            self._add_step(
                f"No rule allows {self._team} to use {model}.",
                self._rules.models_by_name[model],
            )
            return []
        for candidate in self._rules.versions_by_model.get(model, ()):
            bad_reason = self._context.reason_by_bad_version.get(
                (model, candidate.version)
            )
            if candidate.withdrawn:
                self._add_step(
                    f"{model} {candidate.version} is withdrawn.", candidate
                )
            elif not self._rules.allows(self._team, model, candidate.version):
                self._add_step(
                    f"{self._team} may not use {model} {candidate.version}.",
                    *allowances,
                )
            elif bad_reason is not None:
                self._add_step(
                    f"{model} {candidate.version} has a bad verdict: "
                    f"{bad_reason}.",
                    candidate,
                )
            else:
                eligible.append(candidate.version)
        if eligible:
            self._add_step(f"{self._team} may use {model}.", *allowances)
        return eligible

    def _select_versions(self, model: str, eligible: list[str]) -> list[str]:
        pinned = self._context.pinned_version_by_model.get(model)
        if pinned in eligible:
            self._add_step(f"The session is pinned to {model} {pinned}.")
            return [pinned]
        rollout = self._rules.rollouts_by_model.get(model)
        default = self._rules.default_version(model)
        if rollout is None or rollout.to_version not in eligible:
            return [self._select_default_version(model, default, eligible)]
        share = self._context.share_by_model.get(model, 0.0)
        self._add_step(
            f"The rollout from {rollout.from_version} to "
            f"{rollout.to_version} gives {share * 100:g}% of new sessions the "
            "new version.",
            rollout,
        )
        assigned = self._context.assigned_version_by_model.get(model)
        if assigned in eligible:
            self._add_step(f"This session gets {model} {assigned}.")
            return [assigned]
        first = self._select_default_version(model, default, eligible)
        includes_new_version = share > 0 and rollout.to_version != first
        return [first, rollout.to_version] if includes_new_version else [first]

    def _select_default_version(
        self,
        model: str,
        default: str | core.Missing,
        eligible: list[str],
    ) -> str:
        """Returns the default version, or the first eligible one."""
        selected = eligible[0]
        if isinstance(default, str) and default in eligible:
            selected = default
        self._add_step(
            f"Outside a rollout, sessions get {model} {selected}.",
            *(
                candidate
                for candidate in self._rules.versions_by_model[model]
                if candidate.version == selected
            ),
        )
        return selected

    def _add_upstreams_step(self, target: str, version: str) -> None:
        names = self._context.upstreams_by_target.get((target, version), ())
        label = f"{target} {version}".strip()
        if names:
            self._add_step(f"{label} is served by {', '.join(names)}.")
        elif self._context.upstreams_by_target:
            self._add_step(f"No upstream is ready for {label}.")

    def _add_step(self, sentence: str, *rules: _HasRuleLine) -> None:
        lines = tuple(rule.line for rule in rules)
        self._steps.append(ExplainStep(sentence, lines))

    def _refuse(self, sentence: str, *rules: _HasRuleLine) -> Explanation:
        self._add_step(sentence, *rules)
        return Explanation(False, (), tuple(self._steps))
