"""What was sent to upstreams for one request; the only source of run states."""

import enum
import threading

import mulberry_core as core


class AttemptState(enum.Enum):
    """What is known of one attempt to send a request to an upstream."""

    #: A byte may have reached the upstream.
    OPEN = "open"
    #: Provably no byte was sent.
    NOT_SENT = "not_sent"
    #: The upstream stated that it did not run the request.
    REFUSED = "refused"
    #: The upstream answered this request, wholly or in part.
    ANSWERED = "answered"


#: An attempt leaves `OPEN` once; a request that was answered stays answered.
_ALLOWED_TRANSITIONS = {
    AttemptState.OPEN: frozenset(AttemptState),
    AttemptState.NOT_SENT: frozenset({AttemptState.NOT_SENT}),
    AttemptState.REFUSED: frozenset({AttemptState.REFUSED}),
    AttemptState.ANSWERED: frozenset({AttemptState.ANSWERED}),
}


class SendAttempt:
    """One attempt; counts as sent from its creation until proved otherwise."""

    def __init__(self, upstream: str) -> None:
        #: Name of the upstream.
        self.upstream = upstream
        self._state = AttemptState.OPEN

    @property
    def state(self) -> AttemptState:
        """What is known now."""
        return self._state

    def settle(self, state: AttemptState) -> None:
        """Records what was learned; later contrary news is ignored."""
        if state in _ALLOWED_TRANSITIONS[self._state]:
            self._state = state


class SendRecord:
    """All attempts of one request, over every retry and cascade step."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._attempts: list[SendAttempt] = []

    def begin(self, upstream: str) -> SendAttempt:
        """Opens an attempt; called before the first byte can be sent."""
        attempt = SendAttempt(upstream)
        with self._lock:
            self._attempts.append(attempt)
        return attempt

    @property
    def attempts(self) -> tuple[SendAttempt, ...]:
        """The attempts in the order in which they began."""
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
        """Builds a refusal whose run state follows from the attempts."""
        return core.Refusal(kind, self.run, reason, retry_after_s)
