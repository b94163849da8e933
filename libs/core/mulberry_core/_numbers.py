"""Parsing of numbers in texts from outside, such as headers."""

import re

from mulberry_core import _sentinels

_DIGITS = re.compile(r"[0-9]+")


def parse_count(text: str, max_digits: int = 15) -> int | _sentinels.Missing:
    """Returns the number that a text of ASCII digits stands for.

    Unset for any other text. `str.isdigit` also holds for digits such as `²`,
    for which `int` raises an error, and `int` raises one for more than 4,300
    digits.

    Args:
        text: Text from outside.
        max_digits: Texts with more digits are no numbers. With at most 15, the
            number is exact as a float.
    """
    if len(text) > max_digits or not _DIGITS.fullmatch(text):
        return _sentinels.Missing.UNSET
    return int(text)
