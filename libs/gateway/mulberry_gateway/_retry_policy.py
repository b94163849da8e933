"""Whether a request may be sent to another upstream."""

import enum

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_routing as routing
from mulberry_gateway import _exchange

#: Upstreams that a request fails to connect to before it is refused. With a
#: third of the upstreams lost, one request in 27 finds three of them in a row.
_MAX_FAILED_CONNECTIONS = 3
#: Minimum time before the deadline to start an attempt, seconds.
_MIN_ATTEMPT_S = 0.03


class RetryDenial(enum.Enum):
    """Why a failed attempt is not followed by another one."""

    #: The route allows no further attempt.
    ATTEMPTS = "attempts"
    #: Too little time is left.
    DEADLINE = "deadline"
    #: The retry budget is used up, or the work must not run twice.
    BUDGET = "budget"
    #: No other upstream could be connected to.
    CONNECTION = "connection"


class RetryPolicy:
    """Applies the limits of the route, the deadline and the retry budget."""

    def __init__(
        self, budget: decisions.RetryBudget, clock: core.Clock
    ) -> None:
        self._budget = budget
        self._clock = clock

    def request_started(self, exchange: _exchange.Exchange) -> None:
        """Counts a request towards the retry budget."""
        self._budget.request_started(_decision_inputs(exchange))

    def remaining_s(self, exchange: _exchange.Exchange) -> float:
        """Returns the time until the deadline, seconds."""
        return exchange.deadline_s - self._clock.now()

    def is_too_late(self, exchange: _exchange.Exchange) -> bool:
        """Whether too little time is left for an attempt."""
        return self.remaining_s(exchange) < _MIN_ATTEMPT_S

    def may_connect_again(
        self, exchange: _exchange.Exchange, failed: int
    ) -> bool:
        """Whether to connect to another upstream after a failed connection.

        A caller that has a part of the answer cannot use a refusal, so the
        search goes on until its deadline or until it has left.
        """
        return (
            not self.is_too_late(exchange)
            and not exchange.caller.is_closed()
            and (exchange.answered or failed < _MAX_FAILED_CONNECTIONS)
        )

    def take_retry(
        self, exchange: _exchange.Exchange
    ) -> RetryDenial | core.Missing:
        """Takes another attempt from the retry budget.

        Returns:
            Why no attempt may follow; unset if one may.
        """
        if exchange.sent_attempts >= exchange.route.max_attempts:
            return RetryDenial.ATTEMPTS
        if self.is_too_late(exchange):
            return RetryDenial.DEADLINE
        if not exchange.sent_attempts:
            # No upstream can have received the request, so the next attempt
            # does not count against the retry budget.
            return core.Missing.UNSET
        if self._budget.try_retry(_decision_inputs(exchange), exchange.run):
            return core.Missing.UNSET
        return RetryDenial.BUDGET

    def return_retry(self, exchange: _exchange.Exchange) -> None:
        """Returns an attempt that was taken and not sent."""
        if exchange.sent_attempts:
            self._budget.return_retry(_decision_inputs(exchange))


def _decision_inputs(exchange: _exchange.Exchange) -> decisions.Work:
    """Returns the attributes of a request that decisions use."""
    return decisions.Work(
        team=exchange.team,
        kind=exchange.route.name,
        priority=exchange.priority,
        deadline_at_s=exchange.deadline_s,
        service=exchange.service,
        is_idempotent=exchange.route.is_idempotent,
        is_call=exchange.route.kind is not routing.RouteKind.STREAMING,
    )
