"""Registry of implementations by the names that settings and embedders use."""

from collections.abc import Callable, Mapping

import mulberry_core as core
from mulberry_decisions import (
    _adaptive_hedging,
    _admission,
    _crashes,
    _error_threshold,
    _hedging,
    _judge,
    _learned_models,
    _limits,
    _models,
    _priority_admission,
    _proportional_limits,
    _proven_steps,
    _retries,
    _rollout,
    _sequential_judge,
    _session_versions,
    _strikes,
    _token_bucket_retries,
    _two_choices,
    _upstreams,
    _versions,
)

#: Arguments: clock, zone of the entry.
UPSTREAM_CHOOSERS: Mapping[
    str, Callable[[core.Clock, str], _upstreams.UpstreamChooser]
] = {
    "round_robin": lambda clock, zone: _upstreams.RoundRobin(),
    "least_load": lambda clock, zone: _upstreams.LeastReportedLoad(),
    "two_random": lambda clock, zone: _upstreams.TwoRandomChoices(),
    "two_choices": _two_choices.TwoChoices,
}

MODEL_CHOOSERS: Mapping[str, Callable[[core.Clock], _models.ModelChooser]] = {
    "cheapest": lambda clock: _models.FixedOrder((0,)),
    "dearest": lambda clock: _models.FixedOrder((-1,)),
    "two_step": lambda clock: _models.FixedOrder((0, -1)),
    "learned": _learned_models.LearnedCascade,
}

VERSION_CHOOSERS: Mapping[str, Callable[[], _versions.VersionChooser]] = {
    "stable": _versions.StableVersion,
    "fixed_share": _versions.FixedShare,
    "session_share": _session_versions.SessionShare,
}

VERSION_JUDGES: Mapping[str, Callable[[core.Clock], _judge.VersionJudge]] = {
    "none": lambda clock: _judge.NoJudge(),
    "error_threshold": lambda clock: _error_threshold.ErrorThreshold(),
    "sequential": _sequential_judge.SequentialJudge,
}

ROLLOUT_ADVANCERS: Mapping[str, Callable[[], _rollout.RolloutAdvancer]] = {
    "timed": _rollout.TimedSteps,
    "proven": _proven_steps.ProvenSteps,
}

#: Arguments: clock, slots, longest queue.
ADMISSIONS: Mapping[
    str, Callable[[core.Clock, int, int], _admission.Admission]
] = {
    "first_come": _admission.FirstComeFirstServed,
    "priority": _priority_admission.PriorityAdmission,
}

TEAM_LIMITERS: Mapping[str, Callable[[core.Clock], _limits.TeamLimiter]] = {
    "equal_shares": _limits.EqualShareLimiter,
    "shared": _proportional_limits.ProportionalLimiter,
}

RETRY_BUDGETS: Mapping[str, Callable[[core.Clock], _retries.RetryBudget]] = {
    "none": lambda clock: _retries.NoRetries(),
    "share": _token_bucket_retries.TokenBucketRetryBudget,
    "unlimited": lambda clock: _retries.UnlimitedRetries(),
}

HEDGE_POLICIES: Mapping[str, Callable[[], _hedging.HedgePolicy]] = {
    "none": _hedging.NoHedging,
    "fixed_delay": _hedging.FixedDelayHedging,
    "paying": _adaptive_hedging.AdaptiveHedging,
}

CRASH_GUARDS: Mapping[str, Callable[[core.Clock], _crashes.CrashGuard]] = {
    "none": lambda clock: _crashes.NoCrashGuard(),
    "strikes": _strikes.StrikeGuard,
}
