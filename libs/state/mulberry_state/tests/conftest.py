"""Parts that the tests of this library share."""

import pytest

import mulberry_core as core
import mulberry_rules as rules
import mulberry_state as state

_LINE = rules.RuleLine(1, "", "test")


class WordParser(state.RulesParser):
    """Reads `MODEL:VERSION` words; `-` before a word withdraws it.

    `MODEL:VERSION>TO` is a roll-out with two steps; `error` is an error.
    """

    def parse(self, text: str) -> rules.Rules | tuple[str, ...]:
        if "error" in text:
            return ("line 1: error is no rule",)
        versions: dict[str, tuple[rules.Version, ...]] = {}
        rollouts = {}
        for word in text.split():
            model, _, rest = word.lstrip("-").partition(":")
            version, _, target = rest.partition(">")
            row = rules.Version(model, version, word.startswith("-"), _LINE)
            versions[model] = (*versions.get(model, ()), row)
            if target:
                rollouts[model] = rules.Rollout(
                    model, version, target, (0.1, 1.0), 1.0, 5, False, _LINE
                )
        return _rules(versions, rollouts)

    def diff(self, old: rules.Rules, new: rules.Rules) -> tuple[str, ...]:
        return (
            f"{sorted(old.versions_by_model)} to "
            f"{sorted(new.versions_by_model)}",
        )


def _rules(
    versions: dict[str, tuple[rules.Version, ...]],
    rollouts: dict[str, rules.Rollout],
) -> rules.Rules:
    return rules.Rules(
        edited_from=0,
        teams_by_name={},
        team_name_by_key_hash={},
        models_by_name={},
        versions_by_model=versions,
        allowed_by_team={},
        cascades_by_name={},
        rollouts_by_model=rollouts,
        services_by_name={},
        kinds_by_name={},
        limits_by_team={},
        lines_by_number={},
    )


@pytest.fixture
def parser() -> state.RulesParser:
    return WordParser()


@pytest.fixture
def clock() -> core.ManualClock:
    return core.ManualClock(start_s=100.0)


@pytest.fixture
def client(
    parser: state.RulesParser, clock: core.ManualClock
) -> state.LocalStateClient:
    return state.LocalStateClient(parser, clock)
