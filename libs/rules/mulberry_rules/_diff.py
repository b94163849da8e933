"""What changed between two rule files, in sentences."""

import dataclasses
from collections.abc import Callable, Iterator, Mapping

import mulberry_core as core
from mulberry_rules import _model

#: Hex digits of a key hash that are shown.
_SHOWN_HASH_DIGITS = 8


@dataclasses.dataclass(frozen=True)
class _Fact:
    """One thing that a rule file says."""

    #: Subject of the sentences, for example `Team cooperativas`.
    subject: str
    #: By property, for example weight.
    value_by_property: Mapping[str, str]
    line: _model.RuleLine


def diff_rules(old: _model.Rules, new: _model.Rules) -> tuple[str, ...]:
    """Returns one sentence for each change from `old` to `new`.

    Comments, the order of unrelated lines and `edited-from` are no changes.
    """
    sentences: list[str] = []
    for facts in _FACTS:
        sentences.extend(_diff_facts(facts(old), facts(new)))
    sentences.extend(_diff_versions(old, new))
    sentences.extend(_diff_allowances(old, new))
    sentences.extend(_diff_kind_order(old, new))
    return tuple(sentences)


def _diff_facts(
    old: Mapping[str, _Fact], new: Mapping[str, _Fact]
) -> Iterator[str]:
    for key, fact in old.items():
        if key not in new:
            yield f"{fact.subject} is removed."
    for key, fact in new.items():
        if key not in old:
            yield f"{fact.subject} is added{_listed(fact)}{_by(fact.line)}."
            continue
        before = old[key].value_by_property
        for name, value in fact.value_by_property.items():
            if before[name] != value:
                yield (
                    f"{fact.subject}: {name} changes from {before[name]} to "
                    f"{value}{_by(fact.line)}."
                )


def _listed(fact: _Fact) -> str:
    values = fact.value_by_property
    listed = ", ".join(f"{name} {value}" for name, value in values.items())
    return f": {listed}" if listed else ""


def _by(line: _model.RuleLine) -> str:
    return f" (line {line.number}, asked by {line.asked_by})"


def _team_facts(rules: _model.Rules) -> dict[str, _Fact]:
    return {
        name: _Fact(
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


def _model_facts(rules: _model.Rules) -> dict[str, _Fact]:
    return {
        name: _Fact(
            f"Model {name}",
            {
                "cost": f"{model.cost_per_1k_tokens:g} for 1,000 tokens",
                "quality": f"{model.quality:g}",
            },
            model.line,
        )
        for name, model in rules.models_by_name.items()
    }


def _cascade_facts(rules: _model.Rules) -> dict[str, _Fact]:
    return {
        name: _Fact(
            f"Cascade {name}",
            {
                "models": ", then ".join(cascade.models),
                "quality": f"{cascade.quality:g}",
            },
            cascade.line,
        )
        for name, cascade in rules.cascades_by_name.items()
    }


def _rollout_facts(rules: _model.Rules) -> dict[str, _Fact]:
    return {
        name: _Fact(
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


def _service_facts(rules: _model.Rules) -> dict[str, _Fact]:
    return {
        name: _Fact(f"Service {name}", {}, service.line)
        for name, service in rules.services_by_name.items()
    }


def _kind_facts(rules: _model.Rules) -> dict[str, _Fact]:
    return {
        name: _Fact(
            f"Kind {name}",
            {
                "target": _target(kind.target),
                "priority": str(kind.priority),
                "deadline": f"{kind.deadline_s:g} s",
                "may run again": "yes" if kind.idempotent else "no",
            },
            kind.line,
        )
        for name, kind in rules.kinds_by_name.items()
    }


def _target(target: _model.ChatTarget | _model.CallTarget) -> str:
    if isinstance(target, _model.ChatTarget):
        return target.name
    return f"{target.service} {target.method} {target.path}"


def _limit_facts(rules: _model.Rules) -> dict[str, _Fact]:
    return {
        team: _Fact(
            f"Limit of team {team}",
            {
                "requests": _rate(limit.requests_per_s),
                "tokens": _rate(limit.tokens_per_s),
            },
            limit.line,
        )
        for team, limit in rules.limits_by_team.items()
    }


def _rate(rate: float | core.Missing) -> str:
    return "unlimited" if isinstance(rate, core.Missing) else f"{rate:g}/s"


_FACTS: tuple[Callable[[_model.Rules], dict[str, _Fact]], ...] = (
    _team_facts,
    _model_facts,
    _cascade_facts,
    _rollout_facts,
    _service_facts,
    _kind_facts,
    _limit_facts,
)


def _diff_versions(old: _model.Rules, new: _model.Rules) -> Iterator[str]:
    before = _versions(old)
    after = _versions(new)
    for (model, version), known in before.items():
        if (model, version) not in after and not known.withdrawn:
            yield f"Version {version} of {model} is removed."
    for (model, version), known in after.items():
        earlier = before.get((model, version))
        if earlier is not None and earlier.withdrawn == known.withdrawn:
            continue
        if known.withdrawn:
            change = "is withdrawn and receives no new work"
        elif earlier is not None:
            change = "is no longer withdrawn"
        else:
            change = "is added"
        yield f"Version {version} of {model} {change}{_by(known.line)}."
    for model in new.models_by_name:
        yield from _diff_default(old, new, model)


def _versions(
    rules: _model.Rules,
) -> dict[tuple[str, str], _model.Version]:
    return {
        (model, known.version): known
        for model, versions in rules.versions_by_model.items()
        for known in versions
    }


def _diff_default(
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
    before = _allowances(old)
    after = _allowances(new)
    for key, allowance in before.items():
        if key not in after:
            yield (
                f"The rule that team {allowance.team} may use "
                f"{_allowed(allowance)} is removed."
            )
    for key, allowance in after.items():
        if key not in before:
            yield (
                f"Team {allowance.team} may use {_allowed(allowance)}"
                f"{_by(allowance.line)}."
            )


def _allowances(rules: _model.Rules) -> dict[str, _model.Allowance]:
    return {
        f"{allowance.team} {_allowed(allowance)}": allowance
        for allowances in rules.allowed_by_team.values()
        for allowance in allowances
    }


def _allowed(allowance: _model.Allowance) -> str:
    if not isinstance(allowance.service, core.Missing):
        return f"service {allowance.service}"
    if isinstance(allowance.version, core.Missing):
        return f"all versions of {allowance.model}"
    return f"version {allowance.version} of {allowance.model}"


def _diff_kind_order(old: _model.Rules, new: _model.Rules) -> Iterator[str]:
    """Reports a new order: the first kind that fits is the one used."""
    before = [name for name in old.kinds_by_name if name in new.kinds_by_name]
    after = [name for name in new.kinds_by_name if name in old.kinds_by_name]
    if before != after:
        yield f"Kinds are tried in another order: {', '.join(after)}."
