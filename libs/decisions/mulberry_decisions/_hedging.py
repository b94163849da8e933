"""Hedging of lookups: interface and baselines."""

import abc

import mulberry_core as core
from mulberry_decisions import _work


class HedgePolicy(abc.ABC):
    """Decides when a second copy of a request is sent to another upstream."""

    def delay_s(self, work: _work.Work) -> float | core.Missing:
        """Returns seconds after which to send a copy, unset for never.

        Only idempotent calls of services are hedged: a copy of a chat costs
        as much as the chat, and other calls must not run twice.
        """
        if not (work.is_idempotent and work.is_call):
            return core.Missing.UNSET
        return self._delay_s(work)

    @abc.abstractmethod
    def _delay_s(self, work: _work.Work) -> float | core.Missing:
        """Returns the delay for work that may be hedged."""

    def finished(  # noqa: B027 - an optional hook
        self, work: _work.Work, latency_s: float, hedged: bool, won: bool
    ) -> None:
        """Tells the latency of the first answer.

        Args:
            work: The request.
            latency_s: Seconds from the first send to the first answer.
            hedged: Whether a copy was sent.
            won: Whether the copy answered first.
        """


class NoHedging(HedgePolicy):
    """Never sends a copy."""

    def _delay_s(self, work: _work.Work) -> float | core.Missing:
        return core.Missing.UNSET


class FixedDelayHedging(HedgePolicy):
    """Sends a copy after a fixed time."""

    def __init__(self, after_s: float = 0.05) -> None:
        self._after_s = after_s

    def _delay_s(self, work: _work.Work) -> float | core.Missing:
        return self._after_s
