"""The commands `rules ...`."""

import pathlib
import uuid

import mulberry_rules as rules
from mulberry_cli import _commands, _connection, _outcome
from mulberry_cli._times import local_time
from mulberry_cli._users import operator_name
from mulberry_wire import operator_pb2


def check(
    command: _commands.RulesCheck, connection: _connection.Connection
) -> _outcome.Outcome:
    """Checks a rule file without an instance."""
    parsed = _read_rules(command.file)
    if isinstance(parsed, _outcome.Outcome):
        return parsed
    count = len(parsed.lines_by_number)
    return _outcome.Outcome(
        _outcome.ExitCode.DONE,
        f"{command.file}: no errors, {count} rules, edited from "
        f"{parsed.edited_from}",
        {"errors": [], "rules": count, "edited_from": parsed.edited_from},
    )


def diff(
    command: _commands.RulesDiff, connection: _connection.Connection
) -> _outcome.Outcome:
    """Compares two files, or the rules in force with a file."""
    if command.newer:
        old = _read_rules(command.file)
    else:
        old = _rules_in_force(connection)
    if isinstance(old, _outcome.Outcome):
        return old
    new = _read_rules(command.newer or command.file)
    if isinstance(new, _outcome.Outcome):
        return new
    changes = rules.diff_rules(old, new)
    return _outcome.Outcome(
        _outcome.ExitCode.DONE,
        "\n".join(changes) or "No rule changes.",
        {"changes": list(changes)},
    )


def show(
    command: _commands.RulesShow, connection: _connection.Connection
) -> _outcome.Outcome:
    """Prints accepted rules."""
    reply = connection.call(
        "ShowRules", operator_pb2.ShowRulesRequest(number=command.number)
    )
    if isinstance(reply, _connection.Failure):
        return _outcome.failed(reply.reason)
    text = reply.text
    if not command.as_submitted:
        text = rules.with_edited_from(text, reply.rules.number)
    document = {**_accepted_document(reply.rules), "text": text}
    return _outcome.Outcome(
        _outcome.ExitCode.DONE, text.removesuffix("\n"), document
    )


def submit(
    command: _commands.RulesSubmit, connection: _connection.Connection
) -> _outcome.Outcome:
    """Submits a rule file."""
    text = _read_text(command.file)
    if isinstance(text, _outcome.Outcome):
        return text
    reply = connection.call(
        "SubmitRules",
        operator_pb2.SubmitRulesRequest(
            command_id=uuid.uuid4().hex,
            text=text,
            operator=operator_name(command.operator),
        ),
    )
    if isinstance(reply, _connection.Failure):
        return _outcome.failed(reply.reason)
    return _SUBMIT_OUTCOMES[reply.WhichOneof("outcome")](reply)


def _accepted(reply: operator_pb2.SubmitRulesReply) -> _outcome.Outcome:
    number = reply.accepted.number
    return _outcome.Outcome(
        _outcome.ExitCode.DONE,
        f"accepted as rules {number}; begin the next edit with "
        f"`edited-from {number}`",
        {"outcome": "accepted", "number": number},
    )


def _conflict(reply: operator_pb2.SubmitRulesReply) -> _outcome.Outcome:
    conflict = reply.conflict
    changes = "\n".join(f"  {change}" for change in conflict.changes)
    return _outcome.Outcome(
        _outcome.ExitCode.REFUSED,
        f"conflict: {conflict.changed_by} has changed the rules since this "
        f"file was edited; in force are rules {conflict.number}:\n{changes}\n"
        "Take these changes over and write "
        f"`edited-from {conflict.number}`.",
        {
            "outcome": "conflict",
            "number": conflict.number,
            "changed_by": conflict.changed_by,
            "changes": list(conflict.changes),
        },
    )


def _rejected(reply: operator_pb2.SubmitRulesReply) -> _outcome.Outcome:
    errors = list(reply.rejected.errors)
    return _outcome.Outcome(
        _outcome.ExitCode.REFUSED,
        "\n".join(["rejected; the rules in force are unchanged:", *errors]),
        {"outcome": "rejected", "errors": errors},
    )


def _missing_outcome(reply: operator_pb2.SubmitRulesReply) -> _outcome.Outcome:
    return _outcome.failed("the reply of the instance has no outcome")


_SUBMIT_OUTCOMES = {
    "accepted": _accepted,
    "conflict": _conflict,
    "rejected": _rejected,
    None: _missing_outcome,
}


def history(
    command: _commands.RulesHistory, connection: _connection.Connection
) -> _outcome.Outcome:
    """Lists accepted rules."""
    reply = connection.call(
        "ListRules", operator_pb2.ListRulesRequest(limit=command.limit)
    )
    if isinstance(reply, _connection.Failure):
        return _outcome.failed(reply.reason)
    lines = []
    for accepted in reply.rules:
        at = local_time(accepted.accepted_at_s)
        lines.append(f"rules {accepted.number}, {at}, {accepted.operator}")
        lines.extend(f"  {change}" for change in accepted.changes)
    return _outcome.Outcome(
        _outcome.ExitCode.DONE,
        "\n".join(lines) or "No rules have been accepted yet.",
        {"rules": [_accepted_document(accepted) for accepted in reply.rules]},
    )


def _accepted_document(
    accepted: operator_pb2.AcceptedRules,
) -> dict[str, object]:
    return {
        "number": accepted.number,
        "operator": accepted.operator,
        "accepted_at_s": accepted.accepted_at_s,
        "changes": list(accepted.changes),
    }


def _rules_in_force(
    connection: _connection.Connection,
) -> rules.Rules | _outcome.Outcome:
    reply = connection.call("ShowRules", operator_pb2.ShowRulesRequest())
    if isinstance(reply, _connection.Failure):
        return _outcome.failed(reply.reason)
    return _parse("the rules in force", reply.text)


def _read_rules(path: str) -> rules.Rules | _outcome.Outcome:
    text = _read_text(path)
    if isinstance(text, _outcome.Outcome):
        return text
    return _parse(path, text)


def _read_text(path: str) -> str | _outcome.Outcome:
    try:
        return pathlib.Path(path).read_bytes().decode("utf-8-sig")
    except (OSError, ValueError) as error:
        return _outcome.failed(f"cannot read {path}: {error}")


def _parse(name: str, text: str) -> rules.Rules | _outcome.Outcome:
    parsed = rules.parse_rules(text)
    if isinstance(parsed, rules.Rules):
        return parsed
    lines = [
        f"{name}:{error.line}:{error.column}: {error.message}"
        + (f" at {error.text!r}" if error.text else "")
        + f"; {error.suggestion}"
        for error in parsed.errors
    ]
    return _outcome.Outcome(
        _outcome.ExitCode.REFUSED,
        "\n".join([*lines, f"{name}: {len(lines)} errors"]),
        {"file": name, "errors": [vars(error) for error in parsed.errors]},
    )
