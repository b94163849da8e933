"""Sessions keep their version: pins, with a cache at the entry."""

import collections
import threading
import uuid

import mulberry_core as core
import mulberry_state as state

#: Sessions remembered by one entry; the log knows the rest.
_CACHED_PINS = 100_000

_PIN_TIMEOUT_S = 2.0

_Key = tuple[str, str, str]


class SessionPins:
    """Asks the replicated state once for each session and model."""

    def __init__(
        self, client: state.StateClient, counters: core.Counters
    ) -> None:
        self._client = client
        self._counters = counters
        self._lock = threading.Lock()
        self._version_by_key: collections.OrderedDict[_Key, str] = (
            collections.OrderedDict()
        )

    def known(self, team: str, session: str, model: str) -> str | core.Missing:
        """Returns the pin if this entry remembers it."""
        key = (team, session, model)
        with self._lock:
            if key not in self._version_by_key:
                return core.Missing.UNSET
            self._version_by_key.move_to_end(key)
            return self._version_by_key[key]

    def pin(self, team: str, session: str, model: str, proposed: str) -> str:
        """Returns the version that the session keeps.

        Without a quorum the proposal is used and the pin is left for the
        next request: lookups and plans go on while the rules lease lasts,
        and every entry derives the same proposal from the session id.
        """
        command = state.PinSession(
            uuid.uuid4().hex, team, session, model, proposed
        )
        result = self._client.propose(command, _PIN_TIMEOUT_S)
        if not isinstance(result, state.SessionPinned):
            self._counters.increment("entry.pin_not_recorded")
            return proposed
        with self._lock:
            self._version_by_key[(team, session, model)] = result.version
            if len(self._version_by_key) > _CACHED_PINS:
                self._version_by_key.popitem(last=False)
        return result.version
