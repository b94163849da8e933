"""Which model of a ladder runs a request, by the models' own confidence."""

import dataclasses
from collections.abc import Sequence

import mulberry_core as core

#: An answer of a smaller model is kept from this confidence on.
KEEP_FROM = 0.6
#: How much less confidence is enough from a second model: asking a third one
#: keeps the caller waiting longer.
_LESS_FOR_SECOND = 0.15
#: A model that is short of the threshold by no more than this is followed by
#: the next larger one, otherwise by the largest.
_NEXT_WITHIN = 0.2
#: Requests for each place of the engines from which less is asked of answers.
#: An answer of too small a model is worth less to its caller than a late one,
#: and whether answers are late the gauge of delays tells better.
_BUSY_FROM = 0.8
#: Requests for each place at which every answer is kept: another one would
#: make those wait that are not begun.
_FULL_AT = 1.1
#: Time to the first part of answers, as a share of its target, from which less
#: is asked of answers, and at which every answer is kept.
_LATE_FROM = 0.3
_LATE_AT = 0.65


@dataclasses.dataclass(frozen=True)
class Rung:
    """One attempt on the ladder so far."""

    model: str
    #: The model's own opinion of its answer, 0 to 1; unset if it gave none.
    confidence: float | core.Missing = core.Missing.UNSET


class ConfidenceLadder:
    """Asks the smallest model first and a larger one if that is unsure.

    Answers a load in which cheap models suffice for about half of the
    requests: the smallest takes a tenth of the engine time of the largest,
    so asking it in vain costs little. Where it is only a little unsure, the
    next size most often suffices, at a third of the engine time of the
    largest.

    Answers a burst as well: the fuller the engines are, or the later answers
    begin, the less confidence is asked for. Second answers take most of the
    engines' time, and would make everyone late.
    """

    def __init__(self, keep_from: float = KEEP_FROM) -> None:
        self._keep_from = keep_from

    def first(self, models: Sequence[str]) -> str:
        """Returns the model to begin with; the smallest comes first."""
        return models[0]

    def next(
        self,
        models: Sequence[str],
        rung: Rung,
        load_share: float = 0.0,
        pressure: float = 0.0,
    ) -> str | core.Missing:
        """Returns the model to ask instead, unset to keep the answer.

        Args:
            models: The smallest first.
            rung: The attempt whose answer has begun.
            load_share: Share of the engines' places in use.
            pressure: Of the `ResponseDelayMonitor`.
        """
        confidence = rung.confidence
        if rung.model not in models or isinstance(confidence, core.Missing):
            return core.Missing.UNSET
        step = models.index(rung.model)
        if step == len(models) - 1:
            return core.Missing.UNSET
        wanted = self.threshold(load_share, pressure)
        if step > 0:
            wanted -= _LESS_FOR_SECOND
        if confidence >= wanted:
            return core.Missing.UNSET
        is_near = confidence >= wanted - _NEXT_WITHIN
        return models[step + 1] if is_near else models[-1]

    def threshold(self, load_share: float, pressure: float = 0.0) -> float:
        """Returns the confidence from which an answer is kept."""
        spare_places = (_FULL_AT - load_share) / (_FULL_AT - _BUSY_FROM)
        spare_time = (_LATE_AT - pressure) / (_LATE_AT - _LATE_FROM)
        return self._keep_from * min(
            1.0, max(0.0, min(spare_places, spare_time))
        )
