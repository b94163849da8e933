"""Splits the text of a rule file into tokenized lines."""

import dataclasses
import re

from mulberry_rules import _errors, _model

#: A larger file is rejected before it is parsed. The largest file expected at
#: the design scale (2,000 lines of 120 characters) is well below this limit.
MAX_TEXT_CHARACTERS = 1_000_000

#: Maximum number of rules in a file. Every voter parses a submitted file while
#: applying the log, so parsing must not take long; the largest file expected
#: at the design scale has 2,000 rules.
MAX_RULES = 10_000

#: Keyword of the statement that names the base revision; it needs no
#: `# asked by`.
EDITED_FROM = "edited-from"

_TOKEN = re.compile(r"[^ \t]+")
#: Two spaces, a tab, a comma or a semicolon end the requester's name.
_ASKED_BY = re.compile(
    r"[ \t]*asked[ \t]+by[ \t]+([^ \t,;].*?)(?:(?:  |\t|,|;)(.*))?",
    re.IGNORECASE,
)
_UNPRINTABLE = re.compile(r"[\x00-\x08\x0b-\x1f\x7f\ud800-\udfff]")
_BYTE_ORDER_MARK = "\ufeff"


@dataclasses.dataclass(frozen=True)
class Token:
    """A whitespace-delimited word of a rule."""

    text: str
    #: Column of its first character, from 1.
    column: int


@dataclasses.dataclass(frozen=True)
class Line:
    """A line that contains a rule, split into tokens."""

    number: int
    #: Never empty.
    tokens: tuple[Token, ...]
    rule: _model.RuleLine

    @property
    def keyword(self) -> str:
        """The first word of the rule."""
        return self.tokens[0].text

    @property
    def end_column(self) -> int:
        """The column after the last word."""
        return self.tokens[-1].column + len(self.tokens[-1].text)

    def error(
        self, text: str, message: str, suggestion: str, skip: int = 1
    ) -> _errors.RuleError:
        """Returns an error at the first word equal to `text`.

        Args:
            text: The offending word.
            message: What is wrong.
            suggestion: What to write instead.
            skip: Number of leading words to leave out of the search.
        """
        column = next(
            (
                token.column
                for token in self.tokens[skip:]
                if token.text == text
            ),
            self.tokens[0].column,
        )
        return _errors.RuleError(self.number, column, text, message, suggestion)


@dataclasses.dataclass(frozen=True)
class SplitText:
    """The rule lines of a text and the errors found while splitting it."""

    lines: tuple[Line, ...]
    errors: tuple[_errors.RuleError, ...]


def split_text(text: str) -> SplitText:
    """Splits a rule file; skips blank lines and comment lines.

    Stops at the first rule after `MAX_RULES`.
    """
    lines = []
    errors: list[_errors.RuleError] = []
    # `str.splitlines` also splits at characters other than "\n", so its line
    # numbers would differ from those of editors.
    raw_lines = text.removeprefix(_BYTE_ORDER_MARK).split("\n")
    for number, raw in enumerate(raw_lines, start=1):
        content = raw.removesuffix("\r")
        errors.extend(_unprintable_errors(number, content))
        line = _split_line(number, content)
        if line is None:
            continue
        lines.append(line)
        if len(lines) > MAX_RULES:
            break
        if line.keyword != EDITED_FROM and not line.rule.asked_by:
            errors.append(_missing_requester_error(line, content))
    return SplitText(tuple(lines), tuple(errors))


def _split_line(number: int, content: str) -> Line | None:
    body, _, comment = content.partition("#")
    tokens = tuple(
        Token(match.group(), match.start() + 1)
        for match in _TOKEN.finditer(body)
    )
    if not tokens:
        return None
    asked_by_match = _ASKED_BY.fullmatch(comment)
    asked_by = asked_by_match.group(1).strip() if asked_by_match else ""
    reason = (
        " ".join((asked_by_match.group(2) or "").split())
        if asked_by_match
        else ""
    )
    text = " ".join(token.text for token in tokens)
    rule = _model.RuleLine(number, text, asked_by, reason)
    return Line(number, tokens, rule)


def _missing_requester_error(line: Line, content: str) -> _errors.RuleError:
    body, hash_sign, comment = content.partition("#")
    return _errors.RuleError(
        line.number,
        len(body) + 1 if hash_sign else line.end_column,
        f"{hash_sign}{comment}".strip(),
        "the rule does not say who asked for it",
        "end the line with `# asked by WHO`",
    )


def _unprintable_errors(number: int, content: str) -> list[_errors.RuleError]:
    """Reports the first unprintable character of the line."""
    match = _UNPRINTABLE.search(content)
    if match is None:
        return []
    return [
        _errors.RuleError(
            number,
            match.start() + 1,
            match.group().encode("unicode_escape").decode("ascii"),
            "the line holds a character that cannot be printed",
            "delete it; the file must be plain UTF-8 text",
        )
    ]


def too_many_rules_error(line: Line) -> _errors.RuleError:
    """Returns the error for `line`, the first rule above `MAX_RULES`."""
    return _errors.RuleError(
        line.number,
        1,
        "",
        f"the file has more than {MAX_RULES} rules",
        "delete rules that no team needs",
    )


def text_too_long_error(text: str) -> _errors.RuleError:
    """Returns the error for a text above `MAX_TEXT_CHARACTERS`."""
    return _errors.RuleError(
        1,
        1,
        "",
        f"the file has {len(text)} characters",
        f"keep it below {MAX_TEXT_CHARACTERS} characters",
    )
