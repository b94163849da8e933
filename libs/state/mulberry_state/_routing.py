"""The operator's routing document and the rollouts of services."""

import dataclasses
import zlib
from collections.abc import Callable, Mapping
from typing import Any

from mulberry_state import _codec, _commands, _invariants, _view

#: Routing documents repeat their field names; level 1 already shrinks a
#: document of 350 routes by a factor of about ten.
_ZLIB_LEVEL = 1


RoutingCommand = (
    _commands.ReplaceRouting
    | _commands.BeginServiceRollout
    | _commands.MoveServiceRollout
)


@dataclasses.dataclass(frozen=True)
class RoutingChange:
    """The result of a command, with its audit entry if it changed the view."""

    result: _commands.Result
    who: str = ""
    #: Description for the audit trail, empty if nothing changed.
    what: str = ""


class RoutingState:
    """The routing document and the service rollouts of the state machine."""

    def __init__(self) -> None:
        self.document = _view.NO_ROUTING
        self.rollout_by_service: dict[str, _view.ServiceRollout] = {}
        self._handlers: Mapping[type, Callable[[Any], RoutingChange]] = {
            _commands.ReplaceRouting: self._replace_document,
            _commands.BeginServiceRollout: self._begin_rollout,
            _commands.MoveServiceRollout: self._move_rollout,
        }

    def apply(self, command: RoutingCommand) -> "RoutingChange":
        """Applies a routing command."""
        return self._handlers[type(command)](command)

    def _replace_document(
        self, command: _commands.ReplaceRouting
    ) -> "RoutingChange":
        """Replaces the document if the new version is higher."""
        changed = command.version > self.document.version
        if changed:
            self.document = _view.RoutingDocument(
                command.version, command.document
            )
        return RoutingChange(
            _commands.RoutingReplaced(self.document.version, changed),
            command.operator,
            f"routing {command.version}" if changed else "",
        )

    def _begin_rollout(
        self, command: _commands.BeginServiceRollout
    ) -> "RoutingChange":
        """Starts a rollout, unless the latest one has the same target."""
        old = self.rollout_by_service.get(command.service)
        if old and old.target == command.target:
            return RoutingChange(_commands.ServiceRolloutBegun(old.number))
        number = old.number + 1 if old else 1
        self.rollout_by_service[command.service] = _view.ServiceRollout(
            number,
            command.target,
            command.duration_s,
            _commands.RolloutPhase.RUNNING,
            0.0,
            "ordered",
        )
        return RoutingChange(
            _commands.ServiceRolloutBegun(number),
            "operator",
            f"rollout {number} of {command.service} to {command.target} "
            f"within {command.duration_s:g} s",
        )

    def _move_rollout(
        self, command: _commands.MoveServiceRollout
    ) -> "RoutingChange":
        """Updates a running rollout; a rollout that has ended is final."""
        old = self.rollout_by_service.get(command.service)
        if (
            old is None
            or old.number != command.number
            or old.phase is not _commands.RolloutPhase.RUNNING
        ):
            return RoutingChange(_commands.ServiceRolloutMoved(False))
        self.rollout_by_service[command.service] = dataclasses.replace(
            old,
            phase=command.phase,
            share=command.share,
            reason=command.reason,
        )
        return RoutingChange(
            _commands.ServiceRolloutMoved(True),
            "roll-out",
            f"rollout {command.number} of {command.service} "
            f"{command.phase.value}, share {command.share:.2f}: "
            f"{command.reason}",
        )

    def write(self, snapshot: Any) -> None:
        """Copies the state into a snapshot."""
        fill_document(self.document, snapshot.routing)
        fill_rollouts(
            self.rollout_by_service, snapshot.service_rollouts_by_service
        )

    def restore(self, snapshot: Any) -> None:
        """Replaces the state by that of a snapshot."""
        document = read_document(snapshot.routing)
        _invariants.require(
            document.version >= self.document.version,
            "the snapshot has an older routing document",
        )
        self.document = document
        self.rollout_by_service = read_rollouts(
            snapshot.service_rollouts_by_service
        )


def fill_document(document: _view.RoutingDocument, target: Any) -> None:
    """Copies a document into its message."""
    target.version = document.version
    target.packed = zlib.compress(document.document, _ZLIB_LEVEL)


def read_document(source: Any) -> _view.RoutingDocument:
    """Reads a document from its message."""
    if not source.packed:
        return _view.RoutingDocument(source.version, b"")
    return _view.RoutingDocument(source.version, zlib.decompress(source.packed))


def fill_rollouts(
    rollouts: dict[str, _view.ServiceRollout], target: Any
) -> None:
    """Copies rollouts into a map field."""
    for service, rollout in rollouts.items():
        _codec.fill(rollout, target[service])


def read_rollouts(source: Any) -> dict[str, _view.ServiceRollout]:
    """Reads rollouts by service."""
    return {
        service: _codec.read(_view.ServiceRollout, message)
        for service, message in source.items()
    }
