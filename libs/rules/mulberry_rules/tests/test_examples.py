"""Tests for the rule files and settings in `examples`."""

import hashlib
import pathlib

import pytest

import mulberry_core as core
import mulberry_rules as rules

_EXAMPLES = pathlib.Path(__file__).parents[4] / "examples"


def _load(name: str) -> rules.Rules:
    parsed = rules.parse_rules((_EXAMPLES / name).read_text())
    assert isinstance(parsed, rules.Rules), str(parsed)
    return parsed


@pytest.mark.parametrize("name", ["colmenas.rules", "dienst.rules"])
def test_example_rules(name: str) -> None:
    """Guards against examples that the parser or the demo cannot use."""
    parsed = _load(name)
    assert len(parsed.teams_by_name) == 10
    for team in parsed.teams_by_name:
        key_hash = hashlib.sha256(f"demo-key-{team}".encode()).hexdigest()
        assert parsed.team_name_by_key_hash[key_hash] == team
        assert parsed.allowed_by_team[team]
    for model in parsed.models_by_name:
        assert parsed.default_version(model) is not core.Missing.UNSET
    assert parsed.rollouts_by_model
    assert parsed.limits_by_team


@pytest.mark.parametrize(
    ("name", "service", "path"),
    [
        ("colmenas.rules", "taller-app", "/deposits"),
        ("dienst.rules", "loket", "/orders"),
    ],
)
def test_payment_and_order_calls_run_at_most_once(
    name: str, service: str, path: str
) -> None:
    """Guards against an example that lets a deposit or order run twice."""
    parsed = _load(name)
    first_team = next(iter(parsed.teams_by_name))
    assert parsed.allows_service(first_team, service)
    kind = parsed.kind_for_call(service, "POST", path)
    assert isinstance(kind, rules.Kind)
    assert not kind.idempotent


def test_example_settings() -> None:
    """Guards against an example that differs from the defaults."""
    settings = rules.load_settings(str(_EXAMPLES / "settings.json"))
    assert isinstance(settings, rules.Settings), str(settings)
    assert settings.limits == rules.Limits()
    assert settings.timing == rules.Timing()
    assert settings.policy == rules.Policy()
    assert settings.rule_file == str(_EXAMPLES / "colmenas.rules")
