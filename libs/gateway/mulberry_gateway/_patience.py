"""Waits for an upstream as long as that makes sense."""

import math
import time
from collections.abc import Callable
from typing import TypeVar

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_gateway import _upstream_call

_T = TypeVar("_T")

#: Between two looks at a silent upstream, seconds.
_LOOK_PERIOD_S = 0.5


class Patience:
    """Reads from one attempt and watches for silence."""

    def __init__(
        self,
        call: _upstream_call.UpstreamCall,
        upstream: str,
        health: decisions.UpstreamHealth,
        clock: core.Clock,
    ) -> None:
        self._call = call
        self._upstream = upstream
        self._health = health
        self._clock = clock
        #: Time spent waiting since the last progress, seconds; not counted
        #: before the answer begins. The time for which the caller takes no
        #: bytes is not part of it.
        self._waited_s = -math.inf

    def note_progress(self) -> None:
        """Notes that the upstream has got on with the request."""
        self._waited_s = 0.0

    def read(
        self,
        read: Callable[[float], _T | _upstream_call.Fault],
        deadline_s: float,
        policy: decisions.InactivityPolicy | core.Missing,
    ) -> _T | _upstream_call.Fault:
        """Returns what was read, or the fault that ended the wait.

        Args:
            read: Waits for the seconds that it is given.
            deadline_s: `Clock.now` up to which to wait.
            policy: Unset to wait in any case, since nothing better than
                this attempt is possible.
        """
        if isinstance(policy, core.Missing):
            return read(deadline_s - self._clock.now())
        wait_s = policy.first_check_s
        while True:
            if policy.is_stalled(self._waited_s):
                return _upstream_call.Fault.LOST
            left_s = deadline_s - self._clock.now()
            began_s = time.monotonic()
            result = read(min(wait_s, left_s))
            self._waited_s += time.monotonic() - began_s
            if result is not _upstream_call.Fault.SILENT or left_s <= wait_s:
                return result
            if self._is_lost(policy):
                return _upstream_call.Fault.LOST
            wait_s = _LOOK_PERIOD_S

    def _is_lost(self, policy: decisions.InactivityPolicy) -> bool:
        silent_s = time.monotonic() - self._call.heard_s
        heard_s = self._health.last_success_s(self._upstream)
        step = policy.next_action(
            silent_s, self._clock.now() - heard_s < silent_s
        )
        if step is decisions.InactivityAction.PROBE:
            return not self._call.accepts_connections()
        return step is decisions.InactivityAction.ABANDON
