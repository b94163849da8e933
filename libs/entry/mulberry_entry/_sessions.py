"""Sessions keep their version: pins, with a cache at the entry."""

import collections
import dataclasses
import threading
import uuid

import mulberry_core as core
import mulberry_state as state

#: Sessions remembered by one entry; the log knows the rest.
_MAX_CACHED_PINS = 100_000

_PIN_TIMEOUT_S = 2.0

_Key = tuple[str, str, str]


@dataclasses.dataclass(frozen=True)
class PinValidator:
    """The rules and verdicts that a pin was confirmed under.

    A pin moves only after one of them made its version unusable.
    """

    rules_number: int
    #: Number of the newest verdict on each version that has one.
    verdicts: frozenset[tuple[tuple[str, str], int]]


@dataclasses.dataclass(frozen=True)
class Pin:
    """A version that the replicated state gave to a session."""

    version: str
    validator: PinValidator


def validator_of(view: state.View) -> PinValidator:
    """Returns the stamp of a view."""
    return PinValidator(
        view.rules_number,
        frozenset(
            (key, verdict.number)
            for key, verdict in view.verdicts_by_version.items()
        ),
    )


class SessionPins:
    """Asks the replicated state once for each session, model and stamp.

    A remembered pin is not trusted under other rules or verdicts: another
    entry may have moved the session while its version was unusable.
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
        """Returns the pin if this entry remembers it, fresh or not."""
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
        """Returns the version that the session keeps.

        Args:
            team: Team of the caller.
            session: Session of the caller.
            model: Model that will run the request.
            proposed: Used if the session has no usable version.
            validator: That of the view which `proposed` was chosen under.

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
            self._pin_by_key[(team, session, model)] = Pin(
                result.version, validator
            )
            if len(self._pin_by_key) > _MAX_CACHED_PINS:
                self._pin_by_key.popitem(last=False)
        return result.version
