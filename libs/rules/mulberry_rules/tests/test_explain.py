"""Tests for the explanation of routing decisions."""

import pathlib

import pytest

import mulberry_rules as rules

_TEXT = (
    pathlib.Path(__file__).parents[4] / "examples" / "colmenas.rules"
).read_text()


def _rules(text: str = _TEXT) -> rules.Rules:
    parsed = rules.parse_rules(text)
    assert isinstance(parsed, rules.Rules), str(parsed)
    return parsed


#: Team, kind or model, targets, keywords of the deciding rule lines.
_CASES = [
    ("cooperativas", "deposit", ("taller-app",), {"kind", "allow", "service"}),
    (
        "cooperativas",
        "stand-plan",
        ("cedro-chico 2026-01", "cedro-grande 2026-02"),
        {"kind", "cascade", "rollout", "allow", "withdraw", "limit"},
    ),
    ("ventas", "cedro-chico", ("cedro-chico 2026-01",), {"version", "allow"}),
    ("tiendas", "stand-plan", ("cedro-chico 2026-01",), {"model"}),
    ("formacion", "quote", ("cedro-grande 2026-02",), {"allow"}),
    ("formacion", "deposit", (), {"service"}),
    ("nadie", "deposit", (), set()),
    ("ventas", "nada", (), {"team"}),
]


@pytest.mark.parametrize(("team", "target", "targets", "keywords"), _CASES)
def test_target_and_deciding_lines(
    team: str, target: str, targets: tuple[str, ...], keywords: set[str]
) -> None:
    """Guards against explanations that omit the deciding rule."""
    parsed = _rules()
    explained = rules.explain(parsed, team, target)
    assert explained.targets == targets
    assert explained.allowed == bool(targets)
    lines = [line for step in explained.steps for line in step.lines]
    assert keywords <= {line.text.split()[0] for line in lines}
    assert all(parsed.lines_by_number[line.number] == line for line in lines)


def test_rollout_share_pin_and_verdict() -> None:
    """Guards against explanations that ignore the runtime state."""
    shared = rules.ExplainContext(share_by_model={"cedro-grande": 0.25})
    explained = rules.explain(_rules(), "ventas", "quote", shared)
    assert explained.targets == ("cedro-grande 2026-02", "cedro-grande 2026-03")
    pinned = rules.ExplainContext(
        share_by_model={"cedro-grande": 0.25},
        pinned_version_by_model={"cedro-grande": "2026-03"},
    )
    explained = rules.explain(_rules(), "ventas", "quote", pinned)
    assert explained.targets == ("cedro-grande 2026-03",)
    bad = rules.ExplainContext(
        share_by_model={"cedro-grande": 0.25},
        pinned_version_by_model={"cedro-grande": "2026-03"},
        reason_by_bad_version={("cedro-grande", "2026-03"): "errors"},
    )
    explained = rules.explain(_rules(), "ventas", "quote", bad)
    assert explained.targets == ("cedro-grande 2026-02",)
    assert any("errors" in step.sentence for step in explained.steps)


def test_every_team_and_target_can_be_explained() -> None:
    """Guards against a combination of rules that raises."""
    for withdrawn in ("2026-02", "2026-03"):
        text = (
            _TEXT + f"withdraw cedro-grande {withdrawn} # asked by Inés Pop\n"
        )
        parsed = _rules(text)
        names = [*parsed.kinds_by_name, *parsed.models_by_name, "planes"]
        for team in parsed.teams_by_name:
            for name in names:
                explained = rules.explain(parsed, team, name)
                assert f"cedro-grande {withdrawn}" not in explained.targets
