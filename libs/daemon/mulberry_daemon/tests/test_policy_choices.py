"""Tests of the policy choices in the settings."""

from collections.abc import Collection

import pytest

import mulberry_decisions as decisions
import mulberry_rules as rules
from mulberry_daemon import _engine_orders

_TABLES: dict[str, Collection[str]] = {
    "model_chooser": decisions.MODEL_CHOOSERS,
    "upstream_chooser": decisions.UPSTREAM_CHOOSERS,
    "admission": decisions.ADMISSIONS,
    "version_judge": decisions.VERSION_JUDGES,
    "load_planner": {"none", *_engine_orders.PLANNERS},
}


@pytest.mark.parametrize("policy", rules.CHOICES_BY_POLICY)
def test_choices_match_the_implementations(policy: str) -> None:
    """Guards against a choice without implementation, and vice versa."""
    assert set(rules.CHOICES_BY_POLICY[policy]) == set(_TABLES[policy])
