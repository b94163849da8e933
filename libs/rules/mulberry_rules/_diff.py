"""Describes the changes between two rule files in sentences."""

import dataclasses
from collections.abc import Callable, Iterator, Mapping

import mulberry_core as core
from mulberry_rules import _model

#: Number of hex digits shown of a key hash.
_SHOWN_HASH_DIGITS = 8


@dataclasses.dataclass(frozen=True)
class _Declaration:
    """One declaration in a rule file, with its properties as text."""

    #: Subject of the sentences, for example `Team cooperativas`.
    subject: str
    #: Text of each property, for example of the weight.
    value_by_property: Mapping[str, str]
    line: _model.RuleLine


def diff_rules(old: _model.Rules, new: _model.Rules) -> tuple[str, ...]:
    """Returns one sentence for each change from `old` to `new`.

    Comments, `edited-from` and the order of unrelated lines are ignored.
    """
    sentences: list[str] = []
    for read_declarations in _DECLARATION_READERS:
        sentences.extend(
            _diff_declarations(read_declarations(old), read_declarations(new))
        )
    sentences.extend(_diff_versions(old, new))
    sentences.extend(_diff_allowances(old, new))
    sentences.extend(_diff_kind_order(old, new))
    return tuple(sentences)


def _diff_declarations(
    old: Mapping[str, _Declaration], new: Mapping[str, _Declaration]
) -> Iterator[str]:
    for key, declaration in old.items():
        if key not in new:
            yield f"{declaration.subject} is removed."
    for key, declaration in new.items():
        if key not in old:
            yield (
                f"{declaration.subject} is added"
                f"{_format_properties(declaration)}"
                f"{_format_source(declaration.line)}."
            )
            continue
        before = old[key].value_by_property
        for name, value in declaration.value_by_property.items():
            if before[name] != value:
                yield (
                    f"{declaration.subject}: {name} changes from "
                    f"{before[name]} to {value}"
                    f"{_format_source(declaration.line)}."
                )


def _format_properties(declaration: _Declaration) -> str:
    values = declaration.value_by_property
    formatted = ", ".join(f"{name} {value}" for name, value in values.items())
    return f": {formatted}" if formatted else ""


def _format_source(line: _model.RuleLine) -> str:
    return f" (line {line.number}, asked by {line.asked_by})"


def _team_declarations(rules: _model.Rules) -> dict[str, _Declaration]:
    return {
        name: _Declaration(
            f"Team {name}",
            {
                "keys": " and ".join(
                    f"{key_hash[:_SHOWN_HASH_DIGITS]}…"
                    for key_hash in sorted(team.key_hashes)
                ),
                "weight": f"{team.weight:g}",
            },
            team.line,
        )
        for name, team in rules.teams_by_name.items()
    }


def _model_declarations(rules: _model.Rules) -> dict[str, _Declaration]:
    return {
        name: _Declaration(
            f"Model {name}",
            {
                "cost": f"{model.cost_per_1k_tokens:g} for 1,000 tokens",
                "quality": f"{model.quality:g}",
            },
            model.line,
        )
        for name, model in rules.models_by_name.items()
    }


def _cascade_declarations(rules: _model.Rules) -> dict[str, _Declaration]:
    return {
        name: _Declaration(
            f"Cascade {name}",
            {
                "models": ", then ".join(cascade.models),
                "quality": f"{cascade.quality:g}",
            },
            cascade.line,
        )
        for name, cascade in rules.cascades_by_name.items()
    }


def _rollout_declarations(rules: _model.Rules) -> dict[str, _Declaration]:
    return {
        name: _Declaration(
            f"Rollout of {name}",
            {
                "course": f"{rollout.from_version} to {rollout.to_version}",
                "steps": " ".join(f"{step * 100:g}%" for step in rollout.steps),
                "time on a step": f"{rollout.step_s:g} s",
                "most exposed requests": str(rollout.max_exposed),
                "held": "yes" if rollout.held else "no",
            },
            rollout.line,
        )
        for name, rollout in rules.rollouts_by_model.items()
    }


def _service_declarations(rules: _model.Rules) -> dict[str, _Declaration]:
    return {
        name: _Declaration(f"Service {name}", {}, service.line)
        for name, service in rules.services_by_name.items()
    }


def _kind_declarations(rules: _model.Rules) -> dict[str, _Declaration]:
    return {
        name: _Declaration(
            f"Kind {name}",
            {
                "target": _format_target(kind.target),
                "priority": str(kind.priority),
                "deadline": f"{kind.deadline_s:g} s",
                "may run again": "yes" if kind.idempotent else "no",
            },
            kind.line,
        )
        for name, kind in rules.kinds_by_name.items()
    }


def _format_target(target: _model.ChatTarget | _model.CallTarget) -> str:
    if isinstance(target, _model.ChatTarget):
        return target.name
    return f"{target.service} {target.method} {target.path}"


def _limit_declarations(rules: _model.Rules) -> dict[str, _Declaration]:
    return {
        team: _Declaration(
            f"Limit of team {team}",
            {
                "requests": _format_rate(limit.requests_per_s),
                "tokens": _format_rate(limit.tokens_per_s),
            },
            limit.line,
        )
        for team, limit in rules.limits_by_team.items()
    }


def _format_rate(rate: float | core.Missing) -> str:
    return "unlimited" if isinstance(rate, core.Missing) else f"{rate:g}/s"


_DECLARATION_READERS: tuple[
    Callable[[_model.Rules], dict[str, _Declaration]], ...
] = (
    _team_declarations,
    _model_declarations,
    _cascade_declarations,
    _rollout_declarations,
    _service_declarations,
    _kind_declarations,
    _limit_declarations,
)


def _diff_versions(old: _model.Rules, new: _model.Rules) -> Iterator[str]:
    before = _versions_by_key(old)
    after = _versions_by_key(new)
    for (model, version), entry in before.items():
        if (model, version) not in after and not entry.withdrawn:
            yield f"Version {version} of {model} is removed."
    for (model, version), entry in after.items():
        previous = before.get((model, version))
        if previous is not None and previous.withdrawn == entry.withdrawn:
            continue
        if entry.withdrawn:
            change = "is withdrawn and receives no new work"
        elif previous is not None:
            change = "is no longer withdrawn"
        else:
            change = "is added"
        yield (
            f"Version {version} of {model} {change}"
            f"{_format_source(entry.line)}."
        )
    for model in new.models_by_name:
        yield from _diff_default_version(old, new, model)


def _versions_by_key(
    rules: _model.Rules,
) -> dict[tuple[str, str], _model.Version]:
    return {
        (model, entry.version): entry
        for model, versions in rules.versions_by_model.items()
        for entry in versions
    }


def _diff_default_version(
    old: _model.Rules, new: _model.Rules, model: str
) -> Iterator[str]:
    before = old.default_version(model)
    after = new.default_version(model)
    if model not in old.models_by_name or before == after:
        return
    if isinstance(after, core.Missing):
        yield f"New sessions of {model} get no version; none is live."
    else:
        yield f"New sessions of {model} get version {after} by default."


def _diff_allowances(old: _model.Rules, new: _model.Rules) -> Iterator[str]:
    before = _allowances_by_text(old)
    after = _allowances_by_text(new)
    for key, allowance in before.items():
        if key not in after:
            yield (
                f"The rule that team {allowance.team} may use "
                f"{_format_allowance(allowance)} is removed."
            )
    for key, allowance in after.items():
        if key not in before:
            yield (
                f"Team {allowance.team} may use {_format_allowance(allowance)}"
                f"{_format_source(allowance.line)}."
            )


def _allowances_by_text(rules: _model.Rules) -> dict[str, _model.Allowance]:
    return {
        f"{allowance.team} {_format_allowance(allowance)}": allowance
        for allowances in rules.allowed_by_team.values()
        for allowance in allowances
    }


def _format_allowance(allowance: _model.Allowance) -> str:
    if not isinstance(allowance.service, core.Missing):
        return f"service {allowance.service}"
    if isinstance(allowance.version, core.Missing):
        return f"all versions of {allowance.model}"
    return f"version {allowance.version} of {allowance.model}"


def _diff_kind_order(old: _model.Rules, new: _model.Rules) -> Iterator[str]:
    """Reports a new order, which matters as the first match is used."""
    before = [name for name in old.kinds_by_name if name in new.kinds_by_name]
    after = [name for name in new.kinds_by_name if name in old.kinds_by_name]
    if before != after:
        yield f"Kinds are tried in another order: {', '.join(after)}."
