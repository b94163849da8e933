"""Conversion between views and their protobuf messages."""

import mulberry_core as core
import mulberry_rules as rules
from mulberry_state import (
    _evacuations,
    _parser,
    _routing,
    _versions,
    _view,
)
from mulberry_wire import state_pb2


def encode_view(
    view: _view.View, known_rules_number: int, known_routing_version: int = 0
) -> state_pb2.ViewMessage:
    """Converts a view to its message.

    Leaves out the rules text and the routing document if the receiver already
    has them.
    """
    message = state_pb2.ViewMessage(
        revision=view.revision,
        rules_number=view.rules_number,
        strikes_by_digest=view.strikes_by_digest,
        voters_by_name=view.voters_by_name,
    )
    if view.rules_number != known_rules_number:
        message.rules_text = view.rules_text
    if view.routing.version != known_routing_version:
        _routing.fill_document(view.routing, message.routing)
    else:
        message.routing.version = view.routing.version
    _routing.fill_rollouts(
        dict(view.service_rollouts_by_service),
        message.service_rollouts_by_service,
    )
    _evacuations.fill_evacuations(
        view.evacuations_by_zone, message.evacuations_by_zone
    )
    for digest, crashes in view.crashes_by_digest.items():
        message.strikes.add(
            digest=digest,
            crashes=crashes,
            crash_wall_s=view.crash_wall_s_by_digest.get(digest, ()),
        )
    _versions.fill_verdicts(view.verdicts_by_version, message.verdicts)
    _versions.fill_rollouts(view.rollout_steps_by_model, message.rollouts)
    return message


def decode_view(
    message: state_pb2.ViewMessage,
    previous: _view.View,
    parser: _parser.RulesParser,
) -> _view.View:
    """Builds a view; parses the rules only if their number has changed.

    Raises:
        ValueError: The rules cannot be parsed by this version.
    """
    parsed: rules.Rules | core.Missing = previous.rules
    text = previous.rules_text
    if message.rules_number != previous.rules_number:
        text = message.rules_text
        result = parser.parse(text)
        if isinstance(result, tuple):
            raise ValueError(
                f"rules {message.rules_number} cannot be parsed: {result[0]}"
            )
        parsed = result
    routing = previous.routing
    if message.routing.version != previous.routing.version:
        routing = _routing.read_document(message.routing)
    return _view.View(
        revision=message.revision,
        rules_number=message.rules_number,
        rules=parsed,
        rules_text=text,
        verdicts_by_version=_versions.read_verdicts(message.verdicts),
        rollout_steps_by_model=_versions.read_rollouts(message.rollouts),
        strikes_by_digest=dict(message.strikes_by_digest),
        voters_by_name=dict(message.voters_by_name),
        routing=routing,
        service_rollouts_by_service=_routing.read_rollouts(
            message.service_rollouts_by_service
        ),
        crashes_by_digest={
            item.digest: tuple(item.crashes) for item in message.strikes
        },
        crash_wall_s_by_digest={
            item.digest: _versions.crash_times(item) for item in message.strikes
        },
        evacuations_by_zone=_evacuations.read_evacuations(
            message.evacuations_by_zone
        ),
    )
