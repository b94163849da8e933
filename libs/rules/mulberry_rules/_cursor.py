"""Parses the words of one rule and collects the errors in them."""

import dataclasses
import difflib
import hashlib
import re
from collections.abc import Callable, Collection, Mapping
from typing import Any

from mulberry_rules import _errors, _lines

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_INTEGER = re.compile(r"[0-9]{1,9}")
_NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_PERCENT = re.compile(r"([0-9]{1,3}(?:\.[0-9]{1,6})?)%")
_DURATION = re.compile(r"([0-9]{1,6}(?:\.[0-9]{1,3})?)(ms|s|m|h|d)")
_KEY_HASH = re.compile(r"sha256:([0-9a-fA-F]{64})")
#: A team with this hash would match every caller that sends no key.
_EMPTY_KEY_HASH = hashlib.sha256(b"").hexdigest()
_METHOD = re.compile(r"GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS")
#: Excludes `?`, `[` and `]`, which `fnmatch` would treat as wildcards.
_PATH = re.compile(r"/[A-Za-z0-9._~!$&'()*+,;=:@%/-]{0,255}")

#: With more names than this, a wrong word gets no closest match.
_MAX_COMPARED_NAMES = 100
#: Maximum number of names that a suggestion lists.
_MAX_LISTED_NAMES = 20
_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}


def did_you_mean(text: str, known: Collection[str]) -> str:
    """Returns a suggestion for a word that is not among `known`."""
    if not known:
        return "add a line that declares it"
    # Comparing thousands of names for each of thousands of errors would take
    # minutes; a file with that many errors does not need the suggestions.
    if len(known) <= _MAX_COMPARED_NAMES:
        matches = difflib.get_close_matches(text, known, n=1)
        if matches:
            return f"did you mean `{matches[0]}`?"
    listed = ", ".join(sorted(known)[:_MAX_LISTED_NAMES])
    ellipsis = ", ..." if len(known) > _MAX_LISTED_NAMES else ""
    return f"use one of: {listed}{ellipsis}"


class Cursor:
    """Parser state: the current position in the words of one rule.

    After recording an error, a parsing method returns a placeholder value, so
    that one pass finds every error of the line; the caller discards the rule
    when `errors` is not empty.
    """

    def __init__(self, line: _lines.Line) -> None:
        self.line = line
        self.errors: list[_errors.RuleError] = []
        self._next = 1

    @property
    def peek(self) -> str:
        """The next word, empty at the end of the line."""
        tokens = self.line.tokens
        return tokens[self._next].text if self._next < len(tokens) else ""

    def add_error(self, message: str, suggestion: str) -> None:
        """Records an error at the next word and skips the word."""
        tokens = self.line.tokens
        if self._next < len(tokens):
            token = tokens[self._next]
            column, text = token.column, token.text
        else:
            column, text = self.line.end_column, ""
        self.errors.append(
            _errors.RuleError(
                self.line.number, column, text, message, suggestion
            )
        )
        self._next += 1

    def next_word(self) -> str:
        """Consumes the next word, empty at the end of the line."""
        text = self.peek
        self._next += 1
        return text

    def name(self, label: str) -> str:
        """Consumes a name, for example of a team, model or version."""
        match = self._match_word(
            _NAME,
            f"{label} is not a valid name",
            f"{label} is missing",
            "use up to 64 of A-Z a-z 0-9 . _ - and begin with a letter or digit",
        )
        return match.group() if match else ""

    def integer(self, label: str, low: int, high: int) -> int:
        """Consumes an integer from `low` to `high`."""
        return int(self._number(_INTEGER, label, low, high))

    def number(self, label: str, low: float, high: float) -> float:
        """Consumes a decimal number from `low` to `high`."""
        return self._number(_NUMBER, label, low, high)

    def percent(self) -> float:
        """Consumes a percentage; returns it as a share, 0 to 1."""
        suggestion = "use a percentage above 0% and up to 100%, like `5%`"
        match = self._match_word(
            _PERCENT,
            "this is not a percentage",
            "a step is missing",
            suggestion,
        )
        share = float(match.group(1)) / 100 if match else 1.0
        if not 0 < share <= 1:
            self._add_error_at_last_word(
                "the percentage is out of range", suggestion
            )
        return share

    def duration(self, label: str) -> float:
        """Consumes a duration above zero; returns seconds."""
        suggestion = "use a number above 0 with ms, s, m, h or d, like `30s`"
        match = self._match_word(
            _DURATION,
            f"{label} is not a duration",
            f"{label} is missing",
            suggestion,
        )
        if not match:
            return 1.0
        seconds = float(match.group(1)) * _SECONDS_BY_UNIT[match.group(2)]
        if seconds <= 0:
            self._add_error_at_last_word(
                f"{label} must be above zero", suggestion
            )
        return seconds

    def key_hash(self) -> str:
        """Consumes the hash of a key; returns 64 lower-case hex digits."""
        match = self._match_word(
            _KEY_HASH,
            "the key is not a SHA-256 hash",
            "the hash of the key is missing",
            "write `sha256:` and 64 hex digits, never the key itself",
        )
        key_hash = match.group(1).lower() if match else ""
        if key_hash == _EMPTY_KEY_HASH:
            self._add_error_at_last_word(
                "this is the hash of an empty key",
                "hash the key without a line end: `printf %s KEY | sha256sum`",
            )
        return key_hash

    def method(self) -> str:
        """Consumes an HTTP method."""
        match = self._match_word(
            _METHOD,
            "this is not an HTTP method",
            "the HTTP method is missing",
            "use GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS",
        )
        return match.group() if match else ""

    def path(self) -> str:
        """Consumes a path pattern below a service."""
        match = self._match_word(
            _PATH,
            "this is not a path",
            "the path is missing",
            "begin it with `/`, use up to 256 characters; `*` stands for any "
            "text, as in `/stock/*`",
        )
        return match.group() if match else ""

    def expect_end(self) -> None:
        """Records an error for each word left on the line."""
        while self.peek:
            self.add_error("this word does not belong here", "delete it")

    def _number(
        self, pattern: re.Pattern[str], label: str, low: float, high: float
    ) -> float:
        kind = "whole number" if pattern is _INTEGER else "number"
        suggestion = f"use a {kind} from {low:g} to {high:g}"
        match = self._match_word(
            pattern,
            f"{label} is not a {kind}",
            f"{label} is missing",
            suggestion,
        )
        value = float(match.group()) if match else low
        if not low <= value <= high:
            self._add_error_at_last_word(f"{label} is out of range", suggestion)
        return value

    def _match_word(
        self,
        pattern: re.Pattern[str],
        invalid_message: str,
        missing_message: str,
        suggestion: str,
    ) -> re.Match[str] | None:
        match = pattern.fullmatch(self.peek)
        if match:
            self._next += 1
        else:
            self.add_error(
                invalid_message if self.peek else missing_message, suggestion
            )
        return match

    def _add_error_at_last_word(self, message: str, suggestion: str) -> None:
        self._next -= 1
        self.add_error(message, suggestion)


@dataclasses.dataclass(frozen=True)
class Clause:
    """A keyword inside a rule and the parser for what follows it."""

    parse: Callable[[Cursor], Any]
    #: Suggested where the clause is missing.
    example: str
    required: bool = True
    #: Maximum number of occurrences.
    max_count: int = 1


def parse_clauses(
    cursor: Cursor, clause_by_keyword: Mapping[str, Clause]
) -> dict[str, list[Any]]:
    """Parses clauses in any order up to the end of the line.

    Returns:
        The values of each clause in the order of the line; an empty list for
        an absent clause.
    """
    values: dict[str, list[Any]] = {
        keyword: [] for keyword in clause_by_keyword
    }
    while cursor.peek:
        clause = clause_by_keyword.get(cursor.peek)
        if clause is None:
            cursor.add_error(
                "this word does not belong here",
                did_you_mean(cursor.peek, clause_by_keyword),
            )
        elif len(values[cursor.peek]) >= clause.max_count:
            cursor.add_error("this stands too often", "delete the repetition")
        else:
            values[cursor.next_word()].append(clause.parse(cursor))
    for keyword, clause in clause_by_keyword.items():
        if clause.required and not values[keyword]:
            cursor.add_error(
                f"`{keyword}` is missing", f"add `{clause.example}`"
            )
    return values
