"""Tests of the error table."""

import pytest

import mulberry_core as core


@pytest.mark.parametrize("kind", list(core.ErrorKind))
def test_every_kind_has_a_consistent_answer(kind: core.ErrorKind) -> None:
    """Guards against a kind with no answer or an inconsistent one."""
    answer = core.ANSWER_BY_KIND[kind]
    assert 400 <= answer.status < 600
    assert answer.sentence.endswith(".")
    assert answer.retryable == (answer.retry_after_s is not core.Missing.UNSET)


def test_explicit_retry_time_overrides_the_table() -> None:
    """Guards against a specific retry time that is ignored."""
    refusal = core.Refusal(
        core.ErrorKind.LIMIT_EXCEEDED, core.RunState.NOT_RUN, "full", 7.5
    )
    assert refusal.effective_retry_after_s == 7.5
