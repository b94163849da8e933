"""Which requests an instance still takes while it stops."""

import threading

import mulberry_core as core

#: Part of the grace period after which a new stream would most likely be cut
#: at its end; streams last a few seconds.
_STREAM_CUTOFF = 0.35


class Drain:
    """Refuses what cannot end before the process does.

    Answers callers that keep an outdated list or an open connection while an
    instance stops: a request that is taken too late is cut, although another
    instance would have served it.
    """

    def __init__(self, grace_s: float, clock: core.Clock) -> None:
        self._grace_s = grace_s
        self._clock = clock
        self._began_s: float | core.Missing = core.Missing.UNSET
        self._begun = threading.Event()
        self._ended = threading.Event()

    def begin(self) -> None:
        """Notes that the instance was told to stop, just now."""
        self._began_s = self._clock.now()
        self._begun.set()

    def end(self) -> None:
        """Takes nothing more: the process ends once nothing runs.

        Callers still hold open connections, and a request that is passed on
        now would be cut.
        """
        self._ended.set()

    @property
    def has_begun(self) -> bool:
        """Whether the instance was told to stop."""
        return self._begun.is_set()

    def may_accept(self, is_stream: bool, max_duration_s: float) -> bool:
        """Whether a request can be expected to end in time.

        Args:
            is_stream: Whether the answer is a stream of events.
            max_duration_s: Time within which other requests end, seconds.
        """
        if self._ended.is_set():
            return False
        began_s = self._began_s
        if isinstance(began_s, core.Missing):
            return True
        elapsed_s = self._clock.now() - began_s
        if is_stream:
            return elapsed_s < self._grace_s * _STREAM_CUTOFF
        return elapsed_s + max_duration_s < self._grace_s
