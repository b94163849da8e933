"""Retry budgets: interface and baselines."""

import abc

import mulberry_core as core
from mulberry_decisions import _work


class RetryBudget(abc.ABC):
    """Bounds the extra load that retries and hedges cause at upstreams.

    All layers of an entry share one budget, so that retries do not multiply.
    """

    @abc.abstractmethod
    def request_started(self, work: _work.Work) -> None:
        """Counts a first attempt."""

    @abc.abstractmethod
    def try_retry(self, work: _work.Work, run: core.RunState) -> bool:
        """Takes one retry from the budget.

        Args:
            work: The request.
            run: Whether the failed attempt ran on an upstream.

        Returns:
            True if the request may be sent again.
        """

    @abc.abstractmethod
    def return_retry(self, work: _work.Work) -> None:
        """Returns a retry that was taken and not sent."""


def is_repeatable(work: _work.Work, run: core.RunState) -> bool:
    """Whether a retry cannot run non-idempotent work twice."""
    return work.is_idempotent or run is core.RunState.NOT_RUN


class UnlimitedRetries(RetryBudget):
    """Retries all repeatable work without a bound."""

    def request_started(self, work: _work.Work) -> None:
        """Does nothing."""

    def try_retry(self, work: _work.Work, run: core.RunState) -> bool:
        """Allows the retry unless it could run the work twice."""
        return is_repeatable(work, run)

    def return_retry(self, work: _work.Work) -> None:
        """Does nothing."""


class NoRetries(RetryBudget):
    """Never retries."""

    def request_started(self, work: _work.Work) -> None:
        """Does nothing."""

    def try_retry(self, work: _work.Work, run: core.RunState) -> bool:
        """Refuses the retry."""
        return False

    def return_retry(self, work: _work.Work) -> None:
        """Does nothing."""
