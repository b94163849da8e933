"""The components of a gateway instance."""

import dataclasses

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_state as state
from mulberry_gateway import (
    _body_limits,
    _dialect,
    _model_selection,
    _quarantine,
    _rate_gate,
    _regions,
    _rollout_controller,
    _rollout_filter,
    _routing_table_store,
    _upstream_connector,
    _upstream_selection,
)


@dataclasses.dataclass(frozen=True)
class GatewayComponents:
    """Components and settings that the request path uses."""

    clock: core.Clock
    counters: core.Counters
    log: core.DecisionLog
    state: state.StateClient
    routing: _routing_table_store.RoutingTableStore
    upstream_selector: _upstream_selection.UpstreamSelector
    model_selector: _model_selection.ModelSelector
    dialect: _dialect.Dialect
    retry_budget: decisions.RetryBudget
    drain: decisions.Drain
    retry_delays: decisions.RetryAfterJitter
    #: Up to this age of the view, an unknown route or key is refused for good,
    #: seconds; with an older view the caller should ask another instance.
    max_view_age_s: float
    rollout_controller: _rollout_controller.RolloutController
    rollout_filter: _rollout_filter.RolloutFilter
    quarantine: _quarantine.RequestQuarantine
    connector: _upstream_connector.UpstreamConnector
    rate_gate: _rate_gate.RateGate
    regions: _regions.RegionPolicy
    #: Durations of complete requests by route.
    durations: decisions.RecentDurations = dataclasses.field(
        default_factory=decisions.RecentDurations
    )
    #: Shared by all upstream calls.
    answer_limits: core.BodyLimits = dataclasses.field(
        default_factory=_body_limits.for_answers
    )
