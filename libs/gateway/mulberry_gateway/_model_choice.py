"""Which model of a route's ladder an attempt uses."""

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_gateway import _exchange


class ModelChoice:
    """Names the model where the caller leaves it to the router."""

    def __init__(
        self,
        ladder: decisions.ConfidenceLadder,
        delays: decisions.ResponseDelayMonitor,
    ) -> None:
        self._ladder = ladder
        self._delays = delays

    def sent(self, exchange: _exchange.Exchange) -> None:
        """Notes that an attempt was sent; the first one measures delays.

        Later ones are more urgent, and say little of how long others wait.
        """
        if exchange.route.model_names and len(exchange.attempts) == 1:
            self._delays.started(id(exchange), exchange.route.target_latency_s)

    def answered(self, exchange: _exchange.Exchange) -> None:
        """Notes that the answer to an attempt began."""
        self._delays.began(id(exchange))

    def pressure(self) -> float:
        """Returns how late first answers begin, as a share of their target."""
        return self._delays.pressure()

    def ended(self, exchange: _exchange.Exchange) -> None:
        """Notes that an attempt ended."""
        self._delays.ended(id(exchange))

    def choose(self, exchange: _exchange.Exchange) -> str:
        """Returns the model of the next attempt, empty for the caller's."""
        names = exchange.route.model_names
        if not names or not exchange.facts.any_model:
            return ""
        if exchange.model:
            return exchange.model
        return self._ladder.first(names)

    def escalates_to(
        self,
        exchange: _exchange.Exchange,
        model: str,
        confidence: float | core.Missing,
        load_share: float,
        pressure: float,
    ) -> str | core.Missing:
        """Returns the model to ask instead, unset to keep the answer."""
        if not model or exchange.answered:
            return core.Missing.UNSET
        return self._ladder.next(
            exchange.route.model_names,
            decisions.Rung(model, confidence),
            load_share,
            pressure,
        )
