"""Choice of models in a model cascade: interface and baselines."""

import abc
import dataclasses
from collections.abc import Mapping, Sequence

import mulberry_core as core
from mulberry_decisions import _work


@dataclasses.dataclass(frozen=True)
class ModelOption:
    """A model that may be used for the request."""

    name: str
    cost_per_1k_tokens: float
    #: Expected share of good answers as configured in the rules, 0 to 1.
    quality: float
    #: Expected latency of this request, seconds; 0 if unknown.
    expected_latency_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Attempt:
    """A model that has run the request, with the rating of its answer."""

    model: str
    #: Estimated probability that the answer is good, 0 to 1; unset if the
    #: rater failed or was late, or if the model gave no answer.
    rating: float | core.Missing
    #: Whether there is an answer that could be delivered.
    has_answer: bool = True


@dataclasses.dataclass(frozen=True)
class TryModel:
    """Decision to run the request on this model."""

    model: str
    reason: str


@dataclasses.dataclass(frozen=True)
class Deliver:
    """Decision to deliver the answer of this model."""

    model: str
    reason: str


@dataclasses.dataclass(frozen=True)
class RatingCounts:
    """Counts of ratings under one `RatingKey`."""

    #: Ratings at or above the quality target.
    met: float = 0.0
    #: Ratings below the quality target.
    missed: float = 0.0


@dataclasses.dataclass(frozen=True)
class RatingKey:
    """Key under which ratings are counted."""

    team: str
    kind: str
    model: str
    #: Model whose answer was rejected before this one ran, empty for none.
    #: Counted separately, because escalated requests are harder than others.
    escalated_from: str = ""


#: Counts of one instance, as published to the others.
RatingExport = Mapping[RatingKey, RatingCounts]


class ModelChooser(abc.ABC):
    """Decides which model runs first and whether another one runs next.

    Chooses only among the models passed as `allowed`.
    """

    @abc.abstractmethod
    def first(
        self,
        work: _work.Work,
        allowed: Sequence[ModelOption],
        quality: float,
    ) -> TryModel | core.Refusal:
        """Chooses the first model.

        Args:
            work: The request.
            allowed: Allowed models of the cascade, cheapest first.
            quality: Share of answers that must be good, 0 to 1.

        Returns:
            The model, or a refusal of kind `NOT_ALLOWED` if there is none.
        """

    @abc.abstractmethod
    def next(
        self,
        work: _work.Work,
        allowed: Sequence[ModelOption],
        quality: float,
        attempts: Sequence[Attempt],
    ) -> TryModel | Deliver | core.Refusal:
        """Decides after an attempt, which may lack a rating.

        Args:
            work: The request.
            allowed: Models that are allowed now, cheapest first.
            quality: Share of answers that must be good, 0 to 1.
            attempts: All attempts so far, in their order.

        Returns:
            Another model, an attempt to deliver, or a refusal of kind
            `UPSTREAM_FAILED` if no model gave an answer.
        """

    def learn(  # noqa: B027 - an optional hook
        self,
        work: _work.Work,
        model: str,
        rating: float | core.Missing,
        quality: float,
        escalated_from: str = "",
    ) -> None:
        """Records the rating of an answer.

        Args:
            work: The request.
            model: Model that answered.
            rating: Rating, 0 to 1; unset if the rater failed or was late.
            quality: Lowest rating that meets the quality target.
            escalated_from: Model whose answer was rejected before, or empty.
        """

    def export(self) -> RatingExport:
        """Returns the counts of this instance, for the others."""
        return {}

    def merge(  # noqa: B027 - an optional hook
        self, instance: str, counts: RatingExport
    ) -> None:
        """Replaces the counts received from another instance."""


def no_model() -> core.Refusal:
    """Returns the refusal for an empty list of allowed models."""
    return core.Refusal(
        core.ErrorKind.NOT_ALLOWED,
        core.RunState.NOT_RUN,
        "the team is not allowed to use any model of this cascade",
    )


def deliver_best(attempts: Sequence[Attempt]) -> Deliver | core.Refusal:
    """Chooses the answer with the best rating, or the latest unrated one."""
    answers = [attempt for attempt in attempts if attempt.has_answer]
    if not answers:
        return core.Refusal(
            core.ErrorKind.UPSTREAM_FAILED,
            core.RunState.RAN,
            "no model of the cascade gave an answer",
        )
    best = answers[-1]
    for attempt in answers:
        if isinstance(best.rating, core.Missing):
            break
        if (
            not isinstance(attempt.rating, core.Missing)
            and attempt.rating > best.rating
        ):
            best = attempt
    return Deliver(best.model, "best answer of the cascade")


class FixedOrder(ModelChooser):
    """Runs models at fixed positions in order until one meets the target.

    Position 0 is the cheapest model, -1 the most expensive one.
    """

    def __init__(self, positions: Sequence[int]) -> None:
        self._positions = tuple(positions)

    def first(
        self,
        work: _work.Work,
        allowed: Sequence[ModelOption],
        quality: float,
    ) -> TryModel | core.Refusal:
        """Chooses the model at the first position."""
        order = self._order(allowed)
        return TryModel(order[0], "fixed order") if order else no_model()

    def next(
        self,
        work: _work.Work,
        allowed: Sequence[ModelOption],
        quality: float,
        attempts: Sequence[Attempt],
    ) -> TryModel | Deliver | core.Refusal:
        """Continues while ratings are below the target or missing."""
        last = attempts[-1]
        if (
            last.has_answer
            and not isinstance(last.rating, core.Missing)
            and last.rating >= quality
        ):
            return Deliver(last.model, "rating meets the target")
        tried = {attempt.model for attempt in attempts}
        for name in self._order(allowed):
            if name not in tried:
                return TryModel(name, "fixed order")
        return deliver_best(attempts)

    def _order(self, allowed: Sequence[ModelOption]) -> list[str]:
        names: list[str] = []
        for position in self._positions:
            inside = -len(allowed) <= position < len(allowed)
            if inside and allowed[position].name not in names:
                names.append(allowed[position].name)
        if not names and allowed:
            names.append(allowed[-1].name)
        return names
