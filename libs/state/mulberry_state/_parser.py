"""Parser of rule files, as the state machine uses it."""

import abc

import mulberry_rules as rules


class RulesParser(abc.ABC):
    """Parses and compares rule files.

    All voters must get the same results, so the methods must depend on their
    arguments only.
    """

    @abc.abstractmethod
    def parse(self, text: str) -> rules.Rules | tuple[str, ...]:
        """Returns the rules, or one sentence for each error."""

    @abc.abstractmethod
    def diff(self, old: rules.Rules, new: rules.Rules) -> tuple[str, ...]:
        """Returns one sentence for each change."""


class FileRulesParser(RulesParser):
    """Parses rule files with `mulberry_rules`."""

    def parse(self, text: str) -> rules.Rules | tuple[str, ...]:
        """Returns the rules, or one sentence for each error."""
        parsed = rules.parse_rules(text)
        if isinstance(parsed, rules.RuleErrors):
            return tuple(str(error) for error in parsed.errors)
        return parsed

    def diff(self, old: rules.Rules, new: rules.Rules) -> tuple[str, ...]:
        """Returns one sentence for each change."""
        return rules.diff_rules(old, new)
