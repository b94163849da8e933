"""Connection draining: requests accepted during a shutdown."""

import math
import threading

import mulberry_core as core

#: Share of the grace period for which running requests are awaited. The rest is
#: for the last shutdown steps before SIGKILL.
_WAIT_SHARE = 0.94
#: Time from the end of a response at the upstream until it has been sent to the
#: caller, seconds.
_RESPONSE_MARGIN_S = 0.1
#: Share of the grace period after which a request is accepted only if its
#: deadline lies within the period. Before that, one that takes much longer
#: than expected is still running when the period ends; after that, it would
#: have been cut off although another instance could have served it.
_EXPECTATION_SHARE = 0.35


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

    @property
    def has_ended(self) -> bool:
        """Whether all further requests are refused."""
        return self._ended.is_set()

    def remaining_s(self) -> float:
        """Returns how long running requests are still awaited, seconds."""
        began_s = self._began_s
        if isinstance(began_s, core.Missing):
            return math.inf
        return began_s + self._grace_s * _WAIT_SHARE - self._clock.now()

    def may_accept(
        self,
        deadline_s: float,
        expected_s: float | core.Missing,
        may_break_off: bool,
    ) -> bool:
        """Whether a request is expected to end within the grace period.

        Must be asked again right before each send: a request may have waited
        for its body, for other upstreams or for a connection, or the process
        may have been suspended.

        Args:
            deadline_s: `Clock.now` by which the request ends in any case.
            expected_s: Time that such requests usually take at most, seconds;
                unset if it is not known.
            may_break_off: Whether the caller can send the request again if it
                takes longer than expected and is cut off.
        """
        if self._ended.is_set():
            return False
        began_s = self._began_s
        if isinstance(began_s, core.Missing):
            return True
        now_s = self._clock.now()
        left_s = self.remaining_s() - _RESPONSE_MARGIN_S
        if deadline_s - now_s <= left_s:
            return True
        if not may_break_off:
            return False
        if now_s - began_s >= self._grace_s * _EXPECTATION_SHARE:
            return False
        return isinstance(expected_s, core.Missing) or expected_s <= left_s
