"""Parsers for the statements of a rule file, one per keyword."""

import dataclasses
from collections.abc import Callable, Mapping
from typing import Any

import mulberry_core as core
from mulberry_rules import _cursor, _lines, _model

#: A team has two keys while it rotates from one to the other.
_MAX_KEYS = 2
_MAX_CASCADE_MODELS = 8
_MAX_WEIGHT = 1000.0
_MAX_COST = 1e6
_MAX_RATE = 1e8
_MAX_EXPOSED = 1_000_000
_LEAST_URGENT_PRIORITY = 9


@dataclasses.dataclass(frozen=True)
class EditedFrom:
    """The `edited-from` statement: the revision that the file is based on."""

    number: int
    line: _model.RuleLine


@dataclasses.dataclass(frozen=True)
class Withdrawal:
    """A version that must not get new work."""

    model: str
    version: str
    line: _model.RuleLine


Statement = (
    EditedFrom
    | Withdrawal
    | _model.Team
    | _model.Model
    | _model.Version
    | _model.Allowance
    | _model.Cascade
    | _model.Rollout
    | _model.Service
    | _model.Kind
    | _model.Limit
)


def _parse_flag(cursor: _cursor.Cursor) -> bool:
    return True


def _share_parser(label: str) -> Callable[[_cursor.Cursor], float]:
    return lambda cursor: cursor.number(label, 0.0, 1.0)


def _name_parser(label: str) -> Callable[[_cursor.Cursor], str]:
    return lambda cursor: cursor.name(label)


def _parse_positive(
    cursor: _cursor.Cursor, label: str, maximum: float
) -> float:
    return cursor.number(label, 0.001, maximum)


def _first_or(values: list[Any], default: Any) -> Any:
    return values[0] if values else default


def _parse_edited_from(cursor: _cursor.Cursor) -> EditedFrom:
    number = cursor.integer("the number", 0, 999_999_999)
    cursor.expect_end()
    return EditedFrom(number, cursor.line.rule)


_TEAM_CLAUSES = {
    # Not required here: the later check for a missing key names the team.
    "key": _cursor.Clause(
        lambda cursor: cursor.key_hash(), "key sha256:HEX", False, _MAX_KEYS
    ),
    "weight": _cursor.Clause(
        lambda cursor: _parse_positive(cursor, "the weight", _MAX_WEIGHT),
        "weight 1",
        False,
    ),
}


def _parse_team(cursor: _cursor.Cursor) -> _model.Team:
    name = cursor.name("the team")
    values = _cursor.parse_clauses(cursor, _TEAM_CLAUSES)
    return _model.Team(
        name=name,
        key_hashes=tuple(values["key"]),
        weight=_first_or(values["weight"], 1.0),
        line=cursor.line.rule,
    )


_MODEL_CLAUSES = {
    "cost": _cursor.Clause(
        lambda cursor: cursor.number("the cost", 0.0, _MAX_COST), "cost 12.0"
    ),
    "quality": _cursor.Clause(_share_parser("the quality"), "quality 0.9"),
}


def _parse_model(cursor: _cursor.Cursor) -> _model.Model:
    name = cursor.name("the model")
    values = _cursor.parse_clauses(cursor, _MODEL_CLAUSES)
    return _model.Model(
        name=name,
        cost_per_1k_tokens=_first_or(values["cost"], 0.0),
        quality=_first_or(values["quality"], 0.0),
        line=cursor.line.rule,
    )


def _parse_version(cursor: _cursor.Cursor) -> _model.Version:
    model = cursor.name("the model")
    version = cursor.name("the version")
    cursor.expect_end()
    return _model.Version(model, version, False, cursor.line.rule)


def _parse_withdraw(cursor: _cursor.Cursor) -> Withdrawal:
    model = cursor.name("the model")
    version = cursor.name("the version")
    cursor.expect_end()
    return Withdrawal(model, version, cursor.line.rule)


def _parse_allow(cursor: _cursor.Cursor) -> _model.Allowance:
    team = cursor.name("the team")
    model: str | core.Missing = core.Missing.UNSET
    version: str | core.Missing = core.Missing.UNSET
    service: str | core.Missing = core.Missing.UNSET
    if cursor.peek == "service":
        cursor.next_word()
        service = cursor.name("the service")
    else:
        model = cursor.name("the model")
        if cursor.peek:
            version = cursor.name("the version")
    cursor.expect_end()
    return _model.Allowance(team, model, version, service, cursor.line.rule)


_CASCADE_CLAUSES = {
    "from": _cursor.Clause(_name_parser("the model"), "from MODEL"),
    "to": _cursor.Clause(
        _name_parser("the model"), "to MODEL", max_count=_MAX_CASCADE_MODELS - 1
    ),
    "quality": _cursor.Clause(_share_parser("the quality"), "quality 0.9"),
}


def _parse_cascade(cursor: _cursor.Cursor) -> _model.Cascade:
    name = cursor.name("the cascade")
    values = _cursor.parse_clauses(cursor, _CASCADE_CLAUSES)
    return _model.Cascade(
        name=name,
        models=(*values["from"], *values["to"]),
        quality=_first_or(values["quality"], 0.0),
        line=cursor.line.rule,
    )


def _parse_steps(cursor: _cursor.Cursor) -> tuple[float, ...]:
    steps = [cursor.percent()]
    while cursor.peek and cursor.peek not in _ROLLOUT_CLAUSES:
        steps.append(cursor.percent())
    return tuple(steps)


_ROLLOUT_CLAUSES = {
    "from": _cursor.Clause(_name_parser("the version"), "from VERSION"),
    "to": _cursor.Clause(_name_parser("the version"), "to VERSION"),
    "steps": _cursor.Clause(_parse_steps, "steps 1% 5% 25% 100%"),
    "every": _cursor.Clause(
        lambda cursor: cursor.duration("the time on a step"), "every 30m"
    ),
    "expose": _cursor.Clause(
        lambda cursor: cursor.integer(
            "the number of requests", 1, _MAX_EXPOSED
        ),
        "expose 50",
    ),
    "hold": _cursor.Clause(_parse_flag, "hold", False),
}


def _parse_rollout(cursor: _cursor.Cursor) -> _model.Rollout:
    model = cursor.name("the model")
    values = _cursor.parse_clauses(cursor, _ROLLOUT_CLAUSES)
    return _model.Rollout(
        model=model,
        from_version=_first_or(values["from"], ""),
        to_version=_first_or(values["to"], ""),
        steps=_first_or(values["steps"], ()),
        step_s=_first_or(values["every"], 0.0),
        max_exposed=_first_or(values["expose"], 0),
        held=bool(values["hold"]),
        line=cursor.line.rule,
    )


def _parse_service(cursor: _cursor.Cursor) -> _model.Service:
    name = cursor.name("the service")
    cursor.expect_end()
    return _model.Service(name, cursor.line.rule)


def _parse_chat_target(cursor: _cursor.Cursor) -> _model.ChatTarget:
    return _model.ChatTarget(cursor.name("the model or cascade"))


def _parse_call_target(cursor: _cursor.Cursor) -> _model.CallTarget:
    service = cursor.name("the service")
    method = cursor.method()
    return _model.CallTarget(service, method, cursor.path())


_KIND_CLAUSES = {
    "chat": _cursor.Clause(_parse_chat_target, "chat MODEL", False),
    "call": _cursor.Clause(_parse_call_target, "call SERVICE GET /PATH", False),
    "priority": _cursor.Clause(
        lambda cursor: cursor.integer(
            "the priority", 1, _LEAST_URGENT_PRIORITY
        ),
        "priority 2",
    ),
    "deadline": _cursor.Clause(
        lambda cursor: cursor.duration("the deadline"), "deadline 60s"
    ),
    "once": _cursor.Clause(_parse_flag, "once", False),
}


def _parse_kind(cursor: _cursor.Cursor) -> _model.Kind:
    name = cursor.name("the kind")
    values = _cursor.parse_clauses(cursor, _KIND_CLAUSES)
    targets = values["chat"] + values["call"]
    if len(targets) != 1:
        cursor.errors.append(
            cursor.line.error(
                name,
                "a kind needs either `chat` or `call`",
                "write `chat MODEL` or `call SERVICE METHOD /PATH`",
            )
        )
    if values["once"] and values["chat"]:
        cursor.errors.append(
            cursor.line.error(
                "once",
                "`once` is for calls of services only",
                "delete `once`; chat work may run again",
            )
        )
    return _model.Kind(
        name=name,
        target=_first_or(targets, _model.ChatTarget("")),
        priority=_first_or(values["priority"], 1),
        deadline_s=_first_or(values["deadline"], 1.0),
        idempotent=not values["once"],
        line=cursor.line.rule,
    )


_LIMIT_UNITS = ("requests/s", "tokens/s")


def _parse_limit(cursor: _cursor.Cursor) -> _model.Limit:
    team = cursor.name("the team")
    rate_by_unit: dict[str, float] = {}
    while cursor.peek or not rate_by_unit:
        rate = _parse_positive(cursor, "the limit", _MAX_RATE)
        if cursor.errors:
            break
        unit = cursor.peek
        if unit in _LIMIT_UNITS and unit not in rate_by_unit:
            cursor.next_word()
        else:
            cursor.add_error(
                "the unit of the limit is not valid or stands twice",
                "write `N requests/s` or `N tokens/s`, each at most once",
            )
        rate_by_unit[unit] = rate
    return _model.Limit(
        team=team,
        requests_per_s=rate_by_unit.get("requests/s", core.Missing.UNLIMITED),
        tokens_per_s=rate_by_unit.get("tokens/s", core.Missing.UNLIMITED),
        line=cursor.line.rule,
    )


#: The parser of each statement, by its keyword.
PARSER_BY_KEYWORD: Mapping[str, Callable[[_cursor.Cursor], Statement]] = {
    _lines.EDITED_FROM: _parse_edited_from,
    "team": _parse_team,
    "model": _parse_model,
    "version": _parse_version,
    "withdraw": _parse_withdraw,
    "allow": _parse_allow,
    "cascade": _parse_cascade,
    "rollout": _parse_rollout,
    "service": _parse_service,
    "kind": _parse_kind,
    "limit": _parse_limit,
}
