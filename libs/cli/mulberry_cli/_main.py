"""Entry point: parses arguments, runs the command, prints its outcome."""

import json
import sys
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import cappa
import rich.console

from mulberry_cli import (
    _commands,
    _connection,
    _manifest_command,
    _outcome,
    _report_commands,
    _rules_commands,
    _status_command,
    _trace_command,
    _voter_commands,
)

_Handler = Callable[[Any, _connection.Connection], _outcome.Outcome]

_HANDLER_BY_COMMAND: Mapping[type, _Handler] = {
    _commands.RulesCheck: _rules_commands.check,
    _commands.RulesDiff: _rules_commands.diff,
    _commands.RulesShow: _rules_commands.show,
    _commands.RulesSubmit: _rules_commands.submit,
    _commands.RulesHistory: _rules_commands.history,
    _commands.ManifestCheck: _manifest_command.check,
    _commands.Status: _status_command.status,
    _commands.Explain: _report_commands.explain,
    _commands.Trace: _trace_command.trace,
    _commands.Audit: _report_commands.audit,
    _commands.Ledger: _report_commands.ledger,
    _commands.VotersList: _voter_commands.list_voters,
    _commands.VotersAdd: _voter_commands.add,
    _commands.VotersRemove: _voter_commands.remove,
    _commands.VotersReplace: _voter_commands.replace,
}

#: Width in columns for printing the completion script. At the terminal's
#: width rich would wrap lines, and a shell reads a wrapped line as two
#: commands.
_UNWRAPPED_WIDTH = 10_000


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the program.

    Args:
        arguments: Command-line arguments without the program name; `None`
            uses `sys.argv`.

    Returns:
        The exit code. Usage errors, help and completion raise `SystemExit`.
    """
    argv = list(sys.argv[1:] if arguments is None else arguments)
    program = cappa.parse(
        _commands.Program, argv=argv, output=_console_output(argv)
    )
    outcome = _run(program)
    _print(outcome, program.json)
    return int(outcome.code)


def _console_output(arguments: Sequence[str]) -> cappa.Output:
    if not any(word.startswith("--completion") for word in arguments):
        return cappa.Output()
    console = rich.console.Console(width=_UNWRAPPED_WIDTH)
    return cappa.Output(output_console=console)


def _run(program: _commands.Program) -> _outcome.Outcome:
    command = _commands.selected_command(program)
    credentials = _connection.read_credentials(
        program.tls_ca, program.tls_certificate, program.tls_key
    )
    connection = _connection.Connection(program.instance, credentials)
    return _HANDLER_BY_COMMAND[type(command)](command, connection)


def _print(outcome: _outcome.Outcome, as_json: bool) -> None:
    if as_json:
        print(json.dumps(outcome.document, ensure_ascii=False, indent=2))
    elif outcome.code is _outcome.ExitCode.FAILED:
        print(outcome.text, file=sys.stderr)
    else:
        print(outcome.text)
