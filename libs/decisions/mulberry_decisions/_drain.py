"""Connection draining: requests accepted during a shutdown."""

import threading

import mulberry_core as core

#: Share of the grace period after which new streams are refused. They last a
#: few seconds and would most likely be cut off at the end of the period.
_STREAM_CUTOFF = 0.35


class Drain:
    """Refuses requests that cannot end before the process does.

    Callers with an outdated list of instances or an open connection still send
    requests during a shutdown. A request that is accepted too late is cut off,
    although another instance would have served it.
    """

    def __init__(self, grace_s: float, clock: core.Clock) -> None:
        self._grace_s = grace_s
        self._clock = clock
        self._began_s: float | core.Missing = core.Missing.UNSET
        self._begun = threading.Event()
        self._ended = threading.Event()

    def begin(self) -> None:
        """Starts the grace period."""
        self._began_s = self._clock.now()
        self._begun.set()

    def end(self) -> None:
        """Refuses further requests; the process exits once it is idle.

        Callers still have open connections, and a request that is forwarded
        now would be cut off.
        """
        self._ended.set()

    @property
    def has_begun(self) -> bool:
        """Whether the shutdown has begun."""
        return self._begun.is_set()

    def may_accept(self, is_stream: bool, max_duration_s: float) -> bool:
        """Whether a request is expected to end within the grace period.

        Args:
            is_stream: Whether the response is an event stream.
            max_duration_s: Longest duration of other requests, seconds.
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
