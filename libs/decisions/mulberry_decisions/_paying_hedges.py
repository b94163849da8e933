"""Hedging after a high percentile, only where copies answer first."""

import collections
import dataclasses
import threading

import mulberry_core as core
from mulberry_decisions import _hedging, _work

#: Latencies kept for each kind.
_KEPT = 200
_FEWEST = 50
#: A copy is sent after this many times the latency that this share of
#: requests stays below. At the percentile itself most copies would go to
#: requests that are only a little slow, and use up the allowed copies.
_DELAY_PERCENTILE = 0.95
_DELAY_FACTOR = 1.5
#: The slowest hundredth must take this many times the delay; otherwise a
#: copy that starts after the delay cannot be much faster.
_TAIL_RATIO = 2.0
#: Smallest share of copies that answer first for hedging to go on.
_FEWEST_WON = 0.2
#: Copies after which the share is looked at.
_COPIES_JUDGED = 20
#: Most copies for each request.
_MAX_SHARE = 0.05


@dataclasses.dataclass
class _KindState:
    latencies: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_KEPT)
    )
    #: Recent copies: whether they answered first.
    won: collections.deque[bool] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_COPIES_JUDGED)
    )
    #: Copies that may still be sent.
    credit: float = 1.0
    delay_s: float | core.Missing = core.Missing.UNSET


class AdaptiveHedging(_hedging.HedgePolicy):
    """Sends few copies, only for kinds with a long tail."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._kinds: dict[str, _KindState] = {}

    def _delay_s(self, work: _work.Work) -> float | core.Missing:
        with self._lock:
            state = self._kinds.setdefault(work.kind, _KindState())
            state.credit = min(5.0, state.credit + _MAX_SHARE)
            share_won = sum(state.won) / max(1, len(state.won))
            judged = len(state.won) == _COPIES_JUDGED
            if state.credit < 1.0 or (judged and share_won < _FEWEST_WON):
                return core.Missing.UNSET
            return state.delay_s

    def finished(
        self, work: _work.Work, latency_s: float, hedged: bool, won: bool
    ) -> None:
        """Learns the latency, and whether the copy was of use."""
        with self._lock:
            state = self._kinds.setdefault(work.kind, _KindState())
            if hedged:
                state.credit -= 1.0
                state.won.append(won)
            # How slow the first copy would have been is not known; counted
            # as fast, it would make the tail look short and end hedging.
            state.latencies.append(float("inf") if won else latency_s)
            if len(state.latencies) >= _FEWEST:
                state.delay_s = _delay(sorted(state.latencies))


def _delay(ordered: list[float]) -> float | core.Missing:
    """Returns the delay for sorted latencies, unset without a long tail."""
    usual_s = ordered[int(_DELAY_PERCENTILE * (len(ordered) - 1))]
    delay_s = _DELAY_FACTOR * usual_s
    if delay_s == float("inf"):
        return core.Missing.UNSET
    slowest = ordered[int(0.99 * (len(ordered) - 1))]
    if slowest < _TAIL_RATIO * delay_s:
        return core.Missing.UNSET
    return delay_s
