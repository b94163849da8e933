"""What a command found, before it is printed."""

import dataclasses
import enum
from collections.abc import Mapping, Sequence
from typing import Any


class ExitCode(enum.IntEnum):
    """Exit codes of the program; 2 is that of a wrong usage."""

    DONE = 0
    #: The answer is no: errors in a file, a conflict, a failed check.
    REFUSED = 1
    #: The instance could not be asked, or could not answer.
    FAILED = 3


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Result of a command, for readers and for programs."""

    code: ExitCode
    #: For readers.
    text: str
    #: For programs; printed with `--json`.
    document: Mapping[str, Any]


def failed(message: str) -> Outcome:
    """Returns the outcome of a command that could not do its work."""
    return Outcome(ExitCode.FAILED, f"error: {message}", {"error": message})


def table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Returns rows in aligned columns; numbers stand to the right."""
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [
        max(len(line[column]) for line in [list(header), *cells])
        for column in range(len(header))
    ]
    right_aligned = [
        bool(rows) and all(isinstance(row[column], int | float) for row in rows)
        for column in range(len(header))
    ]
    lines = []
    for line in [list(header), *cells]:
        padded = [
            cell.rjust(width) if align_right else cell.ljust(width)
            for cell, width, align_right in zip(
                line, widths, right_aligned, strict=True
            )
        ]
        lines.append("  ".join(padded).rstrip())
    return "\n".join(lines)
