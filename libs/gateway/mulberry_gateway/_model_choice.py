"""Which model of a route's ladder an attempt uses."""

from mulberry_gateway import _exchange


class ModelChoice:
    """Names the model where the caller leaves it to the router."""

    def choose(self, exchange: _exchange.Exchange) -> str:
        """Returns the model of the next attempt, empty for the caller's."""
        names = exchange.route.model_names
        if not names or not exchange.facts.any_model:
            return ""
        return names[-1]
