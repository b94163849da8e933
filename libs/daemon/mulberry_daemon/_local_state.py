"""State of a single instance, until it joins the replicated log."""

import pathlib
import uuid

from absl import logging

import mulberry_core as core
import mulberry_rules as rules
import mulberry_state as state


class _Parser(state.RulesParser):
    """Reads rule files with the rules library."""

    def parse(self, text: str) -> rules.Rules | tuple[str, ...]:
        """Returns the rules, or one sentence for each error."""
        parsed = rules.parse_rules(text)
        if isinstance(parsed, rules.RuleErrors):
            return tuple(str(error) for error in parsed.errors)
        return parsed

    def diff(self, old: rules.Rules, new: rules.Rules) -> tuple[str, ...]:
        """Returns one sentence for each change."""
        return rules.diff_rules(old, new)


def open_state(
    settings: rules.Settings, clock: core.Clock
) -> state.StateClient:
    """Returns a state that holds the rules of the settings' file."""
    client = state.LocalStateClient(_Parser(), clock)
    if not isinstance(settings.rule_file, core.Missing):
        text = pathlib.Path(settings.rule_file).read_text()
        result = client.propose(
            state.SubmitRules(uuid.uuid4().hex, text, 0, settings.name), 1.0
        )
        logging.info("rule file: %s", result)
    return client
