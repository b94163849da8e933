"""The commands `voters ...`."""

import uuid

from mulberry_cli import _commands, _connection, _outcome
from mulberry_cli._users import operator_name
from mulberry_wire import operator_pb2


def list_voters(
    command: _commands.VotersList, connection: _connection.Connection
) -> _outcome.Outcome:
    """Lists the voters."""
    return _voters_outcome(
        connection.call("ListVoters", operator_pb2.ListVotersRequest())
    )


def add(
    command: _commands.VotersAdd, connection: _connection.Connection
) -> _outcome.Outcome:
    """Adds a voter."""
    change = operator_pb2.UpdateVotersRequest.Add(
        name=command.name, grpc_address=command.address
    )
    return _change(
        connection,
        operator_pb2.UpdateVotersRequest(
            operator=operator_name(command.operator), add=change
        ),
    )


def remove(
    command: _commands.VotersRemove, connection: _connection.Connection
) -> _outcome.Outcome:
    """Removes a voter."""
    change = operator_pb2.UpdateVotersRequest.Remove(name=command.name)
    return _change(
        connection,
        operator_pb2.UpdateVotersRequest(
            operator=operator_name(command.operator), remove=change
        ),
    )


def replace(
    command: _commands.VotersReplace, connection: _connection.Connection
) -> _outcome.Outcome:
    """Replaces a lost voter by a new one."""
    change = operator_pb2.UpdateVotersRequest.Replace(
        name=command.name,
        new_name=command.new_name,
        new_grpc_address=command.new_address,
    )
    return _change(
        connection,
        operator_pb2.UpdateVotersRequest(
            operator=operator_name(command.operator), replace=change
        ),
    )


def _change(
    connection: _connection.Connection,
    request: operator_pb2.UpdateVotersRequest,
) -> _outcome.Outcome:
    request.command_id = uuid.uuid4().hex
    return _voters_outcome(connection.call("UpdateVoters", request))


def _voters_outcome(
    reply: operator_pb2.ListVotersReply | _connection.Failure,
) -> _outcome.Outcome:
    if isinstance(reply, _connection.Failure):
        return _outcome.failed(reply.reason)
    voters = [
        {
            "name": voter.name,
            "grpc_address": voter.grpc_address,
            "state": voter.state,
        }
        for voter in reply.voters
    ]
    return _outcome.Outcome(
        _outcome.ExitCode.DONE,
        _outcome.table(
            ["VOTER", "GRPC", "STATE"],
            [list(voter.values()) for voter in voters],
        ),
        {"voters": voters},
    )
