"""Results of commands, and how they are formatted."""

import dataclasses
import enum
from collections.abc import Mapping, Sequence
from typing import Any


class ExitCode(enum.IntEnum):
    """Exit codes of the program; cappa exits with 2 on usage errors."""

    DONE = 0
    #: Negative result: errors in a file, a conflict or a failed check.
    REFUSED = 1
    #: A check found warnings and no errors.
    WARNINGS = 2
    #: The command failed: no reply from the instance or an unreadable file.
    FAILED = 3


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Result of a command as text and as a JSON document."""

    code: ExitCode
    #: Text for people.
    text: str
    #: Printed as JSON with `--json`.
    document: Mapping[str, Any]


def failed(message: str) -> Outcome:
    """Returns the outcome of a command that failed."""
    return Outcome(ExitCode.FAILED, f"error: {message}", {"error": message})


def table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Formats rows in aligned columns; numeric columns are right-aligned."""
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
