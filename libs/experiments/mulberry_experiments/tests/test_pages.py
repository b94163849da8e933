"""Checks that the operations page lists all error kinds and counters."""

import ast
import pathlib
import re
from collections.abc import Iterator

import pytest

import mulberry_core as core

_ROOT = pathlib.Path(__file__).parents[4]
_PAGE = (_ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
_CALLS = frozenset({"increment", "gauge", "timing"})
#: The module of the counters, which only forwards names from its callers.
_COUNTERS_MODULE = "_counters.py"
#: Placeholder on the page for the variable part of a counter name.
_PLACEHOLDER = re.compile(r"[A-Z]+")


@pytest.mark.parametrize("kind", core.ErrorKind)
def test_error_kind_is_documented(kind: core.ErrorKind) -> None:
    """Guards against an undocumented error kind."""
    answer = core.ANSWER_BY_KIND[kind]
    resend = "no"
    if answer.retryable:
        assert isinstance(answer.retry_after_s, float)
        resend = f"yes, after {answer.retry_after_s:g} s"
    row = re.compile(
        rf"^\| `{kind.value}` \| {answer.status} \| [^|]+ \| {resend} \| "
        rf"{re.escape(answer.sentence)} \| [^|]+ \|$",
        re.M,
    )
    assert len(row.findall(_PAGE)) == 1


def test_counters_are_documented() -> None:
    """Guards against undocumented counters, and documented ones not in use."""
    used = set(_names_in_code())
    section = _PAGE.split("\n## Counters\n")[1].split("\n## ")[0]
    listed = {
        _PLACEHOLDER.sub("*", name)
        for name in re.findall(r"^\| `([^`]+)` \| ", section, re.M)
    }
    assert used
    assert used == listed


def _names_in_code() -> Iterator[str]:
    for path in (_ROOT / "libs").glob("*/mulberry_*/**/*.py"):
        if "tests" in path.parts or path.name == _COUNTERS_MODULE:
            continue
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr in _CALLS
                and node.args
            ):
                yield from _names(node.args[0])


def _names(argument: ast.expr) -> Iterator[str]:
    """Yields the names that an argument can have, with `*` for variable parts."""
    match argument:
        case ast.Constant(str(name)):
            yield name
        case ast.JoinedStr(values):
            yield "".join(
                value.value
                if isinstance(value, ast.Constant)
                and isinstance(value.value, str)
                else "*"
                for value in values
            )
        case ast.IfExp(_, body, orelse):
            yield from _names(body)
            yield from _names(orelse)
        case _:
            raise AssertionError(
                f"the name of a counter is not a literal: "
                f"{ast.unparse(argument)}"
            )
