"""Choice of model, version and upstream; admission, limits, retries."""

from mulberry_decisions._admission import (
    Admission,
    Decided,
    FirstCome,
    QueuePlace,
    Ticket,
)
from mulberry_decisions._crashes import (
    CrashGuard,
    CrashReport,
    NoCrashGuard,
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
    NoJudge,
    Observation,
    Proposal,
    VersionJudge,
)
from mulberry_decisions._limits import (
    Demand,
    EqualShares,
    Taken,
    TeamLimit,
    TeamLimiter,
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
from mulberry_decisions._priority_admission import (
    PriorityAdmission,
)
from mulberry_decisions._retries import (
    NoRetries,
    RetryBudget,
    UnlimitedRetries,
)
from mulberry_decisions._rollout import (
    NO_STEP,
    Move,
    RolloutAdvancer,
    RolloutAdvice,
    RolloutState,
    TimedSteps,
)
from mulberry_decisions._shared_limits import (
    SharedLimiter,
)
from mulberry_decisions._shared_retries import (
    ShareRetryBudget,
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
from mulberry_decisions._upstreams import (
    CacheEvent,
    LeastReportedLoad,
    RoundRobin,
    TwoRandomChoices,
    UpstreamChooser,
    UpstreamState,
)
from mulberry_decisions._versions import (
    FixedShare,
    StableVersion,
    Standing,
    VersionChooser,
    VersionOffer,
)
from mulberry_decisions._work import (
    Outcome,
    Work,
)

__all__ = [
    "ADMISSIONS",
    "CRASH_GUARDS",
    "FAILURES",
    "HEDGE_POLICIES",
    "MODEL_CHOOSERS",
    "NO_STEP",
    "RETRY_BUDGETS",
    "ROLLOUT_ADVANCERS",
    "TEAM_LIMITERS",
    "UPSTREAM_CHOOSERS",
    "VERSION_CHOOSERS",
    "VERSION_JUDGES",
    "Admission",
    "Attempt",
    "CacheEvent",
    "CrashGuard",
    "CrashReport",
    "Decided",
    "Deliver",
    "Demand",
    "EqualShares",
    "Evidence",
    "EvidenceCounts",
    "EvidenceKey",
    "FirstCome",
    "FixedDelayHedging",
    "FixedOrder",
    "FixedShare",
    "HedgePolicy",
    "LeastReportedLoad",
    "ModelChooser",
    "ModelOption",
    "Move",
    "NoCrashGuard",
    "NoHedging",
    "NoJudge",
    "NoRetries",
    "Observation",
    "Outcome",
    "PriorityAdmission",
    "Proposal",
    "QueuePlace",
    "RatingCounts",
    "RatingExport",
    "RatingKey",
    "RetryBudget",
    "RolloutAdvancer",
    "RolloutAdvice",
    "RolloutState",
    "RoundRobin",
    "ShareRetryBudget",
    "SharedLimiter",
    "StableVersion",
    "Standing",
    "Taken",
    "TeamLimit",
    "TeamLimiter",
    "Ticket",
    "TimedSteps",
    "TryModel",
    "TwoRandomChoices",
    "UnlimitedRetries",
    "UpstreamChooser",
    "UpstreamState",
    "VersionChooser",
    "VersionJudge",
    "VersionOffer",
    "Work",
]
