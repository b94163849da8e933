"""Placement of requests on upstreams that many entries share."""

import abc
import dataclasses
import random
from collections.abc import Sequence

import mulberry_core as core

#: Cost of an upstream in another zone, as a share of its slots.
_CROSS_ZONE_COST = 0.1
#: Sessions stay in their entry's zone while its mean utilization exceeds that
#: of all zones by less than this share of the free slots. The margin shrinks
#: to zero as the slots fill up, since full engines queue requests and busy ones
#: only slow them down.
_ZONE_HEADROOM = 0.15
#: Cost of a failure rate of 1, as a multiple of the slots.
_FAILURE_COST = 4.0
#: An upstream takes a session's requests while its utilization is at most this
#: multiple of the mean, plus `_SPILL_SLACK`.
_SPILL_FACTOR = 1.15
#: As a share of the slots: small loads vary without any overload.
_SPILL_SLACK = 0.05


@dataclasses.dataclass(frozen=True)
class UpstreamCandidate:
    """An upstream that may run a request."""

    name: str
    zone: str
    #: Number of requests that it runs at once.
    slots: int
    #: Estimated number of running and queued requests.
    load: float
    #: Recent failure rate, 0 to 1.
    failure_rate: float = 0.0

    @property
    def utilization(self) -> float:
        """Load as a share of the slots; above 1 if requests are queued."""
        return self.load / max(1, self.slots)

    @property
    def cost(self) -> float:
        """Utilization plus a penalty for failures."""
        return self.utilization + _FAILURE_COST * self.failure_rate


class Placement(abc.ABC):
    """Chooses the upstream of a request."""

    def choose(
        self, candidates: Sequence[UpstreamCandidate], session: str
    ) -> UpstreamCandidate | core.Missing:
        """Returns the upstream to send to, unset without candidates.

        Args:
            candidates: Upstreams that may run the request.
            session: Session of the request, empty for none; an upstream caches
                work that the requests of a session share.
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
        """Chooses one of at least one candidates."""


class PowerOfTwoChoices(Placement):
    """Takes the cheaper of two random candidates, one of them in its zone.

    If all entries chose the least loaded upstream from the same reports, they
    would all send to the same one.
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
    """Session affinity by rendezvous hashing with bounded loads.

    All entries of a zone compute the same order of upstreams for a session, so
    that shared parts of its prompts are processed on one upstream only. A
    session with much of the traffic spills over to the next upstream in its
    order when the load of the first exceeds the bound.

    Traffic between zones costs money: callers use entries of their own zone,
    and sessions stay on upstreams of that zone while these are not much
    busier than the others.
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
    """Returns the candidates in a zone."""
    return [candidate for candidate in candidates if candidate.zone == zone]


def _mean_utilization(candidates: Sequence[UpstreamCandidate]) -> float:
    return sum(candidate.utilization for candidate in candidates) / len(
        candidates
    )


def _rank(session: str, name: str) -> int:
    """Rendezvous hash: few sessions move when an upstream is lost."""
    return core.ring_position(f"{session}\x00{name}")
