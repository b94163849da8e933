"""Finds suspected strikes that their instance can no longer confirm."""

import random

import mulberry_core as core
import mulberry_membership as membership
from mulberry_gateway import _incomplete_runs, _strike_ledger, _strike_records

#: How long the instance that gave a strike has to confirm it after the end of
#: the upstream became known, seconds.
_MIN_DELAY_S = 1.5
#: The longest such time. Each instance draws its own, so that one confirms the
#: strikes of an instance that was killed and the others hear of it.
_MAX_DELAY_S = 3.0


class OrphanedStrikes:
    """Watches the upstreams of all suspected strikes.

    An instance watches the upstreams of its own runs. If it ends before they
    are known to be lost, the strikes would expire, and the requests could
    crash as many upstreams again.
    """

    def __init__(
        self,
        ledger: _strike_ledger.StrikeLedger,
        soft_state: membership.SoftState,
        clock: core.Clock,
    ) -> None:
        self._ledger = ledger
        self._soft_state = soft_state
        self._clock = clock
        self._delay_s = random.uniform(_MIN_DELAY_S, _MAX_DELAY_S)
        #: `Clock.now` when the end of an upstream became known, by crash id.
        self._ended_s_by_crash: dict[str, float] = {}

    def find_lost(self) -> list[_strike_records.Strike]:
        """Returns the strikes whose upstream was lost and nobody confirmed."""
        if self._soft_state.isolated_s() > 0.0:
            # Announcements of sound upstreams are missing as well.
            self._ended_s_by_crash.clear()
            return []
        now_s = self._clock.now()
        ended = [
            strike
            for strike in self._ledger.suspected()
            if _incomplete_runs.has_ended(
                self._soft_state, strike.upstream, strike.incarnation
            )
        ]
        self._ended_s_by_crash = {
            strike.crash_id: self._ended_s_by_crash.get(strike.crash_id, now_s)
            for strike in ended
        }
        return [
            strike
            for strike in ended
            if now_s - self._ended_s_by_crash[strike.crash_id] >= self._delay_s
        ]
