"""What the gateway works with, handed to its parts."""

import dataclasses

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_state as state
from mulberry_gateway import (
    _body_limits,
    _dialect,
    _model_choice,
    _placing,
    _releases,
    _rollout_watch,
    _routing_book,
    _suspects,
)


@dataclasses.dataclass(frozen=True)
class GatewayParts:
    """What the forwarder works with."""

    clock: core.Clock
    counters: core.Counters
    log: core.DecisionLog
    state: state.StateClient
    routing: _routing_book.RoutingBook
    placer: _placing.Placer
    models: _model_choice.ModelChoice
    dialect: _dialect.Dialect
    retries: decisions.RetryBudget
    drain: decisions.Drain
    returns: decisions.RetryAfterJitter
    #: Age of the view up to which a missing route or key is final, seconds.
    max_view_age_s: float
    watch: _rollout_watch.RolloutWatch
    releases: _releases.Releases
    suspects: _suspects.Suspects
    #: Shared by all calls.
    answer_limits: core.BodyLimits = dataclasses.field(
        default_factory=_body_limits.for_answers
    )
