"""Tests for reading and updating `edited-from`."""

import pytest

import mulberry_core as core
import mulberry_rules as rules

_TEXT_BY_NUMBER = {
    7: "edited-from 6\nservice a # asked by x\nservice b # asked by x\n",
    8: "edited-from 7\nservice a # asked by x\nservice c # asked by x\n",
    9: "edited-from 8\nservice a # asked by x\nservice b # asked by x\n",
}


def _accepted(number: int) -> str | core.Missing:
    return _TEXT_BY_NUMBER.get(number, core.Missing.UNSET)


#: Services in a file with `edited-from 7`, number in force, whether the number
#: is updated.
_CASES = [
    # The next edit of the file that was accepted as 8.
    (["a", "c", "d"], 8, True),
    (["c"], 8, True),
    # A copy of 7 that was edited without the changes of 8.
    (["a", "b", "d"], 8, False),
    (["a", "b", "c"], 8, False),
    # The file accepted as 8, after another operator reverted that change.
    (["a", "c", "d"], 9, False),
    (["a", "b", "d"], 9, True),
    # The history is unknown, or the file has a later number than in force.
    (["a", "c"], 10, False),
    (["a", "c"], 6, False),
]


@pytest.mark.parametrize(("services", "in_force", "rebased"), _CASES)
def test_rebase_requires_every_later_change(
    services: list[str], in_force: int, rebased: bool
) -> None:
    """Guards against a stale copy that undoes another operator's change."""
    lines = [f"service {name}   # asked by x" for name in services]
    text = "\n".join(["# note", "edited-from 7", *lines])
    result = rules.rebase(text, in_force, _accepted)
    expected = in_force if rebased else 7
    assert rules.edited_from(result) == expected
    assert rules.same_content(result, text)


def test_order_of_kinds_is_a_change() -> None:
    """Guards against a stale copy that undoes a reordering of kinds."""
    one = "kind a chat m priority 1 deadline 1s # asked by x\n"
    two = "kind b chat m priority 1 deadline 1s # asked by x\n"
    text_by_number = {1: one + two, 2: two + one}
    stale = "edited-from 1\n" + one + two
    assert rules.rebase(stale, 2, text_by_number.__getitem__) == stale


def test_edited_from_is_written_and_read() -> None:
    """Guards against writing the number to the wrong line."""
    text = "# edited-from 3 is a note\n  edited-from 12 # x\nservice a\n"
    changed = rules.with_edited_from(text, 13)
    assert changed == text.replace("12", "13")
    assert rules.edited_from(changed) == 13
    assert rules.edited_from("service a\n") is core.Missing.UNSET
    assert rules.with_edited_from("service a\n", 4).startswith(
        "edited-from 4\n"
    )
