"""Detects upstreams that stop making progress on a request."""

import enum
import math
import time
from collections.abc import Callable
from typing import TypeVar

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_gateway import _replacement, _upstream_call

_T = TypeVar("_T")

#: Interval between checks of an inactive upstream, seconds.
_CHECK_PERIOD_S = 0.5


class AbandonReason(enum.Enum):
    """Why an upstream was abandoned while it had the request."""

    #: It sent nothing and accepted no other connection.
    NO_CONNECTION = "no_connection"
    #: It sent nothing, also for other requests.
    INACTIVE = "inactive"
    #: It sent bytes, but no part of the answer.
    NO_PROGRESS = "no_progress"


class StallDetector:
    """Reads the response of one attempt and detects stalls."""

    def __init__(
        self,
        call: _upstream_call.UpstreamCall,
        upstream: str,
        health: decisions.UpstreamHealth,
        clock: core.Clock,
        replacement: _replacement.Replacement,
    ) -> None:
        self._call = call
        self._upstream = upstream
        self._health = health
        self._clock = clock
        self._replacement = replacement
        #: Time spent reading since the last progress, seconds; minus infinity
        #: before the answer begins. Excludes the time in which the caller
        #: accepts no bytes, because nothing is read then.
        self._stalled_s = -math.inf
        #: `Clock.now` before which the run is not given up, seconds.
        self._next_abandon_s = -math.inf
        #: Why the upstream was abandoned; unset before that.
        self.abandon_reason: AbandonReason | core.Missing = core.Missing.UNSET

    @property
    def inactive_s(self) -> float:
        """Time since data arrived for this request, seconds."""
        return time.monotonic() - self._call.last_received_s

    def note_progress(self) -> None:
        """Records that the upstream made progress on the request."""
        self._stalled_s = 0.0

    def read(
        self,
        read: Callable[[float], _T | _upstream_call.Fault],
        deadline_s: float,
        policy: decisions.InactivityPolicy | core.Missing,
    ) -> _T | _upstream_call.Fault:
        """Returns what `read` returned, or the fault that ended the wait.

        Args:
            read: Reads with the given timeout in seconds.
            deadline_s: `Clock.now` at which the wait ends.
            policy: When to abandon an inactive upstream if another one can
                take over; unset to wait until the deadline because no other
                attempt is possible.
        """
        if isinstance(policy, core.Missing):
            return read(deadline_s - self._clock.now())
        timeout_s = policy.first_check_s
        while True:
            if policy.is_stalled(self._stalled_s) and self._abandon(
                AbandonReason.NO_PROGRESS
            ):
                return _upstream_call.Fault.LOST
            remaining_s = deadline_s - self._clock.now()
            began_s = time.monotonic()
            result = read(min(timeout_s, remaining_s))
            self._stalled_s += time.monotonic() - began_s
            if (
                result is not _upstream_call.Fault.SILENT
                or remaining_s <= timeout_s
            ):
                return result
            reason = self._check(policy)
            if isinstance(reason, AbandonReason) and self._abandon(reason):
                return self._read_late(read)
            timeout_s = _CHECK_PERIOD_S

    def _abandon(self, reason: AbandonReason) -> bool:
        """Whether the run was given up for another upstream."""
        now_s = self._clock.now()
        if now_s < self._next_abandon_s:
            return False
        if not self._replacement.secure():
            self._next_abandon_s = now_s + _CHECK_PERIOD_S
            return False
        self.abandon_reason = reason
        return True

    def _read_late(
        self, read: Callable[[float], _T | _upstream_call.Fault]
    ) -> _T | _upstream_call.Fault:
        """Returns what arrived while the replacement was connected, if any."""
        late = read(0.0)
        if late is _upstream_call.Fault.SILENT:
            return _upstream_call.Fault.LOST
        self.abandon_reason = core.Missing.UNSET
        if not isinstance(late, _upstream_call.Fault):
            self._replacement.discard()
        return late

    def _check(
        self, policy: decisions.InactivityPolicy
    ) -> AbandonReason | core.Missing:
        """Returns why to abandon an inactive upstream; unset to wait."""
        inactive_s = self.inactive_s
        last_success_s = self._health.last_success_s(self._upstream)
        action = policy.next_action(
            inactive_s, self._clock.now() - last_success_s < inactive_s
        )
        if action is decisions.InactivityAction.ABANDON:
            return AbandonReason.INACTIVE
        if (
            action is decisions.InactivityAction.PROBE
            and not self._call.accepts_connections()
        ):
            return AbandonReason.NO_CONNECTION
        return core.Missing.UNSET
