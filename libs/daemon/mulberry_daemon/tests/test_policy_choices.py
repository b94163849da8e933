"""Tests that settings and implementations agree."""

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
def test_settings_offer_what_is_implemented(policy: str) -> None:
    """Guards against settings that name no implementation, or miss one."""
    assert set(rules.CHOICES_BY_POLICY[policy]) == set(_TABLES[policy])
