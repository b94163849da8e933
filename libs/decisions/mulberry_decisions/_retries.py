"""Budget of retries: interface and baseline."""

import abc

import mulberry_core as core
from mulberry_decisions import _work


class RetryBudget(abc.ABC):
    """Bounds the extra work that retries and hedges put on upstreams.

    One budget serves all layers of an entry, so that retries do not multiply.
    """

    @abc.abstractmethod
    def request_started(self, work: _work.Work) -> None:
        """Counts a first attempt."""

    @abc.abstractmethod
    def try_retry(self, work: _work.Work, run: core.RunState) -> bool:
        """Takes one retry from the budget.

        Args:
            work: The request.
            run: Whether an upstream has run the failed attempt.

        Returns:
            True if the request may be sent again.
        """


def is_repeatable(work: _work.Work, run: core.RunState) -> bool:
    """Whether sending again cannot run work twice that must run once."""
    return work.is_idempotent or run is core.RunState.NOT_RUN


class UnlimitedRetries(RetryBudget):
    """Retries all work that may be repeated."""

    def request_started(self, work: _work.Work) -> None:
        """Counts nothing."""

    def try_retry(self, work: _work.Work, run: core.RunState) -> bool:
        """Allows the retry unless it could run the work twice."""
        return is_repeatable(work, run)


class NoRetries(RetryBudget):
    """Never retries."""

    def request_started(self, work: _work.Work) -> None:
        """Counts nothing."""

    def try_retry(self, work: _work.Work, run: core.RunState) -> bool:
        """Refuses the retry."""
        return False
