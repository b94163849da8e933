"""Choice of model, version and upstream; admission, limits, retries."""

import typing

import mulberry_core as core

if typing.TYPE_CHECKING:
    from mulberry_decisions._admission import (
        Admission,
        Decided,
        FirstCome,
        QueuePlace,
        Ticket,
    )
    from mulberry_decisions._confidence_cascade import (
        CONFIDENCE_THRESHOLD,
        CascadeAttempt,
        ConfidenceCascade,
    )
    from mulberry_decisions._crash_blocks import (
        BLOCKING_STRIKES,
        block_s,
    )
    from mulberry_decisions._crashes import (
        CrashGuard,
        CrashReport,
        NoCrashGuard,
    )
    from mulberry_decisions._delays import (
        DelayGauge,
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
        EqualShares,
        Taken,
        TeamLimit,
        TeamLimiter,
    )
    from mulberry_decisions._load_book import (
        LoadBook,
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
    from mulberry_decisions._paying_hedges import (
        PayingHedges,
    )
    from mulberry_decisions._placement import (
        LeastLoad,
        Place,
        Placement,
        SessionAffinity,
    )
    from mulberry_decisions._priority_admission import (
        PriorityAdmission,
    )
    from mulberry_decisions._proven_steps import (
        ProvenSteps,
    )
    from mulberry_decisions._retries import (
        NoRetries,
        RetryBudget,
        UnlimitedRetries,
    )
    from mulberry_decisions._returns import (
        ReturnTimes,
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
    from mulberry_decisions._shared_limits import (
        SharedLimiter,
    )
    from mulberry_decisions._shared_retries import (
        ShareRetryBudget,
    )
    from mulberry_decisions._silence import (
        SilencePolicy,
        SilenceStep,
    )
    from mulberry_decisions._strikes import (
        MAX_STRIKES,
        StrikeGuard,
    )
    from mulberry_decisions._table import (
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
else:
    __getattr__ = core.import_on_demand(
        __name__,
        {
            "_admission": (
                "Admission",
                "Decided",
                "FirstCome",
                "QueuePlace",
                "Ticket",
            ),
            "_crash_blocks": (
                "BLOCKING_STRIKES",
                "block_s",
            ),
            "_crashes": (
                "CrashGuard",
                "CrashReport",
                "NoCrashGuard",
            ),
            "_delays": ("DelayGauge",),
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
                "EqualShares",
                "Taken",
                "TeamLimit",
                "TeamLimiter",
            ),
            "_load_book": (
                "LoadBook",
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
                "RelativeLoad",
                "duration_bucket",
            ),
            "_paying_hedges": ("PayingHedges",),
            "_placement": (
                "LeastLoad",
                "Place",
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
            "_returns": ("ReturnTimes",),
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
            "_shared_limits": ("SharedLimiter",),
            "_shared_retries": ("ShareRetryBudget",),
            "_silence": (
                "SilencePolicy",
                "SilenceStep",
            ),
            "_strikes": (
                "MAX_STRIKES",
                "StrikeGuard",
            ),
            "_table": (
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
    "NO_STEP",
    "RETRY_BUDGETS",
    "ROLLOUT_ADVANCERS",
    "TEAM_LIMITERS",
    "UPSTREAM_CHOOSERS",
    "VERSION_CHOOSERS",
    "VERSION_JUDGES",
    "Admission",
    "AnswerCounts",
    "Attempt",
    "CacheEvent",
    "CascadeAttempt",
    "ConfidenceCascade",
    "CrashGuard",
    "CrashReport",
    "Decided",
    "DelayGauge",
    "Deliver",
    "Demand",
    "Drain",
    "DurationHistogram",
    "EqualShares",
    "ErrorThreshold",
    "Evidence",
    "EvidenceCounts",
    "EvidenceKey",
    "EvidenceSeries",
    "FirstCome",
    "FixedDelayHedging",
    "FixedOrder",
    "FixedShare",
    "HedgePolicy",
    "LearnedCascade",
    "LeastLoad",
    "LeastReportedLoad",
    "LoadBook",
    "LoadReport",
    "ModelChooser",
    "ModelOption",
    "NoCrashGuard",
    "NoHedging",
    "NoJudge",
    "NoRetries",
    "Observation",
    "Outcome",
    "PayingHedges",
    "Place",
    "Placement",
    "PriorityAdmission",
    "Proposal",
    "ProvenSteps",
    "QueuePlace",
    "RatingCounts",
    "RatingExport",
    "RatingKey",
    "RelativeLoad",
    "RetryBudget",
    "ReturnTimes",
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
    "ShareRetryBudget",
    "SharedLimiter",
    "SilencePolicy",
    "SilenceStep",
    "StableVersion",
    "StrikeGuard",
    "Taken",
    "TeamLimit",
    "TeamLimiter",
    "Ticket",
    "TimedSteps",
    "TryModel",
    "TwoChoices",
    "TwoRandomChoices",
    "UnlimitedRetries",
    "UpstreamChooser",
    "UpstreamHealth",
    "UpstreamState",
    "VersionChooser",
    "VersionHealth",
    "VersionJudge",
    "VersionOffer",
    "WindowRetryBudget",
    "Work",
    "block_s",
    "duration_bucket",
    "find_regression",
    "may_change_version",
    "urgency",
]
