"""Compares the operating page with the code that it describes."""

import ast
import pathlib
import re
from collections.abc import Iterator

import pytest

import mulberry_core as core

_ROOT = pathlib.Path(__file__).parents[4]
_PAGE = (_ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
_CALLS = frozenset({"increment", "gauge", "timing"})
#: The counters themselves pass names on and have none of their own.
_PASSES_NAMES_ON = "_counters.py"
#: Stands in the page for the part of a name that the code fills in.
_PLACEHOLDER = re.compile(r"[A-Z]+")


@pytest.mark.parametrize("kind", core.ErrorKind)
def test_error_kind_stands_in_page(kind: core.ErrorKind) -> None:
    """Guards against an error kind that operators cannot look up."""
    answer = core.ANSWER_BY_KIND[kind]
    again = "no"
    if answer.retryable:
        assert isinstance(answer.retry_after_s, float)
        again = f"yes, after {answer.retry_after_s:g} s"
    row = re.compile(
        rf"^\| `{kind.value}` \| {answer.status} \| [^|]+ \| {again} \| "
        rf"{re.escape(answer.sentence)} \| [^|]+ \|$",
        re.M,
    )
    assert len(row.findall(_PAGE)) == 1


def test_counters_stand_in_page() -> None:
    """Guards against a counter that operators cannot look up."""
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
        if "tests" in path.parts or path.name == _PASSES_NAMES_ON:
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
    """Returns the names that an argument can have, `*` for a filled-in part."""
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
                f"the name of a counter is not written out: "
                f"{ast.unparse(argument)}"
            )
