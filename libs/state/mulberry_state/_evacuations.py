"""The evacuated zones."""

from collections.abc import Mapping
from typing import Any

from mulberry_state import _codec, _commands, _routing, _view

_NEVER_EVACUATED = _view.Evacuation(0, False, 0.0)


class EvacuationState:
    """The evacuations of the state machine."""

    def __init__(self) -> None:
        self.by_zone: dict[str, _view.Evacuation] = {}

    def apply(
        self, command: _commands.ChangeEvacuation, wall_s: float
    ) -> _routing.RoutingChange:
        """Starts or ends an evacuation; a repeated order changes nothing."""
        old = self.by_zone.get(command.zone, _NEVER_EVACUATED)
        if (
            old.is_evacuated == command.is_evacuated
            or old.number != command.after_number
        ):
            return _routing.RoutingChange(
                _commands.EvacuationChanged(False, old.number, old.is_evacuated)
            )
        new = _view.Evacuation(old.number + 1, command.is_evacuated, wall_s)
        self.by_zone[command.zone] = new
        action = "started" if new.is_evacuated else "ended"
        return _routing.RoutingChange(
            _commands.EvacuationChanged(True, new.number, new.is_evacuated),
            command.operator,
            f"evacuation of zone {command.zone} {action}, change {new.number}",
        )

    def write(self, snapshot: Any) -> None:
        """Copies the state into a snapshot."""
        fill_evacuations(self.by_zone, snapshot.evacuations_by_zone)

    def restore(self, snapshot: Any) -> None:
        """Replaces the state by that of a snapshot."""
        self.by_zone = read_evacuations(snapshot.evacuations_by_zone)


def fill_evacuations(
    evacuations: Mapping[str, _view.Evacuation], target: Any
) -> None:
    """Copies evacuations into a map field."""
    for zone, evacuation in evacuations.items():
        _codec.fill(evacuation, target[zone])


def read_evacuations(source: Any) -> dict[str, _view.Evacuation]:
    """Reads evacuations by zone."""
    return {
        zone: _codec.read(_view.Evacuation, message)
        for zone, message in source.items()
    }
