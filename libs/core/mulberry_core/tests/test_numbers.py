"""Tests of parsing numbers from outside."""

import pytest

import mulberry_core as core


@pytest.mark.parametrize(
    ("text", "number"),
    [("0", 0), ("007", 7), ("999999999999999", 999_999_999_999_999)],
)
def test_count(text: str, number: int) -> None:
    assert core.parse_count(text) == number


@pytest.mark.parametrize(
    "text",
    [
        "",
        " 1",
        "1\n",
        "+1",
        "-1",
        "1.0",
        "1_0",
        "1e3",
        "\u00b2",
        "\u0663",
        "\uff11",
        "\ud800",
        "nan",
        "9" * 16,
        "9" * 5_000,
    ],
)
def test_no_count(text: str) -> None:
    """Guards against texts that look like digits and that `int` refuses."""
    assert core.parse_count(text) is core.Missing.UNSET
