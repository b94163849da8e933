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
    from mulberry_decisions._cold_limits import (
        ColdLimit,
        ColdMarks,
        cold_limit,
    )
    from mulberry_decisions._confidence_cascade import (
        CONFIDENCE_THRESHOLD,
        CascadeAttempt,
        ConfidenceCascade,
    )
    from mulberry_decisions._crash_blocks import (
        BLOCKING_STRIKES,
        block_duration_s,
    )
    from mulberry_decisions._crash_causes import (
        ContentCrashes,
        CrashedRun,
        PartCrashes,
        crash_causes,
    )
    from mulberry_decisions._crashes import (
        CrashGuard,
        CrashReport,
        NoCrashGuard,
    )
    from mulberry_decisions._drain import (
        Drain,
    )
    from mulberry_decisions._duration_ranks import (
        DurationHistogram,
        RelativeLoad,
        duration_bucket,
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
    from mulberry_decisions._kept_prompts import KeptPrompts, PromptSize
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
    from mulberry_decisions._link_health import (
        LinkHealth,
        PathOrder,
    )
    from mulberry_decisions._load_estimator import (
        LoadEstimator,
        LoadReport,
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
    from mulberry_decisions._named_rates import (
        NO_REPORT,
        NamedRates,
        RateReport,
    )
    from mulberry_decisions._part_blocks import (
        PartReach,
        part_block_duration_s,
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
    from mulberry_decisions._rate_allocator import PermitReply, RateAllocator
    from mulberry_decisions._reading_rates import ReadingRates
    from mulberry_decisions._recent_durations import (
        RecentDurations,
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
    from mulberry_decisions._rejection_limiter import RejectionLimiter
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
        RolloutAction,
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
        find_regression,
        may_change_version,
    )
    from mulberry_decisions._sequential_judge import (
        SequentialJudge,
    )
    from mulberry_decisions._session_versions import (
        SessionShare,
    )
    from mulberry_decisions._slot_shares import (
        InstanceRank,
        SharedUpstream,
        slot_shares,
    )
    from mulberry_decisions._sound_runs import (
        SoundRuns,
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
    from mulberry_decisions._upstream_pace import UpstreamPace
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
        VersionChooser,
        VersionHealth,
        VersionOffer,
    )
    from mulberry_decisions._window_retries import (
        WindowRetryBudget,
    )
    from mulberry_decisions._work import (
        Outcome,
        Work,
    )
    from mulberry_decisions._work_ledger import (
        EngineCandidate,
        EnginePlacement,
        PromptWork,
        WorkLedger,
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
            "_crash_causes": (
                "ContentCrashes",
                "CrashedRun",
                "PartCrashes",
                "crash_causes",
            ),
            "_crashes": (
                "CrashGuard",
                "CrashReport",
                "NoCrashGuard",
            ),
            "_recent_durations": ("RecentDurations",),
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
            "_link_health": (
                "LinkHealth",
                "PathOrder",
            ),
            "_load_estimator": (
                "LoadEstimator",
                "LoadReport",
            ),
            "_confidence_cascade": (
                "CONFIDENCE_THRESHOLD",
                "ConfidenceCascade",
                "CascadeAttempt",
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
            "_duration_ranks": (
                "DurationHistogram",
                "RejectionLimiter",
                "RelativeLoad",
                "duration_bucket",
            ),
            "_adaptive_hedging": ("AdaptiveHedging",),
            "_kept_prompts": ("KeptPrompts", "PromptSize"),
            "_reading_rates": ("ReadingRates",),
            "_upstream_pace": ("UpstreamPace",),
            "_work_ledger": (
                "EngineCandidate",
                "EnginePlacement",
                "PromptWork",
                "WorkLedger",
            ),
            "_named_rates": ("NO_REPORT", "NamedRates", "RateReport"),
            "_cold_limits": ("ColdLimit", "ColdMarks", "cold_limit"),
            "_part_blocks": (
                "PartReach",
                "part_block_duration_s",
            ),
            "_placement": (
                "PowerOfTwoChoices",
                "UpstreamCandidate",
                "Placement",
                "SessionAffinity",
            ),
            "_priority_admission": ("PriorityAdmission",),
            "_proven_steps": ("ProvenSteps",),
            "_rate_allocator": ("PermitReply", "RateAllocator"),
            "_rejection_limiter": ("RejectionLimiter",),
            "_retries": (
                "NoRetries",
                "RetryBudget",
                "UnlimitedRetries",
            ),
            "_retry_after": ("RetryAfterJitter",),
            "_rollout": (
                "NO_STEP",
                "RolloutAction",
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
                "find_regression",
                "may_change_version",
            ),
            "_sequential_judge": ("SequentialJudge",),
            "_session_versions": ("SessionShare",),
            "_slot_shares": ("InstanceRank", "SharedUpstream", "slot_shares"),
            "_sound_runs": ("SoundRuns",),
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
                "VersionHealth",
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
    "CONFIDENCE_THRESHOLD",
    "CRASH_GUARDS",
    "FAILURES",
    "HEDGE_POLICIES",
    "LEAST_URGENT",
    "MAX_STRIKES",
    "MODEL_CHOOSERS",
    "NO_REPORT",
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
    "CascadeAttempt",
    "ColdLimit",
    "ColdMarks",
    "ConfidenceCascade",
    "ContentCrashes",
    "CrashGuard",
    "CrashReport",
    "CrashedRun",
    "DecisionCallback",
    "Deliver",
    "Demand",
    "Drain",
    "DurationHistogram",
    "EngineCandidate",
    "EnginePlacement",
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
    "InstanceRank",
    "KeptPrompts",
    "LearnedCascade",
    "LeastReportedLoad",
    "LinkHealth",
    "LoadEstimator",
    "LoadReport",
    "ModelChooser",
    "ModelOption",
    "NamedRates",
    "NoCrashGuard",
    "NoHedging",
    "NoJudge",
    "NoRetries",
    "Observation",
    "Outcome",
    "PartCrashes",
    "PartReach",
    "PathOrder",
    "PermitReply",
    "Placement",
    "PowerOfTwoChoices",
    "PriorityAdmission",
    "PromptSize",
    "PromptWork",
    "ProportionalLimiter",
    "Proposal",
    "ProvenSteps",
    "RateAllocator",
    "RateReport",
    "RatingCounts",
    "RatingExport",
    "RatingKey",
    "ReadingRates",
    "RecentDurations",
    "RejectionLimiter",
    "RelativeLoad",
    "ResponseDelayMonitor",
    "RetryAfterJitter",
    "RetryBudget",
    "RolloutAction",
    "RolloutAdvancer",
    "RolloutAdvice",
    "RolloutDecision",
    "RolloutEvidence",
    "RolloutPlan",
    "RolloutState",
    "RolloutVerdict",
    "RoundRobin",
    "SequentialJudge",
    "SessionAffinity",
    "SessionShare",
    "SharedUpstream",
    "SoundRuns",
    "StableVersion",
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
    "UpstreamPace",
    "UpstreamState",
    "VersionChooser",
    "VersionHealth",
    "VersionJudge",
    "VersionOffer",
    "WindowRetryBudget",
    "WithdrawResult",
    "Work",
    "WorkLedger",
    "block_duration_s",
    "cold_limit",
    "crash_causes",
    "duration_bucket",
    "find_regression",
    "may_change_version",
    "part_block_duration_s",
    "slot_shares",
    "urgency",
]
