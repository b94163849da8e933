"""Tests of the command line `scripts/measure`."""

import json
import pathlib

import pytest

from mulberry_experiments import _measure


@pytest.mark.parametrize("name", sorted(_measure.EXPERIMENTS))
def test_experiments_can_be_loaded(name: str) -> None:
    """Guards against a table entry whose module or function was renamed."""
    assert callable(_measure.load_experiment(name))


def test_equal_seeds_give_equal_rows() -> None:
    """Guards against results that a seed does not reproduce."""
    run = _measure.load_experiment("hedging")
    assert run(3) == run(3)


@pytest.mark.parametrize(
    ("figure", "target", "expected"),
    [
        (1.0, "", True),
        (1.0, "<= 1", True),
        (1.1, "<= 1", False),
        (0.9, ">= 0.9", True),
        (0.8, ">= 0.9", False),
    ],
)
def test_targets(figure: float, target: str, expected: bool) -> None:
    """Guards against wrong comparisons with targets."""
    assert _measure.meets_target(figure, target) == expected


def test_json_contains_all_rows(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against rows that are in the table but not in the JSON file."""
    path = tmp_path / "rows.json"
    status = _measure.main(["hedging", "--seed", "2", "--json", str(path)])
    assert status == 0
    rows = json.loads(path.read_text())
    assert len(rows) == len(_measure.load_experiment("hedging")(2))
    assert capsys.readouterr().out.count("hedging") == len(rows)


def test_unknown_names_are_rejected() -> None:
    """Guards against a misspelt experiment that is silently ignored."""
    assert _measure.main(["no-such-experiment"]) == 2
