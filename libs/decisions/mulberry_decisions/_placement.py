"""Where a request runs: placement over upstreams that many entries share."""

import abc
import dataclasses
import random
from collections.abc import Sequence

import mulberry_core as core

#: Load that an upstream in another zone must be below to be taken instead of
#: one in the own zone, as a share of its slots.
_CROSS_ZONE_COST = 0.1
#: Sessions stay in their entry's zone while its mean load is above that of
#: all zones by less than this share of the slots that are free. Full engines
#: make requests wait, busy ones only slow them down.
_ZONE_HEADROOM = 0.15
#: Load that a share of failures of 1 counts for.
_FAILURE_COST = 4.0
#: An upstream takes a session's requests while its load is below this
#: multiple of the mean, plus `_SPILL_SLACK`.
_SPILL_FACTOR = 1.15
#: As a share of its slots: small numbers vary without any overload.
_SPILL_SLACK = 0.05


@dataclasses.dataclass(frozen=True)
class UpstreamCandidate:
    """One upstream that could run a request."""

    name: str
    zone: str
    #: Requests that it runs at once.
    slots: int
    #: Requests believed to be running or waiting there.
    load: float
    #: Recent share of failures, 0 to 1.
    failure_rate: float = 0.0

    @property
    def utilization(self) -> float:
        """Load as a share of the slots."""
        return self.load / max(1, self.slots)

    @property
    def cost(self) -> float:
        """Load share, and more where requests fail."""
        return self.utilization + _FAILURE_COST * self.failure_rate


class Placement(abc.ABC):
    """Chooses one of several places."""

    def choose(
        self, candidates: Sequence[UpstreamCandidate], session: str
    ) -> UpstreamCandidate | core.Missing:
        """Returns the place to send to, unset if there is none.

        Args:
            candidates: Upstreams that may run the request.
            session: Requests of one session share work that an upstream
                keeps; empty for none.
        """
        return (
            self._choose(candidates, session)
            if candidates
            else core.Missing.UNSET
        )

    @abc.abstractmethod
    def _choose(
        self, candidates: Sequence[UpstreamCandidate], session: str
    ) -> UpstreamCandidate:
        """Chooses one of at least one places."""


class PowerOfTwoChoices(Placement):
    """Takes the better of two random places, one in its zone if there is one.

    Answers many entries that decide on the same reports: with the least
    loaded of all they would all send to the same upstream.
    """

    def __init__(self, zone: str, rng: random.Random | None = None) -> None:
        self._zone = zone
        self._random = rng or random.Random()

    def _choose(
        self, candidates: Sequence[UpstreamCandidate], session: str
    ) -> UpstreamCandidate:
        local = _in_zone(candidates, self._zone)
        first = self._random.choice(local or candidates)
        others = [
            candidate for candidate in candidates if candidate is not first
        ]
        if not others:
            return first
        return min((first, self._random.choice(others)), key=self._cost)

    def _cost(self, candidate: UpstreamCandidate) -> float:
        return candidate.cost + (
            _CROSS_ZONE_COST if candidate.zone != self._zone else 0.0
        )


class SessionAffinity(Placement):
    """Sends a session to the same upstream from every entry, within bounds.

    Answers prompts with shared parts: all entries of a zone compute the same
    order of upstreams for a session, so its prompt is read on one of them. A
    session that gets much of the traffic spills over to the next in its order
    once its upstream has more than its part of the load.

    Answers zones that pay for what passes between them: callers use entries
    of their own zone, and a session keeps to upstreams of that zone while
    they are not much busier than the others.
    """

    def __init__(self, zone: str, fallback: Placement) -> None:
        self._zone = zone
        self._fallback = fallback

    def _choose(
        self, candidates: Sequence[UpstreamCandidate], session: str
    ) -> UpstreamCandidate:
        if not session:
            chosen = self._fallback.choose(candidates, session)
            return (
                chosen
                if isinstance(chosen, UpstreamCandidate)
                else candidates[0]
            )
        local = _in_zone(candidates, self._zone)
        mean = _mean_utilization(candidates)
        if local and _mean_utilization(local) <= mean + _ZONE_HEADROOM * max(
            0.0, 1.0 - mean
        ):
            candidates = local
        limit = _SPILL_FACTOR * _mean_utilization(candidates) + _SPILL_SLACK
        ranked = sorted(
            candidates,
            key=lambda candidate: _rank(session, candidate.name),
            reverse=True,
        )
        for candidate in ranked:
            if candidate.utilization + candidate.failure_rate <= limit:
                return candidate
        return min(candidates, key=lambda candidate: candidate.cost)


def _in_zone(
    candidates: Sequence[UpstreamCandidate], zone: str
) -> list[UpstreamCandidate]:
    """Returns the places of one zone."""
    return [candidate for candidate in candidates if candidate.zone == zone]


def _mean_utilization(candidates: Sequence[UpstreamCandidate]) -> float:
    return sum(candidate.utilization for candidate in candidates) / len(
        candidates
    )


def _rank(session: str, name: str) -> int:
    """Highest-random-weight hashing: few sessions move when one is lost."""
    return core.ring_position(f"{session}\x00{name}")
