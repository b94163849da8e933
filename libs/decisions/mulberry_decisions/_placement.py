"""Where a request runs: placement over upstreams that many entries share."""

import abc
import dataclasses
import random
import threading
from collections.abc import Sequence

import mulberry_core as core

#: Load that an upstream in another zone must be below to be taken instead of
#: one in the own zone, as a share of its slots.
_ZONE_COST = 0.1
#: Load that a share of failures of 1 counts for.
_FAILURE_COST = 4.0
#: An upstream takes a session's requests while its load is below this
#: multiple of the mean, plus `_SPILL_SLACK`.
_SPILL_FACTOR = 1.15
#: As a share of its slots: small numbers vary without any overload.
_SPILL_SLACK = 0.05
#: Prompts from this length on are long: two chunks that an engine reads
#: between the tokens of other requests.
_LONG_FROM_TOKENS = 4_096
#: Tokens over which the mix of prompts is averaged, about ten seconds of one
#: entry's share of the traffic.
_MIX_TOKENS = 400_000
#: Upstreams for long prompts in proportion to their share of the tokens; they
#: also generate longer answers.
_LONG_WEIGHT = 1.25
#: With fewer upstreams a lane would be lost with one of them.
_FEWEST_FOR_LANES = 4
#: A lane is left for all upstreams when its load is above this multiple of
#: the other's, plus the slack as a share of the places.
_LANE_SPILL_FACTOR = 1.5
_LANE_SPILL_SLACK = 0.15


@dataclasses.dataclass(frozen=True)
class Place:
    """One upstream that could run a request."""

    name: str
    zone: str
    #: Requests that it runs at once.
    slots: int
    #: Requests believed to be running or waiting there.
    load: float
    #: Recent share of failures, 0 to 1.
    failed_share: float = 0.0

    @property
    def load_share(self) -> float:
        """Load as a share of the slots."""
        return self.load / max(1, self.slots)


@dataclasses.dataclass(frozen=True)
class PlacementRequest:
    """What a placement knows of a request."""

    #: Requests of one session share work that an upstream keeps; empty for
    #: none.
    session: str = ""
    #: Length of the prompt; 0 for a plain call.
    prompt_tokens: int = 0


class Placement(abc.ABC):
    """Chooses one of several places."""

    def choose(
        self, places: Sequence[Place], request: PlacementRequest
    ) -> Place | core.Missing:
        """Returns the place to send to, unset if there is none.

        Args:
            places: Upstreams that may run the request.
            request: The request.
        """
        return self._choose(places, request) if places else core.Missing.UNSET

    @abc.abstractmethod
    def _choose(
        self, places: Sequence[Place], request: PlacementRequest
    ) -> Place:
        """Chooses one of at least one places."""


class LeastLoad(Placement):
    """Takes the better of two random places.

    Answers many entries that decide on the same reports: with the least
    loaded of all they would all send to the same upstream.
    """

    def __init__(self, zone: str, rng: random.Random | None = None) -> None:
        self._zone = zone
        self._random = rng or random.Random()

    def _choose(
        self, places: Sequence[Place], request: PlacementRequest
    ) -> Place:
        del request
        pair = self._random.sample(places, min(2, len(places)))
        return min(pair, key=self._cost)

    def _cost(self, place: Place) -> float:
        return (
            place.load_share
            + _FAILURE_COST * place.failed_share
            + (_ZONE_COST if place.zone != self._zone else 0.0)
        )


class SessionAffinity(Placement):
    """Sends a session to the same upstream from every entry, within bounds.

    Answers prompts with shared parts: all entries compute the same order of
    upstreams for a session, so its prompt is read on one of them. A session
    that gets much of the traffic spills over to the next in its order once
    its upstream has more than its part of the load.
    """

    def __init__(self, otherwise: Placement) -> None:
        self._otherwise = otherwise

    def _choose(
        self, places: Sequence[Place], request: PlacementRequest
    ) -> Place:
        session = request.session
        if not session:
            chosen = self._otherwise.choose(places, request)
            return chosen if isinstance(chosen, Place) else places[0]
        mean = sum(place.load_share for place in places) / len(places)
        limit = _SPILL_FACTOR * mean + _SPILL_SLACK
        ranked = sorted(
            places, key=lambda place: _rank(session, place.name), reverse=True
        )
        for place in ranked:
            if place.load_share + place.failed_share <= limit:
                return place
        return min(
            places,
            key=lambda place: (
                place.load_share + _FAILURE_COST * place.failed_share
            ),
        )


class PromptLanes(Placement):
    """Keeps short prompts away from upstreams that read long ones.

    Answers a mix in which few long prompts make up most of the tokens to be
    read: an engine reads prompts one after the other, and a short one that
    arrives behind a long one waits for all of it. Long prompts get as many
    of the upstreams as their share of the tokens. All entries order the
    upstreams alike and see about the same mix, so their lanes agree.
    """

    def __init__(self, inner: Placement) -> None:
        self._inner = inner
        self._lock = threading.Lock()
        self._long_share = 0.5

    def _choose(
        self, places: Sequence[Place], request: PlacementRequest
    ) -> Place:
        is_long = request.prompt_tokens >= _LONG_FROM_TOKENS
        if request.prompt_tokens:
            self._learn(request.prompt_tokens, is_long)
        lane = self._lane(places, is_long)
        chosen = self._inner.choose(lane, request)
        return chosen if isinstance(chosen, Place) else places[0]

    def _learn(self, tokens: int, is_long: bool) -> None:
        weight = min(1.0, tokens / _MIX_TOKENS)
        with self._lock:
            self._long_share += weight * (float(is_long) - self._long_share)

    def _lane(self, places: Sequence[Place], is_long: bool) -> Sequence[Place]:
        if len(places) < _FEWEST_FOR_LANES:
            return places
        ordered = sorted(
            places, key=lambda place: core.ring_position(f"lane/{place.name}")
        )
        count = round(_LONG_WEIGHT * self._long_share * len(ordered))
        count = min(max(count, 1), len(ordered) - 1)
        own, other = ordered[:count], ordered[count:]
        if not is_long:
            own, other = other, own
        if _mean_load(own) > _LANE_SPILL_FACTOR * _mean_load(other) + (
            _LANE_SPILL_SLACK
        ):
            return places
        return own


def _mean_load(places: Sequence[Place]) -> float:
    return sum(place.load_share for place in places) / len(places)


def _rank(session: str, name: str) -> int:
    """Highest-random-weight hashing: few sessions move when one is lost."""
    return core.ring_position(f"{session}\x00{name}")
