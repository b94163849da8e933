"""Team limits divided between entries in proportion to demand."""

import dataclasses
import math
import random
import threading
from collections.abc import Mapping

import mulberry_core as core
from mulberry_decisions import _limits

#: Time constant of the average demand, seconds. It is the same at all entries,
#: so that the sum stays correct while callers move between entries.
_DEMAND_WINDOW_S = 4.0
#: EWMA weight of a settled request in the ratio of used to expected tokens.
_RATIO_GAIN = 0.02


@dataclasses.dataclass
class _TeamDemand:
    #: Average demand per second as of `updated_s`.
    requests: float = 0.0
    tokens: float = 0.0
    updated_s: float = 0.0
    #: Fraction of a request carried over to the next one, below 1.
    credit: float = 0.0
    #: Ratio of used to expected tokens.
    ratio: float = 1.0


class ProportionalLimiter(_limits.TeamLimiter):
    """Admits the share of requests that keeps the total at the limit.

    With a limit of L and a demand of D over all entries, each entry admits
    L / D of its own demand, which equals L times its own share of the
    demand. A fraction is carried over from request to request. Entries with
    few requests start at a random fraction; otherwise all of them would
    admit their first request, or none would.
    """

    def __init__(self, clock: core.Clock, seed: int | None = None) -> None:
        self._clock = clock
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._limits: dict[str, _limits.TeamLimit] = {}
        self._teams: dict[str, _TeamDemand] = {}
        self._remote_demand: dict[str, _limits.Demand] = {}

    def set_limits(
        self, limits_by_team: Mapping[str, _limits.TeamLimit]
    ) -> None:
        """Sets the limits; teams without an entry are not limited."""
        with self._lock:
            self._limits = dict(limits_by_team)

    def take(
        self, team: str, tokens: int
    ) -> _limits.TokenReservation | core.Refusal:
        """Admits the request if the team's carried fraction reaches 1."""
        with self._lock:
            limit = self._limits.get(team)
            if limit is None:
                return _limits.TokenReservation(team, tokens)
            state = self._decayed_state(team)
            state.requests += 1.0 / _DEMAND_WINDOW_S
            state.tokens += tokens * state.ratio / _DEMAND_WINDOW_S
            share = self._admitted_share(team, limit, state)
            if share < 1.0:
                state.credit += share
                if state.credit < 1.0:
                    after_s = (1.0 - state.credit) / max(
                        1e-3, share * state.requests
                    )
                    return _limits.limit_exceeded(team, min(10.0, after_s))
                state.credit -= 1.0
        return _limits.TokenReservation(team, tokens)

    def settle(
        self, reservation: _limits.TokenReservation, used_tokens: int
    ) -> None:
        """Updates the ratio of used to expected tokens."""
        with self._lock:
            state = self._teams.get(reservation.team)
            if state is not None and reservation.tokens > 0:
                ratio = used_tokens / reservation.tokens
                state.ratio += _RATIO_GAIN * (ratio - state.ratio)

    def demand(self) -> Mapping[str, _limits.Demand]:
        """Returns the average demand of limited teams at this entry."""
        with self._lock:
            states = {team: self._decayed_state(team) for team in self._teams}
            return {
                team: _limits.Demand(state.requests, state.tokens)
                for team, state in states.items()
            }

    def merge(
        self,
        demand_by_instance: Mapping[str, Mapping[str, _limits.Demand]],
    ) -> None:
        """Replaces the demand of the other entries."""
        totals: dict[str, _limits.Demand] = {}
        for by_team in demand_by_instance.values():
            for team, demand in by_team.items():
                total = totals.get(team, _limits.Demand())
                totals[team] = _limits.Demand(
                    total.requests_per_s + demand.requests_per_s,
                    total.tokens_per_s + demand.tokens_per_s,
                )
        with self._lock:
            self._remote_demand = totals

    def _decayed_state(self, team: str) -> _TeamDemand:
        now_s = self._clock.now()
        state = self._teams.get(team)
        if state is None:
            state = _TeamDemand(updated_s=now_s, credit=self._random.random())
            self._teams[team] = state
        factor = math.exp((state.updated_s - now_s) / _DEMAND_WINDOW_S)
        state.requests *= factor
        state.tokens *= factor
        state.updated_s = now_s
        return state

    def _admitted_share(
        self, team: str, limit: _limits.TeamLimit, state: _TeamDemand
    ) -> float:
        remote = self._remote_demand.get(team, _limits.Demand())
        share = 1.0
        if not isinstance(limit.requests_per_s, core.Missing):
            total = state.requests + remote.requests_per_s
            share = min(share, limit.requests_per_s / max(1e-9, total))
        if not isinstance(limit.tokens_per_s, core.Missing):
            total = state.tokens + remote.tokens_per_s
            share = min(share, limit.tokens_per_s / max(1e-9, total))
        return share
