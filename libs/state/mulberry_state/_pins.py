"""Session pins: which model version a session uses."""

import dataclasses
from collections.abc import Callable, Iterable

from mulberry_state import _codec, _commands
from mulberry_wire import state_pb2

#: A session counts as ended if it was not pinned again for this long. Seconds.
PIN_RETENTION_S = 30 * 86_400.0

_Key = tuple[str, str, str]


@dataclasses.dataclass(frozen=True)
class SessionPin:
    """The version of a model that a session is pinned to."""

    team: str
    session: str
    model: str
    version: str
    #: Unix time of the last use, seconds.
    used_s: float


class Pins:
    """Pins by (team, session, model), least recently used first."""

    def __init__(self) -> None:
        self._pin_by_key: dict[_Key, SessionPin] = {}

    def version(self, command: _commands.PinSession) -> str:
        """Returns the version that the session is pinned to, empty if none."""
        pin = self._pin_by_key.get(_key_of(command))
        return pin.version if pin else ""

    def pin(
        self,
        command: _commands.PinSession,
        is_usable: Callable[[str, str], bool],
        wall_s: float,
    ) -> tuple[str, bool]:
        """Pins a session; the first pin wins while its version is usable.

        Returns:
            The version that the session is pinned to, and whether an earlier
            pin was moved to it.
        """
        key = _key_of(command)
        old = self._pin_by_key.pop(key, None)
        moved = (
            old is not None
            and old.version != command.version
            and not is_usable(command.model, old.version)
            and is_usable(command.model, command.version)
        )
        version = command.version if old is None or moved else old.version
        self._pin_by_key[key] = SessionPin(*key, version, wall_s)
        return version, moved

    def expire(self, wall_s: float) -> None:
        """Drops the pins of sessions that have ended."""
        while self._pin_by_key:
            key, pin = next(iter(self._pin_by_key.items()))
            if pin.used_s + PIN_RETENTION_S > wall_s:
                break
            del self._pin_by_key[key]

    def write(self, snapshot: state_pb2.StateSnapshot) -> None:
        """Copies the pins into a snapshot."""
        for pin in self._pin_by_key.values():
            _codec.fill(pin, snapshot.pins.add())

    def restore(self, messages: Iterable[state_pb2.SessionPin]) -> None:
        """Replaces the pins by those of a snapshot."""
        pins = [_codec.read(SessionPin, item) for item in messages]
        self._pin_by_key = {(p.team, p.session, p.model): p for p in pins}


def _key_of(command: _commands.PinSession) -> _Key:
    return command.team, command.session, command.model
