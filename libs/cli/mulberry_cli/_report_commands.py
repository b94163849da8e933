"""The commands `explain`, `audit` and `ledger`."""

from mulberry_cli import _commands, _connection, _outcome
from mulberry_cli._times import local_time
from mulberry_wire import operator_pb2

_LEDGER_COLUMNS = ("team", "model", "version", "kind")


def explain(
    command: _commands.Explain, connection: _connection.Connection
) -> _outcome.Outcome:
    """Explains how a request would be routed."""
    reply = connection.call(
        "Explain",
        operator_pb2.ExplainRequest(
            team=command.team, target=command.target, session=command.session
        ),
    )
    if isinstance(reply, _connection.Failure):
        return _outcome.failed(reply.reason)
    lines = []
    for step in reply.steps:
        lines.append(step.sentence)
        lines.extend(
            f"    line {line.number}: {line.text}  (asked by {line.asked_by})"
            for line in step.lines
        )
    lines.append(
        "Would go to: " + ", then ".join(reply.targets)
        if reply.allowed
        else "Would be refused."
    )
    code = _outcome.ExitCode.DONE
    if not reply.allowed:
        code = _outcome.ExitCode.REFUSED
    return _outcome.Outcome(code, "\n".join(lines), _explain_document(reply))


def _explain_document(reply: operator_pb2.ExplainReply) -> dict[str, object]:
    return {
        "allowed": reply.allowed,
        "targets": list(reply.targets),
        "steps": [
            {
                "sentence": step.sentence,
                "lines": [
                    {
                        "number": line.number,
                        "text": line.text,
                        "asked_by": line.asked_by,
                    }
                    for line in step.lines
                ],
            }
            for step in reply.steps
        ],
    }


def audit(
    command: _commands.Audit, connection: _connection.Connection
) -> _outcome.Outcome:
    """Lists the audit trail."""
    reply = connection.call(
        "ListAudit",
        operator_pb2.ListAuditRequest(
            limit=command.limit, before=command.before
        ),
    )
    if isinstance(reply, _connection.Failure):
        return _outcome.failed(reply.reason)
    rows = [
        [entry.number, local_time(entry.at_s), entry.who, entry.what]
        for entry in reply.entries
    ]
    return _outcome.Outcome(
        _outcome.ExitCode.DONE,
        _outcome.table(["NUMBER", "AT", "WHO", "WHAT"], rows),
        {
            "entries": [
                {
                    "number": entry.number,
                    "at_s": entry.at_s,
                    "who": entry.who,
                    "what": entry.what,
                }
                for entry in reply.entries
            ]
        },
    )


def ledger(
    command: _commands.Ledger, connection: _connection.Connection
) -> _outcome.Outcome:
    """Sums and verifies the bills."""
    columns = [
        column
        for column in _LEDGER_COLUMNS
        if column in command.by or not command.by
    ]
    reply = connection.call(
        "SumLedger", operator_pb2.SumLedgerRequest(by=columns)
    )
    if isinstance(reply, _connection.Failure):
        return _outcome.failed(reply.reason)
    documents = [_row_document(row, columns) for row in reply.rows]
    header = [*columns, "requests", "tokens_in", "tokens_out", "cost"]
    rows = [[document[name] for name in header] for document in documents]
    parts = [_outcome.table([name.upper() for name in header], rows)]
    parts.extend(f"fault: {fault}" for fault in reply.faults)
    if not reply.faults:
        parts.append("verified: the sums equal those of the single bills")
    code = _outcome.ExitCode.DONE
    if reply.faults:
        code = _outcome.ExitCode.REFUSED
    return _outcome.Outcome(
        code,
        "\n".join(parts),
        {
            "rows": documents,
            "verified": not reply.faults,
            "faults": list(reply.faults),
        },
    )


def _row_document(
    row: operator_pb2.SumLedgerReply.Row, columns: list[str]
) -> dict[str, object]:
    return {
        **{column: getattr(row, column) for column in columns},
        "requests": row.requests,
        "tokens_in": row.tokens_in,
        "tokens_out": row.tokens_out,
        # Removes floating-point rounding errors of the sum.
        "cost": round(row.cost, 6),
    }
