"""Hedged requests: interface and baselines."""

import abc

import mulberry_core as core
from mulberry_decisions import _work


class HedgePolicy(abc.ABC):
    """Decides when to send a second copy of a request to another upstream."""

    def delay_s(self, work: _work.Work) -> float | core.Missing:
        """Returns the delay before the copy in seconds, unset for no copy.

        Only idempotent service calls are hedged: a copy of a chat costs as much
        as the chat, and other calls must not run twice.
        """
        if not (work.is_idempotent and work.is_call):
            return core.Missing.UNSET
        return self._delay_s(work)

    @abc.abstractmethod
    def _delay_s(self, work: _work.Work) -> float | core.Missing:
        """Returns the delay for work that may be hedged, unset for no copy."""

    def finished(  # noqa: B027 - an optional hook
        self, work: _work.Work, latency_s: float, hedged: bool, won: bool
    ) -> None:
        """Records the latency of the first response.

        Args:
            work: The request.
            latency_s: Time from the first send to the first response, seconds.
            hedged: Whether a copy was sent.
            won: Whether the copy was answered first.
        """


class NoHedging(HedgePolicy):
    """Never sends a copy."""

    def _delay_s(self, work: _work.Work) -> float | core.Missing:
        return core.Missing.UNSET


class FixedDelayHedging(HedgePolicy):
    """Sends a copy after a fixed delay."""

    def __init__(self, after_s: float = 0.05) -> None:
        self._after_s = after_s

    def _delay_s(self, work: _work.Work) -> float | core.Missing:
        return self._after_s
