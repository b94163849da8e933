"""Errors of a rule file, returned as values instead of raised."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RuleError:
    """One error in a rule file."""

    #: Line number, from 1.
    line: int
    #: Column of the offending text in characters, from 1.
    column: int
    #: The offending text; empty where something is missing.
    text: str
    #: What is wrong.
    message: str
    #: What to write instead.
    suggestion: str

    def __str__(self) -> str:
        at = f" at {self.text!r}" if self.text else ""
        return (
            f"line {self.line}, column {self.column}{at}: "
            f"{self.message}; {self.suggestion}"
        )


@dataclasses.dataclass(frozen=True)
class RuleErrors:
    """Returned instead of `Rules`: the errors in the order of the file."""

    errors: tuple[RuleError, ...]

    def __str__(self) -> str:
        return "\n".join(str(error) for error in self.errors)
