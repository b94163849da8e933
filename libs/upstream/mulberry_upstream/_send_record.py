"""Attempts to send a request to upstreams, and the resulting run state."""

import enum
import threading

import mulberry_core as core


class AttemptState(enum.Enum):
    """What is known about one attempt to send a request."""

    #: A byte may have reached the upstream.
    OPEN = "open"
    #: It is certain that no byte was sent.
    NOT_SENT = "not_sent"
    #: The upstream stated that it did not run the request.
    REFUSED = "refused"
    #: The upstream answered the request completely or in part.
    ANSWERED = "answered"


#: All states but `OPEN` are final.
_ALLOWED_TRANSITIONS = {
    AttemptState.OPEN: frozenset(AttemptState),
    AttemptState.NOT_SENT: frozenset({AttemptState.NOT_SENT}),
    AttemptState.REFUSED: frozenset({AttemptState.REFUSED}),
    AttemptState.ANSWERED: frozenset({AttemptState.ANSWERED}),
}


class SendAttempt:
    """One attempt; assumed to be sent unless it is settled otherwise."""

    def __init__(self, upstream: str) -> None:
        #: Name of the upstream.
        self.upstream = upstream
        self._state = AttemptState.OPEN

    @property
    def state(self) -> AttemptState:
        """The current state."""
        return self._state

    def settle(self, state: AttemptState) -> None:
        """Sets the state; ignored if the current state is final."""
        if state in _ALLOWED_TRANSITIONS[self._state]:
            self._state = state


class SendRecord:
    """All attempts of one request, including retries and cascade steps.

    It is the only source of run states.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._attempts: list[SendAttempt] = []

    def begin(self, upstream: str) -> SendAttempt:
        """Starts an attempt; must be called before a byte can be sent."""
        attempt = SendAttempt(upstream)
        with self._lock:
            self._attempts.append(attempt)
        return attempt

    @property
    def attempts(self) -> tuple[SendAttempt, ...]:
        """The attempts in the order of their start."""
        with self._lock:
            return tuple(self._attempts)

    @property
    def run(self) -> core.RunState:
        """Whether any upstream has run the request."""
        states = {attempt.state for attempt in self.attempts}
        if AttemptState.ANSWERED in states:
            return core.RunState.RAN
        if AttemptState.OPEN in states:
            return core.RunState.UNKNOWN
        return core.RunState.NOT_RUN

    def refuse(
        self,
        kind: core.ErrorKind,
        reason: str,
        retry_after_s: float | core.Missing = core.Missing.UNSET,
    ) -> core.Refusal:
        """Returns a refusal with the run state of the attempts."""
        return core.Refusal(kind, self.run, reason, retry_after_s)
