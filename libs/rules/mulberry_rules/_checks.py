"""Consistency checks across the lines of a rule file."""

import collections
import dataclasses
import fnmatch
import itertools
from collections.abc import Collection, Iterator

import mulberry_core as core
from mulberry_rules import _cursor, _errors, _lines, _model, _statements

#: Number of words after the keyword that identify a rule.
_IDENTITY_WORD_COUNT_BY_KEYWORD = {
    "team": 1,
    "model": 1,
    "version": 2,
    "withdraw": 2,
    "allow": 3,
    "cascade": 1,
    "rollout": 1,
    "service": 1,
    "kind": 1,
    "limit": 1,
}

#: Names that are not allowed because they would make a rule ambiguous.
_RESERVED_NAMES_BY_KEYWORD = {
    "model": ("service",),
    "kind": (_model.DEFAULT_KIND.name,),
}

#: Each call is matched against the kinds one after the other.
_MAX_KINDS = 1_000


@dataclasses.dataclass(frozen=True)
class ParsedLine:
    """A statement and the line that it was parsed from."""

    line: _lines.Line
    statement: _statements.Statement


class DeclaredNames:
    """Names that a file declares, including those on invalid lines.

    An invalid `team` line must not make each use of the team an error.
    """

    def __init__(self, lines: Collection[_lines.Line]) -> None:
        self.by_keyword: dict[str, set[str]] = collections.defaultdict(set)
        self.versions_by_model: dict[str, set[str]] = collections.defaultdict(
            set
        )
        for line in lines:
            words = [token.text for token in line.tokens[1:3]]
            if words:
                self.by_keyword[line.keyword].add(words[0])
            if line.keyword in ("version", "withdraw") and len(words) > 1:
                self.versions_by_model[words[0]].add(words[1])

    def undeclared(
        self, line: _lines.Line, keyword: str, name: str, skip: int = 1
    ) -> Iterator[_errors.RuleError]:
        """Yields an error if no line of `keyword` declares `name`."""
        declared = self.by_keyword[keyword]
        if name not in declared:
            yield line.error(
                name,
                f"there is no {keyword} of this name",
                _cursor.did_you_mean(name, declared),
                skip,
            )

    def undeclared_version(
        self, line: _lines.Line, model: str, version: str, skip: int = 2
    ) -> Iterator[_errors.RuleError]:
        """Yields an error if `model` has no such version."""
        declared = self.versions_by_model[model]
        if model in self.by_keyword["model"] and version not in declared:
            yield line.error(
                version,
                f"{model} has no version of this name",
                _cursor.did_you_mean(version, declared),
                skip,
            )


def cross_line_errors(
    lines: Collection[_lines.Line], parsed_lines: Collection[ParsedLine]
) -> list[_errors.RuleError]:
    """Returns the errors that involve more than one line."""
    names = DeclaredNames(lines)
    errors = [*_duplicate_rules(lines), *_reserved_names(lines)]
    for item in parsed_lines:
        errors.extend(_check_statement(item, names))
    errors.extend(_duplicate_keys(parsed_lines))
    errors.extend(_unordered_cascades(parsed_lines))
    excess_kinds = [line for line in lines if line.keyword == "kind"][
        _MAX_KINDS:
    ]
    errors.extend(_kind_limit_errors(excess_kinds))
    if not excess_kinds:
        errors.extend(_shadowed_kinds(parsed_lines))
    return errors


def _kind_limit_errors(
    excess_kinds: list[_lines.Line],
) -> Iterator[_errors.RuleError]:
    for line in excess_kinds[:1]:
        yield line.error(
            line.keyword,
            f"there are more than {_MAX_KINDS} kinds",
            "cover several calls by one path with `*`",
            skip=0,
        )


def _check_statement(
    item: ParsedLine, names: DeclaredNames
) -> Iterator[_errors.RuleError]:
    line = item.line
    match item.statement:
        case _model.Team() as team:
            yield from _check_team(line, team)
        case _model.Model() as model:
            yield from _check_model(line, model, names)
        case _model.Version() | _statements.Withdrawal() as version:
            yield from names.undeclared(line, "model", version.model)
        case _model.Allowance() as allowance:
            yield from _check_allowance(line, allowance, names)
        case _model.Cascade() as cascade:
            yield from _check_cascade(line, cascade, names)
        case _model.Rollout() as rollout:
            yield from _check_rollout(line, rollout, names)
        case _model.Kind() as kind:
            yield from _check_kind(line, kind, names)
        case _model.Limit() as limit:
            yield from names.undeclared(line, "team", limit.team)
        case _model.Service() | _statements.EditedFrom():
            pass


def _check_team(
    line: _lines.Line, team: _model.Team
) -> Iterator[_errors.RuleError]:
    if not team.key_hashes:
        yield line.error(
            team.name,
            "the team has no key, so it cannot send requests",
            "add `key sha256:HEX`",
        )


def _check_model(
    line: _lines.Line, model: _model.Model, names: DeclaredNames
) -> Iterator[_errors.RuleError]:
    if not names.versions_by_model[model.name]:
        yield line.error(
            model.name,
            "the model has no version",
            f"add a line `version {model.name} VERSION`",
        )


def _check_allowance(
    line: _lines.Line, allowance: _model.Allowance, names: DeclaredNames
) -> Iterator[_errors.RuleError]:
    yield from names.undeclared(line, "team", allowance.team)
    if not isinstance(allowance.service, core.Missing):
        yield from names.undeclared(line, "service", allowance.service, skip=3)
    if isinstance(allowance.model, core.Missing):
        return
    if allowance.model in names.by_keyword["cascade"]:
        yield line.error(
            allowance.model,
            "this is a cascade, not a model",
            "allow each model of the cascade on a line of its own",
            skip=2,
        )
        return
    yield from names.undeclared(line, "model", allowance.model, skip=2)
    if not isinstance(allowance.version, core.Missing):
        yield from names.undeclared_version(
            line, allowance.model, allowance.version, skip=3
        )


def _check_cascade(
    line: _lines.Line, cascade: _model.Cascade, names: DeclaredNames
) -> Iterator[_errors.RuleError]:
    if cascade.name in names.by_keyword["model"]:
        yield line.error(
            cascade.name,
            "a model has the same name",
            "give the cascade another name",
        )
    for model in cascade.models:
        yield from names.undeclared(line, "model", model, skip=2)
    for model, count in collections.Counter(cascade.models).items():
        if count > 1:
            yield line.error(
                model,
                "the model stands twice in the cascade",
                "name each model once",
                skip=2,
            )


def _check_rollout(
    line: _lines.Line, rollout: _model.Rollout, names: DeclaredNames
) -> Iterator[_errors.RuleError]:
    yield from names.undeclared(line, "model", rollout.model)
    for version in (rollout.from_version, rollout.to_version):
        yield from names.undeclared_version(line, rollout.model, version)
    if rollout.from_version == rollout.to_version:
        yield line.error(
            rollout.to_version,
            "the rollout leads to the version it starts from",
            "name another version after `to`, or delete the line",
        )
    steps = rollout.steps
    for before, after in itertools.pairwise(steps):
        if after <= before:
            yield line.error(
                _step_as_written(line, after),
                "the steps do not grow",
                "write growing percentages, like `1% 5% 25% 100%`",
            )


def _step_as_written(line: _lines.Line, step: float) -> str:
    """Returns the last word on the line that spells this percentage."""
    return next(
        (
            token.text
            for token in reversed(line.tokens)
            if token.text.endswith("%")
            and float(token.text.removesuffix("%")) / 100 == step
        ),
        "",
    )


def _check_kind(
    line: _lines.Line, kind: _model.Kind, names: DeclaredNames
) -> Iterator[_errors.RuleError]:
    target = kind.target
    if isinstance(target, _model.CallTarget):
        yield from names.undeclared(line, "service", target.service, skip=2)
        return
    declared = names.by_keyword["model"] | names.by_keyword["cascade"]
    if target.name not in declared:
        yield line.error(
            target.name,
            "there is no model or cascade of this name",
            _cursor.did_you_mean(target.name, declared),
            skip=2,
        )


def _duplicate_rules(
    lines: Collection[_lines.Line],
) -> Iterator[_errors.RuleError]:
    """Reports rules that repeat the declaration of an earlier line."""
    first_by_words: dict[tuple[str, ...], _lines.Line] = {}
    for line in lines:
        count = _IDENTITY_WORD_COUNT_BY_KEYWORD.get(line.keyword, 0)
        if not count or len(line.tokens) < 2:
            continue
        words = tuple(token.text for token in line.tokens[: count + 1])
        first = first_by_words.setdefault(words, line)
        if first is not line:
            yield line.error(
                words[1],
                f"line {first.number} has this rule already",
                "delete one of the two lines",
            )


def _reserved_names(
    lines: Collection[_lines.Line],
) -> Iterator[_errors.RuleError]:
    for line in lines:
        reserved = _RESERVED_NAMES_BY_KEYWORD.get(line.keyword, ())
        name = line.tokens[1].text if len(line.tokens) > 1 else ""
        if name in reserved:
            yield line.error(
                name, "this name has a fixed meaning", "use another name"
            )


def _duplicate_keys(
    parsed_lines: Collection[ParsedLine],
) -> Iterator[_errors.RuleError]:
    """Reports keys that would not identify a single team."""
    first_by_hash: dict[str, ParsedLine] = {}
    for item in parsed_lines:
        if not isinstance(item.statement, _model.Team):
            continue
        for key_hash in dict.fromkeys(item.statement.key_hashes):
            first = first_by_hash.setdefault(key_hash, item)
            if item.statement.key_hashes.count(key_hash) > 1:
                message = "the team has this key twice"
            elif first is not item:
                message = f"line {first.line.number} has the same key"
            else:
                continue
            yield item.line.error(
                _hash_as_written(item.line, key_hash),
                message,
                "give each team keys of its own",
            )


def _hash_as_written(line: _lines.Line, key_hash: str) -> str:
    """Returns the hash as the line spells it, to locate its column."""
    return next(
        (
            token.text
            for token in line.tokens
            if token.text.lower().endswith(key_hash)
        ),
        key_hash,
    )


def _unordered_cascades(
    parsed_lines: Collection[ParsedLine],
) -> Iterator[_errors.RuleError]:
    """Reports cascades that try a model before a cheaper one."""
    cost_by_model = {
        item.statement.name: item.statement.cost_per_1k_tokens
        for item in parsed_lines
        if isinstance(item.statement, _model.Model)
    }
    for item in parsed_lines:
        if not isinstance(item.statement, _model.Cascade):
            continue
        models = [m for m in item.statement.models if m in cost_by_model]
        for before, after in itertools.pairwise(models):
            if cost_by_model[after] < cost_by_model[before]:
                yield item.line.error(
                    after,
                    f"{after} is cheaper than {before}, which stands before it",
                    "order the models from the cheapest to the dearest",
                    skip=2,
                )


def _shadowed_kinds(
    parsed_lines: Collection[ParsedLine],
) -> Iterator[_errors.RuleError]:
    """Reports kinds whose calls all match an earlier kind.

    A `once` kind that an earlier, broader kind shadows would lose its
    protection: its calls would be retried like any other call.
    """
    patterns_by_route: dict[tuple[str, str], _PathPatterns] = {}
    for item in parsed_lines:
        kind = item.statement
        if not isinstance(kind, _model.Kind):
            continue
        target = kind.target
        if not isinstance(target, _model.CallTarget):
            continue
        route = (target.service, target.method)
        patterns = patterns_by_route.setdefault(route, _PathPatterns())
        for shadowing in patterns.covering(target.path):
            yield item.line.error(
                kind.name,
                f"kind {shadowing.name} on line {shadowing.line.number} "
                "takes all calls of this kind",
                "move this line before it, or change one of the paths",
            )
        patterns.add(target.path, kind)


class _PathPatterns:
    """Path patterns of one service and method, indexed by literal prefix.

    Comparing all pairs of patterns takes seconds for a file with thousands of
    kinds.
    """

    def __init__(self) -> None:
        self._kinds_by_literal_prefix: dict[
            str, list[tuple[str, _model.Kind]]
        ] = collections.defaultdict(list)

    def add(self, path: str, kind: _model.Kind) -> None:
        """Adds a pattern; those of earlier lines must be added before it."""
        literal_prefix = path.partition("*")[0]
        self._kinds_by_literal_prefix[literal_prefix].append((path, kind))

    def covering(self, path: str) -> Iterator[_model.Kind]:
        """Yields at most one kind whose pattern covers the pattern `path`."""
        for length in range(len(path) + 1):
            for pattern, kind in self._kinds_by_literal_prefix.get(
                path[:length], ()
            ):
                if fnmatch.fnmatchcase(path, pattern):
                    yield kind
                    return
