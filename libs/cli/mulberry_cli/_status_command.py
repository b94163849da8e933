"""The command `status`."""

from google.protobuf import json_format

from mulberry_cli import _commands, _connection, _outcome
from mulberry_cli._times import local_time
from mulberry_wire import operator_pb2


def status(
    command: _commands.Status, connection: _connection.Connection
) -> _outcome.Outcome:
    """Shows instances, upstreams and versions."""
    reply = connection.call("GetStatus", operator_pb2.GetStatusRequest())
    if isinstance(reply, _connection.Failure):
        return _outcome.failed(reply.reason)
    parts = [_summary(reply), _instances(reply), _upstreams(reply)]
    return _outcome.Outcome(
        _outcome.ExitCode.DONE,
        "\n\n".join([*parts, _versions(reply)]),
        document(reply),
    )


def document(message: operator_pb2.GetStatusReply) -> dict[str, object]:
    """Converts a reply to JSON with every field and with numeric integers."""
    as_json: dict[str, object] = json_format.MessageToDict(
        message,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )
    # The JSON mapping of protobuf writes 64-bit integers as strings.
    as_json["rules_number"] = message.rules_number
    return as_json


def _summary(reply: operator_pb2.GetStatusReply) -> str:
    if not reply.rules_number:
        in_force = "no rules are in force yet"
    elif reply.rules_everywhere_at_s:
        in_force = (
            f"rules {reply.rules_number}, in effect everywhere since "
            f"{local_time(reply.rules_everywhere_at_s)}"
        )
    else:
        in_force = (
            f"rules {reply.rules_number}, accepted "
            f"{local_time(reply.rules_accepted_at_s)}, not known to be in "
            "effect everywhere yet"
        )
    return (
        f"{in_force}\nasked {reply.instance}, leader "
        f"{reply.leader or 'not known'}, rules lease "
        f"{reply.lease_remaining_s:.1f} s"
    )


def _instances(reply: operator_pb2.GetStatusReply) -> str:
    return _outcome.table(
        ["INSTANCE", "ZONE", "STATE", "SINCE", "ROLE", "GRPC", "HTTP"],
        [
            [
                instance.name,
                instance.zone,
                instance.state,
                local_time(instance.since_s),
                "voter" if instance.voter else "-",
                instance.grpc_address,
                instance.http_address,
            ]
            for instance in reply.instances
        ],
    )


def _upstreams(reply: operator_pb2.GetStatusReply) -> str:
    return _outcome.table(
        ["UPSTREAM", "ZONE", "STATE", "RUNS", "WAITS", "PLACES", "SERVES"],
        [
            [
                upstream.name,
                upstream.zone,
                upstream.state,
                upstream.running,
                upstream.queued,
                upstream.capacity,
                ", ".join(upstream.serves),
            ]
            for upstream in reply.upstreams
        ],
    )


def _versions(reply: operator_pb2.GetStatusReply) -> str:
    return _outcome.table(
        ["MODEL", "VERSION", "STATE", "NEW SESSIONS", "SINCE", "REASON"],
        [
            [
                version.model,
                version.version,
                version.state,
                f"{version.share * 100:g}%",
                local_time(version.since_s),
                version.reason,
            ]
            for version in reply.versions
        ],
    )
