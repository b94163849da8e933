"""Builds the decisions that the settings choose."""

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_entry as entry
import mulberry_rules as rules


def build_decisions(
    settings: rules.Settings, clock: core.Clock
) -> entry.DecisionSet:
    """Returns the implementations named in the settings."""
    policy, limits = settings.policy, settings.limits
    return entry.DecisionSet(
        model_chooser=decisions.MODEL_CHOOSERS[policy.model_chooser](),
        version_chooser=decisions.VERSION_CHOOSERS["sessions"](),
        version_judge=decisions.VERSION_JUDGES[policy.version_judge](clock),
        upstream_chooser=decisions.UPSTREAM_CHOOSERS[
            policy.upstream_chooser
        ](),
        admission=decisions.ADMISSIONS[policy.admission](
            clock, limits.max_streams, limits.max_queue
        ),
        team_limiter=decisions.TEAM_LIMITERS["demand_shares"](clock),
        retry_budget=decisions.RETRY_BUDGETS["shared"](clock),
        hedge_policy=decisions.HEDGE_POLICIES["none"](),
        crash_guard=decisions.CRASH_GUARDS["none"](),
    )
