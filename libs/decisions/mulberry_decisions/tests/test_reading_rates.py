"""Tests of the time that engines take to read prompts."""

import pytest

from mulberry_decisions import ReadingRates


def _learn(
    rates: ReadingRates, model: str, token_s: float, count: int = 200
) -> None:
    for number in range(count):
        tokens = 500 + 997 * number % 9000
        rates.measured(model, tokens, 0.015 + tokens * token_s)


def test_rates_differ_by_model() -> None:
    rates = ReadingRates()
    _learn(rates, "small", 1e-5)
    _learn(rates, "large", 6e-5)
    assert rates.token_s("small") == pytest.approx(1e-5, rel=0.2)
    assert rates.token_s("large") == pytest.approx(6e-5, rel=0.2)


def test_unknown_model_counts_like_the_others() -> None:
    rates = ReadingRates()
    _learn(rates, "small", 1e-4)
    assert rates.token_s("new") == pytest.approx(1e-4, rel=0.2)


def test_follows_a_lasting_change() -> None:
    rates = ReadingRates()
    _learn(rates, "small", 1e-5, 2_000)
    _learn(rates, "small", 3e-5, 2_000)
    assert rates.token_s("small") == pytest.approx(3e-5, rel=0.25)


def test_one_long_wait_says_little() -> None:
    # The first part of an answer may come late for many other reasons.
    rates = ReadingRates()
    _learn(rates, "small", 1e-5)
    rates.measured("small", 1_000, 30.0)
    assert rates.token_s("small") < 1.3e-5


@pytest.mark.parametrize("took_s", [-1.0, 0.0])
def test_no_time_is_no_negative_time(took_s: float) -> None:
    rates = ReadingRates()
    rates.measured("small", 1_000, took_s)
    assert rates.token_s("small") > 0.0


def test_prompt_that_was_kept_is_not_measured() -> None:
    rates = ReadingRates()
    before = rates.token_s("small")
    rates.measured("small", 0, 1.0)
    assert rates.token_s("small") == before


def test_one_wrong_token_count_says_little() -> None:
    # The count is the caller's word.
    rates = ReadingRates()
    _learn(rates, "small", 2e-5)
    before_s = rates.token_s("small")
    rates.measured("small", 10**15, 0.05)
    assert rates.token_s("small") == pytest.approx(before_s, rel=0.5)
