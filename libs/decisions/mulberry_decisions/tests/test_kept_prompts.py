"""Tests of the prompt parts that an engine keeps."""

import pytest

from mulberry_decisions import KeptPrompts, PromptSize

_SYSTEM = PromptSize("system", 500)
_SUBJECT = PromptSize("subject", 4_000)


def test_parts_are_kept_by_model() -> None:
    kept = KeptPrompts(200_000)
    kept.read("small", [_SYSTEM, _SUBJECT])
    assert kept.kept_tokens("small", [_SYSTEM, _SUBJECT]) == 4_500
    assert kept.kept_tokens("large", [_SYSTEM, _SUBJECT]) == 0


def test_part_after_one_that_is_not_kept_is_read_again() -> None:
    kept = KeptPrompts(200_000)
    kept.read("small", [_SUBJECT])
    assert kept.kept_tokens("small", [_SYSTEM, _SUBJECT]) == 0


def test_least_recently_used_part_yields() -> None:
    kept = KeptPrompts(5_000)
    kept.read("small", [_SYSTEM, _SUBJECT])
    kept.read("small", [_SYSTEM])
    kept.read("small", [PromptSize("other", 1_000)])
    assert kept.kept_tokens("small", [_SYSTEM]) == 500
    assert kept.kept_tokens("small", [_SUBJECT]) == 0


@pytest.mark.parametrize("tokens", [0, 1, 16])
def test_number_of_parts_is_bounded(tokens: int) -> None:
    """Guards against memory that grows with the ids that callers choose."""
    kept = KeptPrompts(200_000)
    for number in range(20_000):
        kept.read("small", [PromptSize(f"{number}" * 20, tokens)])
    assert len(kept) <= 2_000
