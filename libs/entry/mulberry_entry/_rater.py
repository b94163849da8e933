"""Client of the service that rates answers."""

import abc
import json
import math
import random
import uuid

import mulberry_core as core
import mulberry_membership as membership
import mulberry_upstream as upstream

#: Name under which the rating service announces itself.
RATER_SERVICE = "rater"

#: Timeout of a rating that a cascade waits for, seconds.
RATING_TIMEOUT_S = 1.0

_MAX_RATING_BYTES = 65_536


class Rater(abc.ABC):
    """Rates answers; late and missing ratings are unset."""

    @abc.abstractmethod
    def rate(
        self, prompt: str, answer: str, timeout_s: float
    ) -> float | core.Missing:
        """Returns the probability that the answer is good, 0 to 1."""


class ServiceRater(Rater):
    """Requests ratings from a service that is announced as an upstream."""

    def __init__(
        self,
        directory: membership.UpstreamDirectory,
        gate: upstream.SendGate,
        adapter: upstream.ServiceAdapter,
        counters: core.Counters,
    ) -> None:
        self._directory = directory
        self._gate = gate
        self._adapter = adapter
        self._counters = counters

    def rate(
        self, prompt: str, answer: str, timeout_s: float
    ) -> float | core.Missing:
        """Returns the rating; unset if no service returns one in time."""
        raters = [
            candidate
            for candidate in self._directory.upstreams().values()
            if candidate.service == RATER_SERVICE
            and candidate.state is membership.UpstreamState.READY
        ]
        if not raters:
            self._counters.increment("entry.ratings_missing")
            return core.Missing.UNSET
        rating = self._request_rating(
            random.choice(raters), prompt, answer, timeout_s
        )
        missing = isinstance(rating, core.Missing)
        self._counters.increment(
            "entry.ratings_missing" if missing else "entry.ratings"
        )
        return rating

    def _request_rating(
        self,
        rater: membership.Upstream,
        prompt: str,
        answer: str,
        timeout_s: float,
    ) -> float | core.Missing:
        permit = self._gate.check_platform(
            upstream.UpstreamTarget(
                name=rater.name,
                address=rater.address,
                incarnation=rater.incarnation,
                leaving=False,
                valid_until_s=core.Missing.UNSET,
                service=RATER_SERVICE,
            )
        )
        if isinstance(permit, core.Refusal):
            return core.Missing.UNSET
        response = self._adapter.call(
            upstream.ServiceRequest(
                permit=permit,
                record=upstream.SendRecord(),
                request_id=f"rate-{uuid.uuid4().hex}",
                method="POST",
                path="/rate",
                headers=("Content-Type: application/json",),
                body=json.dumps({"prompt": prompt, "answer": answer}).encode(),
                limits=upstream.ExchangeLimits(
                    total_s=timeout_s, max_bytes=_MAX_RATING_BYTES
                ),
            )
        )
        if isinstance(response, core.Refusal) or response.status != 200:
            return core.Missing.UNSET
        return _parse_score(response.body)


def _parse_score(body: bytes) -> float | core.Missing:
    try:
        score = float(json.loads(body)["score"])
    except (ValueError, TypeError, KeyError, OverflowError, RecursionError):
        return core.Missing.UNSET
    if math.isnan(score) or not 0.0 <= score <= 1.0:
        return core.Missing.UNSET
    return score
