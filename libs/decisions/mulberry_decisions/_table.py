"""Implementations by name, as settings and embedders choose them."""

from collections.abc import Callable, Mapping

import mulberry_core as core
from mulberry_decisions import (
    _admission,
    _crashes,
    _hedging,
    _judge,
    _limits,
    _models,
    _priority_admission,
    _retries,
    _rollout,
    _shared_limits,
    _shared_retries,
    _upstreams,
    _versions,
)

UPSTREAM_CHOOSERS: Mapping[str, Callable[[], _upstreams.UpstreamChooser]] = {
    "round_robin": _upstreams.RoundRobin,
    "least_load": _upstreams.LeastReportedLoad,
    "two_random": _upstreams.TwoRandomChoices,
}

MODEL_CHOOSERS: Mapping[str, Callable[[], _models.ModelChooser]] = {
    "cheapest": lambda: _models.FixedOrder((0,)),
    "dearest": lambda: _models.FixedOrder((-1,)),
    "two_step": lambda: _models.FixedOrder((0, -1)),
}

VERSION_CHOOSERS: Mapping[str, Callable[[], _versions.VersionChooser]] = {
    "stable": _versions.StableVersion,
    "fixed_share": _versions.FixedShare,
}

VERSION_JUDGES: Mapping[str, Callable[[core.Clock], _judge.VersionJudge]] = {
    "none": lambda clock: _judge.NoJudge(),
}

ROLLOUT_ADVANCERS: Mapping[str, Callable[[], _rollout.RolloutAdvancer]] = {
    "timed": _rollout.TimedSteps,
}

#: Arguments: clock, places, longest queue.
ADMISSIONS: Mapping[
    str, Callable[[core.Clock, int, int], _admission.Admission]
] = {
    "first_come": _admission.FirstCome,
    "priority": _priority_admission.PriorityAdmission,
}

TEAM_LIMITERS: Mapping[str, Callable[[core.Clock], _limits.TeamLimiter]] = {
    "equal_shares": _limits.EqualShares,
    "shared": _shared_limits.SharedLimiter,
}

RETRY_BUDGETS: Mapping[str, Callable[[core.Clock], _retries.RetryBudget]] = {
    "none": lambda clock: _retries.NoRetries(),
    "share": _shared_retries.ShareRetryBudget,
    "unlimited": lambda clock: _retries.UnlimitedRetries(),
}

HEDGE_POLICIES: Mapping[str, Callable[[], _hedging.HedgePolicy]] = {
    "none": _hedging.NoHedging,
    "fixed_delay": _hedging.FixedDelayHedging,
}

CRASH_GUARDS: Mapping[str, Callable[[], _crashes.CrashGuard]] = {
    "none": _crashes.NoCrashGuard,
}
