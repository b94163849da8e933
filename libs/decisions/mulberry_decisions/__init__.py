"""Choice of model, version and upstream; admission, limits, retries."""

import typing

import mulberry_core as core

if typing.TYPE_CHECKING:
    from mulberry_decisions._adaptive_hedging import (
        AdaptiveHedging,
    )
    from mulberry_decisions._admission import (
        Admission,
        DecisionCallback,
        FirstComeFirstServed,
        Ticket,
        WithdrawResult,
    )
    from mulberry_decisions._crash_blocks import (
        BLOCKING_STRIKES,
        block_duration_s,
    )
    from mulberry_decisions._crashes import (
        CrashGuard,
        CrashReport,
        NoCrashGuard,
    )
    from mulberry_decisions._drain import (
        Drain,
    )
    from mulberry_decisions._error_threshold import (
        ErrorThreshold,
    )
    from mulberry_decisions._hedging import (
        FixedDelayHedging,
        HedgePolicy,
        NoHedging,
    )
    from mulberry_decisions._inactivity import (
        InactivityAction,
        InactivityPolicy,
    )
    from mulberry_decisions._judge import (
        FAILURES,
        Evidence,
        EvidenceCounts,
        EvidenceKey,
        EvidenceSeries,
        NoJudge,
        Observation,
        Proposal,
        VersionJudge,
    )
    from mulberry_decisions._learned_models import (
        LearnedCascade,
    )
    from mulberry_decisions._limits import (
        Demand,
        EqualShareLimiter,
        TeamLimit,
        TeamLimiter,
        TokenReservation,
    )
    from mulberry_decisions._load_estimator import (
        LoadEstimator,
        LoadReport,
    )
    from mulberry_decisions._model_ladder import (
        KEEP_FROM,
        ConfidenceLadder,
        Rung,
    )
    from mulberry_decisions._models import (
        Attempt,
        Deliver,
        FixedOrder,
        ModelChooser,
        ModelOption,
        RatingCounts,
        RatingExport,
        RatingKey,
        TryModel,
    )
    from mulberry_decisions._paces import (
        PaceCounts,
        RelativeLoad,
        pace_bucket,
    )
    from mulberry_decisions._placement import (
        Placement,
        PowerOfTwoChoices,
        SessionAffinity,
        UpstreamCandidate,
    )
    from mulberry_decisions._priority_admission import (
        PriorityAdmission,
    )
    from mulberry_decisions._proportional_limits import (
        ProportionalLimiter,
    )
    from mulberry_decisions._proven_steps import (
        ProvenSteps,
    )
    from mulberry_decisions._registry import (
        ADMISSIONS,
        CRASH_GUARDS,
        HEDGE_POLICIES,
        MODEL_CHOOSERS,
        RETRY_BUDGETS,
        ROLLOUT_ADVANCERS,
        TEAM_LIMITERS,
        UPSTREAM_CHOOSERS,
        VERSION_CHOOSERS,
        VERSION_JUDGES,
    )
    from mulberry_decisions._response_delays import (
        ResponseDelayMonitor,
    )
    from mulberry_decisions._retries import (
        NoRetries,
        RetryBudget,
        UnlimitedRetries,
    )
    from mulberry_decisions._retry_after import (
        RetryAfterJitter,
    )
    from mulberry_decisions._rollout import (
        NO_STEP,
        Move,
        RolloutAdvancer,
        RolloutAdvice,
        RolloutState,
        TimedSteps,
    )
    from mulberry_decisions._rollout_plan import (
        AnswerCounts,
        RolloutDecision,
        RolloutEvidence,
        RolloutPlan,
        RolloutVerdict,
        find_fault,
        may_change_version,
    )
    from mulberry_decisions._sequential_judge import (
        SequentialJudge,
    )
    from mulberry_decisions._session_versions import (
        SessionShare,
    )
    from mulberry_decisions._strikes import (
        MAX_STRIKES,
        StrikeGuard,
    )
    from mulberry_decisions._token_bucket_retries import (
        TokenBucketRetryBudget,
    )
    from mulberry_decisions._two_choices import (
        TwoChoices,
    )
    from mulberry_decisions._upstream_health import (
        UpstreamHealth,
    )
    from mulberry_decisions._upstreams import (
        CacheEvent,
        LeastReportedLoad,
        RoundRobin,
        TwoRandomChoices,
        UpstreamChooser,
        UpstreamState,
    )
    from mulberry_decisions._urgency import (
        LEAST_URGENT,
        urgency,
    )
    from mulberry_decisions._versions import (
        FixedShare,
        StableVersion,
        Standing,
        VersionChooser,
        VersionOffer,
    )
    from mulberry_decisions._window_retries import (
        WindowRetryBudget,
    )
    from mulberry_decisions._work import (
        Outcome,
        Work,
    )
else:
    __getattr__ = core.import_on_demand(
        __name__,
        {
            "_admission": (
                "Admission",
                "DecisionCallback",
                "FirstComeFirstServed",
                "WithdrawResult",
                "Ticket",
            ),
            "_crash_blocks": (
                "BLOCKING_STRIKES",
                "block_duration_s",
            ),
            "_crashes": (
                "CrashGuard",
                "CrashReport",
                "NoCrashGuard",
            ),
            "_response_delays": ("ResponseDelayMonitor",),
            "_drain": ("Drain",),
            "_error_threshold": ("ErrorThreshold",),
            "_hedging": (
                "FixedDelayHedging",
                "HedgePolicy",
                "NoHedging",
            ),
            "_judge": (
                "FAILURES",
                "Evidence",
                "EvidenceCounts",
                "EvidenceKey",
                "EvidenceSeries",
                "NoJudge",
                "Observation",
                "Proposal",
                "VersionJudge",
            ),
            "_learned_models": ("LearnedCascade",),
            "_limits": (
                "Demand",
                "EqualShareLimiter",
                "TokenReservation",
                "TeamLimit",
                "TeamLimiter",
            ),
            "_load_estimator": (
                "LoadEstimator",
                "LoadReport",
            ),
            "_model_ladder": (
                "KEEP_FROM",
                "ConfidenceLadder",
                "Rung",
            ),
            "_models": (
                "Attempt",
                "Deliver",
                "FixedOrder",
                "ModelChooser",
                "ModelOption",
                "RatingCounts",
                "RatingExport",
                "RatingKey",
                "TryModel",
            ),
            "_paces": (
                "PaceCounts",
                "RelativeLoad",
                "pace_bucket",
            ),
            "_adaptive_hedging": ("AdaptiveHedging",),
            "_placement": (
                "PowerOfTwoChoices",
                "UpstreamCandidate",
                "Placement",
                "SessionAffinity",
            ),
            "_priority_admission": ("PriorityAdmission",),
            "_proven_steps": ("ProvenSteps",),
            "_retries": (
                "NoRetries",
                "RetryBudget",
                "UnlimitedRetries",
            ),
            "_retry_after": ("RetryAfterJitter",),
            "_rollout": (
                "NO_STEP",
                "Move",
                "RolloutAdvancer",
                "RolloutAdvice",
                "RolloutState",
                "TimedSteps",
            ),
            "_rollout_plan": (
                "AnswerCounts",
                "RolloutDecision",
                "RolloutEvidence",
                "RolloutPlan",
                "RolloutVerdict",
                "find_fault",
                "may_change_version",
            ),
            "_sequential_judge": ("SequentialJudge",),
            "_session_versions": ("SessionShare",),
            "_proportional_limits": ("ProportionalLimiter",),
            "_token_bucket_retries": ("TokenBucketRetryBudget",),
            "_inactivity": (
                "InactivityPolicy",
                "InactivityAction",
            ),
            "_strikes": (
                "MAX_STRIKES",
                "StrikeGuard",
            ),
            "_registry": (
                "ADMISSIONS",
                "CRASH_GUARDS",
                "HEDGE_POLICIES",
                "MODEL_CHOOSERS",
                "RETRY_BUDGETS",
                "ROLLOUT_ADVANCERS",
                "TEAM_LIMITERS",
                "UPSTREAM_CHOOSERS",
                "VERSION_CHOOSERS",
                "VERSION_JUDGES",
            ),
            "_two_choices": ("TwoChoices",),
            "_upstream_health": ("UpstreamHealth",),
            "_upstreams": (
                "CacheEvent",
                "LeastReportedLoad",
                "RoundRobin",
                "TwoRandomChoices",
                "UpstreamChooser",
                "UpstreamState",
            ),
            "_urgency": (
                "LEAST_URGENT",
                "urgency",
            ),
            "_versions": (
                "FixedShare",
                "StableVersion",
                "Standing",
                "VersionChooser",
                "VersionOffer",
            ),
            "_window_retries": ("WindowRetryBudget",),
            "_work": (
                "Outcome",
                "Work",
            ),
        },
    )

__all__ = [
    "ADMISSIONS",
    "BLOCKING_STRIKES",
    "CRASH_GUARDS",
    "FAILURES",
    "HEDGE_POLICIES",
    "KEEP_FROM",
    "LEAST_URGENT",
    "MAX_STRIKES",
    "MODEL_CHOOSERS",
    "NO_STEP",
    "RETRY_BUDGETS",
    "ROLLOUT_ADVANCERS",
    "TEAM_LIMITERS",
    "UPSTREAM_CHOOSERS",
    "VERSION_CHOOSERS",
    "VERSION_JUDGES",
    "AdaptiveHedging",
    "Admission",
    "AnswerCounts",
    "Attempt",
    "CacheEvent",
    "ConfidenceLadder",
    "CrashGuard",
    "CrashReport",
    "DecisionCallback",
    "Deliver",
    "Demand",
    "Drain",
    "EqualShareLimiter",
    "ErrorThreshold",
    "Evidence",
    "EvidenceCounts",
    "EvidenceKey",
    "EvidenceSeries",
    "FirstComeFirstServed",
    "FixedDelayHedging",
    "FixedOrder",
    "FixedShare",
    "HedgePolicy",
    "InactivityAction",
    "InactivityPolicy",
    "LearnedCascade",
    "LeastReportedLoad",
    "LoadEstimator",
    "LoadReport",
    "ModelChooser",
    "ModelOption",
    "Move",
    "NoCrashGuard",
    "NoHedging",
    "NoJudge",
    "NoRetries",
    "Observation",
    "Outcome",
    "PaceCounts",
    "Placement",
    "PowerOfTwoChoices",
    "PriorityAdmission",
    "ProportionalLimiter",
    "Proposal",
    "ProvenSteps",
    "RatingCounts",
    "RatingExport",
    "RatingKey",
    "RelativeLoad",
    "ResponseDelayMonitor",
    "RetryAfterJitter",
    "RetryBudget",
    "RolloutAdvancer",
    "RolloutAdvice",
    "RolloutDecision",
    "RolloutEvidence",
    "RolloutPlan",
    "RolloutState",
    "RolloutVerdict",
    "RoundRobin",
    "Rung",
    "SequentialJudge",
    "SessionAffinity",
    "SessionShare",
    "StableVersion",
    "Standing",
    "StrikeGuard",
    "TeamLimit",
    "TeamLimiter",
    "Ticket",
    "TimedSteps",
    "TokenBucketRetryBudget",
    "TokenReservation",
    "TryModel",
    "TwoChoices",
    "TwoRandomChoices",
    "UnlimitedRetries",
    "UpstreamCandidate",
    "UpstreamChooser",
    "UpstreamHealth",
    "UpstreamState",
    "VersionChooser",
    "VersionJudge",
    "VersionOffer",
    "WindowRetryBudget",
    "WithdrawResult",
    "Work",
    "block_duration_s",
    "find_fault",
    "may_change_version",
    "pace_bucket",
    "urgency",
]
