"""Hedging after a high latency quantile, while copies often win."""

import collections
import dataclasses
import threading

import mulberry_core as core
from mulberry_decisions import _hedging, _work

#: Largest and smallest number of latencies used for each kind of request.
_MAX_SAMPLES = 200
_MIN_SAMPLES = 50
#: A copy is sent after this multiple of this quantile of the latencies. At the
#: quantile itself, most copies would be of requests that are only slightly
#: slow, and would use up the hedging budget.
_DELAY_QUANTILE = 0.95
_DELAY_FACTOR = 1.5
#: The 99th percentile must be at least this multiple of the delay; otherwise a
#: copy that starts after the delay cannot be much faster.
_TAIL_RATIO = 2.0
#: Hedging stops while a smaller share of the recent copies is answered first.
_MIN_WIN_RATE = 0.2
#: Number of recent copies over which that share is computed.
_WIN_RATE_WINDOW = 20
#: Hedging budget: number of copies per request.
_MAX_COPY_RATIO = 0.05


@dataclasses.dataclass
class _KindState:
    latencies: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_MAX_SAMPLES)
    )
    #: Whether recent copies were answered first.
    won: collections.deque[bool] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_WIN_RATE_WINDOW)
    )
    #: Number of copies that may be sent now.
    credit: float = 1.0
    delay_s: float | core.Missing = core.Missing.UNSET


class AdaptiveHedging(_hedging.HedgePolicy):
    """Hedges kinds of requests with a long latency tail, within a budget."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._state_by_kind: dict[str, _KindState] = {}

    def _delay_s(self, work: _work.Work) -> float | core.Missing:
        with self._lock:
            state = self._state_by_kind.setdefault(work.kind, _KindState())
            state.credit = min(5.0, state.credit + _MAX_COPY_RATIO)
            win_rate = sum(state.won) / max(1, len(state.won))
            is_window_full = len(state.won) == _WIN_RATE_WINDOW
            if state.credit < 1.0 or (
                is_window_full and win_rate < _MIN_WIN_RATE
            ):
                return core.Missing.UNSET
            return state.delay_s

    def finished(
        self, work: _work.Work, latency_s: float, hedged: bool, won: bool
    ) -> None:
        """Records the latency and whether the copy was answered first."""
        with self._lock:
            state = self._state_by_kind.setdefault(work.kind, _KindState())
            if hedged:
                state.credit -= 1.0
                state.won.append(won)
            # The latency of the original request is unknown if the copy won.
            # Recording the copy's latency would shorten the measured tail and
            # stop hedging.
            state.latencies.append(float("inf") if won else latency_s)
            if len(state.latencies) >= _MIN_SAMPLES:
                state.delay_s = _hedge_delay_s(sorted(state.latencies))


def _hedge_delay_s(sorted_latencies: list[float]) -> float | core.Missing:
    """Returns the hedge delay for sorted latencies, unset without a tail."""
    percentile_s = sorted_latencies[
        int(_DELAY_QUANTILE * (len(sorted_latencies) - 1))
    ]
    delay_s = _DELAY_FACTOR * percentile_s
    if delay_s == float("inf"):
        return core.Missing.UNSET
    p99_s = sorted_latencies[int(0.99 * (len(sorted_latencies) - 1))]
    if p99_s < _TAIL_RATIO * delay_s:
        return core.Missing.UNSET
    return delay_s
