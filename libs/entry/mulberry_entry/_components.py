"""The components that the request handlers of an entry share."""

import dataclasses

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
import mulberry_rules as rules
import mulberry_state as state
import mulberry_upstream as upstream
from mulberry_entry import _billing, _rater, _ratings, _sessions


@dataclasses.dataclass(frozen=True)
class DecisionSet:
    """The configured implementation of each decision."""

    model_chooser: decisions.ModelChooser
    version_chooser: decisions.VersionChooser
    version_judge: decisions.VersionJudge
    upstream_chooser: decisions.UpstreamChooser
    admission: decisions.Admission
    team_limiter: decisions.TeamLimiter
    retry_budget: decisions.RetryBudget
    hedge_policy: decisions.HedgePolicy
    crash_guard: decisions.CrashGuard


@dataclasses.dataclass(frozen=True)
class EntryComponents:
    """Shared components of the request handlers; all are thread-safe."""

    #: Name of the instance.
    instance: str
    #: Availability zone.
    zone: str
    limits: rules.Limits
    timing: rules.Timing
    clock: core.Clock
    timers: core.TimerService
    counters: core.Counters
    state: state.StateClient
    soft_state: membership.SoftState
    directory: membership.UpstreamDirectory
    decisions: DecisionSet
    engine: upstream.EngineAdapter
    service: upstream.ServiceAdapter
    gate: upstream.SendGate
    biller: _billing.Biller
    pins: _sessions.SessionPins
    rater: _rater.Rater
    ratings: _ratings.RatingQueue
    #: SHA-256 of the key that announcements must present; unset if they
    #: need no key.
    announce_key_hash: str | core.Missing
