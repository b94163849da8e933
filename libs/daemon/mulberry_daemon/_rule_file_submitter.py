"""Connects the rule file watcher to the replicated state."""

import mulberry_core as core
import mulberry_rules as rules
import mulberry_state as state
from mulberry_daemon import _replicated_state, _rule_file_watcher

_SUBMIT_TIMEOUT_S = 5.0
_HISTORY_TIMEOUT_S = 3.0


class RuleFileSubmitter:
    """Submits the watched file and provides access to accepted rules."""

    def __init__(
        self, instance: str, replicated_state: _replicated_state.ReplicatedState
    ) -> None:
        self._operator = f"rule file at {instance}"
        self._replicated_state = replicated_state

    def submit(self, text: str) -> str | core.Refusal:
        """Submits a file and returns the outcome for the status file.

        Several instances may watch the same file. The command id is derived
        from the content and the number of the rules in force, so that
        concurrent submissions share one outcome.
        """
        number = self._replicated_state.client.view().rules_number
        digest = core.digest128(text.encode())
        edited_from = rules.edited_from(text)
        result = self._replicated_state.client.propose(
            state.SubmitRules(
                f"rules-{number}-{digest}",
                text,
                0 if isinstance(edited_from, core.Missing) else edited_from,
                self._operator,
            ),
            _SUBMIT_TIMEOUT_S,
        )
        if isinstance(
            result,
            state.RulesAccepted | state.RulesConflict | state.RulesRejected,
        ):
            return _rule_file_watcher.describe_result(result)
        assert isinstance(result, core.Refusal), result
        return result

    def in_force(self) -> _rule_file_watcher.RulesInForce:
        """Returns the access to accepted rules that the watcher needs."""
        return _rule_file_watcher.RulesInForce(self._number, self._text)

    def _number(self) -> int | core.Missing:
        if self._replicated_state.client.lease_remaining_s() <= 0:
            return core.Missing.UNSET
        return self._replicated_state.client.view().rules_number

    def _text(self, number: int) -> str | core.Missing:
        view = self._replicated_state.client.view()
        if number == view.rules_number:
            return view.rules_text
        history = self._replicated_state.reader.history(_HISTORY_TIMEOUT_S)
        if isinstance(history, core.Refusal):
            return core.Missing.UNSET
        for accepted in history:
            if accepted.number == number:
                return accepted.text
        return core.Missing.UNSET
