"""Whether a stopping instance may still send a request to an upstream."""

import mulberry_core as core
import mulberry_routing as routing
from mulberry_gateway import _components, _exchange

#: `Retry-After` for callers that should ask another instance, seconds.
_LEAVING_RETRY_AFTER_S = 0.02


def may_accept(
    components: _components.GatewayComponents,
    route: routing.Route,
    deadline_s: float,
) -> bool:
    """Whether a request can be answered before the process exits.

    Args:
        components: Components of this instance.
        route: Route of the request.
        deadline_s: `Clock.now` by which the answer must be complete, seconds.
    """
    if not components.drain.has_begun:
        return True
    return components.drain.may_accept(
        deadline_s,
        components.durations.usual_maximum_s(route.name),
        route.kind is not routing.RouteKind.UNSAFE,
    )


def may_send(
    components: _components.GatewayComponents, exchange: _exchange.Exchange
) -> bool:
    """Whether a request may be sent now; to be asked before each send.

    A request that has run or may have run can no longer be refused, so that
    another attempt is its only chance of an answer until the drain ends.
    """
    if exchange.run is core.RunState.NOT_RUN:
        return may_accept(components, exchange.route, exchange.deadline_s)
    return not components.drain.has_ended


def leaving_refusal() -> core.Refusal:
    """Returns the refusal of a request that this instance cannot finish."""
    return core.Refusal(
        core.ErrorKind.ENTRY_LEAVING,
        core.RunState.NOT_RUN,
        "this instance stops before the answer can be complete",
        retry_after_s=_LEAVING_RETRY_AFTER_S,
    )
