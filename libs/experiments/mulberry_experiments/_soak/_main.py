"""Command line of `scripts/soak`."""

import argparse
import pathlib
import signal
import sys

from mulberry_experiments._soak import _run

_MAX_SHOWN = 10


def render(outcome: _run.Outcome) -> str:
    """Formats the results of a run, with details of violations."""
    lines = [f"seed {outcome.seed}, {outcome.duration_s / 60:g} minutes", ""]
    for title, counts in (
        ("Faults", outcome.faults),
        ("Requests", outcome.requests),
    ):
        lines.append(f"{title}: {counts.total()}")
        lines += [f"  {counts[name]:6} {name}" for name in sorted(counts)]
        lines.append("")
    lines.append("Invariants: checked, violated")
    lines += [
        f"  {item.checked:6} {len(item.violations):4} {item.invariant}"
        for item in outcome.results
    ]
    for item in outcome.results:
        if item.violations:
            lines += ["", f"{item.invariant}:"]
            lines += [f"  {text}" for text in item.violations[:_MAX_SHOWN]]
    if any(item.violations for item in outcome.results):
        lines += ["", "Events:", *(f"  {note}" for note in outcome.notes)]
    return "\n".join(lines)


def _exit(number: int, frame: object) -> None:
    sys.exit(128 + number)


def main() -> None:
    """Runs the test and exits with 1 if an invariant was violated."""
    parser = argparse.ArgumentParser(prog="scripts/soak")
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--minutes", type=float, required=True)
    parser.add_argument(
        "--instances-per-zone", type=int, choices=(2, 3), default=2
    )
    parser.add_argument(
        "--keep", type=pathlib.Path, help="leave logs and data in this folder"
    )
    options = parser.parse_args()
    # `sys.exit` runs the cleanup; without it, a signal would leave the child
    # processes of the deployment running.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _exit)
    outcome = _run.run(
        options.seed,
        options.minutes * 60,
        options.instances_per_zone,
        options.keep,
    )
    print(render(outcome))
    sys.exit(any(item.violations for item in outcome.results))


if __name__ == "__main__":
    main()
