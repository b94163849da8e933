"""Model cascade that escalates on the confidence of the models."""

import dataclasses
from collections.abc import Sequence

import mulberry_core as core

#: Confidence from which an answer is kept while engines have spare capacity.
CONFIDENCE_THRESHOLD = 0.6
#: Reduction of the threshold for a second model, because a third one would
#: delay the answer further.
_SECOND_MODEL_REDUCTION = 0.15
#: Up to this shortfall of confidence the next larger model follows, otherwise
#: the largest.
_MAX_SHORTFALL_FOR_NEXT = 0.2
#: Requests per slot of the engines from which the threshold is lowered. It is
#: high because an answer of a model that is too small is worth less to the
#: caller than a late one, and `ResponseDelayMonitor` measures lateness better.
_BUSY_LOAD_SHARE = 0.8
#: Requests per slot from which every answer is kept, because a second attempt
#: would delay requests that have not started.
_FULL_LOAD_SHARE = 1.1
#: Time to the first part of answers, as a share of its target, from which the
#: threshold is lowered, and from which every answer is kept.
_BUSY_PRESSURE = 0.3
_FULL_PRESSURE = 0.65


@dataclasses.dataclass(frozen=True)
class CascadeAttempt:
    """An attempt of one model in the cascade."""

    model: str
    #: Confidence that the model reported, 0 to 1; unset if it reported none.
    confidence: float | core.Missing = core.Missing.UNSET


class ConfidenceCascade:
    """Starts with the smallest model and escalates on low confidence.

    Made for workloads in which small models suffice for about half of the
    requests. The smallest takes a tenth of the engine time of the largest, so
    a wasted attempt costs little. After a small shortfall of confidence the
    next larger model is usually sufficient, at a third of the engine time of
    the largest.

    The threshold falls as the engines fill up or answers begin late. In a
    burst, second attempts take most of the engine time and would delay all
    requests.
    """

    def __init__(self, idle_threshold: float = CONFIDENCE_THRESHOLD) -> None:
        self._idle_threshold = idle_threshold

    def first(self, models: Sequence[str]) -> str:
        """Returns the model to run first; the smallest is listed first."""
        return models[0]

    def next(
        self,
        models: Sequence[str],
        attempt: CascadeAttempt,
        load_share: float = 0.0,
        pressure: float = 0.0,
    ) -> str | core.Missing:
        """Returns the model to run instead, unset to keep the answer.

        Args:
            models: Models of the cascade, smallest first.
            attempt: The attempt whose answer has begun.
            load_share: Requests per slot of the engines.
            pressure: Pressure that the `ResponseDelayMonitor` reports.
        """
        confidence = attempt.confidence
        if attempt.model not in models or isinstance(confidence, core.Missing):
            return core.Missing.UNSET
        position = models.index(attempt.model)
        if position == len(models) - 1:
            return core.Missing.UNSET
        required = self.threshold(load_share, pressure)
        if position > 0:
            required -= _SECOND_MODEL_REDUCTION
        if confidence >= required:
            return core.Missing.UNSET
        is_next_enough = confidence >= required - _MAX_SHORTFALL_FOR_NEXT
        return models[position + 1] if is_next_enough else models[-1]

    def threshold(self, load_share: float, pressure: float = 0.0) -> float:
        """Returns the confidence from which an answer is kept."""
        load_factor = (_FULL_LOAD_SHARE - load_share) / (
            _FULL_LOAD_SHARE - _BUSY_LOAD_SHARE
        )
        delay_factor = (_FULL_PRESSURE - pressure) / (
            _FULL_PRESSURE - _BUSY_PRESSURE
        )
        return self._idle_threshold * min(
            1.0, max(0.0, min(load_factor, delay_factor))
        )
