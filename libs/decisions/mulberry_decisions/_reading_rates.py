"""Time that engines take to read prompts, by model."""

import dataclasses
from collections.abc import Mapping

#: Time to read a prompt token before anything was measured, seconds.
_INITIAL_TOKEN_S = 2e-5
#: Measured time that the initial value counts for, seconds.
_INITIAL_WEIGHT_S = 0.2
#: Measured time above which older measurements lose weight, seconds. At a
#: service with 100 requests a second it is that of a few seconds.
_MAX_WEIGHT_S = 60.0
#: Time from the start of reading to the first part of the answer that does not
#: depend on the length of the prompt, seconds.
START_S = 0.015
#: Largest factor between a measurement and the expected time. Longer ones come
#: from requests that waited for something else, shorter ones from callers that
#: count their tokens wrongly.
_MAX_RATIO = 8.0
#: Largest measurement that counts in full, as a share of those before it.
_MAX_SHARE = 0.25


@dataclasses.dataclass
class _Sums:
    busy_s: float
    tokens: float


class ReadingRates:
    """Learns how long the engines of a service take to read a token.

    Load pattern: prompts between a hundred and fifty thousand tokens, and
    models whose pace differs several times. Counts of requests say little
    about when an engine is free.

    Not thread-safe.
    """

    def __init__(self) -> None:
        self._sums_by_model: dict[str, _Sums] = {}

    def token_s(self, model: str) -> float:
        """Returns the time to read one token at the usual pace, seconds.

        A model that was not measured yet counts like the mean of the others.
        """
        sums = self._sums_by_model.get(model)
        if sums is None:
            sums = _total(self._sums_by_model)
        return sums.busy_s / sums.tokens

    def reading_s(self, model: str, tokens: int) -> float:
        """Returns the time until the first part of an answer, seconds."""
        return START_S + tokens * self.token_s(model)

    def measured(self, model: str, tokens: int, took_s: float) -> None:
        """Records how long an engine took, at the usual pace.

        Args:
            model: The model that read the prompt.
            tokens: Tokens that it read.
            took_s: Time from the end of the reading before, seconds.
        """
        if tokens <= 0:
            return
        expected_s = tokens * self.token_s(model)
        busy_s = min(
            max(took_s - START_S, expected_s / _MAX_RATIO),
            expected_s * _MAX_RATIO,
        )
        sums = self._sums_by_model.get(model)
        if sums is None:
            token_s = self.token_s(model)
            sums = _Sums(_INITIAL_WEIGHT_S, _INITIAL_WEIGHT_S / token_s)
            self._sums_by_model[model] = sums
        # No single measurement counts for more than the ones before it.
        weight = min(1.0, _MAX_SHARE * sums.busy_s / max(busy_s, expected_s))
        sums.busy_s += weight * busy_s
        sums.tokens += weight * tokens
        if sums.busy_s > _MAX_WEIGHT_S:
            sums.busy_s /= 2
            sums.tokens /= 2


def _total(sums_by_model: Mapping[str, _Sums]) -> _Sums:
    total = _Sums(_INITIAL_WEIGHT_S, _INITIAL_WEIGHT_S / _INITIAL_TOKEN_S)
    for sums in sums_by_model.values():
        total.busy_s += sums.busy_s
        total.tokens += sums.tokens
    return total
