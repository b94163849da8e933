"""The rules in force and the history of accepted rule files."""

import dataclasses
from collections.abc import Iterable

import mulberry_core as core
import mulberry_rules as rules
from mulberry_state import _codec, _commands, _invariants, _parser
from mulberry_wire import state_pb2

#: Maximum number of rule files kept, for `rules history` and to list the
#: changes since the base of a conflicting file.
MAX_TEXTS = 100


@dataclasses.dataclass(frozen=True)
class RulesText:
    """One accepted rule file."""

    number: int
    text: str
    operator: str
    #: Unix time of acceptance, seconds.
    wall_s: float
    #: One sentence per change from the previous rules.
    changes: tuple[str, ...]
    #: View revision that put the rules in force.
    revision: int


class Rulebook:
    """Parses, accepts and keeps rule files."""

    def __init__(self, parser: _parser.RulesParser) -> None:
        self._parser = parser
        self._texts: list[RulesText] = []
        self.number = 0
        self.rules: rules.Rules | core.Missing = core.Missing.UNSET

    @property
    def text(self) -> str:
        """Text of the rule file in force, empty before the first."""
        return self._texts[-1].text if self._texts else ""

    def texts(self) -> tuple[RulesText, ...]:
        """Returns the retained rule files, oldest first."""
        return tuple(self._texts)

    def submit(
        self, command: _commands.SubmitRules, wall_s: float, revision: int
    ) -> _commands.Result:
        """Puts a rule file in force unless it is invalid or conflicts.

        `revision` is the view revision that an accepted file gets.
        """
        parsed = self._parser.parse(command.text)
        if isinstance(parsed, tuple):
            return _commands.RulesRejected(parsed)
        if self._is_in_force(command):
            return _commands.RulesAccepted(self.number)
        if command.edited_from != self.number:
            return self._conflict(command.edited_from)
        changes = (
            ("first rules",)
            if isinstance(self.rules, core.Missing)
            else self._parser.diff(self.rules, parsed)
        )
        number = self.number + 1
        self._accept(
            parsed,
            RulesText(
                number,
                command.text,
                command.operator,
                wall_s,
                changes,
                revision,
            ),
        )
        return _commands.RulesAccepted(number)

    def _is_in_force(self, command: _commands.SubmitRules) -> bool:
        """Returns whether this submission is a duplicate of the latest file.

        An operator who got no reply, or a second instance that watches the same
        file, submits it again under another command id.
        """
        return (
            self.number > 0
            and command.edited_from == self.number - 1
            and command.text == self.text
        )

    def _accept(self, parsed: rules.Rules, text: RulesText) -> None:
        _invariants.require(
            all(old.number < text.number for old in self._texts),
            f"rules number {text.number} is already in use",
        )
        self.number = text.number
        self.rules = parsed
        self._texts.append(text)
        del self._texts[:-MAX_TEXTS]

    def _conflict(self, edited_from: int) -> _commands.RulesConflict:
        changed_by = self._texts[-1].operator if self._texts else ""
        return _commands.RulesConflict(
            self.number, changed_by, self._changes_since(edited_from)
        )

    def _changes_since(self, number: int) -> tuple[str, ...]:
        if isinstance(self.rules, core.Missing):
            return ("no rules have been accepted yet",)
        if number == 0:
            return ("first rules",)
        for text in self._texts:
            if text.number == number:
                base = self._parser.parse(text.text)
                if not isinstance(base, tuple):
                    return self._parser.diff(base, self.rules)
        return (f"rules {number} are not kept, so the changes are not known",)

    def write(self, snapshot: state_pb2.StateSnapshot) -> None:
        """Copies the retained rule files into a snapshot."""
        for text in self._texts:
            _codec.fill(text, snapshot.rules_texts.add())

    def restore(self, messages: Iterable[state_pb2.RulesText]) -> None:
        """Replaces the retained rule files by those of a snapshot."""
        self._texts = [_codec.read(RulesText, item) for item in messages]
        self.number = self._texts[-1].number if self._texts else 0
        self.rules = core.Missing.UNSET
        if self._texts:
            parsed = self._parser.parse(self.text)
            _invariants.require(
                not isinstance(parsed, tuple),
                f"rules {self.number} in force can no longer be parsed",
            )
            if not isinstance(parsed, tuple):
                self.rules = parsed
