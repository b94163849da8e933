"""Parses and validates the text of a rule file."""

from mulberry_rules import (
    _checks,
    _cursor,
    _errors,
    _lines,
    _model,
    _statements,
)

#: Maximum number of errors returned. A file of another format, saved by
#: mistake, may have one on each line, and the errors are replicated in the log.
_MAX_ERRORS = 500


def parse_rules(text: str) -> _model.Rules | _errors.RuleErrors:
    """Parses a rule file.

    Args:
        text: The whole file.

    Returns:
        The rules, or the errors in the order of the lines, at most
        `_MAX_ERRORS` and a summary. Never raises, whatever the text.
    """
    if len(text) > _lines.MAX_TEXT_CHARACTERS:
        return _errors.RuleErrors((_lines.text_too_long_error(text),))
    split = _lines.split_text(text)
    if len(split.lines) > _lines.MAX_RULES:
        return _errors.RuleErrors(
            (_lines.too_many_rules_error(split.lines[-1]),)
        )
    errors = list(split.errors)
    parsed_lines: list[_checks.ParsedLine] = []
    for line in split.lines:
        parsed = _parse_line(line, errors)
        if parsed is not None:
            parsed_lines.append(parsed)
    errors.extend(_edited_from_errors(split.lines))
    errors.extend(_checks.cross_line_errors(split.lines, parsed_lines))
    if errors:
        return _errors.RuleErrors(_sort_and_truncate(errors))
    return _build_rules(parsed_lines)


def _sort_and_truncate(
    errors: list[_errors.RuleError],
) -> tuple[_errors.RuleError, ...]:
    """Sorts the errors by position and keeps at most `_MAX_ERRORS`."""
    sorted_errors = sorted(errors, key=lambda error: (error.line, error.column))
    reported = sorted_errors[:_MAX_ERRORS]
    if len(sorted_errors) > len(reported):
        summary = _errors.RuleError(
            sorted_errors[len(reported)].line,
            1,
            "",
            f"there are {len(sorted_errors) - len(reported)} more errors "
            "from here on",
            "correct those above first",
        )
        reported.append(summary)
    return tuple(reported)


def _parse_line(
    line: _lines.Line, errors: list[_errors.RuleError]
) -> _checks.ParsedLine | None:
    parser = _statements.PARSER_BY_KEYWORD.get(line.keyword)
    if parser is None:
        suggestion = _cursor.did_you_mean(
            line.keyword, _statements.PARSER_BY_KEYWORD
        )
        errors.append(
            line.error(line.keyword, "this is not a rule", suggestion, skip=0)
        )
        return None
    cursor = _cursor.Cursor(line)
    statement = parser(cursor)
    errors.extend(cursor.errors)
    return None if cursor.errors else _checks.ParsedLine(line, statement)


def _edited_from_errors(
    lines: tuple[_lines.Line, ...],
) -> list[_errors.RuleError]:
    """Reports an `edited-from` that is missing, repeated or not first."""
    edited_from_lines = [
        line for line in lines if line.keyword == _lines.EDITED_FROM
    ]
    if not edited_from_lines or lines[0] is not edited_from_lines[0]:
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
            f"`edited-from` stands already on line {edited_from_lines[0].number}",
            "delete this line",
            skip=0,
        )
        for line in edited_from_lines[1:]
    ]


def _build_rules(parsed_lines: list[_checks.ParsedLine]) -> _model.Rules:
    """Builds the rules from statements without errors."""
    builder = _RulesBuilder()
    for parsed_line in parsed_lines:
        builder.add(parsed_line.statement)
    return builder.build()


class _RulesBuilder:
    """Collects statements into the mappings of `Rules`."""

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
        self._lines_by_number: dict[int, _model.RuleLine] = {}

    def add(self, statement: _statements.Statement) -> None:
        """Adds one statement."""
        self._lines_by_number[statement.line.number] = statement.line
        match statement:
            case _statements.EditedFrom():
                self._edited_from = statement.number
            case _statements.Withdrawal():
                self._mark_withdrawn(statement)
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
        """Returns the rules of all statements added."""
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
            lines_by_number=self._lines_by_number,
        )

    def _mark_withdrawn(self, withdrawal: _statements.Withdrawal) -> None:
        """Marks the version; overrides a `version` line wherever it is."""
        version = _model.Version(
            withdrawal.model, withdrawal.version, True, withdrawal.line
        )
        versions = self._versions.setdefault(withdrawal.model, [])
        for index, existing in enumerate(versions):
            if existing.version == withdrawal.version:
                versions[index] = version
                return
        versions.append(version)

    def _add_version(self, version: _model.Version) -> None:
        versions = self._versions.setdefault(version.model, [])
        if all(existing.version != version.version for existing in versions):
            versions.append(version)


#: The rules of a deployment before its first accepted file.
EMPTY_RULES = _RulesBuilder().build()
