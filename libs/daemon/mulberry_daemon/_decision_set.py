"""Builds the decision components selected in the settings."""

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_entry as entry
import mulberry_rules as rules


def build_decisions(
    settings: rules.Settings, clock: core.Clock
) -> entry.DecisionSet:
    """Returns the implementations selected in the settings."""
    policy, limits = settings.policy, settings.limits
    choose_upstream = decisions.UPSTREAM_CHOOSERS[policy.upstream_chooser]
    return entry.DecisionSet(
        model_chooser=decisions.MODEL_CHOOSERS[policy.model_chooser](clock),
        version_chooser=decisions.VERSION_CHOOSERS["session_share"](),
        version_judge=decisions.VERSION_JUDGES[policy.version_judge](clock),
        upstream_chooser=choose_upstream(clock, settings.zone),
        admission=decisions.ADMISSIONS[policy.admission](
            clock, limits.max_streams, limits.max_queue
        ),
        team_limiter=decisions.TEAM_LIMITERS["shared"](clock),
        retry_budget=decisions.RETRY_BUDGETS["share"](clock),
        hedge_policy=decisions.HEDGE_POLICIES["paying"](),
        crash_guard=decisions.CRASH_GUARDS["strikes"](clock),
    )
