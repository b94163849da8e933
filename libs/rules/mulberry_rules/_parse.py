"""Parses the text of a rule file."""

from mulberry_rules import (
    _checks,
    _cursor,
    _errors,
    _lines,
    _model,
    _statements,
)

#: Most errors that are returned. A file of another kind, saved by mistake, may
#: have one on each line, and the errors travel through the replicated log.
_MAX_ERRORS = 500


def parse_rules(text: str) -> _model.Rules | _errors.RuleErrors:
    """Parses a rule file.

    Args:
        text: The whole file.

    Returns:
        The rules, or every error of the file in the order of its lines. No
        text makes this function raise.
    """
    if len(text) > _lines.MAX_TEXT_CHARACTERS:
        return _errors.RuleErrors((_lines.too_long(text),))
    split = _lines.split_text(text)
    if len(split.lines) > _lines.MAX_RULES:
        return _errors.RuleErrors((_lines.too_many(split.lines[-1]),))
    errors = list(split.errors)
    statements: list[_checks.Placed] = []
    for line in split.lines:
        placed = _read_line(line, errors)
        if placed is not None:
            statements.append(placed)
    errors.extend(_base_errors(split.lines))
    errors.extend(_checks.check(split.lines, statements))
    if errors:
        return _errors.RuleErrors(_ordered(errors))
    return _assemble(statements)


def _ordered(
    errors: list[_errors.RuleError],
) -> tuple[_errors.RuleError, ...]:
    """Returns the errors in the order of the file, within bounds."""
    ordered = sorted(errors, key=lambda error: (error.line, error.column))
    shown = ordered[:_MAX_ERRORS]
    if len(ordered) > len(shown):
        last = _errors.RuleError(
            ordered[len(shown)].line,
            1,
            "",
            f"there are {len(ordered) - len(shown)} more errors from here on",
            "correct those above first",
        )
        shown.append(last)
    return tuple(shown)


def _read_line(
    line: _lines.Line, errors: list[_errors.RuleError]
) -> _checks.Placed | None:
    reader = _statements.READER_BY_KEYWORD.get(line.keyword)
    if reader is None:
        suggestion = _cursor.did_you_mean(
            line.keyword, _statements.READER_BY_KEYWORD
        )
        errors.append(
            line.error(line.keyword, "this is not a rule", suggestion, skip=0)
        )
        return None
    cursor = _cursor.Cursor(line)
    statement = reader(cursor)
    errors.extend(cursor.errors)
    return None if cursor.errors else _checks.Placed(line, statement)


def _base_errors(lines: tuple[_lines.Line, ...]) -> list[_errors.RuleError]:
    """Finds a missing, late or repeated `edited-from`."""
    bases = [line for line in lines if line.keyword == _lines.EDITED_FROM]
    if not bases or lines[0] is not bases[0]:
        first = lines[0].number if lines else 1
        return [
            _errors.RuleError(
                first,
                1,
                "",
                "the first rule must say what the file was edited from",
                "begin with `edited-from N`, N being the number of the rules "
                "in force (0 before the first)",
            )
        ]
    return [
        line.error(
            line.keyword,
            f"`edited-from` stands already on line {bases[0].number}",
            "delete this line",
            skip=0,
        )
        for line in bases[1:]
    ]


def _assemble(placed: list[_checks.Placed]) -> _model.Rules:
    """Builds the rules from statements that have no errors."""
    builder = _Builder()
    for item in placed:
        builder.add(item.statement)
    return builder.build()


class _Builder:
    """Sorts statements into the collections of `Rules`."""

    def __init__(self) -> None:
        self._edited_from = 0
        self._teams: dict[str, _model.Team] = {}
        self._models: dict[str, _model.Model] = {}
        self._versions: dict[str, list[_model.Version]] = {}
        self._allowed: dict[str, list[_model.Allowance]] = {}
        self._cascades: dict[str, _model.Cascade] = {}
        self._rollouts: dict[str, _model.Rollout] = {}
        self._services: dict[str, _model.Service] = {}
        self._kinds: dict[str, _model.Kind] = {}
        self._limits: dict[str, _model.Limit] = {}
        self._lines: dict[int, _model.RuleLine] = {}

    def add(self, statement: _statements.Statement) -> None:
        """Takes one statement."""
        self._lines[statement.line.number] = statement.line
        match statement:
            case _statements.EditedFrom():
                self._edited_from = statement.number
            case _statements.Withdrawal():
                self._withdraw(statement)
            case _model.Version():
                self._add_version(statement)
            case _model.Allowance():
                self._allowed.setdefault(statement.team, []).append(statement)
            case _model.Team():
                self._teams[statement.name] = statement
            case _model.Model():
                self._models[statement.name] = statement
            case _model.Cascade():
                self._cascades[statement.name] = statement
            case _model.Rollout():
                self._rollouts[statement.model] = statement
            case _model.Service():
                self._services[statement.name] = statement
            case _model.Kind():
                self._kinds[statement.name] = statement
            case _model.Limit():
                self._limits[statement.team] = statement

    def build(self) -> _model.Rules:
        """Returns the rules of all statements taken."""
        return _model.Rules(
            edited_from=self._edited_from,
            teams_by_name=self._teams,
            team_name_by_key_hash={
                key_hash: team.name
                for team in self._teams.values()
                for key_hash in team.key_hashes
            },
            models_by_name=self._models,
            versions_by_model={
                model: tuple(versions)
                for model, versions in self._versions.items()
            },
            allowed_by_team={
                team: tuple(allowances)
                for team, allowances in self._allowed.items()
            },
            cascades_by_name=self._cascades,
            rollouts_by_model=self._rollouts,
            services_by_name=self._services,
            kinds_by_name=self._kinds,
            limits_by_team=self._limits,
            lines_by_number=self._lines,
        )

    def _withdraw(self, withdrawal: _statements.Withdrawal) -> None:
        """Marks the version; a `version` line of it elsewhere gives way."""
        version = _model.Version(
            withdrawal.model, withdrawal.version, True, withdrawal.line
        )
        versions = self._versions.setdefault(withdrawal.model, [])
        for index, known in enumerate(versions):
            if known.version == withdrawal.version:
                versions[index] = version
                return
        versions.append(version)

    def _add_version(self, version: _model.Version) -> None:
        versions = self._versions.setdefault(version.model, [])
        if all(known.version != version.version for known in versions):
            versions.append(version)


#: The rules of a deployment that has not accepted a file yet.
EMPTY_RULES = _Builder().build()
