"""Session pins, which keep a session on one version, with a cache."""

import collections
import dataclasses
import threading
import uuid

import mulberry_core as core
import mulberry_state as state

#: Pins cached by one entry; the replicated log holds all of them.
_MAX_CACHED_PINS = 100_000

_PIN_TIMEOUT_S = 2.0

_Key = tuple[str, str, str]


@dataclasses.dataclass(frozen=True)
class PinValidator:
    """Identifies the rules and verdicts that a pin was confirmed under.

    A pin moves only after a change of these made its version unusable.
    """

    rules_number: int
    #: Number of the newest verdict on each version that has one.
    verdicts: frozenset[tuple[tuple[str, str], int]]


@dataclasses.dataclass(frozen=True)
class Pin:
    """The version that the replicated state assigned to a session."""

    version: str
    validator: PinValidator


def validator_of(view: state.View) -> PinValidator:
    """Returns the validator for the rules and verdicts of a view."""
    return PinValidator(
        view.rules_number,
        frozenset(
            (key, verdict.number)
            for key, verdict in view.verdicts_by_version.items()
        ),
    )


class SessionPins:
    """Commits session pins to the replicated state and caches them.

    A cached pin is stale under other rules or verdicts: another entry may have
    moved the session while its version was unusable.
    """

    def __init__(
        self, client: state.StateClient, counters: core.Counters
    ) -> None:
        self._client = client
        self._counters = counters
        self._lock = threading.Lock()
        self._pin_by_key: collections.OrderedDict[_Key, Pin] = (
            collections.OrderedDict()
        )

    def cached(self, team: str, session: str, model: str) -> Pin | core.Missing:
        """Returns the cached pin, which may be stale."""
        key = (team, session, model)
        with self._lock:
            if key not in self._pin_by_key:
                return core.Missing.UNSET
            self._pin_by_key.move_to_end(key)
            return self._pin_by_key[key]

    def pin(
        self,
        team: str,
        session: str,
        model: str,
        proposed: str,
        validator: PinValidator,
    ) -> str:
        """Commits a pin and returns the version that the session keeps.

        Args:
            team: Team of the caller.
            session: Session of the caller.
            model: Model that will run the request.
            proposed: Version to pin if the session has no usable one.
            validator: Validator of the view that `proposed` was chosen from.

        Without a quorum the proposed version is used and the next request
        tries again to pin it. Requests continue while the rules lease is
        valid, and every entry derives the same proposal from the session id.
        """
        command = state.PinSession(
            uuid.uuid4().hex, team, session, model, proposed
        )
        result = self._client.propose(command, _PIN_TIMEOUT_S)
        if not isinstance(result, state.SessionPinned):
            self._counters.increment("entry.pin_not_recorded")
            return proposed
        with self._lock:
            self._pin_by_key[(team, session, model)] = Pin(
                result.version, validator
            )
            if len(self._pin_by_key) > _MAX_CACHED_PINS:
                self._pin_by_key.popitem(last=False)
        return result.version
