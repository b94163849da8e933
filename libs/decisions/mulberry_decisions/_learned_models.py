"""Model cascade that learns from ratings which model to start with."""

import collections
import dataclasses
import math
import random
import threading
from collections.abc import Mapping, Sequence

import mulberry_core as core
from mulberry_decisions import _models, _rater_health, _work

#: Weight of the quality configured in the rules, as a number of ratings.
_PRIOR_WEIGHT = 4.0
#: Maximum weight of all teams' ratings of a kind in the estimate for one team,
#: as a number of ratings.
_KIND_WEIGHT = 10.0
#: Number of local ratings above which counts are halved, so that old ratings
#: lose weight.
_MAX_COUNT = 400.0
#: Number of instances whose counts are kept; the least recently updated is
#: evicted first. An instance has a new name after each restart.
_MAX_INSTANCES = 512
#: Standard deviations from the mean to the lower bound (one-sided 95%).
_LOWER_BOUND_DEVIATIONS = 1.645
#: Cost of an answer below the target, as a multiple of the cost of the most
#: expensive model. With 2, running that model pays off if it helps in half of
#: the cases.
_MISS_COST_FACTOR = 2.0


@dataclasses.dataclass(frozen=True)
class _Posterior:
    """Posterior beta distribution of the share of answers that are good."""

    met: float
    missed: float

    @property
    def mean(self) -> float:
        return self.met / (self.met + self.missed)

    @property
    def lower_bound(self) -> float:
        total = self.met + self.missed
        variance = self.mean * (1.0 - self.mean) / (total + 1.0)
        return self.mean - _LOWER_BOUND_DEVIATIONS * math.sqrt(variance)


class LearnedCascade(_models.ModelChooser):
    """Starts with the model that minimizes the expected cost of a good answer.

    Uses Thompson sampling: shares of good answers are drawn from their
    posteriors, so a model is chosen as often as it is likely to be the best.
    """

    def __init__(self, clock: core.Clock, seed: int | None = None) -> None:
        self._clock = clock
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._local: dict[_models.RatingKey, _models.RatingCounts] = {}
        self._others: dict[str, _models.RatingExport] = {}
        #: Sums over all instances, by key, and by kind for all teams together.
        self._totals: dict[_models.RatingKey, _models.RatingCounts] = {}
        self._rater = _rater_health.RaterHealth()
        #: Ratings to undo if the rater becomes suspect, newest last.
        self._recent_ratings: collections.deque[
            tuple[_models.RatingKey, bool]
        ] = collections.deque(maxlen=_rater_health.WINDOW)

    def first(
        self,
        work: _work.Work,
        allowed: Sequence[_models.ModelOption],
        quality: float,
    ) -> _models.TryModel | core.Refusal:
        """Chooses the model with the lowest expected cost of a good answer."""
        if not allowed:
            return _models.no_model()
        with self._lock:
            now_s = self._clock.now()
            if not self._ratings_usable(now_s):
                option = self._cheapest_reliable(work, allowed, quality)
                return _models.TryModel(option.name, "no usable ratings")
            left_s = work.deadline_at_s - now_s
            sampled_deviations = self._draw_deviations(work, allowed)
            _, best = self._cheapest_plan(
                work, allowed, "", left_s, sampled_deviations
            )
        if best is None:
            best = min(allowed, key=lambda option: option.expected_latency_s)
            return _models.TryModel(best.name, "fastest; deadline is close")
        return _models.TryModel(best.name, "lowest expected cost")

    def next(
        self,
        work: _work.Work,
        allowed: Sequence[_models.ModelOption],
        quality: float,
        attempts: Sequence[_models.Attempt],
    ) -> _models.TryModel | _models.Deliver | core.Refusal:
        """Delivers an answer that meets the target, otherwise escalates."""
        last = attempts[-1]
        if last.has_answer and self._meets_target(work, allowed, quality, last):
            return _models.Deliver(last.model, "meets the target")
        tried = {attempt.model for attempt in attempts}
        left_s = work.deadline_at_s - self._clock.now()
        remaining = [
            option
            for option in _larger_models(allowed, last.model)
            if option.name not in tried and option.expected_latency_s <= left_s
        ]
        best = _models.deliver_best(attempts)
        if not remaining:
            return best
        with self._lock:
            if isinstance(last.rating, core.Missing) and last.has_answer:
                option = self._cheapest_reliable(work, remaining, quality)
                return _models.TryModel(option.name, "answer is not rated")
            sampled_deviations = self._draw_deviations(work, remaining)
            _, planned = self._cheapest_plan(
                work, remaining, last.model, left_s, sampled_deviations
            )
        option = planned or remaining[-1]
        return _models.TryModel(option.name, "rating is below the target")

    def learn(
        self,
        work: _work.Work,
        model: str,
        rating: float | core.Missing,
        quality: float,
        escalated_from: str = "",
    ) -> None:
        """Counts the rating; undoes the recent ones if the rater is suspect."""
        with self._lock:
            if isinstance(rating, core.Missing):
                self._rater.record_missing()
                return
            key = _models.RatingKey(work.team, work.kind, model, escalated_from)
            met = rating >= quality
            expected = self._posterior(key, 0.5).mean
            self._rater.record_rating(model, rating, met, expected)
            self._add_rating(key, met)
            if self._rater.is_suspect(self._clock.now()):
                self._undo_recent_ratings()

    def export(self) -> _models.RatingExport:
        """Returns the counts of this instance."""
        with self._lock:
            return dict(self._local)

    def merge(self, instance: str, counts: _models.RatingExport) -> None:
        """Replaces the counts of another instance."""
        with self._lock:
            self._add_all(self._others.pop(instance, {}), -1.0)
            self._others[instance] = dict(counts)
            self._add_all(counts, 1.0)
            if len(self._others) > _MAX_INSTANCES:
                oldest = next(iter(self._others))
                self._add_all(self._others.pop(oldest), -1.0)

    def _ratings_usable(self, now_s: float) -> bool:
        if self._rater.is_unavailable() or self._rater.is_suspect(now_s):
            return self._rater.may_probe(now_s)
        return True

    def _meets_target(
        self,
        work: _work.Work,
        allowed: Sequence[_models.ModelOption],
        quality: float,
        last: _models.Attempt,
    ) -> bool:
        if not allowed:
            return True
        with self._lock:
            suspect = self._rater.is_suspect(self._clock.now())
            if not isinstance(last.rating, core.Missing) and not suspect:
                return last.rating >= quality
            # Without a usable rating, the model must be one that is expected to
            # meet the target.
            reliable = self._cheapest_reliable(work, allowed, quality)
            names = [option.name for option in allowed]
            if last.model not in names:
                return True
            return names.index(last.model) >= names.index(reliable.name)

    def _cheapest_reliable(
        self,
        work: _work.Work,
        allowed: Sequence[_models.ModelOption],
        quality: float,
    ) -> _models.ModelOption:
        """Returns the cheapest model whose lower bound meets the target.

        If there is none, returns the most expensive model.
        """
        for option in allowed:
            key = _models.RatingKey(work.team, work.kind, option.name)
            if self._posterior(key, option.quality).lower_bound >= quality:
                return option
        return allowed[-1]

    def _cheapest_plan(
        self,
        work: _work.Work,
        remaining: Sequence[_models.ModelOption],
        escalated_from: str,
        left_s: float,
        sampled_deviations: Mapping[str, float],
    ) -> tuple[float, _models.ModelOption | None]:
        """Returns the lowest expected cost and the first model of that plan."""
        if not remaining:
            return 0.0, None
        miss = _MISS_COST_FACTOR * remaining[-1].cost_per_1k_tokens
        best_cost, best = miss, None
        for index, option in enumerate(remaining):
            if option.expected_latency_s > left_s:
                continue
            key = _models.RatingKey(
                work.team, work.kind, option.name, escalated_from
            )
            posterior = self._posterior(key, option.quality)
            share = min(
                1.0, max(0.0, posterior.mean + sampled_deviations[option.name])
            )
            rest, _ = self._cheapest_plan(
                work,
                remaining[index + 1 :],
                option.name,
                left_s - option.expected_latency_s,
                sampled_deviations,
            )
            if index + 1 == len(remaining):
                rest = miss
            cost = option.cost_per_1k_tokens + (1.0 - share) * rest
            if best is None or cost < best_cost:
                best_cost, best = cost, option
        return best_cost, best

    def _draw_deviations(
        self, work: _work.Work, options: Sequence[_models.ModelOption]
    ) -> dict[str, float]:
        """Samples how far each model's share of good answers is from its mean.

        A model has the same deviation wherever it occurs in a plan; otherwise
        plans that differ only in their first model would differ by noise.
        """
        sampled_deviations = {}
        for option in options:
            key = _models.RatingKey(work.team, work.kind, option.name)
            posterior = self._posterior(key, option.quality)
            sample = self._random.betavariate(posterior.met, posterior.missed)
            sampled_deviations[option.name] = sample - posterior.mean
        return sampled_deviations

    def _posterior(self, key: _models.RatingKey, quality: float) -> _Posterior:
        """Combines the configured quality with the ratings of kind and team.

        The prior for escalated requests is the estimate for requests that the
        model runs first.
        """
        if key.escalated_from:
            first = dataclasses.replace(key, escalated_from="")
            quality = self._posterior(first, quality).mean
        kind = self._totals.get(_kind_key(key), _models.RatingCounts())
        met = _PRIOR_WEIGHT * quality + kind.met
        missed = _PRIOR_WEIGHT * (1.0 - quality) + kind.missed
        weight = min(1.0, _KIND_WEIGHT / (met + missed))
        team_counts = self._totals.get(key, _models.RatingCounts())
        return _Posterior(
            max(0.05, weight * met + team_counts.met),
            max(0.05, weight * missed + team_counts.missed),
        )

    def _undo_recent_ratings(self) -> None:
        """Undoes the ratings that made the rater suspect."""
        while self._recent_ratings:
            key, met = self._recent_ratings.pop()
            old = self._local.get(key, _models.RatingCounts())
            new = _models.RatingCounts(
                max(0.0, old.met - met), max(0.0, old.missed - (not met))
            )
            self._add_all({key: old}, -1.0)
            self._local[key] = new
            self._add_all({key: new}, 1.0)

    def _add_rating(self, key: _models.RatingKey, met: bool) -> None:
        self._recent_ratings.append((key, met))
        old = self._local.get(key, _models.RatingCounts())
        new = _models.RatingCounts(old.met + met, old.missed + (not met))
        if new.met + new.missed > _MAX_COUNT:
            new = _models.RatingCounts(new.met / 2, new.missed / 2)
        self._add_all({key: old}, -1.0)
        self._local[key] = new
        self._add_all({key: new}, 1.0)

    def _add_all(
        self,
        counts: Mapping[_models.RatingKey, _models.RatingCounts],
        sign: float,
    ) -> None:
        for key, count in counts.items():
            for total_key in (key, _kind_key(key)):
                old = self._totals.get(total_key, _models.RatingCounts())
                self._totals[total_key] = _models.RatingCounts(
                    max(0.0, old.met + sign * count.met),
                    max(0.0, old.missed + sign * count.missed),
                )


def _kind_key(key: _models.RatingKey) -> _models.RatingKey:
    """Returns the key of all teams, empty; team names are never empty."""
    return dataclasses.replace(key, team="")


def _larger_models(
    allowed: Sequence[_models.ModelOption], model: str
) -> list[_models.ModelOption]:
    """Returns models that cost more than `model`, all if it is not allowed."""
    names = [option.name for option in allowed]
    start = names.index(model) + 1 if model in names else 0
    return list(allowed[start:])
