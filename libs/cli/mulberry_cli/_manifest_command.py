"""The command `manifest check`: the frame around a format's own checks."""

import importlib.metadata
import pathlib

import mulberry_core as core
import mulberry_routing as routing
from mulberry_cli import _commands, _connection, _outcome

#: Entry points at which packages of document formats register their checkers.
CHECKER_GROUP = "mulberrystage.document_checkers"
#: Name of the checker for manifests.
_CHECKER_NAME = "manifest"


def check(
    command: _commands.ManifestCheck, connection: _connection.Connection
) -> _outcome.Outcome:
    """Checks a routing document without an instance, unless one is named."""
    checker = _load_checker()
    if isinstance(checker, _outcome.Outcome):
        return checker
    upstreams_by_service = _parse_counts(command.upstreams)
    if isinstance(upstreams_by_service, _outcome.Outcome):
        return upstreams_by_service
    document = _read_file(command.file)
    if isinstance(document, _outcome.Outcome):
        return document
    in_force = _read_in_force(command, checker)
    if isinstance(in_force, _outcome.Outcome):
        return in_force
    return _report_outcome(
        command.file, checker.check(document, in_force, upstreams_by_service)
    )


def _load_checker() -> routing.DocumentChecker | _outcome.Outcome:
    registered = importlib.metadata.entry_points(
        group=CHECKER_GROUP, name=_CHECKER_NAME
    )
    for entry_point in registered:
        try:
            checker = entry_point.load()()
        except Exception as error:
            # A package of another version.
            return _outcome.failed(f"cannot load {entry_point.value}: {error}")
        if isinstance(checker, routing.DocumentChecker):
            return checker
    return _outcome.failed("no package that checks manifests is installed")


def _parse_counts(texts: list[str]) -> dict[str, int] | _outcome.Outcome:
    counts = {}
    for text in texts:
        service, _, digits = text.rpartition("=")
        count = core.parse_count(digits)
        if not service or isinstance(count, core.Missing):
            return _outcome.failed(f"--upstreams {text} is not SERVICE=COUNT")
        counts[service] = count
    return counts


def _read_file(path: str) -> bytes | _outcome.Outcome:
    try:
        return pathlib.Path(path).read_bytes()
    except (OSError, ValueError) as error:
        return _outcome.failed(f"cannot read {path}: {error}")


def _read_in_force(
    command: _commands.ManifestCheck, checker: routing.DocumentChecker
) -> bytes | core.Missing | _outcome.Outcome:
    """Returns the document to compare with, unset if none is named."""
    if command.against and command.against_file:
        return _outcome.failed(
            "--against and --against-file exclude each other"
        )
    if command.against_file:
        return _read_file(command.against_file)
    if not command.against:
        return core.Missing.UNSET
    document = checker.fetch_in_force(command.against)
    if isinstance(document, core.Refusal):
        return _outcome.failed(document.reason)
    return document


def _report_outcome(
    name: str, report: routing.DocumentReport
) -> _outcome.Outcome:
    code = (
        _outcome.ExitCode.REFUSED
        if report.errors
        else _outcome.ExitCode.WARNINGS
        if report.warnings
        else _outcome.ExitCode.DONE
    )
    lines = [
        *(f"error: {finding}" for finding in report.errors),
        *(f"warning: {finding}" for finding in report.warnings),
        *(f"change: {finding}" for finding in report.changes),
        f"{name}: {len(report.errors)} errors, {len(report.warnings)} "
        f"warnings, {len(report.changes)} changes",
    ]
    return _outcome.Outcome(
        code,
        "\n".join(lines),
        {
            "file": name,
            "version": None
            if isinstance(report.version, core.Missing)
            else report.version,
            "errors": list(report.errors),
            "warnings": list(report.warnings),
            "changes": list(report.changes),
        },
    )
