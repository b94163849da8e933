"""Rate limits of teams over all entries: interface and baseline."""

import abc
import dataclasses
import threading
from collections.abc import Mapping

import mulberry_core as core

#: Rate without a limit; infinity times zero seconds would be NaN.
_UNLIMITED_PER_S = 1e12


@dataclasses.dataclass(frozen=True)
class TeamLimit:
    """Rate limits of a team over all entries together."""

    requests_per_s: float | core.Missing = core.Missing.UNLIMITED
    tokens_per_s: float | core.Missing = core.Missing.UNLIMITED


@dataclasses.dataclass(frozen=True)
class Demand:
    """Demand of a team at one entry, including refused requests."""

    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class TokenReservation:
    """Tokens reserved for a request that is within its team's limit."""

    team: str
    #: Expected tokens.
    tokens: int


class TeamLimiter(abc.ABC):
    """Enforces the limit of each team over all entries."""

    @abc.abstractmethod
    def set_limits(self, limits_by_team: Mapping[str, TeamLimit]) -> None:
        """Sets the limits; teams without an entry are not limited."""

    @abc.abstractmethod
    def take(self, team: str, tokens: int) -> TokenReservation | core.Refusal:
        """Charges one request and its expected tokens to the team.

        Returns:
            The reservation, or a refusal of kind `LIMIT_EXCEEDED`.
        """

    @abc.abstractmethod
    def settle(self, reservation: TokenReservation, used_tokens: int) -> None:
        """Replaces the reserved tokens with the used ones."""

    @abc.abstractmethod
    def demand(self) -> Mapping[str, Demand]:
        """Returns the demand by team at this entry, for the other entries."""

    @abc.abstractmethod
    def merge(
        self, demand_by_instance: Mapping[str, Mapping[str, Demand]]
    ) -> None:
        """Replaces the demand of the other entries.

        Args:
            demand_by_instance: Demand by team of each live instance other
                than this one.
        """


def limit_exceeded(team: str, after_s: float) -> core.Refusal:
    """Returns the refusal of a request over its team's limit."""
    return core.Refusal(
        core.ErrorKind.LIMIT_EXCEEDED,
        core.RunState.NOT_RUN,
        f"team {team} has used up its limit",
        retry_after_s=max(0.1, after_s),
    )


class EqualShareLimiter(TeamLimiter):
    """Token buckets that divide each limit equally between the entries.

    The demand at an entry does not change its share.
    """

    #: Size of a bucket, in seconds of its rate.
    BURST_S = 1.0

    def __init__(self, clock: core.Clock, entries: int = 1) -> None:
        self._clock = clock
        self._entries = entries
        self._lock = threading.Lock()
        self._limits: dict[str, TeamLimit] = {}
        #: Level of the request bucket and of the token bucket, by team.
        self._available: dict[str, list[float]] = {}
        self._refilled_at_s: dict[str, float] = {}

    def set_limits(self, limits_by_team: Mapping[str, TeamLimit]) -> None:
        """Sets the limits."""
        with self._lock:
            self._limits = dict(limits_by_team)

    def take(self, team: str, tokens: int) -> TokenReservation | core.Refusal:
        """Takes a request and its tokens from the buckets of the team."""
        with self._lock:
            rates = self._rates(team)
            available = self._refill(team, rates)
            if available[0] < 1.0 or available[1] <= 0.0:
                return limit_exceeded(team, 1.0 / rates[0])
            available[0] -= 1.0
            available[1] -= tokens
        return TokenReservation(team, tokens)

    def settle(self, reservation: TokenReservation, used_tokens: int) -> None:
        """Puts unused tokens back into the bucket."""
        with self._lock:
            if reservation.team in self._available:
                self._available[reservation.team][1] += (
                    reservation.tokens - used_tokens
                )

    def demand(self) -> Mapping[str, Demand]:
        """Returns nothing; the shares do not depend on demand."""
        return {}

    def merge(
        self, demand_by_instance: Mapping[str, Mapping[str, Demand]]
    ) -> None:
        """Sets the number of entries to that of the live instances."""
        with self._lock:
            self._entries = len(demand_by_instance) + 1

    def _rates(self, team: str) -> tuple[float, float]:
        limit = self._limits.get(team, TeamLimit())
        requests, tokens = limit.requests_per_s, limit.tokens_per_s
        return (
            _UNLIMITED_PER_S
            if isinstance(requests, core.Missing)
            else max(1e-9, requests / self._entries),
            _UNLIMITED_PER_S
            if isinstance(tokens, core.Missing)
            else max(1e-9, tokens / self._entries),
        )

    def _refill(self, team: str, rates: tuple[float, float]) -> list[float]:
        now = self._clock.now()
        since_s = now - self._refilled_at_s.get(team, float("-inf"))
        self._refilled_at_s[team] = now
        available = self._available.setdefault(team, [0.0, 0.0])
        for index, rate in enumerate(rates):
            # A bucket of less than one request would refuse all requests.
            bucket_size = max(1.0, rate * self.BURST_S)
            available[index] = min(
                bucket_size, available[index] + rate * since_s
            )
        return available
