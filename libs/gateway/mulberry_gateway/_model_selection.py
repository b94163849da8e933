"""Selects the model of an attempt from the model cascade of its route."""

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_gateway import _exchange


class ModelSelector:
    """Selects models for callers that leave the choice to the router."""

    def __init__(
        self,
        cascade: decisions.ConfidenceCascade,
        delays: decisions.ResponseDelayMonitor,
    ) -> None:
        self._cascade = cascade
        self._delays = delays

    def sent(self, exchange: _exchange.Exchange) -> None:
        """Records that an attempt was sent.

        Only the delay of first attempts is measured: later ones have a higher
        priority, so their delay is not typical of other requests.
        """
        if exchange.route.model_names and len(exchange.attempts) == 1:
            self._delays.started(id(exchange), exchange.route.target_latency_s)

    def answered(self, exchange: _exchange.Exchange) -> None:
        """Records that the answer to an attempt began."""
        self._delays.began(id(exchange))

    def pressure(self) -> float:
        """Returns the recent response delay, relative to the target latency."""
        return self._delays.pressure()

    def ended(self, exchange: _exchange.Exchange) -> None:
        """Records that an attempt ended."""
        self._delays.ended(id(exchange))

    def choose(self, exchange: _exchange.Exchange) -> str:
        """Returns the model of the next attempt, empty to keep the caller's."""
        names = exchange.route.model_names
        if not names or not exchange.metadata.router_selects_model:
            return ""
        if exchange.model:
            return exchange.model
        return self._cascade.first(names)

    def escalates_to(
        self,
        exchange: _exchange.Exchange,
        model: str,
        confidence: float | core.Missing,
        load_share: float,
        pressure: float,
    ) -> str | core.Missing:
        """Returns the larger model to try, unset to keep the answer."""
        if not model or exchange.answered:
            return core.Missing.UNSET
        return self._cascade.next(
            exchange.route.model_names,
            decisions.CascadeAttempt(model, confidence),
            load_share,
            pressure,
        )
