"""Reads and updates the revision number in the `edited-from` line."""

import itertools
import re
from collections.abc import Callable

import mulberry_core as core

_EDITED_FROM_LINE = re.compile(
    r"^([ \t]*edited-from[ \t]+)([0-9]{1,9})\b", re.M
)
#: Their order matters: the first matching kind or usable version is selected.
_ORDER_SENSITIVE_KEYWORDS = ("kind", "version", "withdraw")
#: Maximum number of accepted revisions to compare; a file that is further
#: behind must be edited again.
_MAX_REVISIONS = 64


def edited_from(text: str) -> int | core.Missing:
    """Returns the number in the `edited-from` line; unset if there is none."""
    match = _EDITED_FROM_LINE.search(text)
    return int(match.group(2)) if match else core.Missing.UNSET


def with_edited_from(text: str, number: int) -> str:
    """Returns the text with `number` in its `edited-from` line."""
    if _EDITED_FROM_LINE.search(text):
        return _EDITED_FROM_LINE.sub(rf"\g<1>{number}", text, count=1)
    return f"edited-from {number}\n{text}"


def same_content(one: str, other: str) -> bool:
    """Whether two files are equal except for `edited-from` and whitespace."""
    return _content_lines(one) == _content_lines(other)


def rebase(
    text: str,
    in_force: int,
    accepted_text: Callable[[int], str | core.Missing],
) -> str:
    """Updates `edited-from` if the file contains all later changes.

    Once a file is accepted, its own number is outdated, and the operator's
    next edit would conflict with the operator's previous one. The number is
    updated only if every line that a later revision added or removed is
    present or absent in `text` just as in the rules in force. A stale copy
    therefore remains a conflict and cannot undo changes it does not contain.

    Args:
        text: The file.
        in_force: Number of the rules in force.
        accepted_text: Returns the accepted file with a given number; unset
            if it is not known.

    Returns:
        The text, with `in_force` as its number if it contains all changes.
    """
    base = edited_from(text)
    if (
        isinstance(base, core.Missing)
        or not 0 < in_force - base <= _MAX_REVISIONS
    ):
        return text
    history = []
    for number in range(base, in_force + 1):
        # Number 0 stands for the empty rules before the first file.
        accepted = accepted_text(number) if number else ""
        if isinstance(accepted, core.Missing):
            return text
        history.append(_content_lines(accepted))
    if _contains_all_changes(_content_lines(text), history):
        return with_edited_from(text, in_force)
    return text


def _contains_all_changes(new: list[str], history: list[list[str]]) -> bool:
    changed: set[str] = set()
    for before, after in itertools.pairwise(history):
        changed |= set(before) ^ set(after)
    current = history[-1]
    if changed & set(new) != changed & set(current):
        return False
    common = set(new) & set(current)
    return _order_sensitive_lines(new, common) == _order_sensitive_lines(
        current, common
    )


def _order_sensitive_lines(lines: list[str], common: set[str]) -> list[str]:
    return [
        line
        for line in lines
        if line in common and line.startswith(_ORDER_SENSITIVE_KEYWORDS)
    ]


def _content_lines(text: str) -> list[str]:
    """Returns the lines but `edited-from`, with whitespace normalized."""
    lines = [" ".join(line.split()) for line in text.split("\n")]
    return [
        line for line in lines if line and not line.startswith("edited-from ")
    ]
